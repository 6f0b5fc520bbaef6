//! The schedule of the reports to the head.

/// Minimum time between two reports to the head; changes within it are coalesced into one report.
pub const REPORT_SPACING_MS: u64 = 5;
/// Maximum time between two reports to the head.
pub const REPORT_INTERVAL_MS: u64 = 300;

/// Decides when the next report to the head is due.
#[derive(Debug)]
pub(super) struct ReportSchedule {
    started_ms: u64,
    connected: bool,
    /// Whether a change since the last report makes the next one due early.
    urgent: bool,
    last_report_ms: Option<u64>,
}

impl ReportSchedule {
    /// Creates the schedule of an agent that is not connected to a head. `started_ms`: start of the process.
    pub(super) fn new(started_ms: u64) -> Self {
        ReportSchedule {
            started_ms,
            connected: false,
            urgent: false,
            last_report_ms: None,
        }
    }

    /// Handles a new connection to an acting head; a report is due as soon as [`REPORT_SPACING_MS`] permits.
    pub(super) fn handle_connected(&mut self) {
        self.connected = true;
        self.urgent = true;
    }

    /// Handles the loss of the connection to the head; no report is due until the next connection.
    pub(super) fn handle_disconnected(&mut self) {
        self.connected = false;
    }

    /// Whether an acting head is connected.
    pub(super) fn is_connected(&self) -> bool {
        self.connected
    }

    /// Makes the next report due as soon as [`REPORT_SPACING_MS`] permits if `is_report_needed`.
    pub(super) fn expedite_if(&mut self, is_report_needed: bool) {
        self.urgent |= is_report_needed;
    }

    /// Time at which the next report is due; `None` without a connection. `has_pending_updates`: there are updates
    /// that this connection has not carried yet.
    pub(super) fn due_ms(&self, has_pending_updates: bool) -> Option<u64> {
        if !self.connected {
            return None;
        }
        let Some(last_report_ms) = self.last_report_ms else {
            return Some(self.started_ms);
        };
        let interval_ms = if self.urgent || has_pending_updates {
            REPORT_SPACING_MS
        } else {
            REPORT_INTERVAL_MS
        };
        Some(last_report_ms + interval_ms)
    }

    /// Records that a report is being sent.
    pub(super) fn handle_report_sent(&mut self, now_ms: u64) {
        self.urgent = false;
        self.last_report_ms = Some(now_ms);
    }
}
