//! Rules on jobs: only what was asked for, nothing long after a cancelling, nothing lost, true states.

use super::placement::{Presence, step_of};
use super::{Case, Rule};
use crate::task::TaskName;
use crate::wire::How;
use crate::world::{Event, JobRecord, JobState, Moment, Record};

/// UNASKED and REFUSED: a start is of a job that was sent and not refused, with its text and its progress.
pub(super) fn unasked(case: &mut Case) {
    let record = case.record;
    for entry in &record.entries {
        let Event::Started {
            run,
            spec,
            saved,
            saved_is_its_own,
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
            Some(_) if !saved_is_its_own => {
                (Rule::Unasked, format!("{run} carries progress `{saved}`"))
            }
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

/// UNASKED: after a cancelling's acknowledgement nothing starts for long, and nothing runs on for long.
pub(super) fn cancelled(case: &mut Case) {
    let record = case.record;
    let (now, bounds) = (case.now, *case.bounds);
    let bound =
        |task: &TaskName| Some(record.jobs.get(&task.job)?.cancel_acknowledged? + bounds.cancel);
    let mut presence = Presence::default();
    for entry in &record.entries {
        presence.follow(&entry.event);
        match &entry.event {
            Event::Started { run, .. }
                if bound(&run.task).is_some_and(|bound| entry.at > bound) =>
            {
                case.report(
                    Rule::Unasked,
                    entry.at,
                    format!("{run} starts after its cancelling"),
                );
            }
            Event::Ended { run, .. }
                if bound(&run.task).is_some_and(|bound| entry.at > bound + bounds.stop) =>
            {
                case.report(
                    Rule::Unasked,
                    entry.at,
                    format!("{run} ran on after its cancelling"),
                );
            }
            _ => {}
        }
    }
    for (_, run) in presence.everywhere() {
        if bound(&run.task).is_some_and(|bound| now > bound + bounds.stop) {
            case.report(
                Rule::Unasked,
                now,
                format!("{run} still runs after its cancelling"),
            );
        }
    }
}

/// MIXED and LOST: states that were shown without cause.
pub(super) fn shown(case: &mut Case) {
    let record = case.record;
    for (index, entry) in record.entries.iter().enumerate() {
        let Event::Shown {
            job: id,
            asked,
            state,
        } = &entry.event
        else {
            continue;
        };
        let Some(job) = record.jobs.get(id) else {
            continue;
        };
        let before = &record.entries[..index];
        match state {
            None if is_lost(case, job, *asked) => {
                case.report(
                    Rule::Lost,
                    entry.at,
                    format!("{id} was accepted and does not exist"),
                );
            }
            Some(JobState::Completed) => {
                if let Some(task) = first_not_done(record, id, job, before) {
                    case.report(
                        Rule::Mixed,
                        entry.at,
                        format!("{id} is shown completed; {task} is not done"),
                    );
                }
            }
            Some(JobState::Failed) if !has_failed(record, id, job, before) => {
                case.report(
                    Rule::Lost,
                    entry.at,
                    format!("{id} is shown failed without cause"),
                );
            }
            Some(JobState::Cancelled) if job.cancel_sent.is_none_or(|sent| sent > entry.at) => {
                case.report(
                    Rule::Lost,
                    entry.at,
                    format!("{id} is shown cancelled; nobody has cancelled it"),
                );
            }
            _ => {}
        }
    }
}

fn is_lost(case: &Case, job: &JobRecord, asked: Moment) -> bool {
    let bound = job.accepted.map(|accepted| accepted + case.bounds.visible);
    job.cancel_sent.is_none() && bound.is_some_and(|bound| asked > bound)
}

type Entries = [crate::world::Entry];

fn first_not_done(
    record: &Record,
    id: &str,
    job: &JobRecord,
    before: &Entries,
) -> Option<TaskName> {
    let ended = |task: &TaskName| {
        before.iter().any(
            |entry| matches!(&entry.event, Event::Ended { run, how: How::Done, .. } if run.task == *task),
        )
    };
    let steps = job.job.stages.iter().enumerate();
    let tasks = steps.flat_map(|(step, shape)| {
        let repeats = 0..job.job.repeats();
        repeats.flat_map(move |repeat| {
            (0..shape.count).map(move |index| TaskName {
                job: id.to_owned(),
                repeat,
                step,
                index,
            })
        })
    });
    let mut known = tasks.filter(|task| step_of(record, task).is_some());
    known.find(|task| !ended(task))
}

/// Whether a task (or a gang, by whichever member) has failed as often as the queue allows.
fn has_failed(record: &Record, id: &str, job: &JobRecord, before: &Entries) -> bool {
    let failures: Vec<&TaskName> = before
        .iter()
        .filter_map(|entry| match &entry.event {
            Event::Ended {
                run,
                how: How::Failed,
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

/// What workers are told can be read.
pub(super) fn unreadable(case: &mut Case) {
    for entry in &case.record.entries {
        if let Event::Unreadable { life, why } = &entry.event {
            let worker = &case.record.life(*life).worker;
            case.found.push(super::Violation {
                rule: Rule::Wire,
                at: entry.at,
                detail: format!("{worker} was told: {why}"),
            });
        }
    }
}
