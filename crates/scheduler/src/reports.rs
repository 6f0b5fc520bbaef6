//! Reports of node agents: the worker instance, its runs, ends, and starts that did not happen.

use crate::api::AgentId;
use crate::outbox::Deferred;
use crate::run_result::RunResult;
use crate::state::{AnswerWithoutInstance, ClusterState};
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::internal::{AgentReport, FinishedRun, InstanceReport, RunningRun};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::RunEnd;
use rustc_hash::FxHashSet;

/// A worker that rejected a start gets no other for this time.
const REJECTED_START_BACKOFF_MS: u64 = 200;
/// A stop is sent again if the run is still listed after this time.
const STOP_RETRY_MS: u64 = 1_000;

impl ClusterState {
    /// A node agent reports; it is answered with the orders for its worker.
    pub(crate) fn report(&mut self, agent: AgentId, report: AgentReport) {
        let Some(connection) = self.workers.connection(agent) else {
            return;
        };
        let node_name = connection.node_name.clone();
        let present = report.instance.as_ref().map(|instance| instance.id.clone());
        for ended in report
            .ended_instances
            .iter()
            .filter(|ended| Some(*ended) != present.as_ref())
        {
            if let Some(id) = self.workers.find(ended) {
                self.instance_ended(id);
            }
        }
        let Some(instance) = report.instance else {
            return self.report_without_instance(
                agent,
                &node_name,
                &report.not_started,
                report.sent_ms,
            );
        };
        let id = self.reconcile_instance(agent, &node_name, &instance);
        self.handle_not_started(&node_name, &report.not_started);
        self.handle_running(id, &instance);
        self.handle_ends(id, &instance.finished);
        self.resend_orders(agent, id, &instance);
        self.stop_unexpected_runs(id, report.sent_ms, instance.running.is_some());
        self.outbox.orders_for(id).echo_sent_ms = Some(report.sent_ms);
    }

    /// The node agent has no worker at present; an instance known there is asked for.
    fn report_without_instance(
        &mut self,
        agent: AgentId,
        node_name: &str,
        not_started: &[RunId],
        sent_ms: u64,
    ) {
        self.handle_not_started(node_name, not_started);
        self.workers.detach(agent);
        let instances = self.workers.at(node_name);
        let now_ms = self.now_ms;
        let mut expected_instance = String::new();
        for id in instances {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.answered(now_ms);
                expected_instance.clone_from(&worker.instance);
            }
        }
        self.answers_without_instance.push(AnswerWithoutInstance {
            agent,
            instance: expected_instance,
            sent_ms,
        });
    }

    /// Enters the instance that the node agent reports; any other one known on its machine has ended.
    fn reconcile_instance(
        &mut self,
        agent: AgentId,
        node_name: &str,
        report: &InstanceReport,
    ) -> WorkerId {
        let now_ms = self.now_ms;
        let id = self.workers.get_or_register(&report.id, now_ms);
        self.workers.attach(agent, id);
        self.record_instance(id, node_name);
        self.workers
            .others_at(node_name, id)
            .into_iter()
            .for_each(|other| self.instance_ended(other));
        let Some(worker) = self.workers.get_mut(id) else {
            return id;
        };
        worker.answered(now_ms);
        let before = worker.backend.clone();
        let changed = worker.apply_report(now_ms, report) | worker.revive();
        if changed {
            self.regroup(&before);
            self.regroup(&report.backend);
        }
        id
    }

    /// Starts that the node agent never passed on have ended.
    fn handle_not_started(&mut self, node_name: &str, not_started: &[RunId]) {
        let now_ms = self.now_ms;
        for run in not_started {
            let Some(present) = self.run_mut(run) else {
                continue;
            };
            let (id, wanted) = (present.worker, present.stop.is_none());
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            if worker.node_name() != Some(node_name) {
                continue;
            }
            if wanted {
                worker.back_off_until(now_ms + REJECTED_START_BACKOFF_MS);
            }
            self.finish_run(*run, RunResult::NotStarted, "");
        }
    }

    fn handle_running(&mut self, id: WorkerId, instance: &InstanceReport) {
        let in_flight = &instance.in_flight;
        let in_flight: Vec<RunId> = in_flight
            .iter()
            .copied()
            .filter(|run| !self.record_in_flight(id, run))
            .collect();
        let running = instance.running.as_ref().map(|running| {
            let unknown = running
                .iter()
                .filter(|listed| !self.update_listed_run(id, listed));
            unknown.map(|listed| listed.run).collect::<Vec<RunId>>()
        });
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unexpected.set(in_flight, running);
        }
    }

    /// A start in flight is known; `false` if it is not outstanding there.
    fn record_in_flight(&mut self, id: WorkerId, run: &RunId) -> bool {
        let now_ms = self.now_ms;
        self.run_on(run, id)
            .map(|run| run.listed_ms = now_ms)
            .is_some()
    }

    /// Updates a run that is listed as running; `false` if it is not outstanding there.
    fn update_listed_run(&mut self, id: WorkerId, listed: &RunningRun) -> bool {
        let now_ms = self.now_ms;
        let Some(run) = self.run_on(&listed.run, id) else {
            return false;
        };
        run.listed(listed.percent, now_ms);
        if self.store_checkpoint(&listed.run.task, &listed.checkpoint) {
            self.checkpoint_changed(id, &listed.run.task);
        }
        true
    }

    fn handle_ends(&mut self, id: WorkerId, finished: &[FinishedRun]) {
        let Some(handled) = self.workers.get(id).map(Worker::handled_end) else {
            return;
        };
        let mut newest = handled;
        for end in finished.iter().filter(|end| end.number > handled) {
            newest = newest.max(end.number);
            self.handle_end(id, end);
        }
        if newest > handled {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.handle_ends_until(newest);
            }
            self.outbox.defer(
                self.outbox.newest_write(),
                Deferred::Acknowledge(id, newest),
            );
        }
    }

    fn handle_end(&mut self, id: WorkerId, end: &FinishedRun) {
        let now_ms = self.now_ms;
        let task = end.run.task;
        if self.run_on(&end.run, id).is_none() {
            if end.end == RunEnd::Done {
                self.handle_late_done(task);
            }
            return;
        }
        if end.end == RunEnd::Refused
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.back_off_until(now_ms + REJECTED_START_BACKOFF_MS);
        }
        self.finish_run(end.run, RunResult::Ended(end.end), &end.checkpoint);
    }

    /// After the first full report on a connection: orders that may have been lost are sent again.
    fn resend_orders(&mut self, agent: AgentId, id: WorkerId, instance: &InstanceReport) {
        let Some(running) = &instance.running else {
            return;
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let first = !std::mem::replace(&mut worker.full_report_received, true);
        let tasks = worker.runs.clone();
        let present: FxHashSet<RunId> = running
            .iter()
            .map(|listed| listed.run)
            .chain(instance.in_flight.iter().copied())
            .collect();
        let now_ms = self.now_ms;
        for task in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let ended = job.end.is_some();
            let done = job.task(&task).is_some_and(|task| task.done);
            let superseded = done && job.step(task.step).is_some_and(|step| !step.gang);
            let Some(run) = self.view().run_at(id, &task).filter(|run| run.sent) else {
                continue;
            };
            let order = RunId {
                task,
                attempt: run.attempt,
            };
            let stop = run.stop;
            match stop {
                Some(stop) if stop.sent_to != Some(agent) => self.send_stop(order),
                Some(stop) if now_ms >= stop.sent_ms + STOP_RETRY_MS => self.send_stop(order),
                None if first && ended => self.send_stop_if_committed(order),
                None if first && superseded => self.stop_one(order),
                None if first && !present.contains(&order) => self.order_start(order),
                _ => {}
            }
        }
    }

    /// A job's end is known, but the stop of its run waits for it to be committed.
    fn send_stop_if_committed(&mut self, order: RunId) {
        let write = self.jobs.get(&order.task.job).map(|job| job.last_write);
        if write.is_some_and(|write| self.outbox.is_committed(write)) {
            self.send_stop(order);
        }
    }

    /// Runs that must not be there are stopped; until they have ended the worker gets no starts.
    fn stop_unexpected_runs(&mut self, id: WorkerId, sent_ms: u64, reports_running: bool) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let stops = worker.unexpected.stops(sent_ms, reports_running);
        if !stops.is_empty() {
            self.outbox.orders_for(id).stop.extend(stops);
        }
    }
}
