//! How the world moves on: state without I/O; every input carries the moment at which it comes.

use super::life::{Life, LifeId, WorkerSetup};
use super::record::{Entry, Event, JobRecord, JobState, Moment, Record};
use super::run::{Fate, Run, is_saved_by};
use crate::configuration::Queue;
use crate::job::{Job, Step};
use crate::settings::Bounds;
use crate::task::{RunName, TaskName};
use crate::wire::{Heartbeat, HeartbeatAnswer, How};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The world's state.
#[derive(Debug)]
pub struct State {
    bounds: Bounds,
    lives: Vec<Life>,
    record: Record,
    /// Starts of each task so far, on all workers.
    tries: HashMap<TaskName, u32>,
    /// All saved texts that were told.
    told: HashSet<String>,
}

impl State {
    /// No workers, no jobs.
    pub fn new(bounds: Bounds) -> Self {
        State {
            bounds,
            lives: Vec::new(),
            record: Record::default(),
            tries: HashMap::new(),
            told: HashSet::new(),
        }
    }

    /// What has happened.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// A life.
    pub fn life(&self, life: LifeId) -> &Life {
        &self.lives[life.0]
    }

    /// Notes an event.
    pub fn note(&mut self, at: Moment, event: Event) {
        self.record.entries.push(Entry { at, event });
    }

    /// A client is about to hand in a job.
    pub fn job_sent(&mut self, id: &str, job: &Job, queue: &Queue) {
        let new = || JobRecord::new(job.clone(), queue.clone());
        self.record
            .jobs
            .entry(id.to_owned())
            .or_insert_with(new)
            .calls += 1;
    }

    /// Changes what is known of a job.
    pub fn job(&mut self, id: &str, change: impl FnOnce(&mut JobRecord)) {
        if let Some(job) = self.record.jobs.get_mut(id) {
            change(job);
        }
    }

    /// A client was shown a job's state.
    pub fn job_shown(&mut self, id: &str, asked: Moment, state: Option<JobState>, now: Moment) {
        self.note(
            now,
            Event::Shown {
                job: id.to_owned(),
                asked,
                state,
            },
        );
    }

    /// A worker starts.
    pub fn begin_life(&mut self, setup: &WorkerSetup, now: Moment) -> LifeId {
        let (id, life) = (LifeId(self.lives.len()), Life::new(setup));
        self.record.lives.push(life.record());
        self.lives.push(life);
        self.note(now, Event::LifeBegan { life: id });
        id
    }

    /// A worker is gone.
    pub fn end_life(&mut self, life: LifeId, now: Moment) {
        if !self.lives[life.0].is_up() {
            return;
        }
        let dead = self.lives[life.0].end();
        self.note(now, Event::LifeOver { life });
        for run in dead {
            self.end_gang(&run, How::Broken, now);
        }
    }

    /// A worker will leave.
    pub fn drain(&mut self, life: LifeId, remaining: Duration, now: Moment) {
        self.lives[life.0].start_draining(remaining, now);
    }

    /// A worker's id and heartbeat.
    pub fn heartbeat(&mut self, life: LifeId, now: Moment) -> Option<(String, Heartbeat)> {
        let (id, heartbeat) = Some(&mut self.lives[life.0])
            .filter(|life| life.is_up())?
            .heartbeat(now);
        let running = heartbeat.running.iter().map(|(_, _, saved, _)| saved);
        let finished = heartbeat.finished.iter().map(|(_, _, _, _, saved)| saved);
        self.told.extend(running.chain(finished).cloned());
        Some((id, heartbeat))
    }

    /// The answer to a heartbeat.
    pub fn answered(&mut self, id: LifeId, sent: Moment, answer: &HeartbeatAnswer, now: Moment) {
        let bounds = self.bounds;
        let life = &mut self.lives[id.0];
        if !life.is_up() {
            return;
        }
        let draining = life.is_draining();
        if life.acknowledge_drain(draining, now) {
            self.note(now, Event::DrainAcknowledged { life: id });
        }
        let life = &mut self.lives[id.0];
        if !life.accepts_fence(answer.fence_token) {
            return;
        }
        if let Some(hold) = answer.hold_ms {
            life.extend_hold(sent, Duration::from_millis(hold), &bounds);
        }
        for (run, how) in answer
            .last_seen
            .map(|seen| life.forget_ends(seen))
            .unwrap_or_default()
        {
            self.note(now, Event::Noted { life: id, run, how });
        }
        answer
            .stop
            .iter()
            .for_each(|(task, attempt)| self.stop(id, task, *attempt, now));
        if answer.hold_ms.is_some() {
            for (task, attempt, spec, saved) in &answer.start {
                self.start(id, task, *attempt, (spec, saved), now);
            }
        }
    }

    fn stop(&mut self, id: LifeId, task: &str, attempt: u32, now: Moment) {
        let Some(run) = self.run_name(id, task, attempt, now) else {
            return;
        };
        let (bounds, life) = (self.bounds, &mut self.lives[id.0]);
        match life.runs.get_mut(&run) {
            Some(present) => present.stop(&bounds, now),
            None => life.bar(&run),
        }
    }

    fn start(
        &mut self,
        id: LifeId,
        task: &str,
        attempt: u32,
        (spec, saved): (&str, &str),
        now: Moment,
    ) {
        let Some(run) = self.run_name(id, task, attempt, now) else {
            return;
        };
        let life = &mut self.lives[id.0];
        if life.runs.contains_key(&run) || !life.is_held(now) {
            return;
        }
        if life.refuses(&run) {
            life.list_end(run.clone(), How::Refused, String::new(), now);
            self.note(
                now,
                Event::Ended {
                    life: id,
                    run,
                    how: How::Refused,
                },
            );
            return;
        }
        let step = self.step_of(&run.task);
        let gang = step.as_ref().is_some_and(|step| step.gang);
        let known = saved.is_empty() || self.told.contains(saved);
        let saved_is_its_own = known && (saved.is_empty() || is_saved_by(saved, &run.task, gang));
        let (spec, saved) = (spec.to_owned(), saved.to_owned());
        let name = run.clone();
        self.note(
            now,
            Event::Started {
                life: id,
                run,
                spec,
                saved: saved.clone(),
                saved_is_its_own,
            },
        );
        if let Some(step) = step {
            self.begin_run(id, name, &step, saved, now);
        }
    }

    fn begin_run(&mut self, id: LifeId, name: RunName, step: &Step, saved: String, now: Moment) {
        let fate = self.fate_of(&name.task, step);
        let run = Run::new(name.clone(), step, fate, saved, &self.bounds, now);
        self.lives[id.0].runs.insert(name.clone(), run);
        if step.gang {
            self.begin_gang(&name, step.count, now);
        }
    }

    /// Begins a gang's work once all its members are present.
    fn begin_gang(&mut self, name: &RunName, count: u32, now: Moment) {
        let bounds = self.bounds;
        let up = self.lives.iter_mut().filter(|life| life.is_up());
        let runs = up.flat_map(|life| life.runs.values_mut());
        let members: Vec<&mut Run> = runs
            .filter(|run| run.name.same_gang(name) && run.is_waiting())
            .collect();
        let present: HashSet<u32> = members.iter().map(|run| run.name.task.index).collect();
        if present.len() == count as usize {
            members.into_iter().for_each(|run| run.begin(&bounds, now));
        }
    }

    fn fate_of(&mut self, task: &TaskName, step: &Step) -> Fate {
        let tries = self.tries.entry(task.clone()).or_default();
        *tries += 1;
        // A gang fails by its first member.
        let may_fail = !step.gang || task.index == 0;
        match (step.long_running, step.behaviour.first_hangs && *tries == 1) {
            (_, true) => Fate::Hangs,
            _ if may_fail && *tries <= step.behaviour.failures => Fate::Fails,
            (true, _) => Fate::Lasts,
            (false, _) => Fate::Done,
        }
    }

    /// The next moment at which something happens by itself.
    pub fn next_due(&self) -> Option<Moment> {
        self.earliest().map(|(at, _, _)| at)
    }

    /// Brings about all that has come due by `now`, in order.
    pub fn advance(&mut self, now: Moment) {
        while let Some((at, life, due)) = self.earliest().filter(|(at, _, _)| *at <= now) {
            match due {
                Some((run, how)) => self.end_run(life, &run, how, at),
                None => {
                    let lapsed = self.lives[life.0].lapse(at);
                    lapsed
                        .iter()
                        .for_each(|run| self.end_run(life, run, How::Lapsed, at));
                }
            }
        }
    }

    #[allow(clippy::type_complexity)]
    fn earliest(&self) -> Option<(Moment, LifeId, Option<(RunName, How)>)> {
        let lives = self
            .lives
            .iter()
            .enumerate()
            .filter(|(_, life)| life.is_up());
        let due = lives.filter_map(|(number, life)| {
            let (at, due) = life.next_due()?;
            Some((at, LifeId(number), due))
        });
        due.min_by_key(|(at, _, _)| *at)
    }

    fn end_run(&mut self, id: LifeId, name: &RunName, how: How, at: Moment) {
        let life = &mut self.lives[id.0];
        let Some(mut run) = life.runs.remove(name) else {
            return;
        };
        let saved = run.saved_at_end(how, at);
        life.bar(name);
        life.list_end(name.clone(), how, saved, at);
        self.note(
            at,
            Event::Ended {
                life: id,
                run: name.clone(),
                how,
            },
        );
        let others = if how == How::Done {
            How::Done
        } else {
            How::Broken
        };
        self.end_gang(&run, others, at);
    }

    /// Ends the other members of a gang that was at work.
    fn end_gang(&mut self, ended: &Run, how: How, at: Moment) {
        if !ended.gang || ended.is_waiting() {
            return;
        }
        let mut members = Vec::new();
        for (number, life) in self
            .lives
            .iter()
            .enumerate()
            .filter(|(_, life)| life.is_up())
        {
            let names = life.runs.keys().filter(|run| run.same_gang(&ended.name));
            members.extend(names.map(|run| (LifeId(number), run.clone())));
        }
        for (life, run) in members {
            self.end_run(life, &run, how, at);
        }
    }

    fn run_name(&mut self, life: LifeId, task: &str, attempt: u32, now: Moment) -> Option<RunName> {
        let name = TaskName::parse(task).map(|task| RunName { task, attempt });
        if name.is_none() {
            self.note(
                now,
                Event::Unreadable {
                    life,
                    why: format!("`{task}` names no task"),
                },
            );
        }
        name
    }

    fn step_of(&self, task: &TaskName) -> Option<Step> {
        let job = &self.record.jobs.get(&task.job)?.job;
        let step = job.stages.get(task.step)?;
        (task.repeat < job.repeats() && task.index < step.count).then(|| step.clone())
    }
}
