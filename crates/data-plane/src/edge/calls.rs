//! Clients' calls under way: sent to the acting head, resent to its successor, answered or timed out.

use super::answer::{Answer, RETRY_MS};
use super::request::ParsedRequest;
use indigofold_protocol::internal::{
    ClientCall, ClientOperation, ClientOutcome, ClientReply, Frame,
};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of a call on this edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientCallId(pub u64);

/// The number of liveness probes; no client's call has it.
const PROBE_CALL: ClientCallId = ClientCallId(0);

/// A call that no client waits for: it has no route, so the head replies at once without doing anything.
pub fn liveness_probe() -> Frame {
    let (host, path) = (String::new(), String::new());
    Frame::Call(ClientCall {
        call: PROBE_CALL.0,
        host,
        path,
        operation: ClientOperation::Get,
    })
}

/// Limits on the calls under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// A call times out this long before its client does.
    pub answer_margin_ms: u64,
    /// A call whose head is lost waits at most this long for a successor.
    pub orphan_ms: u64,
    /// Most calls under way; others are rejected.
    pub calls_max: usize,
}

impl Default for CallLimits {
    fn default() -> Self {
        CallLimits {
            answer_margin_ms: 100,
            orphan_ms: 1_200,
            calls_max: 2_000,
        }
    }
}

/// What the process has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEffect {
    /// Send this frame to the acting head.
    Send(Rc<Frame>),
    /// Answer the client of this call.
    Answer(ClientCallId, Answer),
}

/// A client's call that has come in.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// Host that the client has named.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// The rest of the request.
    pub request: ParsedRequest,
}

/// A call that was taken over.
#[derive(Clone, Debug, PartialEq)]
pub struct BegunCall {
    /// Its number.
    pub id: ClientCallId,
    /// What to do for it first.
    pub effect: CallEffect,
}

#[derive(Debug)]
struct PendingCall {
    frame: Rc<Frame>,
    reads_only: bool,
    /// Sent more than once: an earlier head may have carried it out.
    resent: bool,
    deadline_ms: u64,
    /// Its head was lost; it times out at this time.
    orphaned_until_ms: Option<u64>,
}

/// All calls under way.
#[derive(Debug)]
pub struct Calls {
    limits: CallLimits,
    calls: BTreeMap<ClientCallId, PendingCall>,
    last_call: ClientCallId,
    has_head: bool,
}

impl Calls {
    /// No call is under way, and no head is connected.
    pub fn new(limits: CallLimits) -> Self {
        Calls {
            limits,
            calls: BTreeMap::new(),
            last_call: PROBE_CALL,
            has_head: false,
        }
    }

    /// A client's call has come in.
    pub fn begin(&mut self, now_ms: u64, call: NewCall) -> BegunCall {
        self.last_call = ClientCallId(self.last_call.0 + 1);
        let id = self.last_call;
        let effect = match self.rejection() {
            Some(answer) => CallEffect::Answer(id, answer),
            None => CallEffect::Send(self.insert(now_ms, id, call)),
        };
        BegunCall { id, effect }
    }

    fn rejection(&self) -> Option<Answer> {
        if !self.has_head {
            return Some(Answer::no_head());
        }
        (self.calls.len() >= self.limits.calls_max)
            .then(|| Answer::retry_later(503, RETRY_MS, "too many calls are under way"))
    }

    fn insert(&mut self, now_ms: u64, id: ClientCallId, call: NewCall) -> Rc<Frame> {
        let ParsedRequest {
            operation,
            client_timeout_ms,
        } = call.request;
        let reads_only = operation == ClientOperation::Get;
        let frame = Rc::new(Frame::Call(ClientCall {
            call: id.0,
            host: call.host,
            path: call.path,
            operation,
        }));
        let margin_ms = self.limits.answer_margin_ms.min(client_timeout_ms / 2);
        let pending = PendingCall {
            frame: Rc::clone(&frame),
            reads_only,
            resent: false,
            deadline_ms: now_ms + (client_timeout_ms - margin_ms),
            orphaned_until_ms: None,
        };
        self.calls.insert(id, pending);
        frame
    }

    /// The head has replied. A reply to a call that has ended is ignored.
    pub fn handle_reply(&mut self, reply: ClientReply) -> Option<CallEffect> {
        let id = ClientCallId(reply.call);
        let call = self.calls.remove(&id)?;
        Some(CallEffect::Answer(id, call.answer(reply.outcome)))
    }

    /// The client has disconnected.
    pub fn abandon(&mut self, id: ClientCallId) {
        self.calls.remove(&id);
    }

    /// An acting head is connected: all calls under way are resent to it.
    pub fn handle_attached(&mut self) -> Vec<CallEffect> {
        self.has_head = true;
        let waiting = self.calls.values_mut();
        waiting
            .map(|call| {
                call.orphaned_until_ms = None;
                call.resent = true;
                CallEffect::Send(Rc::clone(&call.frame))
            })
            .collect()
    }

    /// The acting head is lost.
    pub fn handle_detached(&mut self, now_ms: u64) {
        self.has_head = false;
        let until_ms = now_ms + self.limits.orphan_ms;
        self.calls.values_mut().for_each(|call| {
            call.orphaned_until_ms.get_or_insert(until_ms);
        });
    }

    /// Times out calls.
    pub fn handle_timeout(&mut self, now_ms: u64) -> Vec<CallEffect> {
        let expired = self
            .calls
            .extract_if(.., |_, call| call.timeout_ms() <= now_ms);
        expired
            .map(|(id, call)| CallEffect::Answer(id, call.time_out_answer()))
            .collect()
    }

    /// When [`Calls::handle_timeout`] is to be called next, at the latest.
    pub fn next_timeout_ms(&self) -> Option<u64> {
        self.calls.values().map(PendingCall::timeout_ms).min()
    }

    /// Whether no call is under way.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl PendingCall {
    fn timeout_ms(&self) -> u64 {
        self.orphaned_until_ms
            .map_or(self.deadline_ms, |until_ms| until_ms.min(self.deadline_ms))
    }

    /// The client's answer. A call that was rejected when it was resent may have been carried out the first time, so the
    /// client must not take it for rejected.
    fn answer(&self, outcome: ClientOutcome) -> Answer {
        let is_rejected = matches!(
            outcome,
            ClientOutcome::TooMany { .. }
                | ClientOutcome::Unavailable { .. }
                | ClientOutcome::UnknownRoute
                | ClientOutcome::Invalid { .. }
        );
        if is_rejected && self.resent && !self.reads_only {
            Answer::no_reply()
        } else {
            Answer::from(outcome)
        }
    }

    fn time_out_answer(&self) -> Answer {
        if self.reads_only {
            Answer::no_head()
        } else {
            Answer::no_reply()
        }
    }
}
