//! The stored form of a job's progress, as postcard encodes it: the order of fields and variants must stay.

use super::key::{RowError, decode, decode_error};
use crate::definition::JobEnd;
use serde::{Deserialize, Serialize};

/// The value of the row `progress/ID`.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Progress {
    /// `None` while the job is open.
    pub(super) end: Option<JobEnd>,
    /// Number of the first repetition that has not been opened.
    pub(super) next_repeat: u32,
    /// IDs of the worker instances that the runs refer to by index.
    pub(super) instances: Vec<String>,
    pub(super) repeats: Vec<RepetitionRow>,
    /// What was added to the row in later versions.
    #[serde(skip)]
    pub(super) additions: Additions,
}

/// What later versions have added to a progress row. It is encoded after the rest of the row, and only as far as there is
/// any, so that a row without it has the same form as in earlier versions; these ignore what they do not know.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Additions {
    /// Speculative runs; not encoded if there are none and the job has not begun.
    pub(super) speculative_runs: Vec<SpeculativeRunRow>,
    /// Whether the job has begun, if the rest of the row does not show it. Encoded only if it is true.
    pub(super) has_begun: bool,
}

/// The stored form of a repetition that is due and has not ended.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct RepetitionRow {
    pub(super) number: u32,
    pub(super) steps: Vec<StepRow>,
}

/// The stored form of a speculative run. `repeat`, `step` and `index` name its task.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct SpeculativeRunRow {
    pub(super) repeat: u32,
    pub(super) step: u32,
    pub(super) index: u32,
    pub(super) instance: String,
    pub(super) attempt: u32,
}

/// The stored form of a step.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum StepRow {
    /// No task has had a run.
    Fresh,
    /// All tasks are done and no run is outstanding.
    Done,
    /// Any other state.
    Open {
        gang_failures: u32,
        gang_failed_attempt: u32,
        tasks: Vec<TaskRow>,
    },
}

/// The stored form of a task.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct TaskRow {
    pub(super) last_attempt: u32,
    pub(super) failures: u32,
    pub(super) done: bool,
    pub(super) checkpoint: String,
    /// The outstanding run, other than a speculative one.
    pub(super) run: Option<RunRow>,
}

/// The stored form of an outstanding run.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct RunRow {
    /// Index into [`Progress::instances`].
    pub(super) instance: u32,
    pub(super) attempt: u32,
}

impl Additions {
    /// Appends the encoded additions to the rest of the row.
    pub(super) fn append_to(&self, row: Vec<u8>) -> Vec<u8> {
        if self.speculative_runs.is_empty() && !self.has_begun {
            return row;
        }
        let row = postcard::to_extend(&self.speculative_runs, row).unwrap_or_default();
        if !self.has_begun {
            return row;
        }
        postcard::to_extend(&self.has_begun, row).unwrap_or_default()
    }

    /// Decodes what follows the rest of the row with this key.
    pub(super) fn read(key: &[u8], bytes: &[u8]) -> Result<Additions, RowError> {
        if bytes.is_empty() {
            return Ok(Additions::default());
        }
        let (speculative_runs, bytes) =
            postcard::take_from_bytes(bytes).map_err(|source| decode_error(key, source))?;
        let has_begun = if bytes.is_empty() {
            false
        } else {
            decode(key, bytes)?
        };
        Ok(Additions {
            speculative_runs,
            has_begun,
        })
    }
}

/// Decodes the value of `progress/ID`.
pub(crate) fn read_progress(key: &[u8], value: &[u8]) -> Result<Progress, RowError> {
    let (mut progress, remaining_bytes): (Progress, &[u8]) =
        postcard::take_from_bytes(value).map_err(|source| decode_error(key, source))?;
    progress.additions = Additions::read(key, remaining_bytes)?;
    Ok(progress)
}
