//! Rules on the runs of a task: once at a time, in order, numbered, within their budget, gangs whole.

use super::placement::{Presence, step_of};
use super::{Case, Rule};
use crate::job::since_1970;
use crate::task::{RunName, TaskName};
use crate::wire::How;
use crate::world::{Event, Record};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

fn is_speculative(record: &Record, task: &TaskName) -> bool {
    step_of(record, task).is_some_and(|step| step.speculative)
}

/// TWICE: neither two runs at once nor a start after a `done` that is taken note of then or later.
pub(super) fn twice(case: &mut Case) {
    let record = case.record;
    let noted = noted(record, How::Done);
    let mut presence = Presence::default();
    let mut done: HashSet<&TaskName> = HashSet::new();
    for entry in &record.entries {
        match &entry.event {
            Event::Started { life, run, .. } if !is_speculative(record, &run.task) => {
                let beside = presence
                    .everywhere()
                    .find(|(_, other)| other.task == run.task);
                if let Some((other_life, other)) = beside {
                    let (here, there) =
                        (&record.life(*life).worker, &record.life(other_life).worker);
                    case.report(
                        Rule::Twice,
                        entry.at,
                        format!("{run} on {here} while {other} is on {there}"),
                    );
                }
                if done.contains(&run.task) {
                    case.report(
                        Rule::Twice,
                        entry.at,
                        format!("{run} starts after its task was done"),
                    );
                }
            }
            Event::Ended {
                life,
                run,
                how: How::Done,
            } if noted.contains(&(*life, run)) => {
                done.insert(&run.task);
            }
            _ => {}
        }
        presence.follow(&entry.event);
    }
}

/// Ends of this kind that were taken note of at some time.
fn noted(record: &Record, wanted: How) -> HashSet<(crate::world::LifeId, &RunName)> {
    let events = record.entries.iter().map(|entry| &entry.event);
    let noted = events.filter_map(|event| match event {
        Event::Noted { life, run, how } if *how == wanted => Some((*life, run)),
        _ => None,
    });
    noted.collect()
}

/// ORDER: the steps before are done, and a repetition's time has come.
pub(super) fn order(case: &mut Case) {
    let record = case.record;
    let mut done: HashSet<&TaskName> = HashSet::new();
    for entry in &record.entries {
        match &entry.event {
            Event::Ended {
                run,
                how: How::Done,
                ..
            } => _ = done.insert(&run.task),
            Event::Started { run, .. } => {
                if let Some(missing) = first_missing(record, &run.task, &done) {
                    case.report(
                        Rule::Order,
                        entry.at,
                        format!("{run} starts before {missing} is done"),
                    );
                }
                let early = earliness(case, &run.task, entry.at);
                if early > case.bounds.early {
                    case.report(
                        Rule::Order,
                        entry.at,
                        format!("{run} starts {early:?} before its time"),
                    );
                }
            }
            _ => {}
        }
    }
}

fn first_missing(record: &Record, task: &TaskName, done: &HashSet<&TaskName>) -> Option<TaskName> {
    let job = &record.jobs.get(&task.job)?.job;
    let before = &job.stages.get(task.step)?.depends_on;
    let tasks = before.iter().flat_map(|step| {
        let count = job.stages.get(*step).map_or(0, |step| step.count);
        (0..count).map(|index| TaskName {
            step: *step,
            index,
            ..task.clone()
        })
    });
    tasks.into_iter().find(|task| !done.contains(task))
}

/// How long before its repetition's due time a task started.
fn earliness(case: &Case, task: &TaskName, at: Duration) -> Duration {
    let job = case.record.jobs.get(&task.job);
    let Some(due) = job.and_then(|job| job.job.due(task.repeat)) else {
        return Duration::ZERO;
    };
    let started = since_1970().saturating_sub(case.now.saturating_sub(at));
    due.saturating_sub(started)
}

/// Run numbers of a task rise from start to start.
pub(super) fn attempts(case: &mut Case) {
    let record = case.record;
    let mut highest: HashMap<&TaskName, u32> = HashMap::new();
    for entry in &record.entries {
        let Event::Started { run, .. } = &entry.event else {
            continue;
        };
        let before = highest.insert(&run.task, run.attempt).unwrap_or(0);
        if run.attempt <= before && !is_speculative(record, &run.task) {
            case.report(
                Rule::Attempt,
                entry.at,
                format!("{run} starts after run {before}"),
            );
        }
    }
}

/// BUDGET: no start after as many noted failures as the queue allows. A gang fails as one.
pub(super) fn budget(case: &mut Case) {
    let record = case.record;
    let noted = noted(record, How::Failed);
    let mut failures: HashMap<TaskName, u32> = HashMap::new();
    for entry in &record.entries {
        match &entry.event {
            Event::Ended {
                life,
                run,
                how: How::Failed,
            } if noted.contains(&(*life, run)) => {
                *failures.entry(budget_key(record, &run.task)).or_default() += 1;
            }
            Event::Started { run, .. } => {
                let key = budget_key(record, &run.task);
                let allowed = record
                    .jobs
                    .get(&run.task.job)
                    .map_or(u32::MAX, |job| job.queue.max_retries);
                let lasts = step_of(record, &run.task).is_some_and(|step| step.long_running);
                if !lasts
                    && failures
                        .get(&key)
                        .is_some_and(|failures| *failures >= allowed)
                {
                    case.report(
                        Rule::Budget,
                        entry.at,
                        format!("{run} starts after {allowed} failures"),
                    );
                }
            }
            _ => {}
        }
    }
}

/// The task that failures are counted at: of a gang, always the first.
fn budget_key(record: &Record, task: &TaskName) -> TaskName {
    let gang = step_of(record, task).is_some_and(|step| step.gang);
    TaskName {
        index: if gang { 0 } else { task.index },
        ..task.clone()
    }
}

/// GANG: no member waits in vain before its job is cancelled, and all members carry the same progress.
pub(super) fn gangs(case: &mut Case) {
    let record = case.record;
    let mut carried: HashMap<(TaskName, u32), &str> = HashMap::new();
    for entry in &record.entries {
        match &entry.event {
            Event::Ended {
                run,
                how: How::Alone,
                ..
            } => {
                let cancelled = record
                    .jobs
                    .get(&run.task.job)
                    .and_then(|job| job.cancel_sent);
                if cancelled.is_none_or(|cancelled| cancelled > entry.at) {
                    case.report(Rule::Gang, entry.at, format!("{run} has waited in vain"));
                }
            }
            Event::Started { run, saved, .. }
                if step_of(record, &run.task).is_some_and(|step| step.gang) =>
            {
                let key = (budget_key(record, &run.task), run.attempt);
                if *carried.entry(key).or_insert(saved) != saved {
                    case.report(
                        Rule::Gang,
                        entry.at,
                        format!("{run} carries other progress than its gang"),
                    );
                }
            }
            _ => {}
        }
    }
}
