//! Tests of the lifecycle of jobs without workers and queues: which events each change emits.

mod builder;

use super::*;
use crate::run_result::RunResult;
use builder::{JOB, Stage, gang, one_task};
use indigofold_protocol::job::{JobState, Step};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::RunEnd;
use rstest::rstest;

const DONE: RunResult = RunResult::Ended(RunEnd::Done);
const FAILED: RunResult = RunResult::Ended(RunEnd::Failed);

/// Whether the event puts this step into the queue.
fn says_ready(event: &JobEvent, step: u32) -> bool {
    matches!(event, JobEvent::StepReady { key, .. } if key.at == builder::at(step))
}

#[test]
fn an_accepted_job_is_written_and_its_first_step_is_ready() {
    let mut stage = Stage::new();
    let events = stage.accept(vec![
        one_task(),
        Step {
            depends_on: vec![0],
            ..one_task()
        },
    ]);
    assert_eq!(events[0], JobEvent::Accepted(JOB));
    assert!(events.contains(&JobEvent::ProgressChanged(JOB)));
    assert!(events.iter().any(|event| says_ready(event, 0)));
    assert!(!events.iter().any(|event| says_ready(event, 1)));
    assert_eq!(stage.jobs.pending("route"), 1);
}

#[test]
fn the_last_task_of_a_step_makes_the_next_step_ready() {
    let mut stage = Stage::new();
    stage.accept(vec![
        Step {
            count: 2,
            ..one_task()
        },
        Step {
            depends_on: vec![0],
            ..one_task()
        },
    ]);
    let (first, second) = (stage.place_first(0, 0), stage.place_first(0, 1));
    assert_eq!(
        stage.jobs.pending("route"),
        0,
        "the job has a run and is not pending any more"
    );
    let events = stage.end(first, DONE);
    assert!(!events.iter().any(|event| says_ready(event, 1)));
    let events = stage.end(second, DONE);
    assert!(events.iter().any(|event| says_ready(event, 1)));
    assert!(!stage.job().has_ended());
}

#[test]
fn a_job_whose_last_task_is_done_has_completed_and_is_closed() {
    let mut stage = Stage::new();
    stage.accept(vec![one_task()]);
    let run = stage.place_first(0, 0);
    let events = stage.end(run, DONE);
    assert_eq!(stage.end_state(), Some(JobState::Completed));
    assert!(events.contains(&JobEvent::Closed(JOB)));
    assert!(!stage.jobs.has_open_jobs());
}

#[test]
fn an_end_counts_once() {
    let mut stage = Stage::new();
    stage.accept(vec![Step {
        count: 2,
        ..one_task()
    }]);
    let run = stage.place_first(0, 0);
    assert!(stage.try_end(run, DONE).is_some());
    assert!(stage.try_end(run, DONE).is_none());
    assert_eq!(stage.step(0).open_tasks(), 1);
}

#[rstest]
#[case::lost(RunResult::Lost)]
#[case::stopped(RunResult::Ended(RunEnd::Stopped))]
#[case::not_started(RunResult::NotStarted)]
fn a_run_that_ended_for_no_fault_of_its_own_is_requeued_without_counting(
    #[case] result: RunResult,
) {
    let mut stage = Stage::new();
    stage.accept(vec![one_task()]);
    for attempt in 1..=5 {
        let run = stage.place_first(0, 0);
        assert_eq!(run.attempt, attempt);
        let events = stage.end(run, result);
        assert!(
            events.iter().any(|event| says_ready(event, 0)),
            "attempt {attempt}"
        );
    }
    assert_eq!(stage.end_state(), None);
}

#[test]
fn the_last_failure_allowed_fails_the_job_and_stops_its_other_runs() {
    let mut stage = Stage::new();
    stage.accept(vec![Step {
        count: 2,
        ..one_task()
    }]);
    let other = stage.place_first(0, 1);
    for failure in 1..=builder::MAX_RETRIES {
        let run = stage.place_first(0, 0);
        let events = stage.end(run, FAILED);
        let stop = JobEvent::StopOnceCommitted(other);
        assert_eq!(events.contains(&stop), failure == builder::MAX_RETRIES);
    }
    assert_eq!(stage.end_state(), Some(JobState::Failed));
    assert_eq!(
        stage.jobs.take_late().len(),
        1,
        "the failed job is recorded as a late end"
    );
    assert!(
        stage.job().has_outstanding_runs(),
        "the job is closed only once its last run has ended"
    );
    let events = stage.end(other, RunResult::NotStarted);
    assert!(events.contains(&JobEvent::Closed(JOB)));
}

#[test]
fn a_gang_that_loses_a_member_stops_the_others_and_waits_until_none_runs() {
    let mut stage = Stage::new();
    stage.accept(vec![gang(3)]);
    let runs = stage.place_gang(0, 3);
    assert!(runs.iter().all(|run| run.attempt == 1));
    let events = stage.end(runs[0], RunResult::Lost);
    let stopped = [runs[1], runs[2]].map(|run| JobEvent::StopTask(run.task));
    assert!(stopped.iter().all(|stop| events.contains(stop)));
    assert!(!events.iter().any(|event| says_ready(event, 0)));
    stage.end(runs[1], RunResult::Lost);
    let events = stage.end(runs[2], RunResult::Lost);
    assert!(events.iter().any(|event| says_ready(event, 0)));
    assert_eq!(stage.step(0).waiting().len(), 3);
    assert!(stage.place_gang(0, 3).iter().all(|run| run.attempt == 2));
}

#[test]
fn one_done_completes_a_whole_gang() {
    let mut stage = Stage::new();
    stage.accept(vec![
        gang(2),
        Step {
            depends_on: vec![0],
            ..one_task()
        },
    ]);
    let runs = stage.place_gang(0, 2);
    let events = stage.end(runs[1], DONE);
    assert!(stage.step(0).is_done());
    assert!(events.iter().any(|event| says_ready(event, 1)));
}

#[test]
fn a_done_beside_a_speculative_run_stops_the_other_run() {
    let mut stage = Stage::new();
    stage.accept(vec![
        Step {
            speculative: true,
            ..one_task()
        },
        Step {
            depends_on: vec![0],
            ..one_task()
        },
    ]);
    let (first, second) = (stage.place_first(0, 0), stage.place_first(0, 0));
    let events = stage.end(second, DONE);
    assert!(events.contains(&JobEvent::StopTask(first.task)));
    assert_eq!(stage.jobs.attempts(&first.task), vec![first.attempt]);
}

#[test]
fn a_done_of_a_run_that_counted_as_lost_stops_the_run_that_replaced_it() {
    let mut stage = Stage::new();
    stage.accept(vec![one_task()]);
    let lost = stage.place_first(0, 0);
    stage.end(lost, RunResult::Lost);
    let replacement = stage.place_first(0, 0);
    let events = stage.late_done(lost.task);
    assert!(events.contains(&JobEvent::StopTask(replacement.task)));
    assert_eq!(stage.end_state(), Some(JobState::Completed));
}

#[test]
fn a_failure_on_a_second_worker_counts_as_the_jobs_own() {
    let mut stage = Stage::new();
    stage.accept(vec![Step {
        count: 3,
        ..one_task()
    }]);
    let runs = [
        stage.place_at(0, 0, 1),
        stage.place_at(0, 1, 1),
        stage.place_at(0, 2, 2),
    ];
    let elsewhere = runs.map(|run| {
        stage
            .try_end(run, FAILED)
            .expect("the run is outstanding")
            .failed_elsewhere
    });
    assert_eq!(elsewhere, [false, false, true]);
}

#[test]
fn a_cancelled_job_leaves_the_queue_and_is_forgotten_after_its_time() {
    let mut stage = Stage::new();
    stage.accept(vec![one_task()]);
    let events = stage.cancel();
    assert!(
        events
            .iter()
            .any(|event| matches!(event, JobEvent::StepLeft { .. }))
    );
    assert!(events.contains(&JobEvent::Closed(JOB)));
    stage.advance(lifecycle::shown_ms(builder::STATUS_S) - 1);
    assert_eq!(stage.forget(), Vec::new());
    stage.advance(1);
    assert_eq!(stage.forget(), vec![JobEvent::Forgotten(JOB)]);
}

#[test]
fn a_checkpoint_is_written_once_the_job_has_not_been_written_for_some_time() {
    let mut stage = Stage::new();
    stage.accept(vec![one_task()]);
    stage.jobs.record_row(JOB, stage.now_ms());
    stage.jobs.add_unwritten_checkpoint(JOB);
    assert_eq!(stage.unwritten(100), Vec::new());
    stage.advance(100);
    assert_eq!(stage.unwritten(100), vec![JOB]);
    stage.jobs.record_row(JOB, stage.now_ms());
    stage.advance(1_000);
    assert_eq!(stage.unwritten(100), Vec::new());
}

#[test]
fn an_order_leaves_only_for_a_task_that_is_still_wanted() {
    let mut stage = Stage::new();
    stage.accept(vec![Step {
        count: 2,
        ..one_task()
    }]);
    let run = stage.place_first(0, 0);
    assert!(stage.jobs.start_order(run).is_some());
    assert!(
        stage
            .jobs
            .start_order(RunId { attempt: 9, ..run })
            .is_none()
    );
    stage.cancel();
    assert!(stage.jobs.start_order(run).is_none());
}
