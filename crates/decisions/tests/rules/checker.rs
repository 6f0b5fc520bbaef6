//! Performs steps on a dispatcher and checks each action against the rules, using only events and actions.

use super::steps::Step;
use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;
use std::collections::{BTreeMap, BTreeSet};

struct TrackedAttempt {
    worker: WorkerId,
    sent: Time,
    status: Option<Status>,
}

struct TrackedRequest {
    class: u32,
    deadline: Time,
    attempts: Vec<TrackedAttempt>,
    /// Whether the client has its final answer or has disconnected.
    closed: bool,
    final_answers: u32,
}

/// Checks each action of a dispatcher against the rules. It uses only the events passed in and the actions returned.
pub(crate) struct Checker {
    settings: Settings,
    harness: Harness,
    entries_by_worker: BTreeMap<WorkerId, Entry>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    warm_up_sends: BTreeMap<WorkerId, Vec<Time>>,
    next_id: RequestId,
    /// When requests were accepted since the dispatcher's start.
    accepted_at: Vec<Time>,
    /// Retries since the dispatcher's start: time, request and number of the attempt.
    retries: Vec<(Time, RequestId, usize)>,
    /// Workers with a connection that may have become idle since the idle connections there were last closed.
    idle: BTreeSet<WorkerId>,
    /// Start and end of each pause of the dispatcher.
    stalls: Vec<(Time, Time)>,
}

impl Checker {
    /// Creates a dispatcher with six workers of three kinds in two zones.
    pub(crate) fn new(settings: Settings) -> Self {
        let workers: Vec<_> = (0..6)
            .map(|i| Entry {
                zone: i % 2,
                ..entry(i, i % 3)
            })
            .collect();
        Checker {
            harness: Harness::new(settings.clone(), &workers),
            settings,
            entries_by_worker: workers.into_iter().map(|w| (w.worker, w)).collect(),
            requests: BTreeMap::new(),
            warm_up_sends: BTreeMap::new(),
            next_id: 1,
            accepted_at: Vec::new(),
            retries: Vec::new(),
            idle: BTreeSet::new(),
            stalls: Vec::new(),
        }
    }

    fn effect(&self, class: u32) -> Effect {
        self.settings
            .classes
            .get(class as usize)
            .map_or(Effect::Unsafe, |c| c.effect)
    }

    /// Checks the actions of the last event against the rules.
    pub(crate) fn check(&mut self) {
        let now = self.harness.now;
        for action in self.harness.actions.clone() {
            match action {
                Action::Send {
                    request, worker, ..
                } => self.check_send(now, request, worker),
                Action::Reject { request, .. } => self.check_answer(now, request, true),
                Action::Fail { request } => self.check_answer(now, request, false),
                Action::Cancel { request, attempt } => {
                    assert!(self.settings.limits.cancel);
                    assert!((attempt as usize) < self.requests[&request].attempts.len());
                }
                Action::Disconnect { worker } => {
                    assert!(
                        self.settings.rules.close_idle_within.is_none()
                            || self.entries_by_worker.contains_key(&worker)
                    );
                    self.idle.remove(&worker);
                }
                Action::Probe { .. } => assert!(self.settings.limits.probes),
                Action::UpdatePeers { in_flight } => {
                    assert!(self.settings.limits.peers && in_flight.len() <= 51);
                }
                _ => {}
            }
        }
        self.check_idle_connections();
    }

    /// Checks that a final answer is the only one and in time, and that a rejection is given only if a repeat is
    /// harmless.
    fn check_answer(&mut self, now: Time, request: RequestId, is_refusal: bool) {
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("an answer names a known request");
        assert!(!tracked.closed, "a second final answer");
        // A paused dispatcher cannot answer before it resumes.
        let due = tracked.deadline + self.settings.rules.answer_slack;
        let resumed = self
            .stalls
            .iter()
            .find(|stall| stall.0 <= due && due < stall.1)
            .map_or(0, |stall| stall.1);
        assert!(now <= due.max(resumed), "answered too late");
        tracked.closed = true;
        tracked.final_answers += 1;
        let tracked = &self.requests[&request];
        let full_may_have_run = self.settings.rules.full_may_have_run;
        let mut attempts = tracked.attempts.iter();
        let ran = attempts.any(|attempt| !never_ran(attempt.status, full_may_have_run));
        let effect = self.effect(tracked.class);
        let is_keyed_everywhere = matches!(
            effect,
            Effect::Keyed {
                group: DeduplicationScope::All,
                ..
            }
        );
        if is_refusal && ran {
            assert!(
                effect == Effect::Safe || is_keyed_everywhere,
                "a rejection although the request may have taken effect"
            );
        }
    }

    fn check_idle_connections(&self) {
        if self.settings.rules.close_idle_within.is_none() {
            return;
        }
        // Idle connections to a draining worker must be closed by the event that made them idle or the worker drain.
        let draining = self
            .idle
            .iter()
            .find(|worker| self.entries_by_worker[worker].state != WorkerState::Active);
        assert_eq!(
            draining, None,
            "an idle connection to a draining worker stays open"
        );
    }

    fn check_send(&mut self, now: Time, request: RequestId, worker: WorkerId) {
        let entry = self
            .entries_by_worker
            .get(&worker)
            .expect("a send to a worker that the membership list never named")
            .clone();
        assert_eq!(
            entry.state,
            WorkerState::Active,
            "a send to a worker that drains or has left"
        );
        self.check_attempt_limits(now, request);
        self.check_retry_budget(now, request);
        self.check_effect(now, request, &entry);
        self.check_warm_up(now, &entry);
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("the request is known");
        tracked.attempts.push(TrackedAttempt {
            worker,
            sent: now,
            status: None,
        });
    }

    fn check_attempt_limits(&self, now: Time, request: RequestId) {
        let tracked = &self.requests[&request];
        assert!(
            !tracked.closed && now < tracked.deadline,
            "a send for a request that is closed"
        );
        assert!(
            tracked.attempts.len() < self.settings.limits.attempts as usize,
            "more attempts than the limit"
        );
        if !self.settings.limits.duplicates {
            assert!(
                tracked
                    .attempts
                    .iter()
                    .all(|attempt| attempt.status.is_some()),
                "two attempts in flight at once"
            );
        }
    }

    fn check_retry_budget(&mut self, now: Time, request: RequestId) {
        let number = self.requests[&request].attempts.len();
        let Some(budget) = self.settings.rules.retry_budget.filter(|_| number > 0) else {
            return;
        };
        let is_recent = |at: &Time| budget.window.is_none_or(|window| *at + window >= now);
        let accepted = self
            .accepted_at
            .iter()
            .filter(|at| budget.window.is_some_and(|window| **at + window > now))
            .count();
        let is_moot = |(_, id, number): &&(Time, RequestId, usize)| {
            self.requests
                .get(id)
                .is_some_and(|tracked| tracked.attempts[*number].status == Some(Status::Moot))
        };
        let counted = |retry: &&(Time, RequestId, usize)| is_recent(&retry.0) && !is_moot(retry);
        let retries = self.retries.iter().filter(counted).count() + 1;
        assert!(
            retries as f64 <= budget.free + budget.ratio * accepted as f64 + 1e-9,
            "{retries} retries for {accepted} accepted requests exceed the budget"
        );
        self.retries.push((now, request, number));
    }

    fn check_effect(&self, now: Time, request: RequestId, entry: &Entry) {
        let tracked = &self.requests[&request];
        let full_may_have_run = self.settings.rules.full_may_have_run;
        let mut attempts = tracked.attempts.iter();
        let Some(first) = attempts.find(|attempt| !never_ran(attempt.status, full_may_have_run))
        else {
            return;
        };
        let first_entry = &self.entries_by_worker[&first.worker];
        match self.effect(tracked.class) {
            Effect::Safe => {}
            Effect::Unsafe => panic!("an unsafe request sent twice"),
            Effect::Keyed { group, ttl } => {
                assert!(
                    now < first.sent + ttl,
                    "a retry after the lifetime of the key"
                );
                assert!(
                    group != DeduplicationScope::Cell || first_entry.cell == entry.cell,
                    "a retry in another cell"
                );
                assert!(
                    group != DeduplicationScope::Zone || first_entry.zone == entry.zone,
                    "a retry in another zone"
                );
            }
        }
    }

    fn check_warm_up(&mut self, now: Time, entry: &Entry) {
        let rules = &self.settings.rules;
        if entry.ready_at == 0 || now >= entry.ready_at + rules.warm_after {
            return;
        }
        // Every request is estimated at 300 ms at speed 1, and no worker ever shows more than 8 slots.
        let age = (now - entry.ready_at) as f64;
        let fraction =
            rules.initial_capacity + (1.0 - rules.initial_capacity) * age / rules.warm_after as f64;
        let sends = self.warm_up_sends.entry(entry.worker).or_default();
        sends.push(now);
        let recent = sends
            .iter()
            .filter(|at| **at + rules.warm_up_overload_window > now)
            .count() as f64;
        let dispatchers = self.settings.dispatchers.max(1) as f64;
        let budget =
            rules.warm_up_overload_multiple * fraction * 8.0 * rules.warm_up_overload_window as f64
                / dispatchers;
        // Actual runs may be much shorter, which the module learns. With few dispatchers, the assumption of 8 slots
        // leaves enough tolerance for that. Small parts of a budget are checked by the test
        // `warm_up_budget_goes_to_few_dispatchers_and_accumulates`.
        assert!(
            dispatchers > 5.0 || recent * 300_000.0 <= budget,
            "{recent} sends in a window to a worker in warm-up exceed its budget"
        );
    }

    /// The n-th attempt in flight, modulo the number of attempts in flight; `None` if there is none.
    fn nth_in_flight(&self, n: usize) -> Option<(RequestId, u32)> {
        let in_flight = |(id, r): (&RequestId, &TrackedRequest)| -> Vec<(RequestId, u32)> {
            let open = r
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.status.is_none());
            open.map(|(i, _)| (*id, i as u32)).collect()
        };
        let all: Vec<_> = self.requests.iter().flat_map(in_flight).collect();
        if all.is_empty() {
            None
        } else {
            Some(all[n % all.len()])
        }
    }

    fn end(&mut self, id: RequestId, attempt: u32, status: Status) {
        let r = self.requests.get_mut(&id).expect("the request is known");
        r.attempts[attempt as usize].status = Some(status);
        if status == Status::Ok && !r.closed {
            (r.closed, r.final_answers) = (true, r.final_answers + 1);
        }
        let closed = r.closed;
        self.idle.insert(r.attempts[attempt as usize].worker);
        self.harness.handle(Event::Outcome {
            request: id,
            attempt,
            status,
            closed,
            load: None,
        });
        self.check();
    }

    /// Advances the clock; timers and the time-outs of attempts at their deadlines occur in order.
    fn advance(&mut self, time: Time) {
        let end = self.harness.now + time;
        loop {
            let due = |r: &TrackedRequest| r.deadline.max(1);
            let has_in_flight = |r: &TrackedRequest| r.attempts.iter().any(|a| a.status.is_none());
            let next = self
                .requests
                .iter()
                .filter(|(_, r)| has_in_flight(r))
                .map(|(id, r)| (due(r), *id))
                .min();
            let timer = self.harness.timer.filter(|t| t.0 <= end);
            match (next.filter(|n| n.0 <= end), timer) {
                (Some((at, id)), timer) if timer.is_none_or(|t| at <= t.0) => {
                    self.harness.now = self.harness.now.max(at);
                    let r = &self.requests[&id];
                    let n = r
                        .attempts
                        .iter()
                        .position(|a| a.status.is_none())
                        .expect("an attempt is in flight");
                    self.end(id, n as u32, Status::Timeout);
                }
                (_, Some((at, name))) => {
                    self.harness.now = self.harness.now.max(at);
                    self.harness.timer = None;
                    self.harness.handle(Event::Timer(name));
                    self.check();
                }
                _ => break,
            }
        }
        self.harness.now = end;
    }

    fn update_entry(&mut self, change: Entry) {
        self.entries_by_worker.insert(change.worker, change.clone());
        self.harness.update_membership(Scope::Delta, &[change]);
        self.check();
    }

    /// Performs one step and checks the resulting actions.
    #[allow(clippy::too_many_lines, reason = "one arm for each step")]
    pub(crate) fn run(&mut self, step: Step) {
        match step {
            Step::Submit { class, left, slots } => self.submit(class, left, slots),
            Step::Start(n) => {
                if let Some((request, attempt)) = self.nth_in_flight(n) {
                    self.harness.handle(Event::Started { request, attempt });
                    self.check();
                }
            }
            Step::End(n, status) => {
                if let Some((id, attempt)) = self.nth_in_flight(n) {
                    self.end(id, attempt, status);
                }
            }
            Step::Advance(time) => self.advance(time),
            Step::Drain(worker) => self.set_state(worker, WorkerState::Draining),
            Step::Remove(worker) => self.set_state(worker, WorkerState::Left),
            Step::Activate(worker) => self.set_state(worker, WorkerState::Active),
            Step::Restart(worker) => self.restart(worker),
            Step::FullMembership => {
                let active = |e: &&Entry| e.state == WorkerState::Active;
                let entries: Vec<_> = self
                    .entries_by_worker
                    .values()
                    .filter(active)
                    .cloned()
                    .collect();
                self.harness.update_membership(Scope::Full, &entries);
                self.check();
            }
            Step::Stall(time) => {
                self.stalls
                    .push((self.harness.now, self.harness.now + time));
                self.harness.now += time;
                self.advance(0);
            }
            Step::Crash => self.crash(),
            Step::Probe(worker) => {
                self.idle.insert(worker);
                self.harness.handle(Event::Probed {
                    worker,
                    status: Status::Ok,
                    load: None,
                });
                self.check();
            }
            Step::MembershipFails => {
                self.harness.update_membership(Scope::Failed, &[]);
                self.check();
            }
            Step::ClientDisconnects(n) => self.close_request(n),
        }
    }

    fn set_state(&mut self, worker: WorkerId, state: WorkerState) {
        self.update_entry(Entry {
            state,
            ..self.entries_by_worker[&worker].clone()
        });
    }

    fn restart(&mut self, worker: WorkerId) {
        let ready_at = self.harness.now;
        self.warm_up_sends.remove(&worker);
        self.update_entry(Entry {
            state: WorkerState::Active,
            ready_at,
            ..self.entries_by_worker[&worker].clone()
        });
    }

    fn submit(&mut self, class: u32, left: Time, slots: f64) {
        let id = self.next_id;
        self.next_id += 1;
        self.accepted_at.push(self.harness.now);
        self.requests.insert(
            id,
            TrackedRequest {
                class,
                deadline: self.harness.now + left,
                attempts: Vec::new(),
                closed: false,
                final_answers: 0,
            },
        );
        self.harness.handle(Event::Request(Request {
            left,
            slots,
            estimate: Some(300 * MS),
            ..request(id, class)
        }));
        self.check();
    }

    /// Replaces the dispatcher by a new one with the last membership list; all its requests are dropped.
    fn crash(&mut self) {
        let workers: Vec<_> = self.entries_by_worker.values().cloned().collect();
        let now = self.harness.now;
        self.harness = Harness::starting_at(self.settings.clone(), &workers, now);
        self.requests.clear();
        self.accepted_at.clear();
        self.retries.clear();
        self.idle.clear();
        self.check();
    }

    /// The client of the n-th open request disconnects; does nothing if no request is open.
    fn close_request(&mut self, n: usize) {
        let open = self.requests.iter().filter(|(_, tracked)| !tracked.closed);
        let ids: Vec<_> = open.map(|(id, _)| *id).collect();
        if ids.is_empty() {
            return;
        }
        let id = ids[n % ids.len()];
        let tracked = self.requests.get_mut(&id).expect("the request is known");
        (tracked.closed, tracked.final_answers) = (true, 1);
        self.harness.handle(Event::RequestClosed(id));
        self.check();
    }

    /// Lets all deadlines pass and checks that each request has exactly one final answer.
    pub(crate) fn finish(&mut self) {
        self.advance(20 * SEC);
        for (id, r) in &self.requests {
            assert_eq!(
                r.final_answers, 1,
                "request {id} got {} final answers",
                r.final_answers
            );
        }
    }
}

fn never_ran(status: Option<Status>, full_may_have_run: bool) -> bool {
    matches!(status, Some(Status::ConnectFailed | Status::Moot))
        || (status == Some(Status::Full) && !full_may_have_run)
}
