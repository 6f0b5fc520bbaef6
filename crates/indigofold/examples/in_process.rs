//! One dispatcher and two workers in one process: a request is accepted, sent, started and answered; a second one fails and
//! is retried on the other worker. Run with `cargo run --example in_process`.

use indigofold::api::{
    Action, Charges, Class, Effect, Entry, Event, Limits, Reports, Request, RequestId, Rules,
    Scope, Settings, Status, Time, WorkerId, WorkerState,
};
use indigofold::dispatcher::Dispatcher;

/// Settings of a site with one safe class, a pushed membership, and workers that report when a job starts.
#[allow(
    clippy::too_many_lines,
    reason = "an example that is read from top to bottom"
)]
fn settings() -> Settings {
    let class = Class {
        kind: None,
        latency_target: 400_000,
        stretch: 2.0,
        deadline: 5_000_000,
        effect: Effect::Safe,
        value: 1.0,
        late_value: 0.2,
        priority: 0,
    };
    Settings {
        dispatchers: 1,
        dispatcher_index: 0,
        zone: 0,
        granularity: 5_000,
        classes: vec![class],
        tenants: vec![],
        membership_pushed: true,
        reports_start: true,
        progress: 0,
        reports: Reports::Off,
        value_by_work: false,
        over_quota_value: 0.2,
        limits: Limits {
            open: None,
            attempts: 3,
            cancel: true,
            duplicates: false,
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after: 1_000_000,
            dial_timeout: 250_000,
        },
        charges: Charges::default(),
        rules: Rules {
            answer_slack: 20_000,
            membership_refresh_within: 10_000_000,
            initial_capacity: 0.3,
            warm_after: 8_000_000,
            drain_grace: 500_000,
            warm_up_overload_multiple: 3.0,
            warm_up_overload_window: 1_000_000,
            ..Rules::default()
        },
    }
}

/// The dispatcher's host: the clock, the one active timer, and the attempts sent so far.
struct Host {
    dispatcher: Dispatcher,
    now: Time,
    timer: Option<(Time, u64)>,
    sent: Vec<(RequestId, WorkerId)>,
}

impl Host {
    /// Passes one event to the dispatcher and executes the resulting actions in order.
    fn handle_event(&mut self, event: Event) {
        println!("{:>8} us  event   {event:?}", self.now);
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { at, name } => self.timer = Some((at, name)),
                Action::Send {
                    request, worker, ..
                } => {
                    println!("{:>8} us  action  {action:?}", self.now);
                    self.sent.push((request, worker));
                }
                other => println!("{:>8} us  action  {other:?}", self.now),
            }
        }
    }

    /// Advances the clock by a duration; passes each expired timer to the dispatcher.
    fn advance(&mut self, time: Time) {
        let end = self.now + time;
        while let Some((at, name)) = self.timer.filter(|t| t.0 <= end) {
            (self.now, self.timer) = (self.now.max(at), None);
            self.handle_event(Event::Timer(name));
        }
        self.now = end;
    }
}

/// Runs the example and returns the request and worker of each attempt, in the order in which they were sent.
#[allow(
    clippy::too_many_lines,
    reason = "an example that is read from top to bottom"
)]
pub(crate) fn run() -> Vec<(RequestId, WorkerId)> {
    let mut host = Host {
        dispatcher: Dispatcher::new(settings(), 42, 0),
        now: 0,
        timer: None,
        sent: Vec::new(),
    };
    let worker = |worker| Entry {
        worker,
        zone: 0,
        kind: 0,
        cell: 0,
        state: WorkerState::Active,
        power: 1.0,
        ready_at: 0,
    };
    host.handle_event(Event::Membership {
        scope: Scope::Full,
        entries: vec![worker(1), worker(2)],
    });
    let request = |id| Request {
        id,
        class: 0,
        tenant: 0,
        left: 5_000_000,
        estimate: None,
        slots: 1.0,
        memory: 0.0,
        subject: None,
    };
    let outcome = |request, attempt, status| {
        let closed = status == Status::Ok;
        Event::Outcome {
            request,
            attempt,
            status,
            closed,
            load: None,
        }
    };
    host.handle_event(Event::Request(request(1)));
    host.advance(2_000);
    host.handle_event(Event::Started {
        request: 1,
        attempt: 0,
    });
    host.advance(60_000);
    host.handle_event(outcome(1, 0, Status::Ok));
    // The second request fails at once. Its class is safe to repeat, so it is retried on the other worker.
    host.handle_event(Event::Request(request(2)));
    host.advance(1_000);
    host.handle_event(outcome(2, 0, Status::Error));
    host.advance(60_000);
    host.handle_event(outcome(2, 1, Status::Ok));
    host.sent
}

/// Runs the example, which prints all events and actions.
pub(crate) fn main() {
    run();
}
