//! A simulated cluster around one scheduler, in virtual time: storage, node agents, workers and clients, with checks of
//! the invariants.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod clients;
mod idle_jobs;
mod invariants;
mod long_running_tasks;
pub(crate) mod node;
pub(crate) mod pending;
mod running;
mod setup;

use indigofold_protocol::config::Config;
use indigofold_protocol::internal::*;
use indigofold_protocol::job::{JobSpec, JobState};
use indigofold_protocol::task::{JobId, TaskName};
use indigofold_protocol::worker::RunEnd;
use indigofold_scheduler::{AgentId, Effect, Epoch, Event, LateEnd, RowChange, Scheduler, WriteId};
use long_running_tasks::LongRunningTasks;
use node::Node;
use pending::ReportedBegins;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub(crate) use setup::*;

/// Wall-clock time at zero of the monotonic clock, as Unix time in milliseconds.
pub(crate) const WALL_MS: u64 = 1_700_000_000_000;
/// Time from a write to its commit.
const COMMIT_MS: u64 = 12;
/// Time after which all workers have registered.
const REGISTRATION_MS: u64 = 200;
/// Time after which a reply to a client has arrived.
const REPLY_MS: u64 = 50;
/// Time after which all leases of a disconnected node agent have expired, whatever the rates of the clocks.
pub(crate) const EXPIRED_MS: u64 = (LEASE_AUTHORITY_MS + RUN_LEASE_MS) * 105 / 100 + 300;
/// Network delay of each message.
const NET_MS: u64 = 2;

/// Random number generator of a test (a linear congruential generator).
pub(crate) struct TestRng(u64);

impl TestRng {
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// State of a job as its client knows it.
#[derive(Debug, Default)]
pub(crate) struct ClientJob {
    pub spec: JobSpec,
    pub route: String,
    pub sent_ms: u64,
    pub accepted_ms: Option<u64>,
    pub rejected: bool,
    /// Whether a cancellation was ever sent.
    pub cancel_sent: bool,
    pub cancelled_ms: Option<u64>,
    pub state: Option<JobState>,
    pub ended_ms: Option<u64>,
}

/// History of a task's runs on all workers.
#[derive(Debug, Default)]
pub(crate) struct TaskHistory {
    pub done: bool,
    pub done_acknowledged: bool,
    pub done_acknowledged_ms: Option<u64>,
    pub failed_acknowledged: BTreeSet<u32>,
    pub starts: u32,
}

enum Message {
    Orders(AgentId, AgentOrders),
    Report(AgentId, AgentReport),
}

struct MessageInTransit {
    arrives_ms: u64,
    message: Message,
}

/// A write that is not committed yet.
struct PendingWrite {
    commits_ms: u64,
    write: WriteId,
    changes: Vec<RowChange>,
}

/// Behaviour of a task's runs, if it differs from what the step specifies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskWork {
    /// Time that each run works, in milliseconds.
    pub run_ms: u64,
    /// Number of runs that fail before one succeeds.
    pub failures: u32,
}

/// The simulated cluster.
pub(crate) struct Cluster {
    pub now_ms: u64,
    pub rng: TestRng,
    pub scheduler: Scheduler,
    pub epoch: u64,
    pub rows: BTreeMap<Vec<u8>, Vec<u8>>,
    writes: VecDeque<PendingWrite>,
    messages: VecDeque<MessageInTransit>,
    pub nodes: Vec<Node>,
    connections: BTreeMap<AgentId, usize>,
    next_connection: u64,
    next_call: u64,
    calls: BTreeMap<u64, JobId>,
    pub jobs: BTreeMap<JobId, ClientJob>,
    pub history: BTreeMap<TaskName, TaskHistory>,
    pub config: Arc<Config>,
    work: BTreeMap<TaskName, TaskWork>,
    pub replies: Vec<ClientReply>,
    /// Whether the test injects no faults that may leave a gang incomplete.
    pub fault_free: bool,
    /// Late ends that the scheduler has reported.
    pub late_ends: Vec<LateEnd>,
    pub writes_made: u64,
    /// Work lost by stops, in core-milliseconds.
    pub stopped_core_ms: f64,
    /// Offset of the scheduler's wall-clock time from the true one, in milliseconds.
    pub clock_step_ms: i64,
    /// Whether the cluster checks that no job and no long-running task stays idle, see [`idle_jobs`].
    pub checks_idle: bool,
    /// When the last fault was over, as far as the test has recorded it; `None` before any.
    last_fault_ms: Option<u64>,
    /// The long-running tasks, as the check for idle ones has seen them.
    long_running_tasks: LongRunningTasks,
    /// Since when each idle job has been idle.
    idle_since: BTreeMap<JobId, u64>,
    /// Whether runs of steps without checkpoints make some, too.
    pub all_runs_make_checkpoints: bool,
    /// Whether the cluster checks the counts of pending jobs, see [`pending`].
    pub checks_pending: bool,
    /// The beginnings of jobs that were reported to heads.
    begins: ReportedBegins,
}

impl Cluster {
    pub(crate) fn new(seed: u64) -> Self {
        Self::with_nodes(seed, nodes())
    }

    pub(crate) fn with_nodes(seed: u64, nodes: Vec<Node>) -> Self {
        let mut cluster = Cluster {
            now_ms: 1_000,
            rng: TestRng(seed.wrapping_mul(77) + 5),
            scheduler: Scheduler::new(bounds(), Epoch(1), seed, 1_000, WALL_MS + 1_000),
            epoch: 1,
            rows: BTreeMap::new(),
            writes: VecDeque::new(),
            messages: VecDeque::new(),
            nodes,
            connections: BTreeMap::new(),
            next_connection: 1,
            next_call: 1,
            calls: BTreeMap::new(),
            jobs: BTreeMap::new(),
            history: BTreeMap::new(),
            config: Arc::new(config()),
            work: BTreeMap::new(),
            replies: Vec::new(),
            fault_free: true,
            late_ends: Vec::new(),
            writes_made: 0,
            stopped_core_ms: 0.0,
            clock_step_ms: 0,
            checks_idle: false,
            last_fault_ms: None,
            long_running_tasks: LongRunningTasks::default(),
            idle_since: BTreeMap::new(),
            all_runs_make_checkpoints: true,
            checks_pending: true,
            begins: ReportedBegins::default(),
        };
        cluster.handle(Event::Config(cluster.config.clone()));
        (0..cluster.nodes.len()).for_each(|node| cluster.connect(node));
        cluster
    }

    /// A cluster whose workers have registered.
    pub(crate) fn started(seed: u64) -> Self {
        let mut cluster = Cluster::new(seed);
        cluster.run_for(REGISTRATION_MS);
        cluster
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        WALL_MS + self.now_ms
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut effects = Vec::new();
        let now_ms = self.now_ms;
        let wall_ms = self.wall_ms().saturating_add_signed(self.clock_step_ms);
        self.scheduler.handle(now_ms, wall_ms, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Write { write, changes } => {
                    self.writes_made += 1;
                    self.writes.push_back(PendingWrite {
                        commits_ms: now_ms + COMMIT_MS,
                        write,
                        changes,
                    });
                }
                Effect::Reply { reply, .. } => self.handle_reply(reply),
                Effect::LateEnd(end) => self.late_ends.push(*end),
                Effect::Orders { agent, orders } => {
                    self.send(Message::Orders(agent, orders));
                }
            }
        }
    }

    pub(crate) fn connect(&mut self, node: usize) {
        let agent = AgentId(self.next_connection);
        self.next_connection += 1;
        self.connections.insert(agent, node);
        let state = &mut self.nodes[node];
        (state.connected, state.running_reported, state.report_now) = (true, false, true);
        let node_name = state.name.clone();
        self.handle(Event::AgentConnected { agent, node_name });
    }

    /// Index of the first node that has a run.
    pub(crate) fn busy_node(&self) -> usize {
        let mut nodes = self.nodes.iter();
        let node = nodes.position(|node| !node.running.is_empty());
        node.expect("a node has a run")
    }

    pub(crate) fn disconnect(&mut self, node: usize) {
        let closed_connections: Vec<AgentId> = self
            .connections
            .iter()
            .filter(|(_, index)| **index == node)
            .map(|(id, _)| *id)
            .collect();
        self.nodes[node].connected = false;
        for agent in closed_connections {
            self.connections.remove(&agent);
            self.handle(Event::AgentDisconnected(agent));
        }
    }

    /// The head fails. A random number of its pending writes is still committed, and a new head takes over from the
    /// rows.
    pub(crate) fn fail_over(&mut self) {
        self.epoch += 1;
        let committed_writes = self.rng.below(self.writes.len() as u64 + 1) as usize;
        for pending in std::mem::take(&mut self.writes)
            .into_iter()
            .take(committed_writes)
        {
            apply(&mut self.rows, pending.changes);
        }
        self.begins.head_lost(self.now_ms);
        self.messages.clear();
        self.connections.clear();
        self.calls.clear();
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        self.scheduler = Scheduler::new(bounds(), Epoch(self.epoch), self.epoch, now_ms, wall_ms);
        self.scheduler
            .load(self.rows.clone())
            .expect("the stored rows are readable");
        self.handle(Event::Config(self.config.clone()));
        for node in 0..self.nodes.len() {
            if self.nodes[node].connected {
                self.connect(node);
            }
        }
    }

    /// The head announces that it does not act, and right afterwards that it acts again: the node agents drop the orders in
    /// transit, and report everything anew on the same connections.
    pub(crate) fn suspend_head(&mut self) {
        self.messages
            .retain(|transit| !matches!(transit.message, Message::Orders(..)));
        self.scheduler.expect_full_reports();
        for node in self.nodes.iter_mut().filter(|node| node.connected) {
            (node.running_reported, node.report_now) = (false, true);
        }
    }

    pub(crate) fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 1;
            self.advance();
        }
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        self.run_until(self.now_ms + ms);
    }

    fn advance(&mut self) {
        while self
            .writes
            .front()
            .is_some_and(|pending| pending.commits_ms <= self.now_ms)
        {
            let Some(pending) = self.writes.pop_front() else {
                break;
            };
            apply(&mut self.rows, pending.changes);
            self.handle(Event::Committed(pending.write));
        }
        while self
            .messages
            .front()
            .is_some_and(|transit| transit.arrives_ms <= self.now_ms)
        {
            let Some(transit) = self.messages.pop_front() else {
                break;
            };
            self.deliver(transit.message);
        }
        for node in 0..self.nodes.len() {
            self.advance_node(node);
        }
        if self.now_ms >= self.scheduler.next_timer_ms() {
            self.handle(Event::Timer);
        }
        if self.checks_idle && self.now_ms.is_multiple_of(20) {
            self.check_idle();
        }
        if self.checks_pending && self.now_ms.is_multiple_of(pending::CHECK_INTERVAL_MS) {
            self.check_pending();
        }
    }

    /// Histories of the job's tasks that had runs.
    fn history_of(&self, job: JobId) -> impl Iterator<Item = (&TaskName, &TaskHistory)> {
        let first_task = first_task(job, 0);
        let histories = self.history.range(first_task..);
        histories.take_while(move |(task, _)| task.job == job)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Orders(agent, orders) => {
                let Some(&node) = self.connections.get(&agent) else {
                    return;
                };
                let now_ms = self.now_ms;
                if let Some(acknowledged) = self.nodes[node].orders(now_ms, orders) {
                    self.record_acknowledged_ends(node, acknowledged);
                }
            }
            Message::Report(agent, report) => {
                if self.connections.contains_key(&agent) {
                    self.begins.record_report(&report, self.now_ms);
                    self.handle(Event::Report { agent, report });
                }
            }
        }
    }

    fn send(&mut self, message: Message) {
        let arrives_ms = self.now_ms + NET_MS;
        self.messages.push_back(MessageInTransit {
            arrives_ms,
            message,
        });
    }

    fn record_acknowledged_ends(&mut self, node: usize, acknowledged_end: u64) {
        let state = &mut self.nodes[node];
        assert!(
            acknowledged_end < state.next_end,
            "end {acknowledged_end} was acknowledged but never reported"
        );
        let former_end = state.acknowledged;
        state.acknowledged = former_end.max(acknowledged_end);
        for end in state
            .ends
            .iter()
            .filter(|end| end.number > former_end && end.number <= acknowledged_end)
        {
            let history = self.history.entry(end.run.task).or_default();
            match end.end {
                RunEnd::Done => {
                    history.done_acknowledged = true;
                    history.done_acknowledged_ms.get_or_insert(self.now_ms);
                }
                RunEnd::Failed => {
                    history.failed_acknowledged.insert(end.run.attempt);
                }
                _ => {}
            }
        }
        state.ends.retain(|end| end.number > acknowledged_end);
    }

    fn advance_node(&mut self, node: usize) {
        let now_ms = self.now_ms;
        if !self.nodes[node].up && now_ms >= self.nodes[node].boot_ms {
            self.nodes[node].up = true;
            self.nodes[node].report_now = true;
        }
        for order in self.nodes[node].heartbeat(now_ms) {
            self.start(node, order);
        }
        self.run_node(node);
        if let Some(report) = self.nodes[node].report(now_ms) {
            let agent = self
                .connections
                .iter()
                .find(|(_, index)| **index == node)
                .map(|(id, _)| *id);
            let Some(agent) = agent else { return };
            self.send(Message::Report(agent, report));
        }
    }
}

fn apply(rows: &mut BTreeMap<Vec<u8>, Vec<u8>>, changes: Vec<RowChange>) {
    for change in changes {
        match change.value {
            Some(value) => rows.insert(change.key, value),
            None => rows.remove(&change.key),
        };
    }
}
