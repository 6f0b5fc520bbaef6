//! Rules on where a task runs: capacity, routes, labels, spread, draining.

use super::case::{Case, Rule, step_of};
use super::presence::Presence;
use crate::environment::{Entry, Event, InstanceIndex};
use crate::task::RunName;
use crate::wire::Capacity;
use std::collections::HashMap;

/// Calls `examine` for each start of a run, with the runs that are present right after it.
fn each_start(
    case: &mut Case,
    mut examine: impl FnMut(&mut Case, &Presence, &Entry, InstanceIndex, &RunName),
) {
    let record = case.record;
    let mut presence = Presence::default();
    for entry in &record.entries {
        presence.apply(&entry.event);
        if let Event::Started { instance, run, .. } = &entry.event {
            examine(case, &presence, entry, *instance, run);
        }
    }
}

/// LIMIT: the runs on an instance never use more than its capacity. A run that is being stopped counts until its end.
pub(super) fn limit(case: &mut Case) {
    each_start(case, |case, presence, entry, instance, run| {
        let record = case.record;
        let mut used = Capacity::default();
        let present = presence.on(instance).iter();
        for resources in present.filter_map(|run| Some(step_of(record, &run.task)?.resources())) {
            used.cpu += resources.cpu;
            used.mem_mb += resources.mem_mb;
            used.gpu += resources.gpu;
        }
        let target = record.instance(instance);
        let (worker, capacity) = (&target.worker, &target.capacity);
        if used.cpu > capacity.cpu || used.mem_mb > capacity.mem_mb || used.gpu > capacity.gpu {
            let detail = format!("{run} takes {worker} to {used:?} of {capacity:?}");
            case.report(Rule::Limit, entry.at, detail);
        }
    });
}

/// ROUTE: a run's worker has the queue's service and the step's label, and stays within the step's spread limit. The
/// queue's service at submission is compared, as no test moves a queue to another service.
pub(super) fn route(case: &mut Case) {
    each_start(case, |case, presence, entry, instance, run| {
        let record = case.record;
        let (Some(job), Some(step)) = (record.jobs.get(&run.task.job), step_of(record, &run.task))
        else {
            return;
        };
        let target = record.instance(instance);
        let worker = &target.worker;
        if target.service != job.queue.service {
            let (actual, wanted) = (&target.service, &job.queue.service);
            let detail = format!("{run} on {worker} of {actual}, not {wanted}");
            case.report(Rule::Route, entry.at, detail);
        }
        let label = &step.requirements;
        if !label.is_empty() && !target.labels.contains(label) {
            let detail = format!("{run} on {worker} without {label}");
            case.report(Rule::Route, entry.at, detail);
        }
        let present = presence.on(instance).iter();
        let same_step = present.filter(|other| other.task.same_step(&run.task));
        let count = same_step.count() as u64;
        if step.anti_affinity > 0 && count > step.anti_affinity {
            let detail = format!("{run} is number {count} of its step on {worker}");
            case.report(Rule::Route, entry.at, detail);
        }
    });
}

/// DRAIN: no run starts on an instance later than the drain bound after its draining was acknowledged.
pub(super) fn drain(case: &mut Case) {
    let record = case.record;
    let mut acknowledged = HashMap::new();
    for entry in &record.entries {
        match &entry.event {
            Event::DrainAcknowledged { instance } => {
                acknowledged.insert(*instance, entry.at);
            }
            Event::Started { instance, run, .. } => {
                let bound = acknowledged.get(instance).map(|at| *at + case.bounds.drain);
                if bound.is_some_and(|bound| entry.at > bound) {
                    let worker = &record.instance(*instance).worker;
                    let detail = format!("{run} starts on {worker}, which drains");
                    case.report(Rule::Drain, entry.at, detail);
                }
            }
            _ => {}
        }
    }
}
