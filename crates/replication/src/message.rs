//! Messages between members.
//!
//! They are encoded with postcard: the order of variants and fields is the wire format, names are not part of it.

use crate::types::{Batch, Member, Row, View, ViewNumber, ViewStart, Viewstamp};
use indigofold_protocol::internal::MemberAddress;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Member,
    /// Its content.
    pub message: Message,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender has no head, and looks for one.
    Announce {
        /// The sender's addresses.
        address: MemberAddress,
    },
    /// Answer to [`Message::Announce`] of a member that is not the head.
    Addresses {
        /// Addresses of the members that the sender knows.
        addresses: Vec<MemberAddress>,
    },
    /// Asks for a pre-vote.
    PreVote(PreVote),
    /// Answer to [`Message::PreVote`].
    PreVoteReply(PreVoteReply),
    /// Asks for the promise to take part in no view below this number (Paxos, first phase).
    Prepare {
        /// Number of the view to come.
        number: ViewNumber,
        /// Number of the view on the sender's disk, if the sender is its head; 0 otherwise.
        headed_view: ViewNumber,
    },
    /// Answer to [`Message::Prepare`].
    PrepareOk(PrepareOk),
    /// The number of a [`Message::Prepare`], [`Message::Accept`] or [`Message::Heartbeat`] is too low, or the sender
    /// is bound to another head.
    PrepareReject {
        /// The number that is rejected.
        number: ViewNumber,
        /// Highest number that the sender has promised.
        promised: ViewNumber,
    },
    /// Asks to accept a view (Paxos, second phase).
    Accept {
        /// The view.
        view: View,
    },
    /// Answer to [`Message::Accept`], sent once the view is on disk.
    Accepted {
        /// The view's number.
        number: ViewNumber,
    },
    /// The head leads.
    Heartbeat(Heartbeat),
    /// Answer to [`Message::Heartbeat`].
    Grant(Grant),
    /// The head gives its lease back.
    Release {
        /// Number of its view.
        number: ViewNumber,
    },
    /// Asks the receiver to campaign at once (`TimeoutNow` in the Raft thesis, section 3.10).
    CampaignNow {
        /// Number of the view that ends.
        number: ViewNumber,
    },
    /// Writes on their way down the chain.
    Write(Write),
    /// The sender has this state on disk.
    Stored {
        /// The state.
        viewstamp: Viewstamp,
    },
    /// Writes are missing between the sender's state and one that it has received.
    WriteGap {
        /// The sender's state.
        viewstamp: Viewstamp,
    },
    /// Requests rows.
    Fetch(Fetch),
    /// Answer to [`Message::Fetch`].
    Rows(Rows),
}

/// Asks whether the receiver would vote for the sender (Raft thesis, section 9.6). It binds nobody.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreVote {
    /// Id of this request; the answer carries it.
    pub request_id: u64,
    /// State of the sender's rows.
    pub viewstamp: Viewstamp,
    /// Number of the view on the sender's disk, if the sender is its head; 0 otherwise.
    pub headed_view: ViewNumber,
}

/// Answer to [`PreVote`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreVoteReply {
    /// Id of the request.
    pub request_id: u64,
    /// Whether the sender would vote for the candidate now.
    pub granted: bool,
    /// Highest number that it has promised.
    pub promised: ViewNumber,
    /// The view it accepted last.
    pub view: Option<View>,
    /// That view is known to be agreed.
    pub agreed: bool,
}

/// Answer to [`Message::Prepare`], sent once the promise is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareOk {
    /// The number promised.
    pub number: ViewNumber,
    /// The view accepted last.
    pub view: Option<View>,
    /// That view is known to be agreed.
    pub agreed: bool,
    /// State of the sender's rows.
    pub viewstamp: Viewstamp,
    /// The sender is about to stop.
    pub draining: bool,
}

/// The head leads: its view is agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The view.
    pub view: View,
    /// The head's steady clock; the answer carries it.
    pub sent_ms: u64,
    /// Last write.
    pub seq: u64,
    /// The head's addresses.
    pub address: MemberAddress,
}

/// Answer to [`Heartbeat`]: a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The view's number.
    pub number: ViewNumber,
    /// The heartbeat's `sent_ms`.
    pub sent_ms: u64,
    /// State that the sender has on disk.
    pub viewstamp: Viewstamp,
    /// Age of the sender's oldest store that is not done, in milliseconds.
    pub store_age_ms: u64,
    /// The sender is about to stop.
    pub draining: bool,
    /// The sender's addresses.
    pub address: MemberAddress,
}

/// Writes on their way down the chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The view's number.
    pub number: ViewNumber,
    /// The writes, in order.
    pub batches: Vec<Arc<Batch>>,
    /// The receiver has to relay them to the next member of the chain.
    pub relay: bool,
}

/// Requests the rows that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Id of the transfer; the answers carry it.
    pub request_id: u64,
    /// State that the sender has.
    pub viewstamp: Viewstamp,
    /// Continue after this sequence number, in a transfer that has begun.
    pub after: Option<u64>,
}

/// Answer to [`Fetch`]: a chunk of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// Id of the transfer.
    pub request_id: u64,
    /// These are rows after this sequence number.
    pub after: u64,
    /// The receiver has to drop all rows it has first.
    pub clear: bool,
    /// The rows.
    pub rows: Vec<Row>,
    /// Further chunks follow.
    pub more: bool,
    /// State that the rows lead to, once no more follow.
    pub viewstamp: Viewstamp,
    /// The views that led to it.
    pub history: Vec<ViewStart>,
}

/// Bytes that are not a message.
#[derive(Debug, Snafu)]
#[snafu(display("a message of the replication protocol cannot be decoded: {source}"))]
pub struct DecodeError {
    source: postcard::Error,
}

/// Encodes an envelope. None of its types can fail to be encoded.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    postcard::to_allocvec(envelope).unwrap_or_default()
}

/// Decodes an envelope.
///
/// # Errors
///
/// The bytes are not what [`encode`] makes.
pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
    postcard::from_bytes(bytes).map_err(|source| DecodeError { source })
}
