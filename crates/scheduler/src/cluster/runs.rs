//! The lifecycle of a run, from placement to end, across its job, worker and service.

use crate::cluster::Cluster;
use crate::jobs::{Placement, Run, StopOrder};
use crate::outbox::Deferred;
use crate::queue::StepRef;
use crate::run_result::RunResult;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::internal::RunningRun;
use indigofold_protocol::task::{JobId, RunId, TaskName};

impl Cluster {
    /// Places a run of a waiting task, or a speculative run; its start order is sent once the placement is committed.
    pub(crate) fn place_run(&mut self, task: TaskName, attempt: u32, placement: Placement) {
        let now_ms = self.clock.now_ms();
        let Some(resources) = self
            .jobs
            .record_placement(task, attempt, &placement, now_ms)
        else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(placement.worker) {
            worker.occupy(task, &resources, placement.bound);
            worker.health_mut().record_placement(now_ms);
        }
        self.process_job_events();
        self.defer(Deferred::Start(RunId { task, attempt }));
    }

    /// Prepares a gang for its start: all members will resume from its newest checkpoint. Returns the attempt number that
    /// they share.
    pub(crate) fn prepare_gang(&mut self, step_ref: StepRef) -> Option<u32> {
        self.jobs.prepare_gang(step_ref)
    }

    /// Sends the start order of a run whose placement is committed. If the run was stopped, its job has ended or its worker
    /// cannot be reached, the run ends as not started instead.
    pub(crate) fn send_start(&mut self, run: RunId) {
        let Some(unsent_run) = self
            .jobs
            .run(&run)
            .filter(|unsent_run| !unsent_run.is_sent())
        else {
            return;
        };
        let job = self.jobs.get(&run.task.job);
        let is_wanted = unsent_run.stop().is_none() && job.is_some_and(|job| !job.has_ended());
        let worker = self.workers.get(unsent_run.worker());
        let is_reachable = worker.is_some_and(|worker| worker.order_connection().is_some());
        if !is_reachable || !is_wanted {
            return self.end_run(run, RunResult::NotStarted, "");
        }
        self.jobs.record_sent(&run, self.clock.now_ms());
        self.push_start_order(run);
    }

    /// Sends the start order of a run, for the first time or again. The placement must be committed.
    pub(crate) fn push_start_order(&mut self, run: RunId) {
        if let Some((worker, order)) = self.jobs.start_order(run) {
            self.outbox.orders_for(worker).start.push(order);
        }
    }

    /// Stops a run immediately; for a member of a gang, all runs of the gang.
    pub(crate) fn stop_run(&mut self, run: RunId) {
        let step_ref = StepRef::of(&run.task);
        let is_gang = self.jobs.step(step_ref).is_some_and(|step| step.gang);
        if !is_gang {
            return self.stop_single_run(run);
        }
        let members = self
            .jobs
            .step_state(step_ref)
            .map_or(0, |state| state.tasks().len() as u32);
        (0..members).for_each(|index| self.stop_task(step_ref.task(index)));
    }

    /// Stops one run immediately, without the other members of its gang. A run whose start order has not been sent ends as
    /// not started.
    pub(crate) fn stop_single_run(&mut self, id: RunId) {
        let Some(run) = self.jobs.run(&id) else {
            return;
        };
        if !run.is_sent() {
            return self.end_run(id, RunResult::NotStarted, "");
        }
        if run.stop().is_none() {
            self.send_stop(id);
        }
    }

    /// Sends a stop order if the worker can be reached; otherwise the stop is recorded as not sent, and the order is sent
    /// when the worker reports again.
    pub(crate) fn send_stop(&mut self, id: RunId) {
        let Some(worker) = self.jobs.run(&id).map(Run::worker) else {
            return;
        };
        let sent_to = self.workers.get(worker).and_then(Worker::order_connection);
        let sent_ms = self.clock.now_ms();
        self.jobs.record_stop(&id, StopOrder { sent_to, sent_ms });
        if sent_to.is_some() {
            self.outbox.orders_for(worker).stop.push(id);
        }
    }

    /// Sends the stop order of a run whose job has ended, if that end is committed; otherwise a stop is already deferred
    /// until the commit.
    pub(crate) fn send_stop_if_committed(&mut self, id: RunId) {
        let job = self.jobs.get(&id.task.job);
        if job.is_some_and(|job| self.outbox.is_committed(job.last_write())) {
            self.send_stop(id);
        }
    }

    /// Records that a report of this worker lists the run's start order as in flight; returns `false` if the run is not
    /// outstanding there.
    pub(crate) fn record_in_flight(&mut self, worker: WorkerId, run: &RunId) -> bool {
        let now_ms = self.clock.now_ms();
        self.jobs.record_in_flight(run, worker, now_ms)
    }

    /// Records that a report shows that this run has begun, whether it is outstanding or not.
    pub(crate) fn record_begun(&mut self, run: &RunId) {
        self.jobs.record_begun(run, self.clock.now_ms());
    }

    /// Requests the writes of rows that have not shown for a while that their jobs have begun.
    pub(crate) fn write_due_begins(&mut self) {
        self.jobs.write_due_begins(self.clock.now_ms());
        self.process_job_events();
    }

    /// Requests the write of an open job's rows if they do not show that the job has begun.
    pub(crate) fn write_begin(&mut self, id: JobId) {
        self.jobs.write_begin(id);
        self.process_job_events();
    }

    /// Records that a report of this worker lists the run as running, with its progress and checkpoint; returns `false` if
    /// the run is not outstanding there.
    pub(crate) fn record_listed(&mut self, worker: WorkerId, listed_run: &RunningRun) -> bool {
        let (run, now_ms) = (&listed_run.run, self.clock.now_ms());
        self.jobs.record_begun(run, now_ms);
        if !self
            .jobs
            .record_listed(run, worker, listed_run.percent, now_ms)
        {
            return false;
        }
        if self
            .jobs
            .store_checkpoint(&run.task, &listed_run.checkpoint)
        {
            self.checkpoint_changed(worker, &run.task);
        }
        true
    }

    /// Makes the next run of the task avoid this worker, if another one is available.
    pub(crate) fn avoid_worker(&mut self, task: &TaskName, worker: WorkerId) {
        self.jobs.avoid_worker(task, worker);
    }

    /// Ends a run: frees its capacity, updates the statistics and its job; `checkpoint` is its last one, or empty. No
    /// effect if the run is not outstanding.
    pub(crate) fn end_run(&mut self, run: RunId, result: RunResult, checkpoint: &str) {
        let ended_run = self.jobs.end_run(run, result, checkpoint, &self.clock);
        let Some(ended_run) = ended_run else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(ended_run.run.worker()) {
            worker.release(
                &run.task,
                &ended_run.traits.resources,
                ended_run.run.is_bound(),
            );
        }
        self.services
            .entry(&ended_run.traits.service)
            .request_pass();
        self.learn_from(&ended_run);
        self.process_job_events();
    }

    /// Handles a `done` of a run that was treated as lost: it completes the task unless the task is already done.
    pub(crate) fn handle_late_done(&mut self, task: TaskName) {
        self.jobs.handle_late_done(task, &self.clock);
        self.process_job_events();
    }

    /// Stops all runs of a task immediately.
    pub(super) fn stop_task(&mut self, task: TaskName) {
        let attempts = self.jobs.attempts(&task).into_iter();
        attempts.for_each(|attempt| self.stop_single_run(RunId { task, attempt }));
    }

    /// Stops a run of an ended job once the end of the job is committed. A run whose start order has not been sent ends at
    /// once, as not started.
    pub(super) fn stop_once_committed(&mut self, id: RunId) {
        let Some(run) = self.jobs.run(&id) else {
            return;
        };
        if !run.is_sent() {
            return self.end_run(id, RunResult::NotStarted, "");
        }
        self.defer(Deferred::Stop(id));
    }
}
