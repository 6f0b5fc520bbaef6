//! One instance of a worker: its run lease, its runs, and the ends that it still has to report.

use super::ended_runs::EndedRuns;
use super::record::{InstanceRecord, Moment};
use super::run::Run;
use crate::random;
use crate::settings::Bounds;
use crate::task::{RunName, TaskName};
use crate::wire::{Capacity, EndReason, Heartbeat, RunningReport};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time that a draining instance stays up after the drain bound has passed since the acknowledgement.
const DRAIN_MARGIN: Duration = Duration::from_millis(300);
/// Number of slots in every heartbeat; no test depends on it.
const SLOTS: u32 = 8;

/// Properties that all instances of a worker share.
#[derive(Clone, Debug)]
pub struct WorkerSetup {
    /// The worker's name.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// The zone of its machine.
    pub zone: String,
    /// Resources for its runs.
    pub capacity: Capacity,
    /// Labels that steps can require.
    pub labels: Vec<String>,
    /// Address in its heartbeats; nothing connects to it.
    pub address: String,
}

#[derive(Clone, Copy, Debug)]
struct Drain {
    remaining_until: Moment,
    acknowledged: Option<Moment>,
}

/// An event that occurs on an instance without an order.
#[derive(Clone, Debug)]
pub(super) enum Due {
    /// A run ends.
    RunEnds(RunName, EndReason),
    /// The run lease expires.
    LeaseExpires,
}

/// The state of one instance.
#[derive(Debug)]
pub(super) struct Instance {
    setup: WorkerSetup,
    id: String,
    /// False once the instance has ended.
    up: bool,
    /// The highest fencing token received.
    fencing_token: u64,
    /// End of the run lease; `None` before the first one and after an expiry.
    lease_until: Option<Moment>,
    last_expiry: Option<Moment>,
    /// The present runs, including those that are being stopped.
    pub runs: BTreeMap<RunName, Run>,
    /// For each task, the highest attempt that was stopped or has ended here; starts up to this attempt are refused.
    refused_up_to: HashMap<TaskName, u32>,
    /// Ends that have not been acknowledged.
    pub ended_runs: EndedRuns,
    /// Sequence number of the last heartbeat.
    seq_no: u64,
    drain: Option<Drain>,
}

impl Instance {
    /// Creates an instance that has just started, with a random id.
    pub(super) fn new(setup: &WorkerSetup) -> Self {
        Instance {
            setup: setup.clone(),
            id: format!("i-{:08x}", random::number() as u32),
            up: true,
            fencing_token: 0,
            lease_until: None,
            last_expiry: None,
            runs: BTreeMap::new(),
            refused_up_to: HashMap::new(),
            ended_runs: EndedRuns::default(),
            seq_no: 0,
            drain: None,
        }
    }

    /// The record's entry for this instance.
    pub(super) fn record(&self) -> InstanceRecord {
        let setup = self.setup.clone();
        InstanceRecord {
            id: self.id.clone(),
            worker: setup.name,
            service: setup.service,
            capacity: setup.capacity,
            labels: setup.labels,
        }
    }

    /// Whether the instance has not ended.
    pub(super) fn is_up(&self) -> bool {
        self.up
    }

    /// Ends the instance and returns its runs, which end with it.
    pub(super) fn end(&mut self) -> Vec<Run> {
        self.up = false;
        std::mem::take(&mut self.runs).into_values().collect()
    }

    /// The next event that occurs here without an order, and its time.
    pub(super) fn next_due(&self) -> Option<(Moment, Due)> {
        let ends = self.runs.values().filter_map(|run| {
            let (at, reason) = run.due()?;
            Some((at, Due::RunEnds(run.name.clone(), reason)))
        });
        let expiry = self
            .lease_until
            .filter(|_| !self.runs.is_empty())
            .map(|at| (at, Due::LeaseExpires));
        ends.chain(expiry).min_by_key(|(at, _)| *at)
    }

    /// Handles the expiry of the run lease, and returns the runs that end by it.
    pub(super) fn expire_lease(&mut self, now: Moment) -> Vec<RunName> {
        self.lease_until = None;
        self.last_expiry = Some(now);
        self.runs.keys().cloned().collect()
    }

    /// Whether a response with this fencing token is valid: the token is no lower than any received before. Remembers
    /// the highest token.
    pub(super) fn accepts_fencing_token(&mut self, fencing_token: u64) -> bool {
        let accepted = fencing_token >= self.fencing_token;
        self.fencing_token = self.fencing_token.max(fencing_token);
        accepted
    }

    /// Extends the run lease to `lease` after `sent`, limited to the longest lease allowed; it is never shortened.
    pub(super) fn extend_lease(&mut self, sent: Moment, lease: Duration, bounds: &Bounds) {
        let until = sent + lease.min(bounds.max_run_lease);
        self.lease_until = Some(self.lease_until.map_or(until, |before| before.max(until)));
    }

    /// Whether the run lease lasts beyond `now`.
    pub(super) fn has_lease(&self, now: Moment) -> bool {
        self.lease_until.is_some_and(|until| until > now)
    }

    /// Whether a start of this run is refused: this or a later attempt of its task was stopped or has ended here.
    pub(super) fn refuses(&self, run: &RunName) -> bool {
        self.refused_up_to
            .get(&run.task)
            .is_some_and(|highest| run.attempt <= *highest)
    }

    /// Refuses starts of this attempt of the task and of all earlier ones from now on.
    pub(super) fn refuse_up_to(&mut self, run: &RunName) {
        let highest = self.refused_up_to.entry(run.task.clone()).or_default();
        *highest = run.attempt.max(*highest);
    }

    /// Acknowledges the ends up to a number, and returns those after which the run lease has not expired.
    pub(super) fn acknowledge_ends(&mut self, acknowledged_end: u64) -> Vec<(RunName, EndReason)> {
        self.ended_runs
            .acknowledge(acknowledged_end, self.last_expiry)
    }

    /// Starts draining; the instance needs `remaining` until it can end.
    pub(super) fn start_draining(&mut self, remaining: Duration, now: Moment) {
        self.drain.get_or_insert(Drain {
            remaining_until: now + remaining,
            acknowledged: None,
        });
    }

    /// Handles the acknowledgement of a heartbeat; returns true for the first one that reported `draining`.
    pub(super) fn acknowledge_drain(&mut self, sent_as_draining: bool, now: Moment) -> bool {
        let Some(drain) = self.drain.as_mut().filter(|_| sent_as_draining) else {
            return false;
        };
        let first = drain.acknowledged.is_none();
        drain.acknowledged.get_or_insert(now);
        first
    }

    /// Whether the instance is draining.
    pub(super) fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// When the instance ends; `None` unless it is draining and this is acknowledged.
    pub(super) fn ends_at(&self, bounds: &Bounds) -> Option<Moment> {
        let drain = self.drain?;
        let drained = drain.acknowledged? + bounds.drain + DRAIN_MARGIN;
        Some(drain.remaining_until.max(drained))
    }

    /// The instance's id and its next heartbeat.
    pub(super) fn heartbeat(&mut self, now: Moment) -> (String, Heartbeat) {
        self.seq_no += 1;
        let remaining = self
            .drain
            .map(|drain| drain.remaining_until.saturating_sub(now));
        let state = if self.is_draining() {
            "draining"
        } else {
            "ready"
        };
        let heartbeat = Heartbeat {
            backend: self.setup.service.clone(),
            address: self.setup.address.clone(),
            zone: self.setup.zone.clone(),
            version: "v1".to_owned(),
            slots: SLOTS,
            state,
            warm_up_remaining_ms: 0,
            capacity: self.setup.capacity,
            labels: self.setup.labels.clone(),
            remaining_ms: remaining.map(|time| time.as_millis() as u64),
            now_ms: now.as_millis() as u64,
            seq_no: self.seq_no,
            running: self.running_reports(now),
            finished: self.ended_runs.reports(),
        };
        (self.id.clone(), heartbeat)
    }

    fn running_reports(&mut self, now: Moment) -> Vec<RunningReport> {
        let reports = self.runs.values_mut().map(|run| RunningReport {
            task: run.name.task.to_string(),
            attempt: run.name.attempt,
            checkpoint: run.checkpoint(now),
            percent: run.percent(now),
        });
        reports.collect()
    }
}
