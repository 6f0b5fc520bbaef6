//! The combined state of jobs, workers and services. A run affects all three: each of them updates its own data, and this
//! module coordinates updates that concern several of them. Decisions read the state through [`ClusterView`].

mod checkpoints;
mod instances;
mod learning;
mod queue_order;
mod runs;
mod writes;

use crate::api::{Bounds, WriteId};
use crate::clock::Clock;
use crate::cluster_view::ClusterView;
use crate::definition::Terms;
use crate::jobs::{Job, JobEvent, Jobs};
use crate::latency::{Cause, LateEnd};
use crate::outbox::{Deferred, Outbox};
use crate::queue::StepRef;
use crate::rows::JobRows;
use crate::services::Services;
use crate::workers::Workers;
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::JobId;

/// The state of all jobs, workers and services, and the outputs that have not been sent yet.
#[derive(Debug)]
pub(crate) struct Cluster {
    /// Limits from the settings.
    bounds: Bounds,
    clock: Clock,
    jobs: Jobs,
    /// All worker instances and connections of node agents.
    workers: Workers,
    /// Queues, kinds and reservations by service.
    services: Services,
    /// Changed rows, orders, and outputs that wait for a commit.
    outbox: Outbox,
}

impl Cluster {
    /// Creates a cluster without jobs and workers. `now_ms` is a reading of the monotonic clock, `wall_ms` the Unix time in
    /// milliseconds.
    pub(crate) fn new(bounds: Bounds, now_ms: u64, wall_ms: u64) -> Self {
        Cluster {
            bounds,
            clock: Clock::new(now_ms, wall_ms),
            jobs: Jobs::new(bounds.status_s),
            workers: Workers::new(bounds.max_lease_ms),
            services: Services::default(),
            outbox: Outbox::default(),
        }
    }

    /// A read-only view on which decisions are based.
    pub(crate) fn view(&self) -> ClusterView<'_> {
        ClusterView {
            now_ms: self.clock.now_ms(),
            bounds: &self.bounds,
            jobs: &self.jobs,
            workers: &self.workers,
            services: &self.services,
        }
    }

    /// The time of the current event.
    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Advances the time to that of a new event; both clocks are read at the same moment.
    pub(crate) fn advance_clock(&mut self, now_ms: u64, wall_ms: u64) {
        self.clock.advance(now_ms, wall_ms);
    }

    /// All jobs. They are changed only through methods of the cluster, which process the resulting events.
    pub(crate) fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// All worker instances and connections of node agents.
    pub(crate) fn workers(&self) -> &Workers {
        &self.workers
    }

    /// All worker instances and connections of node agents, for changes.
    pub(crate) fn workers_mut(&mut self) -> &mut Workers {
        &mut self.workers
    }

    /// All services, with their queues and kinds of workers.
    pub(crate) fn services(&self) -> &Services {
        &self.services
    }

    /// All services, for changes.
    pub(crate) fn services_mut(&mut self) -> &mut Services {
        &mut self.services
    }

    /// Changed rows, orders, and outputs that wait for a commit.
    pub(crate) fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Changed rows, orders, and outputs that wait for a commit, for changes.
    pub(crate) fn outbox_mut(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    /// Returns the jobs and repetitions that ended late or failed since the last call.
    pub(crate) fn take_late_ends(&mut self) -> Vec<LateEnd> {
        self.jobs.take_late_ends()
    }

    /// Accepts a job; returns the write that contains it.
    pub(crate) fn accept_job(&mut self, id: JobId, job: Job) -> WriteId {
        self.jobs.accept(id, job, &self.clock);
        self.open_due_repeats();
        self.outbox.current_write()
    }

    /// Cancels an open job; its runs are stopped once that is committed.
    pub(crate) fn cancel_job(&mut self, id: JobId) {
        self.jobs.end(id, JobState::Cancelled, &self.clock);
        self.process_job_events();
    }

    /// Moves the job, and its queued steps, to this service and these terms.
    pub(crate) fn reroute_job(&mut self, id: JobId, service: &str, terms: Terms) {
        self.jobs.reroute(id, service, terms, &self.clock);
        self.process_job_events();
    }

    /// Opens all repetitions that are due at the current time.
    pub(crate) fn open_due_repeats(&mut self) {
        self.jobs.open_due_repeats(&self.clock);
        self.process_job_events();
    }

    /// Removes ended jobs whose retention time is over.
    pub(crate) fn remove_ended_jobs(&mut self) {
        self.jobs.remove_ended(&self.clock);
        self.process_job_events();
    }

    /// Takes a step out of its service's queue.
    pub(crate) fn dequeue(&mut self, step_ref: StepRef) {
        self.jobs.dequeue(step_ref);
        self.process_job_events();
    }

    /// Restores a job from the rows that a previous head has written. Its outstanding runs occupy capacity of their
    /// workers.
    pub(crate) fn restore_job(&mut self, id: JobId, rows: JobRows) {
        let now_ms = self.clock.now_ms();
        let clock = &self.clock;
        let due_ms = |job: &Job, repeat: u32| {
            let accepted_wall_ms = job.definition().accepted_wall_ms;
            clock.steady_ms(job.due_wall_ms(repeat).unwrap_or(accepted_wall_ms))
        };
        let job = rows.restore(&mut self.workers, now_ms, due_ms);
        for outstanding_run in job.outstanding_runs(id) {
            let task = outstanding_run.run.task;
            let step = job.step(task.step);
            let resources = step.map(indigofold_protocol::job::Step::resources);
            if let Some(worker) = self.workers.get_mut(outstanding_run.worker) {
                worker.occupy(task, &resources.unwrap_or_default(), false);
            }
        }
        self.jobs.restore(id, job, &self.clock);
        self.process_job_events();
    }

    /// Begins a pass over the queue of a service.
    pub(crate) fn begin_pass(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.begin_pass(&self.workers, service);
        }
    }

    /// Solves problem (1) of hybrid SQ(d), which gives the probabilities of the kinds of workers, for all services.
    pub(crate) fn solve_kind_probabilities(&mut self) {
        for service in self.services.iter_mut() {
            service.kinds_mut().update_probabilities(&self.workers);
        }
    }

    /// Records that a pass over the queue considered the step, and why its tasks still wait.
    pub(crate) fn record_wait(&mut self, step_ref: StepRef, cause: Cause) {
        self.jobs.record_wait(step_ref, cause, self.clock.now_ms());
    }

    /// Requests that the workers of a service be grouped into kinds again, as some were added, ended or changed. An empty
    /// name, of a worker that has not reported its service, is ignored.
    pub(crate) fn regroup(&mut self, backend: &str) {
        if !backend.is_empty() {
            self.services.entry(backend).request_regroup();
        }
    }

    /// Processes the events emitted by changes of jobs, and those emitted in turn, until none is left.
    fn process_job_events(&mut self) {
        while let Some(event) = self.jobs.poll_event() {
            self.handle_job_event(event);
        }
    }

    fn handle_job_event(&mut self, event: JobEvent) {
        match event {
            JobEvent::Accepted(id) => self.outbox.job_accepted(id),
            JobEvent::ProgressChanged(id) => {
                self.jobs.record_write(id, self.outbox.current_write());
                self.outbox.progress_changed(id);
            }
            JobEvent::Closed(id) => self.outbox.job_closed(id),
            JobEvent::Removed(id) => self.outbox.job_removed(id),
            JobEvent::StepEnqueued { service, key, need } => {
                self.services.entry(&service).enqueue(key, need);
            }
            JobEvent::StepDequeued { service, key } => self.services.entry(&service).dequeue(&key),
            JobEvent::StopTask(task) => self.stop_task(task),
            JobEvent::StopOnceCommitted(run) => self.stop_once_committed(run),
        }
    }

    /// Defers an action until the write with the current event's changes is committed.
    fn defer(&mut self, action: Deferred) {
        self.outbox.defer(self.outbox.current_write(), action);
    }
}
