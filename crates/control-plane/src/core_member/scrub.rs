//! Background scrub: compares all rows on this member's disk with their checksums, a few
//! rows at a time. It starts over at the end of the table.

use crate::storage_thread::StorageRequest;
use indigofold_replication::StorageError;

/// Time from the end of a scrub request to the next one, in milliseconds.
pub const SCRUB_INTERVAL_MS: u64 = 2_000;
/// Largest number of rows that one request checks.
const SCRUB_ROWS: usize = 200;

/// Progress of the scrub.
#[derive(Debug)]
pub(super) struct Scrub {
    /// Key of the last row that was checked; empty at the start of the table.
    last_key: Vec<u8>,
    /// When the next request is due, on the monotonic clock; `None` while a request is open.
    due_ms: Option<u64>,
}

impl Scrub {
    /// Returns a scrub whose first request is due after one interval.
    pub(super) fn new(now_ms: u64) -> Scrub {
        Scrub {
            last_key: Vec::new(),
            due_ms: Some(now_ms + SCRUB_INTERVAL_MS),
        }
    }

    /// Returns when the next request is due, on the monotonic clock in milliseconds; [`u64::MAX`] while a request is open.
    pub(super) fn due_ms(&self) -> u64 {
        self.due_ms.unwrap_or(u64::MAX)
    }

    /// Returns the next request if it is due.
    pub(super) fn poll(&mut self, now_ms: u64) -> Option<StorageRequest> {
        if self.due_ms() > now_ms {
            return None;
        }
        self.due_ms = None;
        Some(StorageRequest::Scrub {
            after: self.last_key.clone(),
            count: SCRUB_ROWS,
        })
    }

    /// Ends the open request. The result is the key of the last row that was checked, or `None` at the end of the table, where
    /// the scrub starts over. After an error the same rows are requested again.
    pub(super) fn finish(&mut self, now_ms: u64, result: Result<Option<Vec<u8>>, StorageError>) {
        if let Ok(checked_key) = result {
            self.last_key = checked_key.unwrap_or_default();
        }
        self.due_ms = Some(now_ms + SCRUB_INTERVAL_MS);
    }
}
