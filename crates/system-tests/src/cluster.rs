//! A whole cluster with its stand-ins: what most tests start from.

use crate::checks::{Excuses, violations};
use crate::client::{Client, Handed};
use crate::configuration::{Configuration, PLANNING, QUICK, Queue};
use crate::http::{Call, call_once};
use crate::job::Job;
use crate::operator::Operator;
use crate::settings::Bounds;
use crate::system::{MachineId, Programs, Shape, System};
use crate::wait::Signal;
use crate::wire::Capacity;
use crate::worker::Worker;
use crate::world::{JobState, WorkerSetup, World};
use std::sync::Arc;
use std::time::Duration;

/// The cluster must be ready by then.
pub const START_TIME: Duration = Duration::from_secs(20);
/// A job of a test must have ended by then, failures of processes included.
pub const JOB_TIME: Duration = Duration::from_secs(30);
/// A member that is back counts again after this (`catch_up_s`).
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// How long an edge may take to say whether it is ready.
const READINESS_TIME: Duration = Duration::from_secs(1);
/// Workers on one rack.
const RACK: usize = 2;

/// A cluster under test. Panics where a test cannot go on: its failure is the test's.
pub struct Cluster {
    // In the order in which they are to go: workers end before the companions that they call.
    /// The workers, one for each side machine, in the same order.
    pub workers: Vec<Worker>,
    /// The machines.
    pub system: System,
    /// The world.
    pub world: Arc<World>,
    /// The operator.
    pub operator: Operator,
    /// A client that knows all edges.
    pub client: Client,
    /// The newest configuration that the operator has delivered.
    pub configuration: Configuration,
    excuses: Excuses,
}

impl Cluster {
    /// Machines on which nothing runs yet.
    pub fn prepare(programs: Programs, shape: Shape) -> Self {
        let (bounds, signal) = (Bounds::default(), Arc::new(Signal::default()));
        let system = System::new(programs, shape, bounds, &signal).expect("machines");
        let world = World::new(bounds, signal.clone());
        let members = system
            .cores()
            .into_iter()
            .map(|core| system.control_plane(core))
            .collect();
        let edges = system
            .edges()
            .into_iter()
            .map(|edge| system.frontend(edge))
            .collect();
        let (operator, client) = (Operator::new(members, &signal), Client::new(edges, &world));
        let (configuration, excuses) = (Configuration::standard(1), Excuses::default());
        Cluster {
            workers: Vec::new(),
            system,
            world,
            operator,
            client,
            configuration,
            excuses,
        }
    }

    /// A cluster at work: all processes, a worker beside each companion, the first configuration in force.
    pub fn start(programs: Programs, shape: Shape) -> Self {
        let mut cluster = Cluster::prepare(programs, shape);
        let system = &cluster.system;
        let machines = [system.cores(), system.edges(), system.sides()].concat();
        machines
            .into_iter()
            .for_each(|machine| cluster.start_machine(machine));
        cluster.start_workers(PLANNING);
        cluster.configure();
        cluster.wait_ready();
        cluster
    }

    /// Starts a machine's process.
    pub fn start_machine(&mut self, machine: MachineId) {
        self.system.start(machine).expect("a process starts");
    }

    /// Starts a worker of this service beside each companion that has none.
    pub fn start_workers(&mut self, service: &str) {
        for side in self.system.sides().into_iter().skip(self.workers.len()) {
            self.start_worker(
                side,
                service,
                Capacity {
                    cpu: 4_000,
                    mem_mb: 8_192,
                    gpu: 2,
                },
            );
        }
    }

    /// Starts a worker beside this companion.
    pub fn start_worker(&mut self, side: MachineId, service: &str, capacity: Capacity) {
        let number = self.workers.len();
        let settings = self.system.settings(side);
        let setup = WorkerSetup {
            name: format!("worker-{number}"),
            service: service.to_owned(),
            zone: settings.zone.clone(),
            capacity,
            labels: vec![
                "a".to_owned(),
                format!("r1-{}", number / RACK),
                format!("only-{number}"),
            ],
            address: settings.address(settings.ports.frontend).to_string(),
        };
        self.workers.push(Worker::start(
            setup,
            self.system.control_plane(side),
            &self.world,
        ));
    }

    /// Delivers the first configuration.
    pub fn configure(&mut self) {
        let answer = self
            .operator
            .put(&self.configuration, 0)
            .expect("the first configuration");
        assert_eq!(
            answer.status,
            200,
            "the first configuration: {}",
            answer.json()
        );
    }

    /// Waits until all edges say that they are ready.
    pub fn wait_ready(&self) {
        for edge in self.system.edges() {
            self.wait_edge(edge);
        }
    }

    /// Waits until an edge says that it is ready.
    pub fn wait_edge(&self, edge: MachineId) {
        let ready = self.world.signal().until("a ready edge", START_TIME, || {
            self.is_ready(edge).then_some(())
        });
        ready.expect("readiness");
    }

    /// Whether an edge says that it is ready.
    pub fn is_ready(&self, edge: MachineId) -> bool {
        let answer = call_once(
            self.system.readiness(edge),
            &Call::new("GET", "/readiness"),
            READINESS_TIME,
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// The machine whose member acts as head.
    pub fn head(&self) -> MachineId {
        let address = self.operator.head(START_TIME).expect("a head");
        self.system.core_at(address).expect("the head's machine")
    }

    /// The queue of this prefix in the newest configuration.
    pub fn queue(&self, path_prefix: &str) -> Queue {
        self.configuration
            .queue(path_prefix)
            .expect("a queue of the configuration")
            .clone()
    }

    /// Hands in a job, until it is accepted.
    pub fn submit(&self, path_prefix: &str, job: &Job) -> Handed {
        self.client
            .submit(&self.queue(path_prefix), job)
            .expect("an accepted job")
    }

    /// Waits until a job is shown as completed.
    pub fn expect_completed(&self, handed: &Handed) {
        let state = self
            .client
            .wait_end(handed, JOB_TIME)
            .expect("the end of a job");
        assert_eq!(state, JobState::Completed, "{}", handed.id);
    }

    /// Hands in small jobs, one after another, for so long.
    pub fn work_for(&self, span: Duration) {
        let until = self.world.now() + span;
        while self.world.now() < until {
            let handed = self.submit(QUICK, &Job::single(50));
            self.expect_completed(&handed);
        }
    }

    /// Waits until one of the job's tasks has been started, and returns the number of the worker.
    pub fn wait_started(&self, handed: &Handed) -> usize {
        let life = self.world.until("the start of a task", JOB_TIME, |record| {
            let last = record.starts(&handed.id).last();
            last.map(|(life, _)| record.life(life).worker.clone())
        });
        let worker = life.expect("a start");
        self.workers
            .iter()
            .position(|known| known.name() == worker)
            .expect("a known worker")
    }

    /// What the test does excuses this.
    pub fn excuse(&mut self, excuses: Excuses) {
        self.excuses = excuses;
    }

    /// Kills all core members at the same moment, and starts them again.
    pub fn restart_core(&mut self) {
        let cores = self.system.cores();
        cores.iter().for_each(|core| self.system.kill(*core));
        cores.iter().for_each(|core| self.start_machine(*core));
    }

    /// Waits for the ends of all accepted jobs that end by themselves, and holds all that has happened against the rules.
    pub fn finish(mut self) {
        let owed = self.world.read(|record| {
            let accepted = record.jobs.iter().filter(|(_, job)| job.accepted.is_some());
            let owed = accepted.filter(|(_, job)| job.cancel_sent.is_none() && !job.job.lasts());
            owed.map(|(id, job)| Handed {
                id: id.clone(),
                queue: job.queue.clone(),
            })
            .collect::<Vec<_>>()
        });
        for handed in &owed {
            self.client
                .wait_end(handed, JOB_TIME)
                .expect("the end of an accepted job");
        }
        self.check();
    }

    /// Holds all that has happened against the rules.
    pub fn check(&mut self) {
        let (bounds, now, excuses) = (self.world.bounds(), self.world.now(), self.excuses);
        let found = self
            .world
            .read(|record| violations(record, &bounds, excuses, now));
        let shown: Vec<String> = found.iter().map(ToString::to_string).collect();
        assert!(
            found.is_empty(),
            "rules were broken:\n  {}",
            shown.join("\n  ")
        );
        let ended = self.system.ended_by_themselves();
        assert!(
            ended.is_empty(),
            "processes have ended by themselves: {ended:?}"
        );
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.system.print_logs();
            self.world.read(|record| {
                for entry in &record.entries {
                    eprintln!("{:8.3} {:?}", entry.at.as_secs_f64(), entry.event);
                }
            });
        }
    }
}
