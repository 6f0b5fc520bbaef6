//! Questions of the command line tool that wait for the storage thread.

use crate::sessions::ConnectionId;
use indigofold_protocol::inspection::InspectionCall;
use std::collections::BTreeMap;

/// Number of questions that may wait for the storage thread at a time.
const OPEN_QUESTIONS_MAX: usize = 4;

/// A question whose rows are being read.
#[derive(Debug)]
pub(super) struct OpenQuestion {
    /// Where the answer goes.
    pub(super) connection: ConnectionId,
    /// The question.
    pub(super) call: InspectionCall,
}

/// The open questions, by the numbers of their table summaries.
#[derive(Debug, Default)]
pub(super) struct Inspections {
    open: BTreeMap<u64, OpenQuestion>,
    next_summary: u64,
}

impl Inspections {
    /// Whether no more questions can be opened.
    pub(super) fn is_full(&self) -> bool {
        self.open.len() >= OPEN_QUESTIONS_MAX
    }

    /// Opens a question; returns the number of its table summary.
    pub(super) fn open(&mut self, question: OpenQuestion) -> u64 {
        let summary = self.next_summary;
        self.next_summary += 1;
        self.open.insert(summary, question);
        summary
    }

    /// Closes the question of a table summary.
    pub(super) fn close(&mut self, summary: u64) -> Option<OpenQuestion> {
        self.open.remove(&summary)
    }
}
