//! Forecast of when and where capacity becomes free, assuming that runs end at their expected times. What is assumed of
//! long-running runs, which do not end by themselves, is up to the caller.

use crate::cluster_view::ClusterView;
use crate::demand::{StepDemand, multiply};
use crate::services::ServiceState;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// The service has spare capacity while its load is below this fraction. No step then waits long for workers reserved
/// for others.
const SPARE_LOAD_MAX: f64 = 0.55;
/// A worker that is reserved already is treated as free by this much earlier, so that reservations do not move between
/// workers with nearly equal forecasts.
const RESERVED_ADVANTAGE_MS: u64 = 400;

/// When a forecast expects long-running runs to end. One that is being stopped ends within the time limit for stops.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LongRunningEnd {
    /// All end after the client's estimate, like other runs: the forecast is about capacity that stops could free.
    Estimated,
    /// Those of a lower priority than the step are preempted at this time of the monotonic clock, the others never end.
    Preempted { at_ms: u64 },
    /// None ends.
    Never,
}

/// Forecast of the capacity for the tasks of a step that start together.
#[derive(Clone, Debug)]
pub(crate) struct Outlook {
    /// When the capacity for all tasks is expected to be free, on the monotonic clock.
    pub free_at_ms: u64,
    /// Number of tasks for which each worker provides capacity.
    pub tasks: FxHashMap<WorkerId, u32>,
}

/// Expected capacity for one task on a worker; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    /// When the capacity is expected to be free, on the monotonic clock.
    free_at_ms: u64,
    worker: WorkerId,
}

/// Expected end of a run and the resources that it frees.
struct ExpectedEnd {
    end_at_ms: u64,
    resources: Resources,
}

impl ClusterView<'_> {
    /// Whether the service has spare capacity: its load is below [`SPARE_LOAD_MAX`], either by its CPU capacity or by
    /// the dominant share of unbound runs. No step may wait long then if there is capacity for it.
    pub(crate) fn has_spare_capacity(&self, service: &ServiceState) -> bool {
        let (used, all) = self.workers_of(service).fold((0, 0), |(used, all), w| {
            (used + w.used().cpu, all + w.capacity().cpu)
        });
        (used as f64) < SPARE_LOAD_MAX * all as f64
            || service.kinds().measured_load(self.workers) < SPARE_LOAD_MAX
    }

    /// Forecasts when and where `members` tasks of the step can start together; `None` if the service does not get
    /// enough capacity even after all runs have ended that are expected to end. For a rack-local step it is within one
    /// rack, unless spreading over racks allows a start so much earlier that it makes up for the slower runs.
    pub(crate) fn outlook(
        &self,
        service: &ServiceState,
        demand: &StepDemand,
        members: u32,
        long_running_end: LongRunningEnd,
    ) -> Option<Outlook> {
        let outlook_in = |rack| self.outlook_in(service, demand, members, long_running_end, rack);
        let any_rack_outlook = outlook_in(None)?;
        let rack_local = self
            .jobs
            .get(&demand.step_ref.job)
            .and_then(|job| job.step(demand.step_ref.step))
            .is_some_and(|s| s.rack_local);
        if !rack_local {
            return Some(any_rack_outlook);
        }
        let racks: BTreeSet<&str> = self.workers_of(service).filter_map(Worker::rack).collect();
        let rack_outlooks = racks.into_iter().filter_map(|rack| outlook_in(Some(rack)));
        let best_rack_outlook = rack_outlooks.min_by_key(|outlook| outlook.free_at_ms);
        let loss_ms = (demand.estimate_ms as f64 * (self.bounds.remote_slowdown - 1.0)) as u64;
        Some(
            best_rack_outlook
                .filter(|rack| rack.free_at_ms <= any_rack_outlook.free_at_ms + loss_ms)
                .unwrap_or(any_rack_outlook),
        )
    }

    /// Forecasts like [`outlook`](Self::outlook) for the workers of one rack, or of all racks if `rack` is `None`. Workers that are not
    /// responsive, or reserved for another step of the same or a higher priority, are left out.
    fn outlook_in(
        &self,
        service: &ServiceState,
        demand: &StepDemand,
        members: u32,
        long_running_end: LongRunningEnd,
        rack: Option<&str>,
    ) -> Option<Outlook> {
        let mut slots: Vec<Slot> = Vec::new();
        for id in service.kinds().workers() {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let reservation = service.reservations().get(id);
            let is_reserved_for_other = reservation.is_some_and(|reservation| {
                reservation.step != demand.step_ref && reservation.priority <= demand.priority
            });
            let is_on_other_rack = rack.is_some_and(|rack| worker.rack() != Some(rack));
            if is_reserved_for_other || is_on_other_rack || !worker.is_responsive(self.now_ms) {
                continue;
            }
            let advantage_ms = if reservation.is_some() {
                RESERVED_ADVANTAGE_MS
            } else {
                0
            };
            let free_times = self.free_times(id, worker, demand, members, long_running_end);
            slots.extend(free_times.into_iter().map(|free_at_ms| Slot {
                free_at_ms: free_at_ms.saturating_sub(advantage_ms),
                worker: id,
            }));
        }
        slots.sort_unstable();
        slots.truncate(members as usize);
        let free_at_ms = slots
            .last()
            .filter(|_| slots.len() == members as usize)?
            .free_at_ms;
        let mut tasks = FxHashMap::default();
        slots
            .into_iter()
            .for_each(|slot| *tasks.entry(slot.worker).or_default() += 1);
        Some(Outlook { free_at_ms, tasks })
    }

    /// Times at which the worker is expected to have capacity for one, two, ... up to `members` tasks of the step, in
    /// ascending order. Ends early at the first number that the worker is not expected to hold.
    fn free_times(
        &self,
        id: WorkerId,
        worker: &Worker,
        demand: &StepDemand,
        members: u32,
        long_running_end: LongRunningEnd,
    ) -> Vec<u64> {
        if !demand.is_label_met(worker) {
            return Vec::new();
        }
        let runs = worker.runs().iter();
        let mut ends: Vec<ExpectedEnd> = runs
            .filter_map(|task| {
                Some(ExpectedEnd {
                    end_at_ms: self.expected_end_ms(id, task, demand, long_running_end)?,
                    resources: self.resources(*task),
                })
            })
            .collect();
        ends.sort_unstable_by_key(|end| end.end_at_ms);
        let mut ends = ends.into_iter();
        let (mut used, mut free_at_ms) = (worker.used(), self.now_ms);
        let mut free_times = Vec::new();
        let tasks_there = demand.runs_by_worker.get(&id).copied().unwrap_or(0);
        let max_tasks = if demand.anti_affinity > 0 {
            members.min(demand.anti_affinity.saturating_sub(tasks_there))
        } else {
            members
        };
        for count in 1..=u64::from(max_tasks) {
            let wanted_resources = multiply(&demand.resources, count);
            while !worker.capacity().can_fit(&used.plus(&wanted_resources)) {
                let Some(end) = ends.next() else {
                    return free_times;
                };
                (free_at_ms, used) = (free_at_ms.max(end.end_at_ms), used.minus(&end.resources));
            }
            free_times.push(free_at_ms);
        }
        free_times
    }

    /// When the run is expected to end, on the monotonic clock; `None` if it is not expected to end.
    fn expected_end_ms(
        &self,
        id: WorkerId,
        task: &TaskName,
        demand: &StepDemand,
        long_running_end: LongRunningEnd,
    ) -> Option<u64> {
        let estimated_end_ms = self.now_ms + self.remaining_ms(id, task);
        let open_job = self.jobs.get(&task.job).filter(|job| !job.has_ended());
        let Some(job) = open_job else {
            return Some(estimated_end_ms);
        };
        let is_long_running = job.step(task.step).is_some_and(|step| step.long_running);
        let is_stopping = self
            .run_at(id, task)
            .is_some_and(|run| run.stop().is_some());
        if !is_long_running || is_stopping {
            return Some(estimated_end_ms);
        }
        match long_running_end {
            LongRunningEnd::Estimated => Some(estimated_end_ms),
            LongRunningEnd::Preempted { at_ms } => {
                (job.terms().priority > demand.priority).then_some(at_ms)
            }
            LongRunningEnd::Never => None,
        }
    }
}
