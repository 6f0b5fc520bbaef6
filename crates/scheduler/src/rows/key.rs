//! Keys of jobs' rows, and why a row cannot be restored.

use indigofold_protocol::task::JobId;
use serde::Deserialize;
use snafu::Snafu;

const JOB_PREFIX: &[u8] = b"job/";
const PROGRESS_PREFIX: &[u8] = b"progress/";

/// Why a row of the control state cannot be restored.
#[derive(Debug, PartialEq, Snafu)]
pub enum RowError {
    /// The key is neither that of a job's row nor that of a worker instance's row.
    #[snafu(display(
        "row `{key}` of the control state does not belong to the scheduler: expected `job/ID`, `progress/ID` or `life/INSTANCE`"
    ))]
    Key {
        /// The key as text; bytes that are not UTF-8 are replaced.
        key: String,
    },
    /// The value cannot be decoded.
    #[snafu(display("value of row `{key}` of the control state cannot be decoded: {source}"))]
    Value {
        /// The key as text; bytes that are not UTF-8 are replaced.
        key: String,
        /// The error of the decoder.
        source: postcard::Error,
    },
}

/// The kind and job of a row, as named by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowKey {
    /// Key `job/ID`: the definition of a job.
    Job(JobId),
    /// Key `progress/ID`: the progress of a job.
    Progress(JobId),
}

impl RowKey {
    /// The key as it is stored.
    pub(crate) fn bytes(self) -> Vec<u8> {
        match self {
            RowKey::Job(id) => format!("job/{id}").into_bytes(),
            RowKey::Progress(id) => format!("progress/{id}").into_bytes(),
        }
    }

    /// Parses a stored key; `None` if it is not the key of a job's row.
    pub(crate) fn parse(key: &[u8]) -> Option<RowKey> {
        let id = |digits: &[u8]| std::str::from_utf8(digits).ok()?.parse().ok();
        if let Some(digits) = key.strip_prefix(JOB_PREFIX) {
            return id(digits).map(RowKey::Job);
        }
        key.strip_prefix(PROGRESS_PREFIX)
            .and_then(id)
            .map(RowKey::Progress)
    }
}

/// Decodes the value of the row with this key.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(key: &[u8], value: &[u8]) -> Result<T, RowError> {
    postcard::from_bytes(value).map_err(|source| decode_error(key, source))
}

/// The error of the decoder, with the key of the row.
pub(super) fn decode_error(key: &[u8], source: postcard::Error) -> RowError {
    RowError::Value {
        key: String::from_utf8_lossy(key).into_owned(),
        source,
    }
}
