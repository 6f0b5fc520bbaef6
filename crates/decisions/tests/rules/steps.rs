//! Random steps: events that may happen to a dispatcher.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;
use proptest::prelude::*;

/// One event that happens to a dispatcher. Numbers of attempts and requests are taken modulo those present.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Submit {
        class: u32,
        left: Time,
        slots: f64,
    },
    /// The n-th attempt in flight starts.
    Start(usize),
    /// The n-th attempt in flight ends with this status.
    End(usize, Status),
    /// Time passes.
    Advance(Time),
    /// The membership list marks this worker as draining.
    Drain(u32),
    /// This worker restarts and is in warm-up.
    Restart(u32),
    /// The membership list marks this worker as removed.
    Remove(u32),
    /// The membership list marks this worker as active.
    Activate(u32),
    /// The whole membership list arrives, with the active workers only.
    FullMembership,
    /// A request for the membership list fails.
    MembershipFails,
    /// The client of the n-th open request disconnects.
    ClientDisconnects(usize),
    /// The dispatcher is paused for this time: timers that become due meanwhile fire late, all at the same time.
    Stall(Time),
    /// The dispatcher crashes and restarts without state.
    Crash,
    /// A probe of this worker succeeds.
    Probe(u32),
}

/// Any step, weighted by how often it should occur.
pub(crate) fn step() -> impl Strategy<Value = Step> {
    use Status::*;
    let left = prop_oneof![Just(0), 1..60 * MS, 60 * MS..8 * SEC];
    let status = prop_oneof![
        8 => Just(Ok), 3 => Just(Error), 1 => Just(Moot), 1 => Just(Full), 1 => Just(ConnectFailed), 1 => Just(Reset), 1 => Just(Cancelled),
    ];
    prop_oneof![
        10 => (0u32..5, left, 0.5..2.0).prop_map(|(class, left, slots)| Step::Submit { class, left, slots }),
        6 => (0usize..50).prop_map(Step::Start),
        8 => ((0usize..50), status).prop_map(|(n, s)| Step::End(n, s)),
        8 => prop_oneof![1..50 * MS, 50 * MS..2 * SEC].prop_map(Step::Advance),
        1 => (0u32..6).prop_map(Step::Drain),
        1 => (0u32..6).prop_map(Step::Restart),
        1 => (0u32..6).prop_map(Step::Remove),
        2 => (0u32..6).prop_map(Step::Activate),
        1 => Just(Step::FullMembership),
        1 => Just(Step::MembershipFails),
        1 => (0usize..50).prop_map(Step::ClientDisconnects),
        1 => (MS..400 * MS).prop_map(Step::Stall),
        1 => Just(Step::Crash),
        1 => (0u32..6).prop_map(Step::Probe),
    ]
}
