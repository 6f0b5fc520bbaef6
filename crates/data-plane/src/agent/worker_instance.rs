//! One instance of the worker, from its first heartbeat until it has deregistered and finished or is replaced.

use super::lease_authority::expires_by_ms;
use super::run_table::{OutgoingOrders, ReplyContext, RunTable};
use super::wire_runs::{finished_runs, running_runs};
use indigofold_protocol::internal::{
    FinishedRun, InstanceReport, RUN_LEASE_MS, RunningRun, StartOrder,
};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{Heartbeat, WorkerState};

/// Whether the head knows this instance; without confirmation no leases are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    /// No report has carried the instance.
    Unreported,
    /// Reports sent at `first_sent_ms` or later carry the instance; none of them has been acknowledged.
    Reported { first_sent_ms: u64 },
    /// An acting head has acknowledged a report that carries the instance.
    Confirmed,
}

/// Whether the instance has sent `DELETE`, and what is expected of it afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deregistration {
    /// It has not sent `DELETE`.
    None,
    /// It was not draining: it serves on for a while, and its runs may go on.
    ServesOn,
    /// It was draining: it ends now, and its runs with it.
    Ends,
}

/// The changes that a heartbeat brought.
#[derive(Debug, Default)]
pub(super) struct HeartbeatChanges {
    /// State, lists of runs, capacity, labels or runs in flight differ; the head has to be informed at once.
    pub urgent: bool,
    /// The heartbeat lists ends that the previous one did not.
    pub ended: bool,
    /// Starts now known never to have been carried out.
    pub not_started: Vec<RunId>,
}

/// One instance of the worker.
#[derive(Debug)]
pub(super) struct WorkerInstance {
    id: String,
    confirmation: Confirmation,
    /// The instance was reported as ended and has sent heartbeats again since.
    returned: bool,
    /// All leases have expired without a heartbeat; cleared when the instance returns.
    expired: bool,
    /// Changes once, when the instance sends `DELETE`.
    deregistration: Deregistration,
    runs: RunTable,
    /// The head has ends up to this number on disk; `None` before its first acknowledgement.
    acknowledged_end: Option<u64>,
    /// Incremented when the list of running runs or one of their checkpoints changes.
    runs_revision: u64,
    /// The newest heartbeat, without its lists of runs.
    newest: Heartbeat,
    newest_seq_no: Option<u64>,
    last_heartbeat_ms: u64,
    /// Time at which all leases granted so far have expired.
    leased_until_ms: u64,
    running: Vec<RunningRun>,
    finished: Vec<FinishedRun>,
}

impl WorkerInstance {
    /// Creates an instance whose first heartbeat is about to be read. A previous agent process may have granted it a
    /// lease until `started_ms`. `returned`: the instance was reported as ended before.
    pub(super) fn new(id: String, started_ms: u64, returned: bool) -> Self {
        WorkerInstance {
            id,
            confirmation: Confirmation::Unreported,
            returned,
            expired: false,
            deregistration: Deregistration::None,
            runs: RunTable::default(),
            acknowledged_end: None,
            runs_revision: 0,
            newest: Heartbeat::default(),
            newest_seq_no: None,
            last_heartbeat_ms: started_ms,
            leased_until_ms: expires_by_ms(started_ms, RUN_LEASE_MS),
            running: Vec::new(),
            finished: Vec::new(),
        }
    }

    /// The id in `PUT /instances/ID`.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// Whether an acting head has acknowledged a report that carries the instance.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmation == Confirmation::Confirmed
    }

    /// Whether all leases have expired without a heartbeat.
    pub(super) fn is_expired(&self) -> bool {
        self.expired
    }

    /// Whether the instance has deregistered.
    pub(super) fn is_deregistered(&self) -> bool {
        self.deregistration != Deregistration::None
    }

    /// Whether the instance was draining when it deregistered: no heartbeat is expected any more.
    pub(super) fn ends_now(&self) -> bool {
        self.deregistration == Deregistration::Ends
    }

    /// Whether no run is ordered, sent or running.
    pub(super) fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether the instance has deregistered, none of its runs can go on, and the head has acknowledged all ends. As long as
    /// it has not, a report of the instance's end would make the head count ended runs as lost.
    pub(super) fn is_finished(&self) -> bool {
        let no_run_goes_on = match self.deregistration {
            Deregistration::None => false,
            Deregistration::ServesOn => self.runs.is_empty(),
            Deregistration::Ends => true,
        };
        no_run_goes_on && self.finished.is_empty()
    }

    /// Whether a heartbeat with this number or a higher one has been read.
    pub(super) fn is_superseded(&self, seq_no: u64) -> bool {
        self.newest_seq_no.is_some_and(|newest| seq_no <= newest)
    }

    /// Whether the newest heartbeat read has this number.
    pub(super) fn is_newest(&self, seq_no: u64) -> bool {
        self.newest_seq_no == Some(seq_no)
    }

    /// The number up to which the head has acknowledged ends; `None` before its first acknowledgement.
    pub(super) fn acknowledged_end(&self) -> Option<u64> {
        self.acknowledged_end
    }

    /// Revision of the list of running runs; incremented when the list or one of the checkpoints in it changes.
    pub(super) fn runs_revision(&self) -> u64 {
        self.runs_revision
    }

    /// The runs that were sent to the worker and that no heartbeat has listed yet.
    pub(super) fn in_flight(&self) -> Vec<RunId> {
        self.runs.in_flight()
    }

    /// Handles a heartbeat that is newer than those before, and returns its changes.
    pub(super) fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        mut heartbeat: Heartbeat,
    ) -> HeartbeatChanges {
        if self.is_deregistered() {
            drain_at_once(&mut heartbeat);
        }
        let in_flight = self.runs.in_flight();
        let running = running_runs(std::mem::take(&mut heartbeat.running));
        let finished = finished_runs(
            std::mem::take(&mut heartbeat.finished),
            self.acknowledged_end.unwrap_or(0),
        );
        let not_started = self
            .runs
            .handle_heartbeat(heartbeat.seq_no, &running, &finished);
        let runs_changed = !same_runs(&self.running, &running);
        let newest_end = |ends: &[FinishedRun]| ends.last().map(|end| end.number);
        let ended = newest_end(&finished) > newest_end(&self.finished);
        let urgent = runs_changed
            || ended
            || heartbeat.state != self.newest.state
            || heartbeat.capacity != self.newest.capacity
            || heartbeat.labels != self.newest.labels
            || self.runs.in_flight() != in_flight;
        self.runs_revision += u64::from(runs_changed);
        self.newest_seq_no = Some(heartbeat.seq_no);
        self.running = running;
        self.finished = finished;
        self.newest = heartbeat;
        self.last_heartbeat_ms = now_ms;
        HeartbeatChanges {
            urgent,
            ended,
            not_started,
        }
    }

    /// Returns the orders for the reply to the newest heartbeat. `lease_ms`: the lease that the reply grants, if any.
    pub(super) fn poll_orders(&mut self, now_ms: u64, lease_ms: Option<u64>) -> OutgoingOrders {
        if let Some(lease_ms) = lease_ms {
            self.leased_until_ms = self.leased_until_ms.max(expires_by_ms(now_ms, lease_ms));
        }
        self.runs.poll_orders(ReplyContext {
            now_ms,
            seq_no: self.newest.seq_no,
            capacity: self.newest.capacity,
            ready: self.newest.state == WorkerState::Ready,
            leased: lease_ms.is_some(),
        })
    }

    /// Handles a start order. Returns the run if it will never be sent to the worker. After a return nothing is started
    /// before the head has confirmed the instance, since the head may have ordered the start before it learned of the
    /// return.
    pub(super) fn handle_start(&mut self, order: StartOrder) -> Option<RunId> {
        if self.expired || (self.returned && !self.is_confirmed()) {
            self.runs.refuse_start(order.run)
        } else {
            self.runs.handle_start(order)
        }
    }

    /// Handles a stop order. Returns the run if it was never started.
    pub(super) fn handle_stop(&mut self, run: RunId) -> Option<RunId> {
        self.runs.handle_stop(run)
    }

    /// Withdraws all starts that the worker has not listed, and returns those that were never sent to it.
    pub(super) fn withdraw_unlisted(&mut self) -> Vec<RunId> {
        self.runs.withdraw_unlisted()
    }

    /// Records that the head has the ends up to this number on disk.
    pub(super) fn handle_acknowledged_end(&mut self, number: u64) {
        self.acknowledged_end = self.acknowledged_end.max(Some(number));
        self.finished.retain(|end| end.number > number);
    }

    /// Marks the instance as deregistered; from now on it is reported as draining with no time left.
    pub(super) fn deregister(&mut self) {
        self.deregistration = match self.newest.state {
            WorkerState::Ready => Deregistration::ServesOn,
            WorkerState::Draining => Deregistration::Ends,
        };
        drain_at_once(&mut self.newest);
    }

    /// Whether all leases have expired and [`WorkerInstance::expire`] has not been called yet.
    pub(super) fn is_expiry_due(&self, now_ms: u64) -> bool {
        self.next_timeout_ms()
            .is_some_and(|expiry_ms| expiry_ms <= now_ms)
    }

    /// Time at which all leases expire unless a heartbeat arrives; `None` after [`WorkerInstance::expire`].
    pub(super) fn next_timeout_ms(&self) -> Option<u64> {
        let expiry_ms = expires_by_ms(self.last_heartbeat_ms, RUN_LEASE_MS);
        (!self.expired).then(|| self.leased_until_ms.max(expiry_ms))
    }

    /// Marks all leases as expired and withdraws unlisted starts. Returns the starts that were never sent to the
    /// worker.
    pub(super) fn expire(&mut self) -> Vec<RunId> {
        self.expired = true;
        self.runs.withdraw_unlisted()
    }

    /// Handles the first heartbeat after all leases expired; the head has to confirm the instance again.
    pub(super) fn handle_return(&mut self) {
        self.expired = false;
        self.returned = true;
        self.confirmation = Confirmation::Unreported;
    }

    /// Records that a report with this instance is being sent.
    pub(super) fn handle_report_sent(&mut self, now_ms: u64) {
        if self.confirmation == Confirmation::Unreported {
            self.confirmation = Confirmation::Reported {
                first_sent_ms: now_ms,
            };
        }
    }

    /// Records that an acting head acknowledged the report sent at `echo_ms`.
    pub(super) fn handle_echo(&mut self, echo_ms: u64) {
        if matches!(self.confirmation, Confirmation::Reported { first_sent_ms } if first_sent_ms <= echo_ms)
        {
            self.confirmation = Confirmation::Confirmed;
        }
    }

    /// Returns the part about this instance in a report to the head. `include_runs`: with the list of running runs.
    pub(super) fn report(&self, now_ms: u64, include_runs: bool) -> InstanceReport {
        let since_heartbeat_ms = now_ms.saturating_sub(self.last_heartbeat_ms);
        InstanceReport {
            id: self.id.clone(),
            backend: self.newest.backend.clone(),
            zone: self.newest.zone.clone(),
            state: self.newest.state,
            remaining_ms: self
                .newest
                .remaining_ms
                .map(|remaining_ms| remaining_ms.saturating_sub(since_heartbeat_ms)),
            warmup_remaining_ms: self
                .newest
                .warmup_remaining_ms
                .saturating_sub(since_heartbeat_ms),
            capacity: self.newest.capacity,
            labels: self.newest.labels.clone(),
            since_heartbeat_ms,
            running: include_runs.then(|| self.running.clone()),
            finished: self.finished.clone(),
            in_flight: self.runs.in_flight(),
        }
    }
}

fn drain_at_once(heartbeat: &mut Heartbeat) {
    heartbeat.state = WorkerState::Draining;
    heartbeat.remaining_ms = Some(0);
}

/// Whether both lists contain the same runs with the same checkpoints in the same order.
fn same_runs(previous_runs: &[RunningRun], current_runs: &[RunningRun]) -> bool {
    previous_runs.len() == current_runs.len()
        && previous_runs
            .iter()
            .zip(current_runs)
            .all(|(a, b)| a.run == b.run && a.checkpoint == b.checkpoint)
}
