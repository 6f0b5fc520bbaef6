//! Clients' calls under way: sent to the acting head, sent again to its successor, answered or given up in time.

use super::answer::Answer;
use indigofold_protocol::internal::{
    ClientCall, ClientOperation, ClientOutcome, ClientReply, Frame,
};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of a call on this edge.
pub type CallId = u64;

/// A number that no client's call has.
const PROBE_CALL: CallId = 0;

/// A call that no client waits for: no route leads there, so the head replies at once and does nothing.
pub fn liveness_probe() -> Frame {
    let (host, path) = (String::new(), String::new());
    Frame::Call(ClientCall {
        call: PROBE_CALL,
        host,
        path,
        operation: ClientOperation::Get,
    })
}

/// How long calls wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// A call is given up so long before its client gives up.
    pub answer_margin_ms: u64,
    /// A call whose head is lost waits at most so long for a successor.
    pub orphan_ms: u64,
    /// Most calls under way; further ones are turned away.
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

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send this frame to the acting head.
    Send(Rc<Frame>),
    /// Answer the client of this call.
    Answer(CallId, Answer),
}

#[derive(Debug)]
struct Call {
    frame: Rc<Frame>,
    reads_only: bool,
    /// Sent more than once: an earlier head may have carried it out.
    resent: bool,
    deadline_ms: u64,
    /// Its head was lost; it is given up at this time.
    orphaned_until_ms: Option<u64>,
}

/// All calls under way.
#[derive(Debug)]
pub struct Calls {
    limits: CallLimits,
    calls: BTreeMap<CallId, Call>,
    last_call: CallId,
    has_head: bool,
}

impl Calls {
    /// No calls, no head.
    pub fn new(limits: CallLimits) -> Self {
        Calls {
            limits,
            calls: BTreeMap::new(),
            last_call: PROBE_CALL,
            has_head: false,
        }
    }

    /// A client's call; its client gives up `client_timeout_ms` from now.
    pub fn begin(
        &mut self,
        now_ms: u64,
        host: String,
        path: String,
        operation: ClientOperation,
        client_timeout_ms: u64,
    ) -> (CallId, Effect) {
        self.last_call += 1;
        let call = self.last_call;
        if !self.has_head {
            return (call, Effect::Answer(call, Answer::no_head()));
        }
        if self.calls.len() >= self.limits.calls_max {
            let answer = Answer::retry_later(503, super::RETRY_MS, "too many calls are under way");
            return (call, Effect::Answer(call, answer));
        }
        let reads_only = operation == ClientOperation::Get;
        let frame = Rc::new(Frame::Call(ClientCall {
            call,
            host,
            path,
            operation,
        }));
        let margin_ms = self.limits.answer_margin_ms.min(client_timeout_ms / 2);
        let deadline_ms = now_ms + (client_timeout_ms - margin_ms);
        let waiting = Call {
            frame: Rc::clone(&frame),
            reads_only,
            resent: false,
            deadline_ms,
            orphaned_until_ms: None,
        };
        self.calls.insert(call, waiting);
        (call, Effect::Send(frame))
    }

    /// The head's reply. One to a call that is over is passed over.
    pub fn handle_reply(&mut self, reply: ClientReply) -> Option<Effect> {
        let call = self.calls.remove(&reply.call)?;
        Some(Effect::Answer(reply.call, call.answer(reply.outcome)))
    }

    /// The client has left.
    pub fn abandon(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    /// An acting head is connected: what waits is sent to it (again).
    pub fn handle_attached(&mut self) -> Vec<Effect> {
        self.has_head = true;
        let waiting = self.calls.values_mut();
        waiting
            .map(|call| {
                call.orphaned_until_ms = None;
                call.resent = true;
                Effect::Send(Rc::clone(&call.frame))
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

    /// Gives up the calls whose time is over.
    pub fn handle_timeout(&mut self, now_ms: u64) -> Vec<Effect> {
        let expired = self
            .calls
            .extract_if(.., |_, call| call.ends_ms() <= now_ms);
        expired
            .map(|(id, call)| Effect::Answer(id, call.gave_up()))
            .collect()
    }

    /// When [`Calls::handle_timeout`] is to be called next, at the latest.
    pub fn next_timeout_ms(&self) -> Option<u64> {
        self.calls.values().map(Call::ends_ms).min()
    }

    /// Whether no call is under way.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl Call {
    fn ends_ms(&self) -> u64 {
        self.orphaned_until_ms
            .map_or(self.deadline_ms, |until_ms| until_ms.min(self.deadline_ms))
    }

    /// The client's answer. A call that was refused when it was sent again may still have been carried out the first
    /// time, so the client must not take it for refused.
    fn answer(&self, outcome: ClientOutcome) -> Answer {
        let refused = matches!(
            outcome,
            ClientOutcome::TooMany { .. }
                | ClientOutcome::Unavailable { .. }
                | ClientOutcome::UnknownRoute
                | ClientOutcome::Invalid { .. }
        );
        if refused && self.resent && !self.reads_only {
            Answer::no_reply()
        } else {
            Answer::from(outcome)
        }
    }

    fn gave_up(&self) -> Answer {
        if self.reads_only {
            Answer::no_head()
        } else {
            Answer::no_reply()
        }
    }
}
