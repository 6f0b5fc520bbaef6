//! The node agent of one worker: answers the worker's heartbeats, forwards the head's orders to it, and reports its
//! state and runs to the head. A state machine without I/O: inputs are `handle_*`, outputs are `poll_*`; `now_ms` is a
//! reading of the machine's monotonic clock in milliseconds.

mod closed_runs;
mod connection_updates;
mod former_instances;
mod heartbeat_interval;
mod lease_authority;
mod report_schedule;
mod reported_runs;
mod run_table;
mod wire_runs;
mod worker_instance;

pub use closed_runs::CLOSED_RUNS_MAX;
pub use former_instances::ENDED_INSTANCES_MAX;
pub use heartbeat_interval::{BUSY_HEARTBEAT_MS, IDLE_HEARTBEAT_MS, RECENT_ORDER_MS};
pub use lease_authority::expires_by_ms;
pub use report_schedule::{REPORT_INTERVAL_MS, REPORT_SPACING_MS};
pub use reported_runs::PROGRESS_INTERVAL_MS;
pub use run_table::{CAPACITY_WAIT_MS, SEND_ATTEMPTS_MAX, STARTS_PER_REPLY_MAX};

use connection_updates::ConnectionUpdates;
use former_instances::FormerInstances;
use heartbeat_interval::HeartbeatInterval;
use indigofold_protocol::internal::{AgentOrders, AgentReport};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{Heartbeat, HeartbeatReply};
use lease_authority::LeaseAuthority;
use report_schedule::ReportSchedule;
use reported_runs::ReportedRuns;
use wire_runs::{start_entries, stop_entries};
use worker_instance::WorkerInstance;

/// Maximum number of starts not carried out that are remembered and reported on each new connection.
pub const NOT_STARTED_MAX: usize = 512;
/// Maximum time that the reply to a heartbeat waits for expected orders, which take a message to the head, a disk write
/// there and a message back. Replying without them would delay them until the next heartbeat, which a busy worker sends
/// late because each end of a run delays it.
pub const ORDERS_WAIT_MS: u64 = 100;

/// A heartbeat that was accepted and awaits its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReceipt {
    /// Sequence number of the heartbeat.
    pub seq_no: u64,
    /// Whether the reply should wait for orders: runs have ended, and the connected head, which knows the instance, may
    /// soon order starts for the capacity that became free.
    pub expects_orders: bool,
}

/// The result of a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is the newest one; the reply carries orders.
    Answered(HeartbeatReply),
    /// A newer heartbeat was read before, or the instance has ended; the heartbeat is acknowledged without orders.
    Superseded,
}

/// Events for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// An instance of the worker sent its first heartbeat.
    Registered {
        /// Id of the instance.
        instance: String,
    },
    /// An instance sent `DELETE`.
    Deregistered {
        /// Id of the instance.
        instance: String,
    },
    /// All leases of an instance expired without a heartbeat.
    Unresponsive {
        /// Id of the instance.
        instance: String,
    },
    /// An unresponsive instance sent a heartbeat again.
    Returned {
        /// Id of the instance.
        instance: String,
    },
}

/// The state of the node agent.
#[derive(Debug)]
pub struct Agent {
    started_ms: u64,
    authority: LeaseAuthority,
    /// Highest epoch of the orders received; 0 before the first orders.
    epoch: u64,
    /// The current instance; `None` before the first heartbeat and once a deregistered instance has ended. An instance
    /// whose leases have expired stays here, as it may return.
    instance: Option<WorkerInstance>,
    former: FormerInstances,
    /// Starts that will never be carried out.
    not_started: ConnectionUpdates<RunId>,
    heartbeat_interval: HeartbeatInterval,
    schedule: ReportSchedule,
    reported_runs: ReportedRuns,
    events: Vec<AgentEvent>,
}

impl Agent {
    /// Creates an agent to which neither a worker nor a head has connected. `max_lease_ms` is the longest lease that
    /// workers accept.
    pub fn new(now_ms: u64, max_lease_ms: u64) -> Self {
        Agent {
            started_ms: now_ms,
            authority: LeaseAuthority::new(max_lease_ms),
            epoch: 0,
            instance: None,
            former: FormerInstances::new(now_ms),
            not_started: ConnectionUpdates::new(NOT_STARTED_MAX),
            heartbeat_interval: HeartbeatInterval::default(),
            schedule: ReportSchedule::new(now_ms),
            reported_runs: ReportedRuns::default(),
            events: Vec::new(),
        }
    }

    /// Handles the heartbeat in a `PUT /instances/ID`; the caller then calls [`Agent::poll_heartbeat_reply`]. Returns
    /// `None` if the heartbeat is superseded or its instance has ended.
    pub fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Option<HeartbeatReceipt> {
        if !self.admit(now_ms, id, &heartbeat) {
            return None;
        }
        self.enforce_authority(now_ms);
        let instance = self.instance.as_mut()?;
        let seq_no = heartbeat.seq_no;
        let changes = instance.handle_heartbeat(now_ms, heartbeat);
        let is_confirmed = instance.is_confirmed();
        self.schedule.expedite_if(changes.urgent);
        self.report_not_started(changes.not_started);
        Some(HeartbeatReceipt {
            seq_no,
            expects_orders: changes.ended && is_confirmed && self.schedule.is_connected(),
        })
    }

    /// Returns the reply to the accepted heartbeat `seq_no`. A heartbeat that a newer one has superseded gets no
    /// orders.
    pub fn poll_heartbeat_reply(&mut self, now_ms: u64, id: &str, seq_no: u64) -> HeartbeatOutcome {
        self.enforce_authority(now_ms);
        let newest_instance = self
            .instance
            .as_mut()
            .filter(|instance| instance.id() == id && instance.is_newest(seq_no));
        let Some(instance) = newest_instance else {
            return HeartbeatOutcome::Superseded;
        };
        let authority = &self.authority;
        let lease_ms = instance
            .is_confirmed()
            .then(|| authority.lease_duration_ms(now_ms))
            .flatten();
        let in_flight = instance.in_flight();
        let orders = instance.poll_orders(now_ms, lease_ms);
        let interval_ms = self.heartbeat_interval.next_ms(now_ms, instance.is_idle());
        let reply = HeartbeatReply {
            lease_ms,
            acknowledged_end: instance.acknowledged_end(),
            fencing_token: (self.epoch > 0).then_some(self.epoch),
            start: start_entries(orders.start),
            stop: stop_entries(&orders.stop),
            retry_delay_ms: Some(interval_ms),
        };
        self.schedule.expedite_if(instance.in_flight() != in_flight);
        self.report_not_started(orders.not_started);
        self.end_if_finished();
        HeartbeatOutcome::Answered(reply)
    }

    /// Handles `DELETE /instances/ID`. An instance that is draining or idle ends at once. Any other instance still has
    /// runs: it ends after the worker has listed the end of each run and the head has acknowledged these ends, or when
    /// its leases expire.
    pub fn handle_deregistration(&mut self, id: &str) {
        let current_instance = self.instance.as_mut();
        let Some(instance) =
            current_instance.filter(|instance| instance.id() == id && !instance.is_deregistered())
        else {
            return;
        };
        self.events.push(AgentEvent::Deregistered {
            instance: id.to_owned(),
        });
        let withdrawn_runs = instance.withdraw_unlisted();
        if instance.is_draining() || instance.is_idle() {
            self.end_instance();
        } else {
            instance.deregister();
            self.schedule.expedite_if(true);
        }
        self.report_not_started(withdrawn_runs);
    }

    /// Handles orders of the head. Orders with an epoch below the highest one received are dropped; of orders for an
    /// instance other than the current one, only the epoch and the echo are used.
    pub fn handle_orders(&mut self, now_ms: u64, orders: AgentOrders) {
        if orders.epoch < self.epoch {
            return;
        }
        self.epoch = orders.epoch;
        self.enforce_authority(now_ms);
        if let Some(echo_ms) = orders.echo_sent_ms {
            self.handle_echo(echo_ms);
        }
        let current_instance = self.instance.as_mut();
        let Some(instance) = current_instance.filter(|instance| instance.id() == orders.instance)
        else {
            let has_current = self.instance.is_some();
            let is_report_needed = self.former.handle_unknown(orders.instance, has_current);
            self.schedule.expedite_if(is_report_needed);
            return;
        };
        if let Some(number) = orders.acknowledged_end {
            instance.handle_acknowledged_end(number);
        }
        if orders.has_work() {
            self.heartbeat_interval.handle_activity(now_ms);
        }
        let mut not_started = Vec::new();
        for order in orders.start {
            not_started.extend(instance.handle_start(order));
        }
        for run in orders.stop {
            not_started.extend(instance.handle_stop(run));
        }
        self.report_not_started(not_started);
    }

    /// Handles a new connection to an acting head: the next report carries the complete state.
    pub fn handle_connected(&mut self) {
        self.schedule.handle_connected();
        self.reported_runs.reset();
        self.former.ended_updates().handle_connected();
        self.not_started.handle_connected();
    }

    /// Handles the loss of the connection to the head; no reports are due until the next connection.
    pub fn handle_disconnected(&mut self) {
        self.schedule.handle_disconnected();
    }

    /// Expires unresponsive instances, then returns the report if one is due.
    pub fn poll_report(&mut self, now_ms: u64) -> Option<AgentReport> {
        self.expire_unresponsive(now_ms);
        let is_due = self.report_due_ms().is_some_and(|due_ms| due_ms <= now_ms);
        is_due.then(|| self.report(now_ms))
    }

    /// The latest time at which to call [`Agent::poll_report`] next; `None` if nothing is due.
    pub fn next_timeout_ms(&self) -> Option<u64> {
        let instance = self.instance.as_ref();
        let timeouts = [
            instance.and_then(WorkerInstance::next_timeout_ms),
            self.former.next_timeout_ms(),
            self.report_due_ms(),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Returns the events since the last call, oldest first.
    pub fn poll_events(&mut self) -> Vec<AgentEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether this heartbeat is to be read. Registers a new or returning instance first.
    fn admit(&mut self, now_ms: u64, id: &str, heartbeat: &Heartbeat) -> bool {
        if self.former.is_closed(id) {
            return false;
        }
        let current_instance = self.instance.as_ref();
        if current_instance.is_some_and(|instance| instance.id() != id) {
            self.end_instance();
        }
        let id = id.to_owned();
        match &mut self.instance {
            Some(instance) if instance.is_superseded(heartbeat.seq_no) => return false,
            Some(instance) if !instance.is_expired() => return true,
            Some(instance) => {
                instance.handle_return();
                let instance = id.clone();
                self.events.push(AgentEvent::Returned { instance });
            }
            None => {
                let has_returned = self.former.is_ended(&id);
                self.instance = Some(WorkerInstance::new(
                    id.clone(),
                    self.started_ms,
                    has_returned,
                ));
                let instance = id.clone();
                self.events.push(AgentEvent::Registered { instance });
            }
        }
        self.former.handle_registered(&id);
        self.schedule.expedite_if(true);
        self.reported_runs.reset();
        self.heartbeat_interval.handle_activity(now_ms);
        true
    }

    /// Records that an acting head acknowledged the report sent at `echo_ms`.
    fn handle_echo(&mut self, echo_ms: u64) {
        if self.authority.handle_echo(echo_ms)
            && let Some(instance) = &mut self.instance
        {
            instance.handle_echo(echo_ms);
        }
    }

    /// Ends a deregistered instance that has no runs left and whose ends the head has all acknowledged.
    fn end_if_finished(&mut self) {
        let current_instance = self.instance.as_ref();
        if current_instance.is_some_and(WorkerInstance::is_finished) {
            self.end_instance();
        }
    }

    fn end_instance(&mut self) {
        if let Some(instance) = self.instance.take() {
            self.former.close(instance.id().to_owned());
            self.schedule.expedite_if(true);
        }
    }

    fn report_not_started(&mut self, runs: Vec<RunId>) {
        self.schedule.expedite_if(!runs.is_empty());
        runs.into_iter().for_each(|run| self.not_started.push(run));
    }

    /// Withdraws all starts that the worker has not listed yet if the lease authority has expired: a head that received
    /// no reports from this agent may have started these runs elsewhere.
    fn enforce_authority(&mut self, now_ms: u64) {
        if !self.authority.has_expired(now_ms) {
            return;
        }
        if let Some(instance) = &mut self.instance {
            let withdrawn_runs = instance.withdraw_unlisted();
            self.report_not_started(withdrawn_runs);
        }
    }

    /// Marks the current instance as ended once all leases granted to it have expired. Does the same for the instance
    /// that the head's orders name but that has sent no heartbeat to this process, once the leases that a previous agent
    /// process may have granted to it have expired.
    fn expire_unresponsive(&mut self, now_ms: u64) {
        let is_report_needed = self.former.expire_unknown(now_ms);
        self.schedule.expedite_if(is_report_needed);
        let current_instance = self.instance.as_mut();
        let Some(instance) = current_instance.filter(|instance| instance.is_expiry_due(now_ms))
        else {
            return;
        };
        let id = instance.id().to_owned();
        let withdrawn_runs = instance.expire();
        self.report_not_started(withdrawn_runs);
        self.former.expire(id.clone());
        self.schedule.expedite_if(true);
        self.events.push(AgentEvent::Unresponsive { instance: id });
    }

    fn report_due_ms(&self) -> Option<u64> {
        let has_pending_updates = self.former.is_report_pending() || self.not_started.is_pending();
        self.schedule.due_ms(has_pending_updates)
    }

    fn report(&mut self, now_ms: u64) -> AgentReport {
        self.schedule.handle_report_sent(now_ms);
        self.authority.handle_report_sent(now_ms);
        let current_instance = self.instance.as_mut();
        let instance = current_instance
            .filter(|instance| !instance.is_expired())
            .map(|instance| {
                instance.handle_report_sent(now_ms);
                let include_runs = self.reported_runs.needs_runs(now_ms, instance);
                instance.report(now_ms, include_runs)
            });
        AgentReport {
            sent_ms: now_ms,
            instance,
            ended_instances: self.former.ended_updates().take_pending(),
            not_started: self.not_started.take_pending(),
        }
    }
}
