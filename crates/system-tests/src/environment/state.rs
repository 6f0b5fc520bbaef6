//! State of the environment, without I/O: the time is an argument of every input.

mod orders;

use super::instance::{Due, Instance, WorkerSetup};
use super::record::{Entry, Event, InstanceIndex, JobRecord, JobState, Moment, Record};
use super::run::Run;
use crate::configuration::Queue;
use crate::job::Job;
use crate::settings::Bounds;
use crate::task::{RunName, TaskName};
use crate::wire::{EndReason, Heartbeat};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The instances of all workers, and the record.
#[derive(Debug)]
pub(super) struct State {
    bounds: Bounds,
    instances: Vec<Instance>,
    record: Record,
    /// Number of starts of each task so far, on all workers.
    attempts: HashMap<TaskName, u32>,
    /// All checkpoints that heartbeats have reported.
    reported_checkpoints: HashSet<String>,
}

/// An event that occurs without an input, on one instance.
struct DueEvent {
    at: Moment,
    instance: InstanceIndex,
    due: Due,
}

impl State {
    /// Creates a state without workers and jobs.
    pub(super) fn new(bounds: Bounds) -> Self {
        State {
            bounds,
            instances: Vec::new(),
            record: Record::default(),
            attempts: HashMap::new(),
            reported_checkpoints: HashSet::new(),
        }
    }

    /// The record of all events so far.
    pub(super) fn record(&self) -> &Record {
        &self.record
    }

    /// The instance with this index.
    pub(super) fn instance(&self, instance: InstanceIndex) -> &Instance {
        &self.instances[instance.0]
    }

    /// Adds an event to the record.
    pub(super) fn push_event(&mut self, at: Moment, event: Event) {
        self.record.entries.push(Entry { at, event });
    }

    /// Records that a client is about to submit a job.
    pub(super) fn job_sent(&mut self, id: &str, job: &Job, queue: &Queue) {
        let new = || JobRecord::new(job.clone(), queue.clone());
        let record = self.record.jobs.entry(id.to_owned()).or_insert_with(new);
        record.submissions += 1;
    }

    /// Changes the record of a job, if there is one.
    pub(super) fn change_job(&mut self, id: &str, change: impl FnOnce(&mut JobRecord)) {
        if let Some(job) = self.record.jobs.get_mut(id) {
            change(job);
        }
    }

    /// Records the state of a job that was shown to a client.
    pub(super) fn job_shown(
        &mut self,
        id: &str,
        requested_at: Moment,
        state: Option<JobState>,
        now: Moment,
    ) {
        let event = Event::JobStateShown {
            job: id.to_owned(),
            requested_at,
            state,
        };
        self.push_event(now, event);
    }

    /// Starts an instance of a worker.
    pub(super) fn start_instance(&mut self, setup: &WorkerSetup, now: Moment) -> InstanceIndex {
        let (index, instance) = (InstanceIndex(self.instances.len()), Instance::new(setup));
        self.record.instances.push(instance.record());
        self.instances.push(instance);
        self.push_event(now, Event::InstanceStarted { instance: index });
        index
    }

    /// Ends an instance and its runs; does nothing if it has already ended.
    pub(super) fn end_instance(&mut self, instance: InstanceIndex, now: Moment) {
        if !self.instances[instance.0].is_up() {
            return;
        }
        let ended = self.instances[instance.0].end();
        self.push_event(now, Event::InstanceEnded { instance });
        for run in ended {
            self.end_gang(&run, EndReason::Broken, now);
        }
    }

    /// Starts draining an instance.
    pub(super) fn drain(&mut self, instance: InstanceIndex, remaining: Duration, now: Moment) {
        self.instances[instance.0].start_draining(remaining, now);
    }

    /// An instance's id and heartbeat; `None` once it has ended.
    pub(super) fn heartbeat(
        &mut self,
        instance: InstanceIndex,
        now: Moment,
    ) -> Option<(String, Heartbeat)> {
        let (id, heartbeat) = Some(&mut self.instances[instance.0])
            .filter(|instance| instance.is_up())?
            .heartbeat(now);
        let running = heartbeat.running.iter().map(|run| &run.checkpoint);
        let finished = heartbeat.finished.iter().map(|end| &end.checkpoint);
        let reported = running.chain(finished).cloned();
        self.reported_checkpoints.extend(reported);
        Some((id, heartbeat))
    }

    /// When the next event is due; `None` if there is none.
    pub(super) fn next_due(&self) -> Option<Moment> {
        self.earliest().map(|event| event.at)
    }

    /// Handles all events that are due by `now`, in order.
    pub(super) fn advance(&mut self, now: Moment) {
        while let Some(event) = self.earliest().filter(|event| event.at <= now) {
            let DueEvent { at, instance, due } = event;
            match due {
                Due::RunEnds(run, reason) => self.end_run(instance, &run, reason, at),
                Due::LeaseExpires => {
                    for run in self.instances[instance.0].expire_lease(at) {
                        self.end_run(instance, &run, EndReason::Expired, at);
                    }
                }
            }
        }
    }

    fn earliest(&self) -> Option<DueEvent> {
        let due = self.up_instances().filter_map(|(instance, state)| {
            let (at, due) = state.next_due()?;
            Some(DueEvent { at, instance, due })
        });
        due.min_by_key(|event| event.at)
    }

    fn up_instances(&self) -> impl Iterator<Item = (InstanceIndex, &Instance)> {
        let instances = self.instances.iter().enumerate();
        instances
            .filter(|(_, instance)| instance.is_up())
            .map(|(index, instance)| (InstanceIndex(index), instance))
    }

    fn end_run(&mut self, index: InstanceIndex, name: &RunName, reason: EndReason, at: Moment) {
        let instance = &mut self.instances[index.0];
        let Some(mut run) = instance.runs.remove(name) else {
            return;
        };
        let checkpoint = run.final_checkpoint(reason, at);
        instance.refuse_up_to(name);
        instance
            .ended_runs
            .add(name.clone(), reason, checkpoint, at);
        let event = Event::Ended {
            instance: index,
            run: name.clone(),
            reason,
        };
        self.push_event(at, event);
        let reason_of_others = match reason {
            EndReason::Done => EndReason::Done,
            _ => EndReason::Broken,
        };
        self.end_gang(&run, reason_of_others, at);
    }

    /// Ends the other members of the ended run's gang, unless the gang has not begun its work.
    fn end_gang(&mut self, ended: &Run, reason: EndReason, at: Moment) {
        if !ended.gang || ended.is_waiting() {
            return;
        }
        let mut members = Vec::new();
        for (index, instance) in self.up_instances() {
            let runs = instance.runs.keys();
            let same_gang = runs.filter(|run| run.same_gang(&ended.name));
            members.extend(same_gang.map(|run| (index, run.clone())));
        }
        for (index, run) in members {
            self.end_run(index, &run, reason, at);
        }
    }
}
