//! Workers are lost for good, and the core members stand still for less than a second around the time at which the workers'
//! run leases expire: the followers first, then the head, as in `review/1`.

use super::faults::{pause, random_time};
use super::seeded_random::SeededRandom;
use indigofold_system_tests::checks::Exemptions;
use indigofold_system_tests::cluster::{CATCH_UP, Cluster};
use indigofold_system_tests::configuration::QUICK;
use indigofold_system_tests::environment::{JobState, Moment};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::system::{MachineCounts, MachineId, Programs};
use indigofold_system_tests::worker::Worker;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Number of losses of workers in one run.
const ROUNDS: u32 = 4;
/// The last worker is spared; the tasks of the others run there again.
const MACHINES: MachineCounts = MachineCounts {
    cores: 3,
    edges: 1,
    sides: 6,
};
/// Number of tasks in a round: each worker gets some, and all fit on one.
const TASKS: u32 = 15;
/// Time that each task works, longer than the workers of a round are up after its start.
const WORK_MS: u64 = 1_500;
/// Time until restarted workers can be given tasks.
const REGISTRATION: Duration = Duration::from_millis(500);
/// The workers of a round are lost within this time.
const LOSSES_MS: RangeInclusive<u64> = 0..=250;
/// A node agent counts a worker's run lease as expired so long after the last heartbeat: 4.5 s, 3% and 200 ms.
const EXPIRY: Duration = Duration::from_millis(4_835);
/// The head stands still from this time before the first expiry plus [`HEAD_DELAY`].
const HEAD_LEAD_MS: RangeInclusive<u64> = 0..=520;
/// Latest time after the first expiry at which the head begins to stand still.
const HEAD_DELAY: Duration = Duration::from_millis(20);
/// Time for which the head stands still.
const HEAD_FREEZE_MS: RangeInclusive<u64> = 150..=700;
/// The followers stand still from this time before the head.
const FOLLOWERS_LEAD_MS: RangeInclusive<u64> = 0..=400;
/// Time for which the followers stand still.
const FOLLOWERS_FREEZE_MS: RangeInclusive<u64> = 200..=900;
/// Longest time until a job ends, from the end of the faults (`recovery_s` and `finish_s`).
const FINISH: Duration = Duration::from_secs(12 + 14);

/// Runs a seed; panics if a job does not end in time or a rule is broken.
pub(crate) fn run_seed_around_lease_expiry(programs: Programs, seed: u64) {
    let mut cluster = Cluster::start(programs, MACHINES);
    cluster.exempt(Exemptions {
        gangs: true,
        late_stops: true,
    });
    let mut random = SeededRandom::new(seed);
    for _ in 0..ROUNDS {
        lose_workers(&mut cluster, &mut random);
    }
    cluster.finish();
}

/// Loses all workers but the last one while their tasks run, and freezes the core members when their leases expire.
fn lose_workers(cluster: &mut Cluster, random: &mut SeededRandom) {
    let lost = cluster.workers.len() - 1;
    cluster.workers[..lost].iter().for_each(Worker::restart);
    pause(cluster, REGISTRATION);
    let job = Job::new(vec![Step::new(TASKS, WORK_MS).cpu(200)]);
    let submitted = cluster.submit(QUICK, &job);
    cluster.wait_starts(&submitted, TASKS as usize);
    let first_loss = cluster.environment.now();
    crash_workers(cluster, random, lost);
    freeze_core(cluster, random, first_loss + EXPIRY);
    let state = cluster.client.wait_end(&submitted, FINISH);
    assert_eq!(
        state.expect("a job whose worker is lost should be run again"),
        JobState::Completed
    );
    pause(cluster, CATCH_UP);
}

fn crash_workers(cluster: &Cluster, random: &mut SeededRandom, count: usize) {
    let first_loss = cluster.environment.now();
    let mut losses: Vec<(Moment, usize)> = (0..count)
        .map(|worker| (first_loss + random_time(random, &LOSSES_MS), worker))
        .collect();
    losses.sort_unstable();
    for (at, worker) in losses {
        pause_until(cluster, at);
        cluster.workers[worker].crash();
    }
}

/// Freezes the followers and the head, and resumes them, at drawn times around the expiry of the first lease.
fn freeze_core(cluster: &mut Cluster, random: &mut SeededRandom, first_expiry: Moment) {
    let head = cluster.head();
    let followers = cluster.other_cores(head);
    let head_at = first_expiry + HEAD_DELAY - random_time(random, &HEAD_LEAD_MS);
    let followers_at = head_at - random_time(random, &FOLLOWERS_LEAD_MS);
    let head_end = head_at + random_time(random, &HEAD_FREEZE_MS);
    let followers_end = followers_at + random_time(random, &FOLLOWERS_FREEZE_MS);
    let mut signals: Vec<(Moment, CoreSignal)> = vec![
        (head_at, CoreSignal::Freeze(vec![head])),
        (followers_at, CoreSignal::Freeze(followers.clone())),
        (head_end, CoreSignal::Thaw(vec![head])),
        (followers_end, CoreSignal::Thaw(followers)),
    ];
    signals.sort_by_key(|(at, _)| *at);
    for (at, signal) in signals {
        pause_until(cluster, at);
        eprintln!("{:8.3} {signal:?}", at.as_secs_f64());
        match signal {
            CoreSignal::Freeze(members) => cluster.freeze_machines(&members),
            CoreSignal::Thaw(members) => cluster.thaw_machines(&members),
        }
    }
}

/// A signal to the processes of core machines.
#[derive(Debug)]
enum CoreSignal {
    Freeze(Vec<MachineId>),
    Thaw(Vec<MachineId>),
}

fn pause_until(cluster: &Cluster, at: Moment) {
    pause(cluster, at.saturating_sub(cluster.environment.now()));
}
