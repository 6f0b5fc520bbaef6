//! Workers send `DELETE` and serve on right after the ends of their tasks, while the head stands still, as in `review/4`; node
//! agents are restarted in between.

use super::faults::{pause, random_time};
use super::seeded_random::SeededRandom;
use indigofold_system_tests::checks::Exemptions;
use indigofold_system_tests::client::SubmittedJob;
use indigofold_system_tests::cluster::{CATCH_UP, Cluster};
use indigofold_system_tests::configuration::QUICK;
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::system::{MachineCounts, Programs};
use indigofold_system_tests::wire::EndReason;
use indigofold_system_tests::worker::Worker;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Number of times that workers leave in one run.
const ROUNDS: u32 = 3;
const MACHINES: MachineCounts = MachineCounts {
    cores: 3,
    edges: 1,
    sides: 4,
};
/// Maximum number of tasks in a round; all fit at once.
const TASKS_MAX: u64 = 8;
/// Time that each task works.
const WORK_MS: RangeInclusive<u64> = 300..=1_200;
/// Time until restarted workers can be given tasks.
const REGISTRATION: Duration = Duration::from_millis(500);
/// Time from the last start until the head is frozen.
const UNTIL_FROZEN_MS: RangeInclusive<u64> = 0..=1_200;
/// Time from the last end until workers leave: it may be listed or not.
const UNTIL_LEAVING_MS: RangeInclusive<u64> = 0..=500;
/// Time for which the head stands still after that; its lease is 0.6 s.
const FROZEN_MS: RangeInclusive<u64> = 0..=2_000;
/// Time in which a task that counts as lost would be started again.
const UNTIL_RESTARTED: Duration = Duration::from_millis(1_500);

/// Runs a seed; panics if a task that is done starts again, a job does not end in time or a rule is broken.
pub(crate) fn run_seed_with_leaving_workers(programs: Programs, seed: u64) {
    let mut cluster = Cluster::start(programs, MACHINES);
    cluster.exempt(Exemptions {
        gangs: true,
        late_stops: true,
    });
    let mut random = SeededRandom::new(seed);
    for _ in 0..ROUNDS {
        leave_without_head(&mut cluster, &mut random);
    }
    cluster.finish();
}

/// Runs a job, freezes the head near the ends of its tasks, and lets workers leave that have run them.
fn leave_without_head(cluster: &mut Cluster, random: &mut SeededRandom) {
    cluster.workers.iter().for_each(Worker::restart);
    pause(cluster, REGISTRATION);
    let tasks = 1 + random.below(TASKS_MAX);
    let work = random_time(random, &WORK_MS);
    let step = Step::new(tasks as u32, work.as_millis() as u64);
    let submitted = cluster.submit(QUICK, &Job::new(vec![step]));
    cluster.wait_starts(&submitted, tasks as usize);
    let head = cluster.head();
    pause(cluster, random_time(random, &UNTIL_FROZEN_MS));
    cluster.freeze_machines(&[head]);
    cluster.wait_for_record("the ends of all tasks", |record| {
        let ends = record.count_ends(&submitted.id, EndReason::Done);
        (ends == tasks as usize).then_some(())
    });
    pause(cluster, random_time(random, &UNTIL_LEAVING_MS));
    for worker in workers_of(cluster, &submitted) {
        if random.below(2) == 0 {
            leave(cluster, worker, random.below(3) == 0);
        }
    }
    pause(cluster, random_time(random, &FROZEN_MS));
    cluster.thaw_machines(&[head]);
    cluster.expect_completed(&submitted);
    pause(cluster, UNTIL_RESTARTED);
    let starts = cluster.count_starts(&submitted);
    assert_eq!(starts, tasks as usize, "starts of tasks that were done");
    pause(cluster, CATCH_UP);
}

/// Indices of the workers that have run tasks of the job.
fn workers_of(cluster: &Cluster, submitted: &SubmittedJob) -> Vec<usize> {
    let names: Vec<String> = cluster.environment.read(|record| {
        let starts = record.starts(&submitted.id);
        starts
            .map(|start| record.instance(start.instance).worker.clone())
            .collect()
    });
    let workers = cluster.workers.iter().enumerate();
    let workers = workers.filter(|(_, worker)| names.iter().any(|name| name == worker.name()));
    workers.map(|(index, _)| index).collect()
}

/// Lets a worker leave, which serves on, and restarts its node agent if `restarts_agent`.
fn leave(cluster: &mut Cluster, worker: usize, restarts_agent: bool) {
    eprintln!("worker {worker} leaves, restart of its node agent: {restarts_agent}");
    let response = cluster.workers[worker].deregister_and_serve_on();
    let response = response.expect("the node agent should answer");
    assert!(response.is_some_and(|response| response.is_success()));
    if restarts_agent {
        let side = cluster.system.sides()[worker];
        cluster.system.kill(side);
        cluster.start_machine(side);
    }
}
