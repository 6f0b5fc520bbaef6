//! Injects faults one after another. The number of concurrent faults in the core stays within its tolerance; for the
//! other machines there is no limit.

use super::seeded_random::SeededRandom;
use indigofold_system_tests::cluster::{CATCH_UP, Cluster};
use indigofold_system_tests::configuration::{PLANNING, Queue};
use indigofold_system_tests::environment::{Moment, Record};
use indigofold_system_tests::system::MachineId;
use serde_json::json;
use std::time::Duration;

/// The next fault follows once this number of jobs has been accepted, or after [`MAX_TIME_BETWEEN_FAULTS`].
const JOBS_BETWEEN_FAULTS: usize = 3;
/// Longest time between two faults.
const MAX_TIME_BETWEEN_FAULTS: Duration = Duration::from_millis(1_200);
/// Time that a draining worker needs until it can end.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// A fault to inject, or a change of the configuration.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillAgent,
    FreezeAgent,
    CrashWorker,
    DrainWorker,
    KillEdge,
    TerminateEdge,
    Member(MemberFault),
    KillCore,
    Configure,
}

/// A fault of one core member.
#[derive(Clone, Copy, Debug)]
enum MemberFault {
    KillHead,
    Kill,
    Wipe,
    FreezeHead,
    Freeze,
    TerminateHead,
}

/// All faults. A seed selects them by position, so reordering them changes the faults of every seed.
const FAULTS: [Fault; 14] = [
    Fault::KillAgent,
    Fault::FreezeAgent,
    Fault::CrashWorker,
    Fault::DrainWorker,
    Fault::KillEdge,
    Fault::TerminateEdge,
    Fault::Member(MemberFault::KillHead),
    Fault::Member(MemberFault::Kill),
    Fault::Member(MemberFault::Wipe),
    Fault::Member(MemberFault::FreezeHead),
    Fault::Member(MemberFault::Freeze),
    Fault::Member(MemberFault::TerminateHead),
    Fault::KillCore,
    Fault::Configure,
];

/// Injects faults and tracks those that have not been repaired.
pub(super) struct FaultInjector {
    random: SeededRandom,
    /// Machines whose process was killed or terminated and has not been restarted.
    down: Vec<MachineId>,
    frozen: Vec<MachineId>,
    /// Time at which the last restarted or resumed member has caught up, so that the core tolerates another fault.
    core_recovered_at: Moment,
    /// Newest version of the configuration.
    version: u64,
}

impl FaultInjector {
    /// Creates an injector without injected faults; the configuration has version 1.
    pub(super) fn new(random: SeededRandom) -> Self {
        FaultInjector {
            random,
            down: Vec::new(),
            frozen: Vec::new(),
            core_recovered_at: Moment::ZERO,
            version: 1,
        }
    }

    /// Injects the next fault, and waits until some jobs have been accepted or a time has passed.
    pub(super) fn inject_next(&mut self, cluster: &mut Cluster) {
        // Repairs the earlier faults before every second fault on average.
        if self.random.below(2) == 0 {
            self.repair(cluster);
        }
        let fault = self.random.choose(&FAULTS);
        eprintln!("{:8.3} {fault:?}", cluster.environment.now().as_secs_f64());
        self.inject(cluster, fault);
        let before = accepted(cluster);
        let enough = || (accepted(cluster) >= before + JOBS_BETWEEN_FAULTS).then_some(());
        let more = cluster
            .environment
            .signal()
            .wait_until("jobs", MAX_TIME_BETWEEN_FAULTS, enough);
        // A timeout is not an error: the next fault follows in either case.
        drop(more);
    }

    /// Repairs all faults and waits until the edges are ready.
    pub(super) fn repair_all(&mut self, cluster: &mut Cluster) {
        self.repair(cluster);
        cluster.wait_ready();
    }

    fn repair(&mut self, cluster: &mut Cluster) {
        let cores = cluster.system.cores();
        if cores.iter().any(|core| !self.is_healthy(*core)) {
            self.core_recovered_at = cluster.environment.now() + CATCH_UP;
        }
        for machine in self.frozen.drain(..) {
            cluster
                .system
                .thaw(machine)
                .expect("the process should accept SIGCONT");
        }
        for machine in self.down.drain(..) {
            cluster.start_machine(machine);
        }
        for worker in &cluster.workers {
            if worker
                .instance()
                .is_none_or(|instance| !cluster.environment.is_up(instance))
            {
                worker.restart();
            }
        }
    }

    fn inject(&mut self, cluster: &mut Cluster, fault: Fault) {
        let (sides, edges) = (cluster.system.sides(), cluster.system.edges());
        let worker = self.random.below(cluster.workers.len() as u64) as usize;
        match fault {
            Fault::KillAgent => self.kill(cluster, sides[worker]),
            Fault::FreezeAgent => self.freeze(cluster, sides[worker]),
            Fault::CrashWorker => cluster.workers[worker].crash(),
            Fault::DrainWorker => cluster.workers[worker].drain(DRAIN_TIME),
            Fault::KillEdge => self.kill(cluster, edges[0]),
            Fault::TerminateEdge => self.terminate_edge(cluster, edges[1]),
            Fault::Configure => self.configure(cluster),
            Fault::KillCore => self.kill_core(cluster),
            Fault::Member(fault) => self.inject_member_fault(cluster, fault),
        }
    }

    fn is_healthy(&self, machine: MachineId) -> bool {
        !self.down.contains(&machine) && !self.frozen.contains(&machine)
    }

    fn kill(&mut self, cluster: &mut Cluster, machine: MachineId) {
        if self.is_healthy(machine) {
            cluster.system.kill(machine);
            self.down.push(machine);
        }
    }

    fn freeze(&mut self, cluster: &mut Cluster, machine: MachineId) {
        if self.is_healthy(machine) {
            cluster
                .system
                .freeze(machine)
                .expect("the process should accept SIGSTOP");
            self.frozen.push(machine);
        }
    }

    /// Terminates an edge once it is ready: right after its start it may not handle signals yet.
    fn terminate_edge(&mut self, cluster: &mut Cluster, edge: MachineId) {
        if self.is_healthy(edge) {
            cluster.wait_edge(edge);
            self.terminate(cluster, edge);
        }
    }

    fn terminate(&mut self, cluster: &mut Cluster, machine: MachineId) {
        if self.is_healthy(machine) {
            cluster.terminate_and_wait(machine);
            self.down.push(machine);
        }
    }

    /// Injects a fault of one core member, unless another member is still faulty or catching up.
    fn inject_member_fault(&mut self, cluster: &mut Cluster, fault: MemberFault) {
        let cores = cluster.system.cores();
        let all_up = cores.iter().all(|core| self.is_healthy(*core));
        if !all_up || cluster.environment.now() < self.core_recovered_at {
            return;
        }
        let (head, any) = (cluster.head(), self.random.choose(&cores));
        match fault {
            MemberFault::KillHead => self.kill(cluster, head),
            MemberFault::Kill => self.kill(cluster, any),
            MemberFault::FreezeHead => self.freeze(cluster, head),
            MemberFault::Freeze => self.freeze(cluster, any),
            MemberFault::TerminateHead => self.terminate(cluster, head),
            MemberFault::Wipe => {
                self.kill(cluster, any);
                cluster
                    .system
                    .wipe(any)
                    .expect("the disk should be emptied");
            }
        }
        if self.random.below(3) > 0 {
            self.restart_down(cluster, &cores);
        }
        self.core_recovered_at = cluster.environment.now() + CATCH_UP;
    }

    fn restart_down(&mut self, cluster: &mut Cluster, machines: &[MachineId]) {
        for machine in machines {
            if self.down.contains(machine) {
                self.down.retain(|down| down != machine);
                cluster.start_machine(*machine);
            }
        }
    }

    /// Kills all core members, one right after another, and then starts them all again.
    fn kill_core(&mut self, cluster: &mut Cluster) {
        let cores = cluster.system.cores();
        cluster.kill_machines(&cores);
        self.down.retain(|down| !cores.contains(down));
        self.frozen.retain(|frozen| !cores.contains(frozen));
        cluster.start_machines(&cores);
        self.core_recovered_at = cluster.environment.now() + CATCH_UP;
    }

    fn configure(&mut self, cluster: &mut Cluster) {
        let next = self.version + 1 + self.random.below(3);
        let queue = Queue::new(&format!("/v{next}/"), PLANNING, 1);
        let change = json!({"version": next, "upsert": {"routes": [queue.to_json()]}});
        cluster.patch(&change, self.version);
        self.version = next;
        assert_eq!(cluster.read_configuration()["version"], next);
    }
}

fn accepted(cluster: &Cluster) -> usize {
    cluster.environment.read(Record::count_accepted)
}
