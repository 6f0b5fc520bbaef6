//! Data that the storage tests keep in their databases.

use indigofold_replication::{Member, MemberRecord, View, ViewNumber, ViewStart, Viewstamp};
use std::net::{Ipv4Addr, SocketAddr};

/// Name of the database file.
pub(crate) const DATABASE: &str = "control.sqlite";

/// Returns the record of a member that has the writes up to `seq`.
pub(crate) fn record(seq: u64) -> MemberRecord {
    let internal = SocketAddr::from((Ipv4Addr::LOCALHOST, 7380));
    MemberRecord {
        member: Member { internal, disk: 7 },
        promised: ViewNumber(3),
        view: Some(View::first(&[internal])),
        agreed: true,
        viewstamp: Viewstamp {
            view: ViewNumber(3),
            seq,
        },
        history: vec![ViewStart {
            view: ViewNumber(3),
            seq: 0,
        }],
        trimmed: 0,
        addresses: Vec::new(),
    }
}
