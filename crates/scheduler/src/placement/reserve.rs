//! Selection of workers to reserve. A step whose tasks need much capacity at once reserves workers, so that small tasks
//! do not starve it. Tasks that fit beside the reservation, or are expected to end before the reserved capacity is
//! needed, still use these workers (EASY backfilling). Without a forecast of when its tasks can start, a step reserves
//! nothing: the workers would stay idle for a step that may never get the others it needs.

use crate::cluster::Cluster;
use crate::cluster_view::ClusterView;
use crate::demand::{StepDemand, multiply};
use crate::kinds::dominant_share;
use crate::outlook::{LongRunningEnd, Outlook};
use crate::queue::{QueueKey, StepNeed, StepRef};
use crate::reservations::Reservation;
use crate::services::ServiceState;
use crate::worker::WorkerId;
use rustc_hash::FxHashSet;

/// Maximum number of steps of one service that hold reservations at a time.
pub(super) const RESERVATIONS_MAX: usize = 2;
/// Tasks need reservations if their dominant share is at least this fraction even of the worker on which it is
/// smallest; smaller tasks find capacity without.
const LARGE_FRACTION: f64 = 0.25;
/// While the service has spare capacity, a step that has waited for this time may use reserved workers.
const IDLE_PATIENCE_MS: u64 = 2_400;
/// Workers are reserved only for a step that is expected to start within this time.
const FORECAST_MAX_MS: u64 = 60_000;
/// Preemption for a step begins near its latest start. Long-running runs that are not being stopped this long after it are
/// not expected to end.
const PREEMPTION_GRACE_MS: i64 = 1_000;

/// What decides on a step's reservations, besides the state of the workers: steps that agree in it get the same answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ReservationNeed {
    need: StepNeed,
    gang: bool,
    rack_local: bool,
    anti_affinity: u32,
    priority: u32,
    /// Whether long-running runs of a lower priority may yet be preempted for the step.
    may_preempt: bool,
    /// The step itself if its outstanding runs limit where its other tasks may run; else `None`.
    limited_by_own_runs: Option<StepRef>,
}

/// Demand of a step that needs much capacity at once.
struct LargeDemand {
    /// Requirements of one task.
    demand: StepDemand,
    /// Number of tasks that have to start together: all members of a gang, else 1.
    members: u32,
}

/// A worker to reserve, with its reservation.
struct PlannedReservation {
    worker: WorkerId,
    reservation: Reservation,
}

/// Result of planning the reservations of a step.
enum ReservationPlan {
    /// The tasks are small enough to find capacity without reservations.
    NotNeeded,
    /// No set of workers is expected to have the capacity in time.
    NoForecast,
    /// Workers to reserve, at least one.
    Workers(Vec<PlannedReservation>),
}

/// Reserves workers for a step that does not fit now, replacing its former reservations unless they are current.
/// Returns whether the step has reservations. `unreservable` are the needs without reservations in this pass, so that each
/// is planned for once however many steps have it.
pub(super) fn reserve(
    cluster: &mut Cluster,
    service: &str,
    key: QueueKey,
    unreservable: &mut FxHashSet<ReservationNeed>,
) -> bool {
    let now_ms = cluster.clock().now_ms();
    let view = cluster.view();
    let need = view.reservation_need(key);
    let (Some(need), Some(state)) = (need, cluster.services().get(service)) else {
        return false;
    };
    let plan = if unreservable.contains(&need) {
        ReservationPlan::NoForecast
    } else if state.reservations().are_current(key.step_ref, now_ms) {
        return true;
    } else {
        view.plan_reservations(state, key, need.may_preempt)
    };
    let Some(state) = cluster.services_mut().get_mut(service) else {
        return false;
    };
    let reservations = state.reservations_mut();
    match plan {
        ReservationPlan::NotNeeded | ReservationPlan::NoForecast => {
            reservations.release(key.step_ref);
            unreservable.insert(need);
            false
        }
        ReservationPlan::Workers(planned_reservations) => {
            let planned_reservations = planned_reservations.into_iter();
            let planned_reservations =
                planned_reservations.map(|planned| (planned.worker, planned.reservation));
            reservations.replace(key.step_ref, planned_reservations, now_ms);
            true
        }
    }
}

impl ClusterView<'_> {
    /// What decides on the step's reservations; `None` if there is no such step.
    fn reservation_need(&self, key: QueueKey) -> Option<ReservationNeed> {
        let job = self.jobs.get(&key.step_ref.job)?;
        let (step, state) = (job.step(key.step_ref.step)?, job.step_state(key.step_ref)?);
        let limited_by_own_runs = step.anti_affinity > 0 && !state.is_idle();
        let now_ms = self.now_ms as i64;
        let may_preempt = now_ms <= key.latest_start_ms.saturating_add(PREEMPTION_GRACE_MS)
            && key.latest_start_ms <= now_ms + FORECAST_MAX_MS as i64;
        Some(ReservationNeed {
            need: StepNeed::of(step),
            gang: step.gang,
            rack_local: step.rack_local,
            anti_affinity: step.anti_affinity,
            priority: key.priority,
            may_preempt,
            limited_by_own_runs: limited_by_own_runs.then_some(key.step_ref),
        })
    }

    /// Selects the workers to reserve for a step: those that are expected to have capacity for its tasks first.
    /// `may_preempt`: whether long-running runs of a lower priority may yet be preempted for it.
    fn plan_reservations(
        &self,
        service: &ServiceState,
        key: QueueKey,
        may_preempt: bool,
    ) -> ReservationPlan {
        let Some(LargeDemand { demand, members }) = self.large_demand(service, key.step_ref) else {
            return ReservationPlan::NotNeeded;
        };
        let long_running_end = if may_preempt {
            let at_ms = self.now_ms.max(key.latest_start_ms.max(0) as u64);
            LongRunningEnd::Preempted { at_ms }
        } else {
            LongRunningEnd::Never
        };
        let outlook = self.outlook(service, &demand, members, long_running_end);
        let is_near = |outlook: &Outlook| outlook.free_at_ms <= self.now_ms + FORECAST_MAX_MS;
        let Some(outlook) = outlook.filter(is_near) else {
            return ReservationPlan::NoForecast;
        };
        let patience_ms = if self.has_spare_capacity(service) {
            IDLE_PATIENCE_MS
        } else {
            u64::MAX
        };
        let to_reservation = |(worker, count): (WorkerId, u32)| PlannedReservation {
            worker,
            reservation: Reservation {
                step: key.step_ref,
                priority: key.priority,
                resources: multiply(&demand.resources, u64::from(count)),
                free_at_ms: outlook.free_at_ms,
                patience_ms,
            },
        };
        ReservationPlan::Workers(outlook.tasks.into_iter().map(to_reservation).collect())
    }

    /// Demand of the step, and the number of tasks that start together; `None` if the step is no gang and its tasks are
    /// small, or if no worker of the service is large enough for them.
    fn large_demand(&self, service: &ServiceState, step_ref: StepRef) -> Option<LargeDemand> {
        let job = self.jobs.get(&step_ref.job)?;
        let (step, state) = (job.step(step_ref.step)?, job.step_state(step_ref)?);
        let demand = StepDemand::for_step(job, step_ref, self.now_ms)?;
        let workers = self.workers_of(service);
        let fitting_workers = workers.filter(|worker| worker.capacity().can_fit(&demand.resources));
        let fractions =
            fitting_workers.map(|worker| dominant_share(&demand.resources, &worker.capacity()));
        let least_fraction = fractions.min_by(f64::total_cmp)?;
        let members = if step.gang {
            state.tasks().len() as u32
        } else {
            1
        };
        (step.gang || least_fraction >= LARGE_FRACTION).then_some(LargeDemand { demand, members })
    }
}
