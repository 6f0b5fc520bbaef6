//! One pass over the rows: jobs and tasks by queue, what each worker is given, and one job in full where it is asked
//! for. Runs on the storage thread.

use super::rows::{self, Definition, Progress, RowName, StepRow, unfinished_before};
use indigofold_protocol::inspection::{EndedJobs, QueueStatus, TaskCounts};
use indigofold_protocol::job::{JobState, Resources, Step};
use indigofold_protocol::task::JobId;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// What the rows tell.
#[derive(Debug, Default)]
pub struct Survey {
    /// The open jobs of each queue, by the route's name.
    pub queues: BTreeMap<String, QueueStatus>,
    /// Ended jobs that are still shown.
    pub ended: EndedJobs,
    /// What outstanding runs take on each worker, by its life.
    pub used: FxHashMap<String, Resources>,
    /// The job asked for, if there is such a job.
    pub job: Option<JobRecord>,
    /// Rows of the scheduler that cannot be read.
    pub unreadable: u64,
    wanted: Option<JobId>,
    /// Jobs whose progress is to come: it follows in the order of keys.
    outlines: FxHashMap<JobId, Outline>,
}

/// A job in full.
#[derive(Debug)]
pub struct JobRecord {
    /// Its id.
    pub id: JobId,
    /// As it was taken; not kept for ended jobs.
    pub definition: Option<Definition>,
    /// How far it has come.
    pub progress: Progress,
}

/// What of a job's definition its progress is read with.
#[derive(Debug)]
struct Outline {
    route: String,
    steps: Vec<Step>,
    definition: Option<Definition>,
}

impl Survey {
    /// A survey that also keeps the job `wanted`.
    pub fn new(wanted: Option<JobId>) -> Self {
        Survey {
            wanted,
            ..Survey::default()
        }
    }

    /// Takes a row in. Rows must come in the order of their keys.
    pub fn row(&mut self, key: &[u8], value: &[u8]) {
        let read = match RowName::parse(key) {
            Some(RowName::Job(id)) => {
                rows::read_definition(value).map(|definition| self.definition(id, definition))
            }
            Some(RowName::Progress(id)) => {
                rows::read_progress(value).map(|progress| self.progress(id, progress))
            }
            None => return,
        };
        self.unreadable += u64::from(read.is_none());
    }

    fn definition(&mut self, id: JobId, definition: Definition) {
        let is_wanted = self.wanted == Some(id);
        let outline = Outline {
            route: definition.route.clone(),
            steps: definition.spec.stages.clone(),
            definition: is_wanted.then_some(definition),
        };
        self.outlines.insert(id, outline);
    }

    fn progress(&mut self, id: JobId, progress: Progress) {
        let outline = self.outlines.remove(&id);
        if let Some(outline) = &outline {
            self.runs(&outline.steps, &progress);
        }
        match (progress.end, &outline) {
            (Some(end), _) => self.ended(end.state),
            (None, Some(outline)) => self.open(outline, &progress),
            (None, None) => self.unreadable += 1,
        }
        if self.wanted == Some(id) {
            let definition = outline.and_then(|outline| outline.definition);
            self.job = Some(JobRecord {
                id,
                definition,
                progress,
            });
        }
    }

    fn ended(&mut self, state: JobState) {
        match state {
            JobState::Completed => self.ended.completed += 1,
            JobState::Failed => self.ended.failed += 1,
            JobState::Cancelled => self.ended.cancelled += 1,
            JobState::Queued | JobState::Running => self.unreadable += 1,
        }
    }

    fn open(&mut self, outline: &Outline, progress: &Progress) {
        let queue = self.queues.entry(outline.route.clone()).or_default();
        queue.queue.clone_from(&outline.route);
        if progress.has_started() {
            queue.running += 1;
        } else {
            queue.queued += 1;
        }
        for (_, steps) in &progress.repeats {
            queue.tasks.add(repeat_counts(&outline.steps, steps));
        }
    }

    fn runs(&mut self, described: &[Step], progress: &Progress) {
        for (step, row) in progress
            .repeats
            .iter()
            .flat_map(|(_, rows)| described.iter().zip(rows))
        {
            let runs = row.tasks().iter().filter_map(|task| task.run);
            let instances =
                runs.filter_map(|(instance, _)| progress.instances.get(instance as usize));
            instances.for_each(|instance| self.occupy(instance, step));
        }
        for copy in &progress.copies {
            if let Some(step) = described.get(copy.step as usize) {
                self.occupy(&copy.instance, step);
            }
        }
    }

    fn occupy(&mut self, instance: &str, step: &Step) {
        let used = self.used.entry(instance.to_owned()).or_default();
        *used = used.plus(&step.resources());
    }
}

/// The tasks of one repetition.
fn repeat_counts(described: &[Step], steps: &[StepRow]) -> TaskCounts {
    let mut counts = TaskCounts::default();
    for (step, row) in described.iter().zip(steps) {
        counts.add(row.counts(step, unfinished_before(step, steps).is_empty()));
    }
    counts
}
