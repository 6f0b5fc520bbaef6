//! Summarizes all rows in one pass: jobs and tasks by queue, resources in use by instance and, if one is requested, a job in
//! full. Runs on the storage thread.

use super::rows::{self, Definition, Progress, RowName, StepRow, unfinished_dependencies};
use indigofold_protocol::inspection::{EndedJobs, QueueStatus, TaskCounts};
use indigofold_protocol::job::{JobState, Resources, Step};
use indigofold_protocol::task::JobId;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Summary of the scheduler's rows.
#[derive(Debug, Default)]
pub struct TableSummary {
    /// Numbers of the open jobs and their tasks in each queue, by the name of the route.
    pub queues: BTreeMap<String, QueueStatus>,
    /// Numbers of ended jobs whose rows are still kept.
    pub ended: EndedJobs,
    /// Resources that outstanding runs use, by the ID of the instance.
    pub used: FxHashMap<String, Resources>,
    /// The requested job; `None` if none was requested or it does not exist.
    pub job: Option<JobRecord>,
    /// Number of rows of the scheduler that cannot be decoded or are inconsistent.
    pub unreadable: u64,
    /// The job to keep in full.
    requested: Option<JobId>,
    /// Jobs whose definition has been added and whose progress has not: in the order of keys it comes later.
    outlines: FxHashMap<JobId, Outline>,
}

/// A job in full.
#[derive(Debug)]
pub struct JobRecord {
    /// ID of the job.
    pub id: JobId,
    /// The job as it was accepted; `None` for ended jobs, whose definition is not kept.
    pub definition: Option<Definition>,
    /// Progress of the job.
    pub progress: Progress,
}

/// The part of a job's definition that is needed to interpret its progress.
#[derive(Debug)]
struct Outline {
    route: String,
    steps: Vec<Step>,
    /// The whole definition, for the requested job only.
    definition: Option<Definition>,
}

impl TableSummary {
    /// Returns an empty summary that also keeps the job `requested` in full.
    pub fn new(requested: Option<JobId>) -> Self {
        TableSummary {
            requested,
            ..TableSummary::default()
        }
    }

    /// Adds a row; rows of other components are skipped. Rows must be added in the order of their keys.
    pub fn add_row(&mut self, key: &[u8], value: &[u8]) {
        let read = match RowName::parse(key) {
            Some(RowName::Job(id)) => {
                rows::read_definition(value).map(|definition| self.add_definition(id, definition))
            }
            Some(RowName::Progress(id)) => {
                rows::read_progress(value).map(|progress| self.add_progress(id, progress))
            }
            None => return,
        };
        self.unreadable += u64::from(read.is_none());
    }

    fn add_definition(&mut self, id: JobId, definition: Definition) {
        let is_requested = self.requested == Some(id);
        let outline = Outline {
            route: definition.route.clone(),
            steps: definition.spec.stages.clone(),
            definition: is_requested.then_some(definition),
        };
        self.outlines.insert(id, outline);
    }

    fn add_progress(&mut self, id: JobId, progress: Progress) {
        let outline = self.outlines.remove(&id);
        if let Some(outline) = &outline {
            self.add_runs(&outline.steps, &progress);
        }
        match (progress.end, &outline) {
            (Some(end), _) => self.add_ended(end.state),
            (None, Some(outline)) => self.add_open(outline, &progress),
            (None, None) => self.unreadable += 1,
        }
        if self.requested == Some(id) {
            let definition = outline.and_then(|outline| outline.definition);
            self.job = Some(JobRecord {
                id,
                definition,
                progress,
            });
        }
    }

    fn add_ended(&mut self, state: JobState) {
        match state {
            JobState::Completed => self.ended.completed += 1,
            JobState::Failed => self.ended.failed += 1,
            JobState::Cancelled => self.ended.cancelled += 1,
            JobState::Queued | JobState::Running => self.unreadable += 1,
        }
    }

    fn add_open(&mut self, outline: &Outline, progress: &Progress) {
        let queue = self.queues.entry(outline.route.clone()).or_default();
        queue.queue.clone_from(&outline.route);
        if progress.has_begun() {
            queue.running += 1;
        } else {
            queue.queued += 1;
        }
        for repeat in &progress.repeats {
            queue
                .tasks
                .add(repeat_counts(&outline.steps, &repeat.steps));
        }
    }

    /// Adds the resources that the job's outstanding runs use.
    fn add_runs(&mut self, specs: &[Step], progress: &Progress) {
        for (spec, row) in progress
            .repeats
            .iter()
            .flat_map(|repeat| specs.iter().zip(&repeat.steps))
        {
            let instances = row
                .runs()
                .filter_map(|run| progress.instances.get(run.instance as usize));
            instances.for_each(|instance| self.add_usage(instance, spec));
        }
        for run in &progress.speculative_runs {
            if let Some(spec) = specs.get(run.step as usize) {
                self.add_usage(&run.instance, spec);
            }
        }
    }

    fn add_usage(&mut self, instance: &str, spec: &Step) {
        let used = self.used.entry(instance.to_owned()).or_default();
        *used = used.plus(&spec.resources());
    }
}

/// Counts the tasks of one repetition by state.
fn repeat_counts(specs: &[Step], rows: &[StepRow]) -> TaskCounts {
    let mut counts = TaskCounts::default();
    for (spec, row) in specs.iter().zip(rows) {
        counts.add(row.counts(spec, unfinished_dependencies(spec, rows).is_empty()));
    }
    counts
}
