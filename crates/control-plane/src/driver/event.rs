//! Events that the driver handles.

use crate::core_member::Input;
use crate::operator::{OperatorRequest, OperatorResponse};
use futures_channel::oneshot;
use indigofold_net::signals::Signal;
use indigofold_protocol::internal::Frame;

/// An event that a task reading sockets, storage responses or signals passes to the driver.
#[expect(
    clippy::large_enum_variant,
    reason = "most events are frames: boxing each one would cost more"
)]
pub(super) enum Event {
    /// An input for the core member.
    CoreMember(Input),
    /// A request of the operator.
    Operator {
        /// Read or change of the configuration.
        request: OperatorRequest,
        /// Channel for the response.
        reply: oneshot::Sender<OperatorResponse>,
    },
    /// SIGTERM or SIGHUP was received.
    Signal(Signal),
}

impl Event {
    /// The kind of the event, for the log.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Event::CoreMember(input) => input_kind(input),
            Event::Operator { .. } => "operator",
            Event::Signal(_) => "signal",
        }
    }
}

fn input_kind(input: &Input) -> &'static str {
    match input {
        Input::Dialled { .. } | Input::DialFailed { .. } => "dial",
        Input::Frame { frame, .. } => frame_kind(frame),
        Input::Closed { .. } => "closed",
        Input::Operator { .. } => "operator",
        Input::Storage(_) => "storage",
        Input::Seeds(_) => "seeds",
        Input::StepDown => "step_down",
    }
}

fn frame_kind(frame: &Frame) -> &'static str {
    match frame {
        Frame::Hello(_) => "hello",
        Frame::Welcome(_) => "welcome",
        Frame::Call(_) => "call",
        Frame::Reply(_) => "reply",
        Frame::Report(_) => "report",
        Frame::Orders(_) => "orders",
        Frame::Replication(_) => "replication",
        Frame::Inspect(_) => "inspect",
        Frame::Inspected(_) => "inspected",
    }
}
