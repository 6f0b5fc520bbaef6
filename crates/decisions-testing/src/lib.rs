//! Settings and a small stage for module tests: no simulation, only the bookkeeping of what was said.

use indigofold_decisions::api::*;
use indigofold_decisions::dispatcher::Dispatcher;

pub const MS: Time = 1_000;
pub const SEC: Time = 1_000_000;

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

/// Class 0 is safe, 1 keyed by cell, 2 unsafe, 3 keyed over all workers.
pub fn settings() -> Settings {
    let keyed = |group| Effect::Keyed {
        group,
        ttl: 3 * SEC,
    };
    Settings {
        dispatchers: 2,
        me: 0,
        zone: 0,
        granularity: 5 * MS,
        classes: vec![
            class(Effect::Safe),
            class(keyed(Group::Cell)),
            class(Effect::Unsafe),
            class(keyed(Group::All)),
        ],
        tenants: vec![],
        membership_pushed: true,
        reports_start: true,
        progress: 0,
        reports: Reports::Off,
        value_by_work: false,
        over_quota_value: 0.2,
        limits: Limits {
            attempts: 4,
            open: None,
            cancel: true,
            duplicates: true,
            probes: true,
            peers: false,
            retry_after: true,
            max_retry_after: 2 * SEC,
            dial_timeout: 250 * MS,
        },
        charges: Charges::default(),
        rules: Rules {
            answer_slack: 20 * MS,
            list_refresh_within: 10 * SEC,
            initial_capacity: 0.3,
            warm_after: 8 * SEC,
            drain_grace: 500 * MS,
            tip_multiple: 3.0,
            tip_window: SEC,
            resends: None,
            let_go_in: None,
            full_may_have_run: false,
        },
    }
}

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

/// A dispatcher, its clock, the actions of the last event and the timer that it waits for.
pub struct Stage {
    pub d: Dispatcher,
    pub now: Time,
    pub out: Vec<Action>,
    pub timer: Option<(Time, u64)>,
    next: RequestId,
}

impl Stage {
    pub fn new(settings: Settings, workers: &[Entry]) -> Self {
        Self::started(settings, workers, 100 * SEC)
    }

    pub fn started(settings: Settings, workers: &[Entry], now: Time) -> Self {
        let d = Dispatcher::new(settings, 7, now);
        let mut stage = Stage {
            d,
            now,
            out: Vec::new(),
            timer: None,
            next: 0,
        };
        stage.list(Scope::Cached, workers);
        stage
    }

    pub fn event(&mut self, event: Event) -> &[Action] {
        self.out.clear();
        self.d.handle(self.now, event, &mut self.out);
        for a in &self.out {
            if let Action::Timer { at, name } = a {
                self.timer = Some((*at, *name));
            }
        }
        &self.out
    }

    pub fn list(&mut self, scope: Scope, workers: &[Entry]) {
        self.event(Event::List {
            scope,
            entries: workers.to_vec(),
        });
    }

    /// Hands over a request; returns the worker it was sent to at once.
    pub fn ask(&mut self, class: ClassId) -> (RequestId, Option<WorkerId>) {
        self.next += 1;
        let id = self.next;
        self.event(Event::Request(request(id, class)));
        (id, self.sent(id))
    }

    pub fn sent(&self, id: RequestId) -> Option<WorkerId> {
        self.out.iter().find_map(|a| match a {
            Action::Send {
                request, worker, ..
            } if *request == id => Some(*worker),
            _ => None,
        })
    }

    pub fn refused(&self, id: RequestId) -> bool {
        self.out
            .iter()
            .any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
    }

    pub fn failed(&self, id: RequestId) -> bool {
        self.out
            .iter()
            .any(|a| matches!(a, Action::Fail { request } if *request == id))
    }

    pub fn start(&mut self, id: RequestId, attempt: AttemptNo) {
        self.event(Event::Started {
            request: id,
            attempt,
        });
    }

    pub fn end(&mut self, id: RequestId, attempt: AttemptNo, status: Status) {
        self.report(id, attempt, status, None);
    }

    pub fn report(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        status: Status,
        load: Option<Load>,
    ) {
        let closed = status == Status::Ok;
        self.event(Event::Outcome {
            request: id,
            attempt,
            status,
            closed,
            load,
        });
    }

    /// Lets time pass and gives the timer its turns; returns all actions of that time.
    pub fn pass(&mut self, time: Time) -> Vec<Action> {
        let (end, mut all) = (self.now + time, Vec::new());
        while let Some((at, name)) = self.timer.filter(|t| t.0 <= end) {
            self.now = self.now.max(at);
            self.timer = None;
            self.event(Event::Timer(name));
            all.extend(self.out.iter().cloned());
        }
        self.now = end;
        self.out = all.clone();
        all
    }

    /// One request from arrival to answer: it starts after 1 ms and runs for `run`. Returns its worker.
    pub fn serve(&mut self, class: ClassId, run: impl Fn(WorkerId) -> Time) -> Option<WorkerId> {
        let (id, worker) = self.ask(class);
        let worker = worker?;
        self.pass(MS);
        self.start(id, 0);
        self.pass(run(worker));
        self.end(id, 0, Status::Ok);
        Some(worker)
    }
}
