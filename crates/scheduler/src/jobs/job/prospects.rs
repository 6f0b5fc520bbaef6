//! Queue positions of a job's steps, from the value that the job can still earn, the work that it still needs and its
//! latency target.

use crate::jobs::job::Job;
use crate::jobs::repetition::Repetition;
use crate::jobs::step::StepState;
use crate::queue::{Prospect, QueueKey, StepRef};
use crate::value::{cost_class, work_of};
use indigofold_protocol::job::Step;

/// A job earns a fraction of its value if it ends within this multiple of its latency target, and nothing after that.
const LATE_FACTOR: i64 = 3;
/// Longer latency targets count as this one (about 35 years) in queue positions.
const LATENCY_TARGET_MAX_MS: u64 = 1 << 40;

/// Whether a step can still meet the latency target of its job, and by when it has to start for that.
struct StepProspect {
    prospect: Prospect,
    /// Latest start for the latency target to be met, on the monotonic clock.
    latest_start_ms: i64,
}

impl Job {
    /// Recomputes the expected run times and the longest chains of work. `expected_ms` returns the expected run time of a
    /// task of a step in milliseconds, given the step's number and description.
    pub(crate) fn update_expected_run_times(&mut self, expected_ms: impl Fn(u32, &Step) -> u64) {
        let stages = &self.definition.spec.stages;
        self.run_ms = stages
            .iter()
            .enumerate()
            .map(|(n, step)| expected_ms(n as u32, step))
            .collect();
        self.chain_ms = longest_chains(stages, expected_ms);
    }

    /// Target for the time from the due time of a repetition to its end, in milliseconds.
    pub(crate) fn latency_target_ms(&self) -> u64 {
        let chain_ms = self.chain_ms.iter().max().copied().unwrap_or(0);
        (self.terms.stretch.max(0.0) * chain_ms as f64) as u64 + self.terms.target_latency_ms
    }

    /// Position of a step in the queue. Hopeless steps come last. Steps are ordered by priority, then by remaining work per
    /// value earned, then by whether the latency target can still be met, then by their latest start.
    pub(crate) fn queue_key(&self, step_ref: StepRef, now_ms: u64) -> QueueKey {
        let long_running = self
            .step(step_ref.step)
            .is_some_and(|step| step.long_running);
        let StepProspect {
            prospect,
            latest_start_ms,
        } = if long_running {
            self.long_running_prospect(step_ref)
        } else {
            self.finite_prospect(step_ref, now_ms)
        };
        let hopeless = prospect == Prospect::Hopeless;
        let cost_class = if long_running {
            i16::MIN
        } else {
            cost_class(self.work_left(step_ref), self.value, prospect)
        };
        let priority = self.terms.priority;
        QueueKey {
            hopeless,
            priority,
            cost_class,
            prospect,
            latest_start_ms,
            step_ref,
        }
    }

    /// The prospect of a long-running step: it earns as long as it runs, so it keeps its value however late it starts.
    /// Its latest start is one latency target after it last began to wait.
    fn long_running_prospect(&self, step_ref: StepRef) -> StepProspect {
        let waiting_since_ms = self
            .step_state(step_ref)
            .map_or(0, StepState::waiting_since_ms);
        let target_ms = self.terms.target_latency_ms.min(LATENCY_TARGET_MAX_MS);
        StepProspect {
            prospect: Prospect::InTime,
            latest_start_ms: waiting_since_ms.saturating_add(target_ms) as i64,
        }
    }

    /// The prospect of a step whose tasks end by themselves.
    fn finite_prospect(&self, step_ref: StepRef, now_ms: u64) -> StepProspect {
        let due_ms = self
            .repeats
            .get(&step_ref.repeat)
            .map_or(0, Repetition::due_ms);
        let chain_ms = self
            .chain_ms
            .get(step_ref.step as usize)
            .copied()
            .unwrap_or(0) as i64;
        let latency_target_ms = self.latency_target_ms().min(LATENCY_TARGET_MAX_MS) as i64;
        let latest_start_ms = due_ms
            .saturating_add(latency_target_ms)
            .saturating_sub(chain_ms);
        let hopeless_from_ms = due_ms
            .saturating_add(latency_target_ms.saturating_mul(LATE_FACTOR))
            .saturating_sub(chain_ms);
        let prospect = match now_ms as i64 {
            now if now <= latest_start_ms => Prospect::InTime,
            now if now <= hopeless_from_ms => Prospect::Late,
            _ => Prospect::Hopeless,
        };
        StepProspect {
            prospect,
            latest_start_ms,
        }
    }

    /// Expected work of one repetition of the job, in core-milliseconds.
    pub(crate) fn work(&self) -> f64 {
        let steps = self.definition.spec.stages.iter().zip(&self.run_ms);
        steps
            .map(|(step, run_ms)| work_of(step, step.count as usize, *run_ms))
            .sum()
    }

    /// Expected work of the step's waiting tasks and of the open tasks of all later steps, in core-milliseconds.
    pub(crate) fn work_left(&self, step_ref: StepRef) -> f64 {
        let Some(repeat) = self.repeats.get(&step_ref.repeat) else {
            return 0.0;
        };
        let steps = self
            .definition
            .spec
            .stages
            .iter()
            .zip(repeat.steps())
            .zip(&self.run_ms);
        let steps_from_here = steps.enumerate().skip(step_ref.step as usize);
        let remaining_work = steps_from_here.map(|(number, ((step, state), run_ms))| {
            let tasks = if number == step_ref.step as usize {
                state.waiting().len()
            } else {
                state.open_tasks()
            };
            work_of(step, tasks, *run_ms)
        });
        remaining_work.sum()
    }
}

/// Longest chain of work from the start of each step to the end of the job, in milliseconds. `expected_ms` returns the
/// expected run time of a step's tasks.
pub(super) fn longest_chains(steps: &[Step], expected_ms: impl Fn(u32, &Step) -> u64) -> Vec<u64> {
    let run_ms: Vec<u64> = steps
        .iter()
        .enumerate()
        .map(|(n, step)| expected_ms(n as u32, step))
        .collect();
    let mut chain = run_ms.clone();
    for step in (0..steps.len()).rev() {
        for &dependency in &steps[step].depends_on {
            let chain_through_step = run_ms
                .get(dependency as usize)
                .copied()
                .unwrap_or(0)
                .saturating_add(chain[step]);
            if let Some(longest) = chain.get_mut(dependency as usize) {
                *longest = (*longest).max(chain_through_step);
            }
        }
    }
    chain
}
