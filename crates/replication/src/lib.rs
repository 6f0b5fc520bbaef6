//! The replicated control state of the core machines: a table of rows, kept by chain replication.
//!
//! [`Replica`] is a state machine without input or output of its own: its driver hands it [`Input`]s with a reading of
//! the steady clock and carries out the [`Output`]s that come back. [`Storage`] keeps one member's rows and its
//! [`Durable`] record in `SQLite`; the driver runs it on a thread of its own.
//!
//! Writes follow chain replication (van Renesse and Schneider, OSDI 2004). Who votes and who is in the chain is a *view*,
//! as in Viewstamped Replication (Oki and Liskov, PODC 1988; Liskov and Cowling, 2012); views are agreed by majorities in the
//! two phases of Paxos (Lamport, 1998), after a pre-vote (Ongaro's thesis on Raft, section 9.6). What is in which module:
//!
//! | module | content |
//! | --- | --- |
//! | [`types`] | members, views, viewstamps, rows |
//! | [`message`] | messages between members, and their encoding |
//! | [`replica`] | the protocol |
//! | [`timing`] | its times and sizes |
//! | [`durable`] | what is stored: the record, and changes of rows |
//! | [`storage`] | the `SQLite` database |
//!
//! A driver does this:
//!
//! 1. `Storage::open(dir)`, then `Replica::new(settings, opened.durable, now_ms)`.
//! 2. For each event: `replica.handle(now_ms, input)`. Wake up at `replica.next_timer_ms()` with [`Input::Timer`].
//! 3. [`Output::Send`]: `message::encode(&envelope)` in a frame to the member at that internal address. Messages may be
//!    lost when a connection breaks; nothing else needs to be done about that. A received frame is decoded with
//!    `message::decode` and handed in as [`Input::Message`].
//! 4. [`Output::Store`]: `storage.apply(&request)` on the storage thread, then [`Input::Stored`] or
//!    [`Input::StoreFailed`]. [`Output::ReadRows`]: `storage.rows_since(since, bytes_max)`, then [`Input::RowsRead`].
//! 5. [`Output::HeadGained`]: load the rows (`storage.all_rows()`), begin to act. Before each action and reply:
//!    `replica.may_act(now_ms)`. The view's number is the fencing token.

pub mod durable;
pub mod message;
pub mod replica;
pub mod storage;
pub mod timing;
pub mod types;

pub use durable::{Durable, StoreOperation, StoreRequest};
pub use message::{Envelope, Message};
pub use replica::{Input, Output, Replica, Settings};
pub use storage::{Opened, Storage, StorageError};
pub use types::{
    Batch, Member, Row, RowChange, RowsChunk, SubmissionId, View, ViewNumber, ViewStart, Viewstamp,
};
