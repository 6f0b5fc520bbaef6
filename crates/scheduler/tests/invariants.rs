//! Checks the invariants under random faults: cancellations, crashes, partitions, failovers, drains and hanging
//! workers.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::{JobSpec, JobState, Step};
use indigofold_protocol::task::JobId;
use rstest::rstest;

/// Kind of faults that a scenario injects.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Quiet,
    Cancels,
    Crashes,
    Partitions,
    Failovers,
    Draining,
    Hangs,
    All,
}

/// A job of random kind, and the route that it is submitted to.
fn random_job(cluster: &mut Cluster) -> (&'static str, JobSpec) {
    let rng = &mut cluster.rng;
    match rng.below(8) {
        0 => ("quick", two_steps(speculative(6, 240, 700))),
        1..3 => ("quick", two_steps(step(6, 240, 300 + rng.below(600)))),
        3 => ("bulk", speculative_steps()),
        4 => ("bulk", spec(vec![labelled()])),
        5 => ("vision", spec(vec![gang()])),
        6 => ("vision", spec(vec![with_affinity()])),
        _ => ("quick", repeated(cluster)),
    }
}

fn speculative(count: u32, cpu: u64, ms: u64) -> Step {
    Step {
        speculative: true,
        ..step(count, cpu, ms)
    }
}

/// A job of this step and a second one with checkpoints that depends on it.
fn two_steps(first: Step) -> JobSpec {
    let second = Step {
        depends_on: vec![0],
        checkpoints: true,
        ..step(3, 400, 600)
    };
    spec(vec![first, second])
}

fn speculative_steps() -> JobSpec {
    let spread = Step {
        anti_affinity: 2,
        ..speculative(6, 500, 800)
    };
    spec(vec![speculative(14, 520, 2_000), spread])
}

fn labelled() -> Step {
    Step {
        requirements: "b".to_owned(),
        ..step(4, 2_000, 900)
    }
}

fn gang() -> Step {
    Step {
        gang: true,
        rack_local: true,
        gpu: 4,
        ..step(2, 15_000, 1_500)
    }
}

fn with_affinity() -> Step {
    Step {
        gpu: 1,
        affinity: "r1-1".to_owned(),
        ..step(6, 2_800, 1_000)
    }
}

/// A job of three repetitions, the first due within 1.5 s.
fn repeated(cluster: &mut Cluster) -> JobSpec {
    let start_at_ms = cluster.wall_ms() + cluster.rng.below(1_500);
    JobSpec {
        repeat_count: 3,
        start_at_ms,
        interval_ms: 400,
        ..spec(vec![step(2, 300, 500)])
    }
}

/// Injects faults of this kind at random, on a random node or job.
fn inject_fault(cluster: &mut Cluster, kind: Fault, ids: &[JobId]) {
    let injects_all = matches!(kind, Fault::All);
    let nodes = cluster.nodes.len() as u64;
    let node = cluster.rng.below(nodes) as usize;
    if (injects_all || matches!(kind, Fault::Cancels)) && cluster.rng.chance(25) && !ids.is_empty()
    {
        let id = ids[cluster.rng.below(ids.len() as u64) as usize];
        cluster.cancel(id);
    }
    if (injects_all || matches!(kind, Fault::Crashes))
        && cluster.rng.chance(8)
        && cluster.nodes[node].up
    {
        let downtime_ms = 300 + cluster.rng.below(3_000);
        cluster.nodes[node].crash(cluster.now_ms, downtime_ms);
    }
    if (injects_all || matches!(kind, Fault::Partitions)) && cluster.rng.chance(8) {
        if cluster.nodes[node].connected {
            cluster.disconnect(node);
        } else {
            cluster.connect(node);
        }
    }
    if (injects_all || matches!(kind, Fault::Failovers)) && cluster.rng.chance(4) {
        cluster.fail_over();
    }
    if (injects_all || matches!(kind, Fault::Draining)) && cluster.rng.chance(4) {
        let until_ms = cluster.now_ms + 1_500 + cluster.rng.below(4_000);
        cluster.nodes[node].drain_end_ms.get_or_insert(until_ms);
        cluster.nodes[node].report_now = true;
    }
    if (injects_all || matches!(kind, Fault::Hangs)) && cluster.rng.chance(3) {
        cluster.nodes[node].hangs ^= true;
    }
}

/// Submits 60 random jobs and injects random faults of this kind in between, then checks how the jobs end.
fn run_scenario(kind: Fault, seed: u64) {
    let mut cluster = Cluster::new(seed);
    cluster.fault_free = matches!(kind, Fault::Quiet | Fault::Cancels);
    cluster.checks_idle = matches!(
        kind,
        Fault::Quiet | Fault::Cancels | Fault::Draining | Fault::Hangs
    );
    let mut ids = Vec::new();
    for number in 0..60 {
        let (route, spec) = random_job(&mut cluster);
        ids.push(cluster.submit(route, number + 1, spec));
        let interval_ms = 50 + cluster.rng.below(300);
        cluster.run_for(interval_ms);
        inject_fault(&mut cluster, kind, &ids);
        if cluster.rng.chance(30) {
            let id = ids[cluster.rng.below(ids.len() as u64) as usize];
            cluster.get(id);
        }
    }
    finish(&mut cluster, &ids);
}

/// Ends all faults and checks that every accepted job that was not cancelled completes, and that no run is left.
fn finish(cluster: &mut Cluster, ids: &[JobId]) {
    for node in 0..cluster.nodes.len() {
        cluster.nodes[node].hangs = false;
        if !cluster.nodes[node].connected {
            cluster.connect(node);
        }
    }
    for _ in 0..60 {
        cluster.run_for(1_000);
        let open_jobs = ids
            .iter()
            .filter(|id| cluster.jobs[id].ended_ms.is_none())
            .copied();
        let open_jobs: Vec<JobId> = open_jobs
            .filter(|id| cluster.jobs[id].accepted_ms.is_some())
            .collect();
        if open_jobs.is_empty() {
            break;
        }
        open_jobs.into_iter().for_each(|id| cluster.get(id));
    }
    for id in ids {
        let job = &cluster.jobs[id];
        let must_complete = job.accepted_ms.is_some() && job.cancelled_ms.is_none();
        let completed =
            job.state == Some(JobState::Completed) || job.state == Some(JobState::Cancelled);
        assert!(
            !must_complete || completed,
            "job {id} ({:?}) has the state {:?} after all faults ended",
            job.spec,
            job.state
        );
    }
    assert!(
        cluster.nodes.iter().all(|node| node.running.is_empty()),
        "a run is left after all jobs have ended"
    );
}

#[rstest]
fn invariants_hold_under_faults(
    #[values(
        Fault::Quiet,
        Fault::Cancels,
        Fault::Crashes,
        Fault::Partitions,
        Fault::Failovers,
        Fault::Draining,
        Fault::Hangs,
        Fault::All
    )]
    kind: Fault,
) {
    (1..=12).for_each(|seed| run_scenario(kind, seed));
}
