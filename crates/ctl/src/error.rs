//! Why a verb cannot do its work, and the exit codes.

use crate::files::FileError;
use crate::query::QueryError;
use crate::quickstart::QuickstartError;
use crate::replicas::ReplicaError;
use snafu::Snafu;

/// Nothing is wrong.
pub const EXIT_OK: u8 = 0;
/// Something wrong was found.
pub const EXIT_FOUND: u8 = 1;
/// The command line, or an input that is not what is being checked, cannot be used.
pub const EXIT_INPUT: u8 = 2;
/// Nobody could be reached.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Why a verb cannot do its work.
#[derive(Debug, Snafu)]
pub enum ToolError {
    /// A file cannot be read.
    #[snafu(transparent)]
    File {
        /// Which, and why.
        source: FileError,
    },
    /// An input beside the one that is checked is not valid.
    #[snafu(display("{path}: {problem}"))]
    Input {
        /// The file.
        path: String,
        /// What is wrong with it.
        problem: String,
    },
    /// No member answers.
    #[snafu(transparent)]
    Query {
        /// Why.
        source: QueryError,
    },
    /// A copy cannot be opened.
    #[snafu(transparent)]
    Replicas {
        /// Which, and why.
        source: ReplicaError,
    },
    /// The small cluster cannot be run.
    #[snafu(transparent)]
    Quickstart {
        /// Why.
        source: QuickstartError,
    },
}

impl ToolError {
    /// The exit code for it.
    pub fn exit_code(&self) -> u8 {
        match self {
            ToolError::File { .. } | ToolError::Input { .. } => EXIT_INPUT,
            ToolError::Replicas { source } if source.is_input() => EXIT_INPUT,
            ToolError::Query { .. } => EXIT_UNREACHABLE,
            ToolError::Quickstart { source } if source.is_input() => EXIT_INPUT,
            ToolError::Replicas { .. } | ToolError::Quickstart { .. } => EXIT_FOUND,
        }
    }
}
