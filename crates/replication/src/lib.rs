//! The replicated control state of the core machines: a table of rows, kept by chain replication.
//!
//! [`Replica`] is a state machine that does no I/O: its driver passes in [`Input`]s with the time of the monotonic
//! clock and carries out the [`Output`]s that it returns. [`Storage`] keeps one member's rows and its [`MemberRecord`]
//! record in `SQLite`; the driver runs it on a separate thread.
//!
//! Writes follow chain replication (van Renesse and Schneider, OSDI 2004). A *view* defines the voters and the chain,
//! as in Viewstamped Replication (Oki and Liskov, PODC 1988; Liskov and Cowling, 2012). Majorities agree on each view
//! in the two phases of Paxos (Lamport, 1998), after a pre-vote (Ongaro's thesis on Raft, section 9.6). The modules:
//!
//! | module | content |
//! | --- | --- |
//! | [`types`] | members, views, viewstamps, rows |
//! | [`message`] | messages between members, and their encoding |
//! | [`replica`] | the protocol: one member as a state machine |
//! | [`timing`] | timeouts, intervals and size limits |
//! | [`durable`] | the stored record, and changes to rows |
//! | [`storage`] | the `SQLite` database |
//!
//! The driver has these duties:
//!
//! 1. `Storage::open(dir)`, then `Replica::new(settings, opened.record, now_ms)`.
//! 2. For each event: `replica.handle(now_ms, input)`. At `replica.next_timer_ms()`, pass in [`Input::Timer`].
//! 3. [`Output::Send`]: send `message::encode(&envelope)` in a frame to the member at that internal address. Messages
//!    may be lost when a connection breaks: the protocol repeats what is needed, so the driver does not resend. Decode
//!    a received frame with `message::decode` and pass it in as [`Input::Message`].
//! 4. [`Output::Store`]: call `storage.apply(&request)` on the storage thread, then pass in [`Input::Stored`] or
//!    [`Input::StoreFailed`]. [`Output::ReadRows`]: call `storage.rows_since(since, bytes_max)`, then pass in
//!    [`Input::RowsRead`] or [`Input::ReadFailed`].
//! 5. [`Output::HeadGained`]: load the rows (`storage.all_rows()`) and start to act as the head. Check
//!    `replica.may_act(now_ms)` before each action and each reply. The view's number is the fencing token.

pub mod durable;
pub mod message;
pub mod replica;
pub mod storage;
pub mod timing;
pub mod types;

pub use durable::{MemberRecord, StoreOperation, StoreRequest};
pub use message::{Envelope, Message};
pub use replica::{Input, Output, Replica, Settings};
pub use storage::{Opened, Storage, StorageError};
pub use types::{
    Batch, Member, Row, RowChange, RowsChunk, SubmissionId, View, ViewNumber, ViewStart, Viewstamp,
};
