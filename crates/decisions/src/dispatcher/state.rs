//! State that a dispatcher keeps for classes and open requests.

use crate::api::{AttemptNo, Class, RequestId, Time};
use crate::runs::Work;
use crate::transferred_job::{self, TransferredJob};

/// One attempt of an open request; its worker is an index into the table of workers.
pub(super) type Attempt = transferred_job::Attempt<usize>;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub request: RequestId,
    pub attempt: AttemptNo,
}

/// Learned statistics of a class of requests.
#[derive(Clone, Default)]
pub(super) struct ClassStats {
    /// Estimator of the run time of the class's jobs.
    pub run_time: Work,
    /// The longest time that a client has allowed for a request of the class.
    pub longest_client_wait: Time,
}

impl ClassStats {
    /// Creates the initial statistics of a class: until a run time is known, a job is assumed to run for its class's latency target.
    pub(super) fn initial(class: &Class) -> Self {
        ClassStats {
            run_time: Work::of(class.latency_target),
            longest_client_wait: 0,
        }
    }
}

/// Index of a queue of requests: four times the index of the class, plus two if beyond the tenant's quota, plus one if
/// late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueIndex(pub usize);

impl QueueIndex {
    /// Number of queues per class.
    pub(super) const PER_CLASS: usize = 4;
    const OVER_QUOTA: usize = 2;
    const LATE: usize = 1;

    pub(super) fn new(class: usize, over_quota: bool, is_late: bool) -> Self {
        let index_in_class =
            usize::from(over_quota) * Self::OVER_QUOTA + usize::from(is_late) * Self::LATE;
        QueueIndex(class * Self::PER_CLASS + index_in_class)
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

/// A request that has no final answer yet, or whose attempts have not all ended.
#[derive(Default)]
pub(super) struct OpenRequest {
    /// State of the request. Its class is the index of its rules in `settings.classes`; the workers of its attempts are
    /// indices into the table of workers.
    pub job: TransferredJob<usize>,
    /// Whether the request has its final answer.
    pub closed: bool,
    /// The queue that contains the request; `None`: not queued.
    pub queued_in: Option<QueueIndex>,
    /// Workers sampled for the request when it was accepted, some of which were probed.
    pub probed: Vec<usize>,
    /// Time until which the request waits for the results of the probes.
    pub wait_until: Time,
}
