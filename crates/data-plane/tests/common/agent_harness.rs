//! A node agent with a simulated worker and a simulated head.

use indigofold_data_plane::agent::{
    Agent, HeartbeatAdmission, HeartbeatOutcome, HeartbeatReceipt, HeartbeatSource,
    WorkerConnectionId,
};
use indigofold_protocol::internal::{AgentOrders, AgentReport, StartOrder};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{JobId, RunId, TaskName};
use indigofold_protocol::worker::{
    Finished, Heartbeat, HeartbeatReply, RunEnd, Running, WorkerState,
};

/// Instance id of the simulated worker.
pub(crate) const WORKER: &str = "i-1";
/// Longest lease that the worker accepts; above the default lease.
pub(crate) const MAX_LEASE_MS: u64 = 6_000;
/// Connection on which the simulated worker sends its heartbeats.
pub(crate) const CONNECTION: WorkerConnectionId = WorkerConnectionId(1);
/// Clock reading at the start of the agent.
pub(crate) const START_MS: u64 = 1_000_000;

/// The first attempt of the task with this index.
pub(crate) fn run(index: u32) -> RunId {
    attempt(index, 1)
}

/// The given attempt of the task with this index.
pub(crate) fn attempt(index: u32, attempt: u32) -> RunId {
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

/// A start order for a run that needs `cpu` of the worker's 1000.
pub(crate) fn start(run: RunId, cpu: u64) -> StartOrder {
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

/// The node agent under test, a clock, and the state of its simulated worker and head.
pub(crate) struct AgentHarness {
    pub agent: Agent,
    pub now_ms: u64,
    /// Sequence number of the worker's last heartbeat.
    pub seq_no: u64,
    /// Epoch of the head's orders.
    pub epoch: u64,
    /// State in the worker's heartbeats.
    pub state: WorkerState,
    /// Number of the last ended run.
    pub ends: u64,
    /// Runs that heartbeats list as running.
    pub running: Vec<RunId>,
    /// Ends that heartbeats list, with their numbers.
    pub finished: Vec<(u64, RunId, RunEnd)>,
}

impl AgentHarness {
    /// A harness to whose agent neither a worker nor a head has connected.
    pub(crate) fn unconnected() -> AgentHarness {
        AgentHarness {
            agent: Agent::new(START_MS, MAX_LEASE_MS),
            now_ms: START_MS,
            seq_no: 0,
            epoch: 3,
            state: WorkerState::Ready,
            ends: 0,
            running: Vec::new(),
            finished: Vec::new(),
        }
    }

    /// A harness whose worker has registered and whose head has acknowledged a report with its instance.
    pub(crate) fn confirmed() -> AgentHarness {
        let mut harness = AgentHarness::unconnected();
        harness.agent.handle_connected();
        harness.send_heartbeat();
        harness.report_and_echo();
        harness
    }

    pub(crate) fn advance(&mut self, duration_ms: u64) -> &mut AgentHarness {
        self.now_ms += duration_ms;
        self
    }

    /// Builds a heartbeat from the worker's current state.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
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

    /// Sends the worker's next heartbeat 100 ms later, and returns the reply.
    pub(crate) fn send_heartbeat(&mut self) -> HeartbeatReply {
        self.send_heartbeat_of(WORKER)
    }

    /// Like [`AgentHarness::send_heartbeat`] for an instance with this id. If the agent asks for a second heartbeat to
    /// register the instance, it is sent at once, and its reply is returned.
    pub(crate) fn send_heartbeat_of(&mut self, id: &str) -> HeartbeatReply {
        self.advance(100);
        match self.send_once(id, CONNECTION) {
            HeartbeatAdmission::Pending(_) => match self.send_once(id, CONNECTION) {
                HeartbeatAdmission::Accepted(receipt) => self.poll_reply(id, receipt),
                other => panic!("expected the instance to be registered, got {other:?}"),
            },
            HeartbeatAdmission::Accepted(receipt) => self.poll_reply(id, receipt),
            HeartbeatAdmission::Superseded => {
                panic!("expected a reply, but the heartbeat was superseded")
            }
        }
    }

    /// Sends one heartbeat of an instance on this connection, without a delay.
    pub(crate) fn send_once(
        &mut self,
        id: &str,
        connection: WorkerConnectionId,
    ) -> HeartbeatAdmission {
        self.seq_no += 1;
        self.receive(id, connection, self.heartbeat())
    }

    /// Passes a heartbeat to the agent.
    pub(crate) fn receive(
        &mut self,
        id: &str,
        connection: WorkerConnectionId,
        heartbeat: Heartbeat,
    ) -> HeartbeatAdmission {
        let source = HeartbeatSource {
            instance: id,
            connection,
        };
        self.agent.handle_heartbeat(self.now_ms, source, heartbeat)
    }

    fn poll_reply(&mut self, id: &str, receipt: HeartbeatReceipt) -> HeartbeatReply {
        let outcome = self
            .agent
            .poll_heartbeat_reply(self.now_ms, id, receipt.seq_no);
        match outcome {
            HeartbeatOutcome::Answered(reply) => reply,
            HeartbeatOutcome::Superseded => {
                panic!("expected a reply, but the heartbeat was superseded")
            }
        }
    }

    /// Makes the worker start and stop the runs that the reply orders.
    pub(crate) fn carry_out(&mut self, reply: &HeartbeatReply) {
        let started_runs = reply.start.iter().map(|s| RunId {
            task: s.task.parse().expect("a valid task name"),
            attempt: s.attempt,
        });
        self.running.extend(started_runs);
        for stop in &reply.stop {
            let run = RunId {
                task: stop.task.parse().expect("a valid task name"),
                attempt: stop.attempt,
            };
            self.end(run, RunEnd::Stopped);
        }
    }

    /// Ends a running run; later heartbeats list the end.
    pub(crate) fn end(&mut self, run: RunId, end: RunEnd) {
        if self.running.contains(&run) {
            self.running.retain(|other| *other != run);
            self.ends += 1;
            self.finished.push((self.ends, run, end));
        }
    }

    /// Polls for a report 20 ms later; `None` if none is due.
    pub(crate) fn report(&mut self) -> Option<AgentReport> {
        self.advance(20);
        self.agent.poll_report(self.now_ms)
    }

    pub(crate) fn report_now(&mut self) -> AgentReport {
        self.report().expect("a report is due")
    }

    pub(crate) fn report_and_echo(&mut self) -> AgentReport {
        let report = self.report_now();
        self.echo(report.sent_ms);
        report
    }

    /// Acknowledges the report sent at `sent_ms`.
    pub(crate) fn echo(&mut self, sent_ms: u64) {
        let orders = AgentOrders {
            echo_sent_ms: Some(sent_ms),
            ..self.no_orders()
        };
        self.deliver_orders(orders);
    }

    pub(crate) fn no_orders(&self) -> AgentOrders {
        AgentOrders {
            epoch: self.epoch,
            echo_sent_ms: None,
            instance: WORKER.to_owned(),
            start: Vec::new(),
            stop: Vec::new(),
            acknowledged_end: None,
            acknowledged_update: None,
        }
    }

    pub(crate) fn order_start(&mut self, starts: &[StartOrder]) {
        let orders = AgentOrders {
            start: starts.to_vec(),
            ..self.no_orders()
        };
        self.deliver_orders(orders);
    }

    /// Delivers start orders to the worker, which then lists the runs as running.
    pub(crate) fn start_and_confirm(&mut self, starts: &[StartOrder]) {
        self.order_start(starts);
        let reply = self.send_heartbeat();
        self.carry_out(&reply);
        self.send_heartbeat();
    }

    pub(crate) fn order_stop(&mut self, stops: &[RunId]) {
        let orders = AgentOrders {
            stop: stops.to_vec(),
            ..self.no_orders()
        };
        self.deliver_orders(orders);
    }

    pub(crate) fn deliver_orders(&mut self, orders: AgentOrders) {
        self.agent.handle_orders(self.now_ms, orders);
    }

    /// Names of the tasks that the reply starts.
    pub(crate) fn started(reply: &HeartbeatReply) -> Vec<String> {
        reply.start.iter().map(|s| s.task.clone()).collect()
    }
}
