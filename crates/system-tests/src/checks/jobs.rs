//! Rules on jobs: only submitted tasks run, cancellations take effect in time, no job is lost, shown states are true.

use super::case::{Case, Rule, step_of};
use super::presence::Presence;
use crate::environment::{Entry, Event, JobRecord, JobState, Moment, Record};
use crate::task::TaskName;
use crate::wire::EndReason;

/// UNASKED and REFUSED: each started run belongs to a submitted job that was not refused, and carries the job's text
/// and a checkpoint of its own task.
pub(super) fn unasked(case: &mut Case) {
    let record = case.record;
    for entry in &record.entries {
        let Event::Started {
            run,
            spec,
            checkpoint,
            checkpoint_is_own,
            ..
        } = &entry.event
        else {
            continue;
        };
        let (rule, detail) = match record.jobs.get(&run.task.job) {
            None => (Rule::Unasked, format!("{run} is of no job that was sent")),
            Some(job) if !has_task(job, &run.task) => {
                (Rule::Unasked, format!("{run} is no task of its job"))
            }
            Some(job) if job.job.spec != *spec => {
                (Rule::Unasked, format!("{run} carries `{spec}`"))
            }
            Some(_) if !checkpoint_is_own => (
                Rule::Unasked,
                format!("{run} carries checkpoint `{checkpoint}`"),
            ),
            Some(job) if job.is_refused() => {
                (Rule::Refused, format!("{run} starts; its job was refused"))
            }
            Some(_) => continue,
        };
        case.report(rule, entry.at, detail);
    }
}

fn has_task(job: &JobRecord, task: &TaskName) -> bool {
    let count = job.job.stages.get(task.step).map_or(0, |step| step.count);
    task.index < count && task.repeat < job.job.repeats()
}

/// UNASKED: after a cancellation is acknowledged, no run starts later than the cancellation bound, and none is present
/// later than that plus the stop bound.
pub(super) fn cancelled(case: &mut Case) {
    let record = case.record;
    let (now, bounds) = (case.now, *case.bounds);
    let bound =
        |task: &TaskName| Some(record.jobs.get(&task.job)?.cancel_acknowledged? + bounds.cancel);
    let starts_late = |task: &TaskName, at: Moment| bound(task).is_some_and(|bound| at > bound);
    let runs_late =
        |task: &TaskName, at: Moment| bound(task).is_some_and(|bound| at > bound + bounds.stop);
    let mut presence = Presence::default();
    for entry in &record.entries {
        presence.apply(&entry.event);
        let detail = match &entry.event {
            Event::Started { run, .. } if starts_late(&run.task, entry.at) => {
                format!("{run} starts after its cancellation")
            }
            Event::Ended { run, .. } if runs_late(&run.task, entry.at) => {
                format!("{run} ran on after its cancellation")
            }
            _ => continue,
        };
        case.report(Rule::Unasked, entry.at, detail);
    }
    for (_, run) in presence.everywhere() {
        if runs_late(&run.task, now) {
            let detail = format!("{run} still runs after its cancellation");
            case.report(Rule::Unasked, now, detail);
        }
    }
}

/// MIXED and LOST: states shown to clients that the record does not support.
pub(super) fn shown(case: &mut Case) {
    let record = case.record;
    for (index, entry) in record.entries.iter().enumerate() {
        let Event::JobStateShown {
            job: id,
            requested_at,
            state,
        } = &entry.event
        else {
            continue;
        };
        let Some(job) = record.jobs.get(id) else {
            continue;
        };
        let before = &record.entries[..index];
        let (rule, detail) = match state {
            None if is_lost(case, job, *requested_at) => {
                (Rule::Lost, format!("{id} was accepted and does not exist"))
            }
            Some(JobState::Completed) => match first_not_done(record, id, job, before) {
                Some(task) => (
                    Rule::Mixed,
                    format!("{id} is shown completed; {task} is not done"),
                ),
                None => continue,
            },
            Some(JobState::Failed) if !has_failed(record, id, job, before) => {
                (Rule::Lost, format!("{id} is shown failed without cause"))
            }
            Some(JobState::Cancelled) if job.cancel_sent.is_none_or(|sent| sent > entry.at) => (
                Rule::Lost,
                format!("{id} is shown cancelled; nobody has cancelled it"),
            ),
            _ => continue,
        };
        case.report(rule, entry.at, detail);
    }
}

fn is_lost(case: &Case, job: &JobRecord, requested_at: Moment) -> bool {
    let bound = job.accepted.map(|accepted| accepted + case.bounds.visible);
    job.cancel_sent.is_none() && bound.is_some_and(|bound| requested_at > bound)
}

/// The first task of a job without an end `done` among the entries `before`.
fn first_not_done(
    record: &Record,
    id: &str,
    job: &JobRecord,
    before: &[Entry],
) -> Option<TaskName> {
    let is_done = |task: &TaskName| {
        before.iter().any(|entry| {
            matches!(&entry.event, Event::Ended { run, reason: EndReason::Done, .. } if run.task == *task)
        })
    };
    let steps = job.job.stages.iter().enumerate();
    let tasks = steps.flat_map(|(step, definition)| {
        let repeats = 0..job.job.repeats();
        repeats.flat_map(move |repeat| {
            (0..definition.count).map(move |index| TaskName {
                job: id.to_owned(),
                repeat,
                step,
                index,
            })
        })
    });
    let mut known = tasks.filter(|task| step_of(record, task).is_some());
    known.find(|task| !is_done(task))
}

/// Whether a task (or a gang, counting the failures of all members) has failed as often as the queue allows.
fn has_failed(record: &Record, id: &str, job: &JobRecord, before: &[Entry]) -> bool {
    let failures: Vec<&TaskName> = before
        .iter()
        .filter_map(|entry| match &entry.event {
            Event::Ended {
                run,
                reason: EndReason::Failed,
                ..
            } if run.task.job == id => Some(&run.task),
            _ => None,
        })
        .collect();
    failures.iter().any(|task| {
        let gang = step_of(record, task).is_some_and(|step| step.gang);
        let same = |other: &&&TaskName| **other == *task || (gang && other.same_step(task));
        failures.iter().filter(same).count() >= job.queue.max_retries as usize
    })
}

/// WIRE: workers can parse every response to their heartbeats.
pub(super) fn unreadable(case: &mut Case) {
    let record = case.record;
    for entry in &record.entries {
        if let Event::Unreadable { instance, why } = &entry.event {
            let worker = &record.instance(*instance).worker;
            let detail = format!("{worker} received: {why}");
            case.report(Rule::Wire, entry.at, detail);
        }
    }
}
