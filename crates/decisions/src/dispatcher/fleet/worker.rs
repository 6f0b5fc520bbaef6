//! State that a dispatcher keeps for a worker and for a kind of workers.

use crate::api::{Entry, Time};
use crate::dispatcher::state::AttemptId;
use crate::dispatcher::tuning::{FIRST_START_DELAY, REPORT_AGE};
use crate::runs::{Speed, freshness};

/// An own attempt whose start has not been reported, so that it may wait in a worker's queue.
pub(in crate::dispatcher) struct UnstartedAttempt {
    pub sent: Time,
    pub id: AttemptId,
    pub slots: f64,
}

/// Slots that a peer has reported to occupy at a worker.
pub(in crate::dispatcher) struct PeerClaim {
    pub peer: u32,
    pub slots: f64,
    pub at: Time,
}

/// A value and the time when it was valid.
#[derive(Clone, Copy, Default)]
pub(in crate::dispatcher) struct Timed {
    pub value: f64,
    pub at: Time,
}

/// State that this dispatcher keeps for a worker.
#[derive(Default)]
pub(in crate::dispatcher) struct Worker {
    /// The worker's latest entry in the membership list.
    pub listed: Entry,
    /// Whether the worker may get requests: it is listed as neither draining nor removed.
    pub active: bool,
    /// Index of the worker's kind.
    pub kind: usize,
    /// Slots of this dispatcher's attempts in flight.
    pub(super) own_slots: f64,
    /// Own attempts whose start has not been reported, in the order sent.
    pub(super) unstarted: Vec<UnstartedAttempt>,
    /// Started own slots, averaged over about the age of a load report.
    running_slots: Timed,
    /// Shortest recent time from send to start, in microseconds: the delay of a start on a free slot.
    pub start_delay: f64,
    /// Slots that other dispatchers' jobs occupy, according to the last load update.
    pub others_slots: f64,
    /// When `others_slots` was last updated; `None`: never.
    pub load_updated_at: Option<Time>,
    /// Recent fraction of attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// The worker is ejected until this time: it gets no request.
    pub ejected_until: Time,
    /// How often the worker was found unresponsive since it last made progress.
    pub timeouts_in_a_row: u32,
    /// When the worker was last probed; 0: never.
    pub probed_at: Time,
    /// Slots that peers have reported to occupy at the worker.
    pub(super) peer_claims: Vec<PeerClaim>,
    /// Work that may be sent while the worker warms up, accumulated up to the time of the value. A negative
    /// value must be made up by the accumulation since then before anything may be sent.
    pub warm_up_budget: Timed,
    /// Since when each idle connection to the worker has been idle, in ascending order, estimated from the sends and
    /// outcomes there.
    pub idle_since: Vec<Time>,
    /// Whether an attempt or a probe has ended at the worker since its idle connections were last closed, so that there
    /// may be idle connections.
    pub has_connections: bool,
}

impl Worker {
    /// Creates the state of a worker of which only the membership entry is known.
    pub(in crate::dispatcher) fn new(listed: Entry) -> Self {
        Worker {
            listed,
            start_delay: FIRST_START_DELAY,
            ..Worker::default()
        }
    }

    /// Updates and returns the number of started own slots, averaged over the age of a load report. Must be called
    /// before the number of started slots changes.
    pub(in crate::dispatcher) fn update_running_slots(&mut self, now: Time) -> f64 {
        let former_weight =
            (-(now.saturating_sub(self.running_slots.at) as f64) / REPORT_AGE).exp();
        let started_slots = self.started_slots();
        self.running_slots = Timed {
            value: started_slots + former_weight * (self.running_slots.value - started_slots),
            at: now,
        };
        self.running_slots.value
    }

    /// Slots of this dispatcher's attempts in flight.
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

    /// Slots that peers occupy at the worker, weighted by the age of their updates.
    pub(in crate::dispatcher) fn peer_slots(&self, now: Time) -> f64 {
        self.peer_claims
            .iter()
            .map(|claim| claim.slots * freshness(now, claim.at))
            .sum()
    }

    /// Whether a start after this wait, in microseconds, shows that no slot was free at the send.
    pub(in crate::dispatcher) fn is_late_start(&self, wait: f64, granularity: Time) -> bool {
        wait > 2.0 * self.start_delay + 4.0 * granularity as f64
    }
}

/// State that this dispatcher keeps for a kind of workers.
#[derive(Clone, Default)]
pub(in crate::dispatcher) struct Kind {
    /// Slots of one worker: as reported, otherwise the most own slots observed running at once on one worker.
    pub slots: f64,
    /// Whether load reports gave the slots. Reported slots take precedence over observed ones, because a job whose end
    /// is reported late seems to run on.
    pub slots_reported: bool,
    /// Speed of the kind's workers, relative to the mean of all kinds.
    pub speed: Speed,
}
