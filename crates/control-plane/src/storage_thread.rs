//! The thread that owns the database, so that a slow sync holds up nothing else.

use crate::inspection::Survey;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use indigofold_protocol::task::JobId;
use indigofold_replication::{RowsChunk, Storage, StorageError, StoreRequest};
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// Stack of the thread: what SQLite needs, and some more.
const STACK_BYTES: usize = 512 << 10;

/// A key and its value.
pub type KeyValue = (Vec<u8>, Vec<u8>);

/// What the thread is asked; carried out in this order.
#[derive(Clone, Debug)]
pub enum StorageRequest {
    /// Make changes, with one sync.
    Store {
        /// Its number.
        store: u64,
        /// The changes.
        request: Arc<StoreRequest>,
    },
    /// Read rows that changed after a sequence number.
    Read {
        /// Its number.
        read: u64,
        /// The sequence number.
        since: u64,
        /// How many bytes, roughly.
        bytes_max: usize,
    },
    /// Read all rows, for the head of this view.
    Load {
        /// Number of the view.
        view: u64,
    },
    /// Compare some rows with their checksums.
    Scrub {
        /// The rows after this key.
        after: Vec<u8>,
        /// How many.
        count: usize,
    },
    /// Read all rows for a survey.
    Survey {
        /// Its number.
        survey: u64,
        /// The job to keep in full.
        job: Option<JobId>,
    },
}

/// What has become of a request.
#[derive(Debug)]
pub enum StorageAnswer {
    /// The changes are on disk, or nothing of them is.
    Store {
        /// Number of the store.
        store: u64,
        /// What became of it.
        result: Result<(), StorageError>,
    },
    /// Rows that changed.
    Read {
        /// Number of the reading.
        read: u64,
        /// The rows.
        result: Result<RowsChunk, StorageError>,
    },
    /// All rows.
    Load {
        /// Number of the view they were asked for.
        view: u64,
        /// The rows.
        result: Result<Vec<KeyValue>, StorageError>,
    },
    /// Rows have been compared with their checksums.
    Scrub {
        /// The last key, `None` at the end of the table.
        result: Result<Option<Vec<u8>>, StorageError>,
    },
    /// What all rows tell.
    Survey {
        /// Number of the survey.
        survey: u64,
        /// The figures.
        result: Result<Box<Survey>, StorageError>,
    },
}

impl StorageAnswer {
    /// What this tells of damage to the database, found while it was in use.
    pub fn damage(&self) -> Option<&StorageError> {
        let error = match self {
            StorageAnswer::Store { result, .. } => result.as_ref().err(),
            StorageAnswer::Read { result, .. } => result.as_ref().err(),
            StorageAnswer::Load { result, .. } => result.as_ref().err(),
            StorageAnswer::Scrub { result } => result.as_ref().err(),
            StorageAnswer::Survey { result, .. } => result.as_ref().err(),
        };
        error.filter(|error| error.shows_damage())
    }
}

/// The thread cannot be started.
#[derive(Debug, Snafu)]
#[snafu(display("the storage thread cannot be started: {source}"))]
pub struct StartError {
    source: std::io::Error,
}

/// Starts the thread. It ends once the sender is dropped.
pub fn start(
    storage: Storage,
) -> Result<(Sender<StorageRequest>, UnboundedReceiver<StorageAnswer>), StartError> {
    let (requests, incoming) = channel();
    let (outgoing, answers) = unbounded();
    let builder = thread::Builder::new()
        .name("storage".to_owned())
        .stack_size(STACK_BYTES);
    builder
        .spawn(move || serve(storage, incoming, outgoing))
        .context(StartSnafu)?;
    Ok((requests, answers))
}

/// Carries out requests until nobody asks or hears any more.
fn serve(
    mut storage: Storage,
    requests: Receiver<StorageRequest>,
    answers: UnboundedSender<StorageAnswer>,
) {
    while let Ok(request) = requests.recv() {
        if answers
            .unbounded_send(carry_out(&mut storage, request))
            .is_err()
        {
            return;
        }
    }
}

/// Carries out one request.
pub fn carry_out(storage: &mut Storage, request: StorageRequest) -> StorageAnswer {
    match request {
        StorageRequest::Store { store, request } => StorageAnswer::Store {
            store,
            result: storage.apply(&request),
        },
        StorageRequest::Read {
            read,
            since,
            bytes_max,
        } => StorageAnswer::Read {
            read,
            result: storage.rows_since(since, bytes_max),
        },
        StorageRequest::Load { view } => StorageAnswer::Load {
            view,
            result: all_rows(storage),
        },
        StorageRequest::Scrub { after, count } => StorageAnswer::Scrub {
            result: storage.scrub(&after, count),
        },
        StorageRequest::Survey { survey, job } => StorageAnswer::Survey {
            survey,
            result: survey_rows(storage, job),
        },
    }
}

fn all_rows(storage: &Storage) -> Result<Vec<KeyValue>, StorageError> {
    let mut rows = Vec::new();
    storage.all_rows(|key, value| rows.push((key.to_vec(), value.to_vec())))?;
    Ok(rows)
}

fn survey_rows(storage: &Storage, job: Option<JobId>) -> Result<Box<Survey>, StorageError> {
    let mut survey = Box::new(Survey::new(job));
    storage.all_rows(|key, value| survey.row(key, value))?;
    Ok(survey)
}
