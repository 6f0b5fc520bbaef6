//! What a dispatcher keeps of workers, kinds, classes and open requests.

use super::tuning::{FIRST_START_DELAY, REPORT_AGE};
use crate::api::{AttemptNo, Class, Entry, RequestId, Time};
use crate::runs::{Speed, Work, fresh};
use crate::transferred_job;

/// One attempt of an open request; its worker is an index into the table of workers.
pub(super) type Attempt = transferred_job::Attempt<usize>;

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub request: RequestId,
    pub attempt: AttemptNo,
}

/// An own attempt that waits in a worker's queue, as far as is known.
pub(super) struct UnstartedAttempt {
    pub sent: Time,
    pub id: AttemptId,
    pub slots: f64,
}

/// Slots that a peer reported to occupy at a worker.
pub(super) struct PeerClaim {
    pub peer: u32,
    pub slots: f64,
    pub at: Time,
}

/// A value at a time.
#[derive(Clone, Copy, Default)]
pub(super) struct Timed {
    pub value: f64,
    pub at: Time,
}

/// A worker as this dispatcher knows it.
#[derive(Default)]
pub(super) struct Worker {
    /// Its entry in the membership list.
    pub listed: Entry,
    /// It may get requests: listed, and neither draining nor removed.
    pub active: bool,
    /// Index of its kind.
    pub kind: usize,
    /// Own slots in flight.
    pub own_slots: f64,
    /// Own attempts whose start has not been reported, in the order sent.
    pub unstarted: Vec<UnstartedAttempt>,
    /// Own slots running, averaged over about the age of a report.
    pub running: Timed,
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
    pub peer_claims: Vec<PeerClaim>,
    /// Work that may be sent while it warms up, saved up to this time.
    pub warm_up_budget: Timed,
    /// Since when each idle connection to it is idle, estimated by what ended and was sent there; in order.
    pub idle_since: Vec<Time>,
    /// Something has ended there since its connections were last closed.
    pub has_connections: bool,
}

impl Worker {
    /// A worker of which nothing but its entry is known.
    pub(super) fn new(listed: Entry) -> Self {
        Worker {
            listed,
            start_delay: FIRST_START_DELAY,
            ..Worker::default()
        }
    }

    /// Own slots running, averaged over the age of a report. To be called before their number changes.
    pub(super) fn running(&mut self, now: Time) -> f64 {
        let fade = (-(now.saturating_sub(self.running.at) as f64) / REPORT_AGE).exp();
        let runs = self.started_slots();
        self.running = Timed {
            value: runs + fade * (self.running.value - runs),
            at: now,
        };
        self.running.value
    }

    /// Own slots whose start has been reported.
    pub(super) fn started_slots(&self) -> f64 {
        self.own_slots
            - self
                .unstarted
                .iter()
                .map(|attempt| attempt.slots)
                .sum::<f64>()
    }

    /// Slots that peers occupy here, weighted by the age of their updates.
    pub(super) fn peer_slots(&self, now: Time) -> f64 {
        self.peer_claims
            .iter()
            .map(|claim| claim.slots * fresh(now, claim.at))
            .sum()
    }

    /// Whether a start after this wait shows that no slot was free. Times are microseconds.
    pub(super) fn is_late_start(&self, wait: f64, granularity: Time) -> bool {
        wait > 2.0 * self.start_delay + 4.0 * granularity as f64
    }
}

/// A kind of workers.
#[derive(Clone, Default)]
pub(super) struct Kind {
    /// Most own slots observed running at once on one worker, or as reported.
    pub slots: f64,
    /// Load reports gave the slots. These count for more: a job whose end is reported late seems to run on.
    pub slots_reported: bool,
    /// How fast its workers are.
    pub speed: Speed,
}

/// A class of requests.
#[derive(Clone, Default)]
pub(super) struct ClassStats {
    /// How long its jobs run.
    pub run_time: Work,
    /// The longest time that a client gave a request.
    pub longest_patience: Time,
}

impl ClassStats {
    /// Until a run time is known, a job is assumed to be as long as its class's latency target.
    pub(super) fn of(class: &Class) -> Self {
        ClassStats {
            run_time: Work::of(class.latency_target),
            longest_patience: 0,
        }
    }
}

/// A queue of requests: index of the class times four, plus two beyond the tenant's quota, plus one when late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueIndex(pub usize);

impl QueueIndex {
    /// Queues of each class.
    pub(super) const PER_CLASS: usize = 4;
    const OVER_QUOTA: usize = 2;
    const LATE: usize = 1;

    pub(super) fn new(class: usize, over_quota: bool, is_late: bool) -> Self {
        let of_class =
            usize::from(over_quota) * Self::OVER_QUOTA + usize::from(is_late) * Self::LATE;
        QueueIndex(class * Self::PER_CLASS + of_class)
    }

    pub(super) fn class(self) -> usize {
        self.0 / Self::PER_CLASS
    }

    pub(super) fn is_over_quota(self) -> bool {
        self.0 & Self::OVER_QUOTA != 0
    }

    pub(super) fn is_late(self) -> bool {
        self.0 & Self::LATE != 0
    }
}

/// A request that has no final answer, or whose attempts have not all ended.
#[derive(Default)]
pub(super) struct OpenRequest {
    /// Index of its class's rules.
    pub class: usize,
    /// Started after this, it would likely end after its latency target.
    pub late_from: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// Its expected work, where the client gave one.
    pub estimate: Option<Time>,
    /// What it is about: requests with the same affinity go to the same worker first.
    pub affinity: Option<u64>,
    /// Slots, or memory where that is more: a worker has about one unit for each slot.
    pub slots: f64,
    /// Attempts that it may have at most.
    pub attempt_limit: usize,
    /// It is beyond its tenant's quota.
    pub over_quota: bool,
    /// It has its final answer.
    pub closed: bool,
    /// The queue that it is in.
    pub queued_in: Option<QueueIndex>,
    /// Workers sampled for it that were probed first.
    pub probed: Vec<usize>,
    /// Until when it waits for the results of the probes.
    pub wait_until: Time,
    /// Its attempts so far, in order.
    pub attempts: Vec<Attempt>,
}
