//! Jobs and how far they have come.

use crate::api::WriteId;
use crate::definition::{Definition, JobEnd, Terms};
use crate::kinds::Class;
use crate::queue::{Prospect, QueueKey, StepRef};
use crate::task::{Run, StepState, Task};
use crate::value::{cost_class, work_of};
use crate::worker::WorkerId;
use indigofold_protocol::job::{JobSpec, Step};
use indigofold_protocol::task::{JobId, RunId, TaskName};
use std::collections::BTreeMap;

/// A job that ends within so many times its latency target still earns something.
const LATE_FACTOR: i64 = 3;
/// Repetitions with so many tasks in all may be open at a time, or one.
const OPEN_TASKS_MAX: usize = 10_000;
/// Most workers remembered on which a job has failed.
const FAILED_ON_MAX: usize = 4;
/// Longer latency targets are limited to this.
const LATENCY_TARGET_MAX_MS: u64 = 1 << 40;

/// A job.
#[derive(Debug)]
pub(crate) struct Job {
    /// What the client submitted, and where.
    pub definition: Definition,
    /// Service that runs its tasks from now on.
    pub service: String,
    /// Terms in force.
    pub terms: Terms,
    /// Longest chain of estimated work from each step to the end of the job, in milliseconds.
    pub chain_ms: Vec<u64>,
    /// Run time to be expected of each step's tasks, in milliseconds.
    pub run_ms: Vec<u64>,
    /// What it earns if it meets its latency target, in relation to the mean of its queue.
    pub value: f64,
    /// Repetitions that are due and have not ended.
    pub repeats: BTreeMap<u32, Repetition>,
    /// The first repetition that is not due yet; those below that are not in `repeats` have ended.
    pub next_repeat: u32,
    /// How it ended.
    pub end: Option<JobEnd>,
    /// Something of it has been started.
    pub started: bool,
    /// Number of its runs that have not ended.
    pub outstanding: u32,
    /// Workers on which tasks of it have failed.
    failed_on: Vec<WorkerId>,
    /// The newest write that has something of it.
    pub last_write: WriteId,
    /// When its progress was written last.
    pub written_ms: u64,
}

/// What a step may still earn.
struct StepProspect {
    prospect: Prospect,
    /// When it has to start for the latency target to be met, on the steady clock.
    latest_start_ms: i64,
}

/// A run that has not ended, and where it is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingRun {
    /// The run.
    pub run: RunId,
    /// Its worker.
    pub worker: WorkerId,
}

/// One repetition of a job's steps.
#[derive(Debug)]
pub(crate) struct Repetition {
    /// When it was due, on the steady clock (may lie before its beginning).
    pub due_ms: i64,
    /// Its steps.
    pub steps: Vec<StepState>,
}

impl Job {
    /// A job that has just been accepted.
    pub(crate) fn new(definition: Definition) -> Self {
        Job {
            service: definition.service.clone(),
            terms: definition.terms,
            chain_ms: chains(&definition.spec.stages, |_, step| step.estimate_ms),
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

    /// Works its chains out anew with what is known of its queue's run times.
    pub(crate) fn expect(&mut self, expected_ms: impl Fn(u32, &Step) -> u64) {
        let stages = &self.definition.spec.stages;
        self.run_ms = stages
            .iter()
            .enumerate()
            .map(|(n, step)| expected_ms(n as u32, step))
            .collect();
        self.chain_ms = chains(stages, expected_ms);
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

    /// The latency target on the time from its due time to its end, in milliseconds.
    pub(crate) fn latency_target_ms(&self) -> u64 {
        let chain = self.chain_ms.iter().max().copied().unwrap_or(0);
        (self.terms.stretch.max(0.0) * chain as f64) as u64 + self.terms.target_latency_ms
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
        let is_done = |step: &u32| {
            state
                .steps
                .get(*step as usize)
                .is_some_and(StepState::is_done)
        };
        let stages = &self.definition.spec.stages;
        (0..state.steps.len() as u32)
            .filter(|step| stages[*step as usize].depends_on.iter().all(is_done))
            .collect()
    }

    /// State of a step.
    pub(crate) fn step_state(&self, at: StepRef) -> Option<&StepState> {
        self.repeats.get(&at.repeat)?.steps.get(at.step as usize)
    }

    /// State of a step.
    pub(crate) fn step_state_mut(&mut self, at: StepRef) -> Option<&mut StepState> {
        self.repeats
            .get_mut(&at.repeat)?
            .steps
            .get_mut(at.step as usize)
    }

    /// A task.
    pub(crate) fn task(&self, name: &TaskName) -> Option<&Task> {
        self.step_state(StepRef::of(name))?
            .tasks
            .get(name.index as usize)
    }

    /// A task.
    pub(crate) fn task_mut(&mut self, name: &TaskName) -> Option<&mut Task> {
        self.step_state_mut(StepRef::of(name))?
            .tasks
            .get_mut(name.index as usize)
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
    pub(crate) fn failed_on(&mut self, worker: WorkerId) -> bool {
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
        let fresh = |step: &Step| StepState {
            tasks: vec![Task::default(); step.count as usize],
            ..StepState::default()
        };
        Repetition {
            due_ms,
            steps: self.definition.spec.stages.iter().map(fresh).collect(),
        }
    }

    /// Its runs that are not over, and where they are.
    pub(crate) fn outstanding_runs(&self, id: JobId) -> Vec<OutstandingRun> {
        let mut outstanding = Vec::new();
        for (&repeat, state) in &self.repeats {
            for (step, state) in state.steps.iter().enumerate() {
                let at = StepRef {
                    job: id,
                    repeat,
                    step: step as u32,
                };
                for (index, task) in state.tasks.iter().enumerate() {
                    let task_name = at.task(index as u32);
                    let named = |run: &Run| OutstandingRun {
                        run: RunId {
                            task: task_name,
                            attempt: run.attempt,
                        },
                        worker: run.worker,
                    };
                    outstanding.extend(task.runs().map(named));
                }
            }
        }
        outstanding
    }

    /// Position of a step in the queue: by priority, then by the work that its job still needs for what it
    /// earns, then by when it has to start for the latency target of the job to be met.
    pub(crate) fn queue_key(&self, at: StepRef, now_ms: u64) -> QueueKey {
        let long_running = self.step(at.step).is_some_and(|step| step.long_running);
        let StepProspect {
            prospect,
            latest_start_ms,
        } = if long_running {
            self.long_running_prospect(at)
        } else {
            self.finite_prospect(at, now_ms)
        };
        let hopeless = prospect == Prospect::Hopeless;
        let cost_class = if long_running {
            i16::MIN
        } else {
            cost_class(self.work_left(at), self.value, prospect)
        };
        let priority = self.terms.priority;
        QueueKey {
            hopeless,
            priority,
            cost_class,
            prospect,
            latest_start_ms,
            at,
        }
    }

    /// A long-running step earns as long as it runs: however late it is, it keeps its value, from when it last began
    /// to wait.
    fn long_running_prospect(&self, at: StepRef) -> StepProspect {
        let waiting_since_ms = self
            .step_state(at)
            .map_or(0, |state| state.waiting_since_ms);
        let target_ms = self.terms.target_latency_ms.min(LATENCY_TARGET_MAX_MS);
        StepProspect {
            prospect: Prospect::InTime,
            latest_start_ms: waiting_since_ms.saturating_add(target_ms) as i64,
        }
    }

    fn finite_prospect(&self, at: StepRef, now_ms: u64) -> StepProspect {
        let due_ms = self
            .repeats
            .get(&at.repeat)
            .map_or(0, |repeat| repeat.due_ms);
        let chain = self.chain_ms.get(at.step as usize).copied().unwrap_or(0) as i64;
        let latency_target_ms = self.latency_target_ms().min(LATENCY_TARGET_MAX_MS) as i64;
        let latest_start_ms = due_ms
            .saturating_add(latency_target_ms)
            .saturating_sub(chain);
        let hopeless_ms = due_ms
            .saturating_add(latency_target_ms.saturating_mul(LATE_FACTOR))
            .saturating_sub(chain);
        let prospect = match now_ms as i64 {
            now if now <= latest_start_ms => Prospect::InTime,
            now if now <= hopeless_ms => Prospect::Late,
            _ => Prospect::Hopeless,
        };
        StepProspect {
            prospect,
            latest_start_ms,
        }
    }
}

impl Repetition {
    /// All its tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// All its tasks are done and no run is outstanding.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_done()
            && self
                .steps
                .iter()
                .all(|step| step.tasks.iter().all(|task| task.run.is_none()))
    }
}

impl Job {
    /// All its work, in core-milliseconds.
    pub(crate) fn work(&self) -> f64 {
        let steps = self.definition.spec.stages.iter().zip(&self.run_ms);
        steps
            .map(|(step, run_ms)| work_of(step, step.count as usize, *run_ms))
            .sum()
    }

    /// Work of this step that waits and of the steps behind it, in core-milliseconds.
    pub(crate) fn work_left(&self, at: StepRef) -> f64 {
        let Some(repeat) = self.repeats.get(&at.repeat) else {
            return 0.0;
        };
        let steps = self
            .definition
            .spec
            .stages
            .iter()
            .zip(&repeat.steps)
            .zip(&self.run_ms);
        let from_here = steps.enumerate().skip(at.step as usize);
        let left = from_here.map(|(number, ((step, state), run_ms))| {
            let not_done = state.tasks.len() - state.done as usize;
            let tasks = if number == at.step as usize {
                state.waiting.len()
            } else {
                not_done
            };
            work_of(step, tasks, *run_ms)
        });
        left.sum()
    }
}

/// Longest chain of work from each step to the end; `expected_ms` gives the run time of a step's tasks.
fn chains(steps: &[Step], expected_ms: impl Fn(u32, &Step) -> u64) -> Vec<u64> {
    let own: Vec<u64> = steps
        .iter()
        .enumerate()
        .map(|(n, step)| expected_ms(n as u32, step))
        .collect();
    let mut chain = own.clone();
    for step in (0..steps.len()).rev() {
        for &before in &steps[step].depends_on {
            let through = own
                .get(before as usize)
                .copied()
                .unwrap_or(0)
                .saturating_add(chain[step]);
            if let Some(longest) = chain.get_mut(before as usize) {
                *longest = (*longest).max(through);
            }
        }
    }
    chain
}
