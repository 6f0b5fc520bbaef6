//! When and where capacity is expected to be free, if what runs ends as expected.

use crate::cluster_view::ClusterView;
use crate::demand::{StepDemand, times};
use crate::services::ServiceState;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// While less than this fraction of the service is in use, nobody waits long for a reserved worker.
const IDLE_LOAD: f64 = 0.55;
/// A worker that is reserved already counts as free by so much earlier, so that reservations do not move.
const STAY_MS: u64 = 400;

/// Capacity for the tasks of a step, and when all of them are expected to be free.
#[derive(Clone, Debug)]
pub(crate) struct Outlook {
    /// When.
    pub free_ms: u64,
    /// Number of tasks on each worker.
    pub tasks: FxHashMap<WorkerId, u32>,
}

/// Capacity for one task; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    /// When it is expected to be free.
    free_ms: u64,
    worker: WorkerId,
}

/// The expected end of a run.
struct ExpectedEnd {
    at_ms: u64,
    freed: Resources,
}

impl ClusterView<'_> {
    /// Whether only about half of the service is in use, or less, by the resource used most or by its cores: then no
    /// step may wait long where there is capacity for it.
    pub(crate) fn has_spare_capacity(&self, service: &ServiceState) -> bool {
        let (used, all) = self.workers_of(service).fold((0, 0), |(used, all), w| {
            (used + w.used().cpu, all + w.capacity().cpu)
        });
        (used as f64) < IDLE_LOAD * all as f64
            || service.kinds().measured_load(self.workers) < IDLE_LOAD
    }

    /// Where and when `members` tasks will find capacity, if what runs ends as expected; in one rack if the step needs
    /// that and it does not take too long.
    pub(crate) fn outlook(
        &self,
        service: &ServiceState,
        demand: &StepDemand,
        members: u32,
    ) -> Option<Outlook> {
        let anywhere = self.outlook_in(service, demand, members, None)?;
        let rack_local = self
            .jobs
            .get(&demand.at.job)
            .and_then(|job| job.step(demand.at.step))
            .is_some_and(|s| s.rack_local);
        if !rack_local {
            return Some(anywhere);
        }
        let racks: BTreeSet<&str> = self.workers_of(service).filter_map(Worker::rack).collect();
        let of_racks = racks
            .into_iter()
            .filter_map(|rack| self.outlook_in(service, demand, members, Some(rack)));
        let best = of_racks.min_by_key(|outlook| outlook.free_ms);
        let loss_ms = (demand.estimate_ms as f64 * (self.bounds.remote_slowdown - 1.0)) as u64;
        Some(
            best.filter(|rack| rack.free_ms <= anywhere.free_ms + loss_ms)
                .unwrap_or(anywhere),
        )
    }

    fn outlook_in(
        &self,
        service: &ServiceState,
        demand: &StepDemand,
        members: u32,
        rack: Option<&str>,
    ) -> Option<Outlook> {
        let mut slots: Vec<Slot> = Vec::new();
        for id in service.kinds().workers() {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let reservation = service.reservations().get(id);
            let other = reservation.is_some_and(|reservation| {
                reservation.step != demand.at && reservation.priority <= demand.priority
            });
            let elsewhere = rack.is_some_and(|rack| worker.rack() != Some(rack));
            if other || elsewhere || !worker.is_responsive(self.now_ms) {
                continue;
            }
            let stay_ms = if reservation.is_some() { STAY_MS } else { 0 };
            let times = self.free_times(id, worker, demand, members);
            slots.extend(times.into_iter().map(|free_ms| Slot {
                free_ms: free_ms.saturating_sub(stay_ms),
                worker: id,
            }));
        }
        slots.sort_unstable();
        slots.truncate(members as usize);
        let free_ms = slots
            .last()
            .filter(|_| slots.len() == members as usize)?
            .free_ms;
        let mut tasks = FxHashMap::default();
        slots
            .into_iter()
            .for_each(|slot| *tasks.entry(slot.worker).or_default() += 1);
        Some(Outlook { free_ms, tasks })
    }

    /// When the worker is expected to have capacity for one, two, ... tasks (at most `members`) of the step.
    fn free_times(
        &self,
        id: WorkerId,
        worker: &Worker,
        demand: &StepDemand,
        members: u32,
    ) -> Vec<u64> {
        if !demand.is_label_met(worker) {
            return Vec::new();
        }
        let mut ends: Vec<ExpectedEnd> = worker
            .runs()
            .iter()
            .map(|task| ExpectedEnd {
                at_ms: self.now_ms + self.remaining_ms(id, task),
                freed: self.resources(*task),
            })
            .collect();
        ends.sort_unstable_by_key(|end| end.at_ms);
        let mut ends = ends.into_iter();
        let (mut used, mut at_ms) = (worker.used(), self.now_ms);
        let mut free = Vec::new();
        let most = if demand.anti_affinity > 0 {
            members.min(demand.anti_affinity)
        } else {
            members
        };
        for count in 1..=u64::from(most) {
            let wanted = times(&demand.resources, count);
            while !worker.capacity().can_fit(&used.plus(&wanted)) {
                let Some(end) = ends.next() else {
                    return free;
                };
                (at_ms, used) = (at_ms.max(end.at_ms), used.minus(&end.freed));
            }
            free.push(at_ms);
        }
        free
    }
}
