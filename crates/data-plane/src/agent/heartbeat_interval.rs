//! The heartbeat interval that the agent asks the worker for.

/// Heartbeat interval while runs are ordered or running.
pub const BUSY_HEARTBEAT_MS: u64 = 20;
/// Heartbeat interval while no run is ordered or running.
pub const IDLE_HEARTBEAT_MS: u64 = 50;
/// Time after which an instance that sent its first heartbeat is asked for the second one, which registers it.
pub const REGISTRATION_HEARTBEAT_MS: u64 = 1;
/// Time after an order or a registration for which the worker counts as busy.
pub const RECENT_ORDER_MS: u64 = 3_000;

/// Chooses the heartbeat interval that replies ask for.
#[derive(Debug, Default)]
pub(super) struct HeartbeatInterval {
    last_activity_ms: Option<u64>,
}

impl HeartbeatInterval {
    /// Records that the worker registered or that the head sent an order for it.
    pub(super) fn handle_activity(&mut self, now_ms: u64) {
        self.last_activity_ms = Some(now_ms);
    }

    /// Time until the worker is to send its next heartbeat. `is_idle`: no run is ordered or running.
    pub(super) fn next_ms(&self, now_ms: u64, is_idle: bool) -> u64 {
        let is_recent = self
            .last_activity_ms
            .is_some_and(|activity_ms| now_ms < activity_ms + RECENT_ORDER_MS);
        if is_idle && !is_recent {
            IDLE_HEARTBEAT_MS
        } else {
            BUSY_HEARTBEAT_MS
        }
    }
}
