//! Inputs and outputs of a [`CoreMember`](super::CoreMember), and its settings.

use crate::config_authority::OperatorCallId;
use crate::operator::{OperatorRequest, OperatorResponse};
use crate::sessions::ConnectionId;
use crate::storage_thread::{StorageRequest, StorageResponse};
use indigofold_protocol::internal::{Frame, Hello, MemberAddress};
use indigofold_replication::StorageError;
use indigofold_scheduler::Bounds;
use std::net::SocketAddr;

/// Settings of a member. Only the seeds may change while it runs.
#[derive(Clone, Debug)]
pub struct CoreMemberSettings {
    /// Hello that the member sends on connections that it opens.
    pub hello: Hello,
    /// Name and addresses of the member itself.
    pub address: MemberAddress,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole cluster starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Number of machines whose simultaneous loss must be tolerated.
    pub tolerated_losses: usize,
    /// Bounds of the scheduler.
    pub bounds: Bounds,
    /// Seed of the member's random number generators.
    pub random_seed: u64,
}

/// An event that a member handles.
#[derive(Debug)]
pub enum Input {
    /// A dial requested by [`Output::Dial`] has succeeded.
    Dialled {
        /// Internal address of the dialled member.
        address: SocketAddr,
        /// Connection on which this member is to send its hello.
        connection: ConnectionId,
    },
    /// A dial requested by [`Output::Dial`] has failed.
    DialFailed {
        /// Internal address of the dialled member.
        address: SocketAddr,
    },
    /// A frame was received.
    Frame {
        /// Connection on which it was received.
        connection: ConnectionId,
        /// Decoded frame; its sender is not checked yet.
        frame: Frame,
    },
    /// A connection was closed.
    Closed {
        /// Connection that either side has closed, or that has failed.
        connection: ConnectionId,
    },
    /// A request of the operator.
    Operator {
        /// ID of the request, to be used in the response.
        call: OperatorCallId,
        /// Read or change of the configuration.
        request: OperatorRequest,
    },
    /// A response of the storage thread.
    Storage(StorageResponse),
    /// The seeds have changed to these internal addresses.
    Seeds(Vec<SocketAddr>),
    /// The process is about to stop: the member hands over its role and leaves the chain.
    StepDown,
}

/// An action that a member's driver has to take. Actions are to be taken in the order in which they are returned.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most outputs are frames: boxing each one would cost more"
)]
pub enum Output {
    /// Send a frame.
    Send {
        /// Connection on which to send.
        connection: ConnectionId,
        /// Frame to encode and queue; dropped if the connection has closed.
        frame: Frame,
    },
    /// Close a connection. The driver may, but need not, report it with [`Input::Closed`].
    Close {
        /// Connection to close at once; frames that are queued on it are lost.
        connection: ConnectionId,
    },
    /// Connect to a member. The driver reports the result with [`Input::Dialled`] or [`Input::DialFailed`].
    Dial {
        /// Internal address of the member.
        address: SocketAddr,
    },
    /// Respond to a request of the operator.
    Respond {
        /// ID of the request.
        call: OperatorCallId,
        /// Status and body are derived from it.
        response: OperatorResponse,
    },
    /// Pass a request to the storage thread.
    Storage(StorageRequest),
    /// End the process, as the database is damaged. At its next start the process quarantines the database, and the member
    /// starts without stored state.
    Damaged {
        /// The damage that was found.
        error: StorageError,
    },
}
