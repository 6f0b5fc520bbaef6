//! Follows where the time of each job goes, and reports the jobs that end late or fail.

use crate::latency::{Cause, LateEnd, LatencyBreakdown};
use crate::queue::StepRef;
use crate::run_result::RunResult;
use crate::state::ClusterState;
use crate::task::Run;
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::TaskName;

impl ClusterState {
    /// A step was looked at and still waits.
    pub(crate) fn record_wait(&mut self, at: StepRef, cause: Cause) {
        let now_ms = self.now_ms;
        if let Some(state) = self
            .jobs
            .get_mut(&at.job)
            .and_then(|job| job.step_state_mut(at))
        {
            state.waited_for(cause, now_ms);
        }
    }

    /// A run of a task has ended.
    pub(crate) fn record_run_latency(&mut self, task: &TaskName, run: &Run, result: RunResult) {
        let now_ms = self.now_ms;
        if let Some(entry) = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task_mut(task))
        {
            run.add_latency(&mut entry.latency, result, now_ms);
        }
    }

    /// Time that went before a repetition was opened here.
    pub(crate) fn latency_before_opening(&self, due_ms: i64) -> LatencyBreakdown {
        let mut latency = LatencyBreakdown::default();
        latency.add(
            Cause::Predecessor,
            (self.now_ms as i64).saturating_sub(due_ms).max(0) as u64,
        );
        latency
    }

    /// Where the time went from the repetition's due time to the end of this task.
    pub(crate) fn latency_until(&self, task: &TaskName) -> LatencyBreakdown {
        let job = self.jobs.get(&task.job);
        let mut latency = job
            .and_then(|job| job.step_state(StepRef::of(task)))
            .map_or_else(LatencyBreakdown::default, |step| step.latency_until_ready);
        if let Some(entry) = job.and_then(|job| job.task(task)) {
            latency.add_all(&entry.latency);
        }
        latency
    }

    /// A repetition has ended with this task; if that is late, or it has failed, its latency breakdown is reported.
    pub(crate) fn record_late_end(&mut self, task: &TaskName, state: JobState) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(repeat) = job.repeats.get(&task.repeat) else {
            return;
        };
        let took_ms = (self.now_ms as i64).saturating_sub(repeat.due_ms).max(0) as u64;
        let latency_target_ms = job.latency_target_ms();
        if state == JobState::Completed && took_ms <= latency_target_ms {
            return;
        }
        let (job_id, repeat, route) = (task.job, task.repeat, job.definition.route.clone());
        let breakdown = self.latency_until(task);
        self.late.push(LateEnd {
            job: job_id,
            repeat,
            route,
            state,
            took_ms,
            latency_target_ms,
            breakdown,
        });
    }
}
