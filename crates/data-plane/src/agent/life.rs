//! One life of the worker: from its first heartbeat until it leaves, is replaced or falls silent for good.

use super::authority::expires_by_ms;
use super::runs::{HandOut, Room, RunTable};
use indigofold_protocol::internal::{FinishedRun, InstanceReport, RUN_LEASE_MS, RunningRun};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{Finished, Heartbeat, Running, WorkerState};

/// Whether the head knows this life, so that its orders may be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No report has told of it.
    Untold,
    /// Reports sent at this time or later tell of it; none of them has been answered.
    Told(u64),
    /// An acting head has answered a report that tells of it.
    Confirmed,
}

/// What a heartbeat changed that the head has to hear of at once.
#[derive(Debug, Default)]
pub struct Changes {
    /// State, lists, capacity or labels differ from before.
    pub urgent: bool,
    /// Runs have ended.
    pub ended: bool,
    /// Starts that are now known never to begin.
    pub not_started: Vec<RunId>,
}

/// One life of the worker.
#[derive(Debug)]
pub struct Life {
    /// Its id.
    pub id: String,
    /// Whether the head knows of it.
    pub standing: Standing,
    /// It was told to be gone, and has come back.
    pub returned: bool,
    /// It has been silent until all its holds lapsed.
    pub expired: bool,
    /// It has sent `DELETE` without having drained first, and serves on for a while.
    pub leaving: bool,
    /// Its runs.
    pub runs: RunTable,
    /// Ends up to this number are on the head's disk.
    pub acknowledged_end: Option<u64>,
    /// Rises when the set of runs at work or one of their saved texts changes.
    pub lists_revision: u64,
    newest: Heartbeat,
    newest_seq: Option<u64>,
    heard_ms: u64,
    /// All holds given have lapsed at this time.
    leased_until_ms: u64,
    running: Vec<RunningRun>,
    finished: Vec<FinishedRun>,
}

impl Life {
    /// A life whose first heartbeat is about to be read. A predecessor of this process may have given a hold until
    /// `started_ms`.
    pub fn new(id: String, started_ms: u64) -> Self {
        Life {
            id,
            standing: Standing::Untold,
            returned: false,
            expired: false,
            leaving: false,
            runs: RunTable::default(),
            acknowledged_end: None,
            lists_revision: 0,
            newest: Heartbeat::default(),
            newest_seq: None,
            heard_ms: started_ms,
            leased_until_ms: expires_by_ms(started_ms, RUN_LEASE_MS),
            running: Vec::new(),
            finished: Vec::new(),
        }
    }

    /// Whether a heartbeat with this number came late: a newer one has been read.
    pub fn is_late(&self, seq_no: u64) -> bool {
        self.newest_seq.is_some_and(|newest| seq_no <= newest)
    }

    /// It has announced its end.
    pub fn is_draining(&self) -> bool {
        self.newest.state == WorkerState::Draining
    }

    /// It has sent `DELETE`: from now on it is told as one that drains and has no time left.
    pub fn leave(&mut self) {
        self.leaving = true;
        drain_at_once(&mut self.newest);
    }

    /// Nothing is at work or ordered, and the head has heard of all ends.
    pub fn is_done(&self) -> bool {
        self.runs.is_empty() && self.finished.is_empty()
    }

    /// Reads a heartbeat.
    pub fn heard(&mut self, now_ms: u64, mut beat: Heartbeat) -> Changes {
        if self.leaving {
            drain_at_once(&mut beat);
        }
        let running = running_runs(std::mem::take(&mut beat.running));
        let finished = self.unacknowledged(std::mem::take(&mut beat.finished));
        let not_started = self.runs.heard(beat.seq_no, &running, &finished);
        let lists_changed = !same_lists(&self.running, &running);
        let newest_end = |ends: &[FinishedRun]| ends.last().map(|end| end.number);
        let ended = newest_end(&finished) > newest_end(&self.finished);
        let urgent = lists_changed
            || ended
            || beat.state != self.newest.state
            || beat.capacity != self.newest.capacity
            || beat.labels != self.newest.labels;
        self.lists_revision += u64::from(lists_changed);
        self.newest_seq = Some(beat.seq_no);
        (self.running, self.finished, self.newest, self.heard_ms) =
            (running, finished, beat, now_ms);
        Changes {
            urgent,
            ended,
            not_started,
        }
    }

    /// What the answer to the newest heartbeat orders; `lease_ms` is the hold that it carries.
    pub fn hand_out(&mut self, now_ms: u64, lease_ms: Option<u64>) -> HandOut {
        if let Some(lease_ms) = lease_ms {
            self.leased_until_ms = self.leased_until_ms.max(expires_by_ms(now_ms, lease_ms));
        }
        let ready = self.newest.state == WorkerState::Ready;
        let room = Room {
            capacity: self.newest.capacity,
            ready,
            held: lease_ms.is_some(),
        };
        self.runs.hand_out(now_ms, self.newest.seq_no, room)
    }

    /// Whether this is the number of the newest heartbeat.
    pub fn is_newest(&self, seq_no: u64) -> bool {
        self.newest_seq == Some(seq_no)
    }

    /// The head has these ends on disk.
    pub fn acknowledge(&mut self, number: u64) {
        self.acknowledged_end = self.acknowledged_end.max(Some(number));
        self.finished.retain(|end| end.number > number);
    }

    /// When all that may run there has lapsed, if it stays silent.
    pub fn lapses_at_ms(&self) -> u64 {
        self.leased_until_ms
            .max(expires_by_ms(self.heard_ms, RUN_LEASE_MS))
    }

    /// Its account for the head; `lists`: with the runs at work.
    pub fn report(&self, now_ms: u64, lists: bool) -> InstanceReport {
        let since_heartbeat_ms = now_ms.saturating_sub(self.heard_ms);
        InstanceReport {
            id: self.id.clone(),
            backend: self.newest.backend.clone(),
            zone: self.newest.zone.clone(),
            state: self.newest.state,
            remaining_ms: self
                .newest
                .remaining_ms
                .map(|left| left.saturating_sub(since_heartbeat_ms)),
            warmup_remaining_ms: self
                .newest
                .warmup_remaining_ms
                .saturating_sub(since_heartbeat_ms),
            capacity: self.newest.capacity,
            labels: self.newest.labels.clone(),
            since_heartbeat_ms,
            running: lists.then(|| self.running.clone()),
            finished: self.finished.clone(),
            in_flight: self.runs.in_flight(),
        }
    }

    /// Ends that the head has not acknowledged, in the order of their numbers.
    fn unacknowledged(&self, listed: Vec<Finished>) -> Vec<FinishedRun> {
        let seen = self.acknowledged_end.unwrap_or(0);
        let fresh = listed.into_iter().filter(|end| end.number > seen);
        let mut ends: Vec<FinishedRun> = fresh
            .filter_map(|end| {
                let run = RunId {
                    task: end.task.parse().ok()?,
                    attempt: end.attempt,
                };
                Some(FinishedRun {
                    number: end.number,
                    run,
                    end: end.end,
                    checkpoint: end.checkpoint,
                })
            })
            .collect();
        ends.sort_by_key(|end| end.number);
        ends
    }
}

fn drain_at_once(beat: &mut Heartbeat) {
    beat.state = WorkerState::Draining;
    beat.remaining_ms = Some(0);
}

/// Runs at work as the heartbeat lists them. A name that is no task's was never ordered by this system.
fn running_runs(listed: Vec<Running>) -> Vec<RunningRun> {
    let runs = listed.into_iter().filter_map(|item| {
        let run = RunId {
            task: item.task.parse().ok()?,
            attempt: item.attempt,
        };
        Some(RunningRun {
            run,
            checkpoint: item.checkpoint,
            percent: item.percent,
        })
    });
    runs.collect()
}

/// Whether both lists name the same runs with the same saved texts.
fn same_lists(before: &[RunningRun], after: &[RunningRun]) -> bool {
    let pairs = before.iter().zip(after);
    before.len() == after.len()
        && pairs
            .into_iter()
            .all(|(a, b)| a.run == b.run && a.checkpoint == b.checkpoint)
}
