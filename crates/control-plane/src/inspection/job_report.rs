//! How one job stands, and why its steps wait.

use super::room::Room;
use super::rows::{Definition, Progress, StepRow, unfinished_before};
use super::survey::JobRecord;
use indigofold_protocol::config::Config;
use indigofold_protocol::inspection::{
    JobInspection, RUNS_LISTED_MAX, RunInspection, STEPS_LISTED_MAX, StepInspection, Wait,
};
use indigofold_protocol::job::Step;

/// How a job stands, under this configuration.
pub fn job_report(record: &JobRecord, config: Option<&Config>, room: &Room<'_>) -> JobInspection {
    let JobRecord {
        id,
        definition,
        progress,
    } = record;
    let definition = definition.as_ref();
    let service = definition.map(|definition| service_now(definition, config));
    let steps = definition.map(|d| step_reports(d, progress, &service_now(d, config), room));
    let steps = steps.unwrap_or_default();
    let all: usize = progress.repeats.iter().map(|(_, rows)| rows.len()).sum();
    let more_steps = definition.is_some() && all > steps.len();
    JobInspection {
        id: id.to_string(),
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

/// The service that the job's route leads to now.
fn service_now(definition: &Definition, config: Option<&Config>) -> String {
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

/// When the next repetition of a job with set times is due.
fn next_due_wall_ms(definition: &Definition, progress: &Progress) -> Option<u64> {
    let spec = &definition.spec;
    let next = progress.next_repeat;
    let after_ms = spec.interval_ms.saturating_mul(u64::from(next));
    (next < spec.repeat_count && progress.end.is_none())
        .then(|| spec.start_at_ms.saturating_add(after_ms))
}

fn step_reports(
    definition: &Definition,
    progress: &Progress,
    service: &str,
    room: &Room<'_>,
) -> Vec<StepInspection> {
    let mut reports = Vec::new();
    for (repeat, rows) in &progress.repeats {
        for (number, (step, row)) in definition.spec.stages.iter().zip(rows).enumerate() {
            if reports.len() == STEPS_LISTED_MAX {
                return reports;
            }
            let before = unfinished_before(step, rows);
            let wait = || room.wait(service, step, row, &progress.instances);
            reports.push(step_report(
                (*repeat, number as u32),
                step,
                row,
                progress,
                before,
                wait,
            ));
        }
    }
    reports
}

fn step_report(
    (repeat, number): (u32, u32),
    step: &Step,
    row: &StepRow,
    progress: &Progress,
    before: Vec<u32>,
    wait: impl FnOnce() -> Wait,
) -> StepInspection {
    let tasks = row.counts(step, before.is_empty());
    let wait = match (before.is_empty(), tasks.waiting) {
        (false, _) => Some(Wait::Dependency(before)),
        (true, 0) => None,
        (true, _) => Some(wait()),
    };
    let indexed = row.tasks().iter().enumerate();
    let runs = indexed.filter_map(|(index, task)| {
        let (instance, attempt) = task.run?;
        let instance = progress
            .instances
            .get(instance as usize)
            .cloned()
            .unwrap_or_default();
        Some(RunInspection {
            index: index as u32,
            attempt,
            instance,
        })
    });
    let copies = progress
        .copies
        .iter()
        .filter(|copy| (copy.repeat, copy.step) == (repeat, number));
    let copies = copies.map(|copy| RunInspection {
        index: copy.index,
        attempt: copy.attempt,
        instance: copy.instance.clone(),
    });
    StepInspection {
        repeat,
        step: number,
        tasks,
        failures: row.tasks().iter().map(|task| task.failures).sum(),
        runs: runs.chain(copies).take(RUNS_LISTED_MAX).collect(),
        wait: if progress.end.is_some() { None } else { wait },
    }
}
