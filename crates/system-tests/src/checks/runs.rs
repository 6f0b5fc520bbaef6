//! Rules on the runs of a task: one at a time, in dependency order, with increasing attempt numbers, within the retry
//! budget, and gangs complete.

use super::case::{Case, Rule, step_of};
use super::presence::Presence;
use crate::environment::{Event, InstanceIndex, Moment, Record};
use crate::job::since_1970;
use crate::task::{RunName, TaskName};
use crate::wire::EndReason;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

fn is_speculative(record: &Record, task: &TaskName) -> bool {
    step_of(record, task).is_some_and(|step| step.speculative)
}

fn is_gang(record: &Record, task: &TaskName) -> bool {
    step_of(record, task).is_some_and(|step| step.gang)
}

/// TWICE: a task has no two runs at once, and no start after an end `done` that is acknowledged at any time.
/// Speculative steps are exempt.
pub(super) fn twice(case: &mut Case) {
    let record = case.record;
    let acknowledged = acknowledged_ends(record, EndReason::Done);
    let mut presence = Presence::default();
    let mut done: HashSet<&TaskName> = HashSet::new();
    for entry in &record.entries {
        match &entry.event {
            Event::Started { instance, run, .. } if !is_speculative(record, &run.task) => {
                report_concurrent_run(case, &presence, entry.at, *instance, run);
                if done.contains(&run.task) {
                    let detail = format!("{run} starts after its task was done");
                    case.report(Rule::Twice, entry.at, detail);
                }
            }
            Event::Ended {
                instance,
                run,
                reason: EndReason::Done,
            } if acknowledged.contains(&(*instance, run)) => {
                done.insert(&run.task);
            }
            _ => {}
        }
        presence.apply(&entry.event);
    }
}

fn report_concurrent_run(
    case: &mut Case,
    presence: &Presence,
    at: Moment,
    instance: InstanceIndex,
    run: &RunName,
) {
    let mut present = presence.everywhere();
    let Some((other_instance, other)) = present.find(|(_, other)| other.task == run.task) else {
        return;
    };
    let worker = |instance| &case.record.instance(instance).worker;
    let (here, there) = (worker(instance), worker(other_instance));
    let detail = format!("{run} on {here} while {other} is on {there}");
    case.report(Rule::Twice, at, detail);
}

/// Ends for this reason that are acknowledged anywhere in the record.
fn acknowledged_ends(record: &Record, wanted: EndReason) -> HashSet<(InstanceIndex, &RunName)> {
    let acknowledged = record.events().filter_map(|event| match event {
        Event::EndAcknowledged {
            instance,
            run,
            reason,
        } if *reason == wanted => Some((*instance, run)),
        _ => None,
    });
    acknowledged.collect()
}

/// ORDER: a task starts after the steps it depends on are done, and not before its repetition's due time.
pub(super) fn order(case: &mut Case) {
    let record = case.record;
    let mut done: HashSet<&TaskName> = HashSet::new();
    for entry in &record.entries {
        match &entry.event {
            Event::Ended {
                run,
                reason: EndReason::Done,
                ..
            } => _ = done.insert(&run.task),
            Event::Started { run, .. } => {
                if let Some(missing) = first_missing(record, &run.task, &done) {
                    let detail = format!("{run} starts before {missing} is done");
                    case.report(Rule::Order, entry.at, detail);
                }
                let early = earliness(case, &run.task, entry.at);
                if early > case.bounds.early {
                    let detail = format!("{run} starts {early:?} before its time");
                    case.report(Rule::Order, entry.at, detail);
                }
            }
            _ => {}
        }
    }
}

/// The first task that is not done among the steps that a task's step depends on; `None` if all are done.
fn first_missing(record: &Record, task: &TaskName, done: &HashSet<&TaskName>) -> Option<TaskName> {
    let job = &record.jobs.get(&task.job)?.job;
    let dependencies = &job.stages.get(task.step)?.depends_on;
    let mut tasks = dependencies.iter().flat_map(|step| {
        let count = job.stages.get(*step).map_or(0, |step| step.count);
        (0..count).map(|index| TaskName {
            step: *step,
            index,
            ..task.clone()
        })
    });
    tasks.find(|task| !done.contains(task))
}

/// How long before its repetition's due time a task started; zero if it was not early or has no due time.
fn earliness(case: &Case, task: &TaskName, at: Moment) -> Duration {
    let job = case.record.jobs.get(&task.job);
    let Some(due) = job.and_then(|job| job.job.due(task.repeat)) else {
        return Duration::ZERO;
    };
    let started = since_1970().saturating_sub(case.now.saturating_sub(at));
    due.saturating_sub(started)
}

/// ATTEMPT: attempt numbers of a task increase from start to start. Speculative steps are exempt.
pub(super) fn attempts(case: &mut Case) {
    let record = case.record;
    let mut highest: HashMap<&TaskName, u32> = HashMap::new();
    for entry in &record.entries {
        let Event::Started { run, .. } = &entry.event else {
            continue;
        };
        let before = highest.insert(&run.task, run.attempt).unwrap_or(0);
        if run.attempt <= before && !is_speculative(record, &run.task) {
            let detail = format!("{run} starts after run {before}");
            case.report(Rule::Attempt, entry.at, detail);
        }
    }
}

/// BUDGET: a task does not start after as many acknowledged failures as its queue allows. A gang's failures are counted
/// together.
pub(super) fn budget(case: &mut Case) {
    let record = case.record;
    let acknowledged = acknowledged_ends(record, EndReason::Failed);
    let mut failures: HashMap<TaskName, u32> = HashMap::new();
    for entry in &record.entries {
        match &entry.event {
            Event::Ended {
                instance,
                run,
                reason: EndReason::Failed,
            } if acknowledged.contains(&(*instance, run)) => {
                let key = budget_key(record, &run.task);
                *failures.entry(key).or_default() += 1;
            }
            Event::Started { run, .. } => {
                let key = budget_key(record, &run.task);
                let failed = failures.get(&key).copied();
                let allowed = allowed_failures(record, &run.task);
                if failed.is_some_and(|failed| allowed.is_some_and(|allowed| failed >= allowed)) {
                    let allowed = allowed.unwrap_or_default();
                    let detail = format!("{run} starts after {allowed} failures");
                    case.report(Rule::Budget, entry.at, detail);
                }
            }
            _ => {}
        }
    }
}

/// Number of failures that fails a task's job; `None` for a long-running step, which is retried without limit.
fn allowed_failures(record: &Record, task: &TaskName) -> Option<u32> {
    let long_running = step_of(record, task).is_some_and(|step| step.long_running);
    let job = record.jobs.get(&task.job);
    let allowed = job.map_or(u32::MAX, |job| job.queue.max_retries);
    (!long_running).then_some(allowed)
}

/// The task under which failures are counted: for a gang, always its first member.
fn budget_key(record: &Record, task: &TaskName) -> TaskName {
    TaskName {
        index: if is_gang(record, task) { 0 } else { task.index },
        ..task.clone()
    }
}

/// GANG: no member ends because the others did not start in time, unless its job is cancelled; and all members start
/// from the same checkpoint.
pub(super) fn gangs(case: &mut Case) {
    let record = case.record;
    let mut gang_checkpoints: HashMap<(TaskName, u32), &str> = HashMap::new();
    for entry in &record.entries {
        match &entry.event {
            Event::Ended {
                run,
                reason: EndReason::Alone,
                ..
            } => {
                let job = record.jobs.get(&run.task.job);
                let cancelled = job.and_then(|job| job.cancel_sent);
                if cancelled.is_none_or(|cancelled| cancelled > entry.at) {
                    let detail =
                        format!("{run} ended because the rest of its gang did not start in time");
                    case.report(Rule::Gang, entry.at, detail);
                }
            }
            Event::Started {
                run, checkpoint, ..
            } if is_gang(record, &run.task) => {
                let key = (budget_key(record, &run.task), run.attempt);
                if *gang_checkpoints.entry(key).or_insert(checkpoint) != checkpoint {
                    let detail = format!("{run} has another checkpoint than its gang");
                    case.report(Rule::Gang, entry.at, detail);
                }
            }
            _ => {}
        }
    }
}
