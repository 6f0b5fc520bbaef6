//! Errors of an import.

use crate::detect::DetectError;
use crate::har::NoEntries;
use crate::recording::RecordingError;
use crate::tally::{Reason, Tally};
use std::io;

/// Why an import failed.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    File {
        /// Path or name of the file.
        file: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The format of a file is wrong or unknown.
    #[error("{file}: {source}")]
    Format {
        /// Path or name of the file.
        file: String,
        /// What is wrong with the format.
        source: FileFormatError,
    },
    /// In a strict import, a record cannot be understood.
    #[error("{file}, line {line}: {reason:?}: {text}")]
    Strict {
        /// Name of the file.
        file: String,
        /// Number of the line, or of the entry in a HAR document, from 1.
        line: u64,
        /// Why the record was rejected.
        reason: Reason,
        /// Beginning of the record.
        text: String,
    },
    /// More records than allowed cannot be understood.
    #[error(
        "{bad} of {records} records could not be understood, a ratio of {ratio:.4}; {allowed} is allowed"
    )]
    TooManyBad {
        /// Number of records that cannot be understood.
        bad: u64,
        /// Number of records read.
        records: u64,
        /// `bad` divided by `records`.
        ratio: f64,
        /// Maximum ratio allowed.
        allowed: f64,
    },
    /// No record was mapped to a job.
    #[error("none of the {records} records is a job; see the counts by reason")]
    NoJobs {
        /// Number of records read.
        records: u64,
        /// Counts of these records by reason.
        tally: Box<Tally>,
    },
}

/// What is wrong with the format of a file.
#[derive(Debug, thiserror::Error)]
pub enum FileFormatError {
    /// The kind of the file cannot be detected.
    #[error(transparent)]
    Detect(#[from] DetectError),
    /// The file is not a HAR document.
    #[error(transparent)]
    Har(#[from] NoEntries),
    /// The file is not a recording, or is damaged.
    #[error(transparent)]
    Recording(#[from] RecordingError),
}

impl ImportError {
    /// Creates the error for a file with a wrong or unknown format.
    pub(super) fn format(file: &str, source: impl Into<FileFormatError>) -> Self {
        ImportError::Format {
            file: file.into(),
            source: source.into(),
        }
    }
}
