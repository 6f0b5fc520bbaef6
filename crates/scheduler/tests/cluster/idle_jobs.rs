//! Check for idle jobs: no job may go without a run for 3 s while a task of it is ready, there is capacity for that
//! task twice over, and less than half of the service's capacity is in use.

use super::invariants::is_complete;
use super::{ClientJob, Cluster};
use indigofold_protocol::job::{Resources, Step};
use indigofold_protocol::task::{JobId, TaskName};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time that a job may be idle.
const IDLE_MAX_MS: u64 = 3_000;
/// Number of failed attempts after which a task is given up.
const RETRIES: usize = 3;

impl Cluster {
    /// Checks that no job has been idle for [`IDLE_MAX_MS`].
    pub(super) fn check_idle(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            if !self.is_idle(id) {
                self.idle_since.remove(&id);
                continue;
            }
            let since_ms = *self.idle_since.entry(id).or_insert(self.now_ms);
            assert!(
                self.now_ms - since_ms < IDLE_MAX_MS,
                "job {id} has been idle since {since_ms} ms although there is capacity for it"
            );
        }
    }

    /// Whether the job has no run although a ready task of it has capacity.
    fn is_idle(&self, id: JobId) -> bool {
        let job = &self.jobs[&id];
        let ended =
            job.accepted_ms.is_none() || job.cancelled_ms.is_some() || job.ended_ms.is_some();
        if ended
            || self
                .nodes
                .iter()
                .any(|node| node.running.keys().any(|run| run.task.job == id))
        {
            return false;
        }
        if self.is_given_up(id, job) {
            return false;
        }
        let due = (0..job.spec.repeat_count.max(1)).filter(|repeat| self.is_due(job, *repeat));
        due.into_iter().any(|repeat| {
            let is_ready = |step: &usize| self.is_step_ready(id, job, repeat, *step);
            (0..job.spec.stages.len())
                .filter(is_ready)
                .any(|step| self.has_capacity(job, &job.spec.stages[step]))
        })
    }

    /// Whether a task, or a gang, of the job has failed [`RETRIES`] times.
    fn is_given_up(&self, id: JobId, job: &ClientJob) -> bool {
        let mut failed: BTreeMap<TaskName, BTreeSet<u32>> = BTreeMap::new();
        for (task, history) in self.history.iter().filter(|(task, _)| task.job == id) {
            let gang = job.spec.stages[task.step as usize].gang;
            let counted = if gang {
                TaskName { index: 0, ..*task }
            } else {
                *task
            };
            failed
                .entry(counted)
                .or_default()
                .extend(&history.failed_acknowledged);
        }
        failed.values().any(|attempts| attempts.len() >= RETRIES)
    }

    fn is_due(&self, job: &ClientJob, repeat: u32) -> bool {
        let due_ms = job.spec.start_at_ms + u64::from(repeat) * job.spec.interval_ms;
        job.spec.repeat_count == 0 || self.wall_ms() >= due_ms
    }

    /// Whether the step is not done but all steps that it depends on are.
    fn is_step_ready(&self, id: JobId, job: &ClientJob, repeat: u32, step: usize) -> bool {
        let depends_on = &job.spec.stages[step].depends_on;
        let before = depends_on
            .iter()
            .all(|before| self.step_done(id, job, repeat, *before as usize));
        before && !self.step_done(id, job, repeat, step)
    }

    fn step_done(&self, id: JobId, job: &ClientJob, repeat: u32, step: usize) -> bool {
        let step_of_job = &job.spec.stages[step];
        is_complete(step_of_job, self.tasks_done(id, repeat, step, step_of_job))
    }

    /// Whether there is free capacity for twice the step's next start (a task or a gang), and less than half of the
    /// service's CPU capacity is in use.
    fn has_capacity(&self, job: &ClientJob, step: &Step) -> bool {
        let backend = self
            .config
            .routes
            .iter()
            .find(|r| r.name == job.route)
            .map(|r| &r.backend);
        let of_service = || {
            self.nodes
                .iter()
                .filter(|node| Some(&node.backend) == backend && node.up)
        };
        let used: u64 = of_service().map(|node| node.used().cpu).sum();
        let all: u64 = of_service().map(|node| node.capacity.cpu).sum();
        let labelled =
            |labels: &[String]| step.requirements.is_empty() || labels.contains(&step.requirements);
        let fitting = of_service()
            .filter(|node| node.connected && node.drain_end_ms.is_none() && labelled(&node.labels))
            .map(|node| fits(node.capacity.minus(&node.used()), step.resources()))
            .map(|count| {
                if step.anti_affinity > 0 {
                    count.min(u64::from(step.anti_affinity))
                } else {
                    count
                }
            });
        let wanted = if step.gang {
            u64::from(step.count) * 2
        } else {
            2
        };
        2 * used < all && fitting.sum::<u64>() >= wanted
    }
}

/// Number of tasks that fit into the free resources.
fn fits(free: Resources, task: Resources) -> u64 {
    let by = |free: u64, task: u64| free.checked_div(task).unwrap_or(u64::MAX);
    by(free.cpu, task.cpu)
        .min(by(free.mem_mb, task.mem_mb))
        .min(by(free.gpu, task.gpu))
}
