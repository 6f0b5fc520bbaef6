//! Errors of an import.

use crate::detect::DetectError;
use crate::har::NoEntries;
use crate::recording::RecordingError;
use crate::tally::{Reason, Tally};
use std::io;

/// Why there is no recording.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    File {
        /// Path or name of the file.
        file: String,
        /// What the system says.
        source: io::Error,
    },
    /// A file is not what it should be.
    #[error("{file}: {source}")]
    Format {
        /// Path or name of the file.
        file: String,
        /// What is wrong with it.
        source: FileFormatError,
    },
    /// In a strict import, a record cannot be understood.
    #[error("{file}, line {line}: {reason:?}: {text}")]
    Strict {
        /// Name of the file.
        file: String,
        /// The line, or entry of a HAR, from 1.
        line: u64,
        /// What is wrong.
        reason: Reason,
        /// The beginning of the record.
        text: String,
    },
    /// More records than allowed cannot be understood.
    #[error(
        "{bad} of {records} records could not be understood, a share of {ratio:.4}; {allowed} is allowed"
    )]
    TooManyBad {
        /// Records that cannot be understood.
        bad: u64,
        /// All records read.
        records: u64,
        /// The ratio of the two.
        ratio: f64,
        /// The greatest ratio allowed.
        allowed: f64,
    },
    /// No record is a job.
    #[error("there is not one job in {records} records; the counts say why")]
    NoJobs {
        /// Records read.
        records: u64,
        /// What became of them.
        tally: Box<Tally>,
    },
}

/// What is wrong with the form of a file.
#[derive(Debug, thiserror::Error)]
pub enum FileFormatError {
    /// Its kind cannot be detected.
    #[error(transparent)]
    Detect(#[from] DetectError),
    /// It is no HAR document.
    #[error(transparent)]
    Har(#[from] NoEntries),
    /// It is no recording, or a damaged one.
    #[error(transparent)]
    Recording(#[from] RecordingError),
}

impl ImportError {
    /// The form of a file is wrong.
    pub(super) fn format(file: &str, source: impl Into<FileFormatError>) -> Self {
        ImportError::Format {
            file: file.into(),
            source: source.into(),
        }
    }
}
