//! Tests of suspicion, probation and recovery of a worker.

use super::*;

fn suspected(now_ms: u64) -> WorkerHealth {
    let mut health = WorkerHealth::default();
    (0..3).for_each(|_| health.record_failure(now_ms, false));
    health
}

#[test]
fn a_worker_is_suspected_after_three_failures_in_a_row() {
    let mut health = WorkerHealth::default();
    (0..10).for_each(|_| health.record_success(1_000, None));
    health.record_failure(1_000, false);
    health.record_failure(1_000, false);
    assert_eq!(health.status(1_000), HealthStatus::Healthy);
    health.record_failure(1_000, false);
    assert_eq!(health.status(1_000), HealthStatus::Suspected);
}

#[test]
fn failures_of_a_job_that_fails_everywhere_hardly_count() {
    let mut health = WorkerHealth::default();
    (0..10).for_each(|_| health.record_failure(1_000, true));
    assert_eq!(health.status(1_000), HealthStatus::Healthy);
}

#[test]
fn a_success_on_probation_restores_a_worker() {
    let mut health = suspected(1_000);
    let probation_ms = 1_000 + FIRST_PROBATION_MS;
    assert_eq!(health.status(probation_ms), HealthStatus::OnProbation);
    health.record_placement(probation_ms);
    assert_eq!(health.status(probation_ms), HealthStatus::Suspected);
    health.record_success(probation_ms + 500, None);
    assert_eq!(health.status(probation_ms + 500), HealthStatus::Healthy);
}

#[test]
fn a_failure_on_probation_doubles_the_backoff() {
    let mut health = suspected(1_000);
    let probation_ms = 1_000 + FIRST_PROBATION_MS;
    health.record_placement(probation_ms);
    health.record_failure(probation_ms, false);
    let next_ms = probation_ms + 2 * FIRST_PROBATION_MS;
    assert_eq!(health.status(next_ms - 1), HealthStatus::Suspected);
    assert_eq!(health.status(next_ms), HealthStatus::OnProbation);
}

#[test]
fn a_worker_that_is_far_slower_than_expected_is_suspected() {
    let mut health = WorkerHealth::default();
    (0..10).for_each(|_| health.record_success(1_000, Some(2.0 * SLOWDOWN_MAX)));
    assert_eq!(health.status(1_000), HealthStatus::Suspected);
}
