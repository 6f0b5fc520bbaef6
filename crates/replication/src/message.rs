//! Messages between members.
//!
//! They are encoded with postcard: the order of variants and fields is the wire format, names are not part of it.

use crate::types::{Batch, Member, Row, View, ViewNumber, ViewStart, Viewstamp};
use indigofold_protocol::internal::MemberAddress;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Member,
    /// The message.
    pub message: Message,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender knows no head and looks for one.
    Announce {
        /// The sender's addresses.
        address: MemberAddress,
    },
    /// Answer to [`Message::Announce`] from a member that is not the head.
    Addresses {
        /// All member addresses that the sender knows.
        addresses: Vec<MemberAddress>,
    },
    /// Asks for a pre-vote.
    PreVote(PreVote),
    /// Answer to [`Message::PreVote`].
    PreVoteReply(PreVoteReply),
    /// Asks the receiver to promise not to take part in any view below `number` (Paxos, phase 1).
    Prepare {
        /// Number of the view that the sender wants to propose.
        number: ViewNumber,
        /// Number of the view on the sender's disk, if the sender is its head; 0 otherwise.
        headed_view: ViewNumber,
    },
    /// Answer to [`Message::Prepare`].
    PrepareOk(PrepareOk),
    /// Rejects a [`Message::Prepare`], [`Message::Accept`] or [`Message::Heartbeat`]: its number is too low, or the
    /// sender is bound to another head by a lease.
    PrepareReject {
        /// Number in the rejected message.
        number: ViewNumber,
        /// Highest number that the sender has promised.
        promised: ViewNumber,
    },
    /// Asks the receiver to accept a view (Paxos, phase 2).
    Accept {
        /// The proposed view.
        view: View,
    },
    /// Answer to [`Message::Accept`], sent once the view is on disk.
    Accepted {
        /// Number of the accepted view.
        number: ViewNumber,
    },
    /// Announces the head's view and asks for a lease.
    Heartbeat(Heartbeat),
    /// Answer to [`Message::Heartbeat`].
    Grant(Grant),
    /// The head gives up its lease.
    Release {
        /// Number of the head's view.
        number: ViewNumber,
    },
    /// Asks the receiver to campaign at once (`TimeoutNow` in the Raft thesis, section 3.10).
    CampaignNow {
        /// Number of the view that ends.
        number: ViewNumber,
    },
    /// Writes to store, sent down the chain or resent by the head.
    Write(Write),
    /// Reports the viewstamp of the rows on the sender's disk to the head.
    Stored {
        /// Viewstamp of the rows on the sender's disk.
        viewstamp: Viewstamp,
    },
    /// The sender has received a write but lacks earlier ones.
    WriteGap {
        /// Viewstamp of the sender's rows, which do not contain the missing writes.
        viewstamp: Viewstamp,
    },
    /// Requests rows.
    Fetch(Fetch),
    /// Answer to [`Message::Fetch`].
    Rows(Rows),
}

/// Asks whether the receiver would vote for the sender (Raft thesis, section 9.6). The answer promises nothing, and
/// nothing is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreVote {
    /// ID of this request; the answer carries it.
    pub request_id: u64,
    /// Viewstamp of the sender's rows.
    pub viewstamp: Viewstamp,
    /// Number of the view on the sender's disk, if the sender is its head; 0 otherwise.
    pub headed_view: ViewNumber,
}

/// Answer to [`PreVote`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreVoteReply {
    /// ID of the answered request.
    pub request_id: u64,
    /// Whether the sender would vote for the candidate now.
    pub granted: bool,
    /// Highest number that the sender has promised.
    pub promised: ViewNumber,
    /// View that the sender accepted last, if any.
    pub view: Option<View>,
    /// Whether the sender knows that this view is agreed.
    pub agreed: bool,
}

/// Answer to [`Message::Prepare`], sent once the promise is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareOk {
    /// Number that the sender has promised.
    pub number: ViewNumber,
    /// View that the sender accepted last, if any.
    pub view: Option<View>,
    /// Whether the sender knows that this view is agreed.
    pub agreed: bool,
    /// Viewstamp of the sender's rows.
    pub viewstamp: Viewstamp,
    /// Whether the sender is about to stop.
    pub draining: bool,
}

/// Sent by the head of an agreed view at regular intervals; each answer grants it a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The head's view.
    pub view: View,
    /// Time of the head's monotonic clock, in milliseconds; the answer carries it.
    pub sent_ms: u64,
    /// Sequence number of the head's last write.
    pub seq: u64,
    /// The head's addresses.
    pub address: MemberAddress,
}

/// Answer to [`Heartbeat`]: grants the head a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the head's view.
    pub number: ViewNumber,
    /// `sent_ms` of the answered heartbeat.
    pub sent_ms: u64,
    /// Viewstamp of the rows on the sender's disk.
    pub viewstamp: Viewstamp,
    /// Age of the sender's oldest unfinished store, in milliseconds; 0 if there is none.
    pub store_age_ms: u64,
    /// Whether the sender is about to stop.
    pub draining: bool,
    /// The sender's addresses.
    pub address: MemberAddress,
}

/// Writes to store, sent down the chain or resent by the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Number of the head's view.
    pub number: ViewNumber,
    /// The writes, in order.
    pub batches: Vec<Arc<Batch>>,
    /// Whether the receiver relays the writes to its successor in the chain.
    pub relay: bool,
}

/// Requests the rows that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// ID of the transfer; the answers carry it.
    pub request_id: u64,
    /// Viewstamp of the sender's rows.
    pub viewstamp: Viewstamp,
    /// Sequence number after which the transfer continues; `None` in the first request of a transfer.
    pub after: Option<u64>,
}

/// Answer to [`Fetch`]: a chunk of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// ID of the transfer.
    pub request_id: u64,
    /// Sequence number after which the rows follow.
    pub after: u64,
    /// Whether the receiver must first drop all rows that it has.
    pub clear: bool,
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether more chunks follow.
    pub more: bool,
    /// Viewstamp that the receiver's rows have after the last chunk.
    pub viewstamp: Viewstamp,
    /// Views that led to this viewstamp, oldest first.
    pub history: Vec<ViewStart>,
}

/// The received bytes are not a valid message.
#[derive(Debug, Snafu)]
#[snafu(display("a message of the replication protocol cannot be decoded: {source}"))]
pub struct DecodeError {
    source: postcard::Error,
}

/// Encodes an envelope. Its types cannot fail to be encoded.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    postcard::to_allocvec(envelope).unwrap_or_default()
}

/// Decodes an envelope.
///
/// # Errors
///
/// The bytes are not an envelope as encoded by [`encode`].
pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
    postcard::from_bytes(bytes).map_err(|source| DecodeError { source })
}
