//! Events that the driver handles.

use crate::core_member::Input;
use crate::operator::{OperatorRequest, OperatorResponse};
use futures_channel::oneshot;
use indigofold_net::signals::Signal;

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
