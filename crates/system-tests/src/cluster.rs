//! A complete cluster with its stand-ins: its set-up, its machines and workers, and the checks at its end.

mod steps;

use crate::checks::{Exemptions, violations};
use crate::client::{Client, SubmittedJob};
use crate::configuration::{Configuration, PLANNING};
use crate::environment::{Environment, WorkerSetup};
use crate::http::{HttpError, Request, Response, request_once};
use crate::operator::Operator;
use crate::settings::Bounds;
use crate::system::{MachineId, Programs, Shape, System};
use crate::wait::Signal;
use crate::wire::Capacity;
use crate::worker::Worker;
use std::sync::Arc;
use std::time::Duration;

/// The cluster must be ready by then.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);
/// A job of a test must have ended by then, failures of processes included.
pub const JOB_TIMEOUT: Duration = Duration::from_secs(30);
/// A restarted member counts for a quorum after this (`catch_up_s`).
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// Resources of a worker.
pub const WORKER_CAPACITY: Capacity = Capacity {
    cpu: 4_000,
    mem_mb: 8_192,
    gpu: 2,
};
/// How long an edge may take to report whether it is ready.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Workers on one rack.
const WORKERS_PER_RACK: usize = 2;

/// A cluster under test. Panics where a test cannot go on: its failure is the test's.
pub struct Cluster {
    // In the order in which they are dropped: workers end before the node agents that they connect to.
    /// The workers, one for each side machine, in the same order.
    pub workers: Vec<Worker>,
    /// The machines.
    pub system: System,
    /// The simulated environment.
    pub environment: Arc<Environment>,
    /// The operator.
    pub operator: Operator,
    /// A client that knows all edges.
    pub client: Client,
    /// The newest configuration that the test takes its queues from.
    pub configuration: Configuration,
    exemptions: Exemptions,
}

impl Cluster {
    /// Machines on which nothing runs yet.
    ///
    /// # Panics
    ///
    /// If no addresses or folders can be reserved.
    pub fn prepare(programs: Programs, shape: Shape) -> Self {
        let (bounds, signal) = (Bounds::default(), Arc::new(Signal::default()));
        let system = System::new(programs, shape, bounds, &signal).expect("machines");
        let environment = Environment::new(bounds, signal.clone());
        let cores = system.cores().into_iter();
        let members = cores.map(|core| system.control_plane(core)).collect();
        let edges = system.edges().into_iter();
        let frontends = edges.map(|edge| system.frontend(edge)).collect();
        Cluster {
            workers: Vec::new(),
            operator: Operator::new(members, &signal),
            client: Client::new(frontends, &environment),
            system,
            environment,
            configuration: Configuration::standard(1),
            exemptions: Exemptions::default(),
        }
    }

    /// A running cluster: all processes, a worker beside each node agent, the first configuration in force.
    pub fn start(programs: Programs, shape: Shape) -> Self {
        let mut cluster = Cluster::prepare(programs, shape);
        let system = &cluster.system;
        let machines = [system.cores(), system.edges(), system.sides()].concat();
        cluster.start_with_workers(&machines);
        cluster
    }

    /// Starts these machines and a worker beside each node agent, and waits until the first configuration is in force.
    pub fn start_with_workers(&mut self, machines: &[MachineId]) {
        self.start_machines(machines);
        self.start_workers(PLANNING);
        self.configure();
        self.wait_ready();
    }

    /// Starts a machine's process.
    ///
    /// # Panics
    ///
    /// If the process cannot be started.
    pub fn start_machine(&mut self, machine: MachineId) {
        self.system.start(machine).expect("a process starts");
    }

    /// Starts the processes of these machines, in this order.
    pub fn start_machines(&mut self, machines: &[MachineId]) {
        for machine in machines {
            self.start_machine(*machine);
        }
    }

    /// Kills the processes of these machines.
    pub fn kill_machines(&mut self, machines: &[MachineId]) {
        for machine in machines {
            self.system.kill(*machine);
        }
    }

    /// Stops the processes of these machines from running.
    ///
    /// # Panics
    ///
    /// If a process cannot be signalled.
    pub fn freeze_machines(&mut self, machines: &[MachineId]) {
        for machine in machines {
            self.system.freeze(*machine).expect("frozen");
        }
    }

    /// Lets the processes of these machines run again.
    ///
    /// # Panics
    ///
    /// If a process cannot be signalled.
    pub fn thaw_machines(&mut self, machines: &[MachineId]) {
        for machine in machines {
            self.system.thaw(*machine).expect("thawed");
        }
    }

    /// Kills a machine's process and removes all that is on its disk.
    ///
    /// # Panics
    ///
    /// If the files cannot be removed.
    pub fn kill_and_wipe(&mut self, machine: MachineId) {
        self.system.kill(machine);
        self.system.wipe(machine).expect("an empty disk");
    }

    /// Sends SIGTERM to a machine's process, and waits for its successful end.
    ///
    /// # Panics
    ///
    /// If the process cannot be signalled, or does not end well in time.
    pub fn terminate_and_wait(&mut self, machine: MachineId) {
        self.system.terminate(machine).expect("a signal");
        let status = self.system.wait_exit(machine).expect("an end in time");
        assert!(status.success(), "ended with {status}");
    }

    /// Starts a worker of this service beside each node agent that has none.
    pub fn start_workers(&mut self, service: &str) {
        let sides = self.system.sides();
        for side in sides.into_iter().skip(self.workers.len()) {
            self.start_worker(side, service, WORKER_CAPACITY);
        }
    }

    /// Starts a worker beside this node agent.
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
                format!("r1-{}", number / WORKERS_PER_RACK),
                format!("only-{number}"),
            ],
            address: settings.address(settings.ports.frontend).to_string(),
        };
        let agent = self.system.control_plane(side);
        self.workers
            .push(Worker::start(setup, agent, &self.environment));
    }

    /// Puts the first configuration in force.
    pub fn configure(&mut self) {
        self.put(&self.configuration, 0);
    }

    /// Waits until all edges are ready.
    pub fn wait_ready(&self) {
        for edge in self.system.edges() {
            self.wait_edge(edge);
        }
    }

    /// Waits until an edge is ready.
    pub fn wait_edge(&self, edge: MachineId) {
        let probe = || self.is_ready(edge).then_some(());
        self.wait_for("a ready edge", START_TIMEOUT, probe);
    }

    /// Whether an edge reports that it is ready.
    pub fn is_ready(&self, edge: MachineId) -> bool {
        self.readiness(edge)
            .is_ok_and(|response| response.status == 200)
    }

    /// An edge's response to a readiness check.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response.
    pub fn readiness(&self, edge: MachineId) -> Result<Response, HttpError> {
        let request = Request::new("GET", "/readiness");
        request_once(self.system.readiness(edge), &request, READINESS_TIMEOUT)
    }

    /// The machine whose member acts as head.
    ///
    /// # Panics
    ///
    /// If no member acts as head in time.
    pub fn head(&self) -> MachineId {
        let address = self.operator.head(START_TIMEOUT).expect("a head");
        self.system.core_at(address).expect("the head's machine")
    }

    /// The core machines but one.
    pub fn other_cores(&self, but: MachineId) -> Vec<MachineId> {
        let cores = self.system.cores().into_iter();
        cores.filter(|core| *core != but).collect()
    }

    /// Exempts the test from checks that do not apply to the faults it injects.
    pub fn exempt(&mut self, exemptions: Exemptions) {
        self.exemptions = exemptions;
    }

    /// Kills all core members at the same moment, and starts them again.
    pub fn restart_core(&mut self) {
        let cores = self.system.cores();
        self.kill_machines(&cores);
        self.start_machines(&cores);
    }

    /// Waits for the ends of all accepted jobs that end by themselves, and checks all that has happened.
    ///
    /// # Panics
    ///
    /// If a job does not end in time, or a rule is broken.
    pub fn finish(mut self) {
        for submitted in self.jobs_to_end() {
            self.client
                .wait_end(&submitted, JOB_TIMEOUT)
                .expect("the end of an accepted job");
        }
        self.check();
    }

    fn jobs_to_end(&self) -> Vec<SubmittedJob> {
        self.environment.read(|record| {
            let accepted = record.jobs.iter().filter(|(_, job)| job.accepted.is_some());
            let to_end =
                accepted.filter(|(_, job)| job.cancel_sent.is_none() && !job.job.is_long_running());
            let jobs = to_end.map(|(id, job)| SubmittedJob {
                id: id.clone(),
                queue: job.queue.clone(),
            });
            jobs.collect()
        })
    }

    /// Checks all that has happened against the rules, and that no process has ended by itself.
    ///
    /// # Panics
    ///
    /// If a rule is broken, or a process has ended by itself.
    pub fn check(&mut self) {
        let (bounds, now) = (self.environment.bounds(), self.environment.now());
        let found = self
            .environment
            .read(|record| violations(record, &bounds, self.exemptions, now));
        let shown: Vec<String> = found.iter().map(ToString::to_string).collect();
        let shown = shown.join("\n  ");
        assert!(found.is_empty(), "rules were broken:\n  {shown}");
        let exited = self.system.unexpectedly_exited();
        assert!(
            exited.is_empty(),
            "processes have ended by themselves: {exited:?}"
        );
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.system.print_logs();
            self.environment.read(|record| {
                for entry in &record.entries {
                    eprintln!("{:8.3} {:?}", entry.at.as_secs_f64(), entry.event);
                }
            });
        }
    }
}
