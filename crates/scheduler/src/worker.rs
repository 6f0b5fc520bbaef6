//! State of one worker instance: what its node agent reports (capacity, labels, drain), its outstanding runs, its
//! leases and its health.

use crate::api::AgentId;
use crate::health::WorkerHealth;
use crate::unexpected_runs::UnexpectedRuns;
use indigofold_protocol::internal::InstanceReport;
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::TaskName;
use indigofold_protocol::worker::WorkerState;
use std::collections::BTreeSet;

/// A worker whose node agent has not reported for this time counts as unresponsive and gets no new starts.
const REPORT_FRESH_MS: u64 = 1_000;
/// A worker without a heartbeat for this time counts as unresponsive and gets no new starts.
const UNRESPONSIVE_MS: u64 = 1_500;

/// Number of a worker instance within this scheduler; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct WorkerId(pub u32);

/// One worker instance.
#[derive(Debug)]
pub(crate) struct Worker {
    instance: String,
    /// Machine that the instance and its node agent run on; `None` until that is known from a report or a stored row.
    node_name: Option<String>,
    /// Machine that the instance's stored row names; `None` if it has no row.
    recorded_node: Option<String>,
    /// Connection over which the instance is reported; `None` while there is none.
    agent: Option<AgentId>,
    /// Service that the instance belongs to; empty until its first report.
    backend: String,
    state: WorkerState,
    /// When the instance ends, on the monotonic clock; `None` unless it is draining.
    drain_end_ms: Option<u64>,
    capacity: Resources,
    labels: Vec<String>,
    /// Resources taken by outstanding runs.
    used: Resources,
    /// Share of `used` that is taken by runs whose label binds them to one kind of workers.
    used_bound: Resources,
    /// Tasks with an outstanding run on this instance.
    runs: BTreeSet<TaskName>,
    /// Whether a report that lists all running tasks was received on the current connection.
    full_report_received: bool,
    /// Time of the node agent's latest report; before that, when the instance was entered.
    last_report_ms: u64,
    /// Age of the latest heartbeat at the time of the latest report.
    since_heartbeat_ms: u64,
    /// When a report of the node agent was answered last; before that, when the instance was entered. The leases of the
    /// instance are valid for a limited time from then.
    answered_at_ms: u64,
    /// When the leases expired without a report; `None` while they may be valid.
    expired_at_ms: Option<u64>,
    /// Runs that the instance has or may have though they are not outstanding there.
    unexpected: UnexpectedRuns,
    /// Highest number of a finished run that was handled; 0 for none.
    handled_end: u64,
    /// Highest number of a finished run whose end is committed; 0 for none.
    committed_end: u64,
    /// The instance gets no new starts before this time.
    backoff_until_ms: u64,
    /// End of the warm-up, during which runs are slow.
    warm_up_until_ms: u64,
    health: WorkerHealth,
}

impl Worker {
    /// Creates an instance that has not been reported yet. `now_ms` is the time of the monotonic clock, as in all methods.
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
            answered_at_ms: now_ms,
            expired_at_ms: None,
            unexpected: UnexpectedRuns::default(),
            handled_end: 0,
            committed_end: 0,
            backoff_until_ms: 0,
            warm_up_until_ms: 0,
            health: WorkerHealth::default(),
        }
    }

    /// ID of the instance, as its node agent reports it.
    pub(crate) fn instance(&self) -> &str {
        &self.instance
    }

    /// Connection over which the instance is reported; `None` while there is none.
    pub(crate) fn agent(&self) -> Option<AgentId> {
        self.agent
    }

    /// Service that the instance belongs to; empty until its first report.
    pub(crate) fn backend(&self) -> &str {
        &self.backend
    }

    /// Whether the instance takes new work or is draining, as reported last.
    pub(crate) fn state(&self) -> WorkerState {
        self.state
    }

    /// When the instance ends, on the monotonic clock; `None` unless it is draining.
    pub(crate) fn drain_end_ms(&self) -> Option<u64> {
        self.drain_end_ms
    }

    /// Total resources of the instance.
    pub(crate) fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Labels of the instance: kind and rack.
    pub(crate) fn labels(&self) -> &[String] {
        &self.labels
    }

    /// Resources taken by outstanding runs.
    pub(crate) fn used(&self) -> Resources {
        self.used
    }

    /// Tasks with an outstanding run on this instance.
    pub(crate) fn runs(&self) -> &BTreeSet<TaskName> {
        &self.runs
    }

    /// Age of the latest heartbeat at the time of the latest report, in milliseconds.
    pub(crate) fn since_heartbeat_ms(&self) -> u64 {
        self.since_heartbeat_ms
    }

    /// Health of the instance, judged by the results of its runs.
    pub(crate) fn health(&self) -> &WorkerHealth {
        &self.health
    }

    /// Mutable access to the health.
    pub(crate) fn health_mut(&mut self) -> &mut WorkerHealth {
        &mut self.health
    }

    /// Runs that the instance has or may have though they are not outstanding there.
    pub(crate) fn unexpected_mut(&mut self) -> &mut UnexpectedRuns {
        &mut self.unexpected
    }

    /// Records that a report listed all running tasks; returns whether it is the first such report on this connection.
    pub(crate) fn record_full_report(&mut self) -> bool {
        !std::mem::replace(&mut self.full_report_received, true)
    }

    /// Applies the instance's attributes from a report. Returns whether its service, capacity, labels or state changed.
    pub(crate) fn apply_report(&mut self, now_ms: u64, report: &InstanceReport) -> bool {
        let has_changed = self.backend != report.backend
            || self.capacity != report.capacity
            || self.labels != report.labels
            || self.state != report.state;
        if has_changed {
            self.backend.clone_from(&report.backend);
            self.labels.clone_from(&report.labels);
            (self.capacity, self.state) = (report.capacity, report.state);
        }
        self.drain_end_ms = report
            .remaining_ms
            .map(|remaining_ms| now_ms + remaining_ms);
        self.warm_up_until_ms = now_ms + report.warmup_remaining_ms;
        (self.last_report_ms, self.since_heartbeat_ms) = (now_ms, report.since_heartbeat_ms);
        has_changed
    }

    /// Sets the machine that the instance is on; returns whether it changed.
    pub(crate) fn set_node(&mut self, node_name: &str) -> bool {
        let has_changed = self.node_name.as_deref() != Some(node_name);
        if has_changed {
            self.node_name = Some(node_name.to_owned());
        }
        has_changed
    }

    /// Machine that the instance and its node agent run on; `None` until that is known from a report or a stored row.
    pub(crate) fn node_name(&self) -> Option<&str> {
        self.node_name.as_deref()
    }

    /// Sets the machine that the instance's stored row names; returns whether it changed.
    pub(crate) fn set_recorded_node(&mut self, node_name: &str) -> bool {
        let has_changed = self.recorded_node.as_deref() != Some(node_name);
        if has_changed {
            self.recorded_node = Some(node_name.to_owned());
        }
        has_changed
    }

    /// Whether the instance has a stored row.
    pub(crate) fn is_recorded(&self) -> bool {
        self.recorded_node.is_some()
    }

    /// Sets the connection over which the instance is reported. If it is another one than before, a full report is
    /// required again, and the unexpected runs listed over the former connection are dropped.
    pub(crate) fn attach(&mut self, agent: AgentId) {
        if self.agent != Some(agent) {
            self.agent = Some(agent);
            self.expect_full_report();
        }
    }

    /// Records that no connection reports the instance.
    pub(crate) fn detach(&mut self) {
        (self.agent, self.full_report_received) = (None, false);
    }

    /// Makes the next full report count as the first one on its connection.
    pub(crate) fn expect_full_report(&mut self) {
        self.full_report_received = false;
        self.unexpected.forget_listed();
    }

    /// Records that a report of the node agent is answered: the answer extends its authority to grant run leases.
    pub(crate) fn record_answer(&mut self, now_ms: u64) {
        self.answered_at_ms = now_ms;
    }

    /// When a report of the node agent was answered last; before that, when the instance was entered.
    pub(crate) fn answered_at_ms(&self) -> u64 {
        self.answered_at_ms
    }

    /// Records that the leases have expired without a report.
    pub(crate) fn record_expiry(&mut self, now_ms: u64) {
        self.expired_at_ms = Some(now_ms);
    }

    /// Records that the instance is reported again; returns whether its leases had expired.
    pub(crate) fn clear_expiry(&mut self) -> bool {
        self.expired_at_ms.take().is_some()
    }

    /// When the leases expired without a report; `None` while they may be valid.
    pub(crate) fn expired_at_ms(&self) -> Option<u64> {
        self.expired_at_ms
    }

    /// Records that the ends of runs up to this number have been handled.
    pub(crate) fn handle_ends_until(&mut self, number: u64) {
        self.handled_end = number;
    }

    /// Highest number of a finished run that was handled; 0 for none.
    pub(crate) fn handled_end(&self) -> u64 {
        self.handled_end
    }

    /// Records that the ends of runs up to this number are committed.
    pub(crate) fn commit_ends_until(&mut self, number: u64) {
        self.committed_end = self.committed_end.max(number);
    }

    /// Highest number of a finished run whose end is committed and may be acknowledged; `None` for none.
    pub(crate) fn acknowledged_end(&self) -> Option<u64> {
        (self.committed_end > 0).then_some(self.committed_end)
    }

    /// Blocks new starts on the instance until this time.
    pub(crate) fn back_off_until(&mut self, until_ms: u64) {
        self.backoff_until_ms = until_ms;
    }

    /// Whether the warm-up has ended by this time.
    pub(crate) fn is_warm(&self, now_ms: u64) -> bool {
        self.warm_up_until_ms <= now_ms
    }

    /// Whether no connection reports the instance, or its latest report or heartbeat is older than `limit_ms`.
    pub(crate) fn is_unresponsive_for(&self, limit_ms: u64, now_ms: u64) -> bool {
        self.agent.is_none()
            || now_ms.saturating_sub(self.last_report_ms) > limit_ms
            || self.since_heartbeat_ms > limit_ms
    }

    /// Resources taken by runs whose label binds them to one kind of workers.
    pub(crate) fn used_bound(&self) -> Resources {
        self.used_bound
    }

    /// Connection over which orders can be sent; `None` until a full report was received on it.
    pub(crate) fn order_connection(&self) -> Option<AgentId> {
        self.agent.filter(|_| self.full_report_received)
    }

    /// Whether new runs may be started on the instance now: it is responsive and fully reported, its leases have not
    /// expired, and neither unexpected runs nor a backoff block it.
    pub(crate) fn accepts_starts(&self, now_ms: u64) -> bool {
        self.is_responsive(now_ms)
            && self.full_report_received
            && self.expired_at_ms.is_none()
            && self.unexpected.is_empty()
            && now_ms >= self.backoff_until_ms
    }

    /// Whether the instance is connected, ready (not draining), and reported with a heartbeat recently. Backoff and
    /// unexpected runs are ignored.
    pub(crate) fn is_responsive(&self, now_ms: u64) -> bool {
        self.agent.is_some()
            && self.state == WorkerState::Ready
            && now_ms.saturating_sub(self.last_report_ms) < REPORT_FRESH_MS
            && self.since_heartbeat_ms < UNRESPONSIVE_MS
    }

    /// Resources not taken by outstanding runs.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    /// Whether these resources fit beside the outstanding runs.
    pub(crate) fn has_capacity(&self, resources: &Resources) -> bool {
        self.capacity.can_fit(&self.used.plus(resources))
    }

    /// Adds a run of the task and the resources that it takes. `bound`: its step's label binds it to one kind of
    /// workers.
    pub(crate) fn occupy(&mut self, task: TaskName, resources: &Resources, bound: bool) {
        self.runs.insert(task);
        self.used = self.used.plus(resources);
        if bound {
            self.used_bound = self.used_bound.plus(resources);
        }
    }

    /// Removes the run of the task and frees its resources. `bound` as in [`occupy`](Self::occupy).
    pub(crate) fn release(&mut self, task: &TaskName, resources: &Resources, bound: bool) {
        if self.runs.remove(task) {
            self.used = self.used.minus(resources);
            if bound {
                self.used_bound = self.used_bound.minus(resources);
            }
        }
    }

    /// The first label that names a rack; `None` if there is none.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.labels
            .iter()
            .map(String::as_str)
            .find(|label| is_rack(label))
    }
}

/// Whether a label names a rack: `r`, digits, `-`, digits, for example `r1-2`.
pub(crate) fn is_rack(label: &str) -> bool {
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let parts = label
        .strip_prefix('r')
        .and_then(|rest| rest.split_once('-'));
    parts.is_some_and(|(row, rack)| digits(row) && digits(rack))
}
