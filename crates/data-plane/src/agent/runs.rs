//! The runs of one life of a worker: ordered, passed on, at work, ended.

use super::closed::{Closed, Closing};
use indigofold_protocol::internal::{FinishedRun, RunningRun, StartOrder};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::RunId;
use std::collections::BTreeMap;

/// A start that has not fitted for so long is given back to the head.
pub const MISFIT_MS: u64 = 500;
/// A start that was passed on so often without being listed is stopped instead.
pub const PASSES_MAX: u32 = 10;
/// Most starts in one answer; a heartbeat's answer must stay below 4 MiB.
pub const STARTS_PER_ANSWER: usize = 200;

/// How far a run has come.
#[derive(Debug)]
enum Stage {
    /// Ordered; to be put into an answer.
    Waiting {
        order: StartOrder,
        misfit_since_ms: Option<u64>,
        passes: u32,
    },
    /// Put into the answer to heartbeat `beat`; no later heartbeat has been heard yet. Without an `order` only its stop
    /// is known.
    Passed {
        order: Option<StartOrder>,
        beat: u64,
        passes: u32,
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
    Wanted,
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
pub struct HandOut {
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<RunId>,
    /// Starts that are given back to the head.
    pub not_started: Vec<RunId>,
}

/// Whether and where starts may be passed on.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// What the worker has.
    pub capacity: Resources,
    /// The worker takes new work.
    pub ready: bool,
    /// The answer carries a hold; without one nothing is started.
    pub held: bool,
}

/// All runs of one life that are ordered, passed on or at work.
#[derive(Debug, Default)]
pub struct RunTable {
    entries: BTreeMap<RunId, Entry>,
    closed: Closed,
}

impl RunTable {
    /// Takes a start order. A run that is known already is not started again; one that was given back is returned,
    /// to be told to the head once more.
    pub fn order_start(&mut self, order: StartOrder) -> Option<RunId> {
        match self.closed.get(&order.run) {
            Some(Closing::NotStarted) => return Some(order.run),
            Some(Closing::Ended) => return None,
            None => {}
        }
        if let Some(entry) = self.entries.get_mut(&order.run) {
            entry.resources = order.resources;
            return None;
        }
        let (run, resources) = (order.run, order.resources);
        let stage = Stage::Waiting {
            order,
            misfit_since_ms: None,
            passes: 0,
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
            self.entries.contains_key(&run) || self.closed.get(&run) == Some(Closing::Ended);
        (!known).then(|| {
            self.closed.insert(run, Closing::NotStarted);
            run
        })
    }

    /// Takes a stop order. Returns the run if it was never passed on, so that there is nothing to stop.
    pub fn order_stop(&mut self, run: RunId) -> Option<RunId> {
        match self.closed.get(&run) {
            Some(Closing::NotStarted) => return Some(run),
            Some(Closing::Ended) => return None,
            None => {}
        }
        let Some(entry) = self.entries.get_mut(&run) else {
            let stage = Stage::Passed {
                order: None,
                beat: 0,
                passes: 0,
            };
            let entry = Entry {
                stage,
                resources: Resources::default(),
                stop: Stop::Wanted,
                listed: false,
            };
            self.entries.insert(run, entry);
            return None;
        };
        if !entry.withdraw() {
            return None;
        }
        self.close(run, Closing::NotStarted);
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

    /// Reads the lists of heartbeat `beat`; returns the starts that are now known never to begin.
    pub fn heard(
        &mut self,
        beat: u64,
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
            self.close(run, Closing::Ended);
        }
        let mut not_started = Vec::new();
        let mut vanished = Vec::new();
        for (run, entry) in &mut self.entries {
            if std::mem::take(&mut entry.listed) {
                continue;
            }
            match entry.unlisted(beat) {
                Unlisted::Stays => {}
                Unlisted::NeverBegan => not_started.push(*run),
                Unlisted::Vanished => vanished.push(*run),
            }
        }
        vanished
            .into_iter()
            .for_each(|run| self.close(run, Closing::Ended));
        not_started
            .iter()
            .for_each(|run| self.close(*run, Closing::NotStarted));
        not_started
    }

    /// What the answer to heartbeat `beat` orders.
    pub fn hand_out(&mut self, now_ms: u64, beat: u64, room: Room) -> HandOut {
        let mut out = HandOut::default();
        let mut used = self.occupied();
        for (run, entry) in &mut self.entries {
            if let Stage::Waiting { .. } = entry.stage {
                match entry.try_pass(now_ms, beat, room, &used, out.start.len()) {
                    Pass::Start(order) => {
                        used = used.plus(&entry.resources);
                        out.start.push(order);
                    }
                    Pass::GiveBack => out.not_started.push(*run),
                    Pass::Later => {}
                }
            }
            if entry.stop != Stop::No {
                if entry.stop == Stop::Wanted {
                    entry.stop = Stop::Sent(beat);
                }
                out.stop.push(*run);
            }
        }
        out.not_started
            .iter()
            .for_each(|run| self.close(*run, Closing::NotStarted));
        out
    }

    /// Runs passed on that no heartbeat has listed yet.
    pub fn in_flight(&self) -> Vec<RunId> {
        let passed = self.entries.iter().filter(|(_, entry)| entry.is_passed());
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

    fn close(&mut self, run: RunId, closing: Closing) {
        self.entries.remove(&run);
        self.closed.insert(run, closing);
    }
}

/// What becomes of a run that a heartbeat does not list.
enum Unlisted {
    /// It is kept.
    Stays,
    /// It was passed on, stopped, and never began.
    NeverBegan,
    /// It ran, and is over.
    Vanished,
}

/// What becomes of a waiting start at an answer.
enum Pass {
    /// It goes into the answer.
    Start(StartOrder),
    /// It waits for a later answer.
    Later,
    /// It goes back to the head.
    GiveBack,
}

impl Entry {
    /// May be at the worker: it runs, or was passed on at least once and is not known to be lost.
    fn occupies(&self) -> bool {
        !matches!(self.stage, Stage::Waiting { .. })
    }

    fn is_passed(&self) -> bool {
        matches!(
            self.stage,
            Stage::Passed { .. } | Stage::Waiting { passes: 1.., .. }
        )
    }

    /// Marks the run to be stopped; `true` if it was never passed on, so that it can simply be forgotten.
    fn withdraw(&mut self) -> bool {
        if let Stage::Waiting { passes: 0, .. } = self.stage {
            return true;
        }
        if let Stage::Waiting { passes, .. } = self.stage {
            self.stage = Stage::Passed {
                order: None,
                beat: 0,
                passes,
            };
        }
        if self.stop == Stop::No {
            self.stop = Stop::Wanted;
        }
        false
    }

    /// Heartbeat `beat` lists it neither as running nor as ended.
    fn unlisted(&mut self, beat: u64) -> Unlisted {
        match (&mut self.stage, self.stop) {
            (Stage::Waiting { .. }, _) | (Stage::Passed { .. }, Stop::Wanted) => Unlisted::Stays,
            (Stage::Running, _) => Unlisted::Vanished,
            (Stage::Passed { .. }, Stop::Sent(sent)) if sent < beat => Unlisted::NeverBegan,
            (Stage::Passed { .. }, Stop::Sent(_)) => Unlisted::Stays,
            (
                Stage::Passed {
                    order,
                    beat: passed,
                    passes,
                },
                Stop::No,
            ) => {
                if *passed < beat {
                    let passes = *passes;
                    match order.take() {
                        Some(order) if passes < PASSES_MAX => {
                            self.stage = Stage::Waiting {
                                order,
                                misfit_since_ms: None,
                                passes,
                            };
                        }
                        _ => self.stop = Stop::Wanted,
                    }
                }
                Unlisted::Stays
            }
        }
    }

    /// Moves a waiting start on if it may go into the answer to heartbeat `beat`.
    fn try_pass(
        &mut self,
        now_ms: u64,
        beat: u64,
        room: Room,
        used: &Resources,
        started: usize,
    ) -> Pass {
        let Stage::Waiting {
            order,
            misfit_since_ms,
            passes,
        } = &mut self.stage
        else {
            return Pass::Later;
        };
        if room.ready {
            if room.capacity.can_fit(&used.plus(&self.resources)) {
                if !room.held || started >= STARTS_PER_ANSWER {
                    return Pass::Later;
                }
                let (order, passes) = (order.clone(), *passes + 1);
                self.stage = Stage::Passed {
                    order: Some(order.clone()),
                    beat,
                    passes,
                };
                return Pass::Start(order);
            }
            if now_ms
                < misfit_since_ms
                    .get_or_insert(now_ms)
                    .saturating_add(MISFIT_MS)
            {
                return Pass::Later;
            }
        }
        match self.withdraw() {
            true => Pass::GiveBack,
            false => Pass::Later,
        }
    }
}
