//! Report on one job: its state, its steps, and why they wait.

use super::capacity::ClusterCapacity;
use super::rows::{Definition, Progress, RepeatRow, StepRow, unfinished_dependencies};
use super::table_summary::JobRecord;
use indigofold_protocol::config::Config;
use indigofold_protocol::inspection::{
    JobInspection, RUNS_LISTED_MAX, RunInspection, STEPS_LISTED_MAX, StepInspection, WaitReason,
};
use indigofold_protocol::job::Step;

/// Returns the report on a job under the given configuration. Without the definition, which is not kept for ended jobs, the
/// report holds only the ID and the state.
pub fn job_report(
    record: &JobRecord,
    config: Option<&Config>,
    capacity: &ClusterCapacity<'_>,
) -> JobInspection {
    let progress = &record.progress;
    let definition = record.definition.as_ref();
    let service = definition.map(|definition| current_service(definition, config));
    let steps = match (definition, &service) {
        (Some(definition), Some(service)) => {
            let reporter = StepReporter {
                progress,
                service,
                capacity,
            };
            reporter.steps(&definition.spec.stages)
        }
        _ => Vec::new(),
    };
    let all: usize = progress
        .repeats
        .iter()
        .map(|repeat| repeat.steps.len())
        .sum();
    let more_steps = definition.is_some() && all > steps.len();
    JobInspection {
        id: record.id.to_string(),
        queue: definition.map(|definition| definition.route.clone()),
        service,
        state: progress.state(),
        accepted_wall_ms: definition.map(|definition| definition.accepted_wall_ms),
        repeats: definition.map(|definition| definition.spec.repeat_count.max(1)),
        next_due_wall_ms: definition.and_then(|definition| next_due_wall_ms(definition, progress)),
        steps,
        more_steps,
    }
}

/// Returns the service that the job's route leads to now, or the one at acceptance if the route no longer exists.
fn current_service(definition: &Definition, config: Option<&Config>) -> String {
    let route = config.and_then(|config| {
        config
            .routes
            .iter()
            .find(|route| route.name == definition.route)
    });
    route
        .map_or(&definition.service, |route| &route.backend)
        .clone()
}

/// Returns when the next repetition of a job with set start times is due, as Unix time in milliseconds; `None` if there
/// is none.
fn next_due_wall_ms(definition: &Definition, progress: &Progress) -> Option<u64> {
    let spec = &definition.spec;
    let next = progress.next_repeat;
    let after_ms = spec.interval_ms.saturating_mul(u64::from(next));
    (next < spec.repeat_count && progress.end.is_none())
        .then(|| spec.start_at_ms.saturating_add(after_ms))
}

/// Reports the steps of one job.
struct StepReporter<'a> {
    progress: &'a Progress,
    service: &'a str,
    capacity: &'a ClusterCapacity<'a>,
}

impl StepReporter<'_> {
    /// Reports the steps of all open repetitions, [`STEPS_LISTED_MAX`] at most. `specs` are the steps of the job's definition.
    fn steps(&self, specs: &[Step]) -> Vec<StepInspection> {
        let repeats = self.progress.repeats.iter();
        let reports = repeats.flat_map(|repeat| {
            let steps = specs.iter().zip(&repeat.steps).enumerate();
            steps.map(|(number, (spec, row))| self.step(repeat, number as u32, spec, row))
        });
        reports.take(STEPS_LISTED_MAX).collect()
    }

    /// Reports one step of a repetition.
    fn step(&self, repeat: &RepeatRow, number: u32, spec: &Step, row: &StepRow) -> StepInspection {
        let unfinished = unfinished_dependencies(spec, &repeat.steps);
        let tasks = row.counts(spec, unfinished.is_empty());
        let wait = if self.progress.end.is_some() {
            None
        } else if !unfinished.is_empty() {
            Some(WaitReason::Dependency(unfinished))
        } else if tasks.waiting == 0 {
            None
        } else {
            let instances = &self.progress.instances;
            Some(self.capacity.wait(self.service, spec, row, instances))
        };
        let speculative = self.speculative_runs(repeat.repeat, number);
        StepInspection {
            repeat: repeat.repeat,
            step: number,
            tasks,
            failures: row.tasks().iter().map(|task| task.failures).sum(),
            runs: self
                .regular_runs(row)
                .chain(speculative)
                .take(RUNS_LISTED_MAX)
                .collect(),
            wait,
        }
    }

    /// Returns the outstanding runs of a step's tasks, without speculative ones.
    fn regular_runs(&self, row: &StepRow) -> impl Iterator<Item = RunInspection> {
        let tasks = row.tasks().iter().enumerate();
        tasks.filter_map(|(index, task)| {
            let run = task.run?;
            let instance = self.progress.instances.get(run.instance as usize);
            Some(RunInspection {
                index: index as u32,
                attempt: run.attempt,
                instance: instance.cloned().unwrap_or_default(),
            })
        })
    }

    /// Returns the outstanding speculative runs of a step's tasks.
    fn speculative_runs(&self, repeat: u32, step: u32) -> impl Iterator<Item = RunInspection> {
        let runs = self.progress.speculative_runs.iter();
        runs.filter(move |run| run.repeat == repeat && run.step == step)
            .map(|run| RunInspection {
                index: run.index,
                attempt: run.attempt,
                instance: run.instance.clone(),
            })
    }
}
