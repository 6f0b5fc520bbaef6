//! Errors that end the process or prevent its start.

use crate::storage_thread::StartError;
use indigofold_net::NetError;
use indigofold_replication::StorageError;
use snafu::Snafu;

/// An error that ends the process or prevents its start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DriverError {
    /// A setting that a core member needs is missing.
    #[snafu(display("`{field}` is missing: a core member needs {needed}"))]
    Missing {
        /// Name of the field in the settings file.
        field: &'static str,
        /// What the field must hold.
        needed: &'static str,
    },
    /// The storage thread cannot be started.
    #[snafu(display("{source}"))]
    StorageThread {
        /// The error of the thread's start.
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
        /// The damage that was found.
        source: StorageError,
    },
    /// A socket or signal cannot be used.
    #[snafu(display("{source}"))]
    Net {
        /// The network or signal error.
        source: NetError,
    },
}

impl DriverError {
    /// Whether the error can only be fixed by changing the settings.
    pub fn is_settings_error(&self) -> bool {
        matches!(self, DriverError::Missing { .. })
    }
}
