//! An import: files are read, their records mapped, sorted, folded and written as a recording.

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

/// The longest time after an attempt's end in which a mapping can let a retry be guessed, in milliseconds.
const MAX_GUESS_WITHIN_MS: u64 = 3_600_000;

/// How to import.
pub struct Options {
    /// The format; `None`: each file's is detected.
    pub format: Option<Kind>,
    /// What records mean.
    pub mapping: Mapping,
    /// The first record that cannot be understood ends the import.
    pub strict: bool,
    /// The import fails if a larger ratio of the records cannot be understood, 0 to 1.
    pub max_bad: f64,
    /// The seed of all random draws.
    pub seed: u64,
}

/// The result of an import.
#[derive(Clone, Debug)]
pub struct Imported {
    /// The recording's last line.
    pub end: End,
    /// What became of every record.
    pub tally: Tally,
}

/// Imports files into a recording. Rotated files may be named in any order. `read` counts the bytes read of the files,
/// compressed as they are.
///
/// # Errors
/// Why there is no recording; what has been written to `out` is of no use then.
pub fn import(
    paths: &[PathBuf],
    options: &Options,
    out: impl Write,
    read: &Arc<AtomicU64>,
) -> Result<Imported, ImportError> {
    let mut files = Vec::new();
    for path in paths {
        files.push(probe(path, options)?);
    }
    files.sort_by(|a, b| (a.first, a.path).cmp(&(b.first, b.path)));
    let mut intake = Intake::new(options, paths.len());
    let mut made_of = Vec::new();
    for (n, file) in files.into_iter().enumerate() {
        made_of.push(intake.read_file(&file, n as u32, read)?);
    }
    let (sorter, mut tally) = intake.finish();
    check_ratio_of_bad_records(&tally, options.max_bad)?;
    let sorted = sorter.finish().map_err(write_error)?;
    let writer = Writer::new(out, &Header::new(made_of, options.seed)).map_err(write_error)?;
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

/// Spreads the attempts, folds retries, and writes the jobs.
fn fold<W: Write>(
    sorted: Sorted,
    options: &Options,
    mut writer: Writer<W>,
    tally: &mut Tally,
) -> Result<Writer<W>, ImportError> {
    let mut attempts = Spread::new(sorted, options.seed);
    let mut folder = Folder::new(folding_rules(&options.mapping));
    let mut failed = None;
    for attempt in &mut attempts {
        let attempt = attempt.map_err(write_error)?;
        folder.push(attempt, tally, |job| {
            failed = failed.take().or(writer.write(&job).err());
        });
        if let Some(error) = failed.take() {
            return Err(write_error(error));
        }
    }
    folder.finish(|job| failed = failed.take().or(writer.write(&job).err()));
    if let Some(error) = failed {
        return Err(write_error(error));
    }
    tally.remark_only(Remark::Spread, attempts.spread);
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

/// An error of the recording, or of the temporary files that it is sorted in.
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

/// Does the error say that a compressed file is truncated, or damaged from here on?
fn is_broken_off(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, InvalidInput, Other, UnexpectedEof};
    matches!(
        error.kind(),
        UnexpectedEof | InvalidData | InvalidInput | Other
    )
}

/// The attempts of a job, the first and its retries, each as if it were a first attempt.
pub fn attempts_of(mut job: Job) -> impl Iterator<Item = Attempt> {
    let retries = std::mem::take(&mut job.retries);
    let first = attempt(job.clone(), false);
    let rest = retries.into_iter().map(move |retry| {
        let job = Job {
            at: retry.at,
            status: retry.status,
            took: retry.took,
            ..job.clone()
        };
        attempt(job, retry.evidence != Evidence::Key)
    });
    std::iter::once(first).chain(rest)
}

/// An attempt whose time is known to the microsecond, out of a recording.
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
