//! Execution of runs on the workers of the simulated cluster.

use super::node::{ActiveRun, GANG_MS, Node};
use super::{Cluster, TaskWork};
use indigofold_protocol::job::Step;
use indigofold_protocol::task::{JobId, RunId, TaskName};
use indigofold_protocol::worker::RunEnd;

impl Cluster {
    /// Indexes of the nodes that have a run.
    pub(crate) fn busy_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| !self.nodes[*node].running.is_empty())
            .collect()
    }

    /// Number of runs of the job that are running on workers.
    pub(crate) fn run_count(&self, job: JobId) -> usize {
        let running = self.nodes.iter().flat_map(|node| node.running.keys());
        running.filter(|run| run.task.job == job).count()
    }

    /// Sets the run time of this task's runs, and the number of runs that fail before one succeeds.
    pub(crate) fn set_work(&mut self, task: TaskName, run_ms: u64, failures: u32) {
        self.work.insert(task, TaskWork { run_ms, failures });
    }

    pub(super) fn work_of(&self, task: TaskName, step: &Step) -> TaskWork {
        self.work.get(&task).copied().unwrap_or(TaskWork {
            run_ms: step.estimate_ms,
            failures: 0,
        })
    }

    pub(super) fn run_node(&mut self, node: usize) {
        let now_ms = self.now_ms;
        if now_ms >= self.nodes[node].leased_until_ms {
            let expired_runs: Vec<RunId> = self.nodes[node].running.keys().copied().collect();
            expired_runs
                .into_iter()
                .for_each(|run| self.nodes[node].end(run, RunEnd::Expired, String::new()));
        }
        if let Some(until_ms) = self.nodes[node].drain_end_ms
            && now_ms >= until_ms
        {
            self.nodes[node].crash(now_ms, 3_000);
        }
        let runs: Vec<(RunId, ActiveRun)> = self.nodes[node]
            .running
            .iter()
            .map(|(run, active)| (*run, active.clone()))
            .collect();
        for (run, active) in runs {
            self.advance_run(node, run, &active);
        }
    }

    fn advance_run(&mut self, node: usize, run: RunId, active: &ActiveRun) {
        let now_ms = self.now_ms;
        let Some(step) = self.jobs[&run.task.job]
            .spec
            .stages
            .get(run.task.step as usize)
            .cloned()
        else {
            return;
        };
        if active.stop_ms.is_some_and(|stop| now_ms >= stop) {
            let run_duration_ms = active.began_ms.map_or(0, |began| now_ms - began);
            self.stopped_core_ms +=
                run_duration_ms as f64 * active.order.resources.cpu as f64 / 1_000.0;
            return self.nodes[node].end(run, RunEnd::Stopped, active.checkpoint(now_ms));
        }
        let Some(began_ms) = active.began_ms else {
            return self.wait_for_gang(node, run, active, step.count);
        };
        let TaskWork { run_ms, failures } = self.work_of(run.task, &step);
        if step.long_running || self.nodes[node].hangs || now_ms < began_ms + run_ms {
            return;
        }
        let failed_attempts = self
            .history
            .get(&run.task)
            .map_or(0, |h| h.failed_acknowledged.len() as u32);
        if self.nodes[node].fails || failed_attempts < failures {
            self.nodes[node].end(run, RunEnd::Failed, String::new());
            return self.break_gang(run, step.gang);
        }
        self.nodes[node].end(run, RunEnd::Done, String::new());
        self.history.entry(run.task).or_default().done = true;
        if step.gang {
            self.end_gang(run);
        }
    }

    /// Nodes and IDs of all current runs of the same gang attempt, including `run`.
    pub(super) fn gang_members(&self, run: RunId) -> Vec<(usize, RunId)> {
        let is_same_gang = |other: &RunId| {
            other.attempt == run.attempt
                && (other.task.job, other.task.repeat, other.task.step)
                    == (run.task.job, run.task.repeat, run.task.step)
        };
        let members_on = |(node, state): (usize, &Node)| {
            let node_members: Vec<(usize, RunId)> = state
                .running
                .keys()
                .filter(|r| is_same_gang(r))
                .map(|r| (node, *r))
                .collect();
            node_members
        };
        self.nodes.iter().enumerate().flat_map(members_on).collect()
    }

    /// Begins the work of a gang once all its members are present; ends a member that has waited too long alone.
    fn wait_for_gang(&mut self, node: usize, run: RunId, active: &ActiveRun, count: u32) {
        let members = self.gang_members(run);
        if members.len() as u32 == count {
            for (node, run) in members {
                if let Some(active) = self.nodes[node].running.get_mut(&run) {
                    active.began_ms = Some(self.now_ms);
                }
            }
        } else if self.now_ms >= active.arrived_ms + GANG_MS {
            assert!(
                !self.fault_free,
                "{} waited for the other gang members in vain, without any fault",
                run.task
            );
            self.nodes[node].end(run, RunEnd::GangIncomplete, String::new());
        }
    }

    fn end_gang(&mut self, run: RunId) {
        for (node, member) in self.gang_members(run) {
            self.nodes[node].end(member, RunEnd::Done, String::new());
            self.history.entry(member.task).or_default().done = true;
        }
    }

    fn break_gang(&mut self, run: RunId, gang: bool) {
        if gang {
            for (node, member) in self.gang_members(run) {
                self.nodes[node].end(member, RunEnd::GangMemberEnded, String::new());
            }
        }
    }
}
