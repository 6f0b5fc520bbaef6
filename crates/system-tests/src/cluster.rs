//! A complete cluster with its stand-ins: set-up, control of machines and workers, and the checks at the end of a test.

mod steps;

use crate::checks::{Exemptions, violations};
use crate::client::{Client, SubmittedJob};
use crate::configuration::{Configuration, PLANNING};
use crate::environment::{Environment, WorkerSetup};
use crate::http::{HttpError, Request, Response, request_once};
use crate::operator::Operator;
use crate::settings::Bounds;
use crate::system::{MachineCounts, MachineId, Programs, System};
use crate::wait::Signal;
use crate::wire::Capacity;
use crate::worker::Worker;
use std::sync::Arc;
use std::time::Duration;

/// Longest time until the cluster is ready or has a head.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time until a job of a test ends, including delays by failures of processes.
pub const JOB_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a restarted member counts for a quorum (`catch_up_s`).
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// Default resources of a worker.
pub const WORKER_CAPACITY: Capacity = Capacity {
    cpu: 4_000,
    mem_mb: 8_192,
    gpu: 2,
};
/// Timeout of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of workers that share a rack label.
const WORKERS_PER_RACK: usize = 2;

/// A cluster under test. Its methods panic on errors after which the test cannot continue.
pub struct Cluster {
    // Fields are dropped in this order, so that workers end before the node agents that they connect to.
    /// The workers, in the order of their starts; [`Cluster::start_workers`] follows the order of the side machines.
    pub workers: Vec<Worker>,
    /// The machines and their processes.
    pub system: System,
    /// The simulated environment of the workers, with the record.
    pub environment: Arc<Environment>,
    /// An operator that knows all core members.
    pub operator: Operator,
    /// A client that knows all edges.
    pub client: Client,
    /// The configuration from which tests take their queues.
    pub configuration: Configuration,
    exemptions: Exemptions,
}

impl Cluster {
    /// Sets up the machines without starting a process.
    ///
    /// # Panics
    ///
    /// If no addresses or folders can be reserved.
    pub fn prepare(programs: Programs, counts: MachineCounts) -> Self {
        let (bounds, signal) = (Bounds::default(), Arc::new(Signal::default()));
        let system =
            System::new(programs, counts, bounds, &signal).expect("the machines should be set up");
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

    /// Starts a cluster: all processes, a worker for each node agent, and the first configuration in force.
    pub fn start(programs: Programs, counts: MachineCounts) -> Self {
        let mut cluster = Cluster::prepare(programs, counts);
        let system = &cluster.system;
        let machines = [system.cores(), system.edges(), system.sides()].concat();
        cluster.start_with_workers(&machines);
        cluster
    }

    /// Starts these machines and a worker for each node agent, applies the first configuration and waits until all
    /// edges are ready.
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
        self.system
            .start(machine)
            .expect("the machine's process should start");
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

    /// Suspends the processes of these machines with SIGSTOP.
    ///
    /// # Panics
    ///
    /// If a process cannot be signalled.
    pub fn freeze_machines(&mut self, machines: &[MachineId]) {
        for machine in machines {
            self.system
                .freeze(*machine)
                .expect("the process should accept SIGSTOP");
        }
    }

    /// Resumes the processes of these machines with SIGCONT.
    ///
    /// # Panics
    ///
    /// If a process cannot be signalled.
    pub fn thaw_machines(&mut self, machines: &[MachineId]) {
        for machine in machines {
            self.system
                .thaw(*machine)
                .expect("the process should accept SIGCONT");
        }
    }

    /// Kills a machine's process and empties its disk.
    ///
    /// # Panics
    ///
    /// If the files cannot be removed.
    pub fn kill_and_wipe(&mut self, machine: MachineId) {
        self.system.kill(machine);
        self.system
            .wipe(machine)
            .expect("the disk should be emptied");
    }

    /// Sends SIGTERM to a machine's process, and waits until it exits successfully.
    ///
    /// # Panics
    ///
    /// If the process cannot be signalled, does not exit in time, or exits with an error.
    pub fn terminate_and_wait(&mut self, machine: MachineId) {
        self.system
            .terminate(machine)
            .expect("the process should accept SIGTERM");
        let status = self
            .system
            .wait_exit(machine)
            .expect("the process should exit within the grace time after SIGTERM");
        assert!(
            status.success(),
            "the process exited with {status} after SIGTERM, expected success"
        );
    }

    /// Starts a worker of this service for each node agent that has none.
    pub fn start_workers(&mut self, service: &str) {
        let sides = self.system.sides();
        for side in sides.into_iter().skip(self.workers.len()) {
            self.start_worker(side, service, WORKER_CAPACITY);
        }
    }

    /// Starts a worker that sends its heartbeats to this node agent.
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

    /// Applies the first configuration.
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
        let address = self
            .operator
            .head(START_TIMEOUT)
            .expect("a core member should act as head");
        self.system
            .core_at(address)
            .expect("the head's address should belong to a core machine")
    }

    /// All core machines except one.
    pub fn other_cores(&self, except: MachineId) -> Vec<MachineId> {
        let cores = self.system.cores().into_iter();
        cores.filter(|core| *core != except).collect()
    }

    /// Exempts the test from checks that do not apply to the faults it injects.
    pub fn exempt(&mut self, exemptions: Exemptions) {
        self.exemptions = exemptions;
    }

    /// Kills all core members, one right after another, and then starts them again.
    pub fn restart_core(&mut self) {
        let cores = self.system.cores();
        self.kill_machines(&cores);
        self.start_machines(&cores);
    }

    /// Waits for the end of every accepted job that is neither long-running nor cancelled, and checks the record.
    ///
    /// # Panics
    ///
    /// If a job does not end in time, a rule is broken, or a process has exited unexpectedly.
    pub fn finish(mut self) {
        for submitted in self.jobs_to_end() {
            self.client
                .wait_end(&submitted, JOB_TIMEOUT)
                .expect("an accepted job should end in time");
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

    /// Checks the record against the rules, and that no process has exited unexpectedly.
    ///
    /// # Panics
    ///
    /// If a rule is broken, or a process has exited unexpectedly.
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
            "processes exited unexpectedly: {exited:?}"
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
