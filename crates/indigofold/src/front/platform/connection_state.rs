//! The state of an accepted connection, and the job that may migrate with it to another process.

use crate::api::Time;
use crate::transferred_job::TransferredJob;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};

/// The state of a connection that its end logs, or that migrates with it.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Messages read.
    pub messages: Cell<u64>,
    /// Status of the last answer.
    pub status: Cell<u16>,
    /// The job that migrates to another process with the connection.
    pub migrating: RefCell<Option<MigratingJob>>,
    /// What has been read behind that job.
    pub rest: RefCell<Vec<u8>>,
}

/// A job and its client's connection, but for the descriptor.
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
