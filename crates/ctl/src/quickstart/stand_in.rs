//! The stand-in worker, a state machine without I/O. It does no work: each run lasts for the number of milliseconds in
//! the task's `spec`. It follows the worker protocol's rules for run leases, fencing tokens and acknowledged ends.

use super::workload::SERVICE;
use indigofold_protocol::job::Resources;
use indigofold_protocol::worker::{
    Finished, Heartbeat, HeartbeatReply, RunEnd, Running, Start, Stop, WorkerState,
};

/// Run time of a task whose `spec` is not a number, in milliseconds.
const DEFAULT_RUN_MS: u64 = 300;
/// Interval of heartbeats unless a reply sets another delay, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Maximum delay between the end of a run and the next heartbeat, which reports it, in milliseconds.
const HEARTBEAT_DELAY_AFTER_END_MS: u64 = 50;
/// Maximum length of a run lease, in milliseconds; longer leases are cut to it.
const MAX_LEASE_MS: u64 = 6_000;
/// Maximum number of ended runs in one heartbeat, as the protocol allows.
const ENDS_REPORTED_MAX: usize = 500;

/// The resources of a stand-in worker.
#[derive(Clone, Debug)]
pub struct WorkerLimits {
    /// Resources that the worker reports as its capacity.
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

/// A run in progress; times are in milliseconds of the worker's clock.
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

/// A stand-in worker. All times are in milliseconds of a monotonic clock that the caller reads.
pub struct StandInWorker {
    limits: WorkerLimits,
    address: String,
    runs: Vec<ActiveRun>,
    /// Ended runs that the head has not acknowledged yet, oldest first.
    finished: Vec<Finished>,
    /// Number that the next ended run gets, from 1.
    next_end_number: u64,
    /// Sequence number of the last heartbeat.
    seq_no: u64,
    /// The highest fencing token received so far.
    fencing_token: u64,
    /// When the run lease expires; all runs end then.
    lease_until_ms: u64,
    next_heartbeat_ms: u64,
}

impl StandInWorker {
    /// Creates an idle worker. Its first heartbeat is due at time 0.
    pub fn new(address: String, limits: WorkerLimits) -> StandInWorker {
        StandInWorker {
            limits,
            address,
            runs: Vec::new(),
            finished: Vec::new(),
            next_end_number: 1,
            seq_no: 0,
            fencing_token: 0,
            lease_until_ms: 0,
            next_heartbeat_ms: 0,
        }
    }

    /// The time at which [`advance`](Self::advance) must be called next.
    pub fn next_due_ms(&self) -> u64 {
        let ends = self.runs.iter().map(ActiveRun::end_ms);
        let lease_end_ms = if self.runs.is_empty() {
            u64::MAX
        } else {
            self.lease_until_ms
        };
        ends.fold(self.next_heartbeat_ms.min(lease_end_ms), u64::min)
    }

    /// Ends the runs whose time is over, and the remaining ones if the lease has expired. Returns a heartbeat if one is
    /// due.
    pub fn advance(&mut self, now_ms: u64) -> Option<Heartbeat> {
        let (done, active): (Vec<ActiveRun>, Vec<ActiveRun>) =
            self.runs.drain(..).partition(|run| run.end_ms() <= now_ms);
        self.runs = active;
        for run in done {
            self.end_run(now_ms, run, RunEnd::Done);
        }
        if now_ms >= self.lease_until_ms {
            for run in std::mem::take(&mut self.runs) {
                self.end_run(now_ms, run, RunEnd::Expired);
            }
        }
        (now_ms >= self.next_heartbeat_ms).then(|| self.next_heartbeat(now_ms))
    }

    /// Handles the reply to the heartbeat that was sent at `sent_ms`. A reply with a fencing token below the highest
    /// one received only sets the time of the next heartbeat; its orders are ignored.
    pub fn handle_reply(&mut self, sent_ms: u64, now_ms: u64, reply: HeartbeatReply) {
        self.next_heartbeat_ms = now_ms + reply.retry_delay_ms.unwrap_or(HEARTBEAT_INTERVAL_MS);
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
            self.stop_run(now_ms, stop);
        }
        if lease_ms.is_some() {
            for start in reply.start {
                self.start_run(now_ms, start);
            }
        }
    }

    fn next_heartbeat(&mut self, now_ms: u64) -> Heartbeat {
        self.seq_no += 1;
        self.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS;
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

    fn start_run(&mut self, now_ms: u64, order: Start) {
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

    fn stop_run(&mut self, now_ms: u64, order: &Stop) {
        let Stop { task, attempt } = order;
        let position = self
            .runs
            .iter()
            .position(|run| run.task == *task && run.attempt == *attempt);
        if let Some(position) = position {
            let run = self.runs.remove(position);
            self.end_run(now_ms, run, RunEnd::Stopped);
        }
    }

    fn end_run(&mut self, now_ms: u64, run: ActiveRun, end: RunEnd) {
        self.finished.push(Finished {
            number: self.next_end_number,
            task: run.task,
            attempt: run.attempt,
            end,
            checkpoint: String::new(),
        });
        self.next_end_number += 1;
        self.next_heartbeat_ms = self
            .next_heartbeat_ms
            .min(now_ms + HEARTBEAT_DELAY_AFTER_END_MS);
    }
}
