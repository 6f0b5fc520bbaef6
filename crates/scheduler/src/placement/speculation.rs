//! Speculative runs: a second run of a `speculative` task is started on another worker if the latency target is at risk
//! and either the first run's worker is unresponsive or the run takes far longer than expected (the tolerance is
//! smaller on a suspected worker). The run that is done first counts, the other one is stopped.

use crate::cluster::Cluster;
use crate::cluster_view::ClusterView;
use crate::demand::{Scope, StepDemand};
use crate::health::HealthStatus;
use crate::jobs::{Placement, Run};
use crate::kinds::Selection;
use crate::placement::Placer;
use crate::queue::{Prospect, QueueKey, StepRef};
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::task::TaskName;

/// A worker without a report or heartbeat for this time is unresponsive.
const UNRESPONSIVE_MS: u64 = 600;
/// The latency target is at risk once the step's latest start is at most this far ahead.
const DEADLINE_MARGIN_MS: i64 = 600;
/// A run is overdue if it has taken more than this multiple of its expected run time plus [`OVERDUE_MIN_MS`].
const OVERDUE_FACTOR: f64 = 2.0;
/// Multiple that replaces [`OVERDUE_FACTOR`] for a run on a worker that is suspected or on probation.
const OVERDUE_FACTOR_SUSPECTED: f64 = 1.2;
/// Constant part of the limit for overdue runs, in milliseconds.
const OVERDUE_MIN_MS: f64 = 300.0;
/// A run whose progress has not changed for this time counts as stalled.
const PROGRESS_STALLED_MS: u64 = 1_500;

/// A run whose task should get a speculative run.
#[derive(Clone, Copy, Debug)]
struct SpeculationCandidate {
    key: QueueKey,
    task: TaskName,
    worker: WorkerId,
}

impl Placer {
    /// Starts speculative runs for runs that put a latency target at risk, where there is free capacity that no step of
    /// at least the same priority waits for.
    pub(crate) fn speculate(&mut self, cluster: &mut Cluster) {
        let mut candidates: Vec<SpeculationCandidate> = Vec::new();
        for (id, worker) in cluster.workers().iter() {
            let runs = worker
                .runs()
                .iter()
                .filter_map(|task| cluster.view().speculation_candidate(id, worker, *task));
            candidates.extend(runs);
        }
        candidates.sort_by_key(|run| (run.key, run.task));
        candidates
            .into_iter()
            .for_each(|run| self.place_speculative_run(cluster, run));
    }

    /// Starts a speculative run of the candidate's task if a suitable worker is free.
    fn place_speculative_run(&mut self, cluster: &mut Cluster, run: SpeculationCandidate) {
        let Some(job) = cluster.jobs().get(&run.task.job) else {
            return;
        };
        let (Some(demand), Some(entry)) = (
            StepDemand::for_step(job, run.key.step_ref, cluster.clock().now_ms()),
            job.task(&run.task),
        ) else {
            return;
        };
        let (service, attempt) = (job.service().to_owned(), entry.last_attempt() + 1);
        let failed_on = entry.failed_on();
        let selection = self.select_other_worker(cluster, &service, &run, &demand, failed_on);
        let Some(selection) = selection else {
            return;
        };
        self.trace(cluster, &service, run.task, &selection);
        let placement = Placement::new(&selection, 1.0);
        cluster.place_run(run.task, attempt, placement);
    }

    /// Selects the worker of a speculative run: not that of the first run, local to the data, and healthy or on
    /// probation. `None` if there is no such worker, or if a step of the same or a higher priority waits in the queue.
    fn select_other_worker(
        &mut self,
        cluster: &Cluster,
        service: &str,
        run: &SpeculationCandidate,
        demand: &StepDemand,
        failed_on: Option<WorkerId>,
    ) -> Option<Selection> {
        let view = cluster.view();
        let (now_ms, remote_slowdown) = (view.now_ms, view.bounds.remote_slowdown);
        let state = view.services.get(service)?;
        let others_wait = |key: &QueueKey| !key.hopeless && key.priority <= run.key.priority;
        if state.queue().first().is_some_and(others_wait) {
            return None;
        }
        let fits = |id: WorkerId, worker: &Worker| {
            let failed_there = failed_on == Some(id);
            let scope = Scope::Preferred;
            id != run.worker
                && worker.accepts_starts(now_ms)
                && demand.permits(id, worker, 0)
                && demand.considers(scope, worker, remote_slowdown, failed_there, now_ms)
                && state.reservations().get(id).is_none_or(|reservation| {
                    worker.has_capacity(&demand.resources.plus(&reservation.resources))
                })
        };
        let kinds = state.kinds();
        kinds.select(&mut self.rng, view.workers, &demand.label, fits)
    }
}

impl ClusterView<'_> {
    /// The task's run on this worker as a candidate, if it should get a speculative run.
    fn speculation_candidate(
        &self,
        id: WorkerId,
        worker: &Worker,
        task: TaskName,
    ) -> Option<SpeculationCandidate> {
        let job = self.jobs.get(&task.job).filter(|job| !job.has_ended())?;
        job.step(task.step)
            .filter(|step| step.speculative && !step.gang && !step.long_running)?;
        let entry = job
            .task(&task)
            .filter(|entry| !entry.is_done() && entry.speculative_run().is_none())?;
        let run = entry.run_at(id).filter(|run| run.is_sent())?;
        let key = job.queue_key(StepRef::of(&task), self.now_ms);
        let is_at_risk = key.prospect != Prospect::Hopeless
            && self.now_ms as i64 + DEADLINE_MARGIN_MS >= key.latest_start_ms;
        let is_unresponsive = worker.is_unresponsive_for(UNRESPONSIVE_MS, self.now_ms);
        let is_stopping = run.stop().is_some();
        let is_candidate = is_at_risk
            && (is_unresponsive || !is_stopping && self.is_overdue(id, worker, &task, run));
        is_candidate.then_some(SpeculationCandidate {
            key,
            task,
            worker: id,
        })
    }

    /// Whether the run takes far longer than expected for a reason other than the task's own length: its progress has
    /// stalled, or its worker is slow and a new run elsewhere is expected to be done first.
    fn is_overdue(&self, id: WorkerId, worker: &Worker, task: &TaskName, run: &Run) -> bool {
        let is_suspected = worker.health().status(self.now_ms) != HealthStatus::Healthy;
        let factor = if is_suspected {
            OVERDUE_FACTOR_SUSPECTED
        } else {
            OVERDUE_FACTOR
        };
        let resume_cost_ms = if run.is_resumed() {
            self.bounds.resume_cost_ms as f64
        } else {
            0.0
        };
        let expected_ms = self.expected_run_ms(id, task);
        let elapsed_ms = self.now_ms.saturating_sub(run.placed_ms()) as f64;
        let is_stalled =
            self.now_ms.saturating_sub(run.percent_changed_at_ms()) > PROGRESS_STALLED_MS;
        elapsed_ms > factor * expected_ms + OVERDUE_MIN_MS + resume_cost_ms
            && (is_stalled
                || self.slowdown(id).is_some() && self.remaining_ms(id, task) as f64 > expected_ms)
    }
}
