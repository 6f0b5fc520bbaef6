//! Life cycle of an attempt: send (within all limits), start, progress and outcome.

use super::Dispatcher;
use super::fleet::{Timed, UnstartedAttempt, Worker};
use super::state::{Attempt, AttemptId, OpenRequest};
use super::tuning::{LATE_MARGIN, LATE_START_WAIT, MOVE_FETCHES, MOVE_WAIT};
use crate::affinity;
use crate::api::{Action, AttemptNo, DeduplicationScope, Effect, Load, RequestId, Status, Time};
use crate::runs::{self, freshness};
use crate::transferred_job::Progress;

/// Growth factor of the shortest start delay at each start that took longer.
const START_DELAY_GROWTH: f64 = 1.01;

impl Dispatcher {
    /// Sends a request to a worker; no other function emits [`Action::Send`]. Checks every rule that limits a send,
    /// however the worker was chosen. Returns whether the request was sent.
    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        out: &mut Vec<Action>,
    ) -> bool {
        let remaining_retries = self.retries_left(now);
        let Some(open) = self.open.get(&id) else {
            return false;
        };
        let worker = &self.fleet[index];
        let work = self.work(open.job.class, open.job.estimate);
        let budget_left = self.warm_up_allowance(now, worker, work) - work;
        let by = self.sendable_until(open);
        let is_allowed = now < by
            && (open.job.attempts.is_empty() || remaining_retries >= 1.0)
            && (self.settings.limits.duplicates || open.job.attempts.iter().all(|a| a.done))
            && worker.active
            && self.effect_allows(open, worker)
            && budget_left >= 0.0;
        if !is_allowed {
            return false;
        }
        self.fleet[index].warm_up_budget = Timed {
            value: budget_left,
            at: now,
        };
        let connection_idle = self.take_connection(now, index, out);
        self.record_send(now, id, index, connection_idle);
        out.push(Action::Send {
            request: id,
            worker: self.fleet[index].listed.worker,
            timeout: 0,
            by,
        });
        self.schedule_reviews(now, id);
        true
    }

    /// Takes the most recently used idle connection to a worker. Returns how long the oldest idle one has been idle; 0
    /// if there is none. A connection that was dropped unnoticed would fail the attempt: if the oldest idle time is not
    /// trusted, the idle connections are closed first.
    fn take_connection(&mut self, now: Time, index: usize, out: &mut Vec<Action>) -> Time {
        let worker = &mut self.fleet[index];
        let idle = worker.idle_since.first().map_or(0, |since| now - since);
        if !self.connection_trust.is_trusted(idle) {
            worker.idle_since.clear();
            out.push(Action::Disconnect {
                worker: worker.listed.worker,
            });
        }
        worker.idle_since.pop();
        idle
    }

    /// Records an attempt that is sent at `now`.
    fn record_send(&mut self, now: Time, id: RequestId, index: usize, connection_idle: Time) {
        let home = self.open.get(&id).and_then(|open| self.home_worker(open));
        let away_from_home = home.is_some_and(|home| home != index);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let is_idle = self.fleet[index].own_slots() == 0.0;
        let attempt = open.job.attempts.len() as AttemptNo;
        let reports_start = self.settings.reports_start;
        let started = (!reports_start && is_idle).then_some(now);
        if reports_start {
            let id = AttemptId {
                request: id,
                attempt,
            };
            let unstarted = UnstartedAttempt {
                sent: now,
                id,
                slots: open.job.slots,
            };
            self.fleet.add_unstarted(index, unstarted);
        }
        if attempt > 0 {
            self.retries
                .record_retry(now, self.settings.rules.retry_budget);
        }
        self.fleet.add_slots(index, open.job.slots);
        open.queued_in = None;
        open.job.attempts.push(Attempt {
            worker: index,
            sent: now,
            connection_idle,
            started,
            away_from_home,
            ..Attempt::default()
        });
    }

    /// Schedules the reviews of a request that has just been sent.
    fn schedule_reviews(&mut self, now: Time, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|_| self.settings.reports_start) else {
            return;
        };
        if self.settings.limits.moves_waiting_requests() {
            self.reviews.schedule(self.move_due(now), id);
        }
        if self.settings.classes[open.job.class].late_value <= 0.0 {
            self.reviews.schedule(open.job.late_from + 1, id);
        }
    }

    /// Time from which on an attempt that was sent at `sent` may be moved to another worker.
    pub(super) fn move_due(&self, sent: Time) -> Time {
        sent + (MOVE_FETCHES * self.fetches.cost()) as Time + MOVE_WAIT
    }

    /// Time from which on another attempt is not allowed, or would probably not end by the deadline. 0 if none is
    /// allowed at all.
    pub(super) fn sendable_until(&self, open: &OpenRequest) -> Time {
        let run_margin = (LATE_MARGIN * self.work(open.job.class, open.job.estimate)) as Time;
        let margin = run_margin.min(self.classes[open.job.class].longest_client_wait / 2);
        let latest_send = open.job.deadline.saturating_sub(margin);
        let max_attempts = open
            .job
            .attempt_limit
            .min(self.settings.limits.attempts as usize);
        let may_have_run = open.job.attempts.iter().find(|a| !a.never_ran);
        let latest_send_before = |end: Time| end.saturating_sub(self.tick()).min(latest_send);
        match (may_have_run, self.settings.classes[open.job.class].effect) {
            _ if open.closed || open.job.attempts.len() >= max_attempts => 0,
            (Some(_), Effect::Unsafe) => 0,
            (Some(first_effective), Effect::Keyed { ttl, .. }) => {
                latest_send_before(first_effective.sent.saturating_add(ttl))
            }
            _ => latest_send,
        }
    }

    /// Number of retries that the budget has left in the window that ends now; infinite without a budget.
    pub(super) fn retries_left(&mut self, now: Time) -> f64 {
        self.retries
            .remaining_retries(now, self.settings.rules.retry_budget)
    }

    /// Whether the class's effect allows a further attempt on this worker, given the first attempt that may have run.
    pub(super) fn effect_allows(&self, open: &OpenRequest, worker: &Worker) -> bool {
        let Some(first_attempt) = open.job.attempts.iter().find(|a| !a.never_ran) else {
            return true;
        };
        let first_worker = &self.fleet[first_attempt.worker].listed;
        match self.settings.classes[open.job.class].effect {
            Effect::Keyed {
                group: DeduplicationScope::Zone,
                ..
            } => first_worker.zone == worker.listed.zone,
            Effect::Keyed {
                group: DeduplicationScope::Cell,
                ..
            } => first_worker.cell == worker.listed.cell,
            _ => true,
        }
    }

    /// Handles the start of an attempt. Ignored if the attempt is unknown, has started already or has ended.
    pub(super) fn handle_start(&mut self, now: Time, id: AttemptId) {
        let Some(attempt) = self.attempt_mut(id) else {
            return;
        };
        if attempt.done || attempt.started.is_some() {
            return;
        }
        attempt.started = Some(now);
        let index = attempt.worker;
        let wait = now.saturating_sub(attempt.sent) as f64;
        self.displacement.record_start();
        if self.run_times.weight > 0.0 {
            // Long waits indicate queues shared with other dispatchers. A smaller wait window then keeps more requests
            // in this dispatcher's queues, which send the most valuable ones first.
            let capacity = self.capacity(&self.fleet[index]);
            let late_start_wait =
                LATE_START_WAIT * self.run_times.sum / self.run_times.weight / capacity;
            self.adapt_to_start(index, wait >= late_start_wait);
        }
        self.fleet.release_slots(now, index, id, 0.0);
        self.handle_progress(now, id, 0.0);
        self.learn_from_start(now, index, wait);
    }

    /// Updates the estimated load of others by a start: a late start shows that all slots were occupied, a prompt one
    /// that a slot was free.
    fn learn_from_start(&mut self, now: Time, index: usize, wait: f64) {
        let (worker, kind) = self.fleet.worker_and_kind_mut(index);
        let started_slots = worker.started_slots();
        let remaining_slots = (kind.slots - started_slots).max(0.0);
        let is_late = worker.is_late_start(wait, self.settings.granularity);
        let former_others_slots = worker
            .load_updated_at
            .map_or(0.0, |at| worker.others_slots * freshness(now, at));
        worker.others_slots = if is_late {
            remaining_slots + 1.0
        } else {
            remaining_slots.min(former_others_slots)
        };
        worker.load_updated_at = Some(now);
        worker.start_delay = if wait < worker.start_delay {
            wait
        } else {
            worker.start_delay * START_DELAY_GROWTH
        };
        if !kind.slots_reported {
            let peer_slots = if is_late {
                0.0
            } else {
                worker.peer_slots(now).floor()
            };
            kind.slots = kind.slots.max(started_slots + peer_slots);
        }
    }

    /// Records a progress report (or the start, as zero progress), and schedules a review for when the next report is
    /// overdue.
    pub(super) fn handle_progress(&mut self, now: Time, id: AttemptId, done: f64) {
        let Some(attempt) = self.attempt_mut(id) else {
            return;
        };
        let progress = Progress { at: now, done };
        attempt.last_progress = progress;
        let index = attempt.worker;
        if done > 0.0 {
            attempt.first_progress = attempt.first_progress.or(Some(progress));
            self.record_progress(now, index);
        }
        let open = self.open.get(&id.request);
        let review_due_at =
            open.map(|open| self.overdue_at(&open.job.attempts[id.attempt as usize]));
        if let Some(review_due_at) = review_due_at {
            self.reviews.schedule(review_due_at, id.request);
        }
    }

    fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let open = self.open.get_mut(&id.request)?;
        open.job.attempts.get_mut(id.attempt as usize)
    }

    /// Handles the end of an attempt. Returns the index of its worker; `None` if no such attempt was in flight.
    pub(super) fn handle_outcome(
        &mut self,
        now: Time,
        id: AttemptId,
        status: Status,
        load: Option<Load>,
    ) -> Option<usize> {
        let never_ran = self.never_ran(status);
        let open = self.open.get_mut(&id.request)?;
        let attempt = open
            .job
            .attempts
            .get_mut(id.attempt as usize)
            .filter(|attempt| !attempt.done)?;
        attempt.done = true;
        attempt.never_ran = never_ran;
        let ended_attempt = attempt.clone();
        let (class, estimate) = (open.job.class, open.job.estimate);
        let has_affinity = open.job.affinity.is_some();
        let slots = if ended_attempt.timed_out {
            0.0
        } else {
            open.job.slots
        };
        if status == Status::Moot && id.attempt > 0 {
            self.retries.remove_retry(ended_attempt.sent);
        }
        let fetch_time = ended_attempt
            .started
            .filter(|_| has_affinity)
            .and_then(|started| affinity::fetch_time(started, ended_attempt.first_progress, now));
        let was_sent_away = ended_attempt.away_from_home && status == Status::Ok;
        if let Some(fetch_duration) = fetch_time.filter(|_| was_sent_away) {
            self.fetches.record_fetch(fetch_duration);
        }
        self.fleet
            .release_slots(now, ended_attempt.worker, id, slots);
        self.fleet[ended_attempt.worker].idle_since.push(now);
        load.iter()
            .for_each(|load| self.handle_load(now, ended_attempt.worker, load));
        self.learn_from_status(now, &ended_attempt, status);
        if let (Status::Ok, Some(started)) = (status, ended_attempt.started) {
            let fetch = fetch_time.unwrap_or(0.0) as Time;
            let run_duration = now.saturating_sub(started).saturating_sub(fetch);
            self.learn_run_time(ended_attempt.worker, class, estimate, run_duration);
        }
        Some(ended_attempt.worker)
    }

    /// Whether an attempt with this result cannot have taken effect.
    fn never_ran(&self, status: Status) -> bool {
        match status {
            Status::Full => !self.settings.rules.full_may_have_run,
            Status::ConnectFailed | Status::Moot => true,
            Status::Ok | Status::Error | Status::Timeout | Status::Reset | Status::Cancelled => {
                false
            }
        }
    }

    /// Updates the run times of a class and the speed of a worker's kind with one run.
    fn learn_run_time(&mut self, index: usize, class: usize, estimate: Option<Time>, run: Time) {
        let (_, kind) = self.fleet.worker_and_kind_mut(index);
        let speed = &mut kind.speed;
        let run_time = &mut self.classes[class].run_time;
        runs::record_run(speed, run_time, &mut self.run_times, estimate, run);
    }

    /// Updates the health of the worker, or the trust in idle connections, by the result of an attempt.
    fn learn_from_status(&mut self, now: Time, ended_attempt: &Attempt, status: Status) {
        let was_idle = ended_attempt.connection_idle > 0;
        if status == Status::Reset && ended_attempt.started.is_none() && was_idle {
            // A reset of an idle connection before the start is a fault of the connection, not of the worker.
            self.connection_trust
                .record_reset(ended_attempt.connection_idle);
        } else if status != Status::Timeout {
            // A time-out is recorded when an attempt is overdue (see `time_out`).
            self.record_outcome(now, ended_attempt.worker, status);
        }
    }

    /// Expected work of a request of this class with this estimate, in microseconds at mean speed.
    pub(super) fn work(&self, class: usize, estimate: Option<Time>) -> f64 {
        self.classes[class].run_time.mean(estimate)
    }
}
