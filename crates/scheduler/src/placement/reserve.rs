//! Which workers to reserve: a step whose tasks need much capacity at once reserves workers, so that small tasks do not
//! starve it. Tasks that fit beside, or end before the capacity is needed, still use them (EASY backfilling).

use crate::cluster::Cluster;
use crate::cluster_view::ClusterView;
use crate::demand::{StepDemand, times};
use crate::kinds::dominant_share;
use crate::queue::{QueueKey, StepRef};
use crate::reservations::Reservation;
use crate::services::ServiceState;
use crate::worker::WorkerId;

/// Most steps of one service that have reservations at a time.
pub(super) const RESERVATIONS_MAX: usize = 2;
/// Tasks that take at least this fraction of a worker need reservations; smaller ones find capacity without.
const LARGE_FRACTION: f64 = 0.25;
/// How long they wait then.
const IDLE_PATIENCE_MS: u64 = 2_400;

/// What a step needs that needs much at once.
struct LargeDemand {
    /// What one task asks for.
    demand: StepDemand,
    /// Tasks that have to start together.
    members: u32,
}

/// A worker that is to be reserved.
struct PlannedReservation {
    worker: WorkerId,
    reservation: Reservation,
}

/// Which workers to reserve for a step.
enum ReservationPlan {
    /// Its tasks find capacity without reservations.
    NotNeeded,
    /// No workers will have capacity for it.
    NoWorkers,
    /// These workers, at least one.
    Workers(Vec<PlannedReservation>),
}

/// Reserves workers for a step that does not fit now; returns whether it has reservations.
pub(super) fn reserve(cluster: &mut Cluster, service: &str, key: QueueKey) -> bool {
    let now_ms = cluster.clock().now_ms();
    let Some(state) = cluster.services().get(service) else {
        return false;
    };
    if state.reservations().are_current(key.at, now_ms) {
        return true;
    }
    let reserved = match cluster.view().plan_reservations(state, key) {
        ReservationPlan::NotNeeded => return false,
        ReservationPlan::NoWorkers => Vec::new(),
        ReservationPlan::Workers(reserved) => reserved,
    };
    let found = !reserved.is_empty();
    let reserved = reserved.into_iter();
    let reserved = reserved.map(|planned| (planned.worker, planned.reservation));
    if let Some(state) = cluster.services_mut().get_mut(service) {
        state.reservations_mut().replace(key.at, reserved, now_ms);
    }
    found
}

impl ClusterView<'_> {
    /// The workers to reserve for a step.
    fn plan_reservations(&self, service: &ServiceState, key: QueueKey) -> ReservationPlan {
        let Some(LargeDemand { demand, members }) = self.large_demand(service, key.at) else {
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
        let planned = |(worker, count): (WorkerId, u32)| PlannedReservation {
            worker,
            reservation: Reservation {
                step: key.at,
                priority: key.priority,
                resources: times(&demand.resources, u64::from(count)),
                free_ms: outlook.free_ms,
                patience_ms,
            },
        };
        ReservationPlan::Workers(outlook.tasks.into_iter().map(planned).collect())
    }

    /// What a step needs, and for how many tasks at once, if it needs much.
    fn large_demand(&self, service: &ServiceState, at: StepRef) -> Option<LargeDemand> {
        let job = self.jobs.get(&at.job)?;
        let (step, state) = (job.step(at.step)?, job.step_state(at)?);
        let demand = StepDemand::of(job, at, self.now_ms)?;
        let workers = self.workers_of(service);
        let fitting = workers.filter(|worker| worker.capacity().can_fit(&demand.resources));
        let fractions = fitting.map(|worker| dominant_share(&demand.resources, &worker.capacity()));
        let least = fractions.min_by(f64::total_cmp)?;
        let members = if step.gang {
            state.tasks().len() as u32
        } else {
            1
        };
        (step.gang || least >= LARGE_FRACTION).then_some(LargeDemand { demand, members })
    }
}
