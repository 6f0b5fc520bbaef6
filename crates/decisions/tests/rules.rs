//! The four rules as properties: random legal events, and a checker that shares no code with the decision module.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Submit {
        class: u32,
        left: Time,
        slots: f64,
    },
    /// Start, or end with a status, the n-th attempt in flight.
    Start(usize),
    End(usize, Status),
    Pass(Time),
    /// Change the list entry of a worker.
    Drain(u32),
    Restart(u32),
    Drop(u32),
    Return(u32),
    FullMembership,
    MembershipFails,
    ClientLeaves(usize),
    /// The dispatcher stands still: what comes due meanwhile is handed over late, all at once.
    Stall(Time),
    Crash,
    Probe(u32),
}

fn step() -> impl Strategy<Value = Step> {
    use Status::*;
    let left = prop_oneof![Just(0), 1..60 * MS, 60 * MS..8 * SEC];
    let status = prop_oneof![
        8 => Just(Ok), 3 => Just(Error), 1 => Just(Moot), 1 => Just(Full), 1 => Just(ConnectFailed), 1 => Just(Reset), 1 => Just(Cancelled),
    ];
    prop_oneof![
        10 => (0u32..5, left, 0.5..2.0).prop_map(|(class, left, slots)| Step::Submit { class, left, slots }),
        6 => (0usize..50).prop_map(Step::Start),
        8 => ((0usize..50), status).prop_map(|(n, s)| Step::End(n, s)),
        8 => prop_oneof![1..50 * MS, 50 * MS..2 * SEC].prop_map(Step::Pass),
        1 => (0u32..6).prop_map(Step::Drain),
        1 => (0u32..6).prop_map(Step::Restart),
        1 => (0u32..6).prop_map(Step::Drop),
        2 => (0u32..6).prop_map(Step::Return),
        1 => Just(Step::FullMembership),
        1 => Just(Step::MembershipFails),
        1 => (0usize..50).prop_map(Step::ClientLeaves),
        1 => (MS..400 * MS).prop_map(Step::Stall),
        1 => Just(Step::Crash),
        1 => (0u32..6).prop_map(Step::Probe),
    ]
}

struct TrackedAttempt {
    worker: WorkerId,
    sent: Time,
    status: Option<Status>,
}

struct TrackedRequest {
    class: u32,
    deadline: Time,
    attempts: Vec<TrackedAttempt>,
    /// The client has its answer, or has left.
    closed: bool,
    final_answers: u32,
}

/// Knows only the events and actions of both sides, and checks each action against the rules.
struct Checker {
    settings: Settings,
    stage: Harness,
    entries_by_worker: BTreeMap<WorkerId, Entry>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    warm_up_sends: BTreeMap<WorkerId, Vec<Time>>,
    next: RequestId,
    /// Since the start of the instance: requests taken, and attempts beyond a first with how they ended.
    accepted_at: Vec<Time>,
    retries: Vec<(Time, RequestId, usize)>,
    /// Workers where a connection may have gone idle since it was last closed, and which drain.
    idle: BTreeSet<WorkerId>,
    stalls: Vec<(Time, Time)>,
}

impl Checker {
    fn new(settings: Settings) -> Self {
        let workers: Vec<_> = (0..6)
            .map(|i| Entry {
                zone: i % 2,
                ..entry(i, i % 3)
            })
            .collect();
        Checker {
            stage: Harness::new(settings.clone(), &workers),
            settings,
            entries_by_worker: workers.into_iter().map(|w| (w.worker, w)).collect(),
            requests: BTreeMap::new(),
            warm_up_sends: BTreeMap::new(),
            next: 1,
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

    fn check(&mut self) {
        let now = self.stage.now;
        for action in self.stage.actions.clone() {
            match action {
                Action::Send {
                    request, worker, ..
                } => self.check_send(now, request, worker),
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    let r = self
                        .requests
                        .get_mut(&request)
                        .expect("an answer names a known request");
                    assert!(!r.closed, "a second final answer");
                    // One that stood still then can answer no sooner than it is back.
                    let due = r.deadline + self.settings.rules.answer_slack;
                    let back = self
                        .stalls
                        .iter()
                        .find(|s| s.0 <= due && due < s.1)
                        .map_or(0, |s| s.1);
                    assert!(now <= due.max(back), "answered too late");
                    (r.closed, r.final_answers) = (true, r.final_answers + 1);
                    let r = &self.requests[&request];
                    let full_ran = self.settings.rules.full_may_have_run;
                    let ran = r.attempts.iter().any(|a| !never_ran(a.status, full_ran));
                    let all = matches!(
                        self.effect(r.class),
                        Effect::Keyed {
                            group: Group::All,
                            ..
                        }
                    );
                    if matches!(action, Action::Refuse { .. }) && ran {
                        assert!(
                            self.effect(r.class) == Effect::Safe || all,
                            "a refusal that may be untrue"
                        );
                    }
                }
                Action::Cancel { request, attempt } => {
                    assert!(self.settings.limits.cancel);
                    assert!((attempt as usize) < self.requests[&request].attempts.len());
                }
                Action::Disconnect { worker } => {
                    assert!(
                        self.settings.rules.let_go_in.is_none()
                            || self.entries_by_worker.contains_key(&worker)
                    );
                    self.idle.remove(&worker);
                }
                Action::Probe { .. } => assert!(self.settings.limits.probes),
                Action::UpdatePeers { in_flight } => {
                    assert!(self.settings.limits.peers && in_flight.len() <= 51)
                }
                _ => {}
            }
        }
        if self.settings.rules.let_go_in.is_some() {
            // Nothing else has to come first: what can be closed is closed in the same breath.
            let left = self
                .idle
                .iter()
                .find(|w| self.entries_by_worker[w].state != WorkerState::Active);
            assert_eq!(
                left, None,
                "an idle connection to a draining worker stays open"
            );
        }
    }

    fn check_send(&mut self, now: Time, request: RequestId, worker: WorkerId) {
        let rules = self.settings.rules.clone();
        let w = self
            .entries_by_worker
            .get(&worker)
            .expect("a send to a worker that the membership list never named");
        assert_eq!(
            w.state,
            WorkerState::Active,
            "a send to a worker that drains or has left"
        );
        let r = &self.requests[&request];
        assert!(
            !r.closed && now < r.deadline,
            "a send for a request that is closed"
        );
        assert!(
            r.attempts.len() < self.settings.limits.attempts as usize,
            "over the cap"
        );
        if !self.settings.limits.duplicates {
            assert!(
                r.attempts.iter().all(|a| a.status.is_some()),
                "two attempts in flight at once"
            );
        }
        if !r.attempts.is_empty()
            && let Some(budget) = rules.resends
        {
            let since = |t: &Time| budget.window.is_none_or(|w| *t + w >= now);
            let accepted = self
                .accepted_at
                .iter()
                .filter(|t| budget.window.is_some_and(|w| **t + w > now))
                .count();
            let moot = |(_, id, n): &&(Time, RequestId, usize)| {
                self.requests
                    .get(id)
                    .is_some_and(|r| r.attempts[*n].status == Some(Status::Moot))
            };
            let retries = self
                .retries
                .iter()
                .filter(|a| since(&a.0) && !moot(a))
                .count()
                + 1;
            assert!(
                retries as f64 <= budget.free + budget.ratio * accepted as f64 + 1e-9,
                "{retries} of {accepted}"
            );
            self.retries.push((now, request, r.attempts.len()));
        }
        let full_ran = rules.full_may_have_run;
        if let Some(first) = r.attempts.iter().find(|a| !never_ran(a.status, full_ran)) {
            let of = &self.entries_by_worker[&first.worker];
            match self.effect(r.class) {
                Effect::Safe => {}
                Effect::Unsafe => panic!("an unsafe request sent twice"),
                Effect::Keyed { group, ttl } => {
                    assert!(now < first.sent + ttl, "a repeat past the window");
                    assert!(
                        group != Group::Cell || of.cell == w.cell,
                        "a repeat in another cell"
                    );
                    assert!(
                        group != Group::Zone || of.zone == w.zone,
                        "a repeat in another zone"
                    );
                }
            }
        }
        if w.ready_at > 0 && now < w.ready_at + rules.warm_after {
            // Every job here is one unit of 300 ms at speed 1 and no worker ever shows more than 8 slots.
            let warmth = rules.initial_capacity
                + (1.0 - rules.initial_capacity) * (now - w.ready_at) as f64
                    / rules.warm_after as f64;
            let sends = self.warm_up_sends.entry(worker).or_default();
            sends.push(now);
            let recent = sends
                .iter()
                .filter(|t| **t + rules.tip_window > now)
                .count() as f64;
            let n = self.settings.dispatchers.max(1) as f64;
            let budget = rules.tip_multiple * warmth * 8.0 * rules.tip_window as f64 / n;
            // Runs here may turn out far shorter, and the module learns that: among few dispatchers the 8 slots
            // leave room for it. Small parts are checked in `warm_up_budget_goes_to_few_dispatchers_and_accumulates`.
            assert!(
                n > 5.0 || recent * 300_000.0 <= budget,
                "{recent} sends to a worker in warm-up"
            );
        }
        let r = self.requests.get_mut(&request).expect("known");
        r.attempts.push(TrackedAttempt {
            worker,
            sent: now,
            status: None,
        });
    }

    /// The n-th attempt in flight, modulo their number.
    fn nth_in_flight(&self, n: usize) -> Option<(RequestId, u32)> {
        let out = |(id, r): (&RequestId, &TrackedRequest)| -> Vec<(RequestId, u32)> {
            let open = r
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.status.is_none());
            open.map(|(i, _)| (*id, i as u32)).collect()
        };
        let all: Vec<_> = self.requests.iter().flat_map(out).collect();
        if all.is_empty() {
            None
        } else {
            Some(all[n % all.len()])
        }
    }

    fn end(&mut self, id: RequestId, attempt: u32, status: Status) {
        let r = self.requests.get_mut(&id).expect("known");
        r.attempts[attempt as usize].status = Some(status);
        if status == Status::Ok && !r.closed {
            (r.closed, r.final_answers) = (true, r.final_answers + 1);
        }
        let closed = r.closed;
        self.idle.insert(r.attempts[attempt as usize].worker);
        self.stage.handle(Event::Outcome {
            request: id,
            attempt,
            status,
            closed,
            load: None,
        });
        self.check();
    }

    /// Time passes; timers and the time-outs at the deadlines come due in order.
    fn advance(&mut self, time: Time) {
        let end = self.stage.now + time;
        loop {
            let due = |r: &TrackedRequest| r.deadline.max(1);
            let out = |r: &TrackedRequest| r.attempts.iter().any(|a| a.status.is_none());
            let next = self
                .requests
                .iter()
                .filter(|(_, r)| out(r))
                .map(|(id, r)| (due(r), *id))
                .min();
            let timer = self.stage.timer.filter(|t| t.0 <= end);
            match (next.filter(|n| n.0 <= end), timer) {
                (Some((at, id)), timer) if timer.is_none_or(|t| at <= t.0) => {
                    self.stage.now = self.stage.now.max(at);
                    let r = &self.requests[&id];
                    let n = r
                        .attempts
                        .iter()
                        .position(|a| a.status.is_none())
                        .expect("one is in flight");
                    self.end(id, n as u32, Status::Timeout);
                }
                (_, Some((at, name))) => {
                    self.stage.now = self.stage.now.max(at);
                    self.stage.timer = None;
                    self.stage.handle(Event::Timer(name));
                    self.check();
                }
                _ => break,
            }
        }
        self.stage.now = end;
    }

    fn update_entry(&mut self, change: Entry) {
        self.entries_by_worker.insert(change.worker, change.clone());
        self.stage.update_membership(Scope::Delta, &[change]);
        self.check();
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Submit { class, left, slots } => {
                let id = self.next;
                self.next += 1;
                let (deadline, attempts) = (self.stage.now + left, Vec::new());
                self.accepted_at.push(self.stage.now);
                self.requests.insert(
                    id,
                    TrackedRequest {
                        class,
                        deadline,
                        attempts,
                        closed: false,
                        final_answers: 0,
                    },
                );
                let estimate = Some(300 * MS);
                let r = Request {
                    left,
                    slots,
                    estimate,
                    ..request(id, class)
                };
                self.stage.handle(Event::Request(r));
                self.check();
            }
            Step::Start(n) => {
                if let Some((request, attempt)) = self.nth_in_flight(n) {
                    self.stage.handle(Event::Started { request, attempt });
                    self.check();
                }
            }
            Step::End(n, status) => {
                if let Some((id, attempt)) = self.nth_in_flight(n) {
                    self.end(id, attempt, status);
                }
            }
            Step::Pass(time) => self.advance(time),
            Step::Drain(w) => self.update_entry(Entry {
                state: WorkerState::Draining,
                ..self.entries_by_worker[&w].clone()
            }),
            Step::Drop(w) => self.update_entry(Entry {
                state: WorkerState::Left,
                ..self.entries_by_worker[&w].clone()
            }),
            Step::Return(w) => self.update_entry(Entry {
                state: WorkerState::Active,
                ..self.entries_by_worker[&w].clone()
            }),
            Step::Restart(w) => {
                let ready_at = self.stage.now;
                self.warm_up_sends.remove(&w);
                self.update_entry(Entry {
                    state: WorkerState::Active,
                    ready_at,
                    ..self.entries_by_worker[&w].clone()
                });
            }
            Step::FullMembership => {
                let active = |e: &&Entry| e.state == WorkerState::Active;
                let entries: Vec<_> = self
                    .entries_by_worker
                    .values()
                    .filter(active)
                    .cloned()
                    .collect();
                self.stage.update_membership(Scope::Full, &entries);
                self.check();
            }
            Step::Stall(time) => {
                self.stalls.push((self.stage.now, self.stage.now + time));
                self.stage.now += time;
                self.advance(0);
            }
            Step::Crash => {
                // Its requests are void; it starts anew with the list as it last held it.
                let workers: Vec<_> = self.entries_by_worker.values().cloned().collect();
                let now = self.stage.now;
                self.stage = Harness::starting_at(self.settings.clone(), &workers, now);
                (self.requests, self.accepted_at, self.retries) = Default::default();
                self.idle.clear();
                self.check();
            }
            Step::Probe(worker) => {
                self.idle.insert(worker);
                self.stage.handle(Event::Probed {
                    worker,
                    status: Status::Ok,
                    load: None,
                });
                self.check();
            }
            Step::MembershipFails => {
                self.stage.update_membership(Scope::Failed, &[]);
                self.check();
            }
            Step::ClientLeaves(n) => {
                let ids: Vec<_> = self
                    .requests
                    .iter()
                    .filter(|(_, r)| !r.closed)
                    .map(|(id, _)| *id)
                    .collect();
                if !ids.is_empty() {
                    let id = ids[n % ids.len()];
                    let r = self.requests.get_mut(&id).expect("known");
                    (r.closed, r.final_answers) = (true, 1);
                    self.stage.handle(Event::RequestClosed(id));
                    self.check();
                }
            }
        }
    }

    fn finish(&mut self) {
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

fn any_optional_rules() -> impl Strategy<Value = (Option<ResendBudget>, Option<Time>, bool)> {
    let window = prop_oneof![Just(None), (SEC..10 * SEC).prop_map(Some)];
    let budget = (0.0..4.0, 0.0..0.5, window);
    let budget = budget.prop_map(|(free, ratio, window)| ResendBudget {
        free,
        ratio,
        window,
    });
    (
        prop::option::of(budget),
        prop::option::of(0..SEC),
        any::<bool>(),
    )
}

fn any_settings() -> impl Strategy<Value = Settings> {
    (
        0u32..6,
        any::<bool>(),
        any::<bool>(),
        0u32..5,
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(
            |(dispatchers, duplicates, cancel, attempts, pushed, priced)| {
                let mut s = settings();
                // None at all, few, or more than workers, with and without reports, messages and shares.
                s.dispatchers = if dispatchers == 5 { 60 } else { dispatchers };
                s.me = dispatchers;
                s.reports = if pushed {
                    Reports::OnProbe
                } else {
                    Reports::WithResults
                };
                s.limits.peers = priced;
                s.tenants = vec![
                    Tenant {
                        quota_per_s: 0.0,
                        fraction: 0.0
                    };
                    usize::from(priced)
                ];
                s.membership_pushed = pushed;
                s.charges.cross_zone = if priced { 0.1 } else { 0.0 };
                s.classes[0].late_value = if priced { 0.0 } else { 0.3 };
                (s.limits.duplicates, s.limits.cancel, s.limits.attempts) =
                    (duplicates, cancel, attempts);
                s
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_for_random_event_sequences(settings in any_settings(), optional_rules in any_optional_rules(), steps in prop::collection::vec(step(), 1..200)) {
        let mut settings = settings;
        (settings.rules.resends, settings.rules.let_go_in, settings.rules.full_may_have_run) = optional_rules;
        let mut checker = Checker::new(settings);
        checker.check();
        for step in steps {
            checker.run(step);
        }
        checker.finish();
    }
}
