//! Workers in warm-up: the fraction of their capacity that they have, and the work that may be sent to them. A budget
//! of work in any window limits that work (`warm_up_overload_multiple` and `warm_up_overload_window` of [`Rules`](crate::api::Rules)).

use super::Dispatcher;
use super::fleet::Worker;
use super::tuning::{SAMPLE_SIZE, WARM_UP_JOBS, WARM_UP_USE};
use crate::api::Time;

/// Lower bound of the fraction of its capacity that a worker is assumed to have at its start.
const INITIAL_FRACTION_MIN: f64 = 0.01;
/// Multiplier that spreads the first dispatchers of the workers evenly: 2^64 divided by the golden ratio.
const GOLDEN_RATIO_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl Dispatcher {
    /// Least fraction of its capacity that a worker has now. The fraction rises linearly from the initial one to 1
    /// during the warm-up.
    pub(super) fn warm_up_fraction(&self, now: Time, worker: &Worker) -> f64 {
        if worker.listed.ready_at == 0 {
            return 1.0;
        }
        let rules = &self.settings.rules;
        let age = now.saturating_sub(worker.listed.ready_at) as f64;
        let initial_fraction = rules.initial_capacity.clamp(INITIAL_FRACTION_MIN, 1.0);
        let fraction =
            initial_fraction + (1.0 - initial_fraction) * age / rules.warm_after.max(1) as f64;
        fraction.min(1.0)
    }

    /// Work that this dispatcher may send per unit of time to a worker in warm-up; `None` if the worker is not in
    /// warm-up. Only a few dispatchers get a part of the worker's budget, so that a part soon pays for a job: with a
    /// hundredth of the budget, a dispatcher could not send a job before the warm-up ends.
    pub(super) fn warm_up_rate(&self, now: Time, worker: &Worker) -> Option<f64> {
        let fraction = self.warm_up_fraction(now, worker);
        if fraction >= 1.0 {
            return None;
        }
        let rules = &self.settings.rules;
        let dispatchers = u64::from(self.settings.dispatchers);
        let budget = rules.warm_up_overload_multiple * WARM_UP_USE * self.capacity(worker);
        let initial_work =
            budget * rules.initial_capacity * rules.warm_up_overload_window as f64 / WARM_UP_JOBS;
        let affordable_jobs =
            (initial_work * self.run_times.weight / self.run_times.sum.max(1.0)) as u64;
        let part_count = affordable_jobs.max(SAMPLE_SIZE as u64).min(dispatchers);
        // The dispatchers with a part of the budget start at a different index for each worker. All dispatchers compute
        // the same index.
        let first_dispatcher =
            u64::from(worker.listed.worker).wrapping_mul(GOLDEN_RATIO_MULTIPLIER) >> 32;
        let has_part = first_dispatcher.wrapping_sub(u64::from(self.settings.dispatcher_index))
            % dispatchers
            < part_count;
        Some(if has_part {
            budget * fraction / part_count as f64
        } else {
            0.0
        })
    }

    /// Work that this dispatcher may send to a worker now: its accumulated part of the budget for a worker in warm-up,
    /// and unlimited for any other.
    pub(super) fn warm_up_allowance(&self, now: Time, worker: &Worker, work: f64) -> f64 {
        let Some(rate) = self.warm_up_rate(now, worker) else {
            return f64::INFINITY;
        };
        let budget = worker.warm_up_budget;
        let accumulated_budget = budget.value + rate * now.saturating_sub(budget.at) as f64;
        let max_accumulated =
            rate * self.settings.rules.warm_up_overload_window as f64 / WARM_UP_JOBS;
        accumulated_budget.min(work.max(max_accumulated))
    }
}
