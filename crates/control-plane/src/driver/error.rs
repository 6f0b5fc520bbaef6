//! Why a member cannot run.

use crate::storage_thread::StartError;
use indigofold_net::NetError;
use indigofold_replication::StorageError;
use snafu::Snafu;

/// Why a member cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DriverError {
    /// A setting that a core member needs is missing.
    #[snafu(display("`{field}` is missing: a core member needs {needed}"))]
    Missing {
        /// The field.
        field: &'static str,
        /// What it must hold.
        needed: &'static str,
    },
    /// The storage thread cannot be started.
    #[snafu(display("{source}"))]
    StorageThread {
        /// Why.
        source: StartError,
    },
    /// The storage thread has ended.
    #[snafu(display("the storage thread has ended"))]
    StorageEnded,
    /// The database has been found damaged.
    #[snafu(display(
        "{source}; the next start quarantines it, and the rows come from other members"
    ))]
    Damaged {
        /// What was found.
        source: StorageError,
    },
    /// A socket or signal cannot be used.
    #[snafu(display("{source}"))]
    Net {
        /// Why.
        source: NetError,
    },
}

impl DriverError {
    /// Whether the settings have to be changed.
    pub fn is_settings_error(&self) -> bool {
        matches!(self, DriverError::Missing { .. })
    }
}
