//! A job that ends after its latency target, or fails, is reported with a latency breakdown; one that meets its target
//! is not.

mod cluster;

use cluster::{Cluster, first_task, spec, step};
use indigofold_protocol::job::{JobState, Step};
use indigofold_scheduler::{Cause, LateEnd};

/// Returns the only late end that was reported.
fn only_late_end(cluster: &Cluster) -> &LateEnd {
    assert_eq!(cluster.late_ends.len(), 1, "{:?}", cluster.late_ends);
    &cluster.late_ends[0]
}

/// Checks that the breakdown adds up to the total time, except for rounding (up to 1 ms per cause).
fn assert_breakdown_complete(end: &LateEnd) {
    let sum: u64 = Cause::ALL
        .map(|cause| end.breakdown.get(cause))
        .iter()
        .sum();
    assert!(
        end.took_ms.abs_diff(sum) <= 12,
        "{end}: the breakdown adds up to {sum} ms"
    );
}

#[test]
fn a_job_that_meets_its_latency_target_is_not_reported() {
    let mut cluster = Cluster::started(1);
    cluster.submit("quick", 1, spec(vec![step(8, 500, 700)]));
    cluster.run_for(3_000);
    assert_eq!(cluster.late_ends, vec![]);
}

/// A job of two steps waits behind a full service, and the first run of its second step fails.
#[test]
fn waits_runs_and_failures_add_up_to_the_total_time() {
    let mut cluster = Cluster::started(2);
    cluster.submit("quick", 1, spec(vec![step(64, 1_000, 6_000)]));
    cluster.run_for(100);
    let second = Step {
        depends_on: vec![0],
        ..step(1, 1_000, 500)
    };
    let job = cluster.submit("quick", 2, spec(vec![step(2, 1_000, 500), second]));
    cluster.set_work(first_task(job, 1), 500, 1);
    cluster.run_for(12_000);
    let end = only_late_end(&cluster);
    assert_eq!(
        (end.job, end.state, end.route.as_str()),
        (job, JobState::Completed, "quick")
    );
    assert_breakdown_complete(end);
    assert!(end.breakdown.get(Cause::Capacity) > 4_000, "{end}");
    assert!(
        (500..800).contains(&end.breakdown.get(Cause::Failed)),
        "{end}"
    );
    assert!(
        (900..1_300).contains(&end.breakdown.get(Cause::Run)),
        "{end}"
    );
    assert!(end.breakdown.get(Cause::Commit) >= 24, "{end}");
}

/// The rack with the data is full, but other racks are not: the wait counts as locality, not as capacity.
#[test]
fn a_wait_for_a_local_worker_counts_as_locality() {
    let mut cluster = Cluster::started(3);
    let in_rack = |count, ms| Step {
        affinity: "r1-1".to_owned(),
        ..step(count, 1_000, ms)
    };
    cluster.submit("quick", 1, spec(vec![in_rack(32, 2_000)]));
    cluster.run_for(50);
    let job = cluster.submit("quick", 2, spec(vec![in_rack(1, 300)]));
    cluster.set_work(first_task(job, 0), 2_500, 0);
    cluster.run_for(6_000);
    let late_end = cluster
        .late_ends
        .iter()
        .find(|end| end.job == job)
        .expect("the job was reported as a late end");
    assert_breakdown_complete(late_end);
    assert!(late_end.breakdown.get(Cause::Locality) > 100, "{late_end}");
    assert_eq!(late_end.breakdown.get(Cause::Queue), 0, "{late_end}");
}

#[test]
fn a_failed_job_is_reported() {
    let mut cluster = Cluster::started(4);
    let job = cluster.submit("quick", 1, spec(vec![step(1, 1_000, 300)]));
    cluster.set_work(first_task(job, 0), 300, 9);
    cluster.run_for(4_000);
    let end = only_late_end(&cluster);
    assert_eq!((end.job, end.state), (job, JobState::Failed));
    assert!(end.breakdown.get(Cause::Failed) > 900, "{end}");
    assert_breakdown_complete(end);
}

/// After a failover the new head does not know why the job waited before, so it attributes that time to its predecessor,
/// the head that failed.
#[test]
fn time_under_a_predecessor_has_its_own_cause() {
    let mut cluster = Cluster::started(5);
    cluster.submit("quick", 1, spec(vec![step(64, 1_000, 2_500)]));
    cluster.run_for(100);
    let job = cluster.submit("quick", 2, spec(vec![step(1, 1_000, 300)]));
    cluster.run_for(1_000);
    cluster.fail_over();
    cluster.run_for(8_000);
    let late_end = cluster
        .late_ends
        .iter()
        .find(|end| end.job == job)
        .expect("the job was reported as a late end");
    assert!(
        (800..1_300).contains(&late_end.breakdown.get(Cause::Predecessor)),
        "{late_end}"
    );
    assert_breakdown_complete(late_end);
}
