//! Inputs and outputs of a [`CoreMember`](super::CoreMember), and its settings.

use crate::config_authority::OperatorCallId;
use crate::operator::{OperatorRequest, OperatorResponse};
use crate::sessions::ConnectionId;
use crate::storage_thread::{StorageRequest, StorageResponse};
use indigofold_protocol::internal::{Frame, Hello, MemberAddress};
use indigofold_replication::StorageError;
use indigofold_scheduler::Bounds;
use std::net::SocketAddr;

/// Settings of a member, fixed at its start but for the seeds.
#[derive(Clone, Debug)]
pub struct CoreMemberSettings {
    /// The greeting on connections that it opens.
    pub hello: Hello,
    /// Its own addresses.
    pub address: MemberAddress,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// The whole cluster starts for the first time.
    pub bootstrap: bool,
    /// Number of machines that may fail at once.
    pub tolerated_losses: usize,
    /// Bounds of the scheduler.
    pub bounds: Bounds,
    /// Seed of the random numbers.
    pub random_seed: u64,
}

/// An event that a member handles.
#[derive(Debug)]
pub enum Input {
    /// Dialling a member has succeeded.
    Dialled {
        /// Its internal address.
        address: SocketAddr,
        /// The connection.
        connection: ConnectionId,
    },
    /// Dialling a member has failed.
    DialFailed {
        /// Its internal address.
        address: SocketAddr,
    },
    /// A frame was received.
    Frame {
        /// The connection.
        connection: ConnectionId,
        /// The frame.
        frame: Frame,
    },
    /// A connection is closed.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// A request of the operator.
    Operator {
        /// Number of the request.
        call: OperatorCallId,
        /// The request.
        request: OperatorRequest,
    },
    /// A response of the storage thread.
    Storage(StorageResponse),
    /// The seeds have changed to these internal addresses.
    Seeds(Vec<SocketAddr>),
    /// The process is about to stop.
    StepDown,
}

/// An action that a member's driver has to take, in this order.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most outputs are frames: boxing each one would cost more"
)]
pub enum Output {
    /// Send a frame.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The frame.
        frame: Frame,
    },
    /// Close a connection; [`Input::Closed`] need not follow.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Connect to a member.
    Dial {
        /// Its internal address.
        address: SocketAddr,
    },
    /// Respond to the operator.
    Respond {
        /// Number of the request.
        call: OperatorCallId,
        /// The response.
        response: OperatorResponse,
    },
    /// Pass a request to the storage thread.
    Storage(StorageRequest),
    /// End the process, as the database is damaged. At its next start the process quarantines the database and is a
    /// member without stored state.
    Damaged {
        /// What was found.
        error: StorageError,
    },
}
