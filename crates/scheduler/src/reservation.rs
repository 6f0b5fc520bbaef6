//! Reservations: a step whose tasks need much room at once keeps workers, so that small tasks do not starve it. Tasks
//! that fit beside, or end before the room is needed, still use them.

use crate::demand::{StepDemand, times};
use crate::kinds::dominant_share;
use crate::queue::{QueueKey, StepRef};
use crate::scheduler::Scheduler;
use crate::workers::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Most steps of one service that keep workers at a time.
pub(crate) const RESERVATIONS_MAX: usize = 2;
/// Reservations are worked out anew so often.
const RESERVE_MS: u64 = 200;
/// Tasks that take at least this part of a worker need reservations; smaller ones find room by themselves.
const LARGE_FRACTION: f64 = 0.25;
/// While less than this part of the service is in use, nobody waits long for a reserved worker.
const IDLE_LOAD: f64 = 0.55;
/// How long they wait then.
const IDLE_PATIENCE_MS: u64 = 2_400;
/// A worker that is kept already counts as free by so much earlier, so that reservations stay where they are.
const STAY_MS: u64 = 400;

/// A worker kept for a step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// The step.
    pub step: StepRef,
    /// Its priority.
    pub priority: u32,
    /// Room that it is to have there.
    pub resources: Resources,
    /// When this room is expected to be free.
    pub free_ms: u64,
    /// Others that have waited for so long use the worker all the same.
    pub patience_ms: u64,
}

/// Rooms for the tasks of a step, and when all of them are expected to be free.
#[derive(Clone, Debug)]
pub(crate) struct Outlook {
    /// When.
    pub free_ms: u64,
    /// Number of tasks on each worker.
    pub tasks: FxHashMap<WorkerId, u32>,
}

impl Reservation {
    /// Whether a step may use the worker although it is kept for another one.
    pub fn yields_to(&self, demand: &StepDemand) -> bool {
        self.step == demand.at
            || demand.priority < self.priority
            || demand.waited_ms >= self.patience_ms
    }
}

impl Scheduler {
    /// Whether only about half of the service is in use, or less, by the resource used most or by its cores: then no
    /// step may wait long where there is room for it.
    pub(crate) fn has_spare_capacity(&self, service: &str) -> bool {
        let Some(state) = self.services.get(service) else {
            return false;
        };
        let workers = state.kinds.workers().filter_map(|id| self.workers.get(id));
        let (used, all) = workers.fold((0, 0), |(used, all), w| {
            (used + w.used.cpu, all + w.capacity.cpu)
        });
        (used as f64) < IDLE_LOAD * all as f64
            || state.kinds.measured_load(&self.workers) < IDLE_LOAD
    }

    /// Keeps workers for a step that does not fit now; returns whether it keeps some.
    pub(crate) fn reserve(&mut self, service: &str, key: QueueKey) -> bool {
        let now_ms = self.now_ms;
        let Some(state) = self.services.get(service) else {
            return false;
        };
        let holds = state
            .reserved
            .values()
            .any(|reservation| reservation.step == key.at);
        if holds && now_ms < state.next_reserve_ms {
            return true;
        }
        let Some((demand, members)) = self.large_demand(service, key.at) else {
            return false;
        };
        let outlook = self.outlook(service, &demand, members);
        let spare = self.has_spare_capacity(service);
        let Some(state) = self.services.get_mut(service) else {
            return false;
        };
        state.next_reserve_ms = now_ms + RESERVE_MS;
        state
            .reserved
            .retain(|_, reservation| reservation.step != key.at);
        let Some(outlook) = outlook else { return false };
        let patience_ms = if spare { IDLE_PATIENCE_MS } else { u64::MAX };
        for (id, count) in outlook.tasks {
            let reservation = Reservation {
                step: key.at,
                priority: key.priority,
                resources: times(&demand.resources, u64::from(count)),
                free_ms: outlook.free_ms,
                patience_ms,
            };
            state.reserved.insert(id, reservation);
        }
        true
    }

    /// What a step needs, and for how many tasks at once, if it needs much.
    fn large_demand(&self, service: &str, at: StepRef) -> Option<(StepDemand, u32)> {
        let job = self.jobs.get(&at.job)?;
        let (step, state) = (job.step(at.step)?, job.step_state(at)?);
        let demand = StepDemand::of(job, at, self.now_ms)?;
        let workers = self
            .services
            .get(service)?
            .kinds
            .workers()
            .filter_map(|id| self.workers.get(id));
        let fitting = workers.filter(|worker| worker.capacity.holds(&demand.resources));
        let share = |worker: &Worker| dominant_share(&demand.resources, &worker.capacity);
        let share = fitting.map(share).min_by(f64::total_cmp)?;
        let members = if step.gang {
            state.tasks.len() as u32
        } else {
            1
        };
        (step.gang || share >= LARGE_FRACTION).then_some((demand, members))
    }

    /// Where and when `members` tasks will find room, if what runs ends as expected; in one rack if the step needs
    /// that and it does not take too long.
    pub(crate) fn outlook(
        &self,
        service: &str,
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
        let ids = self.services.get(service)?.kinds.workers();
        let racks: BTreeSet<&str> = ids.filter_map(|id| self.workers.get(id)?.rack()).collect();
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
        service: &str,
        demand: &StepDemand,
        members: u32,
        rack: Option<&str>,
    ) -> Option<Outlook> {
        let state = self.services.get(service)?;
        let mut rooms: Vec<(u64, WorkerId)> = Vec::new();
        for id in state.kinds.workers() {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let reservation = state.reserved.get(&id);
            let other = reservation.is_some_and(|reservation| {
                reservation.step != demand.at && reservation.priority <= demand.priority
            });
            let elsewhere = rack.is_some_and(|rack| worker.rack() != Some(rack));
            if other || elsewhere || !worker.is_responsive(self.now_ms) {
                continue;
            }
            let stay_ms = if reservation.is_some() { STAY_MS } else { 0 };
            let times = self.free_times(id, worker, demand, members);
            rooms.extend(times.into_iter().map(|at| (at.saturating_sub(stay_ms), id)));
        }
        rooms.sort_unstable();
        rooms.truncate(members as usize);
        let free_ms = rooms.last().filter(|_| rooms.len() == members as usize)?.0;
        let mut tasks = FxHashMap::default();
        rooms
            .into_iter()
            .for_each(|(_, id)| *tasks.entry(id).or_default() += 1);
        Some(Outlook { free_ms, tasks })
    }

    /// When the worker is expected to have room for one, two, ... tasks (at most `members`) of the step.
    fn free_times(
        &self,
        id: WorkerId,
        worker: &Worker,
        demand: &StepDemand,
        members: u32,
    ) -> Vec<u64> {
        let labelled = demand.label.is_empty() || worker.labels.contains(&demand.label);
        if !labelled {
            return Vec::new();
        }
        let mut ends: Vec<(u64, Resources)> = worker
            .runs
            .iter()
            .map(|task| {
                (
                    self.now_ms + self.remaining_ms(id, task),
                    self.resources(*task),
                )
            })
            .collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut ends = ends.into_iter();
        let (mut used, mut at_ms) = (worker.used, self.now_ms);
        let mut free = Vec::new();
        let most = if demand.anti_affinity > 0 {
            members.min(demand.anti_affinity)
        } else {
            members
        };
        for count in 1..=u64::from(most) {
            let wanted = times(&demand.resources, count);
            while !worker.capacity.holds(&used.plus(&wanted)) {
                let Some((end_ms, freed)) = ends.next() else {
                    return free;
                };
                (at_ms, used) = (at_ms.max(end_ms), used.minus(&freed));
            }
            free.push(at_ms);
        }
        free
    }
}
