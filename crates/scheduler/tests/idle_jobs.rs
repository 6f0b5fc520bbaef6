//! No job stays idle while there is capacity for it, even if only workers are left that placement would rather avoid.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::Step;
use rstest::rstest;

/// Placement constraint of a job's step.
#[derive(Clone, Copy, Debug)]
enum Constraint {
    Unconstrained,
    Label,
    Spread,
    Rack,
    Gang,
    LongRunning,
}

fn step_with(constraint: Constraint) -> Step {
    let plain_step = step(2, 240, 400);
    match constraint {
        Constraint::Unconstrained => plain_step,
        Constraint::Label => Step {
            requirements: "b".to_owned(),
            ..plain_step
        },
        Constraint::Spread => Step {
            anti_affinity: 1,
            ..plain_step
        },
        Constraint::Rack => Step {
            affinity: "r1-2".to_owned(),
            ..plain_step
        },
        Constraint::Gang => Step {
            gang: true,
            rack_local: true,
            ..plain_step
        },
        Constraint::LongRunning => Step {
            long_running: true,
            ..plain_step
        },
    }
}

fn set_fails(cluster: &mut Cluster, fails: bool) {
    cluster.nodes.iter_mut().for_each(|node| node.fails = fails);
}

/// All workers fail for a while, so that all are suspected. Jobs must still run, whether the workers recover or not.
#[rstest]
fn jobs_run_when_all_workers_are_suspected(
    #[values(
        Constraint::Unconstrained,
        Constraint::Label,
        Constraint::Spread,
        Constraint::Rack,
        Constraint::Gang,
        Constraint::LongRunning
    )]
    constraint: Constraint,
    #[values(true, false)] with_long_running_work: bool,
    #[values(true, false)] recovers: bool,
) {
    let mut cluster = Cluster::new(1);
    cluster.checks_idle = true;
    cluster.run_for(200);
    if with_long_running_work {
        cluster.submit(
            "bulk",
            500,
            spec(vec![Step {
                long_running: true,
                anti_affinity: 1,
                ..step(4, 100, 100)
            }]),
        );
        cluster.run_for(300);
    }
    set_fails(&mut cluster, true);
    for number in 0..12 {
        cluster.submit("quick", 100 + number, spec(vec![step(6, 240, 200)]));
        cluster.run_for(150);
    }
    set_fails(&mut cluster, !recovers);
    for number in 0..12 {
        cluster.submit("quick", 1 + number, spec(vec![step_with(constraint)]));
        cluster.run_for(700);
    }
    cluster.run_for(6_000);
}

/// A cluster with checks for idle jobs, where a task occupies one worker of a service for `busy_ms` and a gang waits
/// for all workers of that service.
fn with_waiting_gang(seed: u64, busy_ms: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    cluster.checks_idle = true;
    cluster.run_for(200);
    cluster.submit(
        "vision",
        1,
        spec(vec![Step {
            gpu: 1,
            ..step(1, 2_000, busy_ms)
        }]),
    );
    cluster.run_for(200);
    cluster.submit(
        "vision",
        2,
        spec(vec![Step {
            gang: true,
            gpu: 8,
            ..step(3, 4_000, 1_000)
        }]),
    );
    cluster
}

/// A gang waits for complete workers, one of which is in use for long. The other workers are reserved for it, but jobs
/// that would stay idle otherwise may use them.
#[rstest]
#[case::gang(Step { gang: true, gpu: 1, ..step(2, 2_000, 9_000) })]
#[case::long(Step { gpu: 1, ..step(2, 2_000, 9_000) })]
#[case::long_running(Step { long_running: true, gpu: 1, ..step(2, 2_000, 500) })]
#[case::large(Step { gpu: 3, ..step(1, 9_000, 9_000) })]
fn waiting_for_reserved_workers_is_bounded(#[case] other_step: Step) {
    let mut cluster = with_waiting_gang(2, 30_000);
    cluster.run_for(300);
    for number in 0..3 {
        cluster.submit("vision", 3 + number, spec(vec![other_step.clone()]));
        cluster.run_for(400);
    }
    cluster.run_for(6_000);
}

/// Steps ahead in the queue that may not use a reserved worker yet must not block steps behind them that may, because
/// they have waited longer.
#[test]
fn new_steps_do_not_block_steps_that_have_waited() {
    let mut cluster = with_waiting_gang(3, 60_000);
    for number in 0..40 {
        cluster.submit(
            "vision",
            10 + number,
            spec(vec![Step {
                gpu: 1,
                ..step(1, 1_000, 9_000)
            }]),
        );
        cluster.run_for(300);
        if number == 3 {
            let large = Step {
                gpu: 1,
                ..step(1, 1_500, 20_000)
            };
            cluster.submit("vision", 9, spec(vec![large]));
        }
    }
}
