//! One life of the worker: from its first heartbeat until it leaves, is replaced or falls silent for good.

use super::lease_authority::expires_by_ms;
use super::run_table::{OutgoingOrders, RunTable, StartConditions};
use indigofold_protocol::internal::{FinishedRun, InstanceReport, RUN_LEASE_MS, RunningRun};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{Finished, Heartbeat, Running, WorkerState};

/// Whether the head knows this life, so that its orders may be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// No report has told of it.
    Unreported,
    /// Reports sent at this time or later tell of it; none of them has been answered.
    Reported(u64),
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
pub struct WorkerInstance {
    /// Its id.
    pub id: String,
    /// Whether the head knows of it.
    pub confirmation: Confirmation,
    /// It was told to be gone, and has come back.
    pub returned: bool,
    /// It has been silent until all its holds lapsed.
    pub expired: bool,
    /// It has sent `DELETE` without having drained first, and serves on for a while.
    pub deregistered: bool,
    /// Its runs.
    pub runs: RunTable,
    /// Ends up to this number are on the head's disk.
    pub acknowledged_end: Option<u64>,
    /// Rises when the set of runs at work or one of their saved texts changes.
    pub runs_revision: u64,
    newest: Heartbeat,
    newest_seq_no: Option<u64>,
    last_heartbeat_ms: u64,
    /// All holds given have lapsed at this time.
    leased_until_ms: u64,
    running: Vec<RunningRun>,
    finished: Vec<FinishedRun>,
}

impl WorkerInstance {
    /// A life whose first heartbeat is about to be read. A predecessor of this process may have given a hold until
    /// `started_ms`.
    pub fn new(id: String, started_ms: u64) -> Self {
        WorkerInstance {
            id,
            confirmation: Confirmation::Unreported,
            returned: false,
            expired: false,
            deregistered: false,
            runs: RunTable::default(),
            acknowledged_end: None,
            runs_revision: 0,
            newest: Heartbeat::default(),
            newest_seq_no: None,
            last_heartbeat_ms: started_ms,
            leased_until_ms: expires_by_ms(started_ms, RUN_LEASE_MS),
            running: Vec::new(),
            finished: Vec::new(),
        }
    }

    /// Whether a heartbeat with this number came late: a newer one has been read.
    pub fn is_superseded(&self, seq_no: u64) -> bool {
        self.newest_seq_no.is_some_and(|newest| seq_no <= newest)
    }

    /// It has announced its end.
    pub fn is_draining(&self) -> bool {
        self.newest.state == WorkerState::Draining
    }

    /// It has sent `DELETE`: from now on it is told as one that drains and has no time left.
    pub fn deregister(&mut self) {
        self.deregistered = true;
        drain_at_once(&mut self.newest);
    }

    /// Nothing is at work or ordered, and the head has heard of all ends.
    pub fn is_done(&self) -> bool {
        self.runs.is_empty() && self.finished.is_empty()
    }

    /// Reads a heartbeat.
    pub fn handle_heartbeat(&mut self, now_ms: u64, mut heartbeat: Heartbeat) -> Changes {
        if self.deregistered {
            drain_at_once(&mut heartbeat);
        }
        let running = running_runs(std::mem::take(&mut heartbeat.running));
        let finished = self.unacknowledged(std::mem::take(&mut heartbeat.finished));
        let not_started = self
            .runs
            .handle_heartbeat(heartbeat.seq_no, &running, &finished);
        let runs_changed = !same_runs(&self.running, &running);
        let newest_end = |ends: &[FinishedRun]| ends.last().map(|end| end.number);
        let ended = newest_end(&finished) > newest_end(&self.finished);
        let urgent = runs_changed
            || ended
            || heartbeat.state != self.newest.state
            || heartbeat.capacity != self.newest.capacity
            || heartbeat.labels != self.newest.labels;
        self.runs_revision += u64::from(runs_changed);
        self.newest_seq_no = Some(heartbeat.seq_no);
        (
            self.running,
            self.finished,
            self.newest,
            self.last_heartbeat_ms,
        ) = (running, finished, heartbeat, now_ms);
        Changes {
            urgent,
            ended,
            not_started,
        }
    }

    /// What the answer to the newest heartbeat orders; `lease_ms` is the hold that it carries.
    pub fn poll_orders(&mut self, now_ms: u64, lease_ms: Option<u64>) -> OutgoingOrders {
        if let Some(lease_ms) = lease_ms {
            self.leased_until_ms = self.leased_until_ms.max(expires_by_ms(now_ms, lease_ms));
        }
        let ready = self.newest.state == WorkerState::Ready;
        let conditions = StartConditions {
            capacity: self.newest.capacity,
            ready,
            leased: lease_ms.is_some(),
        };
        self.runs
            .poll_orders(now_ms, self.newest.seq_no, conditions)
    }

    /// Whether this is the number of the newest heartbeat.
    pub fn is_newest(&self, seq_no: u64) -> bool {
        self.newest_seq_no == Some(seq_no)
    }

    /// The head has these ends on disk.
    pub fn acknowledge(&mut self, number: u64) {
        self.acknowledged_end = self.acknowledged_end.max(Some(number));
        self.finished.retain(|end| end.number > number);
    }

    /// When all that may run there has lapsed, if it stays silent.
    pub fn expires_at_ms(&self) -> u64 {
        self.leased_until_ms
            .max(expires_by_ms(self.last_heartbeat_ms, RUN_LEASE_MS))
    }

    /// Its account for the head; `include_runs`: with the runs at work.
    pub fn report(&self, now_ms: u64, include_runs: bool) -> InstanceReport {
        let since_heartbeat_ms = now_ms.saturating_sub(self.last_heartbeat_ms);
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
            running: include_runs.then(|| self.running.clone()),
            finished: self.finished.clone(),
            in_flight: self.runs.in_flight(),
        }
    }

    /// Ends that the head has not acknowledged, in the order of their numbers.
    fn unacknowledged(&self, listed: Vec<Finished>) -> Vec<FinishedRun> {
        let seen = self.acknowledged_end.unwrap_or(0);
        let fresh = listed.into_iter().filter(|end| end.0 > seen);
        let mut ends: Vec<FinishedRun> = fresh
            .filter_map(|end| {
                let run = RunId {
                    task: end.1.parse().ok()?,
                    attempt: end.2,
                };
                Some(FinishedRun {
                    number: end.0,
                    run,
                    end: end.3,
                    checkpoint: end.4,
                })
            })
            .collect();
        ends.sort_by_key(|end| end.number);
        ends
    }
}

fn drain_at_once(heartbeat: &mut Heartbeat) {
    heartbeat.state = WorkerState::Draining;
    heartbeat.remaining_ms = Some(0);
}

/// Runs at work as the heartbeat lists them. A name that is no task's was never ordered by this system.
fn running_runs(listed: Vec<Running>) -> Vec<RunningRun> {
    let runs = listed.into_iter().filter_map(|item| {
        let run = RunId {
            task: item.0.parse().ok()?,
            attempt: item.1,
        };
        Some(RunningRun {
            run,
            checkpoint: item.2,
            percent: item.3,
        })
    });
    runs.collect()
}

/// Whether both lists name the same runs with the same saved texts.
fn same_runs(before: &[RunningRun], after: &[RunningRun]) -> bool {
    let pairs = before.iter().zip(after);
    before.len() == after.len()
        && pairs
            .into_iter()
            .all(|(a, b)| a.run == b.run && a.checkpoint == b.checkpoint)
}
