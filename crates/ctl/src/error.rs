//! Errors of the verbs, and the exit code for each.

use crate::check_config::CheckConfigError;
use crate::exit_code::{EXIT_FINDINGS, EXIT_INPUT, EXIT_UNREACHABLE};
use crate::files::FileError;
use crate::query::QueryError;
use crate::quickstart::QuickstartError;
use crate::replicas::ReplicaError;
use snafu::Snafu;

/// An error because of which a verb has no report.
#[derive(Debug, Snafu)]
pub enum ToolError {
    /// A file that is to be checked cannot be read.
    #[snafu(transparent)]
    File {
        /// Names the file and gives the reason.
        source: FileError,
    },
    /// A configuration cannot be checked.
    #[snafu(transparent)]
    CheckConfig {
        /// Names the file and gives the reason.
        source: CheckConfigError,
    },
    /// A query to the core members has no result.
    #[snafu(transparent)]
    Query {
        /// The reason, with one entry for each member if none of them answers.
        source: QueryError,
    },
    /// A replica cannot be opened.
    #[snafu(transparent)]
    Replicas {
        /// Names the folder and gives the reason.
        source: ReplicaError,
    },
    /// The cluster of `quickstart` cannot be started, or its job does not complete.
    #[snafu(transparent)]
    Quickstart {
        /// The step that failed and the reason.
        source: QuickstartError,
    },
}

impl ToolError {
    /// The exit code with which the program ends after this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            ToolError::File { .. } | ToolError::CheckConfig { .. } => EXIT_INPUT,
            ToolError::Replicas { source } if source.is_input() => EXIT_INPUT,
            ToolError::Query { .. } => EXIT_UNREACHABLE,
            ToolError::Quickstart { source } if source.is_input() => EXIT_INPUT,
            ToolError::Replicas { .. } | ToolError::Quickstart { .. } => EXIT_FINDINGS,
        }
    }
}
