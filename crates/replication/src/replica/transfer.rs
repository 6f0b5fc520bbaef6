//! Transfers: how a member gets the rows that it lacks, from the head or, as a candidate, from another voter.

use super::{AfterStore, Output, Replica};
use crate::durable::{Durable, StoreOperation};
use crate::message::Message;
use crate::timing::{
    FETCH_GIVE_UP_MS, FETCH_RETRY_MS, TRANSFER_BYTES, TRIM_AFTER_MS, TRIM_STEP_MS,
};
use crate::types::{Member, Row, RowsChunk, View, ViewStart, Viewstamp};
use std::collections::VecDeque;

/// A reading for another member.
#[derive(Debug)]
pub(super) struct Serving {
    to: Member,
    round: u64,
    after: u64,
    clear: bool,
    view: u64,
}

/// Rows that another member has sent.
#[derive(Debug)]
pub(super) struct Part {
    pub round: u64,
    pub after: u64,
    pub clear: bool,
    pub rows: Vec<Row>,
    pub more: bool,
    pub viewstamp: Viewstamp,
    pub history: Vec<ViewStart>,
}

#[derive(Debug, PartialEq, Eq)]
enum Purpose {
    /// To follow the head of this view.
    Follow { number: u64 },
    /// To propose a view on top of the newest state.
    Candidate { number: u64, newest: Viewstamp },
}

/// A transfer to this member. The rows are kept in memory until all have come, for a part of them is no state.
#[derive(Debug)]
pub(super) struct Pull {
    source: Member,
    round: u64,
    purpose: Purpose,
    clear: bool,
    rows: Vec<Row>,
    next_after: Option<u64>,
    asked_ms: u64,
    heard_ms: u64,
}

impl Pull {
    pub(super) fn is_for_candidate(&self) -> bool {
        matches!(self.purpose, Purpose::Candidate { .. })
    }
}

/// How far the table had come at earlier times, to drop traces of deleted rows.
#[derive(Debug)]
pub(super) struct TrimNotes {
    notes: VecDeque<(u64, u64)>,
    due_ms: u64,
}

impl TrimNotes {
    pub(super) fn new(now_ms: u64) -> TrimNotes {
        TrimNotes {
            notes: VecDeque::new(),
            due_ms: now_ms + TRIM_STEP_MS,
        }
    }

    pub(super) fn due_ms(&self) -> u64 {
        self.due_ms
    }
}

impl Replica {
    /// Brings the rows up to the head's where writes down the chain do not do it.
    pub(super) fn catch_up(&mut self, view: &View, head_seq: u64) {
        let Some(head) = view.head() else { return };
        let viewstamp = self.durable.viewstamp;
        let in_chain = view.chain.contains(&self.durable.member);
        if viewstamp.view == view.number && (in_chain || viewstamp.seq >= head_seq) {
            return;
        }
        if viewstamp == view.base {
            self.enter_view(view);
        } else if self.pull.is_none() {
            self.start_pull(
                head,
                Purpose::Follow {
                    number: view.number,
                },
            );
        }
    }

    pub(super) fn pull_as_candidate(&mut self, source: Member, number: u64, newest: Viewstamp) {
        self.start_pull(source, Purpose::Candidate { number, newest });
    }

    fn start_pull(&mut self, source: Member, purpose: Purpose) {
        self.last_round += 1;
        self.pull = Some(Pull {
            source,
            round: self.last_round,
            purpose,
            clear: false,
            rows: Vec::new(),
            next_after: None,
            asked_ms: 0,
            heard_ms: self.now_ms,
        });
        self.ask_source();
    }

    fn ask_source(&mut self) {
        let viewstamp = self.durable.viewstamp;
        let Some(pull) = &mut self.pull else { return };
        pull.asked_ms = self.now_ms;
        let (to, round, after) = (pull.source.internal, pull.round, pull.next_after);
        self.send(
            to,
            Message::Fetch {
                round,
                viewstamp,
                after,
            },
        );
    }

    pub(super) fn pull_due_ms(&self) -> Option<u64> {
        self.pull
            .as_ref()
            .map(|pull| pull.asked_ms + FETCH_RETRY_MS)
    }

    pub(super) fn run_pull(&mut self) {
        let Some(pull) = &self.pull else { return };
        if self.now_ms >= pull.heard_ms + FETCH_GIVE_UP_MS {
            self.pull = None;
        } else if self.now_ms >= pull.asked_ms + FETCH_RETRY_MS {
            self.ask_source();
        }
    }

    pub(super) fn on_fetch(
        &mut self,
        from: Member,
        round: u64,
        viewstamp: Viewstamp,
        after: Option<u64>,
    ) {
        let (after, clear) = match after {
            Some(after) => (after, false),
            None if is_part_of(viewstamp, &self.durable) => (viewstamp.seq, false),
            None => (0, true),
        };
        self.last_read += 1;
        let read = self.last_read;
        self.reads.retain(|_, serving| serving.to != from);
        self.reads.insert(
            read,
            Serving {
                to: from,
                round,
                after,
                clear,
                view: self.durable.viewstamp.view,
            },
        );
        self.outputs.push(Output::ReadRows {
            read,
            since: after,
            bytes_max: TRANSFER_BYTES,
        });
    }

    pub(super) fn on_rows_read(&mut self, read: u64, chunk: RowsChunk) {
        let Some(serving) = self.reads.remove(&read) else {
            return;
        };
        if chunk.viewstamp.view != serving.view {
            return;
        }
        let RowsChunk {
            rows,
            more,
            viewstamp,
            history,
        } = chunk;
        let Serving {
            to,
            round,
            after,
            clear,
            ..
        } = serving;
        self.send(
            to.internal,
            Message::Rows {
                round,
                after,
                clear,
                rows,
                more,
                viewstamp,
                history,
            },
        );
    }

    pub(super) fn on_rows(&mut self, from: Member, part: Part) {
        let now_ms = self.now_ms;
        let is_asked = |pull: &&mut Pull| pull.source == from && pull.round == part.round;
        let Some(pull) = self.pull.as_mut().filter(is_asked) else {
            return;
        };
        if pull.next_after.is_some_and(|after| after != part.after) {
            return;
        }
        pull.heard_ms = now_ms;
        if pull.next_after.is_none() {
            pull.clear = part.clear;
        }
        let last_seq = part.rows.last().map_or(part.after, |row| row.seq);
        pull.rows.extend(part.rows);
        if part.more {
            pull.next_after = Some(last_seq);
            self.ask_source();
        } else if let Some(pull) = self.pull.take() {
            self.finish_pull(pull, part.viewstamp, part.history);
        }
    }

    fn finish_pull(&mut self, pull: Pull, viewstamp: Viewstamp, history: Vec<ViewStart>) {
        let fits = match &pull.purpose {
            Purpose::Follow { number } => {
                viewstamp.view == *number
                    && self.durable.promised == *number
                    && self.view() == *number
            }
            Purpose::Candidate { number, newest } => {
                viewstamp == *newest && self.campaign.as_ref().is_some_and(|c| c.number == *number)
            }
        };
        if !fits || viewstamp < self.durable.viewstamp {
            if pull.is_for_candidate() {
                self.fail_candidacy();
            }
            return;
        }
        if pull.clear {
            self.stores.add(StoreOperation::Clear);
            self.durable.trimmed = viewstamp.seq;
        }
        self.stores.add(StoreOperation::Put(pull.rows));
        self.durable.viewstamp = viewstamp;
        self.durable.history = history;
        match pull.purpose {
            Purpose::Follow { .. } => self.stores.want(),
            Purpose::Candidate { number, .. } => {
                self.stores.want_then(AfterStore::Fetched { number })
            }
        }
    }

    /// Drops traces of rows deleted long ago, together with the next store.
    pub(super) fn run_trim_notes(&mut self) {
        if self.now_ms < self.trim_notes.due_ms {
            return;
        }
        self.trim_notes.due_ms = self.now_ms + TRIM_STEP_MS;
        self.trim_notes
            .notes
            .push_back((self.now_ms, self.stored_viewstamp.seq));
        let is_old = |(at_ms, _): &&(u64, u64)| at_ms + TRIM_AFTER_MS <= self.now_ms;
        let Some(&(_, seq)) = self.trim_notes.notes.front().filter(is_old) else {
            return;
        };
        self.trim_notes.notes.pop_front();
        if seq > self.durable.trimmed {
            self.durable.trimmed = seq;
            self.stores.add(StoreOperation::Trim(seq));
        }
    }
}

/// Whether a member at `viewstamp` has a part of the state of `durable`, so that it lacks only later rows.
fn is_part_of(viewstamp: Viewstamp, durable: &Durable) -> bool {
    if viewstamp.seq < durable.trimmed || viewstamp.view == 0 {
        return false;
    }
    if viewstamp.view == durable.viewstamp.view {
        return viewstamp.seq <= durable.viewstamp.seq;
    }
    let position = durable
        .history
        .iter()
        .position(|start| start.view == viewstamp.view);
    let next = position.and_then(|position| durable.history.get(position + 1));
    next.is_some_and(|next| viewstamp.seq <= next.seq)
}
