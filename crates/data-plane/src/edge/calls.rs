//! Clients' calls in progress: sent to the acting head, resent to the next head, answered or timed out.

use super::answer::{Answer, RETRY_DEFAULT_MS};
use super::request::ParsedRequest;
use indigofold_protocol::internal::{
    ClientCall, ClientOperation, ClientOutcome, ClientReply, Frame,
};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of a call, unique within this edge process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientCallId(pub u64);

/// Call number of all liveness probes; clients' calls start at 1.
const PROBE_CALL: ClientCallId = ClientCallId(0);

/// Returns a call that tests whether the head responds. Its host and path are empty, so the head finds no route and
/// replies at once without changing anything; no client waits for the reply.
pub fn liveness_probe() -> Frame {
    let (host, path) = (String::new(), String::new());
    Frame::Call(ClientCall {
        call: PROBE_CALL.0,
        host,
        path,
        operation: ClientOperation::Get,
    })
}

/// Limits on the calls in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// A call times out this long before its client does, but by no more than half of the client's timeout.
    pub answer_margin_ms: u64,
    /// Maximum time that a call waits for a new head after its head was lost.
    pub orphan_timeout_ms: u64,
    /// Maximum number of calls in progress; further calls are rejected.
    pub calls_max: usize,
}

impl Default for CallLimits {
    fn default() -> Self {
        CallLimits {
            answer_margin_ms: 100,
            orphan_timeout_ms: 1_200,
            calls_max: 2_000,
        }
    }
}

/// An action that the process carries out for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEffect {
    /// Send this frame to the acting head.
    Send(Rc<Frame>),
    /// Answer the client of this call.
    Answer(ClientCallId, Answer),
}

/// A client's call that was received.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// Host that the client named in the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Operation and timeout.
    pub request: ParsedRequest,
}

/// A call that was numbered and either sent or rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct BegunCall {
    /// Number of the call.
    pub id: ClientCallId,
    /// The first action: sends the call, or answers it if it was rejected.
    pub effect: CallEffect,
}

#[derive(Debug)]
struct PendingCall {
    frame: Rc<Frame>,
    reads_only: bool,
    /// Whether the call was sent more than once, so that an earlier head may have carried it out.
    resent: bool,
    /// Time at which the call times out, shortly before its client does.
    deadline_ms: u64,
    /// Time at which the call times out because its head was lost; `None` while a head is connected.
    orphaned_until_ms: Option<u64>,
}

/// All calls in progress.
#[derive(Debug)]
pub struct Calls {
    limits: CallLimits,
    calls: BTreeMap<ClientCallId, PendingCall>,
    last_call: ClientCallId,
    has_head: bool,
}

impl Calls {
    /// Creates the state without calls and without a connected head.
    pub fn new(limits: CallLimits) -> Self {
        Calls {
            limits,
            calls: BTreeMap::new(),
            last_call: PROBE_CALL,
            has_head: false,
        }
    }

    /// Numbers a client's call, and returns the frame to send or, if the call is rejected, its answer.
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
            .then(|| Answer::retry_later(503, RETRY_DEFAULT_MS, "too many calls are under way"))
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
        let answer_margin_ms = self.limits.answer_margin_ms.min(client_timeout_ms / 2);
        let pending_call = PendingCall {
            frame: Rc::clone(&frame),
            reads_only,
            resent: false,
            deadline_ms: now_ms + (client_timeout_ms - answer_margin_ms),
            orphaned_until_ms: None,
        };
        self.calls.insert(id, pending_call);
        frame
    }

    /// Handles a reply of the head. A reply to a call that has ended is ignored.
    pub fn handle_reply(&mut self, reply: ClientReply) -> Option<CallEffect> {
        let id = ClientCallId(reply.call);
        let call = self.calls.remove(&id)?;
        Some(CallEffect::Answer(id, call.answer(reply.outcome)))
    }

    /// Removes a call whose client has disconnected.
    pub fn abandon(&mut self, id: ClientCallId) {
        self.calls.remove(&id);
    }

    /// Handles a new connection to an acting head; all calls in progress are resent to it.
    pub fn handle_attached(&mut self) -> Vec<CallEffect> {
        self.has_head = true;
        let pending_calls = self.calls.values_mut();
        pending_calls
            .map(|call| {
                call.orphaned_until_ms = None;
                call.resent = true;
                CallEffect::Send(Rc::clone(&call.frame))
            })
            .collect()
    }

    /// Handles the loss of the acting head; calls wait for a new head for a limited time.
    pub fn handle_detached(&mut self, now_ms: u64) {
        self.has_head = false;
        let orphaned_until_ms = now_ms + self.limits.orphan_timeout_ms;
        self.calls.values_mut().for_each(|call| {
            call.orphaned_until_ms.get_or_insert(orphaned_until_ms);
        });
    }

    /// Removes the calls that have timed out, and returns their answers.
    pub fn handle_timeout(&mut self, now_ms: u64) -> Vec<CallEffect> {
        let expired_calls = self
            .calls
            .extract_if(.., |_, call| call.timeout_ms() <= now_ms);
        expired_calls
            .map(|(id, call)| CallEffect::Answer(id, call.time_out_answer()))
            .collect()
    }

    /// The latest time at which to call [`Calls::handle_timeout`] next; `None` without calls.
    pub fn next_timeout_ms(&self) -> Option<u64> {
        self.calls.values().map(PendingCall::timeout_ms).min()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl PendingCall {
    fn timeout_ms(&self) -> u64 {
        self.orphaned_until_ms
            .map_or(self.deadline_ms, |orphaned_until_ms| {
                orphaned_until_ms.min(self.deadline_ms)
            })
    }

    /// Maps the head's outcome to the client's answer. The first attempt of a resent call may have been carried out, so
    /// a rejection of the resent call is answered as an unknown result, unless the call only reads.
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
