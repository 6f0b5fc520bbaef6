//! What a dispatcher keeps of classes and open requests.

use crate::api::{AttemptNo, Class, RequestId, Time};
use crate::runs::Work;
use crate::transferred_job::{self, TransferredJob};

/// One attempt of an open request; its worker is an index into the table of workers.
pub(super) type Attempt = transferred_job::Attempt<usize>;

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub request: RequestId,
    pub attempt: AttemptNo,
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
    /// What is known of it: index of its class's rules, its limits, and its attempts with the indices of their workers.
    pub job: TransferredJob<usize>,
    /// It has its final answer.
    pub closed: bool,
    /// The queue that it is in.
    pub queued_in: Option<QueueIndex>,
    /// Workers sampled for it that were probed first.
    pub probed: Vec<usize>,
    /// Until when it waits for the results of the probes.
    pub wait_until: Time,
}
