//! A worker as the pages describe it (PROTOCOL, "Running tasks" and "Service discovery"), with `commands = "heartbeat"`.
//! A task's `spec` is the time in milliseconds that its run takes; `forever` is a task that lasts.

use crate::http::Connection;
use crate::json::Json;
use crate::record::Record;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What a worker says of itself.
#[derive(Clone)]
pub struct Profile {
    pub instance: String,
    pub backend: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

/// A start or an end that a worker has seen.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub attempt: u64,
    /// `start`, or how the run ended.
    pub what: String,
}

/// All starts and ends at all workers, in order.
pub type Events = Arc<Mutex<Vec<Event>>>;

struct Run {
    task: String,
    attempt: u64,
    started: Instant,
    /// `None` for a task that lasts.
    length: Option<Duration>,
    /// When a stop that was ordered takes effect.
    stops: Option<Instant>,
}

struct Finished {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// An end that an acknowledged heartbeat has listed, not for the first time.
#[derive(Clone, Debug)]
pub struct Listed {
    pub at_ms: u64,
    pub task: String,
    pub how: String,
    /// Whether the worker's hold had not lapsed since the end.
    pub is_held: bool,
}

/// A worker on a thread of its own.
pub struct Worker {
    pub profile: Profile,
    crashed: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    listed: Arc<Mutex<Vec<Listed>>>,
    thread: Option<JoinHandle<()>>,
}

/// Time until the next heartbeat if an answer names none.
const HEARTBEAT_MS: u64 = 1_500;
/// A hold is never longer than this (`max_hold_ms`).
const MAX_HOLD_MS: u64 = 6_000;
/// Time that a stop takes; `stop_ms` is the most.
const STOP_MS: u64 = 100;

impl Worker {
    pub fn start(agent: SocketAddr, profile: Profile, record: Record, events: Events) -> Worker {
        let crashed = Arc::new(AtomicBool::new(false));
        let leaving = Arc::new(AtomicBool::new(false));
        let listed = Arc::new(Mutex::new(Vec::new()));
        let (flag, own) = (crashed.clone(), profile.clone());
        let (leaves, lists) = (leaving.clone(), listed.clone());
        let thread = std::thread::spawn(move || {
            let mut state = State {
                agent,
                profile: own,
                record,
                events,
                runs: Vec::new(),
                finished: Vec::new(),
                ended: HashMap::new(),
                last_number: 0,
                seq_no: 0,
                fence: 0,
                hold_until: Instant::now(),
                started: Instant::now(),
                connection: None,
                has_left: false,
                lapsed_at: None,
                listed: lists,
            };
            state.serve(&flag, &leaves);
        });
        Worker {
            profile,
            crashed,
            leaving,
            listed,
            thread: Some(thread),
        }
    }

    /// The worker leaves without ever saying `draining`: it sends `DELETE` first and serves on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// The ends that acknowledged heartbeats have listed, each time anew.
    pub fn listed(&self) -> Vec<Listed> {
        self.listed.lock().map(|l| l.clone()).unwrap_or_default()
    }

    /// The worker crashes: it says nothing more, and all that it runs is gone.
    pub fn crash(&mut self) {
        self.crashed.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.crash();
    }
}

struct State {
    agent: SocketAddr,
    profile: Profile,
    record: Record,
    events: Events,
    runs: Vec<Run>,
    finished: Vec<Finished>,
    /// The highest run of each task that was stopped or has ended here.
    ended: HashMap<String, u64>,
    last_number: u64,
    seq_no: u64,
    fence: u64,
    hold_until: Instant,
    started: Instant,
    connection: Option<Connection>,
    has_left: bool,
    /// When the hold lapsed; `None` while it holds.
    lapsed_at: Option<Instant>,
    listed: Arc<Mutex<Vec<Listed>>>,
}

impl State {
    fn serve(&mut self, crashed: &AtomicBool, leaving: &AtomicBool) {
        let mut next_beat = Instant::now();
        while !crashed.load(Ordering::SeqCst) {
            if leaving.load(Ordering::SeqCst) && !self.has_left {
                self.has_left = true;
                self.send_delete();
            }
            let now = Instant::now();
            if now >= self.hold_until {
                self.lapsed_at.get_or_insert(now);
            }
            if self.end_due(now) {
                next_beat = next_beat.min(now + Duration::from_millis(50));
            }
            if now >= next_beat {
                let delay_ms = self.beat().unwrap_or(200);
                next_beat = Instant::now() + Duration::from_millis(delay_ms);
                continue;
            }
            let wait = (next_beat - now).min(Duration::from_millis(5));
            std::thread::sleep(wait);
        }
    }

    /// Ends the runs whose time is over; returns whether any has ended.
    fn end_due(&mut self, now: Instant) -> bool {
        let lapsed = now >= self.hold_until;
        let mut over = Vec::new();
        self.runs.retain(|run| {
            let how = if run.length.is_some_and(|length| now >= run.started + length) {
                "done"
            } else if run.stops.is_some_and(|at| now >= at) {
                "stopped"
            } else if lapsed {
                "lapsed"
            } else {
                return true;
            };
            over.push((run.task.clone(), run.attempt, how));
            false
        });
        let any = !over.is_empty();
        for (task, attempt, how) in over {
            self.finish(task, attempt, how);
        }
        any
    }

    fn finish(&mut self, task: String, attempt: u64, how: &'static str) {
        self.last_number += 1;
        self.lapsed_at = None;
        let highest = self.ended.entry(task.clone()).or_default();
        *highest = (*highest).max(attempt);
        self.note(&task, attempt, how);
        self.finished.push(Finished {
            number: self.last_number,
            task,
            attempt,
            how,
        });
    }

    fn note(&self, task: &str, attempt: u64, what: &str) {
        let worker = self.profile.instance.clone();
        self.record
            .write(&format!("worker {worker} {what} {task} run {attempt}"));
        if let Ok(mut events) = self.events.lock() {
            events.push(Event {
                at_ms: self.record.now_ms(),
                worker,
                task: task.to_owned(),
                attempt,
                what: what.to_owned(),
            });
        }
    }

    /// Sends `DELETE /instances/ID`, again if no answer comes within a second.
    fn send_delete(&self) {
        let path = format!("/instances/{}", self.profile.instance);
        let headers = format!("Host: {}\r\n", self.agent);
        for _ in 0..3 {
            let limit = Duration::from_secs(1);
            let answer = crate::http::call(self.agent, "DELETE", &path, &headers, "", limit);
            let text = answer
                .as_ref()
                .map_or("no answer".to_owned(), |a| a.status.to_string());
            self.record.write(&format!(
                "worker {} DELETE {path} -> {text}",
                self.profile.instance
            ));
            if answer.is_ok() {
                return;
            }
        }
    }

    /// Keeps which ends `last_seen` has reached, and whether the hold has lapsed since them.
    fn note_seen(&self, last_seen: u64) {
        let is_held = self.lapsed_at.is_none() && Instant::now() < self.hold_until;
        let hold = if is_held { "" } else { ", hold lapsed" };
        for end in self.finished.iter().filter(|end| end.number <= last_seen) {
            self.note(&end.task, end.attempt, &format!("noted {}{hold}", end.how));
        }
    }

    /// Keeps which ends an acknowledged heartbeat has listed.
    fn note_listed(&self, ends: &[(String, &'static str)]) {
        let Ok(mut listed) = self.listed.lock() else {
            return;
        };
        for (task, how) in ends {
            listed.push(Listed {
                at_ms: self.record.now_ms(),
                task: task.clone(),
                how: (*how).to_owned(),
                is_held: self.lapsed_at.is_none() && Instant::now() < self.hold_until,
            });
        }
    }

    /// Sends a heartbeat and carries out the answer. Returns the time until the next one; `None` without an answer in
    /// time.
    fn beat(&mut self) -> Option<u64> {
        self.seq_no += 1;
        let sent = Instant::now();
        let body = self.body();
        let ends: Vec<(String, &'static str)> = self
            .finished
            .iter()
            .map(|end| (end.task.clone(), end.how))
            .collect();
        let path = format!("/instances/{}", self.profile.instance);
        let limit = Duration::from_secs(1);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.agent, limit).ok()?,
        };
        let headers = format!("Host: {}\r\n", self.agent);
        let answer = connection.call("PUT", &path, &headers, &body, limit).ok()?;
        self.connection = Some(connection);
        if !(200..300).contains(&answer.status) {
            return None;
        }
        self.note_listed(&ends);
        let answer = Json::parse(&answer.body)?;
        let number = |name: &str| answer.get(name).and_then(Json::u64);
        let delay_ms = number("retry_delay_ms").unwrap_or(HEARTBEAT_MS);
        let fence = number("fence_token").unwrap_or(0);
        if fence < self.fence {
            return Some(delay_ms);
        }
        self.fence = fence;
        if let Some(last_seen) = number("last_seen") {
            self.note_seen(last_seen);
            self.finished.retain(|end| end.number > last_seen);
        }
        let hold_ms = number("hold_ms");
        if let Some(hold_ms) = hold_ms {
            let until = sent + Duration::from_millis(hold_ms.min(MAX_HOLD_MS));
            self.hold_until = self.hold_until.max(until);
        }
        for stop in answer.get("stop").map(Json::list).unwrap_or_default() {
            if let [task, run] = stop.list() {
                self.stop(task.text()?, run.u64()?);
            }
        }
        if hold_ms.is_some() {
            for start in answer.get("start").map(Json::list).unwrap_or_default() {
                if let [task, run, spec, ..] = start.list() {
                    self.start_run(task.text()?, run.u64()?, spec.text()?);
                }
            }
        }
        Some(delay_ms)
    }

    fn start_run(&mut self, task: &str, attempt: u64, spec: &str) {
        let present = self.runs.iter().any(|run| run.task == task);
        let superseded = self
            .ended
            .get(task)
            .is_some_and(|highest| attempt <= *highest);
        if present || superseded {
            return;
        }
        self.note(task, attempt, "start");
        self.runs.push(Run {
            task: task.to_owned(),
            attempt,
            started: Instant::now(),
            length: spec.parse().ok().map(Duration::from_millis),
            stops: None,
        });
    }

    fn stop(&mut self, task: &str, attempt: u64) {
        let at = Instant::now() + Duration::from_millis(STOP_MS);
        let run = self
            .runs
            .iter_mut()
            .find(|run| run.task == task && run.attempt == attempt);
        match run {
            Some(run) => {
                run.stops.get_or_insert(at);
            }
            None => {
                let highest = self.ended.entry(task.to_owned()).or_default();
                *highest = (*highest).max(attempt);
            }
        }
    }

    fn body(&self) -> String {
        let Profile {
            backend,
            zone,
            labels,
            cpu,
            mem_mb,
            gpu,
            ..
        } = &self.profile;
        let running: Vec<String> = self
            .runs
            .iter()
            .map(|run| {
                let ran = run.started.elapsed().as_millis();
                let percent = run
                    .length
                    .map_or(0, |length| ran * 100 / length.as_millis().max(1));
                format!(
                    "[\"{}\",{},\"\",{}]",
                    run.task,
                    run.attempt,
                    percent.min(99)
                )
            })
            .collect();
        let finished: Vec<String> = self
            .finished
            .iter()
            .take(500)
            .map(|end| {
                format!(
                    "[{},\"{}\",{},\"{}\",\"\"]",
                    end.number, end.task, end.attempt, end.how
                )
            })
            .collect();
        let labels: Vec<String> = labels.iter().map(|label| format!("\"{label}\"")).collect();
        format!(
            "{{\"backend\":\"{backend}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":{gpu}}},\
             \"labels\":[{}],\"now_ms\":{},\"seq_no\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.agent,
            labels.join(","),
            self.started.elapsed().as_millis(),
            self.seq_no,
            running.join(","),
            finished.join(",")
        )
    }
}
