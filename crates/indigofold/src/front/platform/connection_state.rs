//! The state of an accepted connection, and the job that may migrate with it to another process.

use crate::api::Time;
use crate::transferred_job::TransferredJob;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};

/// Per-connection state that is logged when the connection ends or that migrates with it.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Number of messages read.
    pub messages: Cell<u64>,
    /// HTTP status of the last answer; 0 before the first one.
    pub status: Cell<u16>,
    /// The job that migrates to another process with the connection; `None` unless a migration has begun.
    pub migrating: RefCell<Option<MigratingJob>>,
    /// Bytes already read beyond the migrating job's message.
    pub rest: RefCell<Vec<u8>>,
}

/// An open job and the state of its client's connection, without the descriptor, as sent to the process that takes over.
#[derive(Serialize, Deserialize)]
pub struct MigratingJob {
    pub(super) trace: String,
    pub(super) text: Vec<u8>,
    pub(super) body: usize,
    pub(super) until: Time,
    pub(super) keep: bool,
    pub(super) rest: Vec<u8>,
    pub(super) messages: u64,
    pub(super) job: TransferredJob<String>,
}
