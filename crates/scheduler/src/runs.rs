//! Lifecycle of a run: placed, ordered, stopped, ended.

use crate::kinds::Selection;
use crate::outbox::Deferred;
use crate::queue::StepRef;
use crate::run_result::RunResult;
use crate::state::ClusterState;
use crate::step_traits::StepTraits;
use crate::task::{Run, StopOrder, Task};
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::internal::StartOrder;
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::{RunId, TaskName};
use indigofold_protocol::worker::RunEnd;

/// Where and how a run is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the step is bound to the worker's kind.
    pub bound: bool,
    /// Factor on the run time there, for data or a gang on other racks.
    pub remote_factor: f64,
}

impl Placement {
    /// A run on the selected worker.
    pub(crate) fn new(selection: &Selection, remote_factor: f64) -> Self {
        Placement {
            worker: selection.worker,
            bound: selection.bound,
            remote_factor,
        }
    }

    /// The run, placed now and not ordered yet.
    fn run(&self, attempt: u32, resumed: bool, now_ms: u64) -> Run {
        Run {
            attempt,
            worker: self.worker,
            sent: false,
            sent_ms: 0,
            began_ms: None,
            stop: None,
            placed_ms: now_ms,
            resumed,
            bound: self.bound,
            remote_factor: self.remote_factor,
            percent: 0,
            percent_ms: now_ms,
            listed_ms: now_ms,
        }
    }
}

impl ClusterState {
    /// The task's run, if it has this number and is on this worker.
    pub(crate) fn run_on(&mut self, run: &RunId, worker: WorkerId) -> Option<&mut Run> {
        self.run_mut(run).filter(|present| present.worker == worker)
    }

    /// A run that has not ended.
    pub(crate) fn run_mut(&mut self, run: &RunId) -> Option<&mut Run> {
        self.jobs
            .get_mut(&run.task.job)?
            .task_mut(&run.task)?
            .run_mut(run.attempt)
    }

    /// Places a run of a waiting task, or a speculative run; its order leaves once this is committed.
    pub(crate) fn place_run(&mut self, task: TaskName, attempt: u32, placement: Placement) {
        let (id, now_ms) = (task.job, self.now_ms);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(resources) = job
            .step(task.step)
            .map(indigofold_protocol::job::Step::resources)
        else {
            return;
        };
        let Some(state) = job.step_state_mut(StepRef::of(&task)) else {
            return;
        };
        if state.waiting.remove(&task.index) {
            state.end_wait(task.index, now_ms);
        }
        let Some(entry) = state.tasks.get_mut(task.index as usize) else {
            return;
        };
        entry.last_attempt = attempt;
        let resumed = !entry.checkpoint.is_empty();
        let slot = if entry.run.is_none() {
            &mut entry.run
        } else {
            &mut entry.speculative_run
        };
        *slot = Some(placement.run(attempt, resumed, now_ms));
        let first = job.run_placed();
        if let Some(worker) = self.workers.get_mut(placement.worker) {
            worker.occupy(task, &resources, placement.bound);
            worker.health.placed(now_ms);
        }
        if first {
            self.no_longer_pending(id);
        }
        self.set_dirty(id);
        self.outbox.defer(
            self.outbox.present_write(),
            Deferred::Start(RunId { task, attempt }),
        );
    }

    /// The run's placement is committed: its order leaves, unless it is not wanted any more or its worker cannot be
    /// reached; then it never started.
    pub(crate) fn send_start(&mut self, run: RunId) {
        let now_ms = self.now_ms;
        let ended = self
            .jobs
            .get(&run.task.job)
            .is_none_or(|job| job.end.is_some());
        let Some(present) = self.run_mut(&run).filter(|present| !present.sent) else {
            return;
        };
        let (worker, stopped) = (present.worker, present.stop.is_some());
        let reachable = self
            .workers
            .get(worker)
            .is_some_and(|worker| worker.order_connection().is_some());
        if !reachable || stopped || ended {
            return self.finish_run(run, RunResult::NotStarted, "");
        }
        if let Some(present) = self.run_mut(&run) {
            (present.sent, present.sent_ms) = (true, now_ms);
        }
        self.order_start(run);
    }

    /// Sends (again) the order of a run whose placement is committed.
    pub(crate) fn order_start(&mut self, run: RunId) {
        let Some(worker) = self.run_mut(&run).map(|run| run.worker) else {
            return;
        };
        let Some(job) = self.jobs.get(&run.task.job) else {
            return;
        };
        let (Some(step), Some(task)) = (job.step(run.task.step), job.task(&run.task)) else {
            return;
        };
        if task.done || job.end.is_some() {
            return;
        }
        let (resources, checkpoint) = (step.resources(), task.checkpoint.clone());
        let order = StartOrder {
            run,
            resources,
            spec: job.definition.spec.spec.clone(),
            checkpoint,
        };
        self.outbox.orders_for(worker).start.push(order);
    }

    /// Stops a run at once, and with a gang's member all others. A run whose order has not left ends with that.
    pub(crate) fn stop_run(&mut self, run: RunId) {
        let at = StepRef::of(&run.task);
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        if !job.step(at.step).is_some_and(|step| step.gang) {
            return self.stop_one(run);
        }
        let members = job
            .step_state(at)
            .map_or(0, |state| state.tasks.len() as u32);
        (0..members).for_each(|index| self.stop_task(at.task(index)));
    }

    /// Stops all runs of a task at once.
    pub(crate) fn stop_task(&mut self, task: TaskName) {
        let entry = self.jobs.get(&task.job).and_then(|job| job.task(&task));
        let attempts: Vec<u32> = entry
            .into_iter()
            .flat_map(Task::runs)
            .map(|run| run.attempt)
            .collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.stop_one(RunId { task, attempt }));
    }

    /// Stops one run at once; if its order has not left, it ends with that.
    pub(crate) fn stop_one(&mut self, order: RunId) {
        let Some(run) = self.run_mut(&order) else {
            return;
        };
        if !run.sent {
            return self.finish_run(order, RunResult::NotStarted, "");
        }
        if run.stop.is_none() {
            run.stop = Some(StopOrder {
                sent_to: None,
                sent_ms: 0,
            });
            self.send_stop(order);
        }
    }

    /// Stops a run of a job that has ended, once that end is committed.
    pub(crate) fn stop_ended(&mut self, order: RunId) {
        let Some(run) = self.run_mut(&order) else {
            return;
        };
        if !run.sent {
            return self.finish_run(order, RunResult::NotStarted, "");
        }
        self.outbox
            .defer(self.outbox.present_write(), Deferred::Stop(order));
    }

    /// Sends a stop order, if the worker can be reached; otherwise its next report brings it up again.
    pub(crate) fn send_stop(&mut self, order: RunId) {
        let now_ms = self.now_ms;
        let Some(run) = self.run_mut(&order) else {
            return;
        };
        let worker = run.worker;
        let agent = self.workers.get(worker).and_then(Worker::order_connection);
        if let Some(run) = self.run_mut(&order) {
            run.stop = Some(StopOrder {
                sent_to: agent,
                sent_ms: now_ms,
            });
        }
        if agent.is_some() {
            self.outbox.orders_for(worker).stop.push(order);
        }
    }

    /// A run has ended.
    pub(crate) fn finish_run(&mut self, run: RunId, result: RunResult, checkpoint: &str) {
        let task = run.task;
        let at = StepRef::of(&task);
        let Some(traits) = self.view().traits(at) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let ended = job.end.is_some();
        let Some(entry) = job.task_mut(&task) else {
            return;
        };
        let Some(run) = entry.take_run(run.attempt) else {
            return;
        };
        let (done, runs_on) = (entry.done, entry.run.is_some());
        self.store_checkpoint(&task, checkpoint);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.run_finished();
        }
        self.set_dirty(task.job);
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.release(&task, &traits.resources, run.bound);
        }
        self.services.entry(&traits.service).request_pass();
        self.learn_from_run(&task, &run, result, &traits);
        self.record_run_latency(&task, &run, result);
        match result {
            _ if ended => self.close_job_if_idle(task.job),
            _ if done => self.close_repeat_if_finished(task.job, task.repeat),
            RunResult::Ended(RunEnd::Done) if !traits.long_running => self.run_done(task),
            RunResult::Ended(RunEnd::Failed) if !traits.long_running => {
                self.task_failed(task, &run, &traits);
            }
            _ if runs_on => {}
            _ => self.requeue_task(task),
        }
    }

    /// A run has ended `done`: its task is done, and a speculative run beside it is stopped.
    fn run_done(&mut self, task: TaskName) {
        self.task_done(task);
        let step = self.jobs.step(StepRef::of(&task));
        if step.is_some_and(|step| !step.gang) {
            self.stop_task(task);
        }
        self.close_repeat_if_finished(task.job, task.repeat);
    }

    /// Counts a failure; the last one allowed fails the job.
    fn task_failed(&mut self, task: TaskName, run: &Run, traits: &StepTraits) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let limit = job.terms.max_retries.max(1);
        let Some(state) = job.step_state_mut(StepRef::of(&task)) else {
            return;
        };
        let failures = state.record_failure(task.index, run, traits.gang);
        if failures >= limit {
            self.record_late_end(&task, JobState::Failed);
            return self.end_job(task.job, JobState::Failed);
        }
        let runs_on = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.task(&task))
            .is_some_and(|t| t.run.is_some());
        if !runs_on {
            self.requeue_task(task);
        }
    }

    /// Stores a checkpoint of a run; any member's serves for its gang, and the newest stays. Returns whether it is new.
    pub(crate) fn store_checkpoint(&mut self, task: &TaskName, checkpoint: &str) -> bool {
        let Some(job) = self
            .jobs
            .get_mut(&task.job)
            .filter(|_| !checkpoint.is_empty())
        else {
            return false;
        };
        let gang = job.step(task.step).is_some_and(|step| step.gang);
        job.step_state_mut(StepRef::of(task))
            .is_some_and(|state| state.store_checkpoint(task.index, gang, checkpoint))
    }

    /// A `done` of a run that counted as lost: it counts while the task is not done.
    pub(crate) fn handle_late_done(&mut self, task: TaskName) {
        let Some(job) = self.jobs.get(&task.job).filter(|job| job.end.is_none()) else {
            return;
        };
        let Some(step) = job.step(task.step).filter(|step| !step.long_running) else {
            return;
        };
        let gang = step.gang;
        let Some(state) = job.step_state(StepRef::of(&task)) else {
            return;
        };
        if state
            .tasks
            .get(task.index as usize)
            .is_none_or(|entry| entry.done)
        {
            return;
        }
        let members = state.members(task.index, gang);
        self.task_done(task);
        members.for_each(|index| self.stop_task(StepRef::of(&task).task(index)));
        self.close_repeat_if_finished(task.job, task.repeat);
    }

    /// An instance has ended: nothing of it runs.
    pub(crate) fn instance_ended(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let (backend, runs) = (worker.backend.clone(), worker.runs.clone());
        for task in runs {
            if let Some(attempt) = self.view().run_at(id, &task).map(|run| run.attempt) {
                self.finish_run(RunId { task, attempt }, RunResult::Lost, "");
            }
        }
        self.forget_instance(id);
        self.regroup(&backend);
    }

    /// The runs of instances are lost whose leases have expired without a report.
    pub(crate) fn give_up_expired(&mut self) {
        for id in self.workers.newly_expired(self.now_ms) {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let (backend, tasks) = (worker.backend.clone(), worker.runs.clone());
            for task in tasks {
                let Some(run) = self.view().run_at(id, &task).map(|run| RunId {
                    task,
                    attempt: run.attempt,
                }) else {
                    continue;
                };
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.unexpected.add_lost(run);
                }
                self.finish_run(run, RunResult::Lost, "");
            }
            if let Some(worker) = self.workers.get_mut(id) {
                worker.expire(self.now_ms);
            }
            self.regroup(&backend);
        }
        for id in self.workers.long_expired(self.now_ms) {
            self.forget_instance(id);
        }
    }

    /// Workers of the service have come, ended or changed.
    pub(crate) fn regroup(&mut self, backend: &str) {
        if !backend.is_empty() {
            self.services.entry(backend).request_regroup();
        }
    }
}
