//! The edge as a role: its calls on the link to the core.

use super::role::{HeadStatus, Role};
use crate::edge::{
    self, Answer, BegunCall, CallEffect, CallLimits, Calls, ClientCallId, NewCall, Readiness,
};
use futures_channel::oneshot;
use indigofold_net::http::{HttpOptions, HttpServer};
use indigofold_net::steady_ms;
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::Frame;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A call under way, and where its answer comes in.
pub(super) struct AwaitedAnswer {
    /// The call.
    pub call: ClientCallId,
    /// Receives the answer; ends without one if the call was abandoned.
    pub receiver: oneshot::Receiver<Answer>,
}

/// The calls under way, the clients that wait for them, and what the head has set.
pub(super) struct EdgeRole {
    calls: Calls,
    readiness: Readiness,
    /// The clients that wait for an answer.
    waiters: HashMap<ClientCallId, oneshot::Sender<Answer>>,
    /// Frames to send with the next poll.
    outbox: Vec<Rc<Frame>>,
    /// The server of clients, once it runs.
    frontend: Option<HttpServer>,
    /// The limits that the server was given.
    limits: Option<IngressLimits>,
}

impl EdgeRole {
    /// No call is under way.
    pub(super) fn new() -> Self {
        EdgeRole {
            calls: Calls::new(CallLimits::default()),
            readiness: Readiness::default(),
            waiters: HashMap::new(),
            outbox: Vec::new(),
            frontend: None,
            limits: None,
        }
    }

    /// Takes over a client's call; the answer comes over the channel.
    pub(super) fn begin(&mut self, call: NewCall) -> AwaitedAnswer {
        let BegunCall { id, effect } = self.calls.begin(steady_ms(), call);
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(id, sender);
        self.apply(effect);
        AwaitedAnswer { call: id, receiver }
    }

    /// The call has ended: it was answered, or its client has disconnected.
    pub(super) fn end(&mut self, call: ClientCallId) {
        self.calls.abandon(call);
        self.waiters.remove(&call);
    }

    /// The server whose options follow the limits that the head names.
    pub(super) fn set_frontend(&mut self, frontend: HttpServer) {
        self.frontend = Some(frontend);
    }

    /// The process is about to end: it is not ready any more.
    pub(super) fn stop(&mut self) {
        self.readiness.stop();
    }

    /// Whether the platform may route new clients here.
    pub(super) fn is_ready(&self, now_ms: u64) -> bool {
        self.readiness.is_ready(now_ms)
    }

    fn apply(&mut self, effect: CallEffect) {
        match effect {
            CallEffect::Send(frame) => self.outbox.push(frame),
            CallEffect::Answer(call, answer) => {
                if let Some(waiter) = self.waiters.remove(&call) {
                    // The client may have disconnected.
                    let _ = waiter.send(answer);
                }
            }
        }
    }
}

impl Role for EdgeRole {
    fn handle_head_status(&mut self, status: HeadStatus<'_>) {
        self.readiness
            .handle_head_status(status.responsive_ms, status.config_version);
        if let (Some(limits), Some(frontend)) = (status.limits, &self.frontend)
            && self.limits.as_ref() != Some(limits)
        {
            frontend.set_options(http_options(limits));
            self.limits = Some(limits.clone());
        }
    }

    fn handle_attached(&mut self, _now_ms: u64) -> Vec<Rc<Frame>> {
        self.outbox.clear();
        let effects = self.calls.handle_attached();
        effects.into_iter().for_each(|effect| self.apply(effect));
        std::mem::take(&mut self.outbox)
    }

    fn handle_detached(&mut self, now_ms: u64) {
        self.calls.handle_detached(now_ms);
    }

    fn handle_frame(&mut self, _now_ms: u64, frame: Frame) {
        if let Frame::Reply(reply) = frame
            && let Some(effect) = self.calls.handle_reply(reply)
        {
            self.apply(effect);
        }
    }

    fn liveness_probe(&self) -> Option<Frame> {
        Some(edge::liveness_probe())
    }

    fn awaits_reply(&self) -> bool {
        !self.calls.is_empty()
    }

    fn poll_frames(&mut self, now_ms: u64) -> Vec<Rc<Frame>> {
        let effects = self.calls.handle_timeout(now_ms);
        effects.into_iter().for_each(|effect| self.apply(effect));
        std::mem::take(&mut self.outbox)
    }

    fn next_timeout_ms(&self) -> Option<u64> {
        self.calls.next_timeout_ms()
    }
}

/// The options of a server of clients under these limits.
pub(super) fn http_options(limits: &IngressLimits) -> HttpOptions {
    HttpOptions {
        max_header_bytes: limits.max_header_bytes as usize,
        max_body_bytes: limits.max_body_bytes as usize,
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
    }
}
