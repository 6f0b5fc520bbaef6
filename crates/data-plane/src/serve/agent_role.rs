//! The [`Role`] of the node agent: connects its state machine to the link to the core.

use super::role::{HeadStatus, Role};
use crate::agent::{Agent, AgentEvent};
use futures_channel::oneshot;
use indigofold_protocol::internal::Frame;
use std::rc::Rc;

/// The node agent and the heartbeat reply that waits for orders.
pub(super) struct AgentRole {
    agent: Agent,
    /// Wakes the reply that waits for orders; `None` if none waits. A newer heartbeat replaces the sender, which also
    /// wakes the older reply.
    waiting_reply: Option<oneshot::Sender<()>>,
}

impl AgentRole {
    /// Creates the role; no reply waits for orders.
    pub(super) fn new(agent: Agent) -> Self {
        AgentRole {
            agent,
            waiting_reply: None,
        }
    }

    /// The state machine of the node agent.
    pub(super) fn agent(&mut self) -> &mut Agent {
        &mut self.agent
    }

    /// Registers a reply that waits for orders. The receiver completes when orders arrive or another reply waits.
    pub(super) fn wait_for_orders(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiting_reply = Some(sender);
        receiver
    }

    fn log_events(&mut self) {
        for event in self.agent.poll_events() {
            match event {
                AgentEvent::Pending {
                    instance,
                    current: Some(current),
                } => log::info!(
                    "heartbeat of another worker instance, not registered before its next one instance={instance} current={current}"
                ),
                AgentEvent::Pending {
                    instance,
                    current: None,
                } => log::debug!(
                    "heartbeat of a worker instance, not registered before its next one instance={instance}"
                ),
                AgentEvent::Replaced {
                    instance,
                    successor,
                } => log::info!(
                    "worker instance ended, replaced by another instance={instance} successor={successor}"
                ),
                AgentEvent::Registered { instance } => {
                    log::info!("worker instance registered instance={instance}");
                }
                AgentEvent::Deregistered { instance } => {
                    log::info!("worker instance deregistered instance={instance}");
                }
                AgentEvent::Unresponsive { instance } => log::warn!(
                    "worker instance unresponsive, its run leases have expired instance={instance}"
                ),
                AgentEvent::Returned { instance } => {
                    log::info!("worker instance responsive after expiry instance={instance}");
                }
                AgentEvent::RegistrationDeferred { instance } => log::warn!(
                    "worker instance not registered before a head acknowledges the ends of former ones instance={instance}"
                ),
                AgentEvent::UnknownUpdateAcknowledged { number } => log::warn!(
                    "acknowledgement of an update ignored, it was never reported number={number}"
                ),
            }
        }
    }
}

impl Role for AgentRole {
    fn handle_head_status(&mut self, _status: HeadStatus<'_>) {}

    fn handle_attached(&mut self, _now_ms: u64) -> Vec<Rc<Frame>> {
        self.agent.handle_connected();
        Vec::new()
    }

    fn handle_detached(&mut self, _now_ms: u64) {
        self.agent.handle_disconnected();
    }

    fn handle_frame(&mut self, now_ms: u64, frame: Frame) {
        if let Frame::Orders(orders) = frame {
            let has_work = orders.has_work();
            self.agent.handle_orders(now_ms, orders);
            if let Some(reply) = self.waiting_reply.take_if(|_| has_work) {
                // The send fails if the reply was sent after its longest wait, so that nothing is left to wake.
                let _ = reply.send(());
            }
        }
    }

    /// Returns `None`: the head answers every report, and reports are frequent enough to notice an unresponsive head.
    fn liveness_probe(&self) -> Option<Frame> {
        None
    }

    fn awaits_reply(&self) -> bool {
        false
    }

    fn poll_frames(&mut self, now_ms: u64) -> Vec<Rc<Frame>> {
        let report = self.agent.poll_report(now_ms);
        self.log_events();
        report
            .map(|report| Rc::new(Frame::Report(report)))
            .into_iter()
            .collect()
    }

    fn next_timeout_ms(&self) -> Option<u64> {
        self.agent.next_timeout_ms()
    }
}
