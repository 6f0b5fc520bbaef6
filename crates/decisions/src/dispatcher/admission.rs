//! Life cycle of a request: it is accepted, sent or queued, reviewed when due, and answered once.

use super::state::{OpenRequest, QueueIndex};
use super::tuning::{HOME_SCAN_MISSES_MAX, LATE_MARGIN, SCAN_MISSES_MAX, WITHIN_QUOTA_FRACTION};
use super::{Dispatcher, random_fraction};
use crate::api::{
    Action, AttemptNo, Class, DeduplicationScope, Effect, Reports, Request, RequestId, Tenant,
    TenantId, Time,
};
use crate::transferred_job::TransferredJob;

/// Lower bound of the work of a request, in microseconds, when it is used as a divisor.
const WORK_MIN: f64 = 1e-9;

impl Dispatcher {
    /// Accepts a new request: answers it at once if it would displace more valuable ones, otherwise probes workers,
    /// sends or queues it.
    pub(super) fn accept(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let open = self.open_request(now, request);
        let work = self.work(open.job.class, open.job.estimate);
        let (class, over_quota, slots) = (open.job.class, open.job.over_quota, open.job.slots);
        self.retries
            .record_accepted(now, self.settings.rules.retry_budget);
        self.open.insert(id, open);
        if self.is_displaced(class, over_quota, work, slots) {
            return self.answer(now, id, out);
        }
        self.evict_least_valuable(now, out);
        self.overhead.record_request();
        if self.settings.limits.probes && self.settings.reports != Reports::Off {
            self.probe(now, id, out);
        }
        self.send_or_queue(now, id, out);
    }

    /// Records the arrival and creates the state of the request: its slots, quota state, lateness time and deadline.
    fn open_request(&mut self, now: Time, request: Request) -> OpenRequest {
        let class = self.class_index(request.class);
        let estimate = request.estimate.filter(|work| *work > 0);
        let slots = [request.slots, request.memory]
            .into_iter()
            .filter(|value| value.is_finite())
            .fold(1.0, f64::max);
        let work = self.work(class, estimate);
        let is_bound = self.settings.classes[class].kind.is_some();
        self.arrivals.count(now, work, is_bound, request.tenant);
        let over_quota = self.is_over_quota(request.tenant);
        // A client's own retry has less time left than the first attempts of its class. The difference tells when the
        // client made its first attempt, from which the latency target counts.
        let longest_client_wait = &mut self.classes[class].longest_client_wait;
        *longest_client_wait = request.left.max(*longest_client_wait);
        let arrived_at = now.saturating_sub(*longest_client_wait - request.left);
        let rules = &self.settings.classes[class];
        let late_from = arrived_at
            .saturating_add(rules.latency_target)
            .saturating_add_signed(((rules.stretch - LATE_MARGIN) * work) as i64);
        let job = TransferredJob {
            class,
            late_from,
            deadline: now.saturating_add(request.left),
            estimate,
            affinity: request.subject,
            slots,
            attempt_limit: self.settings.limits.attempts as usize,
            over_quota,
            attempts: Vec::new(),
        };
        OpenRequest {
            job,
            ..OpenRequest::default()
        }
    }

    /// Index of the current rules of a class; a class that is missing from the settings gets the strictest rules.
    fn class_index(&self, class: u32) -> usize {
        let unknown_class_index = || {
            let mut classes = self.settings.classes.iter();
            classes
                .position(|rules| *rules == Class::UNKNOWN)
                .unwrap_or(0)
        };
        let known_index = self.class_of.get(class as usize).copied();
        known_index.unwrap_or_else(unknown_class_index)
    }

    /// Whether to reject a new request because the requests that it would displace have a higher expected value.
    /// Requests displace others while workers reject attempts; the probability follows from the rejection rate
    /// (Erlang's loss formula). The decision is randomised: the displaced value is multiplied by a random number
    /// between 0 and 1.
    fn is_displaced(&mut self, class: usize, over_quota: bool, work: f64, slots: f64) -> bool {
        let value = work * self.value_per_work(QueueIndex::new(class, over_quota, false));
        let value_within_quota = work * self.value_per_work(QueueIndex::new(class, false, false));
        self.displacement
            .record_request(value_within_quota, work * slots);
        let displaced_value = self.displacement.displaced_value(work, slots);
        random_fraction(&mut self.rng) * displaced_value > value
    }

    /// Rejects the oldest request of the least valuable queue if more requests are open than allowed, because each open
    /// request occupies a client connection.
    fn evict_least_valuable(&mut self, now: Time, out: &mut Vec<Action>) {
        let limit = self.settings.limits.open;
        if limit.is_none_or(|limit| self.open.len() <= limit) {
            return;
        }
        let queues = self.queues.in_use().into_iter();
        if let Some(queue) =
            queues.min_by(|a, b| self.value_per_work(*a).total_cmp(&self.value_per_work(*b)))
        {
            let id = self.queues.pop_oldest(queue).unwrap_or_default();
            self.answer(now, id, out);
        }
    }

    /// Sends, queues or closes a request that is neither queued nor has an attempt in flight; otherwise does nothing.
    pub(super) fn send_or_queue(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let is_idle = |open: &&OpenRequest| {
            open.queued_in.is_none() && open.job.attempts.iter().all(|a| a.done)
        };
        match self.open.get(&id).filter(is_idle).map(|open| open.closed) {
            Some(true) => self.close(id, out),
            Some(false) if !self.send_now(now, id, out) => self.enqueue(now, id, out),
            _ => {}
        }
    }

    /// Sends the request if a worker can take it now. Returns whether it was sent.
    pub(super) fn send_now(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        self.choose(now, id)
            .is_some_and(|worker| self.send(now, id, worker, out))
    }

    /// Queues a request, or answers it if it cannot earn value any more, no attempt is allowed, or too little time is
    /// left before its deadline.
    fn enqueue(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let remaining_retries = self.retries_left(now);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let is_late = now > open.job.late_from;
        let last_tick = open.job.deadline.saturating_sub(2 * self.tick());
        let sendable_until = self.sendable_until(open).min(last_tick);
        let is_worthless = is_late && self.settings.classes[open.job.class].late_value <= 0.0;
        let has_no_retry = !open.job.attempts.is_empty() && remaining_retries < 1.0;
        if now >= sendable_until || is_worthless || has_no_retry {
            return self.answer(now, id, out);
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let queue = QueueIndex::new(open.job.class, open.job.over_quota, is_late);
        open.queued_in = Some(queue);
        let review_due_at = if is_late {
            sendable_until
        } else {
            sendable_until.min(open.job.late_from + 1)
        };
        self.reviews.schedule(review_due_at, id);
        self.queues.push(queue, id);
    }

    /// Sends queued requests while workers have capacity: by descending value per unit of work, and the newest first
    /// within a queue.
    pub(super) fn send_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut order = self.queues.in_use();
        if order.is_empty() || !self.may_wait(false) || !self.has_free_worker(now) {
            return;
        }
        order.sort_by(|a, b| self.value_per_work(*b).total_cmp(&self.value_per_work(*a)));
        // The first round considers only requests whose home worker has a free slot, the second one all requests.
        let rounds: &[bool] = if self.fetches.cost() > 0.0 {
            &[true, false]
        } else {
            &[false]
        };
        for &home_only in rounds {
            for &queue in &order {
                self.send_from_queue(now, queue, home_only, out);
            }
        }
    }

    /// Sends requests of one queue, the newest first. A request that no available worker may get is skipped, up to a
    /// limit, so that it does not block the others.
    fn send_from_queue(
        &mut self,
        now: Time,
        queue: QueueIndex,
        home_only: bool,
        out: &mut Vec<Action>,
    ) {
        let misses_max = if home_only {
            HOME_SCAN_MISSES_MAX
        } else {
            SCAN_MISSES_MAX
        };
        let mut position = self.queues.len(queue);
        let mut misses = 0;
        while position > 0 && misses < misses_max {
            position -= 1;
            let id = self.queues.at(queue, position);
            let is_queued = |open: &OpenRequest| !open.closed && open.queued_in == Some(queue);
            let is_waiting = self.open.get(&id).is_some_and(is_queued);
            let worker = match (is_waiting, home_only) {
                (false, _) => None,
                (true, true) => self.choose_home(now, id),
                (true, false) => self.choose(now, id),
            };
            if is_waiting && worker.is_none() {
                misses += 1;
                continue;
            }
            if worker.is_some_and(|worker| !self.send(now, id, worker, out)) {
                self.answer(now, id, out);
            }
            self.queues.remove_at(queue, position);
        }
    }

    /// Value per unit of work of the requests in a queue.
    fn value_per_work(&self, queue: QueueIndex) -> f64 {
        let class = &self.settings.classes[queue.class()];
        let work = if self.settings.value_by_work {
            1.0
        } else {
            self.work(queue.class(), None).max(WORK_MIN)
        };
        let over_quota_factor = if queue.is_over_quota() {
            self.settings.over_quota_value
        } else {
            1.0
        };
        let late_factor = if queue.is_late() {
            class.late_value
        } else {
            1.0
        };
        class.value * over_quota_factor * late_factor / work
    }

    /// Performs the reviews that are due: answers requests that cannot earn value any more, even while they wait at a
    /// worker, moves requests that have become late to the queue of late ones, and handles overdue attempts.
    pub(super) fn review(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(id) = self.reviews.take_due(now) {
            let Some(open) = self.open.get(&id).filter(|open| !open.closed) else {
                continue;
            };
            let earns_late = self.settings.classes[open.job.class].late_value > 0.0;
            let is_worthless = !earns_late && now > open.job.late_from;
            if let Some(queue) = open.queued_in {
                self.queues.remove(queue, id);
                self.enqueue(now, id, out);
            } else if is_worthless && open.job.attempts.iter().all(|a| a.started.is_none()) {
                self.answer(now, id, out);
            } else {
                self.handle_overdue(now, id, out);
            }
        }
    }

    /// Gives a request its final answer: a rejection if a repeat is harmless, otherwise a failure. No other function
    /// emits [`Action::Reject`] or [`Action::Fail`].
    pub(super) fn answer(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|open| !open.closed) else {
            return;
        };
        let is_idempotent = match self.settings.classes[open.job.class].effect {
            Effect::Safe => true,
            Effect::Keyed { group, .. } => group == DeduplicationScope::All,
            Effect::Unsafe => false,
        };
        let is_harmless = is_idempotent || open.job.attempts.iter().all(|a| a.never_ran);
        let retry_after = self.retry_after(now, open);
        out.push(if is_harmless {
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, out);
    }

    /// Delay after which the client should retry: a tick if the request is not late, otherwise the longest delay that
    /// clients respect; at most half of the request's remaining time. 0 if clients follow no such advice.
    fn retry_after(&self, now: Time, open: &OpenRequest) -> Time {
        let longest_delay = if self.settings.limits.retry_after {
            self.settings.limits.max_retry_after
        } else {
            0
        };
        let wanted_delay = if now > open.job.late_from {
            longest_delay
        } else {
            self.tick()
        };
        wanted_delay
            .min(longest_delay)
            .min(open.job.deadline.saturating_sub(now) / 2)
    }

    /// Closes a request: cancels its attempts in flight, and removes it once all of them have ended.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let in_flight = open
            .job
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| !a.done);
        if !open.closed && self.settings.limits.cancel {
            out.extend(in_flight.map(|(n, _)| Action::Cancel {
                request: id,
                attempt: n as AttemptNo,
            }));
        }
        open.closed = true;
        if open.job.attempts.iter().all(|a| a.done) {
            self.open.remove(&id);
        }
    }

    /// Whether an arrival counts as beyond its tenant's quota: decided at random, so that the tenant's excess over its
    /// quota is marked on average.
    fn is_over_quota(&mut self, tenant: TenantId) -> bool {
        let Some(arriving_fraction) = self.arrivals.fraction(tenant) else {
            return false;
        };
        // More clients may use this dispatcher than others. A tenant with far less than its fraction of the arrivals
        // here did not cause that.
        let Tenant {
            quota_per_s,
            fraction,
        } = self.settings.tenants[tenant as usize];
        let arrivals_per_s = self.arrivals.latest().per_s * self.settings.dispatchers as f64;
        random_fraction(&mut self.rng) * arriving_fraction
            > (quota_per_s / arrivals_per_s).max(WITHIN_QUOTA_FRACTION * fraction)
    }
}
