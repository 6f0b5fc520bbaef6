//! The companion of one worker: takes its heartbeats, answers them by itself, passes the head's orders on and tells the
//! head what the worker lists. A state machine without I/O; `now_ms` is the machine's steady clock.

mod closed_runs;
mod lease_authority;
mod run_table;
mod unreported;
mod worker_instance;

pub use closed_runs::CLOSED_RUNS_MAX;
pub use lease_authority::expires_by_ms;
pub use run_table::{INCOMPATIBLE_MS, SEND_ATTEMPTS_MAX, STARTS_PER_ANSWER};
pub use unreported::{ENDED_INSTANCES_MAX, NOT_STARTED_MAX};
pub use worker_instance::WorkerInstance;

use indigofold_protocol::internal::{AgentOrders, AgentReport, RUN_LEASE_MS, StartOrder};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{Heartbeat, HeartbeatReply, Start, Stop};
use lease_authority::LeaseAuthority;
use run_table::OutgoingOrders;
use unreported::{EndedInstances, NotStarted};
use worker_instance::Confirmation;

/// Reports to the head are at least so far apart.
pub const REPORT_SPACING_MS: u64 = 5;
/// Reports to the head are at most so far apart.
pub const REPORT_INTERVAL_MS: u64 = 300;
/// Runs' progress in percent, where nothing else about them changed, is told so often.
pub const PERCENT_INTERVAL_MS: u64 = 1_000;
/// The worker's next heartbeat while something is ordered or runs.
pub const BUSY_HEARTBEAT_MS: u64 = 20;
/// The worker's next heartbeat while nothing is ordered or runs.
pub const IDLE_HEARTBEAT_MS: u64 = 50;
/// Longest time for which the answer to a heartbeat waits for orders that it expects: the way to the head, a write
/// there and the way back. A worker that is busy sends its next heartbeat late, as each end of a run puts it off.
pub const ORDERS_WAIT_MS: u64 = 100;
/// An order makes the worker busy for so long.
pub const RECENT_ORDER_MS: u64 = 3_000;

/// A heartbeat that was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReceipt {
    /// Its number.
    pub seq_no: u64,
    /// Runs have ended, so that orders for the room may be on their way: the answer had better wait for them.
    pub expects_orders: bool,
}

/// What became of a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// The newest one: the answer carries orders.
    Answered(HeartbeatReply),
    /// A newer one was read before, or its life is over: it is acknowledged, without orders.
    Superseded,
}

/// Events that an operator may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// A new life of the worker has registered.
    Registered(String),
    /// The worker has said that it leaves.
    Deregistered(String),
    /// The worker has been silent until its holds lapsed.
    Unresponsive(String),
    /// A silent life has come back.
    Returned(String),
}

/// One worker's account.
#[derive(Debug)]
pub struct Agent {
    started_ms: u64,
    authority: LeaseAuthority,
    epoch: u64,
    instance: Option<WorkerInstance>,
    /// A life that the head asks for and that this process has not heard of.
    unknown_instance: Option<String>,
    /// Lives that were replaced or have left; late heartbeats of theirs mean nothing.
    ended: Vec<String>,
    ended_instances: EndedInstances,
    not_started: NotStarted,
    last_order_ms: Option<u64>,
    connected: bool,
    urgent: bool,
    reported_ms: Option<u64>,
    /// Life, revision and time of the lists told last on this connection.
    reported_runs: Option<(String, u64, u64)>,
    events: Vec<AgentEvent>,
}

impl Agent {
    /// A companion that has heard nothing yet.
    pub fn new(now_ms: u64, max_lease_ms: u64) -> Self {
        Agent {
            started_ms: now_ms,
            authority: LeaseAuthority::new(max_lease_ms),
            epoch: 0,
            instance: None,
            unknown_instance: None,
            ended: Vec::new(),
            ended_instances: EndedInstances::new(ENDED_INSTANCES_MAX),
            not_started: NotStarted::new(NOT_STARTED_MAX),
            last_order_ms: None,
            connected: false,
            urgent: false,
            reported_ms: None,
            reported_runs: None,
            events: Vec::new(),
        }
    }

    /// `PUT /instances/ID` has come in; [`Agent::poll_heartbeat_reply`] follows. `None` if the heartbeat is not to be read.
    pub fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Option<HeartbeatReceipt> {
        if !self.admit(now_ms, id, &heartbeat) {
            return None;
        }
        self.check_authority(now_ms);
        let instance = self.instance.as_mut()?;
        let seq_no = heartbeat.seq_no;
        let in_flight = instance.runs.in_flight();
        let changes = instance.handle_heartbeat(now_ms, heartbeat);
        let confirmed = instance.confirmation == Confirmation::Confirmed;
        self.urgent |= changes.urgent || instance.runs.in_flight() != in_flight;
        self.report_not_started(changes.not_started);
        Some(HeartbeatReceipt {
            seq_no,
            expects_orders: changes.ended && confirmed && self.connected,
        })
    }

    /// The answer to the heartbeat heard as `seq_no`; one that a newer heartbeat has overtaken gets nothing.
    pub fn poll_heartbeat_reply(&mut self, now_ms: u64, id: &str, seq_no: u64) -> HeartbeatOutcome {
        self.check_authority(now_ms);
        let newest = self
            .instance
            .as_mut()
            .filter(|instance| instance.id == id && instance.is_newest(seq_no));
        let Some(instance) = newest else {
            return HeartbeatOutcome::Superseded;
        };
        let confirmed = instance.confirmation == Confirmation::Confirmed;
        let lease_ms = confirmed.then(|| self.authority.lease_ms(now_ms)).flatten();
        let in_flight = instance.runs.in_flight();
        let out = instance.poll_orders(now_ms, lease_ms);
        let (acknowledged_end, idle) = (instance.acknowledged_end, instance.runs.is_empty());
        self.urgent |= instance.runs.in_flight() != in_flight;
        Self::push_all(&mut self.not_started, &out.not_started);
        self.end_if_drained();
        HeartbeatOutcome::Answered(self.reply(now_ms, lease_ms, acknowledged_end, idle, out))
    }

    /// `DELETE /instances/ID`. A worker that was draining ends now. One that was not serves on for a while: what runs
    /// there is not over before the worker has listed its end, or its holds have lapsed.
    pub fn handle_deregistration(&mut self, id: &str) {
        let Some(instance) = self
            .instance
            .as_mut()
            .filter(|instance| instance.id == id && !instance.deregistered)
        else {
            return;
        };
        self.events.push(AgentEvent::Deregistered(id.to_owned()));
        let withdrawn = instance.runs.withdraw_all();
        if instance.is_draining() || instance.runs.is_empty() {
            self.end_instance();
        } else {
            instance.deregister();
            self.urgent = true;
        }
        self.report_not_started(withdrawn);
    }

    /// What the head tells.
    pub fn handle_orders(&mut self, now_ms: u64, orders: AgentOrders) {
        if orders.epoch < self.epoch {
            return;
        }
        self.epoch = orders.epoch;
        self.check_authority(now_ms);
        if let Some(echo_ms) = orders.echo_sent_ms {
            self.handle_echo(echo_ms);
        }
        let Some(instance) = self
            .instance
            .as_mut()
            .filter(|instance| instance.id == orders.instance)
        else {
            self.handle_unknown_instance(orders.instance);
            return;
        };
        if let Some(number) = orders.acknowledged_end {
            instance.acknowledge(number);
        }
        if orders.has_work() {
            self.last_order_ms = Some(now_ms);
        }
        let in_doubt = instance.expired
            || (instance.returned && instance.confirmation != Confirmation::Confirmed);
        let mut not_started = Vec::new();
        for order in orders.start {
            not_started.extend(take_start(instance, order, in_doubt));
        }
        not_started.extend(
            orders
                .stop
                .into_iter()
                .filter_map(|run| instance.runs.order_stop(run)),
        );
        self.report_not_started(not_started);
    }

    /// A connection to an acting head is there: it is told everything.
    pub fn handle_connected(&mut self) {
        self.connected = true;
        self.urgent = true;
        self.reported_runs = None;
        self.ended_instances.handle_connected();
        self.not_started.handle_connected();
    }

    /// The connection to the head is lost.
    pub fn handle_disconnected(&mut self) {
        self.connected = false;
    }

    /// Lets time pass; returns the report that is due now.
    pub fn poll_report(&mut self, now_ms: u64) -> Option<AgentReport> {
        self.expire_unresponsive(now_ms);
        let due = self.report_due_ms().is_some_and(|due_ms| due_ms <= now_ms);
        due.then(|| self.report(now_ms))
    }

    /// When [`Agent::poll_report`] is to be called next, at the latest.
    pub fn next_timeout_ms(&self) -> Option<u64> {
        let expiry_ms = self
            .instance
            .as_ref()
            .filter(|instance| !instance.expired)
            .map(WorkerInstance::expires_at_ms);
        let unknown_expiry_ms = self
            .unknown_instance
            .as_ref()
            .map(|_| expires_by_ms(self.started_ms, RUN_LEASE_MS));
        [expiry_ms, unknown_expiry_ms, self.report_due_ms()]
            .into_iter()
            .flatten()
            .min()
    }

    /// What has happened since the last call, for the log.
    pub fn poll_events(&mut self) -> Vec<AgentEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this heartbeat is to be read; a new or returning life takes its place first.
    fn admit(&mut self, now_ms: u64, id: &str, heartbeat: &Heartbeat) -> bool {
        if self.ended.iter().any(|ended| ended == id) {
            return false;
        }
        if self
            .instance
            .as_ref()
            .is_some_and(|instance| instance.id != id)
        {
            self.end_instance();
        }
        match &mut self.instance {
            Some(instance) if instance.is_superseded(heartbeat.seq_no) => return false,
            Some(instance) if !instance.expired => return true,
            Some(instance) => {
                instance.expired = false;
                instance.returned = true;
                instance.confirmation = Confirmation::Unreported;
                self.events.push(AgentEvent::Returned(id.to_owned()));
            }
            None => {
                let mut instance = WorkerInstance::new(id.to_owned(), self.started_ms);
                instance.returned = self.ended_instances.contains(&instance.id);
                self.instance = Some(instance);
                self.events.push(AgentEvent::Registered(id.to_owned()));
            }
        }
        self.ended_instances.remove(&id.to_owned());
        self.unknown_instance
            .take_if(|unknown_instance| unknown_instance == id);
        (self.urgent, self.reported_runs) = (true, None);
        self.last_order_ms = Some(now_ms);
        true
    }

    fn reply(
        &self,
        now_ms: u64,
        lease_ms: Option<u64>,
        acknowledged_end: Option<u64>,
        idle: bool,
        out: OutgoingOrders,
    ) -> HeartbeatReply {
        let recent = self
            .last_order_ms
            .is_some_and(|at_ms| now_ms < at_ms + RECENT_ORDER_MS);
        let start = |order: StartOrder| {
            Start(
                order.run.task.to_string(),
                order.run.attempt,
                order.spec,
                order.checkpoint,
            )
        };
        HeartbeatReply {
            lease_ms,
            acknowledged_end,
            fencing_token: (self.epoch > 0).then_some(self.epoch),
            start: out.start.into_iter().map(start).collect(),
            stop: out
                .stop
                .iter()
                .map(|run| Stop(run.task.to_string(), run.attempt))
                .collect(),
            retry_delay_ms: Some(if idle && !recent {
                IDLE_HEARTBEAT_MS
            } else {
                BUSY_HEARTBEAT_MS
            }),
        }
    }

    /// An acting head has answered the report sent at `echo_ms`.
    fn handle_echo(&mut self, echo_ms: u64) {
        if !self.authority.answered(echo_ms) {
            return;
        }
        if let Some(instance) = &mut self.instance
            && matches!(instance.confirmation, Confirmation::Reported(reported_ms) if reported_ms <= echo_ms)
        {
            instance.confirmation = Confirmation::Confirmed;
        }
    }

    /// The head knows a life at this machine that is not the present one.
    fn handle_unknown_instance(&mut self, instance: String) {
        if instance.is_empty()
            || self.ended.contains(&instance)
            || self.ended_instances.contains(&instance)
        {
            return;
        }
        match self.instance {
            Some(_) => self.retire(instance),
            None => self.unknown_instance = Some(instance),
        }
    }

    /// A life that was replaced or has left: nothing of it runs.
    fn retire(&mut self, id: String) {
        self.ended.push(id.clone());
        if self.ended.len() > ENDED_INSTANCES_MAX {
            self.ended.remove(0);
        }
        self.ended_instances.push(id);
        self.urgent = true;
    }

    /// A worker that has sent `DELETE` and has nothing at work any more, whose ends the head has all heard of, is gone.
    fn end_if_drained(&mut self) {
        if self
            .instance
            .as_ref()
            .is_some_and(|instance| instance.deregistered && instance.is_done())
        {
            self.end_instance();
        }
    }

    fn end_instance(&mut self) {
        if let Some(instance) = self.instance.take() {
            self.retire(instance.id);
        }
    }

    fn report_not_started(&mut self, runs: Vec<RunId>) {
        self.urgent |= !runs.is_empty();
        Self::push_all(&mut self.not_started, &runs);
    }

    fn push_all(not_started: &mut NotStarted, runs: &[RunId]) {
        runs.iter().for_each(|run| not_started.push(*run));
    }

    /// Without authority nothing is started: what the worker has not listed yet is withdrawn, since a head that heard
    /// nothing of this companion may have started it elsewhere.
    fn check_authority(&mut self, now_ms: u64) {
        if !self.authority.has_expired(now_ms) {
            return;
        }
        let withdrawn = self
            .instance
            .as_mut()
            .map(|instance| instance.runs.withdraw_all())
            .unwrap_or_default();
        self.report_not_started(withdrawn);
    }

    /// Tells of a life whose holds have all lapsed that it is gone.
    fn expire_unresponsive(&mut self, now_ms: u64) {
        if self.unknown_instance.is_some() && expires_by_ms(self.started_ms, RUN_LEASE_MS) <= now_ms
        {
            self.ended_instances
                .push(self.unknown_instance.take().unwrap_or_default());
            self.urgent = true;
        }
        let Some(instance) = self
            .instance
            .as_mut()
            .filter(|instance| !instance.expired && instance.expires_at_ms() <= now_ms)
        else {
            return;
        };
        instance.expired = true;
        let id = instance.id.clone();
        let not_started = instance.runs.withdraw_all();
        self.report_not_started(not_started);
        self.ended_instances.push(id.clone());
        self.urgent = true;
        self.events.push(AgentEvent::Unresponsive(id));
    }

    fn report_due_ms(&self) -> Option<u64> {
        if !self.connected {
            return None;
        }
        let Some(reported_ms) = self.reported_ms else {
            return Some(self.started_ms);
        };
        let urgent = self.urgent || self.ended_instances.pending() || self.not_started.pending();
        Some(
            reported_ms
                + if urgent {
                    REPORT_SPACING_MS
                } else {
                    REPORT_INTERVAL_MS
                },
        )
    }

    fn report(&mut self, now_ms: u64) -> AgentReport {
        self.urgent = false;
        self.reported_ms = Some(now_ms);
        self.authority.sent(now_ms);
        let present = self.instance.as_mut().filter(|instance| !instance.expired);
        let instance = present.map(|instance| {
            if instance.confirmation == Confirmation::Unreported {
                instance.confirmation = Confirmation::Reported(now_ms);
            }
            let include_runs = !runs_are_reported(&self.reported_runs, instance, now_ms);
            if include_runs {
                self.reported_runs = Some((instance.id.clone(), instance.runs_revision, now_ms));
            }
            instance.report(now_ms, include_runs)
        });
        let (ended_instances, not_started) = (
            self.ended_instances.take_unreported(),
            self.not_started.take_unreported(),
        );
        AgentReport {
            sent_ms: now_ms,
            instance,
            ended_instances,
            not_started,
        }
    }
}

/// Takes a start order; returns the run if it will never be passed on.
fn take_start(instance: &mut WorkerInstance, order: StartOrder, in_doubt: bool) -> Option<RunId> {
    match in_doubt {
        true => instance.runs.refuse_start(order.run),
        false => instance.runs.order_start(order),
    }
}

/// Whether the lists need not be told again on this connection.
fn runs_are_reported(
    reported: &Option<(String, u64, u64)>,
    instance: &WorkerInstance,
    now_ms: u64,
) -> bool {
    let Some((id, revision, reported_ms)) = reported else {
        return false;
    };
    let recent = now_ms < reported_ms + PERCENT_INTERVAL_MS || instance.runs.is_empty();
    *id == instance.id && *revision == instance.runs_revision && recent
}
