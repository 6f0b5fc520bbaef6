//! Test support for the decision module: typical settings, requests and membership entries, and a [`Harness`] that
//! passes events to one [`Dispatcher`] and records the resulting actions. No worker is simulated: each test reports
//! starts and ends of attempts itself.
//!
//! Times and durations are whole microseconds, as in [`indigofold_decisions::api`].

#![warn(missing_docs)]

use indigofold_decisions::api::{
    Action, AttemptNo, Charges, Class, ClassId, DeduplicationScope, Effect, Entry, Event, KindId,
    Limits, Load, Reports, Request, RequestId, Rules, Scope, Settings, Status, Time, WorkerId,
    WorkerState,
};
use indigofold_decisions::dispatcher::Dispatcher;

/// One millisecond in microseconds.
pub const MS: Time = 1_000;
/// One second in microseconds.
pub const SEC: Time = 1_000_000;

/// Seed of the dispatcher's random generator.
const SEED: u64 = 7;
/// Time at which the clock of a [`Harness`] starts, in microseconds.
const START: Time = 100 * SEC;

/// A class that any kind of worker can run, with a latency target of 0.4 s and a deadline of 6 s.
pub fn class(effect: Effect) -> Class {
    Class {
        kind: None,
        latency_target: 400 * MS,
        stretch: 2.5,
        deadline: 6 * SEC,
        effect,
        value: 1.0,
        late_value: 0.3,
        priority: 0,
    }
}

/// Settings of the first of two dispatchers. Class 0 is safe, class 1 keyed within a cell, class 2 unsafe and class 3
/// keyed over all workers.
pub fn settings() -> Settings {
    let keyed = |group| Effect::Keyed {
        group,
        ttl: 3 * SEC,
    };
    Settings {
        dispatchers: 2,
        dispatcher_index: 0,
        zone: 0,
        granularity: 5 * MS,
        classes: vec![
            class(Effect::Safe),
            class(keyed(DeduplicationScope::Cell)),
            class(Effect::Unsafe),
            class(keyed(DeduplicationScope::All)),
        ],
        tenants: vec![],
        membership_pushed: true,
        reports_start: true,
        progress: 0,
        reports: Reports::Off,
        value_by_work: false,
        over_quota_value: 0.2,
        limits: limits(),
        charges: Charges::default(),
        rules: rules(),
    }
}

fn limits() -> Limits {
    Limits {
        attempts: 4,
        open: None,
        cancel: true,
        duplicates: true,
        probes: true,
        peers: false,
        retry_after: true,
        max_retry_after: 2 * SEC,
        dial_timeout: 250 * MS,
    }
}

fn rules() -> Rules {
    Rules {
        answer_slack: 20 * MS,
        membership_refresh_within: 10 * SEC,
        initial_capacity: 0.3,
        warm_after: 8 * SEC,
        drain_grace: 500 * MS,
        warm_up_overload_multiple: 3.0,
        warm_up_overload_window: SEC,
        retry_budget: None,
        close_idle_within: None,
        full_may_have_run: false,
    }
}

/// Membership entry of an active worker in zone 0 that started long ago. Even ids are in cell 0, odd ones in cell 1.
pub fn entry(worker: WorkerId, kind: KindId) -> Entry {
    Entry {
        worker,
        zone: 0,
        kind,
        cell: worker % 2,
        state: WorkerState::Active,
        power: 1.0,
        ready_at: 0,
    }
}

/// A request for one slot, of an unknown tenant, whose client waits for 6 s.
pub fn request(id: RequestId, class: ClassId) -> Request {
    Request {
        id,
        class,
        tenant: u32::MAX,
        left: 6 * SEC,
        estimate: None,
        slots: 1.0,
        memory: 0.0,
        subject: None,
    }
}

/// A load report with these numbers of occupied and free slots.
pub fn load(occupied: f64, free: f64) -> Load {
    Load {
        inflight: Some(occupied),
        free_slots: Some(free),
        ..Load::default()
    }
}

/// A dispatcher with a simulated clock, the actions of its last event and its pending timer.
pub struct Harness {
    /// The dispatcher under test.
    pub dispatcher: Dispatcher,
    /// Current time of the simulated clock.
    pub now: Time,
    /// Actions of the last event, or of the last [`Harness::advance`].
    pub actions: Vec<Action>,
    /// Due time and name of the timer that was set last; `None` once it has fired.
    pub timer: Option<(Time, u64)>,
    last_request: RequestId,
}

impl Harness {
    /// Creates a dispatcher and passes it a cached membership list of these workers.
    pub fn new(settings: Settings, workers: &[Entry]) -> Self {
        Self::starting_at(settings, workers, START)
    }

    /// Like [`Harness::new`], with the clock starting at `now`.
    pub fn starting_at(settings: Settings, workers: &[Entry], now: Time) -> Self {
        let mut harness = Harness {
            dispatcher: Dispatcher::new(settings, SEED, now),
            now,
            actions: Vec::new(),
            timer: None,
            last_request: 0,
        };
        harness.update_membership(Scope::Cached, workers);
        harness
    }

    /// Creates the dispatcher of a process that takes over now, with these settings and workers and no other state.
    pub fn successor(&self, settings: Settings, workers: &[Entry]) -> Self {
        Self::starting_at(settings, workers, self.now)
    }

    /// Passes an event to the dispatcher; returns the actions that it causes.
    pub fn handle(&mut self, event: Event) -> &[Action] {
        self.actions.clear();
        self.dispatcher.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            if let Action::Timer { at, name } = action {
                self.timer = Some((*at, *name));
            }
        }
        &self.actions
    }

    /// Passes a membership list, or a part of it, to the dispatcher.
    pub fn update_membership(&mut self, scope: Scope, workers: &[Entry]) {
        self.handle(Event::Membership {
            scope,
            entries: workers.to_vec(),
        });
    }

    /// Submits a request with the next id; returns the id and the worker that it is sent to immediately, if any.
    pub fn submit(&mut self, class: ClassId) -> (RequestId, Option<WorkerId>) {
        self.last_request += 1;
        let id = self.last_request;
        self.handle(Event::Request(request(id, class)));
        (id, self.sent_to(id))
    }

    /// The worker that the last actions send this request to; `None` if they do not send it.
    pub fn sent_to(&self, id: RequestId) -> Option<WorkerId> {
        self.actions.iter().find_map(|action| match action {
            Action::Send {
                request, worker, ..
            } if *request == id => Some(*worker),
            _ => None,
        })
    }

    /// Whether the last actions reject this request.
    pub fn is_refused(&self, id: RequestId) -> bool {
        self.actions
            .iter()
            .any(|action| matches!(action, Action::Reject { request, .. } if *request == id))
    }

    /// Whether the last actions answer this request with a failure.
    pub fn is_failed(&self, id: RequestId) -> bool {
        self.actions
            .iter()
            .any(|action| matches!(action, Action::Fail { request } if *request == id))
    }

    /// Reports the start of an attempt.
    pub fn start(&mut self, id: RequestId, attempt: AttemptNo) {
        self.handle(Event::Started {
            request: id,
            attempt,
        });
    }

    /// Reports the end of an attempt without a load report.
    pub fn end(&mut self, id: RequestId, attempt: AttemptNo, status: Status) {
        self.end_with_load(id, attempt, status, None);
    }

    /// Reports the end of an attempt with an optional load report. The request is closed if the status is
    /// [`Status::Ok`].
    pub fn end_with_load(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        status: Status,
        load: Option<Load>,
    ) {
        let closed = status == Status::Ok;
        self.handle(Event::Outcome {
            request: id,
            attempt,
            status,
            closed,
            load,
        });
    }

    /// Reports a successful probe with this load.
    pub fn probed(&mut self, worker: WorkerId, load: Load) {
        self.handle(Event::Probed {
            worker,
            status: Status::Ok,
            load: Some(load),
        });
    }

    /// Advances the clock by this time and fires the timers that become due; returns all resulting actions.
    pub fn advance(&mut self, time: Time) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while let Some((at, name)) = self.timer.filter(|(at, _)| *at <= end) {
            self.now = self.now.max(at);
            self.timer = None;
            self.handle(Event::Timer(name));
            all.extend(self.actions.iter().cloned());
        }
        self.now = end;
        self.actions = all.clone();
        all
    }

    /// Serves one request from arrival to answer: it starts after 1 ms and runs for the time that `run` gives for its
    /// worker. Returns the worker; `None` if the request is not sent immediately.
    pub fn serve(&mut self, class: ClassId, run: impl Fn(WorkerId) -> Time) -> Option<WorkerId> {
        let (id, worker) = self.submit(class);
        let worker = worker?;
        self.advance(MS);
        self.start(id, 0);
        self.advance(run(worker));
        self.end(id, 0, Status::Ok);
        Some(worker)
    }
}
