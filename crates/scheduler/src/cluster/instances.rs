//! Worker instances: registration, end and expiry, with the effects on their runs.

use crate::cluster::Cluster;
use crate::run_result::RunResult;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::internal::InstanceReport;
use indigofold_protocol::task::RunId;

impl Cluster {
    /// Applies a report of an instance. The answer to it lets the node agent extend the instance's run leases, so their
    /// expiry is counted from now.
    pub(crate) fn apply_instance_report(&mut self, id: WorkerId, report: &InstanceReport) {
        let now_ms = self.clock.now_ms();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.record_answer(now_ms);
        let former_backend = worker.backend().to_owned();
        let has_changed = worker.apply_report(now_ms, report) | worker.clear_expiry();
        if has_changed {
            self.regroup(&former_backend);
            self.regroup(&report.backend);
        }
    }

    /// Records on which machine an instance is; a row is written if it is new or differs.
    pub(crate) fn record_instance(&mut self, id: WorkerId, node_name: &str) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.set_recorded_node(node_name) {
            let instance = worker.instance().to_owned();
            self.outbox
                .instance_changed(instance, Some(node_name.to_owned()));
        }
    }

    /// Restores an instance from its row, which names the machine on which it was reported.
    pub(crate) fn restore_instance(&mut self, instance: &str, node_name: String) {
        let now_ms = self.clock.now_ms();
        let id = self.workers.get_or_register(instance, now_ms);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.set_recorded_node(&node_name);
        }
        self.workers.set_node(id, node_name);
    }

    /// Handles the end of an instance: its runs are lost, and the instance is removed.
    pub(crate) fn instance_ended(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let backend = worker.backend().to_owned();
        for run in self.runs_of(id, worker) {
            self.end_run(run, RunResult::Lost, "");
        }
        self.remove_instance(id);
        self.regroup(&backend);
    }

    /// Expires instances that sent no report until all their leases had expired: their runs are lost. Removes instances
    /// that expired long ago.
    pub(crate) fn expire_instances(&mut self) {
        let now_ms = self.clock.now_ms();
        for id in self.workers.newly_expired(now_ms) {
            self.expire_instance(id, now_ms);
        }
        for id in self.workers.long_expired(now_ms) {
            self.remove_instance(id);
        }
    }

    fn expire_instance(&mut self, id: WorkerId, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let backend = worker.backend().to_owned();
        for run in self.runs_of(id, worker) {
            if self.jobs.run(&run).is_none() {
                // Ended in this loop: the loss of another gang member stopped it before its start order was sent.
                continue;
            }
            if let Some(worker) = self.workers.get_mut(id) {
                worker.unexpected_mut().add_lost(run);
            }
            self.end_run(run, RunResult::Lost, "");
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_expiry(now_ms);
        }
        self.regroup(&backend);
    }

    /// All outstanding runs of a worker.
    fn runs_of(&self, id: WorkerId, worker: &Worker) -> Vec<RunId> {
        let runs = worker.runs().iter().filter_map(|task| {
            let attempt = self.view().run_at(id, task)?.attempt();
            Some(RunId {
                task: *task,
                attempt,
            })
        });
        runs.collect()
    }

    /// Removes an instance and deletes its row.
    fn remove_instance(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get(id)
            && worker.is_recorded()
        {
            self.outbox
                .instance_changed(worker.instance().to_owned(), None);
        }
        self.workers.forget(id);
    }
}
