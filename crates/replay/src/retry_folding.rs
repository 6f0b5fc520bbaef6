//! Measures how well retries are folded into their jobs. Generated traffic, whose retries are known, is imported with more and
//! more of the information removed that identifies a retry.

use crate::error::{FoldSnafu, ReplayError};
use crate::load::Made;
use crate::scenario::{Effect, Scenario};
use crate::virtual_time::{LoggedRequest, Retries, Simulation};
use indigofold_traffic::Tally;
use indigofold_traffic::fold::{Folder, Rules};
use indigofold_traffic::job::{Job, Micros, number};
use indigofold_traffic::order::{Attempt, Sorter, Spread};
use rustc_hash::FxHashMap;
use serde::Serialize;
use snafu::ResultExt;
use std::sync::Arc;

/// The folding quality for one kind of records.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the kind: the identifying fields and the time resolution of its records.
    pub by: String,
    /// Actual number of retries.
    pub retries: u64,
    /// Number of records that were folded into a job.
    pub folded: u64,
    /// Fraction of folded records that were folded with a record of the same job.
    pub precision: f64,
    /// Fraction of retries that were folded with a record of the same job.
    pub recall: f64,
}

/// A kind of records: the information that distinguishes retries from first tries.
struct RecordKind {
    name: &'static str,
    has_key: bool,
    retries_marked: bool,
    /// Resolution of the recorded time in microseconds.
    resolution_us: Micros,
}

impl RecordKind {
    const fn new(
        name: &'static str,
        has_key: bool,
        retries_marked: bool,
        resolution_us: Micros,
    ) -> Self {
        RecordKind {
            name,
            has_key,
            retries_marked,
            resolution_us,
        }
    }

    /// Returns the record with only the information that a log of this kind holds.
    fn reduce(&self, record: &Attempt) -> Attempt {
        let mut record = record.clone();
        if !self.has_key {
            record.job.key = None;
        }
        record.marked &= self.retries_marked;
        record.job.at = record.job.at / self.resolution_us * self.resolution_us;
        record.resolution = self.resolution_us;
        record
    }
}

const RECORD_KINDS: [RecordKind; 5] = [
    RecordKind::new("key and mark, 1 ms", true, true, 1_000),
    RecordKind::new("mark alone, 1 ms", false, true, 1_000),
    RecordKind::new("mark alone, 1 s", false, true, 1_000_000),
    RecordKind::new("neither, 1 ms", false, false, 1_000),
    RecordKind::new("neither, 1 s", false, false, 1_000_000),
];

/// A record with the number of the job that it belongs to.
struct LabelledRecord {
    record: Attempt,
    job: u64,
}

/// Folding counts of one kind of records.
#[derive(Clone, Copy, Default)]
struct FoldCounts {
    retries: u64,
    folded: u64,
    /// Number of folded records that belong to the job they were folded into.
    correct: u64,
}

impl FoldCounts {
    fn add(&mut self, other: FoldCounts) {
        self.retries += other.retries;
        self.folded += other.folded;
        self.correct += other.correct;
    }

    fn row(self, kind: &RecordKind) -> Row {
        Row {
            by: kind.name.to_string(),
            retries: self.retries,
            folded: self.folded,
            precision: self.correct as f64 / self.folded.max(1) as f64,
            recall: self.correct as f64 / self.retries.max(1) as f64,
        }
    }
}

/// Plays a scenario with the seeds from 1 to `seeds` and returns the folding quality for each kind of records.
///
/// # Errors
/// The scenario cannot be played, or the records cannot be sorted.
pub fn check(scenario: &Scenario, seeds: u64) -> Result<Vec<Row>, ReplayError> {
    let mut counts = [FoldCounts::default(); RECORD_KINDS.len()];
    for seed in 1..=seeds {
        let records = record_requests(scenario, seed)?;
        for (kind, counts) in RECORD_KINDS.iter().zip(&mut counts) {
            counts.add(fold(scenario, &records, kind, seed).context(FoldSnafu)?);
        }
    }
    let rows = RECORD_KINDS.iter().zip(counts);
    Ok(rows.map(|(kind, counts)| counts.row(kind)).collect())
}

/// Plays a scenario and returns a labelled record of each client request.
fn record_requests(scenario: &Scenario, seed: u64) -> Result<Vec<LabelledRecord>, ReplayError> {
    let classes: Vec<Arc<str>> = scenario
        .classes
        .iter()
        .map(|c| c.name.as_str().into())
        .collect();
    let parishes: Vec<Arc<str>> = scenario
        .parishes
        .iter()
        .map(|p| p.name.as_str().into())
        .collect();
    let mut records = Vec::new();
    let simulation = Simulation::new(scenario, seed, Retries::Model)?;
    let log = |request: LoggedRequest<'_>| {
        let arrival = request.arrival;
        let class = classes[arrival.class as usize].clone();
        let parish = arrival.parish.map(|p| parishes[p as usize].clone());
        let effect = scenario.classes[arrival.class as usize].effect;
        let record = Attempt {
            job: logged_job(&request, class, parish, effect),
            resolution: 1,
            seq: records.len() as u64,
            id: 0,
            marked: request.retry > 0,
            file: request.scheduler,
        };
        let job = arrival.number;
        records.push(LabelledRecord { record, job });
    };
    simulation.play(Made::new(scenario, seed)?, log, |_| {})?;
    Ok(records)
}

/// Returns a request as the importer would read it from a log.
fn logged_job(
    request: &LoggedRequest<'_>,
    class: Arc<str>,
    parish: Option<Arc<str>>,
    effect: Effect,
) -> Job {
    let arrival = request.arrival;
    let address = crate::export::address(arrival.parish.unwrap_or(200), arrival.client);
    let left = (arrival.at + arrival.deadline).saturating_sub(request.from);
    Job {
        at: request.from as Micros,
        class,
        parish: parish.unwrap_or_else(|| "".into()),
        subject: arrival.subject.clone(),
        key: matches!(effect, Effect::Keyed(_)).then(|| format!("k{}", arrival.number)),
        deadline: Some(left as Micros),
        bytes: 0,
        slots: None,
        client: number(&address),
        status: request.status.unwrap_or(0),
        took: Some((request.to - request.from) as Micros),
        retries: Vec::new(),
    }
}

/// Folds the records, reduced to a kind, and compares the result with the labels.
fn fold(
    scenario: &Scenario,
    records: &[LabelledRecord],
    kind: &RecordKind,
    seed: u64,
) -> std::io::Result<FoldCounts> {
    let mut sorter = Sorter::default();
    for labelled in records {
        sorter.push(kind.reduce(&labelled.record))?;
    }
    let rules = Rules {
        guess_within: (scenario.clients.max_retry_after_ms as Micros + 300) * 1000,
        max_attempts: scenario.clients.retries + 1,
        id_kept: false,
        marks: kind.retries_marked,
    };
    // A folded job keeps only the times of its requests, so the labels are looked up by the time after spreading.
    let mut truth: FxHashMap<Micros, u64> = FxHashMap::default();
    let mut folded: Vec<Job> = Vec::new();
    let (mut folder, mut tally) = (Folder::new(rules), Tally::default());
    for record in Spread::new(sorter.finish()?, seed) {
        let record = record?;
        truth.insert(record.job.at, records[record.seq as usize].job);
        folder.push(record, &mut tally, |job| folded.push(job));
    }
    folder.finish(|job| folded.push(job));
    let correct = |job: &Job| {
        let expected = truth.get(&job.at);
        let retries = job.retries.iter();
        retries
            .filter(|retry| truth.get(&retry.at) == expected)
            .count() as u64
    };
    Ok(FoldCounts {
        retries: records.iter().filter(|r| r.record.marked).count() as u64,
        folded: tally.folded,
        correct: folded.iter().map(correct).sum(),
    })
}
