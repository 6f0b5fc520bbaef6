//! Background scrub: all rows on this member's disk are compared with their checksums, a few at a time.

use crate::storage_thread::StorageRequest;
use indigofold_replication::StorageError;

/// Time between two requests of the scrub, in milliseconds.
pub const SCRUB_INTERVAL_MS: u64 = 2_000;
/// Rows of one request.
const SCRUB_ROWS: usize = 200;

/// Progress of the scrub.
#[derive(Debug)]
pub(super) struct Scrub {
    /// The last key that was checked; empty at the start of the table.
    after: Vec<u8>,
    /// `None` while a request is open.
    due_ms: Option<u64>,
}

impl Scrub {
    /// A scrub whose first request is due after one interval.
    pub(super) fn new(now_ms: u64) -> Scrub {
        Scrub {
            after: Vec::new(),
            due_ms: Some(now_ms + SCRUB_INTERVAL_MS),
        }
    }

    /// When the next request is due, on the steady clock in milliseconds.
    pub(super) fn due_ms(&self) -> u64 {
        self.due_ms.unwrap_or(u64::MAX)
    }

    /// The next request, if it is due.
    pub(super) fn poll(&mut self, now_ms: u64) -> Option<StorageRequest> {
        if self.due_ms() > now_ms {
            return None;
        }
        self.due_ms = None;
        Some(StorageRequest::Scrub {
            after: self.after.clone(),
            count: SCRUB_ROWS,
        })
    }

    /// Ends the open request. The result is the last key that was checked, or `None` at the end of the table; after an
    /// error the same rows are requested once more.
    pub(super) fn finish(&mut self, now_ms: u64, result: Result<Option<Vec<u8>>, StorageError>) {
        if let Ok(last) = result {
            self.after = last.unwrap_or_default();
        }
        self.due_ms = Some(now_ms + SCRUB_INTERVAL_MS);
    }
}
