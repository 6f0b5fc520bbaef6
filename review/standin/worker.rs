//! A stand-in worker, one life of it: it sends heartbeats to the node agent on its machine, follows the answers as
//! PROTOCOL.md says, and notes all runs.

use crate::http::{Connection, request_text};
use crate::json::{self, Json, quoted};
use crate::record;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const ANSWER_WITHIN: Duration = Duration::from_secs(1);
const AFTER_END: Duration = Duration::from_millis(50);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const AFTER_FAILURE: Duration = Duration::from_millis(200);
const MAX_HOLD_MS: u64 = 6_000;

/// A run, as the whole environment has seen it.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub task: String,
    pub attempt: u32,
    pub life: String,
    pub began_ms: f64,
    /// When and how it ended; `lost` with its worker.
    pub ended: Option<(f64, String)>,
}

/// All runs on all workers.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<SeenRun>>>);

impl Runs {
    pub fn all(&self) -> Vec<SeenRun> {
        lock(&self.0).clone()
    }

    /// Whether a task runs now on this life.
    pub fn runs_on(&self, task: &str, life: &str) -> bool {
        self.all()
            .iter()
            .any(|run| run.task == task && run.life == life && run.ended.is_none())
    }

    fn began(&self, task: &str, attempt: u32, life: &str) {
        record::line(&format!(
            "worker {life}: run {task} attempt {attempt} begins"
        ));
        lock(&self.0).push(SeenRun {
            task: task.to_owned(),
            attempt,
            life: life.to_owned(),
            began_ms: record::now_ms(),
            ended: None,
        });
    }

    fn ended(&self, task: &str, attempt: u32, life: &str, how: &str) {
        record::line(&format!(
            "worker {life}: run {task} attempt {attempt} ends {how}"
        ));
        let mut runs = lock(&self.0);
        let run = runs.iter_mut().find(|run| {
            run.task == task && run.attempt == attempt && run.life == life && run.ended.is_none()
        });
        if let Some(run) = run {
            run.ended = Some((record::now_ms(), how.to_owned()));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

struct Present {
    attempt: u32,
    until: Instant,
    began: Instant,
}

struct Finished {
    number: u64,
    task: String,
    attempt: u32,
    how: &'static str,
}

struct State {
    up: bool,
    seq_no: u64,
    fence: u64,
    hold_until: Option<Instant>,
    runs: BTreeMap<String, Present>,
    /// By task, the highest run that was stopped or has ended here.
    barred: HashMap<String, u32>,
    finished: Vec<Finished>,
    last_number: u64,
    unsent_end: Option<Instant>,
    /// Heartbeats answered with a hold.
    holds: u64,
    /// Heartbeats answered without a hold since the last one with it.
    answers_without_hold: u64,
    /// The life ends after the next answered heartbeat.
    ends_after_answer: bool,
    ended_at: Option<Instant>,
}

/// One life of a worker.
#[derive(Clone)]
pub struct Life {
    pub id: String,
    service: String,
    agent: SocketAddr,
    labels: Vec<String>,
    cpu: u64,
    runs: Runs,
    state: Arc<Mutex<State>>,
    born: Instant,
}

impl Life {
    /// A life whose first heartbeat goes to `first_call`, and all others to `agent`.
    pub fn start(
        id: &str,
        service: &str,
        labels: &[&str],
        agent: SocketAddr,
        first_call: SocketAddr,
        runs: &Runs,
    ) -> Life {
        let life = Life {
            id: id.to_owned(),
            service: service.to_owned(),
            agent,
            labels: labels.iter().map(|&label| label.to_owned()).collect(),
            cpu: 4_000,
            runs: runs.clone(),
            state: Arc::new(Mutex::new(State {
                up: true,
                seq_no: 0,
                fence: 0,
                hold_until: None,
                runs: BTreeMap::new(),
                barred: HashMap::new(),
                finished: Vec::new(),
                last_number: 0,
                unsent_end: None,
                holds: 0,
                answers_without_hold: 0,
                ends_after_answer: false,
                ended_at: None,
            })),
            born: Instant::now(),
        };
        record::line(&format!("worker {id}: starts"));
        let ticking = life.clone();
        std::thread::spawn(move || {
            while ticking.is_up() {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        let beating = life.clone();
        std::thread::spawn(move || beating.beat(first_call));
        life
    }

    pub fn is_up(&self) -> bool {
        lock(&self.state).up
    }

    /// Heartbeats that were answered with a hold.
    pub fn holds(&self) -> u64 {
        lock(&self.state).holds
    }

    /// Heartbeats answered without a hold since the last one with it.
    pub fn answers_without_hold(&self) -> u64 {
        lock(&self.state).answers_without_hold
    }

    /// The worker crashes: all that runs on it dies, and it says nothing more.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        self.end(&mut state, "crashes");
    }

    /// The worker is lost right after its next heartbeat was answered; returns when that was.
    pub fn lose_after_answer(&self) -> Instant {
        lock(&self.state).ends_after_answer = true;
        loop {
            if let Some(at) = lock(&self.state).ended_at {
                return at;
            }
            std::thread::sleep(Duration::from_micros(200));
        }
    }

    fn end(&self, state: &mut State, how: &str) {
        if !state.up {
            return;
        }
        state.up = false;
        state.ended_at = Some(Instant::now());
        record::line(&format!("worker {}: {how}", self.id));
        for (task, run) in std::mem::take(&mut state.runs) {
            self.runs.ended(&task, run.attempt, &self.id, "lost");
        }
    }

    /// Ends runs that are done, and all when the hold has lapsed.
    fn tick(&self) {
        let mut state = lock(&self.state);
        if !state.up {
            return;
        }
        let now = Instant::now();
        let lapsed = state.hold_until.is_some_and(|until| until <= now);
        if lapsed {
            state.hold_until = None;
        }
        let over = |run: &Present| run.until <= now || lapsed;
        let ended: Vec<String> = state
            .runs
            .iter()
            .filter(|(_, run)| over(run))
            .map(|(task, _)| task.clone())
            .collect();
        for task in ended {
            let how = if state.runs.get(&task).is_some_and(|run| run.until <= now) {
                "done"
            } else {
                "lapsed"
            };
            self.finish(&mut state, &task, how);
        }
    }

    fn finish(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.barred.insert(task.to_owned(), run.attempt);
        self.runs.ended(task, run.attempt, &self.id, how);
        self.list_end(state, task, run.attempt, how);
    }

    fn list_end(&self, state: &mut State, task: &str, attempt: u32, how: &'static str) {
        state.last_number += 1;
        state.finished.push(Finished {
            number: state.last_number,
            task: task.to_owned(),
            attempt,
            how,
        });
        state.unsent_end.get_or_insert(Instant::now());
    }

    fn beat(&self, first_call: SocketAddr) {
        let mut connection: Option<(SocketAddr, Connection)> = None;
        let mut due = Instant::now();
        let mut first = true;
        while self.is_up() {
            let now = Instant::now();
            let after_end = lock(&self.state).unsent_end.map(|end| end + AFTER_END);
            let next = after_end.map_or(due, |after| due.min(after));
            if next > now {
                std::thread::sleep((next - now).min(Duration::from_millis(5)));
                continue;
            }
            let to = if first { first_call } else { self.agent };
            first = false;
            let request = self.heartbeat();
            let sent = Instant::now();
            let open = match connection.take().filter(|(address, _)| *address == to) {
                Some((_, open)) => Ok(open),
                None => Connection::open(to, ANSWER_WITHIN),
            };
            let answer = open.and_then(|mut open| {
                let response = open.send(&request, ANSWER_WITHIN)?;
                connection = Some((to, open));
                Ok(response)
            });
            let in_time = sent.elapsed() <= ANSWER_WITHIN;
            let delay = match answer {
                Ok(response) if in_time && (200..300).contains(&response.status) => {
                    self.follow(sent, &response.body)
                }
                _ if !self.is_up() => return,
                _ => {
                    connection = None;
                    record::line(&format!(
                        "worker {}: a heartbeat was not acknowledged",
                        self.id
                    ));
                    AFTER_FAILURE
                }
            };
            due = Instant::now() + delay;
        }
    }

    /// The next heartbeat as a request.
    pub fn heartbeat(&self) -> String {
        let mut state = lock(&self.state);
        state.seq_no += 1;
        state.unsent_end = None;
        let now = Instant::now();
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let whole = (run.until - run.began).as_secs_f64().max(0.001);
                let percent = (now - run.began).as_secs_f64() / whole * 100.0;
                format!(
                    "[{},{},\"\",{}]",
                    quoted(task),
                    run.attempt,
                    percent.min(99.0) as u32
                )
            })
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(500)
            .map(|end| {
                format!(
                    "[{},{},{},{},\"\"]",
                    end.number,
                    quoted(&end.task),
                    end.attempt,
                    quoted(end.how)
                )
            })
            .collect();
        let labels: Vec<String> = self.labels.iter().map(|label| quoted(label)).collect();
        let body = format!(
            "{{\"backend\":{},\"address\":\"{}\",\"zone\":\"z-1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":32768,\"gpu\":0}},\"labels\":[{}],\
             \"now_ms\":{},\"seq_no\":{},\"running\":[{}],\"finished\":[{}]}}",
            quoted(&self.service),
            SocketAddr::new(self.agent.ip(), 9),
            self.cpu,
            labels.join(","),
            self.born.elapsed().as_millis(),
            state.seq_no,
            running.join(","),
            finished.join(","),
        );
        request_text(
            "PUT",
            &format!("/instances/{}", self.id),
            "worker",
            &[],
            &body,
        )
    }

    /// Follows an answer; returns when the next heartbeat is due.
    fn follow(&self, sent: Instant, body: &str) -> Duration {
        let Some(answer) = json::parse(body) else {
            return HEARTBEAT;
        };
        let mut state = lock(&self.state);
        if !state.up {
            return HEARTBEAT;
        }
        let fence = answer
            .get("fence_token")
            .and_then(Json::number)
            .unwrap_or(0);
        let delay = answer
            .get("retry_delay_ms")
            .and_then(Json::number)
            .map_or(HEARTBEAT, Duration::from_millis);
        let hold = answer.get("hold_ms").and_then(Json::number);
        if hold.is_some() {
            state.answers_without_hold = 0;
        } else {
            state.answers_without_hold += 1;
            if state.answers_without_hold == 1 {
                record::line(&format!(
                    "worker {}: a heartbeat is answered without a hold: {body}",
                    self.id
                ));
            }
        }
        if fence < state.fence {
            return delay;
        }
        state.fence = fence;
        if let Some(hold_ms) = hold {
            let until = sent + Duration::from_millis(hold_ms.min(MAX_HOLD_MS));
            state.hold_until = Some(state.hold_until.map_or(until, |before| before.max(until)));
            state.holds += 1;
        }
        if let Some(seen) = answer.get("last_seen").and_then(Json::number) {
            for end in state.finished.iter().filter(|end| end.number <= seen) {
                record::line(&format!(
                    "worker {}: the end of {} attempt {} ({}) is taken note of",
                    self.id, end.task, end.attempt, end.how
                ));
            }
            state.finished.retain(|end| end.number > seen);
        }
        for order in answer.get("stop").map(Json::list).unwrap_or_default() {
            self.stop(&mut state, order);
        }
        if hold.is_some() {
            for order in answer.get("start").map(Json::list).unwrap_or_default() {
                self.begin(&mut state, order);
            }
        }
        if state.ends_after_answer && hold.is_some() {
            self.end(&mut state, "is lost for good");
        }
        delay
    }

    fn stop(&self, state: &mut State, order: &Json) {
        let [task, attempt, ..] = order.list() else {
            return;
        };
        let (Some(task), Some(attempt)) = (task.text(), attempt.number()) else {
            return;
        };
        record::line(&format!(
            "worker {}: is told to stop {task} attempt {attempt}",
            self.id
        ));
        if state
            .runs
            .get(task)
            .is_some_and(|run| u64::from(run.attempt) == attempt)
        {
            self.finish(state, task, "stopped");
        } else {
            let barred = state.barred.entry(task.to_owned()).or_default();
            *barred = (*barred).max(attempt as u32);
        }
    }

    fn begin(&self, state: &mut State, order: &Json) {
        let [task, attempt, spec, ..] = order.list() else {
            return;
        };
        let (Some(task), Some(attempt), Some(spec)) = (task.text(), attempt.number(), spec.text())
        else {
            return;
        };
        let attempt = attempt as u32;
        if state.runs.contains_key(task) {
            return;
        }
        if state
            .barred
            .get(task)
            .is_some_and(|barred| attempt <= *barred)
        {
            return self.list_end(state, task, attempt, "refused");
        }
        let work_ms = spec
            .strip_prefix("ms=")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1_000);
        let now = Instant::now();
        state.runs.insert(
            task.to_owned(),
            Present {
                attempt,
                until: now + Duration::from_millis(work_ms),
                began: now,
            },
        );
        self.runs.began(task, attempt, &self.id);
    }
}
