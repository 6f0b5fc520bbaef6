//! The background scrub: all rows on this member's disk are compared with their checksums, a few at a time.

use super::{Node, Output};
use crate::head::Clocks;
use crate::storage_thread::StorageRequest;
use indigofold_replication::StorageError;

/// Time between two parts of the scrub, in milliseconds.
pub const SCRUB_INTERVAL_MS: u64 = 2_000;
/// Rows of one part.
const SCRUB_ROWS: usize = 200;

/// How far the scrub has come.
#[derive(Debug)]
pub(super) struct Scrub {
    after: Vec<u8>,
    /// `None` while a part is under way.
    due_ms: Option<u64>,
}

impl Scrub {
    /// Begins an interval from now.
    pub fn new(now_ms: u64) -> Scrub {
        Scrub {
            after: Vec::new(),
            due_ms: Some(now_ms + SCRUB_INTERVAL_MS),
        }
    }

    /// When the next part is due.
    pub fn due_ms(&self) -> u64 {
        self.due_ms.unwrap_or(u64::MAX)
    }

    fn begin(&mut self) -> StorageRequest {
        self.due_ms = None;
        StorageRequest::Scrub {
            after: self.after.clone(),
            count: SCRUB_ROWS,
        }
    }

    /// A part is done up to the key `last`; `None` begins anew. After a failure the same part follows.
    fn done(&mut self, now_ms: u64, result: Result<Option<Vec<u8>>, StorageError>) {
        if let Ok(last) = result {
            self.after = last.unwrap_or_default();
        }
        self.due_ms = Some(now_ms + SCRUB_INTERVAL_MS);
    }
}

impl Node {
    /// Has the next rows checked, if it is time.
    pub(super) fn run_scrub(&mut self, now_ms: u64) {
        if self.scrub.due_ms() <= now_ms {
            let request = self.scrub.begin();
            self.outputs.push(Output::Storage(request));
        }
    }

    /// Rows have been checked.
    pub(super) fn scrubbed(
        &mut self,
        clocks: Clocks,
        result: Result<Option<Vec<u8>>, StorageError>,
    ) {
        self.scrub.done(clocks.steady_ms, result);
    }
}
