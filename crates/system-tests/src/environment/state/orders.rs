//! Applies responses to heartbeats: acknowledgements, run leases, stop orders and start orders.

use super::State;
use crate::environment::instance::Instance;
use crate::environment::record::{Event, InstanceIndex, Moment};
use crate::environment::run::{PlannedEnd, Run, is_checkpoint_of};
use crate::job::Step;
use crate::task::{RunName, TaskName};
use crate::wire::{EndReason, HeartbeatResponse, StartOrder, StopOrder};
use std::collections::HashSet;
use std::time::Duration;

impl State {
    /// Applies the response to a heartbeat that was sent at `sent`. A response with an outdated fencing token only
    /// acknowledges the draining; start orders need a run lease in the same response.
    pub(crate) fn handle_heartbeat_response(
        &mut self,
        index: InstanceIndex,
        sent: Moment,
        response: &HeartbeatResponse,
        now: Moment,
    ) {
        if !self.instances[index.0].is_up() {
            return;
        }
        self.acknowledge_drain(index, now);
        let bounds = self.bounds;
        let instance = &mut self.instances[index.0];
        if !instance.accepts_fencing_token(response.fencing_token) {
            return;
        }
        if let Some(lease_ms) = response.run_lease_ms {
            instance.extend_lease(sent, Duration::from_millis(lease_ms), &bounds);
        }
        if let Some(acknowledged_end) = response.acknowledged_end {
            self.acknowledge_ends(index, acknowledged_end, now);
        }
        for order in &response.stop {
            self.stop(index, order, now);
        }
        if response.run_lease_ms.is_some() {
            for order in &response.start {
                self.start(index, order, now);
            }
        }
    }

    fn acknowledge_drain(&mut self, index: InstanceIndex, now: Moment) {
        let instance = &mut self.instances[index.0];
        let draining = instance.is_draining();
        if instance.acknowledge_drain(draining, now) {
            self.push_event(now, Event::DrainAcknowledged { instance: index });
        }
    }

    fn acknowledge_ends(&mut self, index: InstanceIndex, acknowledged_end: u64, now: Moment) {
        for (run, reason) in self.instances[index.0].acknowledge_ends(acknowledged_end) {
            let event = Event::EndAcknowledged {
                instance: index,
                run,
                reason,
            };
            self.push_event(now, event);
        }
    }

    fn stop(&mut self, index: InstanceIndex, order: &StopOrder, now: Moment) {
        let Some(run) = self.run_name(index, &order.task, order.attempt, now) else {
            return;
        };
        let (bounds, instance) = (self.bounds, &mut self.instances[index.0]);
        match instance.runs.get_mut(&run) {
            Some(present) => present.stop(&bounds, now),
            None => instance.refuse_up_to(&run),
        }
    }

    fn start(&mut self, index: InstanceIndex, order: &StartOrder, now: Moment) {
        let Some(run) = self.run_name(index, &order.task, order.attempt, now) else {
            return;
        };
        let instance = &self.instances[index.0];
        if instance.runs.contains_key(&run) || !instance.has_lease(now) {
            return;
        }
        if instance.refuses(&run) {
            self.refuse(index, run, now);
            return;
        }
        let step = self.step_of(&run.task);
        let gang = step.as_ref().is_some_and(|step| step.gang);
        let event = Event::Started {
            instance: index,
            run: run.clone(),
            spec: order.spec.clone(),
            checkpoint: order.checkpoint.clone(),
            checkpoint_is_own: self.is_own_checkpoint(&order.checkpoint, &run.task, gang),
        };
        self.push_event(now, event);
        if let Some(step) = step {
            self.start_run(index, run, &step, order.checkpoint.clone(), now);
        }
    }

    fn refuse(&mut self, index: InstanceIndex, run: RunName, now: Moment) {
        let reason = EndReason::Refused;
        let ended_runs = &mut self.instances[index.0].ended_runs;
        ended_runs.add(run.clone(), reason, String::new(), now);
        let event = Event::Ended {
            instance: index,
            run,
            reason,
        };
        self.push_event(now, event);
    }

    /// Whether a checkpoint is empty, or was reported by this task or its gang before.
    fn is_own_checkpoint(&self, checkpoint: &str, task: &TaskName, gang: bool) -> bool {
        checkpoint.is_empty()
            || (self.reported_checkpoints.contains(checkpoint)
                && is_checkpoint_of(checkpoint, task, gang))
    }

    fn start_run(
        &mut self,
        index: InstanceIndex,
        name: RunName,
        step: &Step,
        checkpoint: String,
        now: Moment,
    ) {
        let planned_end = self.planned_end_of(&name.task, step);
        let run = Run::new(
            name.clone(),
            step,
            planned_end,
            checkpoint,
            &self.bounds,
            now,
        );
        self.instances[index.0].runs.insert(name.clone(), run);
        if step.gang {
            self.begin_gang(&name, step.count, now);
        }
    }

    /// Begins a gang's work once all its members are present.
    fn begin_gang(&mut self, name: &RunName, count: u32, now: Moment) {
        let bounds = self.bounds;
        let up = self
            .instances
            .iter_mut()
            .filter(|instance| instance.is_up());
        let runs = up.flat_map(|instance: &mut Instance| instance.runs.values_mut());
        let members: Vec<&mut Run> = runs
            .filter(|run| run.name.same_gang(name) && run.is_waiting())
            .collect();
        let present: HashSet<u32> = members.iter().map(|run| run.name.task.index).collect();
        if present.len() == count as usize {
            members.into_iter().for_each(|run| run.begin(&bounds, now));
        }
    }

    /// Chooses how a run ends from its step's behaviour, and counts the run among the task's attempts.
    fn planned_end_of(&mut self, task: &TaskName, step: &Step) -> PlannedEnd {
        let attempts = self.attempts.entry(task.clone()).or_default();
        *attempts += 1;
        // Only the first member of a gang fails; its failure ends the others.
        let may_fail = !step.gang || task.index == 0;
        if step.behaviour.first_hangs && *attempts == 1 {
            PlannedEnd::Hangs
        } else if may_fail && *attempts <= step.behaviour.failures {
            PlannedEnd::Fails
        } else if step.long_running {
            PlannedEnd::RunsUntilStopped
        } else {
            PlannedEnd::Done
        }
    }

    /// The run with this task name; records an event and returns `None` if the name cannot be parsed.
    fn run_name(
        &mut self,
        instance: InstanceIndex,
        task: &str,
        attempt: u32,
        now: Moment,
    ) -> Option<RunName> {
        let name = TaskName::parse(task).map(|task| RunName { task, attempt });
        if name.is_none() {
            let why = format!("`{task}` names no task");
            self.push_event(now, Event::Unreadable { instance, why });
        }
        name
    }

    fn step_of(&self, task: &TaskName) -> Option<Step> {
        let job = &self.record.jobs.get(&task.job)?.job;
        let step = job.stages.get(task.step)?;
        (task.repeat < job.repeats() && task.index < step.count).then(|| step.clone())
    }
}
