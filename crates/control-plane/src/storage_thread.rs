//! The thread that owns the database. Disk access has a thread of its own so that a slow sync delays nothing else.

use crate::inspection::TableSummary;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use indigofold_protocol::task::JobId;
use indigofold_replication::{RowsChunk, Storage, StorageError, StoreRequest, ViewNumber};
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// Stack size of the thread, in bytes: what `SQLite` needs, and a reserve.
const STACK_BYTES: usize = 512 << 10;

/// A row of the replicated control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The row's key.
    pub key: Vec<u8>,
    /// The row's value.
    pub value: Vec<u8>,
}

/// A request to the thread. Requests are executed one at a time, in the order in which they were sent.
#[derive(Clone, Debug)]
pub enum StorageRequest {
    /// Apply changes atomically, with one sync to disk.
    Store {
        /// Number of the request, repeated in the response.
        store: u64,
        /// The changes to apply.
        request: Arc<StoreRequest>,
    },
    /// Read the rows that changed after a sequence number.
    Read {
        /// Number of the request, repeated in the response.
        read: u64,
        /// The sequence number; only later changes are read.
        since: u64,
        /// Approximate size of the response, in bytes, after which reading stops.
        bytes_max: usize,
    },
    /// Read all rows, for the new head of a view.
    Load {
        /// Number of that view, repeated in the response.
        view: ViewNumber,
    },
    /// Compare some rows with their checksums.
    Scrub {
        /// Key after which the rows begin; empty to begin with the first row.
        after: Vec<u8>,
        /// Largest number of rows to compare.
        count: usize,
    },
    /// Read all rows and summarize them.
    Summarize {
        /// Number of the request, repeated in the response.
        summary: u64,
        /// The job to report in full; `None` for none.
        job: Option<JobId>,
    },
}

/// The response to a [`StorageRequest`].
#[derive(Debug)]
pub enum StorageResponse {
    /// The response to [`StorageRequest::Store`].
    Store {
        /// Number of the request.
        store: u64,
        /// `Ok` if all changes are on disk; after an error none of them is.
        result: Result<(), StorageError>,
    },
    /// The response to [`StorageRequest::Read`].
    Read {
        /// Number of the request.
        read: u64,
        /// The changed rows.
        result: Result<RowsChunk, StorageError>,
    },
    /// The response to [`StorageRequest::Load`].
    Load {
        /// Number of the view.
        view: ViewNumber,
        /// All rows.
        result: Result<Vec<StoredRow>, StorageError>,
    },
    /// The response to [`StorageRequest::Scrub`].
    Scrub {
        /// Key of the last row that was compared; `None` if the end of the table was reached.
        result: Result<Option<Vec<u8>>, StorageError>,
    },
    /// The response to [`StorageRequest::Summarize`].
    Summarize {
        /// Number of the request.
        summary: u64,
        /// The summary of all rows.
        result: Result<Box<TableSummary>, StorageError>,
    },
}

impl StorageResponse {
    /// Returns the response unchanged unless its error shows that the database is damaged.
    ///
    /// # Errors
    ///
    /// The request has found the database damaged.
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
            } if error.proves_damage() => Err(error),
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

/// Starts the thread. The thread ends once the returned sender or receiver is dropped.
///
/// # Errors
///
/// The operating system cannot start a thread.
pub fn start(
    storage: Storage,
) -> Result<(Sender<StorageRequest>, UnboundedReceiver<StorageResponse>), StartError> {
    let (requests, request_receiver) = channel();
    let (response_sender, responses) = unbounded();
    let builder = thread::Builder::new()
        .name("storage".to_owned())
        .stack_size(STACK_BYTES);
    builder
        .spawn(move || serve(storage, request_receiver, response_sender))
        .context(StartSnafu)?;
    Ok((requests, responses))
}

/// Executes requests until one of the channels is closed.
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

/// Executes one request.
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
