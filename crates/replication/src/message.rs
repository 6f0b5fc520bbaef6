//! Messages between members.

use crate::types::{Batch, Member, Row, View, ViewStart, Viewstamp};
use indigofold_protocol::internal::MemberAddress;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends it.
    pub from: Member,
    /// What it says.
    pub message: Message,
}

/// What members tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// I am here and hear of no head.
    Announce {
        /// The sender's addresses.
        address: MemberAddress,
    },
    /// Answer to [`Message::Announce`]: whom I know.
    Addresses {
        /// Members' addresses.
        addresses: Vec<MemberAddress>,
    },
    /// Would you support me as a candidate?
    PreVote(PreVote),
    /// Answer to [`Message::PreVote`].
    PreVoteReply(PreVoteReply),
    /// Promise to take part in no view below this number.
    Prepare {
        /// The number.
        number: u64,
        /// Number of the view on the sender's disk, if the sender is its head; 0 otherwise.
        headed_view: u64,
    },
    /// Answer to [`Message::Prepare`], on disk.
    PrepareOk(PrepareOk),
    /// The number of a [`Message::Prepare`], [`Message::Accept`] or [`Message::Heartbeat`] is too low, or the sender
    /// is bound to another head.
    PrepareReject {
        /// The number refused.
        number: u64,
        /// Highest number that the sender has promised.
        promised: u64,
    },
    /// Accept this view.
    Accept {
        /// The view.
        view: View,
    },
    /// Answer to [`Message::Accept`], on disk.
    Accepted {
        /// The view's number.
        number: u64,
    },
    /// The head is at work: its view holds.
    Heartbeat(Heartbeat),
    /// Answer to [`Message::Heartbeat`]: a lease.
    Grant(Grant),
    /// The head gives its lease back.
    Release {
        /// Number of its view.
        number: u64,
    },
    /// Stand as a candidate at once.
    CampaignNow {
        /// Number of the view that ends.
        number: u64,
    },
    /// Writes, down the chain.
    Write(Write),
    /// The sender has this state on disk.
    Stored {
        /// The state.
        viewstamp: Viewstamp,
    },
    /// The sender has received writes only up to here, and then a later one.
    WriteGap {
        /// What it has.
        viewstamp: Viewstamp,
    },
    /// Send me the rows that I lack.
    Fetch(Fetch),
    /// Answer to [`Message::Fetch`].
    Rows(Rows),
}

/// Asks whether the receiver would vote for the sender (Raft thesis, section 9.6). It binds nobody.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreVote {
    /// Number of this question; the answer carries it.
    pub request_id: u64,
    /// State of the sender's rows.
    pub viewstamp: Viewstamp,
    /// Number of the view on the sender's disk, if the sender is its head; 0 otherwise.
    pub headed_view: u64,
}

/// Answer to [`PreVote`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreVoteReply {
    /// Number of the question.
    pub request_id: u64,
    /// Whether the sender would promise now.
    pub granted: bool,
    /// Highest number that it has promised.
    pub promised: u64,
    /// The view it accepted last.
    pub view: Option<View>,
    /// That view is known to hold.
    pub agreed: bool,
}

/// Answer to [`Message::Prepare`], sent once the promise is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareOk {
    /// The number.
    pub number: u64,
    /// The view accepted last.
    pub view: Option<View>,
    /// That view is known to hold.
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
    pub number: u64,
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
    pub number: u64,
    /// The writes, in order.
    pub batches: Vec<Arc<Batch>>,
    /// Pass them on to the next member of the chain.
    pub relay: bool,
}

/// Requests the rows that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Number of the transfer; the answers carry it.
    pub request_id: u64,
    /// State that the sender has.
    pub viewstamp: Viewstamp,
    /// Continue after this sequence number, in a transfer that has begun.
    pub after: Option<u64>,
}

/// Answer to [`Fetch`]: a chunk of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// Number of the transfer.
    pub request_id: u64,
    /// These are rows after this sequence number.
    pub after: u64,
    /// The receiver has to drop all rows it has first.
    pub clear: bool,
    /// The rows.
    pub rows: Vec<Row>,
    /// More follow.
    pub more: bool,
    /// State that the rows lead to, once no more follow.
    pub viewstamp: Viewstamp,
    /// The views that led to it.
    pub history: Vec<ViewStart>,
}

/// Bytes that are no message.
#[derive(Debug, Snafu)]
#[snafu(display("a message of the replication protocol cannot be decoded: {source}"))]
pub struct DecodeError {
    source: postcard::Error,
}

/// An envelope as bytes.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    postcard::to_allocvec(envelope).unwrap_or_default()
}

/// The envelope in these bytes.
pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
    postcard::from_bytes(bytes).map_err(|source| DecodeError { source })
}
