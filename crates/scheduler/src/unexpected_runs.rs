//! Runs of a worker instance that must not be there, and are to be stopped before it gets new starts.

use indigofold_protocol::task::RunId;

/// Runs that a worker has, or may have, though they are not outstanding there.
#[derive(Debug, Default)]
pub(crate) struct UnexpectedRuns {
    /// Listed as running.
    running: Vec<RunId>,
    /// Starts in flight between the node agent and the worker.
    in_flight: Vec<RunId>,
    /// Runs that counted as lost when the leases of the instance expired.
    lost: Vec<RunId>,
    /// When the node agent sent the report that was answered with the stops of lost runs, on the agent's clock.
    lost_stopped_ms: Option<u64>,
}

impl UnexpectedRuns {
    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty() && self.in_flight.is_empty() && self.lost.is_empty()
    }

    /// A report lists these.
    pub(crate) fn set(&mut self, in_flight: Vec<RunId>, running: Option<Vec<RunId>>) {
        self.in_flight = in_flight;
        if let Some(running) = running {
            self.running = running;
        }
    }

    /// Another connection reports the instance: what the former one listed is not valid any more.
    pub(crate) fn forget_listed(&mut self) {
        (self.running, self.in_flight) = (Vec::new(), Vec::new());
    }

    /// A run counts as lost.
    pub(crate) fn add_lost(&mut self, run: RunId) {
        self.lost.push(run);
    }

    /// Runs to stop in the answer to a report that was sent at this time. Lost runs are stopped until a later report
    /// shows that the answer has arrived.
    pub(crate) fn stops(&mut self, sent_ms: u64, reports_running: bool) -> Vec<RunId> {
        let mut stops = self.in_flight.clone();
        if reports_running {
            stops.extend(self.running.iter().copied());
        }
        if self.lost.is_empty() {
            return stops;
        }
        match self.lost_stopped_ms {
            Some(stopped_ms) if sent_ms > stopped_ms => {
                self.lost.clear();
                self.lost_stopped_ms = None;
            }
            _ => {
                stops.extend(self.lost.iter().copied());
                self.lost_stopped_ms = Some(sent_ms);
            }
        }
        stops
    }
}

#[cfg(test)]
mod tests;
