//! Worker instances come to be known, end, or expire, and their runs with them.

use crate::cluster::Cluster;
use crate::run_result::RunResult;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::internal::InstanceReport;
use indigofold_protocol::task::RunId;

impl Cluster {
    /// Applies what a report says about an instance; its leases may be valid from now on.
    pub(crate) fn apply_instance_report(&mut self, id: WorkerId, report: &InstanceReport) {
        let now_ms = self.clock.now_ms();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.answered(now_ms);
        let before = worker.backend().to_owned();
        let changed = worker.apply_report(now_ms, report) | worker.revive();
        if changed {
            self.regroup(&before);
            self.regroup(&report.backend);
        }
    }

    /// An instance is known to be on this machine: that is written, once.
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

    /// Takes over the row of an instance: on this machine it was reported.
    pub(crate) fn restore_instance(&mut self, instance: &str, node_name: String) {
        let now_ms = self.clock.now_ms();
        let id = self.workers.get_or_register(instance, now_ms);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.set_recorded_node(&node_name);
        }
        self.workers.set_node(id, node_name);
    }

    /// An instance has ended: nothing of it runs.
    pub(crate) fn instance_ended(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let backend = worker.backend().to_owned();
        for run in self.runs_of(id, worker) {
            self.end_run(run, RunResult::Lost, "");
        }
        self.forget_instance(id);
        self.regroup(&backend);
    }

    /// The runs of instances are lost whose leases have expired without a report.
    pub(crate) fn give_up_expired(&mut self) {
        let now_ms = self.clock.now_ms();
        for id in self.workers.newly_expired(now_ms) {
            self.expire_instance(id, now_ms);
        }
        for id in self.workers.long_expired(now_ms) {
            self.forget_instance(id);
        }
    }

    fn expire_instance(&mut self, id: WorkerId, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let backend = worker.backend().to_owned();
        for run in self.runs_of(id, worker) {
            if self.jobs.run(&run).is_none() {
                // Stopped before its order had left, as another member of its gang was lost.
                continue;
            }
            if let Some(worker) = self.workers.get_mut(id) {
                worker.unexpected_mut().add_lost(run);
            }
            self.end_run(run, RunResult::Lost, "");
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.expire(now_ms);
        }
        self.regroup(&backend);
    }

    /// Outstanding runs of a worker.
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

    /// An instance has ended: its row is deleted.
    fn forget_instance(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get(id)
            && worker.is_recorded()
        {
            self.outbox
                .instance_changed(worker.instance().to_owned(), None);
        }
        self.workers.forget(id);
    }
}
