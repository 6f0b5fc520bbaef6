//! Tests of the limits on open jobs and tasks.

use super::*;

#[test]
fn load_is_full_at_the_limit_of_tasks() {
    let mut load = AdmissionLoad::default();
    load.tasks_opened(OPEN_TASKS_MAX - 1);
    assert!(!load.is_full(0));
    load.tasks_opened(1);
    assert!(load.is_full(0));
    load.tasks_closed(1);
    assert!(!load.is_full(0));
}

#[test]
fn load_is_full_at_the_limit_of_jobs() {
    let mut load = AdmissionLoad::default();
    assert!(!load.is_full(JOBS_MAX - 1));
    assert!(load.is_full(JOBS_MAX));
    (0..OPEN_JOBS_MAX).for_each(|_| load.job_opened());
    assert!(load.is_full(0));
}

#[test]
fn an_ended_job_leaves_no_load() {
    let mut load = AdmissionLoad::default();
    load.job_opened();
    load.tasks_opened(3);
    load.job_ended(3);
    assert!(!load.has_open_jobs());
    assert_eq!(load.open_tasks, 0);
}

#[test]
fn pending_jobs_are_counted_by_route() {
    let mut load = AdmissionLoad::default();
    load.job_pending("quick");
    load.job_pending("quick");
    load.job_no_longer_pending("quick");
    load.job_no_longer_pending("bulk");
    assert_eq!((load.pending("quick"), load.pending("bulk")), (1, 0));
}
