//! The bounds of the rules in force (`[bounds]`), each with the operators' usual value as its default.

use crate::lenient::number;
use serde::{Deserialize, Serialize};

/// The bounds of the rules in force. `*_ms` are milliseconds, `*_s` seconds; integers and fractions are both accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Age of the operator's list of schedulers, in seconds.
    #[serde(deserialize_with = "number")]
    pub seed_lag_s: f64,
    /// How soon a freed address may be used again.
    #[serde(deserialize_with = "number")]
    pub reuse_after_s: f64,
    /// Time within which control calls must be answered while a majority is up.
    #[serde(deserialize_with = "number")]
    pub liveness_ms: f64,
    /// Time within which an acknowledgement is expected.
    #[serde(deserialize_with = "number")]
    pub ack_timeout_ms: f64,
    /// A machine counts as lost for this time after it is back.
    #[serde(deserialize_with = "number")]
    pub catch_up_s: f64,
    /// Least time for which a draining worker goes on.
    #[serde(deserialize_with = "number")]
    pub drain_ms: f64,
    /// Time between SIGTERM and SIGKILL.
    #[serde(deserialize_with = "number")]
    pub grace_s: f64,
    /// Slack allowed when something is lost.
    #[serde(deserialize_with = "number")]
    pub loss_slack_ms: f64,
    /// Time within which a configuration must be in force everywhere.
    #[serde(deserialize_with = "number")]
    pub config_apply_ms: f64,
    /// Slack within which an older configuration may still be seen.
    #[serde(deserialize_with = "number")]
    pub rollback_slack_ms: f64,
    /// By how much the times of day of two machines may differ.
    #[serde(deserialize_with = "number")]
    pub max_skew_ms: f64,
    /// Time within which the service must have recovered from a fault.
    #[serde(deserialize_with = "number")]
    pub recovery_s: f64,
    /// Longest run lease.
    #[serde(deserialize_with = "number")]
    pub max_hold_ms: f64,
    /// Longest time that a stop takes.
    #[serde(deserialize_with = "number")]
    pub stop_ms: f64,
    /// For how long a member of a gang waits for the others.
    #[serde(deserialize_with = "number")]
    pub gang_ms: f64,
    /// Time within which a cancelled job must have stopped.
    #[serde(deserialize_with = "number")]
    pub cancel_ms: f64,
    /// Time within which a job's state must be visible.
    #[serde(deserialize_with = "number")]
    pub visible_ms: f64,
    /// By how much a repetition may start early.
    #[serde(deserialize_with = "number")]
    pub early_ms: f64,
    /// Time that remains for jobs to finish at the end.
    #[serde(deserialize_with = "number")]
    pub finish_s: f64,
    /// For how long a job's final state stays readable.
    #[serde(deserialize_with = "number")]
    pub status_s: f64,
    /// Remote slowdown: factor on the run time of a task away from its data, or spread over racks.
    #[serde(deserialize_with = "number")]
    pub far_x: f64,
    /// Work between two checkpoints.
    #[serde(deserialize_with = "number")]
    pub save_s: f64,
    /// Time that a start from a checkpoint takes before it goes on.
    #[serde(deserialize_with = "number")]
    pub restore_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            liveness_ms: 3_000.0,
            ack_timeout_ms: 4_000.0,
            catch_up_s: 4.0,
            drain_ms: 2_000.0,
            grace_s: 6.0,
            loss_slack_ms: 200.0,
            config_apply_ms: 2_000.0,
            rollback_slack_ms: 250.0,
            max_skew_ms: 5_000.0,
            recovery_s: 12.0,
            max_hold_ms: 6_000.0,
            stop_ms: 900.0,
            gang_ms: 3_000.0,
            cancel_ms: 3_000.0,
            visible_ms: 3_000.0,
            early_ms: 250.0,
            finish_s: 14.0,
            status_s: 120.0,
            far_x: 1.5,
            save_s: 2.0,
            restore_ms: 600.0,
        }
    }
}
