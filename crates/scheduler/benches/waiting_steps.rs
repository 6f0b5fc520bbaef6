//! Cost of a tick with a pass over the queue, while many steps wait that no worker can take:
//! `cargo bench -p indigofold-scheduler`.

use divan::{Bencher, black_box};
use indigofold_protocol::config::{Config, Route, Service};
use indigofold_protocol::internal::{AgentReport, ClientCall, ClientOperation, InstanceReport};
use indigofold_protocol::job::{JobSpec, Resources, Step};
use indigofold_protocol::task::JobId;
use indigofold_protocol::worker::WorkerState;
use indigofold_scheduler::{AgentId, Bounds, CallerId, Effect, Epoch, Event, Scheduler};
use std::sync::Arc;

const WALL_MS: u64 = 1_700_000_000_000;
const START_MS: u64 = 1_000;
/// Number of idle workers.
const WORKERS: u64 = 12;
/// Number of steps of each job; all of them are ready at once.
const STEPS_PER_JOB: u64 = 4;
/// Time between two reports, in which a tick and a pass become due. Each worker reports often enough to count as responsive.
const REPORT_INTERVAL_MS: u64 = 100;

fn main() {
    divan::main();
}

/// A head with idle workers, whose writes are committed at once.
struct Head {
    scheduler: Scheduler,
    now_ms: u64,
    /// Number of the worker that reports next.
    next_worker: u64,
}

impl Head {
    /// Creates a head at which `steps` steps wait for a label that no worker has. Their tasks have `needs` different sizes.
    fn with_waiting_steps(steps: u64, needs: u64) -> Head {
        let mut head = Head {
            scheduler: Scheduler::new(Bounds::default(), Epoch(1), 1, START_MS, WALL_MS),
            now_ms: START_MS,
            next_worker: 0,
        };
        head.handle(Event::Config(Arc::new(config())));
        (0..WORKERS).for_each(|number| head.connect_worker(number));
        for number in 0..steps / STEPS_PER_JOB {
            head.submit(number, needs);
        }
        head
    }

    fn handle(&mut self, event: Event) {
        let mut effects = Vec::new();
        let wall_ms = WALL_MS + self.now_ms;
        self.scheduler
            .handle(self.now_ms, wall_ms, event, &mut effects);
        for effect in effects {
            if let Effect::Write { write, .. } = effect {
                self.handle(Event::Committed(write));
            }
        }
    }

    fn connect_worker(&mut self, number: u64) {
        let agent = AgentId(number);
        let node_name = format!("side-{number}");
        self.handle(Event::AgentConnected { agent, node_name });
        self.report_worker(number);
    }

    fn report_worker(&mut self, number: u64) {
        let agent = AgentId(number);
        let report = AgentReport {
            sent_ms: self.now_ms,
            instance: Some(worker(number)),
            ended_instances: Vec::new(),
            not_started: Vec::new(),
            newest_update: 0,
        };
        self.handle(Event::Report { agent, report });
    }

    fn submit(&mut self, number: u64, needs: u64) {
        let id = JobId(number);
        let step = |index: u64| Step {
            count: 1,
            cpu: 500 + (number * STEPS_PER_JOB + index) % needs,
            requirements: "gone".to_owned(),
            estimate_ms: 1_000,
            ..Step::default()
        };
        let call = ClientCall {
            call: number,
            host: "h".to_owned(),
            path: format!("/r/{id}"),
            operation: ClientOperation::Submit(JobSpec {
                spec: "text".to_owned(),
                stages: (0..STEPS_PER_JOB).map(step).collect(),
                ..JobSpec::default()
            }),
        };
        let from = CallerId(1);
        self.handle(Event::Call { from, call });
    }

    /// The next report of a worker, with a tick and a pass over the queue.
    fn advance(&mut self) {
        self.now_ms += REPORT_INTERVAL_MS;
        self.next_worker = (self.next_worker + 1) % WORKERS;
        self.report_worker(self.next_worker);
    }
}

fn config() -> Config {
    Config {
        version: 1,
        routes: vec![Route {
            name: "r".to_owned(),
            host: "h".to_owned(),
            path_prefix: "/r/".to_owned(),
            timeout_ms: 3_000,
            target_latency_ms: 1_000,
            backend: "s".to_owned(),
            max_retries: 3,
            stretch: 2.0,
            ..Route::default()
        }],
        services: vec![Service {
            name: "s".to_owned(),
            ..Service::default()
        }],
        ..Config::default()
    }
}

fn worker(number: u64) -> InstanceReport {
    InstanceReport {
        id: format!("i-{number}"),
        backend: "s".to_owned(),
        zone: "a".to_owned(),
        state: WorkerState::Ready,
        remaining_ms: None,
        warmup_remaining_ms: 0,
        capacity: Resources {
            cpu: 16_000,
            mem_mb: 32_000,
            gpu: 0,
        },
        labels: vec!["a".to_owned(), "r1-1".to_owned()],
        since_heartbeat_ms: 0,
        running: Some(Vec::new()),
        finished: Vec::new(),
        in_flight: Vec::new(),
    }
}

/// Steps that wait, of one need.
#[divan::bench(args = [400, 4_000, 20_000])]
fn tick_with_waiting_steps(bencher: Bencher<'_, '_>, steps: u64) {
    let mut head = Head::with_waiting_steps(steps, 1);
    bencher.bench_local(|| black_box(&mut head).advance());
}

/// 20,000 steps that wait, of a number of needs.
#[divan::bench(args = [1, 10, 100, 1_000])]
fn tick_with_needs(bencher: Bencher<'_, '_>, needs: u64) {
    let mut head = Head::with_waiting_steps(20_000, needs);
    bencher.bench_local(|| black_box(&mut head).advance());
}
