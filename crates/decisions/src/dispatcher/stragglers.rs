//! Handling of attempts that wait too long or make no progress: they are cancelled, moved to another worker, or joined
//! by a second attempt.

use super::Dispatcher;
use super::state::{Attempt, AttemptId};
use super::tuning::{EJECTION_MAX, MOVE_WAIT, OVERDUE_FIRST_INTERVALS, OVERDUE_INTERVALS};
use crate::api::{Action, AttemptNo, Effect, RequestId, Status, Time};
use crate::transferred_job::Progress;

/// Number of ticks after which a request that found no other worker is reviewed again.
const REVIEW_TICKS: Time = 5;
/// Tolerated lateness of a progress report, in clock granularities.
const REPORT_SLACK_GRANULARITIES: Time = 4;

impl Dispatcher {
    /// Handles an attempt that the worker has not acknowledged in time: the attempt counts as not queued there. If
    /// the class allows, the request is also sent to another worker.
    pub(super) fn handle_unacknowledged(
        &mut self,
        now: Time,
        id: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let open = self.open.get_mut(&id.request);
        let attempt = open.and_then(|open| open.job.attempts.get_mut(id.attempt as usize));
        if let Some(attempt) = attempt.filter(|a| !a.done && a.started.is_none()) {
            attempt.unacknowledged = true;
            self.handle_overdue(now, id.request, out);
        }
    }

    /// Cancels an attempt that has waited long at a worker, if another worker appears free. The outcome of the
    /// cancelled attempt triggers the next send. The last attempt that a request may have is reserved for failures.
    fn move_waiting(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let waits_long = |a: &&Attempt| {
            !a.done && !a.timed_out && a.started.is_none() && now >= a.sent + MOVE_WAIT
        };
        let Some(current_worker) = open
            .job
            .attempts
            .last()
            .filter(waits_long)
            .map(|a| a.worker)
        else {
            return;
        };
        let attempt_count = open.job.attempts.len();
        let max_attempts = open
            .job
            .attempt_limit
            .min(self.settings.limits.attempts as usize);
        let is_unsafe = self.settings.classes[open.job.class].effect == Effect::Unsafe;
        if attempt_count + 1 >= max_attempts || is_unsafe {
            return;
        }
        let sample = self.sample(now, id);
        let is_better = |index: &usize| {
            *index != current_worker && !self.is_expected_full(now, &self.fleet[*index], 0.0)
        };
        if sample.iter().any(is_better) {
            out.push(Action::Cancel {
                request: id,
                attempt: attempt_count as AttemptNo - 1,
            });
        } else {
            self.reviews.schedule(now + REVIEW_TICKS * self.tick(), id);
        }
    }

    /// When the next progress report of an attempt is overdue; `Time::MAX` if workers send none, 0 if an unstarted
    /// attempt has not been acknowledged in time.
    pub(super) fn overdue_at(&self, attempt: &Attempt) -> Time {
        let Progress { at, done } = attempt.last_progress;
        let intervals = if done > 0.0 {
            OVERDUE_INTERVALS
        } else {
            OVERDUE_FIRST_INTERVALS
        };
        let report_timeout = intervals * self.settings.progress as f64;
        let sends_reports = self.settings.reports_start && report_timeout > 0.0;
        match attempt.started {
            Some(_) if sends_reports => {
                let slack = REPORT_SLACK_GRANULARITIES * self.settings.granularity;
                at.saturating_add(report_timeout as Time + slack)
            }
            None if attempt.unacknowledged => 0,
            _ => Time::MAX,
        }
    }

    /// Times out an attempt whose progress report is overdue: its slots count as free. If the class allows, the request
    /// is moved, or also sent to another worker.
    pub(super) fn handle_overdue(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let remaining_retries = self.retries_left(now);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let may_retry = remaining_retries >= 1.0 && now < self.sendable_until(open);
        let moves_waiting = self.settings.limits.moves_waiting_requests();
        let is_overdue = |a: &Attempt| !a.done && !a.timed_out && now >= self.overdue_at(a);
        if let Some(number) = open.job.attempts.iter().position(is_overdue) {
            let attempt = number as AttemptNo;
            self.time_out(
                now,
                AttemptId {
                    request: id,
                    attempt,
                },
            );
            if may_retry && moves_waiting {
                // The outcome of the cancelled attempt triggers the next send.
                out.push(Action::Cancel {
                    request: id,
                    attempt,
                });
            }
        }
        if may_retry && moves_waiting {
            self.move_waiting(now, id, out);
        }
        let has_none_responsive =
            |attempts: &[Attempt]| attempts.iter().all(|a| a.done || a.timed_out);
        let needs_another = self
            .open
            .get(&id)
            .is_some_and(|open| has_none_responsive(&open.job.attempts));
        let may_duplicate = may_retry && self.settings.limits.duplicates;
        if needs_another && may_duplicate && !self.send_now(now, id, out) {
            self.reviews.schedule(now + REVIEW_TICKS * self.tick(), id);
        }
    }

    /// Releases the slots of an overdue attempt and records a time-out for its worker.
    fn time_out(&mut self, now: Time, id: AttemptId) {
        let Some(open) = self.open.get_mut(&id.request) else {
            return;
        };
        let slots = open.job.slots;
        let attempt = &mut open.job.attempts[id.attempt as usize];
        attempt.timed_out = true;
        let index = attempt.worker;
        let wait_duration = now - attempt.sent.max(attempt.last_progress.at);
        self.fleet.release_slots(now, index, id, slots);
        if self.settings.limits.moves_waiting_requests() {
            // The attempt will be cancelled and cannot show when the worker responds again: eject the worker for as
            // long as it took to notice the time-out, multiplied by the number of time-outs in a row.
            let worker = &mut self.fleet[index];
            worker.timeouts_in_a_row += u32::from(now >= worker.ejected_until);
            let ejection_duration = wait_duration
                .saturating_mul(worker.timeouts_in_a_row.into())
                .min(EJECTION_MAX as Time);
            worker.ejected_until = worker.ejected_until.max(now + ejection_duration);
        }
        self.record_outcome(now, index, Status::Timeout);
    }
}
