//! A job and how far it has come. Children: what its steps may still earn, and a job out of its rows.

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

/// Repetitions with so many tasks in all may be open at a time, or one.
const OPEN_TASKS_MAX: usize = 10_000;
/// Most workers remembered on which a job has failed.
const FAILED_ON_MAX: usize = 4;

/// A job.
#[derive(Debug)]
pub(crate) struct Job {
    /// What the client submitted, and where.
    definition: Definition,
    /// Service that runs its tasks from now on.
    service: String,
    /// Terms in force.
    terms: Terms,
    /// Longest chain of estimated work from each step to the end of the job, in milliseconds.
    chain_ms: Vec<u64>,
    /// Run time to be expected of each step's tasks, in milliseconds.
    run_ms: Vec<u64>,
    /// What it earns if it meets its latency target, in relation to the mean of its queue.
    value: f64,
    /// Repetitions that are due and have not ended.
    repeats: BTreeMap<u32, Repetition>,
    /// The first repetition that is not due yet; those below that are not in `repeats` have ended.
    next_repeat: u32,
    /// How it ended.
    end: Option<JobEnd>,
    /// Something of it has been started.
    started: bool,
    /// Number of its runs that have not ended.
    outstanding: u32,
    /// Workers on which tasks of it have failed.
    failed_on: Vec<WorkerId>,
    /// The newest write that has something of it.
    last_write: WriteId,
    /// When its progress was written last.
    written_ms: u64,
}

/// A run that has not ended, and where it is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingRun {
    /// The run.
    pub run: RunId,
    /// Its worker.
    pub worker: WorkerId,
}

impl Job {
    /// A job that has just been accepted.
    pub(crate) fn new(definition: Definition) -> Self {
        Job {
            service: definition.service.clone(),
            terms: definition.terms,
            chain_ms: prospects::chains(&definition.spec.stages, |_, step| step.estimate_ms),
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
            started: false,
            outstanding: 0,
            failed_on: Vec::new(),
            last_write: WriteId(0),
            written_ms: 0,
        }
    }

    /// What the client submitted, and where.
    pub(crate) fn definition(&self) -> &Definition {
        &self.definition
    }

    /// Name of its queue's route.
    pub(crate) fn route(&self) -> &str {
        &self.definition.route
    }

    /// Service that runs its tasks from now on.
    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Terms in force.
    pub(crate) fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Descriptions of its steps.
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

    /// The first repetition that is not due yet.
    pub(crate) fn next_repeat(&self) -> u32 {
        self.next_repeat
    }

    /// Whether its next repetition may be opened once it is due: it has one, and not too many are open.
    pub(crate) fn may_open_repeat(&self) -> bool {
        let (open, left) = (self.repeats.len(), self.next_repeat < self.repeat_total());
        self.end.is_none() && left && open < self.repeats_open_max()
    }

    /// How it ended; `None` while it is open.
    pub(crate) fn end(&self) -> Option<JobEnd> {
        self.end
    }

    /// Whether it has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Whether something of it has been started.
    pub(crate) fn is_started(&self) -> bool {
        self.started
    }

    /// Whether runs of it have not ended.
    pub(crate) fn has_outstanding_runs(&self) -> bool {
        self.outstanding > 0
    }

    /// The newest write that has something of it.
    pub(crate) fn last_write(&self) -> WriteId {
        self.last_write
    }

    /// When its progress was written last.
    pub(crate) fn written_ms(&self) -> u64 {
        self.written_ms
    }

    /// A write has something of it.
    pub(crate) fn set_last_write(&mut self, write: WriteId) {
        self.last_write = write;
    }

    /// Its progress is written now.
    pub(crate) fn set_written(&mut self, now_ms: u64) {
        self.written_ms = now_ms;
    }

    /// What it earns if it meets its latency target, in relation to the mean of its queue.
    pub(crate) fn set_value(&mut self, value: f64) {
        self.value = value;
    }

    /// Its tasks run at this service and on these terms from now on.
    pub(crate) fn reroute(&mut self, service: &str, terms: Terms) {
        service.clone_into(&mut self.service);
        self.terms = terms;
    }

    /// Opens its next repetition, which was due at this time of the steady clock; returns its number.
    pub(crate) fn open_repeat(&mut self, due_ms: i64) -> u32 {
        let number = self.next_repeat;
        self.next_repeat += 1;
        self.repeats.insert(number, self.fresh_repeat(due_ms));
        number
    }

    /// Removes a repetition if it has finished; returns whether it did.
    pub(crate) fn remove_finished_repeat(&mut self, number: u32) -> bool {
        let finished = self
            .repeats
            .get(&number)
            .is_some_and(Repetition::is_finished);
        if finished {
            self.repeats.remove(&number);
        }
        finished
    }

    /// It has ended.
    pub(crate) fn set_end(&mut self, end: JobEnd) {
        self.end = Some(end);
    }

    /// Tasks that are not done, in the repetitions that have been opened.
    pub(crate) fn open_tasks(&self) -> u64 {
        let steps = self.repeats.values().flat_map(Repetition::steps);
        steps.map(|step| step.open_tasks() as u64).sum()
    }

    /// Its steps that are in the queue.
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

    /// What of one of its steps matters for its runs.
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

    /// How often its steps run.
    pub(crate) fn repeat_total(&self) -> u32 {
        self.definition.spec.repeat_count.max(1)
    }

    /// How many of its repetitions may be open at a time.
    pub(crate) fn repeats_open_max(&self) -> usize {
        let tasks: usize = self
            .definition
            .spec
            .stages
            .iter()
            .map(|step| step.count as usize)
            .sum();
        (OPEN_TASKS_MAX / tasks.max(1)).max(1)
    }

    /// When repetition `repeat` is due, in milliseconds since 1970; `None` for a job without set times.
    pub(crate) fn due_wall_ms(&self, repeat: u32) -> Option<u64> {
        let spec = &self.definition.spec;
        let after = spec.interval_ms.saturating_mul(u64::from(repeat));
        (spec.repeat_count > 0).then(|| spec.start_at_ms.saturating_add(after))
    }

    /// Class of the tasks of a step.
    pub(crate) fn class(&self, step: u32) -> Class {
        Class {
            route: self.definition.route.clone(),
            step,
        }
    }

    /// Description of a step.
    pub(crate) fn step(&self, step: u32) -> Option<&Step> {
        self.definition.spec.stages.get(step as usize)
    }

    /// Steps of a repetition for which all steps before them are done.
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

    /// State of a step.
    pub(crate) fn step_state(&self, at: StepRef) -> Option<&StepState> {
        self.repeats.get(&at.repeat)?.step(at.step)
    }

    /// State of a step.
    pub(crate) fn step_state_mut(&mut self, at: StepRef) -> Option<&mut StepState> {
        self.repeats.get_mut(&at.repeat)?.step_mut(at.step)
    }

    /// A task.
    pub(crate) fn task(&self, name: &TaskName) -> Option<&Task> {
        self.step_state(StepRef::of(name))?.task(name.index)
    }

    /// A task.
    pub(crate) fn task_mut(&mut self, name: &TaskName) -> Option<&mut Task> {
        self.step_state_mut(StepRef::of(name))?.task_mut(name.index)
    }

    /// A run of it was placed; returns whether that is the first.
    pub(crate) fn run_placed(&mut self) -> bool {
        self.outstanding += 1;
        !std::mem::replace(&mut self.started, true)
    }

    /// A run of it has ended.
    pub(crate) fn run_finished(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// A run of it has failed on this worker; returns whether others have failed on another one.
    pub(crate) fn record_failed_on(&mut self, worker: WorkerId) -> bool {
        let elsewhere = self.failed_on.iter().any(|other| *other != worker);
        if self.failed_on.len() < FAILED_ON_MAX && !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
        elsewhere
    }

    /// It has ended and nothing of it runs: only its end stays.
    pub(crate) fn discard_progress(&mut self) {
        self.repeats.clear();
        self.definition.spec = JobSpec::default();
    }

    /// All tasks of all repetitions are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.next_repeat == self.repeat_total() && self.repeats.values().all(Repetition::is_done)
    }

    /// A repetition whose steps have not begun.
    pub(crate) fn fresh_repeat(&self, due_ms: i64) -> Repetition {
        let fresh = |step: &Step| StepState::fresh(step.count);
        Repetition::new(due_ms, self.steps().iter().map(fresh).collect())
    }

    /// Its runs that are not over, and where they are.
    pub(crate) fn outstanding_runs(&self, id: JobId) -> Vec<OutstandingRun> {
        let mut outstanding = Vec::new();
        for (&repeat, state) in &self.repeats {
            for (step, state) in state.steps().iter().enumerate() {
                let at = StepRef {
                    job: id,
                    repeat,
                    step: step as u32,
                };
                for (index, task) in state.tasks().iter().enumerate() {
                    let task_name = at.task(index as u32);
                    let named = |run: &Run| OutstandingRun {
                        run: RunId {
                            task: task_name,
                            attempt: run.attempt(),
                        },
                        worker: run.worker(),
                    };
                    outstanding.extend(task.runs().map(named));
                }
            }
        }
        outstanding
    }
}
