//! Check for idle jobs: no job may go without a run for 3 s while a task of it is ready, there is capacity for that
//! task twice over, and less than half of the service's capacity is in use. Times near a fault do not count.

use super::invariants::is_complete;
use super::node::Node;
use super::{ClientJob, Cluster};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{JobId, RunId, TaskName};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time that a job, or a long-running task, may be idle.
pub(super) const IDLE_MAX_MS: u64 = 3_000;
/// Time after a fault from which on a job may be idle.
const CALM_MS: u64 = 4_000;
/// Number of failed attempts after which a task is given up.
const RETRIES: usize = 3;

impl Cluster {
    /// Records a fault that lasts until then.
    pub(crate) fn record_fault(&mut self, until_ms: u64) {
        self.last_fault_ms = self.last_fault_ms.max(Some(until_ms));
    }

    /// Checks that no job, and no long-running task, has been idle for [`IDLE_MAX_MS`].
    pub(super) fn check_idle(&mut self) {
        if self
            .last_fault_ms
            .is_some_and(|fault_ms| self.now_ms < fault_ms + CALM_MS)
        {
            self.idle_since.clear();
            self.long_running_tasks.reset_idle();
            return;
        }
        self.check_idle_jobs();
        self.check_long_running_tasks();
    }

    fn check_idle_jobs(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            if !self.is_idle(id) {
                self.idle_since.remove(&id);
                continue;
            }
            let since_ms = *self.idle_since.entry(id).or_insert(self.now_ms);
            assert!(
                self.now_ms - since_ms < IDLE_MAX_MS,
                "job {id} has been idle since {since_ms} ms although there is capacity for it: {:?}; workers: {:?}",
                self.jobs[&id].spec,
                self.used_by_worker(&self.jobs[&id])
            );
        }
    }

    /// Whether the job has no run although a ready task of it has capacity.
    fn is_idle(&self, id: JobId) -> bool {
        let job = &self.jobs[&id];
        let is_closed =
            job.accepted_ms.is_none() || job.cancelled_ms.is_some() || job.ended_ms.is_some();
        if is_closed
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
        let due_repeats =
            (0..job.spec.repeat_count.max(1)).filter(|repeat| self.is_due(job, *repeat));
        due_repeats.into_iter().any(|repeat| {
            let is_ready = |step: &usize| self.is_step_ready(id, job, repeat, *step);
            (0..job.spec.stages.len())
                .filter(is_ready)
                .any(|step| self.has_capacity(id, job, repeat, step))
        })
    }

    /// Whether a task, or a gang, of the job has failed [`RETRIES`] times.
    fn is_given_up(&self, id: JobId, job: &ClientJob) -> bool {
        let mut failed_attempts: BTreeMap<TaskName, BTreeSet<u32>> = BTreeMap::new();
        for (task, history) in self.history_of(id) {
            let gang = job.spec.stages[task.step as usize].gang;
            let counted_task = if gang {
                TaskName { index: 0, ..*task }
            } else {
                *task
            };
            failed_attempts
                .entry(counted_task)
                .or_default()
                .extend(&history.failed_acknowledged);
        }
        failed_attempts
            .values()
            .any(|attempts| attempts.len() >= RETRIES)
    }

    fn is_due(&self, job: &ClientJob, repeat: u32) -> bool {
        let due_ms = job.spec.start_at_ms + u64::from(repeat) * job.spec.interval_ms;
        job.spec.repeat_count == 0 || self.wall_ms() >= due_ms
    }

    /// Whether the step is not done but all steps that it depends on are.
    fn is_step_ready(&self, id: JobId, job: &ClientJob, repeat: u32, step: usize) -> bool {
        let depends_on = &job.spec.stages[step].depends_on;
        let are_dependencies_done = depends_on
            .iter()
            .all(|dependency| self.step_done(id, job, repeat, *dependency as usize));
        are_dependencies_done && !self.step_done(id, job, repeat, step)
    }

    fn step_done(&self, id: JobId, job: &ClientJob, repeat: u32, step: usize) -> bool {
        let step_of_job = &job.spec.stages[step];
        is_complete(step_of_job, self.tasks_done(id, repeat, step, step_of_job))
    }

    /// Whether there is free capacity for twice the step's next start (a task or a gang), and less than half of the
    /// service's CPU capacity is in use.
    fn has_capacity(&self, id: JobId, job: &ClientJob, repeat: u32, number: usize) -> bool {
        let used_cpu: u64 = self.service_nodes(job).map(|node| node.used().cpu).sum();
        let total_cpu: u64 = self.service_nodes(job).map(|node| node.capacity.cpu).sum();
        let step = &job.spec.stages[number];
        let wanted_tasks = if step.gang {
            u64::from(step.count) * 2
        } else {
            2
        };
        2 * used_cpu < total_cpu && self.fitting_tasks(id, job, repeat, number) >= wanted_tasks
    }

    /// Workers that are up, of the service to which the job's route leads.
    fn service_nodes(&self, job: &ClientJob) -> impl Iterator<Item = &Node> {
        let mut routes = self.config.routes.iter();
        let backend = routes
            .find(|route| route.name == job.route)
            .map(|route| &route.backend);
        let nodes = self.nodes.iter();
        nodes.filter(move |node| Some(&node.backend) == backend && node.up)
    }

    /// For a failed check: the workers that are up, with their labels and the resources in use.
    fn used_by_worker(&self, job: &ClientJob) -> Vec<(&str, &[String], Resources)> {
        let nodes = self.service_nodes(job);
        nodes
            .map(|node| (node.name.as_str(), &node.labels[..], node.used()))
            .collect()
    }

    /// Number of tasks of the step that its service's workers could take now.
    pub(super) fn fitting_tasks(
        &self,
        id: JobId,
        job: &ClientJob,
        repeat: u32,
        number: usize,
    ) -> u64 {
        let step = &job.spec.stages[number];
        let has_label =
            |labels: &[String]| step.requirements.is_empty() || labels.contains(&step.requirements);
        let is_of_step = |run: &&RunId| {
            (run.task.job, run.task.repeat, run.task.step as usize) == (id, repeat, number)
        };
        let fitting_tasks_on = |node: &Node| {
            let count = fits(node.capacity.minus(&node.used()), step.resources());
            if step.anti_affinity == 0 {
                return count;
            }
            let tasks_there = node.running.keys().filter(is_of_step).count() as u64;
            count.min(u64::from(step.anti_affinity).saturating_sub(tasks_there))
        };
        self.service_nodes(job)
            .filter(|node| node.connected && node.drain_end_ms.is_none() && has_label(&node.labels))
            .map(fitting_tasks_on)
            .sum()
    }
}

/// Number of tasks that fit into the free resources.
fn fits(free: Resources, task: Resources) -> u64 {
    let fitting_count = |free: u64, task: u64| free.checked_div(task).unwrap_or(u64::MAX);
    fitting_count(free.cpu, task.cpu)
        .min(fitting_count(free.mem_mb, task.mem_mb))
        .min(fitting_count(free.gpu, task.gpu))
}
