//! Reports to the head, and the head's answers to them.

use super::event::AgentEvent;
use super::{Agent, WorkerInstance};
use indigofold_protocol::internal::{AgentOrders, AgentReport, InstanceReport};
use indigofold_protocol::task::RunId;

/// The updates that a report carries.
#[derive(Debug, Default)]
struct ReportUpdates {
    ended_instances: Vec<String>,
    not_started: Vec<RunId>,
    /// Whether the report lists the runs of the current instance.
    include_runs: bool,
    /// Number of the newest update; 0 without updates.
    newest: u64,
}

impl Agent {
    /// Handles a new connection to an acting head: the next report carries the complete state.
    pub fn handle_connected(&mut self) {
        self.schedule.handle_connected();
        self.reported_runs.reset();
        self.sequence.handle_connected();
        self.instances.former_mut().handle_connected();
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
        let timeouts = [self.instances.next_timeout_ms(), self.report_due_ms()];
        timeouts.into_iter().flatten().min()
    }

    /// Handles what the orders say of this agent's reports: which one they answer, and which updates are committed.
    pub(super) fn handle_answer(&mut self, orders: &AgentOrders) {
        if let Some(number) = orders.acknowledged_update
            && !self.sequence.handle_acknowledgement(number)
        {
            let event = AgentEvent::UnknownUpdateAcknowledged { number };
            self.instances.push_event(event);
        }
        if let Some(echo_ms) = orders.echo_sent_ms {
            self.handle_echo(echo_ms);
        }
        self.instances.former_mut().handle_progress(&self.sequence);
        self.not_started.handle_progress(&self.sequence);
    }

    /// Records that an acting head answered the report sent at `echo_ms`.
    fn handle_echo(&mut self, echo_ms: u64) {
        if !self.authority.handle_echo(echo_ms) {
            return;
        }
        self.sequence.handle_echo(echo_ms);
        if let Some(instance) = self.instances.current_mut() {
            instance.handle_echo(echo_ms);
        }
    }

    fn report_due_ms(&self) -> Option<u64> {
        let regular_due_ms = self.schedule.due_ms(self.has_unreported_updates())?;
        let retry_due_ms = self.sequence.retry_due_ms().unwrap_or(u64::MAX);
        Some(regular_due_ms.min(retry_due_ms))
    }

    fn has_unreported_updates(&self) -> bool {
        self.instances.former().has_unreported() || self.not_started.has_unreported()
    }

    fn report(&mut self, now_ms: u64) -> AgentReport {
        self.schedule.handle_report_sent(now_ms);
        self.authority.handle_report_sent(now_ms);
        let updates = self.poll_updates(now_ms);
        AgentReport {
            sent_ms: now_ms,
            instance: self.report_instance(now_ms, updates.include_runs),
            ended_instances: updates.ended_instances,
            not_started: updates.not_started,
            newest_update: updates.newest,
        }
    }

    /// Returns the updates for a report that is being sent: all that the head has not settled, or none if none is due.
    fn poll_updates(&mut self, now_ms: u64) -> ReportUpdates {
        let instance = self
            .instances
            .current()
            .filter(|instance| is_reported(instance));
        let is_list_due =
            instance.is_some_and(|instance| self.reported_runs.is_due(now_ms, instance));
        let retry_due_ms = self.sequence.retry_due_ms();
        let is_retry_due = retry_due_ms.is_some_and(|due_ms| due_ms <= now_ms);
        if !is_list_due && !is_retry_due && !self.has_unreported_updates() {
            return ReportUpdates::default();
        }
        let sequence = &mut self.sequence;
        let include_runs =
            instance.is_some_and(|instance| self.reported_runs.poll(now_ms, instance, sequence));
        ReportUpdates {
            include_runs,
            ended_instances: self.instances.former_mut().poll_ended(sequence),
            not_started: self.not_started.poll(sequence),
            newest: sequence.handle_sent(now_ms),
        }
    }

    /// Returns the part of a report about the current instance; `None` if there is none or its leases have expired.
    fn report_instance(&mut self, now_ms: u64, include_runs: bool) -> Option<InstanceReport> {
        let current_instance = self.instances.current_mut();
        let instance = current_instance.filter(|instance| is_reported(instance))?;
        instance.handle_report_sent(now_ms);
        Some(instance.report(now_ms, include_runs))
    }
}

fn is_reported(instance: &WorkerInstance) -> bool {
    !instance.is_expired()
}
