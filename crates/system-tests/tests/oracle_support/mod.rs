//! A fixture without the programs: an environment that receives hand-written responses to heartbeats.

use indigofold_system_tests::checks::{Exemptions, Rule, violations};
use indigofold_system_tests::configuration::{Configuration, PLANNING, QUICK, Queue};
use indigofold_system_tests::environment::{Environment, InstanceIndex, WorkerSetup};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::settings::Bounds;
use indigofold_system_tests::wait::Signal;
use indigofold_system_tests::wire::{
    Capacity, EndReason, Heartbeat, HeartbeatResponse, StartOrder, StopOrder,
};
use std::sync::Arc;
use std::time::Duration;

/// The id of the fixture's job.
pub(crate) const JOB: &str = "00000000000000aa";
/// Timeout of each wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Run lease that is added to responses without one, in milliseconds.
const RUN_LEASE_MS: u64 = 5_000;

/// An environment with one accepted job and two workers.
pub(crate) struct Fixture {
    pub environment: Arc<Environment>,
    pub instances: [InstanceIndex; 2],
}

/// The queue to which all jobs are submitted.
pub(crate) fn queue() -> Queue {
    Configuration::standard(1)
        .queue(QUICK)
        .expect("the standard configuration should have this queue")
        .clone()
}

/// The setup of worker `number`, which has the label `only-NUMBER`.
pub(crate) fn setup(number: usize) -> WorkerSetup {
    WorkerSetup {
        name: format!("worker-{number}"),
        service: PLANNING.to_owned(),
        zone: "zone-a".to_owned(),
        capacity: Capacity {
            cpu: 1_000,
            mem_mb: 1_024,
            gpu: 0,
        },
        labels: vec![format!("only-{number}")],
        address: "127.0.0.1:1".to_owned(),
    }
}

/// A step of `count` tasks that run longer than the test.
pub(crate) fn long_step(count: u32) -> Step {
    Step::new(count, 60_000)
}

/// An order to start a run; `task` is the task's name without the job: `REPEAT.STEP.INDEX`.
pub(crate) fn start_order(
    job: &str,
    task: &str,
    attempt: u32,
    spec: &str,
    checkpoint: &str,
) -> StartOrder {
    StartOrder {
        task: format!("{job}.{task}"),
        attempt,
        spec: spec.to_owned(),
        checkpoint: checkpoint.to_owned(),
    }
}

impl Fixture {
    /// Creates a fixture with short bounds in which `job` has been accepted.
    pub(crate) fn new(job: &Job) -> Self {
        let bounds = Bounds {
            gang: Duration::from_millis(200),
            drain: Duration::from_millis(10),
            cancel: Duration::from_millis(10),
            stop: Duration::from_millis(20),
            checkpoint_interval: Duration::from_millis(10),
            restore: Duration::from_millis(1),
            ..Bounds::default()
        };
        let environment = Environment::new(bounds, Arc::new(Signal::default()));
        environment.job_sent(JOB, job, &queue());
        environment.job_responded(JOB, Some(200));
        let instances = [0, 1].map(|number| environment.start_instance(&setup(number)));
        Fixture {
            environment,
            instances,
        }
    }

    /// Gives a worker this response to a heartbeat sent now. Adds a run lease if the response has none.
    pub(crate) fn respond(&self, worker: usize, response: HeartbeatResponse) {
        let response = HeartbeatResponse {
            run_lease_ms: response.run_lease_ms.or(Some(RUN_LEASE_MS)),
            ..response
        };
        let (instance, sent) = (self.instances[worker], self.environment.now());
        self.environment
            .handle_heartbeat_response(instance, sent, &response);
    }

    /// Gives a worker this start order.
    pub(crate) fn send_start_order(&self, worker: usize, order: StartOrder) {
        let response = HeartbeatResponse {
            start: vec![order],
            ..HeartbeatResponse::default()
        };
        self.respond(worker, response);
    }

    /// Gives a worker an order to start a run of the fixture's job, with the job's text and no checkpoint.
    pub(crate) fn start(&self, worker: usize, task: &str, attempt: u32) {
        let order = start_order(JOB, task, attempt, &self.spec(), "");
        self.send_start_order(worker, order);
    }

    /// Gives a worker an order to stop a run of the fixture's job.
    pub(crate) fn stop(&self, worker: usize, task: &str, attempt: u32) {
        let task = format!("{JOB}.{task}");
        let response = HeartbeatResponse {
            stop: vec![StopOrder { task, attempt }],
            ..HeartbeatResponse::default()
        };
        self.respond(worker, response);
    }

    /// Acknowledges a worker's ends up to a number.
    pub(crate) fn acknowledge_ends(&self, worker: usize, acknowledged_end: u64) {
        let response = HeartbeatResponse {
            acknowledged_end: Some(acknowledged_end),
            ..HeartbeatResponse::default()
        };
        self.respond(worker, response);
    }

    /// The next heartbeat of a worker.
    pub(crate) fn heartbeat(&self, worker: usize) -> Heartbeat {
        let heartbeat = self.environment.heartbeat(self.instances[worker]);
        heartbeat.expect("the instance should not have ended").1
    }

    /// The job's text.
    pub(crate) fn spec(&self) -> String {
        self.environment
            .read(|record| record.jobs[JOB].job.spec.clone())
    }

    /// Number of starts of the job's runs.
    pub(crate) fn count_starts(&self) -> usize {
        self.environment.read(|record| record.count_starts(JOB))
    }

    /// Waits until at least `count` of the job's runs have ended for this reason.
    pub(crate) fn wait_ends(&self, reason: EndReason, count: usize) {
        let ended = self.environment.wait_until("ends", TIMEOUT, |record| {
            (record.count_ends(JOB, reason) >= count).then_some(())
        });
        ended.expect("enough runs should end in time");
    }

    /// Reasons of all ends of the job's runs, in order.
    pub(crate) fn ends(&self) -> Vec<EndReason> {
        self.environment
            .read(|record| record.ends(JOB).map(|end| end.reason).collect())
    }

    /// The rules that were broken, in the order of the checks.
    pub(crate) fn broken_rules(&self) -> Vec<Rule> {
        let (bounds, now) = (self.environment.bounds(), self.environment.now());
        let found = self
            .environment
            .read(|record| violations(record, &bounds, Exemptions::default(), now));
        found.into_iter().map(|violation| violation.rule).collect()
    }

    /// Waits for `time`, while the environment advances.
    pub(crate) fn sleep(&self, time: Duration) {
        let until = self.environment.now() + time;
        let passed = self.environment.wait_until("time", TIMEOUT, |_| {
            (self.environment.now() > until).then_some(())
        });
        passed.expect("the time to wait should be shorter than the timeout");
    }
}
