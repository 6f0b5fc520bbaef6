//! One worker instance, as its node agent reports it: capacity, state, runs.

use crate::api::AgentId;
use crate::health::WorkerHealth;
use crate::unexpected_runs::UnexpectedRuns;
use indigofold_protocol::internal::InstanceReport;
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;
use indigofold_protocol::worker::WorkerState;
use std::collections::BTreeSet;

/// A worker whose node agent has not reported for this time gets no new starts.
const REPORT_FRESH_MS: u64 = 1_000;
/// A worker without a heartbeat for this time gets no new starts.
const UNRESPONSIVE_MS: u64 = 1_500;

/// Number of a worker instance; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct WorkerId(pub u32);

/// One worker instance.
#[derive(Debug)]
pub(crate) struct Worker {
    instance: String,
    /// Machine that it and its node agent run on; unknown until it reports.
    node_name: Option<String>,
    /// Machine that its row names, if it has one.
    recorded_node: Option<String>,
    agent: Option<AgentId>,
    backend: String,
    state: WorkerState,
    drain_end_ms: Option<u64>,
    capacity: Resources,
    labels: Vec<String>,
    /// What outstanding runs take.
    used: Resources,
    /// What of this is used by runs that were bound to a kind.
    used_bound: Resources,
    runs: BTreeSet<TaskName>,
    /// A full report was received on the present connection.
    full_report_received: bool,
    /// When its node agent reported last.
    last_report_ms: u64,
    since_heartbeat_ms: u64,
    /// When a report of its node agent was answered last; before that, when this scheduler took over.
    answered_ms: u64,
    /// When its leases expired without a report; `None` while they may be valid.
    expired_ms: Option<u64>,
    unexpected: UnexpectedRuns,
    /// Number of the newest end that was handled.
    handled_end: u64,
    /// Number of the newest end that is committed.
    committed_end: u64,
    /// No new starts before this time.
    backoff_until_ms: u64,
    /// It warms up until then.
    warm_up_until_ms: u64,
    health: WorkerHealth,
}

impl Worker {
    /// An instance that has not been reported yet; `now_ms` is the steady clock.
    pub(crate) fn new(instance: String, now_ms: u64) -> Self {
        Worker {
            instance,
            node_name: None,
            recorded_node: None,
            agent: None,
            backend: String::new(),
            state: WorkerState::Ready,
            drain_end_ms: None,
            capacity: Resources::default(),
            labels: Vec::new(),
            used: Resources::default(),
            used_bound: Resources::default(),
            runs: BTreeSet::new(),
            full_report_received: false,
            last_report_ms: now_ms,
            since_heartbeat_ms: 0,
            answered_ms: now_ms,
            expired_ms: None,
            unexpected: UnexpectedRuns::default(),
            handled_end: 0,
            committed_end: 0,
            backoff_until_ms: 0,
            warm_up_until_ms: 0,
            health: WorkerHealth::default(),
        }
    }

    /// Its id among workers.
    pub(crate) fn instance(&self) -> &str {
        &self.instance
    }

    /// Connection over which it is reported.
    pub(crate) fn agent(&self) -> Option<AgentId> {
        self.agent
    }

    /// Service it belongs to; empty until it reports.
    pub(crate) fn backend(&self) -> &str {
        &self.backend
    }

    /// Whether it takes new work.
    pub(crate) fn state(&self) -> WorkerState {
        self.state
    }

    /// When its drain ends, while it is draining.
    pub(crate) fn drain_end_ms(&self) -> Option<u64> {
        self.drain_end_ms
    }

    /// What it has.
    pub(crate) fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Its labels.
    pub(crate) fn labels(&self) -> &[String] {
        &self.labels
    }

    /// What outstanding runs take.
    pub(crate) fn used(&self) -> Resources {
        self.used
    }

    /// Tasks with an outstanding run here.
    pub(crate) fn runs(&self) -> &BTreeSet<TaskName> {
        &self.runs
    }

    /// Time since its last heartbeat when its node agent reported last, in milliseconds.
    pub(crate) fn since_heartbeat_ms(&self) -> u64 {
        self.since_heartbeat_ms
    }

    /// Its health by the results of its runs.
    pub(crate) fn health(&self) -> &WorkerHealth {
        &self.health
    }

    /// Its health by the results of its runs.
    pub(crate) fn health_mut(&mut self) -> &mut WorkerHealth {
        &mut self.health
    }

    /// Runs that must not be there.
    pub(crate) fn unexpected_mut(&mut self) -> &mut UnexpectedRuns {
        &mut self.unexpected
    }

    /// Its node agent has sent a full report; returns whether that is the first on this connection.
    pub(crate) fn record_full_report(&mut self) -> bool {
        !std::mem::replace(&mut self.full_report_received, true)
    }

    /// Applies what a report says about the instance; returns whether its kind or readiness changed.
    pub(crate) fn apply_report(&mut self, now_ms: u64, report: &InstanceReport) -> bool {
        let changed = self.backend != report.backend
            || self.capacity != report.capacity
            || self.labels != report.labels
            || self.state != report.state;
        if changed {
            self.backend.clone_from(&report.backend);
            self.labels.clone_from(&report.labels);
            (self.capacity, self.state) = (report.capacity, report.state);
        }
        self.drain_end_ms = report.remaining_ms.map(|left| now_ms + left);
        self.warm_up_until_ms = now_ms + report.warmup_remaining_ms;
        (self.last_report_ms, self.since_heartbeat_ms) = (now_ms, report.since_heartbeat_ms);
        changed
    }

    /// The instance is on this machine; returns whether that is new.
    pub(crate) fn set_node(&mut self, node_name: &str) -> bool {
        let changed = self.node_name.as_deref() != Some(node_name);
        if changed {
            self.node_name = Some(node_name.to_owned());
        }
        changed
    }

    /// Machine that it and its node agent run on; unknown until it reports.
    pub(crate) fn node_name(&self) -> Option<&str> {
        self.node_name.as_deref()
    }

    /// Its row names this machine; returns whether that is new.
    pub(crate) fn set_recorded_node(&mut self, node_name: &str) -> bool {
        let changed = self.recorded_node.as_deref() != Some(node_name);
        if changed {
            self.recorded_node = Some(node_name.to_owned());
        }
        changed
    }

    /// Whether it has a row.
    pub(crate) fn is_recorded(&self) -> bool {
        self.recorded_node.is_some()
    }

    /// It is reported over this connection.
    pub(crate) fn attach(&mut self, agent: AgentId) {
        if self.agent != Some(agent) {
            (self.agent, self.full_report_received) = (Some(agent), false);
            self.unexpected.forget_listed();
        }
    }

    /// It is not reported over any connection.
    pub(crate) fn detach(&mut self) {
        (self.agent, self.full_report_received) = (None, false);
    }

    /// A report of its node agent is answered: its leases may be valid from now on.
    pub(crate) fn answered(&mut self, now_ms: u64) {
        self.answered_ms = now_ms;
    }

    /// When a report of its node agent was answered last; before that, when this scheduler took over.
    pub(crate) fn answered_ms(&self) -> u64 {
        self.answered_ms
    }

    /// Its leases have expired without a report.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.expired_ms = Some(now_ms);
    }

    /// It is reported again; returns whether its leases had expired.
    pub(crate) fn revive(&mut self) -> bool {
        self.expired_ms.take().is_some()
    }

    /// When its leases expired; `None` while they may be valid.
    pub(crate) fn expired_ms(&self) -> Option<u64> {
        self.expired_ms
    }

    /// Ends up to this number have been handled.
    pub(crate) fn handle_ends_until(&mut self, number: u64) {
        self.handled_end = number;
    }

    /// Number of the newest end that was handled.
    pub(crate) fn handled_end(&self) -> u64 {
        self.handled_end
    }

    /// Ends up to this number are committed.
    pub(crate) fn commit_ends_until(&mut self, number: u64) {
        self.committed_end = self.committed_end.max(number);
    }

    /// Number of the newest end that is committed, if any.
    pub(crate) fn acknowledged_end(&self) -> Option<u64> {
        (self.committed_end > 0).then_some(self.committed_end)
    }

    /// It gets no new starts before this time.
    pub(crate) fn back_off_until(&mut self, until_ms: u64) {
        self.backoff_until_ms = until_ms;
    }

    /// Whether it has warmed up by this time.
    pub(crate) fn is_warm(&self, now_ms: u64) -> bool {
        self.warm_up_until_ms <= now_ms
    }

    /// Whether it or its node agent has not been heard from for longer than this.
    pub(crate) fn is_unresponsive_for(&self, limit_ms: u64, now_ms: u64) -> bool {
        self.agent.is_none()
            || now_ms.saturating_sub(self.last_report_ms) > limit_ms
            || self.since_heartbeat_ms > limit_ms
    }

    /// What runs take that were bound to a kind.
    pub(crate) fn used_bound(&self) -> Resources {
        self.used_bound
    }

    /// Connection over which orders can be sent: one on which a full report was received.
    pub(crate) fn order_connection(&self) -> Option<AgentId> {
        self.agent.filter(|_| self.full_report_received)
    }

    /// Whether it may be sent new runs now.
    pub(crate) fn accepts_starts(&self, now_ms: u64) -> bool {
        self.is_responsive(now_ms)
            && self.full_report_received
            && self.expired_ms.is_none()
            && self.unexpected.is_empty()
            && now_ms >= self.backoff_until_ms
    }

    /// Whether it is connected, ready and heard from recently; a backoff does not matter.
    pub(crate) fn is_responsive(&self, now_ms: u64) -> bool {
        self.agent.is_some()
            && self.state == WorkerState::Ready
            && now_ms.saturating_sub(self.last_report_ms) < REPORT_FRESH_MS
            && self.since_heartbeat_ms < UNRESPONSIVE_MS
    }

    /// Free capacity.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    /// Whether these resources fit beside what runs.
    pub(crate) fn has_capacity(&self, resources: &Resources) -> bool {
        self.capacity.can_fit(&self.used.plus(resources))
    }

    /// Takes capacity for a run.
    pub(crate) fn occupy(&mut self, task: TaskName, resources: &Resources, bound: bool) {
        self.runs.insert(task);
        self.used = self.used.plus(resources);
        if bound {
            self.used_bound = self.used_bound.plus(resources);
        }
    }

    /// Frees the capacity of a run.
    pub(crate) fn release(&mut self, task: &TaskName, resources: &Resources, bound: bool) {
        if self.runs.remove(task) {
            self.used = self.used.minus(resources);
            if bound {
                self.used_bound = self.used_bound.minus(resources);
            }
        }
    }

    /// Rack, if a label names one.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.labels
            .iter()
            .map(String::as_str)
            .find(|label| is_rack(label))
    }
}

/// Whether a label names a rack: `r`, digits, `-`, digits.
pub(crate) fn is_rack(label: &str) -> bool {
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let parts = label
        .strip_prefix('r')
        .and_then(|rest| rest.split_once('-'));
    parts.is_some_and(|(row, rack)| digits(row) && digits(rack))
}
