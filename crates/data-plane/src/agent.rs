//! The node agent of one worker: answers the worker's heartbeats, forwards the head's orders to it, and reports its
//! state and runs to the head. A state machine without I/O: inputs are `handle_*`, outputs are `poll_*`; `now_ms` is a
//! reading of the machine's monotonic clock in milliseconds.

mod closed_runs;
mod event;
mod former_instances;
mod heartbeat;
mod heartbeat_interval;
mod instances;
mod lease_authority;
mod pending_instances;
mod report_schedule;
mod reported_runs;
mod reporting;
mod run_table;
mod update_list;
mod update_sequence;
mod wire_runs;
mod worker_instance;

pub use closed_runs::CLOSED_RUNS_MAX;
pub use event::AgentEvent;
pub use former_instances::ENDED_INSTANCES_MAX;
pub use heartbeat::{
    HeartbeatAdmission, HeartbeatOutcome, HeartbeatReceipt, HeartbeatSource, WorkerConnectionId,
};
pub use heartbeat_interval::{
    BUSY_HEARTBEAT_MS, IDLE_HEARTBEAT_MS, RECENT_ORDER_MS, REGISTRATION_HEARTBEAT_MS,
};
pub use lease_authority::expires_by_ms;
pub use pending_instances::PENDING_INSTANCES_MAX;
pub use report_schedule::{REPORT_INTERVAL_MS, REPORT_SPACING_MS};
pub use reported_runs::PROGRESS_INTERVAL_MS;
pub use run_table::{CAPACITY_WAIT_MS, SEND_ATTEMPTS_MAX, STARTS_PER_REPLY_MAX};
pub use update_sequence::{ACKNOWLEDGEMENT_TIMEOUT_MS, UPDATE_RETRY_MS};

use heartbeat_interval::HeartbeatInterval;
use indigofold_protocol::internal::AgentOrders;
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{Heartbeat, HeartbeatReply};
use instances::{Admission, Instances};
use lease_authority::LeaseAuthority;
use report_schedule::ReportSchedule;
use reported_runs::ReportedRuns;
use update_list::UpdateList;
use update_sequence::UpdateSequence;
use wire_runs::{start_entries, stop_entries};
use worker_instance::WorkerInstance;

/// Number of starts not carried out beyond which those that a head without acknowledgements has answered are dropped.
pub const NOT_STARTED_MAX: usize = 512;
/// Maximum time that the reply to a heartbeat waits for expected orders, which take a message to the head, a disk write
/// there and a message back. Replying without them would delay them until the next heartbeat, which a busy worker sends
/// late because each end of a run delays it.
pub const ORDERS_WAIT_MS: u64 = 100;

/// The state of the node agent.
#[derive(Debug)]
pub struct Agent {
    authority: LeaseAuthority,
    /// Highest epoch of the orders received; 0 before the first orders.
    epoch: u64,
    instances: Instances,
    /// Starts that will never be carried out, until the head acknowledges them.
    not_started: UpdateList<RunId>,
    sequence: UpdateSequence,
    heartbeat_interval: HeartbeatInterval,
    schedule: ReportSchedule,
    reported_runs: ReportedRuns,
}

impl Agent {
    /// Creates an agent to which neither a worker nor a head has connected. `max_lease_ms` is the longest lease that
    /// workers accept.
    pub fn new(now_ms: u64, max_lease_ms: u64) -> Self {
        Agent {
            authority: LeaseAuthority::new(max_lease_ms),
            epoch: 0,
            instances: Instances::new(now_ms),
            not_started: UpdateList::new(NOT_STARTED_MAX),
            sequence: UpdateSequence::default(),
            heartbeat_interval: HeartbeatInterval::default(),
            schedule: ReportSchedule::new(now_ms),
            reported_runs: ReportedRuns::default(),
        }
    }

    /// Handles the heartbeat in a `PUT /instances/ID`. If it is accepted, the caller then calls
    /// [`Agent::poll_heartbeat_reply`].
    ///
    /// An instance registers, or returns after its leases expired, with its second heartbeat.
    pub fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        source: HeartbeatSource<'_>,
        heartbeat: Heartbeat,
    ) -> HeartbeatAdmission {
        let has_deregistered = match self.instances.admit(now_ms, source, heartbeat.seq_no) {
            Admission::Superseded => return HeartbeatAdmission::Superseded,
            Admission::Pending { retry_delay_ms } => {
                return HeartbeatAdmission::Pending(HeartbeatReply {
                    retry_delay_ms: Some(retry_delay_ms),
                    ..HeartbeatReply::default()
                });
            }
            Admission::Registered { has_deregistered } => {
                self.handle_registration(now_ms);
                has_deregistered
            }
            Admission::Current => false,
        };
        let admission = self.read_heartbeat(now_ms, heartbeat);
        if has_deregistered {
            self.handle_deregistration(source.instance);
        }
        admission
    }

    /// Returns the reply to the accepted heartbeat `seq_no`. A heartbeat that a newer one has superseded gets no
    /// orders.
    pub fn poll_heartbeat_reply(&mut self, now_ms: u64, id: &str, seq_no: u64) -> HeartbeatOutcome {
        self.enforce_authority(now_ms);
        let current_instance = self.instances.find_current_mut(id);
        let newest_instance = current_instance.filter(|instance| instance.is_newest(seq_no));
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

    /// Handles `DELETE /instances/ID`. The instance ends once the head has acknowledged all ends that the worker has listed
    /// and, unless it was draining, the worker has listed the end of each run; at the latest when its leases expire.
    pub fn handle_deregistration(&mut self, id: &str) {
        let Some(instance) = self.instances.find_current_mut(id) else {
            return self.instances.handle_pending_deregistration(id);
        };
        if instance.is_deregistered() {
            return;
        }
        let withdrawn_runs = instance.withdraw_unlisted();
        instance.deregister();
        self.schedule.expedite_if(true);
        self.instances.push_event(AgentEvent::Deregistered {
            instance: id.to_owned(),
        });
        self.end_if_finished();
        self.report_not_started(withdrawn_runs);
    }

    /// Handles orders of the head. Orders with an epoch below the highest one received are dropped; of orders for an
    /// instance other than the current one, only the epoch, the echo and the acknowledgement of updates are used.
    pub fn handle_orders(&mut self, now_ms: u64, orders: AgentOrders) {
        if orders.epoch < self.epoch {
            return;
        }
        self.epoch = orders.epoch;
        self.enforce_authority(now_ms);
        self.handle_answer(&orders);
        let Some(instance) = self.instances.find_current_mut(&orders.instance) else {
            let has_current = self.instances.current().is_some();
            let former = self.instances.former_mut();
            let is_report_needed = former.handle_unknown(orders.instance, has_current);
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
        let ends_now = instance.ends_now();
        self.report_not_started(not_started);
        if ends_now {
            // No heartbeat follows whose reply would end it.
            self.end_if_finished();
        }
    }

    /// Returns the events since the last call, oldest first.
    pub fn poll_events(&mut self) -> Vec<AgentEvent> {
        self.instances.poll_events()
    }

    /// Handles the registration of the current instance, or its return: it is reported at once and in full.
    fn handle_registration(&mut self, now_ms: u64) {
        self.schedule.expedite_if(true);
        self.reported_runs.reset();
        self.heartbeat_interval.handle_activity(now_ms);
    }

    /// Reads a heartbeat of the current instance.
    fn read_heartbeat(&mut self, now_ms: u64, heartbeat: Heartbeat) -> HeartbeatAdmission {
        self.enforce_authority(now_ms);
        let Some(instance) = self.instances.current_mut() else {
            return HeartbeatAdmission::Superseded;
        };
        let seq_no = heartbeat.seq_no;
        let changes = instance.handle_heartbeat(now_ms, heartbeat);
        let is_confirmed = instance.is_confirmed();
        self.schedule.expedite_if(changes.urgent);
        self.report_not_started(changes.not_started);
        HeartbeatAdmission::Accepted(HeartbeatReceipt {
            seq_no,
            expects_orders: changes.ended && is_confirmed && self.schedule.is_connected(),
        })
    }

    /// Ends a deregistered instance of which no run goes on and whose ends the head has all acknowledged.
    fn end_if_finished(&mut self) {
        let current_instance = self.instances.current();
        if current_instance.is_some_and(WorkerInstance::is_finished) {
            let has_ended = self.instances.end_current();
            self.schedule.expedite_if(has_ended);
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
        if let Some(instance) = self.instances.current_mut() {
            let withdrawn_runs = instance.withdraw_unlisted();
            self.report_not_started(withdrawn_runs);
        }
    }

    /// Marks the current instance as ended once all leases granted to it have expired. Does the same for the instance
    /// that the head's orders name but that has sent no heartbeat to this process, once the leases that a previous agent
    /// process may have granted to it have expired.
    fn expire_unresponsive(&mut self, now_ms: u64) {
        let is_report_needed = self.instances.former_mut().expire_unknown(now_ms);
        self.schedule.expedite_if(is_report_needed);
        if let Some(withdrawn_runs) = self.instances.expire_current(now_ms) {
            self.report_not_started(withdrawn_runs);
            self.schedule.expedite_if(true);
        }
    }
}
