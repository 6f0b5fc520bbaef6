//! The ways in which a run can end.

use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunEnd {
    /// The run completed its work.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped by an order of the head.
    Stopped,
    /// The run lease expired.
    #[serde(rename = "lapsed")]
    Expired,
    /// Another member of the run's gang ended.
    #[serde(rename = "broken")]
    GangMemberEnded,
    /// The other members of the run's gang did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The worker rejected the start; the run never began.
    Refused,
}

impl RunEnd {
    /// Whether the worker had begun the run.
    pub fn has_begun(self) -> bool {
        match self {
            RunEnd::Done
            | RunEnd::Failed
            | RunEnd::Stopped
            | RunEnd::Expired
            | RunEnd::GangMemberEnded
            | RunEnd::GangIncomplete => true,
            RunEnd::Refused => false,
        }
    }
}
