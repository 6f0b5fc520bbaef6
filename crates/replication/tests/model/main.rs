//! A model of views, promises, the chain, replaced members and lost disks, explored by a model checker.
//!
//! `MODEL_STATES=N cargo test -p indigofold-replication --profile tools --test model -- --nocapture` explores N states of
//! each case instead of the few that fit into every run.

mod chain;
mod elections;
mod failures;
mod rules;
mod state;

use rstest::rstest;
use rules::{ACTING, Fault, INVARIANT, PROGRESS, Protocol};
use stateright::{Checker, Model};
use std::time::Instant;

/// Number of states explored for each case by default.
const STATES: usize = 300_000;
/// Maximum number of states explored to detect an injected fault.
const FAULT_STATES: usize = 30_000_000;
const THREADS: usize = 4;

fn max_states() -> usize {
    std::env::var("MODEL_STATES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(STATES)
}

/// Returns a model of this size. `crashes` and `disks_lost` limit how often a member loses its unsynced data and its
/// disk. Every case includes members that pause for any time.
fn protocol(voters: u8, last_view: u8, crashes: u8, disks_lost: u8) -> Protocol {
    let fault = Fault::None;
    Protocol {
        voters,
        newcomers: 1,
        last_view,
        has_initial_write: true,
        writes: 2,
        crashes,
        disks_lost,
        fault,
    }
}

/// Like [`protocol`], without writes other than the one committed at the start.
fn without_writes(voters: u8, last_view: u8, crashes: u8, disks_lost: u8) -> Protocol {
    Protocol {
        writes: 1,
        ..protocol(voters, last_view, crashes, disks_lost)
    }
}

/// Explores the model breadth first and prints statistics. Returns the length of the shortest path to a violated
/// invariant, if one is found.
fn steps_to_violation(name: &str, model: Protocol, states: usize) -> Option<usize> {
    let started = Instant::now();
    let checker = model
        .checker()
        .threads(THREADS)
        .target_state_count(states)
        .spawn_bfs()
        .join();
    let broken = [INVARIANT, ACTING]
        .into_iter()
        .filter_map(|name| checker.discovery(name));
    let path = broken
        .map(stateright::Path::into_actions)
        .min_by_key(Vec::len);
    path.iter()
        .flatten()
        .for_each(|action| println!("    {action:?}"));
    let steps = path.map(|path| path.len());
    println!(
        "{name}: {} states, {} of them unique, depth {}, {:.1} s{}{}{}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        started.elapsed().as_secs_f64(),
        if checker.state_count() < states && steps.is_none() {
            ", complete"
        } else {
            ""
        },
        if checker.discovery(PROGRESS).is_some() {
            ", write committed after a change of view"
        } else {
            ""
        },
        steps.map_or(String::new(), |steps| format!(
            ", invariant violated after {steps} steps"
        )),
    );
    steps
}

#[rstest]
#[case::one_change(protocol(3, 3, 1, 1))]
#[case::two_changes(protocol(3, 4, 0, 0))]
#[case::two_changes_and_a_crash(protocol(3, 4, 1, 0))]
#[case::two_changes_and_a_lost_disk(protocol(3, 4, 0, 1))]
#[case::two_changes_without_writes(without_writes(3, 4, 0, 0))]
#[case::two_changes_without_writes_and_a_lost_disk(without_writes(3, 4, 0, 1))]
#[case::three_changes_without_writes(without_writes(3, 5, 0, 0))]
#[case::four_voters(without_writes(4, 4, 0, 0))]
#[case::five_voters(without_writes(5, 4, 0, 0))]
fn invariants_are_never_violated(#[case] model: Protocol) {
    let name = format!("{model:?}");
    assert_eq!(steps_to_violation(&name, model, max_states()), None);
}

fn assert_detected(fault: Fault, model: Protocol) {
    let steps = steps_to_violation(
        &format!("{fault:?}"),
        Protocol { fault, ..model },
        FAULT_STATES,
    );
    assert!(
        steps.is_some(),
        "the injected fault {fault:?} was not detected"
    );
}

/// Checks that the invariants detect faults: each of these faults violates one.
#[rstest]
#[case::established_when_accepted(Fault::EstablishedWhenAccepted, without_writes(3, 4, 0, 0))]
#[case::prepare_not_synced(Fault::PrepareNotSynced, protocol(3, 3, 1, 0))]
#[case::new_voters_only(Fault::NewVotersOnly, without_writes(3, 4, 0, 0))]
fn an_injected_fault_is_detected(#[case] fault: Fault, #[case] model: Protocol) {
    assert_detected(fault, model);
}

/// Like [`an_injected_fault_is_detected`], for faults that need more steps: `cargo test ... --test model -- --ignored`.
#[rstest]
#[case::short_chain(Fault::ShortChain, without_writes(3, 4, 0, 0))]
#[case::writes_after_prepare(Fault::WritesAfterPrepare, protocol(3, 4, 0, 0))]
#[case::counts_unsynced(Fault::CountsUnsynced, protocol(3, 3, 1, 1))]
#[case::own_rows(Fault::OwnRows, without_writes(3, 4, 0, 0))]
#[case::votes_after_disk_loss(Fault::VotesAfterDiskLoss, protocol(3, 4, 0, 1))]
#[case::accepts_after_prepare(Fault::AcceptsAfterPrepare, protocol(3, 4, 0, 0))]
#[ignore = "takes minutes"]
fn a_deeper_injected_fault_is_detected(#[case] fault: Fault, #[case] model: Protocol) {
    assert_detected(fault, model);
}
