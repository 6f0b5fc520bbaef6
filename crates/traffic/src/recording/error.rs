//! Errors when reading a recording.

use super::{FORMAT, VERSION};
use std::io;

/// Why a recording cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// Reading the file failed.
    #[error("the recording cannot be read: {0}")]
    Io(#[from] io::Error),
    /// The first line is not a valid header.
    #[error(
        "this is no recording: its first line must be {{\"format\":\"{FORMAT}\",\"version\":{VERSION}}}"
    )]
    NoHeader,
    /// The format version is not supported.
    #[error("the recording is of version {0}; versions 1 to {VERSION} can be read")]
    Version(u32),
    /// A line is not a valid job or end line.
    #[error("line {line} of the recording: {source}")]
    Syntax {
        /// Line number, from 1.
        line: u64,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// A job is earlier than the job on the preceding line.
    #[error("line {line} of the recording: the job is earlier than the one on the preceding line")]
    Unordered {
        /// Line number, from 1.
        line: u64,
    },
    /// The file ends without the end line.
    #[error(
        "the recording was cut off after line {line}: its last line, with the counts, is missing"
    )]
    Truncated {
        /// Number of the last line present, from 1.
        line: u64,
    },
    /// The number of jobs in the end line differs from the number of job lines.
    #[error("the recording's last line counts {counted} jobs, but {found} were read")]
    Counts {
        /// Number of jobs according to the end line.
        counted: u64,
        /// Number of jobs read.
        found: u64,
    },
}
