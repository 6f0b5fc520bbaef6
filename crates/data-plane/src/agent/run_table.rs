//! The runs of one life of a worker: ordered, passed on, at work, ended.

use super::closed_runs::{CloseReason, ClosedRuns};
use indigofold_protocol::internal::{FinishedRun, RunningRun, StartOrder};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::RunId;
use std::collections::BTreeMap;

/// A start that has not fitted for so long is given back to the head.
pub const INCOMPATIBLE_MS: u64 = 500;
/// A start that was passed on so often without being listed is stopped instead.
pub const SEND_ATTEMPTS_MAX: u32 = 10;
/// Most starts in one answer; a heartbeat's answer must stay below 4 MiB.
pub const STARTS_PER_ANSWER: usize = 200;

/// How far a run has come.
#[derive(Debug)]
enum Stage {
    /// Ordered; to be put into an answer.
    Waiting {
        order: StartOrder,
        incompatible_since_ms: Option<u64>,
        send_attempts: u32,
    },
    /// Put into the answer to heartbeat `heartbeat`; no later heartbeat has been heard yet. Without an `order` only its stop
    /// is known.
    Sent {
        order: Option<StartOrder>,
        heartbeat: u64,
        send_attempts: u32,
    },
    /// Listed as running by the newest heartbeat.
    Running,
}

/// Whether a run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// No stop was ordered.
    No,
    /// A stop is to be put into the next answer.
    Due,
    /// The stop was put into the answer to this heartbeat; it is repeated in each answer.
    Sent(u64),
}

#[derive(Debug)]
struct Entry {
    stage: Stage,
    resources: Resources,
    stop: Stop,
    /// Listed by the heartbeat that is being read.
    listed: bool,
}

/// What goes into one answer.
#[derive(Debug, Default)]
pub struct OutgoingOrders {
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<RunId>,
    /// Starts that are given back to the head.
    pub not_started: Vec<RunId>,
}

/// Whether and where starts may be passed on.
#[derive(Clone, Copy, Debug)]
pub struct StartConditions {
    /// What the worker has.
    pub capacity: Resources,
    /// The worker takes new work.
    pub ready: bool,
    /// The answer carries a hold; without one nothing is started.
    pub leased: bool,
}

/// All runs of one life that are ordered, passed on or at work.
#[derive(Debug, Default)]
pub struct RunTable {
    entries: BTreeMap<RunId, Entry>,
    closed: ClosedRuns,
}

impl RunTable {
    /// Takes a start order. A run that is known already is not started again; one that was given back is returned,
    /// to be told to the head once more.
    pub fn order_start(&mut self, order: StartOrder) -> Option<RunId> {
        match self.closed.get(&order.run) {
            Some(CloseReason::NotStarted) => return Some(order.run),
            Some(CloseReason::Ended) => return None,
            None => {}
        }
        if let Some(entry) = self.entries.get_mut(&order.run) {
            entry.resources = order.resources;
            return None;
        }
        let (run, resources) = (order.run, order.resources);
        let stage = Stage::Waiting {
            order,
            incompatible_since_ms: None,
            send_attempts: 0,
        };
        self.entries.insert(
            run,
            Entry {
                stage,
                resources,
                stop: Stop::No,
                listed: false,
            },
        );
        None
    }

    /// Refuses a start order that must not be carried out; returns the run if the head has to be told.
    pub fn refuse_start(&mut self, run: RunId) -> Option<RunId> {
        let known =
            self.entries.contains_key(&run) || self.closed.get(&run) == Some(CloseReason::Ended);
        (!known).then(|| {
            self.closed.insert(run, CloseReason::NotStarted);
            run
        })
    }

    /// Takes a stop order. Returns the run if it was never passed on, so that there is nothing to stop.
    pub fn order_stop(&mut self, run: RunId) -> Option<RunId> {
        match self.closed.get(&run) {
            Some(CloseReason::NotStarted) => return Some(run),
            Some(CloseReason::Ended) => return None,
            None => {}
        }
        let Some(entry) = self.entries.get_mut(&run) else {
            let stage = Stage::Sent {
                order: None,
                heartbeat: 0,
                send_attempts: 0,
            };
            let entry = Entry {
                stage,
                resources: Resources::default(),
                stop: Stop::Due,
                listed: false,
            };
            self.entries.insert(run, entry);
            return None;
        };
        if !entry.withdraw() {
            return None;
        }
        self.close(run, CloseReason::NotStarted);
        Some(run)
    }

    /// Withdraws all that the worker has not listed; returns the starts that were never passed on.
    pub fn withdraw_all(&mut self) -> Vec<RunId> {
        let unlisted = self
            .entries
            .iter()
            .filter(|(_, entry)| !matches!(entry.stage, Stage::Running));
        let runs: Vec<RunId> = unlisted.map(|(run, _)| *run).collect();
        runs.into_iter()
            .filter_map(|run| self.order_stop(run))
            .collect()
    }

    /// Reads the lists of heartbeat `heartbeat`; returns the starts that are now known never to begin.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: u64,
        running: &[RunningRun],
        finished: &[FinishedRun],
    ) -> Vec<RunId> {
        for run in running.iter().map(|listed| listed.run) {
            let stage = Stage::Running;
            let new = Entry {
                stage,
                resources: Resources::default(),
                stop: Stop::No,
                listed: true,
            };
            let entry = self.entries.entry(run).or_insert(new);
            entry.stage = Stage::Running;
            entry.listed = true;
        }
        for run in finished.iter().map(|ended| ended.run) {
            self.close(run, CloseReason::Ended);
        }
        let mut not_started = Vec::new();
        let mut ended = Vec::new();
        for (run, entry) in &mut self.entries {
            if std::mem::take(&mut entry.listed) {
                continue;
            }
            match entry.unlisted(heartbeat) {
                Unlisted::Keep => {}
                Unlisted::NeverStarted => not_started.push(*run),
                Unlisted::Ended => ended.push(*run),
            }
        }
        ended
            .into_iter()
            .for_each(|run| self.close(run, CloseReason::Ended));
        not_started
            .iter()
            .for_each(|run| self.close(*run, CloseReason::NotStarted));
        not_started
    }

    /// What the answer to heartbeat `heartbeat` orders.
    pub fn poll_orders(
        &mut self,
        now_ms: u64,
        heartbeat: u64,
        conditions: StartConditions,
    ) -> OutgoingOrders {
        let mut out = OutgoingOrders::default();
        let mut used = self.occupied();
        for (run, entry) in &mut self.entries {
            if let Stage::Waiting { .. } = entry.stage {
                match entry.poll_start(now_ms, heartbeat, conditions, &used, out.start.len()) {
                    StartDecision::Start(order) => {
                        used = used.plus(&entry.resources);
                        out.start.push(order);
                    }
                    StartDecision::Withdraw => out.not_started.push(*run),
                    StartDecision::Defer => {}
                }
            }
            if entry.stop != Stop::No {
                if entry.stop == Stop::Due {
                    entry.stop = Stop::Sent(heartbeat);
                }
                out.stop.push(*run);
            }
        }
        out.not_started
            .iter()
            .for_each(|run| self.close(*run, CloseReason::NotStarted));
        out
    }

    /// Runs passed on that no heartbeat has listed yet.
    pub fn in_flight(&self) -> Vec<RunId> {
        let passed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_in_flight());
        passed.map(|(run, _)| *run).collect()
    }

    /// Whether anything is ordered, passed on or at work.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What runs, is being stopped, or may be about to run.
    pub fn occupied(&self) -> Resources {
        let present = self.entries.values().filter(|entry| entry.occupies());
        present.fold(Resources::default(), |sum, entry| {
            sum.plus(&entry.resources)
        })
    }

    fn close(&mut self, run: RunId, reason: CloseReason) {
        self.entries.remove(&run);
        self.closed.insert(run, reason);
    }
}

/// What becomes of a run that a heartbeat does not list.
enum Unlisted {
    /// It is kept.
    Keep,
    /// It was passed on, stopped, and never began.
    NeverStarted,
    /// It ran, and is over.
    Ended,
}

/// What becomes of a waiting start at an answer.
enum StartDecision {
    /// It goes into the answer.
    Start(StartOrder),
    /// It waits for a later answer.
    Defer,
    /// It goes back to the head.
    Withdraw,
}

impl Entry {
    /// May be at the worker: it runs, or was passed on at least once and is not known to be lost.
    fn occupies(&self) -> bool {
        !matches!(self.stage, Stage::Waiting { .. })
    }

    fn is_in_flight(&self) -> bool {
        matches!(
            self.stage,
            Stage::Sent { .. }
                | Stage::Waiting {
                    send_attempts: 1..,
                    ..
                }
        )
    }

    /// Marks the run to be stopped; `true` if it was never passed on, so that it can simply be forgotten.
    fn withdraw(&mut self) -> bool {
        if let Stage::Waiting {
            send_attempts: 0, ..
        } = self.stage
        {
            return true;
        }
        if let Stage::Waiting { send_attempts, .. } = self.stage {
            self.stage = Stage::Sent {
                order: None,
                heartbeat: 0,
                send_attempts,
            };
        }
        if self.stop == Stop::No {
            self.stop = Stop::Due;
        }
        false
    }

    /// Heartbeat `heartbeat` lists it neither as running nor as ended.
    fn unlisted(&mut self, heartbeat: u64) -> Unlisted {
        match (&mut self.stage, self.stop) {
            (Stage::Waiting { .. }, _) | (Stage::Sent { .. }, Stop::Due) => Unlisted::Keep,
            (Stage::Running, _) => Unlisted::Ended,
            (Stage::Sent { .. }, Stop::Sent(sent)) if sent < heartbeat => Unlisted::NeverStarted,
            (Stage::Sent { .. }, Stop::Sent(_)) => Unlisted::Keep,
            (
                Stage::Sent {
                    order,
                    heartbeat: passed,
                    send_attempts,
                },
                Stop::No,
            ) => {
                if *passed < heartbeat {
                    let send_attempts = *send_attempts;
                    match order.take() {
                        Some(order) if send_attempts < SEND_ATTEMPTS_MAX => {
                            self.stage = Stage::Waiting {
                                order,
                                incompatible_since_ms: None,
                                send_attempts,
                            };
                        }
                        _ => self.stop = Stop::Due,
                    }
                }
                Unlisted::Keep
            }
        }
    }

    /// Moves a waiting start on if it may go into the answer to heartbeat `heartbeat`.
    fn poll_start(
        &mut self,
        now_ms: u64,
        heartbeat: u64,
        conditions: StartConditions,
        used: &Resources,
        started: usize,
    ) -> StartDecision {
        let Stage::Waiting {
            order,
            incompatible_since_ms,
            send_attempts,
        } = &mut self.stage
        else {
            return StartDecision::Defer;
        };
        if conditions.ready {
            if conditions.capacity.holds(&used.plus(&self.resources)) {
                if !conditions.leased || started >= STARTS_PER_ANSWER {
                    return StartDecision::Defer;
                }
                let (order, send_attempts) = (order.clone(), *send_attempts + 1);
                self.stage = Stage::Sent {
                    order: Some(order.clone()),
                    heartbeat,
                    send_attempts,
                };
                return StartDecision::Start(order);
            }
            if now_ms
                < incompatible_since_ms
                    .get_or_insert(now_ms)
                    .saturating_add(INCOMPATIBLE_MS)
            {
                return StartDecision::Defer;
            }
        }
        match self.withdraw() {
            true => StartDecision::Withdraw,
            false => StartDecision::Defer,
        }
    }
}
