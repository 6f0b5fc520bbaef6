//! The [`Role`] of the edge: sends its calls over the link to the core and passes answers to the waiting clients.

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

/// A call in progress and the channel for its answer.
pub(super) struct AwaitedAnswer {
    /// Number of the call.
    pub call: ClientCallId,
    /// Receives the answer; fails if the call was abandoned.
    pub receiver: oneshot::Receiver<Answer>,
}

/// The calls in progress, the clients that wait for them, and the state received from the head.
pub(super) struct EdgeRole {
    calls: Calls,
    readiness: Readiness,
    /// The channels of the clients that wait for an answer.
    waiters: HashMap<ClientCallId, oneshot::Sender<Answer>>,
    /// Frames that the next poll returns.
    outbox: Vec<Rc<Frame>>,
    /// The HTTP server for clients; `None` until it runs.
    frontend: Option<HttpServer>,
    /// The limits last set on the server; `None` before the first ones from a head.
    limits: Option<IngressLimits>,
}

impl EdgeRole {
    /// Creates the role without calls.
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

    /// Begins a client's call; the answer is sent through the returned channel.
    pub(super) fn begin(&mut self, call: NewCall) -> AwaitedAnswer {
        let BegunCall { id, effect } = self.calls.begin(steady_ms(), call);
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(id, sender);
        self.apply(effect);
        AwaitedAnswer { call: id, receiver }
    }

    /// Abandons a call whose client has disconnected.
    pub(super) fn abandon(&mut self, call: ClientCallId) {
        self.calls.abandon(call);
        self.waiters.remove(&call);
    }

    /// Sets the HTTP server whose options follow the limits that the head sends.
    pub(super) fn set_frontend(&mut self, frontend: HttpServer) {
        self.frontend = Some(frontend);
    }

    /// Makes the edge unready, because the process is about to end.
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
                    // The send fails if the client has disconnected.
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

/// The options of the HTTP server for clients under these limits.
pub(super) fn http_options(limits: &IngressLimits) -> HttpOptions {
    HttpOptions {
        max_header_bytes: limits.max_header_bytes as usize,
        max_body_bytes: limits.max_body_bytes as usize,
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
    }
}
