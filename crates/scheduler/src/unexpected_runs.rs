//! Unexpected runs of a worker instance: runs that it has or may have though they are not outstanding there. They have
//! to be stopped before the instance gets new starts, because they take capacity that the scheduler does not count.

use indigofold_protocol::task::RunId;

/// Runs that a worker instance has, or may have, though they are not outstanding there.
#[derive(Debug, Default)]
pub(crate) struct UnexpectedRuns {
    /// Runs that the latest report with a list of running tasks contains.
    running: Vec<RunId>,
    /// Starts that the node agent has sent to the worker and that no heartbeat has listed yet, as of the latest report.
    in_flight: Vec<RunId>,
    /// Runs that were given up as lost when the leases of the instance expired.
    lost: Vec<RunId>,
    /// When the node agent sent the report whose answer ordered the stops of the lost runs, on the agent's clock;
    /// `None` while no such answer was sent.
    lost_stop_sent_ms: Option<u64>,
}

impl UnexpectedRuns {
    /// Whether there are no unexpected runs.
    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty() && self.in_flight.is_empty() && self.lost.is_empty()
    }

    /// Replaces the runs listed by reports. `running` is `None` if the report does not list running tasks: then the
    /// former list stays.
    pub(crate) fn set(&mut self, in_flight: Vec<RunId>, running: Option<Vec<RunId>>) {
        self.in_flight = in_flight;
        if let Some(running) = running {
            self.running = running;
        }
    }

    /// Drops the runs listed by reports, because another connection reports the instance from now on. Lost runs stay.
    pub(crate) fn forget_listed(&mut self) {
        (self.running, self.in_flight) = (Vec::new(), Vec::new());
    }

    /// Adds a run that was given up as lost.
    pub(crate) fn add_lost(&mut self, run: RunId) {
        self.lost.push(run);
    }

    /// Runs to stop with the answer to a report that was sent at `sent_ms` of the agent's clock. Runs listed as running
    /// are included only if the report lists running tasks (`reports_running`). Lost runs are included until a report
    /// that was sent later shows that the answer has arrived; then they are forgotten.
    pub(crate) fn stops(&mut self, sent_ms: u64, reports_running: bool) -> Vec<RunId> {
        let mut stops = self.in_flight.clone();
        if reports_running {
            stops.extend(self.running.iter().copied());
        }
        if self.lost.is_empty() {
            return stops;
        }
        match self.lost_stop_sent_ms {
            Some(stopped_ms) if sent_ms > stopped_ms => {
                self.lost.clear();
                self.lost_stop_sent_ms = None;
            }
            _ => {
                stops.extend(self.lost.iter().copied());
                self.lost_stop_sent_ms = Some(sent_ms);
            }
        }
        stops
    }
}

#[cfg(test)]
mod tests;
