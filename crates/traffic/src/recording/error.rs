//! Errors of recordings.

use super::{FORMAT, VERSION};
use std::io;

/// What is wrong with a recording.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// It cannot be read.
    #[error("the recording cannot be read: {0}")]
    Io(#[from] io::Error),
    /// It does not begin with a header.
    #[error(
        "this is no recording: its first line must be {{\"format\":\"{FORMAT}\",\"version\":{VERSION}}}"
    )]
    NoHeader,
    /// It is of another version.
    #[error("the recording is of version {0}; versions 1 to {VERSION} can be read")]
    Version(u32),
    /// A line cannot be read.
    #[error("line {line} of the recording: {source}")]
    Syntax {
        /// The line, from 1.
        line: u64,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A job began before the one of the line before.
    #[error("line {line} of the recording: jobs must stand in the order of their times")]
    Unordered {
        /// The line, from 1.
        line: u64,
    },
    /// It ends before its last line.
    #[error(
        "the recording was cut off after line {line}: its last line, with the counts, is missing"
    )]
    Truncated {
        /// The last line that there is, from 1.
        line: u64,
    },
    /// The last line counts other jobs than there are.
    #[error("the recording's last line counts {counted} jobs, but there are {found}")]
    Counts {
        /// Jobs by the last line.
        counted: u64,
        /// Jobs that were read.
        found: u64,
    },
}
