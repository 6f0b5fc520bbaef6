//! Periodic checks of all outstanding runs for lost orders, runs that cannot end before their worker has drained,
//! hanging runs and stragglers.

use crate::cluster::Cluster;
use crate::cluster_view::ClusterView;
use crate::health::WorkerHealth;
use crate::jobs::Job;
use crate::queue::StepRef;
use crate::run_result::RunResult;
use crate::worker::WorkerId;
use indigofold_protocol::task::{RunId, TaskName};
use indigofold_protocol::worker::WorkerState;

/// Period of the checks, in milliseconds.
pub(crate) const CHECK_INTERVAL_MS: u64 = 300;
/// The start order of a run that no report has listed for this time is sent again, and then at this interval.
const ORDER_RETRY_MS: u64 = 3_000;
/// A run that no report has listed for this time, despite repeated orders, counts as not started.
const ABSENT_MS: u64 = 20_000;
/// A run hangs if it has made no progress for at least this time and for [`STALL_FRACTION`] of its expected run time.
const STALL_MIN_MS: u64 = 3_000;
/// Fraction of the expected run time without progress after which a run counts as hanging.
const STALL_FRACTION: f64 = 0.5;
/// Maximum age of a heartbeat for its progress values to be used.
const HEARTBEAT_FRESH_MS: u64 = 1_000;
/// Runs have to end this long before the end of their worker's drain.
const DRAIN_MARGIN_MS: u64 = 300;

/// Checks all runs on workers to which orders can be sent.
pub(crate) fn check_runs(cluster: &mut Cluster) {
    let workers = cluster.workers().iter();
    let reachable_workers = workers.filter(|(_, worker)| worker.order_connection().is_some());
    let tasks_by_worker: Vec<(WorkerId, Vec<TaskName>)> = reachable_workers
        .map(|(id, worker)| (id, worker.runs().iter().copied().collect()))
        .collect();
    for (id, tasks) in tasks_by_worker {
        let slowdown = cluster.view().slowdown(id);
        for task in tasks {
            check_run(cluster, id, task, slowdown);
        }
    }
}

/// Checks one run: sends a lost start order again, and stops the run if it cannot end on this worker or would end
/// sooner elsewhere. `slowdown` is that of the worker, if it has become slow.
fn check_run(cluster: &mut Cluster, id: WorkerId, task: TaskName, slowdown: Option<f64>) {
    let now_ms = cluster.clock().now_ms();
    let Some(run) = cluster.view().run_at(id, &task).filter(|run| run.is_sent()) else {
        return;
    };
    let absence_duration_ms = now_ms.saturating_sub(run.listed_ms());
    let has_ended = cluster.jobs().get(&task.job).is_some_and(Job::has_ended);
    let is_stopping = run.stop().is_some() || has_ended;
    let order = RunId {
        task,
        attempt: run.attempt(),
    };
    if absence_duration_ms >= ABSENT_MS {
        return cluster.end_run(order, RunResult::NotStarted, "");
    }
    if is_stopping {
        return;
    }
    if absence_duration_ms >= ORDER_RETRY_MS
        && absence_duration_ms % ORDER_RETRY_MS < CHECK_INTERVAL_MS
    {
        cluster.push_start_order(order);
    }
    let view = cluster.view();
    if view.outlasts_drain(id, &task) {
        cluster.stop_run(order);
    } else if view.hangs(id, &task) {
        move_run(cluster, id, order, |health| {
            health.record_failure(now_ms, false);
        });
    } else if slowdown.is_some_and(|slowdown| view.is_straggling(id, &task, slowdown)) {
        move_run(cluster, id, order, |health| health.record_straggler(now_ms));
    }
}

/// Stops a run that hangs or straggles, so that its task is placed on another worker, and updates the health of this
/// one.
fn move_run(
    cluster: &mut Cluster,
    id: WorkerId,
    run: RunId,
    update_health: impl Fn(&mut WorkerHealth),
) {
    if let Some(worker) = cluster.workers_mut().get_mut(id) {
        update_health(worker.health_mut());
    }
    cluster.avoid_worker(&run.task, id);
    cluster.stop_run(run);
}

impl ClusterView<'_> {
    /// Whether the run's worker is draining and ends before the run is expected to end. A long-running task always
    /// outlasts a drain.
    fn outlasts_drain(&self, id: WorkerId, task: &TaskName) -> bool {
        let Some(worker) = self
            .workers
            .get(id)
            .filter(|worker| worker.state() == WorkerState::Draining)
        else {
            return false;
        };
        let Some(traits) = self.jobs.traits(StepRef::of(task)) else {
            return false;
        };
        let drain_remaining_ms = worker
            .drain_end_ms()
            .map_or(0, |drain_end_ms| drain_end_ms.saturating_sub(self.now_ms));
        traits.long_running || self.remaining_ms(id, task) + DRAIN_MARGIN_MS > drain_remaining_ms
    }

    /// Whether the run hangs: reports list it, but its progress has not changed for too long. Long-running tasks never
    /// count as hanging.
    fn hangs(&self, id: WorkerId, task: &TaskName) -> bool {
        let Some(step) = self.jobs.get(&task.job).and_then(|job| job.step(task.step)) else {
            return false;
        };
        let Some(run) = self.run_at(id, task) else {
            return false;
        };
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let is_listed = self.now_ms.saturating_sub(run.listed_ms()) < STALL_MIN_MS
            && worker.since_heartbeat_ms() < HEARTBEAT_FRESH_MS;
        if step.long_running || !is_listed {
            return false;
        }
        let limit_ms = STALL_MIN_MS.max((self.expected_run_ms(id, task) * STALL_FRACTION) as u64);
        let resume_cost_ms = if run.is_resumed() {
            self.bounds.resume_cost_ms
        } else {
            0
        };
        let gang_wait_ms = if step.gang { self.bounds.gang_ms } else { 0 };
        self.now_ms.saturating_sub(run.percent_changed_at_ms())
            > limit_ms + resume_cost_ms + gang_wait_ms
    }
}
