//! A worker and a kind of workers, as a dispatcher knows them.

use crate::api::{Entry, Time};
use crate::dispatcher::state::AttemptId;
use crate::dispatcher::tuning::{FIRST_START_DELAY, REPORT_AGE};
use crate::runs::{Speed, fresh};

/// An own attempt that waits in a worker's queue, as far as is known.
pub(in crate::dispatcher) struct UnstartedAttempt {
    pub sent: Time,
    pub id: AttemptId,
    pub slots: f64,
}

/// Slots that a peer reported to occupy at a worker.
pub(in crate::dispatcher) struct PeerClaim {
    pub peer: u32,
    pub slots: f64,
    pub at: Time,
}

/// A value at a time.
#[derive(Clone, Copy, Default)]
pub(in crate::dispatcher) struct Timed {
    pub value: f64,
    pub at: Time,
}

/// A worker as this dispatcher knows it.
#[derive(Default)]
pub(in crate::dispatcher) struct Worker {
    /// Its entry in the membership list.
    pub listed: Entry,
    /// It may get requests: listed, and neither draining nor removed.
    pub active: bool,
    /// Index of its kind.
    pub kind: usize,
    /// Own slots in flight.
    pub(super) own_slots: f64,
    /// Own attempts whose start has not been reported, in the order sent.
    pub(super) unstarted: Vec<UnstartedAttempt>,
    /// Own slots running, averaged over about the age of a report.
    running: Timed,
    /// Shortest recent time from send to start: what a free slot takes.
    pub start_delay: f64,
    /// Slots that others occupy, by the last load update.
    pub others_slots: f64,
    /// When that update came.
    pub load_updated_at: Option<Time>,
    /// Recent fraction of failures.
    pub failure_rate: f64,
    /// It gets nothing before this time.
    pub ejected_until: Time,
    /// Times found unresponsive since it was last observed to make progress.
    pub timeouts_in_a_row: u32,
    /// When it was last probed.
    pub probed_at: Time,
    /// Slots that peers occupy here.
    pub(super) peer_claims: Vec<PeerClaim>,
    /// Work that may be sent while it warms up, saved up to this time.
    pub warm_up_budget: Timed,
    /// Since when each idle connection to it is idle, estimated by what ended and was sent there; in order.
    pub idle_since: Vec<Time>,
    /// Something has ended there since its connections were last closed.
    pub has_connections: bool,
}

impl Worker {
    /// A worker of which nothing but its entry is known.
    pub(in crate::dispatcher) fn new(listed: Entry) -> Self {
        Worker {
            listed,
            start_delay: FIRST_START_DELAY,
            ..Worker::default()
        }
    }

    /// Own slots running, averaged over the age of a report. To be called before their number changes.
    pub(in crate::dispatcher) fn running(&mut self, now: Time) -> f64 {
        let fade = (-(now.saturating_sub(self.running.at) as f64) / REPORT_AGE).exp();
        let runs = self.started_slots();
        self.running = Timed {
            value: runs + fade * (self.running.value - runs),
            at: now,
        };
        self.running.value
    }

    /// Own slots in flight.
    pub(in crate::dispatcher) fn own_slots(&self) -> f64 {
        self.own_slots
    }

    /// Own attempts whose start has not been reported, in the order sent.
    pub(in crate::dispatcher) fn unstarted(&self) -> &[UnstartedAttempt] {
        &self.unstarted
    }

    /// Own slots whose start has been reported.
    pub(in crate::dispatcher) fn started_slots(&self) -> f64 {
        self.own_slots
            - self
                .unstarted
                .iter()
                .map(|attempt| attempt.slots)
                .sum::<f64>()
    }

    /// Slots that peers occupy here, weighted by the age of their updates.
    pub(in crate::dispatcher) fn peer_slots(&self, now: Time) -> f64 {
        self.peer_claims
            .iter()
            .map(|claim| claim.slots * fresh(now, claim.at))
            .sum()
    }

    /// Whether a start after this wait shows that no slot was free. Times are microseconds.
    pub(in crate::dispatcher) fn is_late_start(&self, wait: f64, granularity: Time) -> bool {
        wait > 2.0 * self.start_delay + 4.0 * granularity as f64
    }
}

/// A kind of workers.
#[derive(Clone, Default)]
pub(in crate::dispatcher) struct Kind {
    /// Most own slots observed running at once on one worker, or as reported.
    pub slots: f64,
    /// Load reports gave the slots. These count for more: a job whose end is reported late seems to run on.
    pub slots_reported: bool,
    /// How fast its workers are.
    pub speed: Speed,
}
