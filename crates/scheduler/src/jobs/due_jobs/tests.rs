//! Tests that timers of jobs are popped in order of time, and never early.

use super::*;

fn due(wall_ms: u64, job: u64) -> DueJob {
    DueJob {
        wall_ms,
        job: JobId(job),
    }
}

#[test]
fn repetitions_are_popped_in_order_of_time() {
    let mut jobs = DueJobs::default();
    jobs.add_repetition(due(200, 1));
    jobs.add_repetition(due(100, 2));
    assert_eq!(jobs.next_repetition_wall_ms(), Some(100));
    assert_eq!(jobs.pop_repetition(99), None);
    assert_eq!(jobs.pop_repetition(300), Some(due(100, 2)));
    assert_eq!(jobs.pop_repetition(300), Some(due(200, 1)));
    assert_eq!(jobs.pop_repetition(300), None);
}

#[test]
fn removed_repetitions_are_not_popped() {
    let mut jobs = DueJobs::default();
    jobs.add_repetition(due(100, 1));
    jobs.remove_repetition(due(100, 1));
    assert_eq!(jobs.pop_repetition(300), None);
}

#[test]
fn expiries_and_repetitions_are_separate() {
    let mut jobs = DueJobs::default();
    jobs.add_expiry(due(100, 1));
    assert_eq!(jobs.next_repetition_wall_ms(), None);
    assert_eq!(jobs.pop_expiry(100), Some(due(100, 1)));
}
