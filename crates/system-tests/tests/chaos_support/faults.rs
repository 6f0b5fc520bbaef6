//! Injects faults one after another. The number of concurrent faults in the core stays within its tolerance; for the
//! other machines there is no limit.

use super::seeded_random::SeededRandom;
use indigofold_system_tests::cluster::{CATCH_UP, Cluster};
use indigofold_system_tests::configuration::{PLANNING, Queue};
use indigofold_system_tests::environment::{Moment, Record};
use indigofold_system_tests::relay::Relay;
use indigofold_system_tests::system::MachineId;
use indigofold_system_tests::worker::DelayedHeartbeat;
use serde_json::json;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The next fault follows once this number of jobs has been accepted, or after [`MAX_TIME_BETWEEN_FAULTS`].
const JOBS_BETWEEN_FAULTS: usize = 3;
/// Longest time between two faults.
const MAX_TIME_BETWEEN_FAULTS: Duration = Duration::from_millis(1_200);
/// Time that a draining worker needs until it can end.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Shortest and longest time for which the network holds a message back.
const MESSAGE_DELAY_MS: RangeInclusive<u64> = 100..=5_000;
/// Shortest and longest time for which members stand still; a lease lasts 600 ms.
const CORE_FREEZE_MS: RangeInclusive<u64> = 100..=700;

/// A fault to inject, or a change of the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    KillAgent,
    FreezeAgent,
    CrashWorker,
    DrainWorker,
    /// A worker restarts, and a heartbeat of its former instance arrives late.
    DelayHeartbeat,
    /// A worker restarts twice; the only heartbeat of the instance between arrives late.
    RestartWorkerTwice,
    /// A worker and its node agent restart, and a heartbeat of the former instance arrives late.
    RestartWorkerAndAgent,
    /// The followers stand still, and then the head; the times overlap.
    FreezeCore,
    /// All that node agents and edges send through a relay arrives late, also after they have given up the connection.
    HoldConnections,
    /// A node agent restarts, and what processes send on new connections through a relay arrives late.
    HoldGreetings,
    KillEdge,
    TerminateEdge,
    Member(MemberFault),
    KillCore,
    Configure,
}

/// A fault of one core member.
#[derive(Clone, Copy, Debug)]
pub(crate) enum MemberFault {
    KillHead,
    Kill,
    Wipe,
    FreezeHead,
    Freeze,
    TerminateHead,
}

/// All faults. A seed selects them by position, so reordering them changes the faults of every seed.
pub(crate) const FAULTS: [Fault; 14] = [
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

/// Faults with late heartbeats and members that stand still at the same time, beside losses of all kinds of processes.
pub(crate) const LATE_MESSAGE_FAULTS: [Fault; 12] = [
    Fault::DelayHeartbeat,
    Fault::RestartWorkerTwice,
    Fault::RestartWorkerAndAgent,
    Fault::FreezeCore,
    Fault::DelayHeartbeat,
    Fault::FreezeCore,
    Fault::KillAgent,
    Fault::FreezeAgent,
    Fault::CrashWorker,
    Fault::Member(MemberFault::KillHead),
    Fault::Member(MemberFault::FreezeHead),
    Fault::Configure,
];

/// Faults with late greetings, reports and calls, beside losses of all kinds of processes.
pub(crate) const LATE_CONNECTION_FAULTS: [Fault; 13] = [
    Fault::HoldConnections,
    Fault::HoldGreetings,
    Fault::HoldConnections,
    Fault::HoldGreetings,
    Fault::HoldConnections,
    Fault::KillAgent,
    Fault::FreezeAgent,
    Fault::CrashWorker,
    Fault::Member(MemberFault::KillHead),
    Fault::Member(MemberFault::FreezeHead),
    Fault::FreezeCore,
    Fault::KillEdge,
    Fault::Configure,
];

/// Injects faults and tracks those that have not been repaired.
pub(super) struct FaultInjector {
    random: SeededRandom,
    /// The faults to choose from.
    faults: &'static [Fault],
    /// Heartbeats that have not been delivered yet, with the times at which they arrive.
    delayed: Vec<(Moment, DelayedHeartbeat)>,
    /// Relays before the core members; none in runs without late connections.
    relays: Vec<Relay>,
    /// Indices of the relays that hold connections, with the times at which they release them.
    holding: Vec<(Moment, usize)>,
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
    pub(super) fn new(random: SeededRandom, faults: &'static [Fault], relays: Vec<Relay>) -> Self {
        FaultInjector {
            random,
            faults,
            delayed: Vec::new(),
            relays,
            holding: Vec::new(),
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
        let fault = self.random.choose(self.faults);
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
        self.deliver_due(cluster);
    }

    /// Repairs all faults and waits until the edges are ready.
    pub(super) fn repair_all(&mut self, cluster: &mut Cluster) {
        self.repair(cluster);
        while !self.delayed.is_empty() || !self.holding.is_empty() {
            pause(cluster, Duration::from_millis(*MESSAGE_DELAY_MS.start()));
            self.deliver_due(cluster);
        }
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
            Fault::DelayHeartbeat => self.delay_heartbeat(cluster, worker),
            Fault::RestartWorkerTwice => {
                let delayed = cluster.workers[worker].restart_twice();
                self.hold_back(cluster, delayed);
            }
            Fault::RestartWorkerAndAgent => {
                self.delay_heartbeat(cluster, worker);
                if self.is_healthy(sides[worker]) {
                    cluster.system.kill(sides[worker]);
                    cluster.start_machine(sides[worker]);
                }
            }
            Fault::FreezeCore => self.freeze_core(cluster),
            Fault::HoldConnections => self.hold_connections(cluster),
            Fault::HoldGreetings => self.hold_greetings(cluster, sides[worker]),
            Fault::KillEdge => self.kill(cluster, edges[0]),
            Fault::TerminateEdge => self.terminate_edge(cluster, edges[1]),
            Fault::Configure => self.configure(cluster),
            Fault::KillCore => self.kill_core(cluster),
            Fault::Member(fault) => self.inject_member_fault(cluster, fault),
        }
    }

    /// Restarts a worker; a heartbeat of its former instance arrives later.
    fn delay_heartbeat(&mut self, cluster: &Cluster, worker: usize) {
        let delayed = cluster.workers[worker].delay_heartbeat();
        cluster.workers[worker].restart();
        self.hold_back(cluster, delayed);
    }

    fn hold_back(&mut self, cluster: &Cluster, heartbeat: Option<DelayedHeartbeat>) {
        let delay = random_time(&mut self.random, &MESSAGE_DELAY_MS);
        let due = cluster.environment.now() + delay;
        self.delayed
            .extend(heartbeat.map(|heartbeat| (due, heartbeat)));
    }

    /// Holds the connections through a relay, and those that are opened through it meanwhile.
    fn hold_connections(&mut self, cluster: &Cluster) {
        let relay = self.hold_for_a_time(cluster);
        self.relays[relay].hold_open();
    }

    /// Restarts a node agent; connections that are opened through a relay meanwhile are held.
    fn hold_greetings(&mut self, cluster: &mut Cluster, side: MachineId) {
        self.hold_for_a_time(cluster);
        if self.is_healthy(side) {
            cluster.system.kill(side);
            cluster.start_machine(side);
        }
    }

    /// Makes a relay hold the connections that are opened from now on, for a random time. Returns the relay's index.
    fn hold_for_a_time(&mut self, cluster: &Cluster) -> usize {
        let relay = self.random.below(self.relays.len() as u64) as usize;
        let due = cluster.environment.now() + random_time(&mut self.random, &MESSAGE_DELAY_MS);
        self.relays[relay].hold_next();
        self.holding.push((due, relay));
        relay
    }

    /// Delivers the heartbeats and releases the connections whose time has come.
    fn deliver_due(&mut self, cluster: &Cluster) {
        let now = cluster.environment.now();
        for (_, relay) in self.holding.extract_if(.., |(due, _)| *due <= now) {
            self.relays[relay].release();
        }
        for (_, heartbeat) in self.delayed.extract_if(.., |(due, _)| *due <= now) {
            // The node agent may be down or frozen; the heartbeat is lost then.
            let _ = heartbeat.deliver();
        }
    }

    /// Freezes the followers, then the head, and resumes all of them, unless a member is faulty or catching up.
    fn freeze_core(&mut self, cluster: &mut Cluster) {
        let cores = cluster.system.cores();
        let all_up = cores.iter().all(|core| self.is_healthy(*core));
        if !all_up || cluster.environment.now() < self.core_recovered_at {
            return;
        }
        let head = cluster.head();
        let followers = cluster.other_cores(head);
        cluster.freeze_machines(&followers);
        pause(cluster, random_time(&mut self.random, &CORE_FREEZE_MS));
        cluster.freeze_machines(&[head]);
        pause(cluster, random_time(&mut self.random, &CORE_FREEZE_MS) / 2);
        cluster.thaw_machines(&followers);
        pause(cluster, random_time(&mut self.random, &CORE_FREEZE_MS) / 2);
        cluster.thaw_machines(&[head]);
        self.core_recovered_at = cluster.environment.now() + CATCH_UP;
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

/// Draws a time out of a range in milliseconds.
pub(super) fn random_time(random: &mut SeededRandom, range_ms: &RangeInclusive<u64>) -> Duration {
    let spread_ms = range_ms.end() - range_ms.start();
    Duration::from_millis(range_ms.start() + random.below(spread_ms + 1))
}

/// Lets time pass.
pub(super) fn pause(cluster: &Cluster, duration: Duration) {
    let never = || None::<()>;
    let signal = cluster.environment.signal();
    let timed_out = signal.wait_until("the end of a pause", duration, never);
    // The timeout is what is waited for.
    drop(timed_out);
}

fn accepted(cluster: &Cluster) -> usize {
    cluster.environment.read(Record::count_accepted)
}
