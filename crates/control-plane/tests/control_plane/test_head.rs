//! A head whose writes are committed at once, with at most one worker, and the rows that it has written.

use crate::builders::{START_MS, clocks, first_config, put};
use indigofold_control_plane::acting_head::{ActingHead, HeadOutput};
use indigofold_control_plane::clocks::Clocks;
use indigofold_control_plane::config_authority::OperatorCallId;
use indigofold_control_plane::inspection::{
    ClusterCapacity, TableSummary, WorkerProfile, job_report,
};
use indigofold_protocol::inspection::JobInspection;
use indigofold_protocol::internal::{
    AgentReport, ClientCall, ClientOperation, FinishedRun, InstanceReport, RunningRun,
};
use indigofold_protocol::job::{JobSpec, Resources};
use indigofold_protocol::task::{JobId, RunId};
use indigofold_protocol::worker::WorkerState;
use indigofold_replication::{SubmissionId, ViewNumber};
use indigofold_scheduler::{AgentId, Bounds, CallerId, Event};
use std::collections::BTreeMap;

/// ID of the only job that tests submit.
pub(crate) const JOB: JobId = JobId(0xaa);
/// Node agent of the worker of [`TestHead::with_worker`].
pub(crate) const FIRST_AGENT: AgentId = AgentId(7);
/// Time between two reports of the worker's node agent, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

pub(crate) struct TestHead {
    head: ActingHead,
    rows: BTreeMap<Vec<u8>, Vec<u8>>,
    clocks: Clocks,
    worker: Option<InstanceReport>,
}

impl TestHead {
    /// Returns a head with a configuration and no worker.
    pub(crate) fn new() -> TestHead {
        let clocks = clocks(START_MS);
        let head = ActingHead::load(
            Bounds::default(),
            ViewNumber(1),
            SubmissionId(1),
            clocks,
            Vec::new(),
        )
        .expect("a head without rows can be loaded");
        let mut test = TestHead {
            head,
            rows: BTreeMap::new(),
            clocks,
            worker: None,
        };
        let mut outputs = Vec::new();
        let change = put(0, &first_config());
        test.head
            .handle_change(clocks, OperatorCallId(1), change, &mut outputs);
        test.commit(outputs);
        test
    }

    /// Returns a head with one worker of four cores.
    pub(crate) fn with_worker() -> TestHead {
        let mut test = TestHead::new();
        test.connect_agent(FIRST_AGENT, "side-1");
        test.worker = Some(four_core_worker());
        test.report();
        test
    }

    pub(crate) fn worker(&self) -> Option<InstanceReport> {
        self.worker.clone()
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        self.clocks.wall_ms
    }

    pub(crate) fn connect_agent(&mut self, agent: AgentId, node_name: &str) {
        self.event(Event::AgentConnected {
            agent,
            node_name: node_name.to_owned(),
        });
    }

    pub(crate) fn disconnect_agent(&mut self, agent: AgentId) {
        self.event(Event::AgentDisconnected(agent));
    }

    /// Advances both clocks by `after_ms`; then a node agent reports its worker.
    pub(crate) fn report_worker(
        &mut self,
        after_ms: u64,
        agent: AgentId,
        worker: Option<InstanceReport>,
    ) {
        self.clocks.steady_ms += after_ms;
        self.clocks.wall_ms += after_ms;
        let report = AgentReport {
            sent_ms: self.clocks.steady_ms,
            instance: worker,
            ended_instances: Vec::new(),
            not_started: Vec::new(),
            newest_update: 0,
        };
        self.event(Event::Report { agent, report });
    }

    /// Adds an ended run to the worker, whose node agent reports it.
    pub(crate) fn report_finished(&mut self, run: FinishedRun) {
        let worker = self.worker.as_mut().expect("the head has a worker");
        worker.finished.push(run);
        self.report();
    }

    /// The worker begins this run, and its node agent reports it twice, over 2 s: the head has written it then.
    pub(crate) fn report_running(&mut self, run: RunId) {
        let worker = self.worker.as_mut().expect("the head has a worker");
        let listed = RunningRun {
            run,
            checkpoint: String::new(),
            percent: 0,
        };
        worker.running.get_or_insert_default().push(listed);
        (0..3).for_each(|_| self.report());
    }

    /// Submits the job [`JOB`] as a client, and runs the scheduler's timer.
    pub(crate) fn submit(&mut self, job: JobSpec) {
        self.call(ClientOperation::Submit(job));
        self.event(Event::Timer);
    }

    /// Sends a client's call about the job [`JOB`].
    pub(crate) fn call(&mut self, operation: ClientOperation) {
        let (host, path) = ("a.example".to_owned(), format!("/p/{JOB}"));
        let call = ClientCall {
            call: 1,
            host,
            path,
            operation,
        };
        self.event(Event::Call {
            from: CallerId(1),
            call,
        });
    }

    /// Returns the summary of the rows, and asserts that all of them can be decoded.
    pub(crate) fn summary(&self) -> TableSummary {
        let mut summary = TableSummary::new(Some(JOB));
        self.rows
            .iter()
            .for_each(|(key, value)| summary.add_row(key, value));
        assert_eq!(summary.unreadable, 0);
        summary
    }

    /// Returns the report on the job [`JOB`].
    pub(crate) fn inspect(&self) -> JobInspection {
        let summary = self.summary();
        let profile = self.worker.as_ref().map(WorkerProfile::from);
        let capacity = ClusterCapacity {
            workers: profile.iter().collect(),
            used: &summary.used,
        };
        let job = summary.job.as_ref().expect("the job exists");
        job_report(job, self.head.config().map(|config| &**config), &capacity)
    }

    fn report(&mut self) {
        self.report_worker(REPORT_INTERVAL_MS, FIRST_AGENT, self.worker.clone());
    }

    fn event(&mut self, event: Event) {
        let mut outputs = Vec::new();
        self.head.handle_event(self.clocks, event, &mut outputs);
        self.commit(outputs);
    }

    fn commit(&mut self, outputs: Vec<HeadOutput>) {
        for output in outputs {
            let HeadOutput::Submit { write_id, changes } = output else {
                continue;
            };
            for change in changes {
                match change.value {
                    Some(value) => self.rows.insert(change.key, value),
                    None => self.rows.remove(&change.key),
                };
            }
            let mut more = Vec::new();
            self.head.committed(self.clocks, write_id, &mut more);
            self.commit(more);
        }
    }
}

fn four_core_worker() -> InstanceReport {
    InstanceReport {
        id: "i-1".to_owned(),
        backend: "s".to_owned(),
        zone: "a".to_owned(),
        state: WorkerState::Ready,
        remaining_ms: None,
        warmup_remaining_ms: 0,
        capacity: Resources {
            cpu: 4_000,
            mem_mb: 4_000,
            gpu: 0,
        },
        labels: vec!["plain".to_owned()],
        since_heartbeat_ms: 0,
        running: Some(Vec::new()),
        finished: Vec::new(),
        in_flight: Vec::new(),
    }
}
