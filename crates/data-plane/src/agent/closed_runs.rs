//! Runs that are over: a start order for one of them is never carried out.

use indigofold_protocol::task::RunId;
use std::collections::{HashMap, VecDeque};

/// Most runs remembered; the oldest are forgotten first.
pub const CLOSED_MAX: usize = 4_096;

/// How a run came to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The worker has run or refused it.
    Ended,
    /// It never got to the worker.
    NotStarted,
}

/// A bounded memory of runs that are over.
#[derive(Debug, Default)]
pub struct Closed {
    closings: HashMap<RunId, Closing>,
    oldest_first: VecDeque<RunId>,
}

impl Closed {
    /// How this run came to be over, if it is.
    pub fn get(&self, run: &RunId) -> Option<Closing> {
        self.closings.get(run).copied()
    }

    /// Remembers a run that is over.
    pub fn insert(&mut self, run: RunId, closing: Closing) {
        if self.closings.insert(run, closing).is_none() {
            self.oldest_first.push_back(run);
        }
        if self.oldest_first.len() > CLOSED_MAX
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.closings.remove(&oldest);
        }
    }
}
