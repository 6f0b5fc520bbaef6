//! One life of a worker: what it was told, what runs there, and the ends it still has to report.

use super::record::{LifeRecord, Moment};
use super::run::Run;
use crate::random;
use crate::settings::Bounds;
use crate::task::{RunName, TaskName};
use crate::wire::{Capacity, ENDS_MAX, Heartbeat, How};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// A worker goes on for so long after the time that its draining needs.
const LINGER: Duration = Duration::from_millis(300);

/// Number of a life, in the order of their beginnings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LifeId(pub usize);

/// What stays the same over all lives of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSetup {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// What it has.
    pub capacity: Capacity,
    /// Its labels.
    pub labels: Vec<String>,
    /// Where it would be called.
    pub address: String,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    at: Moment,
    run: RunName,
    how: How,
    saved: String,
}

#[derive(Clone, Copy, Debug)]
struct Drain {
    remaining_until: Moment,
    acknowledged: Option<Moment>,
}

/// A life.
#[derive(Debug)]
pub struct Life {
    setup: WorkerSetup,
    id: String,
    up: bool,
    fence_token: u64,
    hold_until: Option<Moment>,
    last_lapse: Option<Moment>,
    /// What runs, the runs that are being stopped included.
    pub runs: BTreeMap<RunName, Run>,
    /// By task, the highest run that was stopped or has ended here: it and those below it are refused.
    barred: HashMap<TaskName, u32>,
    ends: VecDeque<End>,
    next_number: u64,
    unsent_end: Option<Moment>,
    seq_no: u64,
    drain: Option<Drain>,
}

impl Life {
    /// A worker that has just started.
    pub fn new(setup: &WorkerSetup) -> Self {
        Life {
            setup: setup.clone(),
            id: format!("i-{:08x}", random::number() as u32),
            up: true,
            fence_token: 0,
            hold_until: None,
            last_lapse: None,
            runs: BTreeMap::new(),
            barred: HashMap::new(),
            ends: VecDeque::new(),
            next_number: 1,
            unsent_end: None,
            seq_no: 0,
            drain: None,
        }
    }

    /// What the record keeps of it.
    pub fn record(&self) -> LifeRecord {
        let WorkerSetup {
            name,
            service,
            capacity,
            labels,
            ..
        } = self.setup.clone();
        LifeRecord {
            id: self.id.clone(),
            worker: name,
            service,
            capacity,
            labels,
        }
    }

    /// Whether it is still at work.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Nothing runs here any more. What ran there is returned.
    pub fn end(&mut self) -> Vec<Run> {
        self.up = false;
        std::mem::take(&mut self.runs).into_values().collect()
    }

    /// The next thing that happens here by itself: the end of a run, or (`None`) of the hold.
    pub fn next_due(&self) -> Option<(Moment, Option<(RunName, How)>)> {
        let ends = self.runs.values().filter_map(|run| {
            let (at, how) = run.due()?;
            Some((at, Some((run.name.clone(), how))))
        });
        let lapse = self
            .hold_until
            .filter(|_| !self.runs.is_empty())
            .map(|at| (at, None));
        ends.chain(lapse).min_by_key(|(at, _)| *at)
    }

    /// The hold has run out.
    pub fn lapse(&mut self, now: Moment) -> Vec<RunName> {
        self.hold_until = None;
        self.last_lapse = Some(now);
        self.runs.keys().cloned().collect()
    }

    /// Follows an answer's fencing token, unless it is lower than one seen before.
    pub fn accepts_fence(&mut self, fence_token: u64) -> bool {
        let accepted = fence_token >= self.fence_token;
        self.fence_token = self.fence_token.max(fence_token);
        accepted
    }

    /// Extends the hold; it is never shortened.
    pub fn extend_hold(&mut self, sent: Moment, hold: Duration, bounds: &Bounds) {
        let until = sent + hold.min(bounds.max_hold);
        self.hold_until = Some(self.hold_until.map_or(until, |before| before.max(until)));
    }

    /// Whether what is started now would be held on.
    pub fn is_held(&self, now: Moment) -> bool {
        self.hold_until.is_some_and(|until| until > now)
    }

    /// Whether a start of this run is refused: it was stopped or has ended here, or a higher one was or has.
    pub fn refuses(&self, run: &RunName) -> bool {
        self.barred
            .get(&run.task)
            .is_some_and(|barred| run.attempt <= *barred)
    }

    /// Refuses this run, and those below it, from now on.
    pub fn bar(&mut self, run: &RunName) {
        let barred = self.barred.entry(run.task.clone()).or_default();
        *barred = run.attempt.max(*barred);
    }

    /// Lists an end in the heartbeats from now on.
    pub fn list_end(&mut self, run: RunName, how: How, saved: String, now: Moment) {
        self.ends.push_back(End {
            number: self.next_number,
            at: now,
            run,
            how,
            saved,
        });
        self.next_number += 1;
        self.unsent_end.get_or_insert(now);
    }

    /// Forgets the ends up to `last_seen`. Those with no lapse of the hold since are returned.
    pub fn forget_ends(&mut self, last_seen: u64) -> Vec<(RunName, How)> {
        let count = self.ends.partition_point(|end| end.number <= last_seen);
        let lapse = self.last_lapse;
        let noted = self
            .ends
            .drain(..count)
            .filter(|end| lapse.is_none_or(|lapse| lapse <= end.at));
        noted.map(|end| (end.run, end.how)).collect()
    }

    /// When the first end came that no heartbeat has carried yet.
    pub fn unsent_end(&self) -> Option<Moment> {
        self.unsent_end
    }

    /// It will leave after `remaining`.
    pub fn start_draining(&mut self, remaining: Duration, now: Moment) {
        self.drain.get_or_insert(Drain {
            remaining_until: now + remaining,
            acknowledged: None,
        });
    }

    /// A heartbeat that said `draining` was acknowledged; true for the first.
    pub fn acknowledge_drain(&mut self, sent_as_draining: bool, now: Moment) -> bool {
        let Some(drain) = self.drain.as_mut().filter(|_| sent_as_draining) else {
            return false;
        };
        let first = drain.acknowledged.is_none();
        drain.acknowledged.get_or_insert(now);
        first
    }

    /// Whether it says that it drains.
    pub fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// When it leaves, once its draining is acknowledged.
    pub fn leaves_at(&self, bounds: &Bounds) -> Option<Moment> {
        let drain = self.drain?;
        Some(
            drain
                .remaining_until
                .max(drain.acknowledged? + bounds.drain + LINGER),
        )
    }

    /// Its id and its heartbeat.
    pub fn heartbeat(&mut self, now: Moment) -> (String, Heartbeat) {
        self.seq_no += 1;
        self.unsent_end = None;
        let running = self.runs.values_mut().map(|run| {
            (
                run.name.task.to_string(),
                run.name.attempt,
                run.saved(now),
                run.percent(now),
            )
        });
        let finished = self.ends.iter().take(ENDS_MAX).map(|end| {
            (
                end.number,
                end.run.task.to_string(),
                end.run.attempt,
                end.how,
                end.saved.clone(),
            )
        });
        let remaining = self
            .drain
            .map(|drain| drain.remaining_until.saturating_sub(now));
        let heartbeat = Heartbeat {
            backend: self.setup.service.clone(),
            address: self.setup.address.clone(),
            zone: self.setup.zone.clone(),
            version: "v1".to_owned(),
            slots: 8,
            state: if self.drain.is_some() {
                "draining"
            } else {
                "ready"
            },
            cold_remaining_ms: 0,
            capacity: self.setup.capacity,
            labels: self.setup.labels.clone(),
            remaining_ms: remaining.map(|left| left.as_millis() as u64),
            now_ms: now.as_millis() as u64,
            seq_no: self.seq_no,
            running: running.collect(),
            finished: finished.collect(),
        };
        (self.id.clone(), heartbeat)
    }
}
