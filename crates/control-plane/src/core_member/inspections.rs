//! Questions of the command line tool that wait for a summary of the rows.

use crate::sessions::ConnectionId;
use indigofold_protocol::inspection::InspectionCall;
use std::collections::BTreeMap;

/// Largest number of questions that may wait at a time. Each one makes the storage thread read all rows.
const OPEN_QUESTIONS_MAX: usize = 4;

/// A question that waits for a summary of the rows.
#[derive(Debug)]
pub(super) struct OpenQuestion {
    /// Connection on which the answer is sent.
    pub(super) connection: ConnectionId,
    /// The question with its number.
    pub(super) call: InspectionCall,
}

/// The open questions, by the number of the requested summary.
#[derive(Debug, Default)]
pub(super) struct Inspections {
    open_questions: BTreeMap<u64, OpenQuestion>,
    next_summary_number: u64,
}

impl Inspections {
    /// Whether the limit of open questions is reached.
    pub(super) fn is_full(&self) -> bool {
        self.open_questions.len() >= OPEN_QUESTIONS_MAX
    }

    /// Adds a question and returns the number of the summary to request for it.
    pub(super) fn open(&mut self, question: OpenQuestion) -> u64 {
        let summary_number = self.next_summary_number;
        self.next_summary_number += 1;
        self.open_questions.insert(summary_number, question);
        summary_number
    }

    /// Removes and returns the question that waits for this summary.
    pub(super) fn close(&mut self, summary_number: u64) -> Option<OpenQuestion> {
        self.open_questions.remove(&summary_number)
    }
}
