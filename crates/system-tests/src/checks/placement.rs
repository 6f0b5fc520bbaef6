//! Rules on where a task runs: capacity, routes, labels, spread, draining.

use super::{Case, Rule};
use crate::job::Step;
use crate::task::{RunName, TaskName};
use crate::wire::Capacity;
use crate::world::{Event, LifeId, LifeRecord, Record};
use std::collections::{BTreeMap, HashMap};

/// What is present on each life; follows the record event by event.
#[derive(Default)]
pub(super) struct Presence {
    runs: BTreeMap<LifeId, Vec<RunName>>,
}

impl Presence {
    pub(super) fn follow(&mut self, event: &Event) {
        match event {
            Event::Started { life, run, .. } => {
                self.runs.entry(*life).or_default().push(run.clone())
            }
            Event::Ended { life, run, .. } => {
                self.runs
                    .entry(*life)
                    .or_default()
                    .retain(|present| present != run);
            }
            Event::LifeOver { life } => _ = self.runs.remove(life),
            _ => {}
        }
    }

    pub(super) fn on(&self, life: LifeId) -> &[RunName] {
        self.runs.get(&life).map_or(&[], Vec::as_slice)
    }

    pub(super) fn everywhere(&self) -> impl Iterator<Item = (LifeId, &RunName)> {
        self.runs
            .iter()
            .flat_map(|(life, runs)| runs.iter().map(|run| (*life, run)))
    }
}

/// The step of a task that was sent.
pub(super) fn step_of<'a>(record: &'a Record, task: &TaskName) -> Option<&'a Step> {
    record.jobs.get(&task.job)?.job.stages.get(task.step)
}

/// LIMIT: what is being stopped counts until its end.
pub(super) fn limit(case: &mut Case) {
    let record = case.record;
    let mut presence = Presence::default();
    for entry in &record.entries {
        presence.follow(&entry.event);
        let Event::Started { life, run, .. } = &entry.event else {
            continue;
        };
        let mut used = Capacity::default();
        for resources in presence
            .on(*life)
            .iter()
            .filter_map(|run| Some(step_of(record, &run.task)?.resources()))
        {
            used.cpu += resources.cpu;
            used.mem_mb += resources.mem_mb;
            used.gpu += resources.gpu;
        }
        let LifeRecord {
            worker, capacity, ..
        } = record.life(*life);
        if used.cpu > capacity.cpu || used.mem_mb > capacity.mem_mb || used.gpu > capacity.gpu {
            case.report(
                Rule::Limit,
                entry.at,
                format!("{run} takes {worker} to {used:?} of {capacity:?}"),
            );
        }
    }
}

/// ROUTE: service, label, spread. No test moves a queue to another service.
pub(super) fn route(case: &mut Case) {
    let record = case.record;
    let mut presence = Presence::default();
    for entry in &record.entries {
        presence.follow(&entry.event);
        let Event::Started { life, run, .. } = &entry.event else {
            continue;
        };
        let (Some(job), Some(step)) = (record.jobs.get(&run.task.job), step_of(record, &run.task))
        else {
            continue;
        };
        let place = record.life(*life);
        let worker = &place.worker;
        if place.service != job.queue.service {
            let (is, wanted) = (&place.service, &job.queue.service);
            case.report(
                Rule::Route,
                entry.at,
                format!("{run} on {worker} of {is}, not {wanted}"),
            );
        }
        if !step.requirements.is_empty() && !place.labels.contains(&step.requirements) {
            case.report(
                Rule::Route,
                entry.at,
                format!("{run} on {worker} without {}", step.requirements),
            );
        }
        let beside = presence
            .on(*life)
            .iter()
            .filter(|other| other.task.same_step(&run.task))
            .count() as u64;
        if step.anti_affinity > 0 && beside > step.anti_affinity {
            case.report(
                Rule::Route,
                entry.at,
                format!("{run} is number {beside} of its step on {worker}"),
            );
        }
    }
}

/// DRAIN: nothing starts on a worker later than the bound after its draining was acknowledged.
pub(super) fn drain(case: &mut Case) {
    let record = case.record;
    let mut acknowledged = HashMap::new();
    for entry in &record.entries {
        match &entry.event {
            Event::DrainAcknowledged { life } => _ = acknowledged.insert(*life, entry.at),
            Event::Started { life, run, .. } => {
                let bound = acknowledged.get(life).map(|at| *at + case.bounds.drain);
                if bound.is_some_and(|bound| entry.at > bound) {
                    let worker = &record.life(*life).worker;
                    case.report(
                        Rule::Drain,
                        entry.at,
                        format!("{run} starts on {worker}, which drains"),
                    );
                }
            }
            _ => {}
        }
    }
}
