//! A stand-in worker as a state machine without I/O: it runs each task for the number of milliseconds in its `spec`, and
//! follows the operators' rules for run leases, fencing tokens and acknowledged ends.

use super::workload::SERVICE;
use indigofold_protocol::job::Resources;
use indigofold_protocol::worker::{
    Finished, Heartbeat, HeartbeatReply, RunEnd, Running, Start, Stop, WorkerState,
};

/// Run time of a task whose `spec` is no number.
const DEFAULT_RUN_MS: u64 = 300;
/// Interval of heartbeats, where no answer sets another.
const HEARTBEAT_MS: u64 = 500;
/// Delay of the next heartbeat after the end of a run.
const HEARTBEAT_AFTER_END_MS: u64 = 50;
/// Bound on a run lease.
const MAX_LEASE_MS: u64 = 6_000;
/// Bound on the ended runs in one heartbeat.
const ENDS_REPORTED_MAX: usize = 500;

/// The resources of a stand-in worker.
#[derive(Clone, Debug)]
pub struct WorkerLimits {
    /// Capacity for tasks.
    pub capacity: Resources,
}

impl Default for WorkerLimits {
    fn default() -> Self {
        WorkerLimits {
            capacity: Resources {
                cpu: 2_000,
                mem_mb: 2_048,
                gpu: 0,
            },
        }
    }
}

/// A run in progress.
struct ActiveRun {
    task: String,
    attempt: u32,
    started_ms: u64,
    duration_ms: u64,
}

impl ActiveRun {
    fn end_ms(&self) -> u64 {
        self.started_ms + self.duration_ms
    }
}

/// A stand-in worker; times are in milliseconds of its own monotonic clock.
pub struct StandInWorker {
    limits: WorkerLimits,
    address: String,
    runs: Vec<ActiveRun>,
    /// Ended runs that have not been acknowledged.
    finished: Vec<Finished>,
    /// Number of the next ended run.
    next_end: u64,
    /// Number of the last heartbeat.
    seq_no: u64,
    /// The highest that has been received.
    fencing_token: u64,
    /// End of the run lease.
    lease_until_ms: u64,
    next_heartbeat_ms: u64,
}

impl StandInWorker {
    /// A worker that has just started.
    pub fn new(address: String, limits: WorkerLimits) -> StandInWorker {
        StandInWorker {
            limits,
            address,
            runs: Vec::new(),
            finished: Vec::new(),
            next_end: 1,
            seq_no: 0,
            fencing_token: 0,
            lease_until_ms: 0,
            next_heartbeat_ms: 0,
        }
    }

    /// When [`advance`](Self::advance) has to be called next.
    pub fn next_due_ms(&self) -> u64 {
        let ends = self.runs.iter().map(ActiveRun::end_ms);
        let lease_end_ms = if self.runs.is_empty() {
            u64::MAX
        } else {
            self.lease_until_ms
        };
        ends.fold(self.next_heartbeat_ms.min(lease_end_ms), u64::min)
    }

    /// Ends the runs that are done, and all of them once the lease has expired; returns the heartbeat if one is due.
    pub fn advance(&mut self, now_ms: u64) -> Option<Heartbeat> {
        let (done, active): (Vec<ActiveRun>, Vec<ActiveRun>) =
            self.runs.drain(..).partition(|run| run.end_ms() <= now_ms);
        self.runs = active;
        for run in done {
            self.end(now_ms, run, RunEnd::Done);
        }
        if now_ms >= self.lease_until_ms {
            for run in std::mem::take(&mut self.runs) {
                self.end(now_ms, run, RunEnd::Expired);
            }
        }
        (now_ms >= self.next_heartbeat_ms).then(|| self.heartbeat(now_ms))
    }

    /// Handles the reply to the heartbeat sent at `sent_ms`; one under an old fencing token sets the next heartbeat only.
    pub fn handle_reply(&mut self, sent_ms: u64, now_ms: u64, reply: HeartbeatReply) {
        self.next_heartbeat_ms = now_ms + reply.retry_delay_ms.unwrap_or(HEARTBEAT_MS);
        let token = reply.fencing_token.unwrap_or(0);
        if token < self.fencing_token {
            return;
        }
        self.fencing_token = token;
        if let Some(acknowledged) = reply.acknowledged_end {
            self.finished.retain(|end| end.number > acknowledged);
        }
        let lease_ms = reply.lease_ms.map(|lease| lease.min(MAX_LEASE_MS));
        self.lease_until_ms = self.lease_until_ms.max(sent_ms + lease_ms.unwrap_or(0));
        for stop in &reply.stop {
            self.stop(now_ms, stop);
        }
        if lease_ms.is_some() {
            for start in reply.start {
                self.start(now_ms, start);
            }
        }
    }

    fn heartbeat(&mut self, now_ms: u64) -> Heartbeat {
        self.seq_no += 1;
        self.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
        let percent = |run: &ActiveRun| {
            ((now_ms - run.started_ms) * 100 / run.duration_ms.max(1)).min(99) as u32
        };
        let running = |run: &ActiveRun| Running {
            task: run.task.clone(),
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: percent(run),
        };
        Heartbeat {
            backend: SERVICE.to_owned(),
            address: self.address.clone(),
            zone: "local".to_owned(),
            version: "stand-in".to_owned(),
            slots: 1,
            state: WorkerState::Ready,
            capacity: self.limits.capacity,
            labels: vec!["stand-in".to_owned(), "r1-1".to_owned()],
            now_ms,
            seq_no: self.seq_no,
            running: self.runs.iter().map(running).collect(),
            finished: self
                .finished
                .iter()
                .take(ENDS_REPORTED_MAX)
                .cloned()
                .collect(),
            ..Heartbeat::default()
        }
    }

    fn start(&mut self, now_ms: u64, order: Start) {
        let Start {
            task,
            attempt,
            spec,
            ..
        } = order;
        let known = self
            .runs
            .iter()
            .any(|run| run.task == task && run.attempt >= attempt)
            || self
                .finished
                .iter()
                .any(|end| end.task == task && end.attempt >= attempt);
        if !known {
            let duration_ms = spec.trim().parse().unwrap_or(DEFAULT_RUN_MS);
            self.runs.push(ActiveRun {
                task,
                attempt,
                started_ms: now_ms,
                duration_ms,
            });
        }
    }

    fn stop(&mut self, now_ms: u64, order: &Stop) {
        let Stop { task, attempt } = order;
        let position = self
            .runs
            .iter()
            .position(|run| run.task == *task && run.attempt == *attempt);
        if let Some(position) = position {
            let run = self.runs.remove(position);
            self.end(now_ms, run, RunEnd::Stopped);
        }
    }

    fn end(&mut self, now_ms: u64, run: ActiveRun, how: RunEnd) {
        self.finished.push(Finished {
            number: self.next_end,
            task: run.task,
            attempt: run.attempt,
            end: how,
            checkpoint: String::new(),
        });
        self.next_end += 1;
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now_ms + HEARTBEAT_AFTER_END_MS);
    }
}
