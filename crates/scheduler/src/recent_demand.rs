//! Which tasks waited for a service recently: small urgent ones, for which headroom is left, and large ones, for which
//! idle workers are left.

/// Small urgent tasks count as recent for this time after they last waited.
const URGENT_RECENT_MS: u64 = 10_000;
/// Large tasks count as recent for this time after they last waited.
const LARGE_TASK_RECENT_MS: u64 = 30_000;

/// Priority of small tasks, and when they last waited at the head of the queue.
#[derive(Clone, Copy, Debug)]
struct UrgentTasks {
    priority: u32,
    observed_at_ms: u64,
}

/// Recent demand for capacity of one service.
#[derive(Debug, Default)]
pub(crate) struct RecentDemand {
    /// Small tasks of the highest recent priority.
    urgent: Option<UrgentTasks>,
    /// When a large task waited last; `None` if none ever did.
    large_task_at_ms: Option<u64>,
}

impl RecentDemand {
    /// Records that small tasks of this priority wait. It is ignored while small tasks of a higher priority (a lower
    /// number) are recent.
    pub(crate) fn observe_urgent(&mut self, priority: u32, now_ms: u64) {
        if self
            .urgent_priority(now_ms)
            .is_none_or(|recent_priority| priority <= recent_priority)
        {
            self.urgent = Some(UrgentTasks {
                priority,
                observed_at_ms: now_ms,
            });
        }
    }

    /// Highest priority (lowest number) of recent small tasks; `None` if there are none.
    pub(crate) fn urgent_priority(&self, now_ms: u64) -> Option<u32> {
        self.urgent
            .filter(|urgent| now_ms < urgent.observed_at_ms + URGENT_RECENT_MS)
            .map(|urgent| urgent.priority)
    }

    /// Records that a large task waits: one that needs more than half of any worker.
    pub(crate) fn observe_large_task(&mut self, now_ms: u64) {
        self.large_task_at_ms = Some(now_ms);
    }

    /// Whether a large task waited recently.
    pub(crate) fn has_large_tasks(&self, now_ms: u64) -> bool {
        self.large_task_at_ms
            .is_some_and(|observed_at_ms| now_ms < observed_at_ms + LARGE_TASK_RECENT_MS)
    }
}

#[cfg(test)]
mod tests;
