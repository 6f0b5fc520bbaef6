//! A companion with its worker and its head, for tests.

#![allow(dead_code)]

use indigofold_data_plane::agent::{Agent, BeatOutcome};
use indigofold_protocol::internal::{AgentOrders, AgentReport, StartOrder};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{JobId, RunId, TaskName};
use indigofold_protocol::worker::{
    Finished, Heartbeat, HeartbeatReply, RunEnd, Running, WorkerState,
};

pub const WORKER: &str = "i-1";
pub const MAX_HOLD_MS: u64 = 6_000;
pub const START_MS: u64 = 1_000_000;

pub fn run(index: u32) -> RunId {
    attempt(index, 1)
}

pub fn attempt(index: u32, attempt: u32) -> RunId {
    RunId {
        task: TaskName {
            job: JobId(7),
            repeat: 0,
            step: 0,
            index,
        },
        attempt,
    }
}

pub fn start(run: RunId, cpu: u64) -> StartOrder {
    let resources = Resources {
        cpu,
        mem_mb: 10,
        gpu: 0,
    };
    StartOrder {
        run,
        resources,
        spec: "text".to_owned(),
        checkpoint: String::new(),
    }
}

/// The companion under test, a clock, and counters of its worker and head.
pub struct Bench {
    pub agent: Agent,
    pub now_ms: u64,
    pub seq_no: u64,
    pub epoch: u64,
    pub state: WorkerState,
    pub ends: u64,
    pub running: Vec<RunId>,
    pub finished: Vec<(u64, RunId, RunEnd)>,
}

impl Bench {
    /// Nothing has happened.
    pub fn fresh() -> Bench {
        Bench {
            agent: Agent::new(START_MS, MAX_HOLD_MS),
            now_ms: START_MS,
            seq_no: 0,
            epoch: 3,
            state: WorkerState::Ready,
            ends: 0,
            running: Vec::new(),
            finished: Vec::new(),
        }
    }

    /// The worker has registered, and the head has heard of it.
    pub fn settled() -> Bench {
        let mut bench = Bench::fresh();
        bench.agent.link_up();
        bench.beat();
        bench.report_and_echo();
        bench
    }

    pub fn pass(&mut self, ms: u64) -> &mut Bench {
        self.now_ms += ms;
        self
    }

    pub fn heartbeat(&self) -> Heartbeat {
        let running = |run: &RunId| Running {
            task: run.task.to_string(),
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: 5,
        };
        let finished = |(number, run, end): &(u64, RunId, RunEnd)| Finished {
            number: *number,
            task: run.task.to_string(),
            attempt: run.attempt,
            end: *end,
            checkpoint: String::new(),
        };
        Heartbeat {
            backend: "service".to_owned(),
            zone: "a".to_owned(),
            state: self.state,
            capacity: Resources {
                cpu: 1_000,
                mem_mb: 1_000,
                gpu: 0,
            },
            seq_no: self.seq_no,
            running: self.running.iter().map(running).collect(),
            finished: self.finished.iter().map(finished).collect(),
            ..Heartbeat::default()
        }
    }

    /// The worker's next heartbeat, 100 ms later.
    pub fn beat(&mut self) -> HeartbeatReply {
        self.beat_of(WORKER)
    }

    pub fn beat_of(&mut self, id: &str) -> HeartbeatReply {
        self.pass(100);
        self.seq_no += 1;
        match self.take(id, self.heartbeat()) {
            BeatOutcome::Answered(reply) => reply,
            BeatOutcome::Late => panic!("the heartbeat is the newest"),
        }
    }

    /// A heartbeat comes in and is answered at once.
    pub fn take(&mut self, id: &str, beat: Heartbeat) -> BeatOutcome {
        match self.agent.hear(self.now_ms, id, beat) {
            Some(heard) => self.agent.answer(self.now_ms, id, heard.seq_no),
            None => BeatOutcome::Late,
        }
    }

    /// The worker has carried out what an answer orders.
    pub fn obey(&mut self, reply: &HeartbeatReply) {
        let started = reply.start.iter().map(|start| RunId {
            task: start.task.parse().expect("a name"),
            attempt: start.attempt,
        });
        self.running.extend(started);
        for stop in &reply.stop {
            let run = RunId {
                task: stop.task.parse().expect("a name"),
                attempt: stop.attempt,
            };
            self.end(run, RunEnd::Stopped);
        }
    }

    pub fn end(&mut self, run: RunId, end: RunEnd) {
        if self.running.contains(&run) {
            self.running.retain(|other| *other != run);
            self.ends += 1;
            self.finished.push((self.ends, run, end));
        }
    }

    /// The report that is due, 20 ms later.
    pub fn report(&mut self) -> Option<AgentReport> {
        self.pass(20);
        self.agent.tick(self.now_ms)
    }

    pub fn report_now(&mut self) -> AgentReport {
        self.report().expect("a report is due")
    }

    pub fn report_and_echo(&mut self) -> AgentReport {
        let report = self.report_now();
        self.echo(report.sent_ms);
        report
    }

    pub fn echo(&mut self, sent_ms: u64) {
        let orders = AgentOrders {
            echo_sent_ms: Some(sent_ms),
            ..self.no_orders()
        };
        self.orders(orders);
    }

    pub fn no_orders(&self) -> AgentOrders {
        AgentOrders {
            epoch: self.epoch,
            echo_sent_ms: None,
            instance: WORKER.to_owned(),
            start: Vec::new(),
            stop: Vec::new(),
            acknowledged_end: None,
        }
    }

    pub fn order_start(&mut self, starts: &[StartOrder]) {
        let orders = AgentOrders {
            start: starts.to_vec(),
            ..self.no_orders()
        };
        self.orders(orders);
    }

    /// The head orders starts, and the worker lists them as running.
    pub fn run_all(&mut self, starts: &[StartOrder]) {
        self.order_start(starts);
        let reply = self.beat();
        self.obey(&reply);
        self.beat();
    }

    pub fn order_stop(&mut self, stops: &[RunId]) {
        let orders = AgentOrders {
            stop: stops.to_vec(),
            ..self.no_orders()
        };
        self.orders(orders);
    }

    pub fn orders(&mut self, orders: AgentOrders) {
        self.agent.orders(self.now_ms, orders);
    }

    /// The runs that an answer starts.
    pub fn started(reply: &HeartbeatReply) -> Vec<String> {
        reply.start.iter().map(|start| start.task.clone()).collect()
    }
}
