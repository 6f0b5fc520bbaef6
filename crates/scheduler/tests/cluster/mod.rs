//! A small cluster in virtual time round one scheduler: storage, companions, workers, clients; and the rules, checked
//! at every start.

#![allow(dead_code)] // each test file uses its part

mod idle_jobs;
mod invariants;
pub mod node;
mod setup;

use indigofold_protocol::config::Config;
use indigofold_protocol::internal::*;
use indigofold_protocol::job::{JobSpec, JobState};
use indigofold_protocol::task::{JobId, RunId, TaskName};
use indigofold_protocol::worker::RunEnd;
use indigofold_scheduler::{
    AgentId, CallerId, Effect, Event, LateEnd, RowChange, Scheduler, WriteId,
};
use node::{ActiveRun, GANG_MS, Node};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub use setup::*;

/// Time of day at the beginning.
pub const WALL_MS: u64 = 1_700_000_000_000;
/// A write is committed after this time.
const COMMIT_MS: u64 = 12;
/// Messages take this time.
const NET_MS: u64 = 2;

/// Random numbers of a test.
pub struct TestRng(u64);

impl TestRng {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// What the clients know about a job.
#[derive(Debug, Default)]
pub struct ClientJob {
    pub spec: JobSpec,
    pub route: String,
    pub sent_ms: u64,
    pub accepted_ms: Option<u64>,
    pub rejected: bool,
    pub cancelled_ms: Option<u64>,
    pub state: Option<JobState>,
    pub ended_ms: Option<u64>,
}

/// What workers have seen of a task.
#[derive(Debug, Default)]
pub struct TaskHistory {
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

pub struct Cluster {
    pub now_ms: u64,
    pub rng: TestRng,
    pub scheduler: Scheduler,
    pub epoch: u64,
    pub rows: BTreeMap<Vec<u8>, Vec<u8>>,
    writes: VecDeque<(u64, WriteId, Vec<RowChange>)>,
    messages: VecDeque<(u64, Message)>,
    pub nodes: Vec<Node>,
    connections: BTreeMap<AgentId, usize>,
    next_connection: u64,
    next_call: u64,
    calls: BTreeMap<u64, (JobId, bool)>,
    pub jobs: BTreeMap<JobId, ClientJob>,
    pub history: BTreeMap<TaskName, TaskHistory>,
    pub config: Arc<Config>,
    pub work: BTreeMap<TaskName, (u64, u32)>,
    pub replies: Vec<ClientReply>,
    pub ended_alone: u32,
    pub fault_free: bool,
    /// Late ends that were told.
    pub late: Vec<LateEnd>,
    pub writes_made: u64,
    pub stopped_core_ms: f64,
    /// How far the scheduler's time of day is off.
    pub clock_step_ms: i64,
    /// Jobs must not sit idle while there is room (the 3 s rule); since when they do.
    pub checks_idle: bool,
    idle_since: BTreeMap<JobId, u64>,
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        Self::with_nodes(seed, nodes())
    }

    pub fn with_nodes(seed: u64, nodes: Vec<Node>) -> Self {
        let mut cluster = Cluster {
            now_ms: 1_000,
            rng: TestRng(seed.wrapping_mul(77) + 5),
            scheduler: Scheduler::new(bounds(), 1, seed, 1_000, WALL_MS + 1_000),
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
            ended_alone: 0,
            fault_free: true,
            late: Vec::new(),
            writes_made: 0,
            stopped_core_ms: 0.0,
            clock_step_ms: 0,
            checks_idle: false,
            idle_since: BTreeMap::new(),
        };
        cluster.handle(Event::Config(cluster.config.clone()));
        (0..cluster.nodes.len()).for_each(|node| cluster.connect(node));
        cluster
    }

    pub fn wall_ms(&self) -> u64 {
        WALL_MS + self.now_ms
    }

    pub fn handle(&mut self, event: Event) {
        let mut effects = Vec::new();
        let now_ms = self.now_ms;
        let wall_ms = self.wall_ms().saturating_add_signed(self.clock_step_ms);
        self.scheduler.handle(now_ms, wall_ms, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Write { write, changes } => {
                    self.writes_made += 1;
                    self.writes.push_back((now_ms + COMMIT_MS, write, changes));
                }
                Effect::Reply { reply, .. } => self.handle_reply(reply),
                Effect::Late(end) => self.late.push(*end),
                Effect::Orders { agent, orders } => {
                    self.messages
                        .push_back((now_ms + NET_MS, Message::Orders(agent, orders)));
                }
            }
        }
    }

    // -- connections ------------------------------------------------------------------------------------------------

    pub fn connect(&mut self, node: usize) {
        let agent = AgentId(self.next_connection);
        self.next_connection += 1;
        self.connections.insert(agent, node);
        let at = &mut self.nodes[node];
        (at.connected, at.run_list_sent, at.report_now) = (true, false, true);
        let node_name = at.name.clone();
        self.handle(Event::AgentConnected { agent, node_name });
    }

    pub fn disconnect(&mut self, node: usize) {
        let ended_instances: Vec<AgentId> = self
            .connections
            .iter()
            .filter(|(_, at)| **at == node)
            .map(|(id, _)| *id)
            .collect();
        self.nodes[node].connected = false;
        for agent in ended_instances {
            self.connections.remove(&agent);
            self.handle(Event::AgentDisconnected(agent));
        }
    }

    /// The head dies; its successor takes over what is committed.
    pub fn fail_over(&mut self) {
        self.epoch += 1;
        let committed = self.rng.below(self.writes.len() as u64 + 1) as usize;
        for (_, _, changes) in std::mem::take(&mut self.writes).into_iter().take(committed) {
            apply(&mut self.rows, changes);
        }
        self.messages.clear();
        self.connections.clear();
        self.calls.clear();
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        self.scheduler = Scheduler::new(bounds(), self.epoch, self.epoch, now_ms, wall_ms);
        self.scheduler
            .load(self.rows.clone())
            .expect("rows are readable");
        self.handle(Event::Config(self.config.clone()));
        for node in 0..self.nodes.len() {
            if self.nodes[node].connected {
                self.connect(node);
            }
        }
    }

    // -- clients ----------------------------------------------------------------------------------------------------

    fn call(&mut self, id: JobId, path: String, operation: ClientOperation, cancel: bool) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, (id, cancel));
        let call = ClientCall {
            call,
            host: "h".to_owned(),
            path,
            operation,
        };
        self.handle(Event::Call {
            from: CallerId(1),
            call,
        });
    }

    pub fn submit(&mut self, route: &str, id: u64, spec: JobSpec) -> JobId {
        let id = JobId(id);
        let entry = self.jobs.entry(id).or_default();
        if entry.sent_ms == 0 {
            (entry.spec, entry.route, entry.sent_ms) =
                (spec.clone(), route.to_owned(), self.now_ms);
        }
        self.call(
            id,
            format!("/{route}/{id}"),
            ClientOperation::Submit(spec),
            false,
        );
        id
    }

    pub fn get(&mut self, id: JobId) {
        let route = self.jobs[&id].route.clone();
        self.call(id, format!("/{route}/{id}"), ClientOperation::Get, false);
    }

    pub fn cancel(&mut self, id: JobId) {
        let route = self.jobs[&id].route.clone();
        self.call(id, format!("/{route}/{id}"), ClientOperation::Cancel, true);
    }

    fn handle_reply(&mut self, reply: ClientReply) {
        self.replies.push(reply.clone());
        let Some((id, _)) = self.calls.remove(&reply.call) else {
            return;
        };
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match reply.outcome {
            ClientOutcome::Accepted => {
                job.accepted_ms.get_or_insert(now_ms);
            }
            ClientOutcome::Cancelled => {
                job.cancelled_ms.get_or_insert(now_ms);
            }
            ClientOutcome::Invalid { .. } | ClientOutcome::TooMany { .. } => job.rejected = true,
            ClientOutcome::State(state) => {
                if matches!(
                    state,
                    JobState::Completed | JobState::Failed | JobState::Cancelled
                ) {
                    job.ended_ms.get_or_insert(now_ms);
                }
                assert!(
                    !matches!(job.state, Some(JobState::Completed)) || state == JobState::Completed,
                    "{id} was completed and is {state:?}"
                );
                job.state = Some(state);
                if state == JobState::Completed {
                    self.check_completed(id);
                }
            }
            ClientOutcome::NoSuchJob => {
                let open = job.accepted_ms.is_some()
                    && job.ended_ms.is_none()
                    && job.cancelled_ms.is_none();
                assert!(!open, "LOST: {id} is unknown");
            }
            _ => {}
        }
    }

    // -- time -------------------------------------------------------------------------------------------------------

    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 1;
            self.advance();
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.now_ms + ms);
    }

    fn advance(&mut self) {
        while self
            .writes
            .front()
            .is_some_and(|(at, ..)| *at <= self.now_ms)
        {
            let Some((_, write, changes)) = self.writes.pop_front() else {
                break;
            };
            apply(&mut self.rows, changes);
            self.handle(Event::Committed(write));
        }
        while self
            .messages
            .front()
            .is_some_and(|(at, _)| *at <= self.now_ms)
        {
            let Some((_, message)) = self.messages.pop_front() else {
                break;
            };
            self.deliver(message);
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
                    self.handle(Event::Report { agent, report });
                }
            }
        }
    }

    fn record_acknowledged_ends(&mut self, node: usize, acknowledged: u64) {
        let at = &mut self.nodes[node];
        assert!(
            acknowledged < at.next_end,
            "an end was acknowledged that was never listed"
        );
        let before = at.acknowledged;
        at.acknowledged = before.max(acknowledged);
        for end in at
            .ends
            .iter()
            .filter(|end| end.number > before && end.number <= acknowledged)
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
        at.ends.retain(|end| end.number > acknowledged);
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
                .find(|(_, at)| **at == node)
                .map(|(id, _)| *id);
            let Some(agent) = agent else { return };
            self.messages
                .push_back((now_ms + NET_MS, Message::Report(agent, report)));
        }
    }

    fn run_node(&mut self, node: usize) {
        let now_ms = self.now_ms;
        if now_ms >= self.nodes[node].leased_until_ms {
            let expired: Vec<RunId> = self.nodes[node].running.keys().copied().collect();
            expired
                .into_iter()
                .for_each(|run| self.nodes[node].end(run, RunEnd::Expired, String::new()));
        }
        if let Some(until_ms) = self.nodes[node].drain_end_ms
            && now_ms >= until_ms
        {
            self.nodes[node].crash(now_ms, 3_000);
        }
        let runs: Vec<(RunId, ActiveRun)> = self.nodes[node]
            .running
            .iter()
            .map(|(run, at)| (*run, at.clone()))
            .collect();
        for (run, at) in runs {
            self.advance_run(node, run, &at);
        }
    }

    fn advance_run(&mut self, node: usize, run: RunId, at: &ActiveRun) {
        let now_ms = self.now_ms;
        let Some(step) = self.jobs[&run.task.job]
            .spec
            .stages
            .get(run.task.step as usize)
            .cloned()
        else {
            return;
        };
        if at.stop_ms.is_some_and(|stop| now_ms >= stop) {
            let ran_ms = at.began_ms.map_or(0, |began| now_ms - began);
            self.stopped_core_ms += ran_ms as f64 * at.order.resources.cpu as f64 / 1_000.0;
            return self.nodes[node].end(run, RunEnd::Stopped, at.checkpoint(now_ms));
        }
        let Some(began_ms) = at.began_ms else {
            return self.wait_for_gang(node, run, at, step.count);
        };
        let (work_ms, failures) = self
            .work
            .get(&run.task)
            .copied()
            .unwrap_or((step.estimate_ms, 0));
        if step.long_running || self.nodes[node].hangs || now_ms < began_ms + work_ms {
            return;
        }
        let failed_attempts = self
            .history
            .get(&run.task)
            .map_or(0, |h| h.failed_acknowledged.len() as u32);
        if self.nodes[node].fails || failed_attempts < failures {
            self.nodes[node].end(run, RunEnd::Failed, String::new());
            return self.break_gang(run, step.gang);
        }
        self.nodes[node].end(run, RunEnd::Done, String::new());
        self.history.entry(run.task).or_default().done = true;
        if step.gang {
            self.end_gang(run);
        }
    }

    fn gang_members(&self, run: RunId) -> Vec<(usize, RunId)> {
        let same = |other: &RunId| {
            other.attempt == run.attempt
                && (other.task.job, other.task.repeat, other.task.step)
                    == (run.task.job, run.task.repeat, run.task.step)
        };
        let on = |(node, at): (usize, &Node)| {
            let here: Vec<(usize, RunId)> = at
                .running
                .keys()
                .filter(|r| same(r))
                .map(|r| (node, *r))
                .collect();
            here
        };
        self.nodes.iter().enumerate().flat_map(on).collect()
    }

    fn wait_for_gang(&mut self, node: usize, run: RunId, at: &ActiveRun, count: u32) {
        let members = self.gang_members(run);
        if members.len() as u32 == count {
            for (node, run) in members {
                if let Some(at) = self.nodes[node].running.get_mut(&run) {
                    at.began_ms = Some(self.now_ms);
                }
            }
        } else if self.now_ms >= at.arrived_ms + GANG_MS {
            self.ended_alone += 1;
            assert!(!self.fault_free, "GANG: {} ended alone", run.task);
            self.nodes[node].end(run, RunEnd::Alone, String::new());
        }
    }

    fn end_gang(&mut self, run: RunId) {
        for (node, member) in self.gang_members(run) {
            self.nodes[node].end(member, RunEnd::Done, String::new());
            self.history.entry(member.task).or_default().done = true;
        }
    }

    fn break_gang(&mut self, run: RunId, gang: bool) {
        if gang {
            for (node, member) in self.gang_members(run) {
                self.nodes[node].end(member, RunEnd::Broken, String::new());
            }
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
