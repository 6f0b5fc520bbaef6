//! Stand-in workers: they run tasks for the number of milliseconds that `spec` holds, and keep the operators' rules for
//! holds, fencing tokens and acknowledgements.

use super::http::{Call, call};
use super::layout::{Class, Layout, SERVICE};
use indigofold_protocol::job::Resources;
use indigofold_protocol::worker::{
    Finished, Heartbeat, HeartbeatReply, RunEnd, Running, Start, Stop, WorkerState,
};
use std::net::SocketAddr;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Run time of a task whose `spec` is no number.
const DEFAULT_RUN_MS: u64 = 300;
/// Interval of heartbeats, where no answer sets another.
const HEARTBEAT_MS: u64 = 500;
/// The next heartbeat after an end.
const HEARTBEAT_AFTER_END_MS: u64 = 50;
/// Longest hold that is granted.
const MAX_LEASE_MS: u64 = 6_000;
/// Ends told in one heartbeat.
const ENDS_REPORTED_MAX: usize = 500;

/// What a stand-in worker has.
#[derive(Clone, Debug)]
pub struct WorkerLimits {
    /// Room for tasks.
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

/// A run at work.
struct Run {
    task: String,
    attempt: u32,
    began_ms: u64,
    takes_ms: u64,
}

/// A stand-in worker as a state machine; times are its own steady clock in milliseconds.
pub struct StandIn {
    limits: WorkerLimits,
    address: String,
    runs: Vec<Run>,
    finished: Vec<Finished>,
    next_number: u64,
    seq_no: u64,
    fencing_token: u64,
    lease_until_ms: u64,
    next_heartbeat_ms: u64,
}

impl StandIn {
    /// A worker that has just started.
    pub fn new(address: String, limits: WorkerLimits) -> StandIn {
        StandIn {
            limits,
            address,
            runs: Vec::new(),
            finished: Vec::new(),
            next_number: 1,
            seq_no: 0,
            fencing_token: 0,
            lease_until_ms: 0,
            next_heartbeat_ms: 0,
        }
    }

    /// When something is due next.
    pub fn next_due_ms(&self) -> u64 {
        let ends = self.runs.iter().map(|run| run.began_ms + run.takes_ms);
        let lapse = if self.runs.is_empty() {
            u64::MAX
        } else {
            self.lease_until_ms
        };
        ends.fold(self.next_heartbeat_ms.min(lapse), u64::min)
    }

    /// Ends what is done, or what is no longer held; gives the heartbeat if one is due.
    pub fn advance(&mut self, now_ms: u64) -> Option<Heartbeat> {
        let (over, left) = self
            .runs
            .drain(..)
            .partition(|run| run.began_ms + run.takes_ms <= now_ms);
        self.runs = left;
        let over: Vec<Run> = over;
        over.into_iter()
            .for_each(|run| self.end(now_ms, run, RunEnd::Done));
        if now_ms >= self.lease_until_ms {
            let lapsed = std::mem::take(&mut self.runs);
            lapsed
                .into_iter()
                .for_each(|run| self.end(now_ms, run, RunEnd::Expired));
        }
        (now_ms >= self.next_heartbeat_ms).then(|| self.beat(now_ms))
    }

    /// The answer to the heartbeat sent at `sent_ms`.
    pub fn answered(&mut self, sent_ms: u64, now_ms: u64, reply: HeartbeatReply) {
        self.next_heartbeat_ms = now_ms + reply.retry_delay_ms.unwrap_or(HEARTBEAT_MS);
        let token = reply.fencing_token.unwrap_or(0);
        if token < self.fencing_token {
            return;
        }
        self.fencing_token = token;
        if let Some(seen) = reply.acknowledged_end {
            self.finished.retain(|end| end.0 > seen);
        }
        let lease_ms = reply.lease_ms.map(|lease| lease.min(MAX_LEASE_MS));
        self.lease_until_ms = self.lease_until_ms.max(sent_ms + lease_ms.unwrap_or(0));
        reply
            .stop
            .into_iter()
            .for_each(|stop| self.stop(now_ms, &stop));
        if lease_ms.is_some() {
            reply
                .start
                .into_iter()
                .for_each(|start| self.start(now_ms, start));
        }
    }

    fn beat(&mut self, now_ms: u64) -> Heartbeat {
        self.seq_no += 1;
        self.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
        let percent =
            |run: &Run| ((now_ms - run.began_ms) * 100 / run.takes_ms.max(1)).min(99) as u32;
        let running =
            |run: &Run| Running(run.task.clone(), run.attempt, String::new(), percent(run));
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

    fn start(&mut self, now_ms: u64, Start(task, attempt, spec, _saved): Start) {
        let known = self
            .runs
            .iter()
            .any(|run| run.task == task && run.attempt >= attempt)
            || self
                .finished
                .iter()
                .any(|end| end.1 == task && end.2 >= attempt);
        if !known {
            let takes_ms = spec.trim().parse().unwrap_or(DEFAULT_RUN_MS);
            self.runs.push(Run {
                task,
                attempt,
                began_ms: now_ms,
                takes_ms,
            });
        }
    }

    fn stop(&mut self, now_ms: u64, Stop(task, attempt): &Stop) {
        let position = self
            .runs
            .iter()
            .position(|run| run.task == *task && run.attempt == *attempt);
        if let Some(position) = position {
            let run = self.runs.remove(position);
            self.end(now_ms, run, RunEnd::Stopped);
        }
    }

    fn end(&mut self, now_ms: u64, run: Run, how: RunEnd) {
        self.finished.push(Finished(
            self.next_number,
            run.task,
            run.attempt,
            how,
            String::new(),
        ));
        self.next_number += 1;
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now_ms + HEARTBEAT_AFTER_END_MS);
    }
}

/// The running stand-in workers; they end with this value.
pub(super) struct Workers {
    threads: Vec<(Sender<()>, JoinHandle<()>)>,
}

impl Workers {
    /// One for each companion.
    pub fn start(layout: &Layout) -> Workers {
        let sides = layout.of(Class::Side);
        let threads = sides.map(|machine| {
            let (stop, stopped) = channel();
            let (agent, id) = (machine.control(), format!("worker-{}", machine.name));
            let wait =
                move |time| !matches!(stopped.recv_timeout(time), Err(RecvTimeoutError::Timeout));
            (stop, thread::spawn(move || work(agent, &id, wait)))
        });
        Workers {
            threads: threads.collect(),
        }
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        for (stop, thread) in self.threads.drain(..) {
            drop(stop);
            // It panics only by a mistake in this program, which has been printed then.
            let _ = thread.join();
        }
    }
}

/// Works until `wait` says that the time is over.
fn work(agent: SocketAddr, id: &str, wait: impl Fn(Duration) -> bool) {
    let clock = Instant::now();
    let now_ms = || clock.elapsed().as_millis() as u64;
    let mut worker = StandIn::new(agent.to_string(), WorkerLimits::default());
    loop {
        let sent_ms = now_ms();
        if let Some(beat) = worker.advance(sent_ms)
            && let Some(reply) = tell(agent, id, &beat)
        {
            worker.answered(sent_ms, now_ms(), reply);
        }
        if wait(Duration::from_millis(
            worker.next_due_ms().saturating_sub(now_ms()).max(1),
        )) {
            return;
        }
    }
}

/// Sends a heartbeat; `None` while the companion does not answer.
fn tell(agent: SocketAddr, id: &str, beat: &Heartbeat) -> Option<HeartbeatReply> {
    let body = serde_json::to_string(beat).ok()?;
    let path = format!("/instances/{id}");
    let put = Call {
        method: "PUT",
        host: "companion",
        path: &path,
        headers: "",
        body: &body,
    };
    let answer = call(agent, &put)
        .ok()
        .filter(|answer| answer.status == 200)?;
    serde_json::from_str(&answer.body).ok()
}
