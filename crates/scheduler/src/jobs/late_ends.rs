//! Latency accounting of jobs: records the latency breakdown of jobs and repetitions that end late or fail.

use crate::clock::Clock;
use crate::jobs::{Jobs, Repetition};
use crate::latency::{Cause, LateEnd, LatencyBreakdown};
use crate::queue::StepRef;
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::TaskName;

/// The breakdown of a repetition that is opened now but was due at `due_ms` of the monotonic clock: the time since then
/// counts as spent under the previous head.
pub(super) fn latency_before_opening(due_ms: i64, clock: &Clock) -> LatencyBreakdown {
    let mut latency = LatencyBreakdown::default();
    latency.add(Cause::Predecessor, clock.since_ms(due_ms));
    latency
}

impl Jobs {
    /// The latency breakdown from the repetition's due time to the end of this task.
    pub(super) fn latency_until(&self, task: &TaskName) -> LatencyBreakdown {
        let Some(step) = self.step_state(StepRef::of(task)) else {
            return LatencyBreakdown::default();
        };
        let mut latency = step.latency_until_ready();
        if let Some(entry) = step.task(task.index) {
            latency.add_all(entry.latency());
        }
        latency
    }

    /// Records the repetition of this task as late if all its tasks are done and its latency target was missed.
    pub(super) fn record_repeat_end(&mut self, task: &TaskName, clock: &Clock) {
        let job = self.get(&task.job);
        let repeat = job.and_then(|job| job.repeat(task.repeat));
        if repeat.is_some_and(Repetition::is_done) {
            self.record_late_end(task, JobState::Completed, clock);
        }
    }

    /// Records a repetition that ended with this task, with its latency breakdown, if it ended after the latency target
    /// or failed.
    pub(super) fn record_late_end(&mut self, task: &TaskName, state: JobState, clock: &Clock) {
        let Some(job) = self.get(&task.job) else {
            return;
        };
        let Some(repeat) = job.repeat(task.repeat) else {
            return;
        };
        let took_ms = clock.since_ms(repeat.due_ms());
        let latency_target_ms = job.latency_target_ms();
        if state == JobState::Completed && took_ms <= latency_target_ms {
            return;
        }
        let end = LateEnd {
            job: task.job,
            repeat: task.repeat,
            route: job.route().to_owned(),
            state,
            took_ms,
            latency_target_ms,
            breakdown: self.latency_until(task),
        };
        self.late_ends.push(end);
    }
}
