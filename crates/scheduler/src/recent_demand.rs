//! What kinds of tasks a service has been asked to run within a recent time.

/// Urgent tasks count as recent for this time.
const URGENT_RECENT_MS: u64 = 10_000;
/// Tasks that need most of a worker count as recent for this time.
const LARGE_TASK_RECENT_MS: u64 = 30_000;

/// Small tasks of a high priority.
#[derive(Clone, Copy, Debug)]
struct UrgentTasks {
    priority: u32,
    observed_ms: u64,
}

/// Recent demand on one service.
#[derive(Debug, Default)]
pub(crate) struct RecentDemand {
    /// Highest priority of which small tasks came recently.
    urgent: Option<UrgentTasks>,
    /// When a step came last whose tasks need most of a worker each.
    large_task_ms: Option<u64>,
}

impl RecentDemand {
    /// Small tasks of this priority wait.
    pub(crate) fn observe_urgent(&mut self, priority: u32, now_ms: u64) {
        if self
            .urgent_priority(now_ms)
            .is_none_or(|known| priority <= known)
        {
            self.urgent = Some(UrgentTasks {
                priority,
                observed_ms: now_ms,
            });
        }
    }

    /// Highest priority of which small tasks came recently.
    pub(crate) fn urgent_priority(&self, now_ms: u64) -> Option<u32> {
        self.urgent
            .filter(|urgent| now_ms < urgent.observed_ms + URGENT_RECENT_MS)
            .map(|urgent| urgent.priority)
    }

    /// A task that needs most of a worker waits.
    pub(crate) fn observe_large_task(&mut self, now_ms: u64) {
        self.large_task_ms = Some(now_ms);
    }

    /// Whether a task that needs most of a worker came recently.
    pub(crate) fn has_large_tasks(&self, now_ms: u64) -> bool {
        self.large_task_ms
            .is_some_and(|observed_ms| now_ms < observed_ms + LARGE_TASK_RECENT_MS)
    }
}

#[cfg(test)]
mod tests;
