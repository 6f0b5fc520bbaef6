//! Processing of node agents' reports: the worker instance, its outstanding runs, the ends of runs, and starts that
//! were never passed on to the worker.

use crate::api::AgentId;
use crate::cluster::Cluster;
use crate::jobs::{StopOrder, Task};
use crate::outbox::Deferred;
use crate::run_result::RunResult;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::internal::{AgentReport, FinishedRun, InstanceReport};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::RunEnd;
use rustc_hash::FxHashSet;

/// A worker that rejected a start gets no new starts for this time.
const REJECTED_START_BACKOFF_MS: u64 = 200;
/// A stop order is sent again if the run has not ended after this time.
const STOP_RETRY_MS: u64 = 1_000;

/// Answer to a report of a node agent that currently has no worker instance.
#[derive(Debug)]
pub(crate) struct AnswerWithoutInstance {
    /// Connection of the node agent.
    pub agent: AgentId,
    /// ID of the instance that the scheduler knows on that machine and whose report it expects; empty for none.
    pub instance: String,
    /// When the answered report was sent, on the agent's clock.
    pub sent_ms: u64,
}

/// Processes the reports of node agents, and keeps the answers to agents that have no worker instance.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Answers to the reports without a worker instance in the event that is being handled; sent at its end.
    answers: Vec<AnswerWithoutInstance>,
}

impl Reports {
    /// Processes a report. It is answered with the orders for the worker instance, or with an
    /// [`AnswerWithoutInstance`]. Its updates are acknowledged once their effects are committed. A report on a connection
    /// that is not open any more is ignored.
    pub(crate) fn handle(&mut self, cluster: &mut Cluster, agent: AgentId, report: AgentReport) {
        let Some(connection) = cluster.workers().connection(agent) else {
            return;
        };
        let node_name = connection.node_name.clone();
        handle_ended_instances(cluster, &report);
        match report.instance {
            Some(instance) => {
                let id = reconcile_instance(cluster, agent, &node_name, &instance);
                handle_not_started(cluster, &node_name, &report.not_started);
                handle_running(cluster, id, &instance);
                handle_ends(cluster, id, &instance.finished);
                resend_orders(cluster, agent, id, &instance);
                stop_unexpected_runs(cluster, id, report.sent_ms, instance.running.is_some());
                cluster.outbox_mut().orders_for(id).echo_sent_ms = Some(report.sent_ms);
            }
            None => {
                handle_not_started(cluster, &node_name, &report.not_started);
                self.answers.push(AnswerWithoutInstance {
                    agent,
                    instance: expected_instance(cluster, agent, &node_name),
                    sent_ms: report.sent_ms,
                });
            }
        }
        acknowledge_updates(cluster, agent, report.newest_update);
    }

    /// Takes the answers to the reports without a worker instance in the event that is being handled.
    pub(crate) fn take_answers(&mut self) -> Vec<AnswerWithoutInstance> {
        std::mem::take(&mut self.answers)
    }
}

/// Ends the instances that the report lists as ended, except one that it reports as present again.
fn handle_ended_instances(cluster: &mut Cluster, report: &AgentReport) {
    let present_instance = report.instance.as_ref().map(|instance| &instance.id);
    let ended_instances = report.ended_instances.iter();
    for ended in ended_instances.filter(|ended| Some(*ended) != present_instance) {
        if let Some(id) = cluster.workers().find(ended) {
            cluster.instance_ended(id);
        }
    }
}

/// Acknowledges the node agent's updates up to this number once all that they have changed is committed. 0 stands for a
/// report without updates.
fn acknowledge_updates(cluster: &mut Cluster, agent: AgentId, newest_update: u64) {
    if newest_update == 0 {
        return;
    }
    let write = cluster.outbox().newest_write();
    let acknowledge = Deferred::AcknowledgeUpdates(agent, newest_update);
    cluster.outbox_mut().defer(write, acknowledge);
}

/// Handles a report without a worker instance: detaches the connection, and returns the ID of the instance known on
/// that machine, empty for none. The answer extends the agent's authority to grant run leases, so all instances known
/// there are marked as answered.
fn expected_instance(cluster: &mut Cluster, agent: AgentId, node_name: &str) -> String {
    let now_ms = cluster.clock().now_ms();
    let workers = cluster.workers_mut();
    workers.detach(agent);
    let mut expected_instance = String::new();
    for id in workers.instances_on(node_name) {
        if let Some(worker) = workers.get_mut(id) {
            worker.record_answer(now_ms);
            worker.instance().clone_into(&mut expected_instance);
        }
    }
    expected_instance
}

/// Registers the instance that the node agent reports and applies the report to it. Any other instance known on the
/// same machine has ended: a node agent reports an instance only once no run of another one can be left.
fn reconcile_instance(
    cluster: &mut Cluster,
    agent: AgentId,
    node_name: &str,
    report: &InstanceReport,
) -> WorkerId {
    let now_ms = cluster.clock().now_ms();
    let id = cluster.workers_mut().get_or_register(&report.id, now_ms);
    cluster.workers_mut().attach(agent, id);
    cluster.record_instance(id, node_name);
    for other in cluster.workers().other_instances_on(node_name, id) {
        cluster.instance_ended(other);
    }
    cluster.apply_instance_report(id, report);
    id
}

/// Ends the runs whose starts the node agent never passed on to the worker. If such a run is still wanted, its worker
/// gets no new starts for a while.
fn handle_not_started(cluster: &mut Cluster, node_name: &str, not_started: &[RunId]) {
    let now_ms = cluster.clock().now_ms();
    for run in not_started {
        let Some(outstanding_run) = cluster.jobs().run(run) else {
            continue;
        };
        let (id, is_wanted) = (outstanding_run.worker(), outstanding_run.stop().is_none());
        let Some(worker) = cluster.workers_mut().get_mut(id) else {
            continue;
        };
        if worker.node_name() != Some(node_name) {
            continue;
        }
        if is_wanted {
            worker.back_off_until(now_ms + REJECTED_START_BACKOFF_MS);
        }
        cluster.end_run(*run, RunResult::NotStarted, "");
    }
}

/// Updates the outstanding runs that the report lists, and records the listed runs that are not outstanding on the
/// worker as unexpected.
fn handle_running(cluster: &mut Cluster, id: WorkerId, instance: &InstanceReport) {
    let mut in_flight = Vec::new();
    for run in &instance.in_flight {
        if !cluster.record_in_flight(id, run) {
            in_flight.push(*run);
        }
    }
    let running = instance.running.as_ref().map(|running| {
        let unknown_runs = running
            .iter()
            .filter(|listed| !cluster.record_listed(id, listed));
        unknown_runs
            .map(|listed| listed.run)
            .collect::<Vec<RunId>>()
    });
    if let Some(worker) = cluster.workers_mut().get_mut(id) {
        worker.unexpected_mut().set(in_flight, running);
    }
}

/// Handles the ends that were not handled yet. They are acknowledged once the write with their changes is committed.
fn handle_ends(cluster: &mut Cluster, id: WorkerId, finished: &[FinishedRun]) {
    let Some(handled_number) = cluster.workers().get(id).map(Worker::handled_end) else {
        return;
    };
    let mut newest_number = handled_number;
    for end in finished.iter().filter(|end| end.number > handled_number) {
        newest_number = newest_number.max(end.number);
        handle_end(cluster, id, end);
    }
    if newest_number == handled_number {
        return;
    }
    if let Some(worker) = cluster.workers_mut().get_mut(id) {
        worker.handle_ends_until(newest_number);
    }
    let write = cluster.outbox().newest_write();
    let acknowledge = Deferred::Acknowledge(id, newest_number);
    cluster.outbox_mut().defer(write, acknowledge);
}

/// Ends the run. If it is not outstanding on this worker any more, only a `done` counts, see
/// [`Cluster::handle_late_done`].
fn handle_end(cluster: &mut Cluster, id: WorkerId, end: &FinishedRun) {
    let now_ms = cluster.clock().now_ms();
    if end.end.has_begun() {
        cluster.record_begun(&end.run);
    }
    let run = cluster.jobs().run(&end.run);
    if run.is_none_or(|run| run.worker() != id) {
        if end.end == RunEnd::Done {
            cluster.handle_late_done(end.run.task);
        }
        return;
    }
    if end.end == RunEnd::Refused
        && let Some(worker) = cluster.workers_mut().get_mut(id)
    {
        worker.back_off_until(now_ms + REJECTED_START_BACKOFF_MS);
    }
    cluster.end_run(end.run, RunResult::Ended(end.end), &end.checkpoint);
}

/// Sends orders again that may have been lost: starts after the first full report on a connection, stops also if they
/// take too long. Does nothing for a report that does not list the running tasks.
fn resend_orders(cluster: &mut Cluster, agent: AgentId, id: WorkerId, instance: &InstanceReport) {
    let Some(running) = &instance.running else {
        return;
    };
    let Some(worker) = cluster.workers_mut().get_mut(id) else {
        return;
    };
    let is_first = worker.record_full_report();
    let tasks = worker.runs().clone();
    let listed = running.iter().map(|listed| listed.run);
    let runs: FxHashSet<RunId> = listed.chain(instance.in_flight.iter().copied()).collect();
    let now_ms = cluster.clock().now_ms();
    for task in tasks {
        let Some(run) = cluster.view().run_at(id, &task).filter(|run| run.is_sent()) else {
            continue;
        };
        let order = RunId {
            task,
            attempt: run.attempt(),
        };
        match run.stop() {
            Some(stop) if is_stop_due(stop, agent, now_ms) => cluster.send_stop(order),
            None if is_first => resend_after_reconnect(cluster, order, runs.contains(&order)),
            _ => {}
        }
    }
}

/// Whether a stop has to be sent again: it was sent over another connection or not at all, or it takes too long.
fn is_stop_due(stop: StopOrder, agent: AgentId, now_ms: u64) -> bool {
    stop.sent_to != Some(agent) || now_ms >= stop.sent_ms + STOP_RETRY_MS
}

/// Sends the order for an outstanding run again after the first full report on a connection. A run whose job has ended,
/// or whose task is done, is stopped; otherwise its start is sent again if the report does not list the run.
fn resend_after_reconnect(cluster: &mut Cluster, order: RunId, is_present: bool) {
    let task = order.task;
    let Some(job) = cluster.jobs().get(&task.job) else {
        return;
    };
    let is_done = job.task(&task).is_some_and(Task::is_done);
    let is_superseded = is_done && job.step(task.step).is_some_and(|step| !step.gang);
    if job.has_ended() {
        cluster.send_stop_if_committed(order);
    } else if is_superseded {
        cluster.stop_single_run(order);
    } else if !is_present {
        cluster.push_start_order(order);
    }
}

/// Orders stops of the worker's unexpected runs. The worker gets no new starts until they have ended. `sent_ms` is the
/// report's time on the agent's clock.
fn stop_unexpected_runs(cluster: &mut Cluster, id: WorkerId, sent_ms: u64, reports_running: bool) {
    let Some(worker) = cluster.workers_mut().get_mut(id) else {
        return;
    };
    let stops = worker.unexpected_mut().stops(sent_ms, reports_running);
    if !stops.is_empty() {
        cluster.outbox_mut().orders_for(id).stop.extend(stops);
    }
}
