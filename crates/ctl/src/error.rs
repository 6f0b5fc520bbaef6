//! Why a verb cannot do its work, and which exit code that gives.

use crate::check_config::CheckConfigError;
use crate::exit_code::{EXIT_FOUND, EXIT_INPUT, EXIT_UNREACHABLE};
use crate::files::FileError;
use crate::query::QueryError;
use crate::quickstart::QuickstartError;
use crate::replicas::ReplicaError;
use snafu::Snafu;

/// Why a verb cannot do its work.
#[derive(Debug, Snafu)]
pub enum ToolError {
    /// A file cannot be read.
    #[snafu(transparent)]
    File {
        /// Which, and why.
        source: FileError,
    },
    /// A configuration cannot be checked.
    #[snafu(transparent)]
    CheckConfig {
        /// Why.
        source: CheckConfigError,
    },
    /// No member answers.
    #[snafu(transparent)]
    Query {
        /// Why.
        source: QueryError,
    },
    /// A replica cannot be opened.
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
            ToolError::File { .. } | ToolError::CheckConfig { .. } => EXIT_INPUT,
            ToolError::Replicas { source } if source.is_input() => EXIT_INPUT,
            ToolError::Query { .. } => EXIT_UNREACHABLE,
            ToolError::Quickstart { source } if source.is_input() => EXIT_INPUT,
            ToolError::Replicas { .. } | ToolError::Quickstart { .. } => EXIT_FOUND,
        }
    }
}
