//! The state of all jobs, workers and services, as parts that each change their own data. Modules above this one change
//! it on events; decisions read it through [`ClusterView`].

use crate::admission_load::AdmissionLoad;
use crate::api::{AgentId, Bounds};
use crate::clock::WallClock;
use crate::due_jobs::DueJobs;
use crate::job_table::JobTable;
use crate::kinds::PlacementTrace;
use crate::latency::LateEnd;
use crate::outbox::Outbox;
use crate::rng::Rng;
use crate::services::Services;
use crate::value::QueueValues;
use crate::view::ClusterView;
use crate::workers::Workers;
use indigofold_protocol::config::Config;
use indigofold_protocol::task::JobId;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The answer to a node agent that has no worker at present.
#[derive(Debug)]
pub(crate) struct AnswerWithoutInstance {
    /// Connection of the node agent.
    pub agent: AgentId,
    /// Instance whose report is asked for; empty if none is known on that machine.
    pub instance: String,
    /// When the report that is answered was sent, on the agent's clock.
    pub sent_ms: u64,
}

/// Jobs, workers and queues of all services.
pub(crate) struct ClusterState {
    /// Limits from the settings.
    pub bounds: Bounds,
    /// Time of the present event on the steady clock.
    pub now_ms: u64,
    /// Maps the steady clock to the time of day.
    pub clock: WallClock,
    /// Source of all random draws.
    pub rng: Rng,
    /// The configuration in force; `None` until the first one arrives.
    pub config: Option<Arc<Config>>,
    /// All open jobs, and ended ones that are still shown.
    pub jobs: JobTable,
    /// All worker instances and connections of node agents.
    pub workers: Workers,
    /// Queues, kinds and reservations by service.
    pub services: Services,
    /// Changed rows and what waits for their commit.
    pub outbox: Outbox,
    /// Repetitions that are to come, and ended jobs that are to be forgotten.
    pub due: DueJobs,
    /// Numbers of open jobs and tasks.
    pub load: AdmissionLoad,
    /// Mean work of the jobs of each route.
    pub queue_values: QueueValues,
    /// Jobs with checkpoints that their rows do not have yet.
    pub unwritten_checkpoints: BTreeSet<JobId>,
    /// Answers to node agents without a worker.
    pub answers_without_instance: Vec<AnswerWithoutInstance>,
    /// Nothing is placed before this time: after a take-over the node agents reconnect one by one.
    pub placement_start_ms: u64,
    /// Late ends of the present event.
    pub late: Vec<LateEnd>,
    /// Placements since the last call of `take_traces`; `None` while nobody follows them.
    pub traces: Option<Vec<PlacementTrace>>,
}

impl ClusterState {
    /// A state without jobs and workers. `now_ms` is a reading of the steady clock, `wall_ms` the time of day since 1970.
    pub(crate) fn new(bounds: Bounds, seed: u64, now_ms: u64, wall_ms: u64) -> Self {
        ClusterState {
            bounds,
            now_ms,
            clock: WallClock::new(now_ms, wall_ms),
            rng: Rng::new(seed),
            config: None,
            jobs: JobTable::default(),
            workers: Workers::new(bounds.max_lease_ms),
            services: Services::default(),
            outbox: Outbox::default(),
            due: DueJobs::default(),
            load: AdmissionLoad::default(),
            queue_values: QueueValues::default(),
            unwritten_checkpoints: BTreeSet::new(),
            answers_without_instance: Vec::new(),
            placement_start_ms: now_ms,
            late: Vec::new(),
            traces: None,
        }
    }

    /// What decisions are based on.
    pub(crate) fn view(&self) -> ClusterView<'_> {
        ClusterView {
            now_ms: self.now_ms,
            bounds: &self.bounds,
            jobs: &self.jobs,
            workers: &self.workers,
            services: &self.services,
        }
    }

    /// The job's progress goes into the present write.
    pub(crate) fn set_dirty(&mut self, id: JobId) {
        let write = self.outbox.present_write();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.last_write = write;
        }
        self.outbox.progress_changed(id);
    }
}
