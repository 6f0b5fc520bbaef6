//! The thread that owns the database, so that a slow sync delays nothing else.

use crate::inspection::TableSummary;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use indigofold_protocol::task::JobId;
use indigofold_replication::{RowsChunk, Storage, StorageError, StoreRequest, ViewNumber};
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// Stack of the thread: what `SQLite` needs, and a reserve.
const STACK_BYTES: usize = 512 << 10;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Vec<u8>,
}

/// A request to the thread. Requests are carried out in their order.
#[derive(Clone, Debug)]
pub enum StorageRequest {
    /// Make changes, with one sync.
    Store {
        /// Number of the request.
        store: u64,
        /// The changes.
        request: Arc<StoreRequest>,
    },
    /// Read rows that changed after a sequence number.
    Read {
        /// Number of the request.
        read: u64,
        /// The sequence number.
        since: u64,
        /// Approximate number of bytes to stop at.
        bytes_max: usize,
    },
    /// Read all rows, for the head of this view.
    Load {
        /// Number of the view.
        view: ViewNumber,
    },
    /// Compare some rows with their checksums.
    Scrub {
        /// The rows after this key.
        after: Vec<u8>,
        /// How many.
        count: usize,
    },
    /// Read all rows and summarize them.
    Summarize {
        /// Number of the request.
        summary: u64,
        /// The job to keep in full.
        job: Option<JobId>,
    },
}

/// The result of a request.
#[derive(Debug)]
pub enum StorageResponse {
    /// The changes are on disk, or nothing of them is.
    Store {
        /// Number of the request.
        store: u64,
        /// Whether it succeeded.
        result: Result<(), StorageError>,
    },
    /// The changed rows.
    Read {
        /// Number of the request.
        read: u64,
        /// The rows.
        result: Result<RowsChunk, StorageError>,
    },
    /// All rows.
    Load {
        /// Number of the view.
        view: ViewNumber,
        /// The rows.
        result: Result<Vec<StoredRow>, StorageError>,
    },
    /// Rows have been compared with their checksums.
    Scrub {
        /// The last key, `None` at the end of the table.
        result: Result<Option<Vec<u8>>, StorageError>,
    },
    /// The summary of all rows.
    Summarize {
        /// Number of the request.
        summary: u64,
        /// The summary.
        result: Result<Box<TableSummary>, StorageError>,
    },
}

impl StorageResponse {
    /// Passes the response on unless it shows damage to the database.
    ///
    /// # Errors
    ///
    /// The damage that the request has found.
    pub fn check_damage(self) -> Result<Self, StorageError> {
        match self {
            StorageResponse::Store {
                result: Err(error), ..
            }
            | StorageResponse::Read {
                result: Err(error), ..
            }
            | StorageResponse::Load {
                result: Err(error), ..
            }
            | StorageResponse::Scrub { result: Err(error) }
            | StorageResponse::Summarize {
                result: Err(error), ..
            } if error.shows_damage() => Err(error),
            response => Ok(response),
        }
    }
}

/// The storage thread cannot be started.
#[derive(Debug, Snafu)]
#[snafu(display("the storage thread cannot be started: {source}"))]
pub struct StartError {
    source: std::io::Error,
}

/// Starts the thread. It ends once the sender is dropped.
///
/// # Errors
///
/// The system cannot start a thread.
pub fn start(
    storage: Storage,
) -> Result<(Sender<StorageRequest>, UnboundedReceiver<StorageResponse>), StartError> {
    let (requests, incoming) = channel();
    let (outgoing, responses) = unbounded();
    let builder = thread::Builder::new()
        .name("storage".to_owned())
        .stack_size(STACK_BYTES);
    builder
        .spawn(move || serve(storage, incoming, outgoing))
        .context(StartSnafu)?;
    Ok((requests, responses))
}

/// Carries out requests until one of the channels is closed.
fn serve(
    mut storage: Storage,
    requests: Receiver<StorageRequest>,
    responses: UnboundedSender<StorageResponse>,
) {
    while let Ok(request) = requests.recv() {
        if responses
            .unbounded_send(execute(&mut storage, request))
            .is_err()
        {
            return;
        }
    }
}

/// Carries out one request.
pub fn execute(storage: &mut Storage, request: StorageRequest) -> StorageResponse {
    match request {
        StorageRequest::Store { store, request } => StorageResponse::Store {
            store,
            result: storage.apply(&request),
        },
        StorageRequest::Read {
            read,
            since,
            bytes_max,
        } => StorageResponse::Read {
            read,
            result: storage.rows_since(since, bytes_max),
        },
        StorageRequest::Load { view } => StorageResponse::Load {
            view,
            result: all_rows(storage),
        },
        StorageRequest::Scrub { after, count } => StorageResponse::Scrub {
            result: storage.scrub(&after, count),
        },
        StorageRequest::Summarize { summary, job } => StorageResponse::Summarize {
            summary,
            result: summarize_rows(storage, job),
        },
    }
}

fn all_rows(storage: &Storage) -> Result<Vec<StoredRow>, StorageError> {
    let mut rows = Vec::new();
    storage.all_rows(|key, value| {
        rows.push(StoredRow {
            key: key.to_vec(),
            value: value.to_vec(),
        });
    })?;
    Ok(rows)
}

fn summarize_rows(
    storage: &Storage,
    job: Option<JobId>,
) -> Result<Box<TableSummary>, StorageError> {
    let mut summary = Box::new(TableSummary::new(job));
    storage.all_rows(|key, value| summary.add_row(key, value))?;
    Ok(summary)
}
