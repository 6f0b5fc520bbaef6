//! Handles calls of edges, reports of node agents and requests of the operator.

use super::lease_filter::RETRY_AFTER_MS;
use super::{CoreMember, Output};
use crate::clocks::Clocks;
use crate::config_authority::OperatorCallId;
use crate::operator::{OperatorRequest, OperatorResponse};
use crate::sessions::{ConnectionId, ReportAdmission};
use indigofold_protocol::internal::{AgentReport, ClientCall, ClientOutcome, ClientReply, Frame};
use indigofold_scheduler::{AgentId, CallerId, Event};

impl CoreMember {
    /// Handles a client's call that an edge has forwarded. A member that is not the acting head replies that it is unavailable.
    pub(super) fn handle_call(
        &mut self,
        clocks: Clocks,
        connection: ConnectionId,
        call: ClientCall,
    ) {
        if !self.is_acting(clocks.steady_ms) {
            let outcome = ClientOutcome::Unavailable {
                retry_after_ms: RETRY_AFTER_MS,
            };
            let reply = ClientReply {
                call: call.call,
                outcome,
            };
            return self.send(connection, Frame::Reply(reply));
        }
        let replaced = self.sessions.call_opened(clocks.steady_ms, connection);
        self.close_replaced(clocks, replaced);
        let caller = CallerId(connection.0);
        self.scheduler_event(clocks, Event::Call { from: caller, call });
    }

    /// Handles a node agent's report. A member that is not the acting head ignores it. The agent keeps the report's updates
    /// until a head acknowledges them, and searches for the acting head if this member goes on ignoring its reports.
    pub(super) fn handle_report(
        &mut self,
        clocks: Clocks,
        connection: ConnectionId,
        report: AgentReport,
    ) {
        if !self.is_acting(clocks.steady_ms) {
            return self.ignore_report(connection, &report);
        }
        match self.sessions.admit_report(clocks.steady_ms, connection) {
            ReportAdmission::Handled { replaced } => self.close_replaced(clocks, replaced),
            ReportAdmission::Rejected { present, is_first } => {
                return self.reject_report(connection, present, is_first);
            }
            ReportAdmission::Incomplete => return self.close_connection(clocks, connection),
        }
        self.sessions
            .worker_reported(connection, report.instance.as_ref());
        let agent = AgentId(connection.0);
        self.scheduler_event(clocks, Event::Report { agent, report });
    }

    /// Leaves a report without an answer. An agent of a build that does not number updates counts them as received.
    fn ignore_report(&mut self, connection: ConnectionId, report: &AgentReport) {
        if report.has_unnumbered_updates() {
            self.sessions.updates_ignored(connection);
        }
        let session = self.sessions.get(connection);
        let agent = session.map_or("", |session| session.node_name.as_str());
        log::debug!("report ignored without a lease agent={agent}");
    }

    /// Closes connections that their process has given up. They may be open here because their end is late, and requests on
    /// them, too.
    fn close_replaced(&mut self, clocks: Clocks, replaced: Vec<ConnectionId>) {
        for connection in replaced {
            let session = self.sessions.get(connection);
            let node_name = session.map_or("", |session| session.node_name.as_str());
            log::info!("connection closed, its process uses a later one node={node_name}");
            self.close_connection(clocks, connection);
        }
    }

    /// Leaves a report without an answer because the node agent of another machine with the same name is present. The
    /// present one gets a welcome: if it has ended without its connection having been closed, its machine resets the
    /// connection.
    fn reject_report(&mut self, connection: ConnectionId, present: ConnectionId, is_first: bool) {
        if !is_first {
            return;
        }
        let session = self.sessions.get(connection);
        let agent = session.map_or("", |session| session.node_name.as_str());
        log::warn!(
            "report rejected, a node agent of another machine with this name is connected agent={agent}"
        );
        self.send_welcome(present);
    }

    /// Closes the connections of a machine's node agents whose reports were rejected, as the present agent has gone: they
    /// connect anew and report everything.
    pub(super) fn close_rejected(&mut self, clocks: Clocks, node_name: &str) {
        for connection in self.sessions.rejected_agents(node_name) {
            self.close_connection(clocks, connection);
        }
    }

    /// Closes the connections on which updates without a number were ignored though this member acts: its lease expired and
    /// was renewed before it could announce that it did not act. The agents connect anew and report all updates.
    pub(super) fn close_after_ignored_updates(&mut self, is_acting: bool) {
        let ignored = self.sessions.take_ignored_updates();
        if !is_acting {
            // The announcement says so, and makes these agents report everything anew.
            return;
        }
        for connection in ignored {
            let session = self.sessions.get(connection);
            let agent = session.map_or("", |session| session.node_name.as_str());
            log::info!("report ignored without a lease, connection closed agent={agent}");
            self.outputs.push(Output::Close { connection });
        }
    }

    /// Handles a request of the operator. A member that is not the acting head redirects to it.
    pub(super) fn handle_operator(
        &mut self,
        clocks: Clocks,
        call: OperatorCallId,
        request: OperatorRequest,
    ) {
        let is_acting = self.is_acting(clocks.steady_ms);
        let Some(head) = self.head_role.leading_mut().filter(|_| is_acting) else {
            let response = self.redirect(clocks.steady_ms);
            return self.outputs.push(Output::Respond { call, response });
        };
        match request {
            OperatorRequest::Change(change) => {
                let mut head_outputs = Vec::new();
                head.handle_change(clocks, call, change, &mut head_outputs);
                self.apply_head_outputs(clocks, head_outputs);
            }
            OperatorRequest::Read => {
                let text = head.config_text().map(<[u8]>::to_vec);
                let response = text.map_or(OperatorResponse::NoConfig, OperatorResponse::Config);
                self.outputs.push(Output::Respond { call, response });
            }
        }
    }

    /// Returns the response of a member that is not the acting head: a redirect to the head, if it knows one.
    fn redirect(&self, now_ms: u64) -> OperatorResponse {
        let own_address = self.settings.address.internal;
        let head = self
            .replica
            .head(now_ms)
            .filter(|head| head.internal != own_address);
        head.map_or(OperatorResponse::NoHead, |head| {
            OperatorResponse::RedirectToHead(head.control)
        })
    }
}
