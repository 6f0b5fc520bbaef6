//! Imports files into a recording: records are read, mapped to jobs, sorted by time, folded and written.

mod duplicates;
mod error;
mod intake;
mod probe;
mod read;
mod record_reader;

pub use error::{FileFormatError, ImportError};

use crate::detect::Kind;
use crate::fold::{Folder, Rules};
use crate::job::{Evidence, Job, Micros};
use crate::mapping::Mapping;
use crate::order::{Attempt, Sorted, Spread};
use crate::recording::{End, Header, Writer};
use crate::tally::{Remark, Tally};
use intake::Intake;
use probe::probe;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

/// Maximum of `within-ms` under `guess` in a mapping: one hour.
const MAX_GUESS_WITHIN_MS: u64 = 3_600_000;

/// Options of an import.
pub struct Options {
    /// Format of all files; `None`: it is detected for each file.
    pub format: Option<Kind>,
    /// Mapping of records to jobs.
    pub mapping: Mapping,
    /// Whether the import fails at the first record that cannot be understood.
    pub strict: bool,
    /// Maximum ratio of records that cannot be understood, 0 to 1; above it the import fails.
    pub max_bad: f64,
    /// Seed of the random number generator that spreads coarse timestamps.
    pub seed: u64,
}

/// The result of an import.
#[derive(Clone, Debug)]
pub struct Imported {
    /// Contents of the recording's last line.
    pub end: End,
    /// Counts of all records.
    pub tally: Tally,
}

/// Imports files into a recording. Rotated files may be listed in any order. `bytes_read` is increased by the bytes read
/// from the files, before decompression.
///
/// # Errors
/// The reason why the import failed. The data written to `out` is incomplete then and must be discarded.
pub fn import(
    paths: &[PathBuf],
    options: &Options,
    out: impl Write,
    bytes_read: &Arc<AtomicU64>,
) -> Result<Imported, ImportError> {
    let mut files = Vec::new();
    for path in paths {
        files.push(probe(path, options)?);
    }
    files.sort_by(|a, b| (a.first, a.path).cmp(&(b.first, b.path)));
    let mut intake = Intake::new(options, paths.len());
    let mut file_names = Vec::new();
    for (n, file) in files.into_iter().enumerate() {
        file_names.push(intake.read_file(&file, n as u32, bytes_read)?);
    }
    let (sorter, mut tally) = intake.finish();
    check_ratio_of_bad_records(&tally, options.max_bad)?;
    let sorted = sorter.finish().map_err(write_error)?;
    let writer = Writer::new(out, &Header::new(file_names, options.seed)).map_err(write_error)?;
    let writer = fold(sorted, options, writer, &mut tally)?;
    if tally.taken == 0 {
        return Err(ImportError::NoJobs {
            records: tally.read,
            tally: Box::new(tally),
        });
    }
    let (_, end) = writer.finish(Some(tally.clone())).map_err(write_error)?;
    Ok(Imported { end, tally })
}

/// Spreads attempts with coarse timestamps, folds retries, and writes the jobs.
fn fold<W: Write>(
    sorted: Sorted,
    options: &Options,
    mut writer: Writer<W>,
    tally: &mut Tally,
) -> Result<Writer<W>, ImportError> {
    let mut attempts = Spread::new(sorted, options.seed);
    let mut folder = Folder::new(folding_rules(&options.mapping));
    let mut write_failure = None;
    for attempt in &mut attempts {
        let attempt = attempt.map_err(write_error)?;
        folder.push(attempt, tally, |job| {
            write_failure = write_failure.take().or(writer.write(&job).err());
        });
        if let Some(error) = write_failure.take() {
            return Err(write_error(error));
        }
    }
    folder.finish(|job| write_failure = write_failure.take().or(writer.write(&job).err()));
    if let Some(error) = write_failure {
        return Err(write_error(error));
    }
    tally.remark_count(Remark::Spread, attempts.spread);
    Ok(writer)
}

fn folding_rules(mapping: &Mapping) -> Rules {
    let file = &mapping.file;
    Rules {
        guess_within: (file.guess.within_ms.min(MAX_GUESS_WITHIN_MS) * 1000) as Micros,
        max_attempts: file.guess.max_attempts,
        id_kept: file.id_kept,
        marks: !file.retry_marker.is_empty() && !file.guess.unmarked_too,
    }
}

fn check_ratio_of_bad_records(tally: &Tally, allowed: f64) -> Result<(), ImportError> {
    let (bad, records) = (tally.bad(), tally.read);
    if bad as f64 > allowed * records as f64 {
        return Err(ImportError::TooManyBad {
            bad,
            records,
            ratio: bad as f64 / records as f64,
            allowed,
        });
    }
    Ok(())
}

/// Wraps an I/O error of the recording or of the temporary files used for sorting.
fn write_error(source: io::Error) -> ImportError {
    ImportError::File {
        file: "the recording".into(),
        source,
    }
}

fn file_error(path: &Path) -> impl Fn(io::Error) -> ImportError {
    move |source| ImportError::File {
        file: path.display().to_string(),
        source,
    }
}

/// Returns true if the error means that a compressed file is truncated, or damaged from here on.
fn is_damaged_data(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, InvalidInput, Other, UnexpectedEof};
    matches!(
        error.kind(),
        UnexpectedEof | InvalidData | InvalidInput | Other
    )
}

/// Splits a job into its attempts, the first one and the retries, each as a job of its own without retries. Retries that
/// were not recognised by a key are marked, so that they are folded again.
pub fn attempts_of(mut job: Job) -> impl Iterator<Item = Attempt> {
    let retries = std::mem::take(&mut job.retries);
    let first_attempt = attempt(job.clone(), false);
    let retry_attempts = retries.into_iter().map(move |retry| {
        let job = Job {
            at: retry.at,
            status: retry.status,
            took: retry.took,
            ..job.clone()
        };
        attempt(job, retry.evidence != Evidence::Key)
    });
    std::iter::once(first_attempt).chain(retry_attempts)
}

/// Returns an attempt from a recording, whose time is known to the microsecond.
fn attempt(job: Job, marked: bool) -> Attempt {
    Attempt {
        job,
        resolution: 1,
        seq: 0,
        id: 0,
        marked,
        file: 0,
    }
}
