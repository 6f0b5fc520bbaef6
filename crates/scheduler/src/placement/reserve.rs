//! Selection of workers to reserve. A step whose tasks need much capacity at once reserves workers, so that small tasks
//! do not starve it. Tasks that fit beside the reservation, or are expected to end before the reserved capacity is
//! needed, still use these workers (EASY backfilling).

use crate::cluster::Cluster;
use crate::cluster_view::ClusterView;
use crate::demand::{StepDemand, multiply};
use crate::kinds::dominant_share;
use crate::queue::{QueueKey, StepRef};
use crate::reservations::Reservation;
use crate::services::ServiceState;
use crate::worker::WorkerId;

/// Maximum number of steps of one service that hold reservations at a time.
pub(super) const RESERVATIONS_MAX: usize = 2;
/// Tasks need reservations if their dominant share is at least this fraction even of the worker on which it is
/// smallest; smaller tasks find capacity without.
const LARGE_FRACTION: f64 = 0.25;
/// While the service has spare capacity, a step that has waited for this time may use reserved workers.
const IDLE_PATIENCE_MS: u64 = 2_400;

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
    /// No set of workers is expected to have the capacity.
    NoWorkers,
    /// Workers to reserve, at least one.
    Workers(Vec<PlannedReservation>),
}

/// Reserves workers for a step that does not fit now, replacing its former reservations unless they are current.
/// Returns whether the step has reservations.
pub(super) fn reserve(cluster: &mut Cluster, service: &str, key: QueueKey) -> bool {
    let now_ms = cluster.clock().now_ms();
    let Some(state) = cluster.services().get(service) else {
        return false;
    };
    if state.reservations().are_current(key.step_ref, now_ms) {
        return true;
    }
    let planned_reservations = match cluster.view().plan_reservations(state, key) {
        ReservationPlan::NotNeeded => return false,
        ReservationPlan::NoWorkers => Vec::new(),
        ReservationPlan::Workers(planned_reservations) => planned_reservations,
    };
    let has_reservations = !planned_reservations.is_empty();
    let planned_reservations = planned_reservations.into_iter();
    let planned_reservations =
        planned_reservations.map(|planned| (planned.worker, planned.reservation));
    if let Some(state) = cluster.services_mut().get_mut(service) {
        state
            .reservations_mut()
            .replace(key.step_ref, planned_reservations, now_ms);
    }
    has_reservations
}

impl ClusterView<'_> {
    /// Selects the workers to reserve for a step: those that are expected to have capacity for its tasks first.
    fn plan_reservations(&self, service: &ServiceState, key: QueueKey) -> ReservationPlan {
        let Some(LargeDemand { demand, members }) = self.large_demand(service, key.step_ref) else {
            return ReservationPlan::NotNeeded;
        };
        let Some(outlook) = self.outlook(service, &demand, members) else {
            return ReservationPlan::NoWorkers;
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
