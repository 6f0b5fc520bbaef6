//! A job and its progress. Submodules: `begin` (whether a task of it has begun), `prospects` (queue positions of its steps),
//! `restored` (a job read from stored rows).

mod begin;
mod prospects;
mod restored;

use crate::api::WriteId;
use crate::definition::{Definition, JobEnd, Terms};
use crate::jobs::repetition::Repetition;
use crate::jobs::run::Run;
use crate::jobs::step::StepState;
use crate::jobs::task::Task;
use crate::kinds::Class;
use crate::queue::StepRef;
use crate::step_traits::StepTraits;
use crate::worker::WorkerId;
use indigofold_protocol::job::{JobSpec, Step};
use indigofold_protocol::task::{JobId, RunId, TaskName};
use std::collections::BTreeMap;

/// Maximum number of tasks in the open repetitions of one job; one repetition may always be open, however many tasks it has.
const OPEN_TASKS_PER_JOB_MAX: usize = 10_000;
/// Maximum number of workers remembered as having failed tasks of one job.
const FAILED_ON_MAX: usize = 4;

/// A job, from its acceptance until its state is removed after its end.
#[derive(Debug)]
pub(crate) struct Job {
    /// The job as it was accepted: its spec, route, and the service and terms at that time.
    definition: Definition,
    /// Service that runs the job's tasks under the current configuration.
    service: String,
    /// Terms of the job's route under the current configuration.
    terms: Terms,
    /// Longest chain of estimated work from each step to the end of the job, in milliseconds.
    chain_ms: Vec<u64>,
    /// Expected run time of a task of each step, in milliseconds.
    run_ms: Vec<u64>,
    /// Value of completing the job within its latency target, relative to the mean job of its route.
    value: f64,
    /// Repetitions that are due and have not ended.
    repeats: BTreeMap<u32, Repetition>,
    /// Number of the first repetition that has not been opened; lower ones that are not in `repeats` have ended.
    next_repeat: u32,
    /// How and when the job ended; `None` while it is open.
    end: Option<JobEnd>,
    /// Whether a worker has begun a task of the job, as far as reports or the stored rows have shown. Once set, it stays.
    begun: bool,
    /// Whether the job's rows, as last written, show that it has begun.
    begun_in_rows: bool,
    /// Number of the job's runs that have not ended.
    outstanding_count: u32,
    /// Workers on which tasks of the job have failed, at most [`FAILED_ON_MAX`].
    failed_on: Vec<WorkerId>,
    /// The newest write that contains a change of the job.
    last_write: WriteId,
    /// When the job's rows were last written, on the monotonic clock.
    written_at_ms: u64,
}

/// A run that has not ended, and its worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingRun {
    /// The run's ID.
    pub run: RunId,
    /// The worker on which it is placed.
    pub worker: WorkerId,
}

impl Job {
    /// Creates a newly accepted job, with the client's estimates as its expected run times.
    pub(crate) fn new(definition: Definition) -> Self {
        Job {
            service: definition.service.clone(),
            terms: definition.terms,
            chain_ms: prospects::longest_chains(&definition.spec.stages, |_, step| {
                step.estimate_ms
            }),
            run_ms: definition
                .spec
                .stages
                .iter()
                .map(|step| step.estimate_ms)
                .collect(),
            value: 1.0,
            definition,
            repeats: BTreeMap::new(),
            next_repeat: 0,
            end: None,
            begun: false,
            begun_in_rows: false,
            outstanding_count: 0,
            failed_on: Vec::new(),
            last_write: WriteId(0),
            written_at_ms: 0,
        }
    }

    /// The job as it was accepted.
    pub(crate) fn definition(&self) -> &Definition {
        &self.definition
    }

    /// Name of the route by which the job was submitted.
    pub(crate) fn route(&self) -> &str {
        &self.definition.route
    }

    /// Service that runs the job's tasks under the current configuration.
    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Terms of the job's route under the current configuration.
    pub(crate) fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Descriptions of the job's steps; empty once [`discard_progress`](Self::discard_progress) was called.
    pub(crate) fn steps(&self) -> &[Step] {
        &self.definition.spec.stages
    }

    /// Repetitions that are due and have not ended, with their numbers.
    pub(crate) fn repeats(&self) -> impl Iterator<Item = (u32, &Repetition)> {
        self.repeats
            .iter()
            .map(|(number, repeat)| (*number, repeat))
    }

    /// A repetition that is due and has not ended.
    pub(crate) fn repeat(&self, number: u32) -> Option<&Repetition> {
        self.repeats.get(&number)
    }

    /// Number of the first repetition that has not been opened.
    pub(crate) fn next_repeat(&self) -> u32 {
        self.next_repeat
    }

    /// Whether the next repetition may be opened once it is due: the job is open, has repetitions left, and few enough
    /// are open.
    pub(crate) fn may_open_repeat(&self) -> bool {
        let (open_repeats, has_further_repeats) =
            (self.repeats.len(), self.next_repeat < self.repeat_total());
        self.end.is_none() && has_further_repeats && open_repeats < self.repeats_open_max()
    }

    /// How and when the job ended; `None` while it is open.
    pub(crate) fn end(&self) -> Option<JobEnd> {
        self.end
    }

    /// Whether the job has completed, failed or been cancelled.
    pub(crate) fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Whether any run of the job has not ended.
    pub(crate) fn has_outstanding_runs(&self) -> bool {
        self.outstanding_count > 0
    }

    /// The newest write that contains a change of the job.
    pub(crate) fn last_write(&self) -> WriteId {
        self.last_write
    }

    /// When the job's rows were last written, on the monotonic clock.
    pub(crate) fn written_at_ms(&self) -> u64 {
        self.written_at_ms
    }

    /// Records the newest write that contains a change of the job.
    pub(crate) fn set_last_write(&mut self, write: WriteId) {
        self.last_write = write;
    }

    /// Records that the job's rows are being written now, by this write. Rows that are the first to show that the job has
    /// begun count as a change of the job.
    pub(crate) fn set_written(&mut self, write: WriteId, now_ms: u64) {
        self.written_at_ms = now_ms;
        if self.has_unwritten_begin() {
            self.begun_in_rows = true;
            self.last_write = write;
        }
    }

    /// Sets the value of completing the job within its latency target, relative to the mean job of its route.
    pub(crate) fn set_value(&mut self, value: f64) {
        self.value = value;
    }

    /// Moves the job to this service and these terms. Outstanding runs go on where they are.
    pub(crate) fn reroute(&mut self, service: &str, terms: Terms) {
        service.clone_into(&mut self.service);
        self.terms = terms;
    }

    /// Opens the next repetition, which was due at `due_ms` of the monotonic clock; returns its number.
    pub(crate) fn open_repeat(&mut self, due_ms: i64) -> u32 {
        let number = self.next_repeat;
        self.next_repeat += 1;
        self.repeats.insert(number, self.fresh_repeat(due_ms));
        number
    }

    /// Removes a repetition if all its tasks are done and no run is outstanding; returns whether it was removed.
    pub(crate) fn remove_finished_repeat(&mut self, number: u32) -> bool {
        let is_finished = self
            .repeats
            .get(&number)
            .is_some_and(Repetition::is_finished);
        if is_finished {
            self.repeats.remove(&number);
        }
        is_finished
    }

    /// Records how and when the job ended.
    pub(crate) fn set_end(&mut self, end: JobEnd) {
        self.end = Some(end);
    }

    /// Number of tasks that are not done, in all open repetitions.
    pub(crate) fn open_tasks(&self) -> u64 {
        let steps = self.repeats.values().flat_map(Repetition::steps);
        steps.map(|step| step.open_tasks() as u64).sum()
    }

    /// Steps of the job that are in the queue of its service; `id` is the job's ID.
    pub(crate) fn queued_steps(&self, id: JobId) -> Vec<StepRef> {
        let steps = self.repeats.iter().flat_map(|(&repeat, state)| {
            let steps = state.steps().iter().zip(0u32..);
            let queued = steps.filter(|(step, _)| step.queued().is_some());
            queued.map(move |(_, step)| StepRef {
                job: id,
                repeat,
                step,
            })
        });
        steps.collect()
    }

    /// The properties of a step that matter for placing and evaluating its runs.
    pub(crate) fn traits(&self, number: u32) -> Option<StepTraits> {
        let step = self.step(number)?;
        Some(StepTraits {
            resources: step.resources(),
            gang: step.gang,
            long_running: step.long_running,
            estimate_ms: step.estimate_ms,
            class: self.class(number),
            service: self.service.clone(),
        })
    }

    /// Number of repetitions, at least 1.
    pub(crate) fn repeat_total(&self) -> u32 {
        self.definition.spec.repeat_count.max(1)
    }

    /// Maximum number of repetitions of the job that may be open at a time.
    pub(crate) fn repeats_open_max(&self) -> usize {
        let tasks: usize = self
            .definition
            .spec
            .stages
            .iter()
            .map(|step| step.count as usize)
            .sum();
        (OPEN_TASKS_PER_JOB_MAX / tasks.max(1)).max(1)
    }

    /// When repetition `repeat` is due, as Unix time in milliseconds; `None` for a job that runs once, when accepted.
    pub(crate) fn due_wall_ms(&self, repeat: u32) -> Option<u64> {
        let spec = &self.definition.spec;
        let offset_ms = spec.interval_ms.saturating_mul(u64::from(repeat));
        (spec.repeat_count > 0).then(|| spec.start_at_ms.saturating_add(offset_ms))
    }

    /// Class under which the run times of a step's tasks are learned.
    pub(crate) fn class(&self, step: u32) -> Class {
        Class {
            route: self.definition.route.clone(),
            step,
        }
    }

    /// Description of a step, counted from 0.
    pub(crate) fn step(&self, step: u32) -> Option<&Step> {
        self.definition.spec.stages.get(step as usize)
    }

    /// Steps of a repetition whose dependencies are all done; this includes steps that are done themselves.
    pub(crate) fn ready_steps(&self, repeat: u32) -> Vec<u32> {
        let Some(state) = self.repeats.get(&repeat) else {
            return Vec::new();
        };
        let is_done = |step: &u32| state.step(*step).is_some_and(StepState::is_done);
        let stages = &self.definition.spec.stages;
        (0..state.steps().len() as u32)
            .filter(|step| stages[*step as usize].depends_on.iter().all(is_done))
            .collect()
    }

    /// State of a step; `None` unless its repetition is open.
    pub(crate) fn step_state(&self, step_ref: StepRef) -> Option<&StepState> {
        self.repeats.get(&step_ref.repeat)?.step(step_ref.step)
    }

    /// State of a step for changes; `None` unless its repetition is open.
    pub(crate) fn step_state_mut(&mut self, step_ref: StepRef) -> Option<&mut StepState> {
        self.repeats
            .get_mut(&step_ref.repeat)?
            .step_mut(step_ref.step)
    }

    /// State of a task; `None` unless its repetition is open.
    pub(crate) fn task(&self, name: &TaskName) -> Option<&Task> {
        self.step_state(StepRef::of(name))?.task(name.index)
    }

    /// State of a task for changes; `None` unless its repetition is open.
    pub(crate) fn task_mut(&mut self, name: &TaskName) -> Option<&mut Task> {
        self.step_state_mut(StepRef::of(name))?.task_mut(name.index)
    }

    /// Counts a placed run of the job.
    pub(crate) fn run_placed(&mut self) {
        self.outstanding_count += 1;
    }

    /// Removes an ended run from the count of outstanding runs.
    pub(crate) fn run_finished(&mut self) {
        self.outstanding_count = self.outstanding_count.saturating_sub(1);
    }

    /// Records that a run of the job failed on this worker; returns whether runs have failed on a different worker before.
    pub(crate) fn record_failed_on(&mut self, worker: WorkerId) -> bool {
        let failed_elsewhere = self.failed_on.iter().any(|other| *other != worker);
        if self.failed_on.len() < FAILED_ON_MAX && !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
        failed_elsewhere
    }

    /// Drops the repetitions and the spec of an ended job without outstanding runs; only its end is kept.
    pub(crate) fn discard_progress(&mut self) {
        self.repeats.clear();
        self.definition.spec = JobSpec::default();
    }

    /// Whether all tasks of all repetitions are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.next_repeat == self.repeat_total() && self.repeats.values().all(Repetition::is_done)
    }

    /// Creates a repetition of which no step has begun.
    pub(crate) fn fresh_repeat(&self, due_ms: i64) -> Repetition {
        let fresh = |step: &Step| StepState::fresh(step.count);
        Repetition::new(due_ms, self.steps().iter().map(fresh).collect())
    }

    /// All runs of the job that have not ended, with their workers; `id` is the job's ID.
    pub(crate) fn outstanding_runs(&self, id: JobId) -> Vec<OutstandingRun> {
        let mut outstanding_runs = Vec::new();
        for (&repeat, state) in &self.repeats {
            for (step, state) in state.steps().iter().enumerate() {
                let step_ref = StepRef {
                    job: id,
                    repeat,
                    step: step as u32,
                };
                for (index, task) in state.tasks().iter().enumerate() {
                    let task_name = step_ref.task(index as u32);
                    let to_outstanding_run = |run: &Run| OutstandingRun {
                        run: RunId {
                            task: task_name,
                            attempt: run.attempt(),
                        },
                        worker: run.worker(),
                    };
                    outstanding_runs.extend(task.runs().map(to_outstanding_run));
                }
            }
        }
        outstanding_runs
    }
}
