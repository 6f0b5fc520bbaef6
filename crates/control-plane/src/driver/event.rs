//! Events of the driver.

use crate::core_member::Input;
use crate::operator::{OperatorRequest, OperatorResponse};
use futures_channel::oneshot;
use indigofold_net::signals::Signal;

/// An event that the tasks on sockets, storage and signals pass to the driver.
#[expect(
    clippy::large_enum_variant,
    reason = "most events are frames: boxing each one would cost more"
)]
pub(super) enum Event {
    /// An input for the node.
    CoreMember(Input),
    /// A request of the operator.
    Operator {
        /// The request.
        request: OperatorRequest,
        /// Where the response goes.
        reply: oneshot::Sender<OperatorResponse>,
    },
    /// A signal.
    Signal(Signal),
}
