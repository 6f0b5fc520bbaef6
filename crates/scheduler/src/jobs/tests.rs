//! Tests of the lifecycle of jobs without workers and queues: which events each change emits.

mod builder;

use super::*;
use crate::run_result::RunResult;
use builder::{JOB, JobFixture, gang, one_task};
use indigofold_protocol::job::{JobState, Step};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::RunEnd;
use rstest::rstest;

const DONE: RunResult = RunResult::Ended(RunEnd::Done);
const FAILED: RunResult = RunResult::Ended(RunEnd::Failed);

/// Whether the event puts this step into the queue.
fn enqueues_step(event: &JobEvent, step: u32) -> bool {
    matches!(event, JobEvent::StepEnqueued { key, .. } if key.step_ref == builder::step_ref(step))
}

#[test]
fn an_accepted_job_is_written_and_its_first_step_is_ready() {
    let mut fixture = JobFixture::new();
    let events = fixture.accept(vec![
        one_task(),
        Step {
            depends_on: vec![0],
            ..one_task()
        },
    ]);
    assert_eq!(events[0], JobEvent::Accepted(JOB));
    assert!(events.contains(&JobEvent::ProgressChanged(JOB)));
    assert!(events.iter().any(|event| enqueues_step(event, 0)));
    assert!(!events.iter().any(|event| enqueues_step(event, 1)));
    assert_eq!(fixture.jobs.pending("route"), 1);
}

#[test]
fn the_last_task_of_a_step_makes_the_next_step_ready() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![
        Step {
            count: 2,
            ..one_task()
        },
        Step {
            depends_on: vec![0],
            ..one_task()
        },
    ]);
    let (first, second) = (fixture.place_first(0, 0), fixture.place_first(0, 1));
    assert_eq!(
        fixture.jobs.pending("route"),
        1,
        "runs are placed, but none has begun"
    );
    fixture.begin(first);
    assert_eq!(
        fixture.jobs.pending("route"),
        0,
        "a run has begun, so the job is not pending any more"
    );
    let events = fixture.end(first, DONE);
    assert!(!events.iter().any(|event| enqueues_step(event, 1)));
    let events = fixture.end(second, DONE);
    assert!(events.iter().any(|event| enqueues_step(event, 1)));
    assert!(!fixture.job().has_ended());
}

#[test]
fn a_job_whose_last_task_is_done_has_completed_and_is_closed() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![one_task()]);
    let run = fixture.place_first(0, 0);
    let events = fixture.end(run, DONE);
    assert_eq!(fixture.end_state(), Some(JobState::Completed));
    assert!(events.contains(&JobEvent::Closed(JOB)));
    assert!(!fixture.jobs.has_open_jobs());
}

#[test]
fn ending_a_run_twice_has_no_further_effect() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![Step {
        count: 2,
        ..one_task()
    }]);
    let run = fixture.place_first(0, 0);
    assert!(fixture.try_end(run, DONE).is_some());
    assert!(fixture.try_end(run, DONE).is_none());
    assert_eq!(fixture.step(0).open_tasks(), 1);
}

#[rstest]
#[case::lost(RunResult::Lost)]
#[case::stopped(RunResult::Ended(RunEnd::Stopped))]
#[case::not_started(RunResult::NotStarted)]
fn a_lost_stopped_or_unstarted_run_is_requeued_without_counting_a_failure(
    #[case] result: RunResult,
) {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![one_task()]);
    for attempt in 1..=5 {
        let run = fixture.place_first(0, 0);
        assert_eq!(run.attempt, attempt);
        let events = fixture.end(run, result);
        assert!(
            events.iter().any(|event| enqueues_step(event, 0)),
            "attempt {attempt}"
        );
    }
    assert_eq!(fixture.end_state(), None);
}

#[test]
fn the_last_failure_allowed_fails_the_job_and_stops_its_other_runs() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![Step {
        count: 2,
        ..one_task()
    }]);
    let other = fixture.place_first(0, 1);
    for failure in 1..=builder::MAX_RETRIES {
        let run = fixture.place_first(0, 0);
        let events = fixture.end(run, FAILED);
        let stop = JobEvent::StopOnceCommitted(other);
        assert_eq!(events.contains(&stop), failure == builder::MAX_RETRIES);
    }
    assert_eq!(fixture.end_state(), Some(JobState::Failed));
    assert_eq!(
        fixture.jobs.take_late_ends().len(),
        1,
        "the failed job is recorded as a late end"
    );
    assert!(
        fixture.job().has_outstanding_runs(),
        "the job is closed only once its last run has ended"
    );
    let events = fixture.end(other, RunResult::NotStarted);
    assert!(events.contains(&JobEvent::Closed(JOB)));
}

#[test]
fn a_gang_that_loses_a_member_stops_the_others_and_waits_until_none_runs() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![gang(3)]);
    let runs = fixture.place_gang(0, 3);
    assert!(runs.iter().all(|run| run.attempt == 1));
    let events = fixture.end(runs[0], RunResult::Lost);
    let stopped = [runs[1], runs[2]].map(|run| JobEvent::StopTask(run.task));
    assert!(stopped.iter().all(|stop| events.contains(stop)));
    assert!(!events.iter().any(|event| enqueues_step(event, 0)));
    fixture.end(runs[1], RunResult::Lost);
    let events = fixture.end(runs[2], RunResult::Lost);
    assert!(events.iter().any(|event| enqueues_step(event, 0)));
    assert_eq!(fixture.step(0).waiting().len(), 3);
    assert!(fixture.place_gang(0, 3).iter().all(|run| run.attempt == 2));
}

#[test]
fn one_done_completes_a_whole_gang() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![
        gang(2),
        Step {
            depends_on: vec![0],
            ..one_task()
        },
    ]);
    let runs = fixture.place_gang(0, 2);
    let events = fixture.end(runs[1], DONE);
    assert!(fixture.step(0).is_done());
    assert!(events.iter().any(|event| enqueues_step(event, 1)));
}

#[test]
fn a_done_beside_a_speculative_run_stops_the_other_run() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![
        Step {
            speculative: true,
            ..one_task()
        },
        Step {
            depends_on: vec![0],
            ..one_task()
        },
    ]);
    let (first, second) = (fixture.place_first(0, 0), fixture.place_first(0, 0));
    let events = fixture.end(second, DONE);
    assert!(events.contains(&JobEvent::StopTask(first.task)));
    assert_eq!(fixture.jobs.attempts(&first.task), vec![first.attempt]);
}

#[test]
fn a_late_done_of_a_lost_run_stops_its_replacement() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![one_task()]);
    let lost = fixture.place_first(0, 0);
    fixture.end(lost, RunResult::Lost);
    let replacement = fixture.place_first(0, 0);
    let events = fixture.late_done(lost.task);
    assert!(events.contains(&JobEvent::StopTask(replacement.task)));
    assert_eq!(fixture.end_state(), Some(JobState::Completed));
}

#[test]
fn a_failure_on_a_second_worker_is_marked_as_failed_elsewhere() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![Step {
        count: 3,
        ..one_task()
    }]);
    let runs = [
        fixture.place_at(0, 0, 1),
        fixture.place_at(0, 1, 1),
        fixture.place_at(0, 2, 2),
    ];
    let elsewhere = runs.map(|run| {
        fixture
            .try_end(run, FAILED)
            .expect("the run is outstanding")
            .failed_elsewhere
    });
    assert_eq!(elsewhere, [false, false, true]);
}

#[test]
fn a_cancelled_job_leaves_the_queue_and_is_removed_after_the_retention_time() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![one_task()]);
    let events = fixture.cancel();
    assert!(
        events
            .iter()
            .any(|event| matches!(event, JobEvent::StepDequeued { .. }))
    );
    assert!(events.contains(&JobEvent::Closed(JOB)));
    fixture.advance(lifecycle::retention_ms(builder::STATUS_S) - 1);
    assert_eq!(fixture.remove_ended(), Vec::new());
    fixture.advance(1);
    assert_eq!(fixture.remove_ended(), vec![JobEvent::Removed(JOB)]);
}

#[test]
fn a_checkpoint_is_due_once_the_rows_are_old_enough_and_not_after_a_write() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![one_task()]);
    fixture.write_rows();
    fixture.jobs.add_unwritten_checkpoint(JOB);
    assert_eq!(fixture.jobs_to_write(100), Vec::new());
    fixture.advance(100);
    assert_eq!(fixture.jobs_to_write(100), vec![JOB]);
    fixture.write_rows();
    fixture.advance(1_000);
    assert_eq!(fixture.jobs_to_write(100), Vec::new());
}

#[test]
fn a_start_order_exists_only_for_an_outstanding_run_of_an_open_job() {
    let mut fixture = JobFixture::new();
    fixture.accept(vec![Step {
        count: 2,
        ..one_task()
    }]);
    let run = fixture.place_first(0, 0);
    assert!(fixture.jobs.start_order(run).is_some());
    assert!(
        fixture
            .jobs
            .start_order(RunId { attempt: 9, ..run })
            .is_none()
    );
    fixture.cancel();
    assert!(fixture.jobs.start_order(run).is_none());
}
