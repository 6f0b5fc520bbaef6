//! Jobs, workers and queues together: what happens to a run concerns all of them. Each part changes its own data; here is
//! put together what one event means for several. Decisions read through [`ClusterView`].

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

/// The state of all jobs, workers and services.
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
    /// Changed rows, orders, and what waits for a commit.
    outbox: Outbox,
}

impl Cluster {
    /// A cluster without jobs and workers. `now_ms` is a reading of the steady clock, `wall_ms` the time of day since
    /// 1970.
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

    /// What decisions are based on.
    pub(crate) fn view(&self) -> ClusterView<'_> {
        ClusterView {
            now_ms: self.clock.now_ms(),
            bounds: &self.bounds,
            jobs: &self.jobs,
            workers: &self.workers,
            services: &self.services,
        }
    }

    /// The time of the present event.
    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Both clocks read when an event comes.
    pub(crate) fn advance_clock(&mut self, now_ms: u64, wall_ms: u64) {
        self.clock.advance(now_ms, wall_ms);
    }

    /// All jobs. They change through the methods of the cluster alone.
    pub(crate) fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// All worker instances and connections of node agents.
    pub(crate) fn workers(&self) -> &Workers {
        &self.workers
    }

    /// All worker instances and connections of node agents.
    pub(crate) fn workers_mut(&mut self) -> &mut Workers {
        &mut self.workers
    }

    /// All services.
    pub(crate) fn services(&self) -> &Services {
        &self.services
    }

    /// All services.
    pub(crate) fn services_mut(&mut self) -> &mut Services {
        &mut self.services
    }

    /// Changed rows, orders, and what waits for a commit.
    pub(crate) fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Changed rows, orders, and what waits for a commit.
    pub(crate) fn outbox_mut(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    /// Takes the late ends since the last call.
    pub(crate) fn take_late(&mut self) -> Vec<LateEnd> {
        self.jobs.take_late()
    }

    /// Accepts a job; returns the write that has it.
    pub(crate) fn accept_job(&mut self, id: JobId, job: Job) -> WriteId {
        self.jobs.accept(id, job, &self.clock);
        self.open_due_repeats();
        self.outbox.present_write()
    }

    /// Cancels an open job.
    pub(crate) fn cancel_job(&mut self, id: JobId) {
        self.jobs.end(id, JobState::Cancelled, &self.clock);
        self.take_up_job_events();
    }

    /// The job's tasks run at this service and on these terms from now on.
    pub(crate) fn reroute_job(&mut self, id: JobId, service: &str, terms: Terms) {
        self.jobs.reroute(id, service, terms, &self.clock);
        self.take_up_job_events();
    }

    /// Opens all repetitions that are due.
    pub(crate) fn open_due_repeats(&mut self) {
        self.jobs.open_due_repeats(&self.clock);
        self.take_up_job_events();
    }

    /// Forgets jobs that ended long ago.
    pub(crate) fn forget_ended_jobs(&mut self) {
        self.jobs.forget_ended(&self.clock);
        self.take_up_job_events();
    }

    /// Takes a step out of its service's queue.
    pub(crate) fn dequeue(&mut self, at: StepRef) {
        self.jobs.dequeue(at);
        self.take_up_job_events();
    }

    /// Takes over a job as a predecessor has written it. Its outstanding runs occupy capacity of their workers.
    pub(crate) fn restore_job(&mut self, id: JobId, rows: JobRows) {
        let now_ms = self.clock.now_ms();
        let clock = &self.clock;
        let due_ms = |job: &Job, repeat: u32| {
            let accepted_wall_ms = job.definition().accepted_wall_ms;
            clock.steady_ms(job.due_wall_ms(repeat).unwrap_or(accepted_wall_ms))
        };
        let job = rows.restore(&mut self.workers, now_ms, due_ms);
        for outstanding in job.outstanding_runs(id) {
            let task = outstanding.run.task;
            let step = job.step(task.step);
            let resources = step.map(indigofold_protocol::job::Step::resources);
            if let Some(worker) = self.workers.get_mut(outstanding.worker) {
                worker.occupy(task, &resources.unwrap_or_default(), false);
            }
        }
        self.jobs.restore(id, job, &self.clock);
        self.take_up_job_events();
    }

    /// A pass over the queue of a service begins.
    pub(crate) fn begin_pass(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.begin_pass(&self.workers, service);
        }
    }

    /// Solves problem (1) anew in all services.
    pub(crate) fn resolve_kinds(&mut self) {
        for service in self.services.iter_mut() {
            service.kinds_mut().resolve(&self.workers);
        }
    }

    /// A step was looked at and still waits.
    pub(crate) fn record_wait(&mut self, at: StepRef, cause: Cause) {
        self.jobs.record_wait(at, cause, self.clock.now_ms());
    }

    /// Workers of the service have come, ended or changed.
    pub(crate) fn regroup(&mut self, backend: &str) {
        if !backend.is_empty() {
            self.services.entry(backend).request_regroup();
        }
    }

    /// Takes up what follows for queues, rows and runs from changes of jobs; more may follow from that.
    fn take_up_job_events(&mut self) {
        while let Some(event) = self.jobs.poll_event() {
            self.handle_job_event(event);
        }
    }

    fn handle_job_event(&mut self, event: JobEvent) {
        match event {
            JobEvent::Accepted(id) => self.outbox.job_accepted(id),
            JobEvent::ProgressChanged(id) => {
                self.jobs.record_write(id, self.outbox.present_write());
                self.outbox.progress_changed(id);
            }
            JobEvent::Closed(id) => self.outbox.job_closed(id),
            JobEvent::Forgotten(id) => self.outbox.job_forgotten(id),
            JobEvent::StepReady { service, key } => self.services.entry(&service).enqueue(key),
            JobEvent::StepLeft { service, key } => self.services.entry(&service).dequeue(&key),
            JobEvent::StopTask(task) => self.stop_task(task),
            JobEvent::StopOnceCommitted(run) => self.stop_once_committed(run),
        }
    }

    /// Lets something wait for the write that the present event's changes go into.
    fn defer(&mut self, what: Deferred) {
        self.outbox.defer(self.outbox.present_write(), what);
    }
}
