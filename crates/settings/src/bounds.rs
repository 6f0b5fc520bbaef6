//! Time limits and tolerances of the contracts in force (`[bounds]`). The default of each is the operators' usual value.

use crate::lenient::number;
use serde::{Deserialize, Serialize};

/// Time limits and tolerances of the contracts in force. Fields ending in `_ms` are in milliseconds, those ending in `_s` in
/// seconds. Integers and fractions are both accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Age that the operator's list of schedulers may have.
    #[serde(deserialize_with = "number")]
    pub seed_lag_s: f64,
    /// Time after which a freed address may be used again.
    #[serde(deserialize_with = "number")]
    pub reuse_after_s: f64,
    /// Time within which control calls must be answered while a majority is up.
    #[serde(deserialize_with = "number")]
    pub liveness_ms: f64,
    /// Time within which an acknowledgement is expected.
    #[serde(deserialize_with = "number")]
    pub ack_timeout_ms: f64,
    /// Time for which a restarted machine still counts as lost.
    #[serde(deserialize_with = "number")]
    pub catch_up_s: f64,
    /// Shortest time for which a draining worker keeps running.
    #[serde(deserialize_with = "number")]
    pub drain_ms: f64,
    /// Time between SIGTERM and SIGKILL.
    #[serde(deserialize_with = "number")]
    pub grace_s: f64,
    /// Additional time allowed when something is lost.
    #[serde(deserialize_with = "number")]
    pub loss_slack_ms: f64,
    /// Time within which an accepted configuration must be in force everywhere.
    #[serde(deserialize_with = "number")]
    pub config_apply_ms: f64,
    /// Time for which an older configuration may still be seen after a newer one.
    #[serde(deserialize_with = "number")]
    pub rollback_slack_ms: f64,
    /// Largest difference between the wall clocks of two machines.
    #[serde(deserialize_with = "number")]
    pub max_skew_ms: f64,
    /// Time within which the service must have recovered from a fault.
    #[serde(deserialize_with = "number")]
    pub recovery_s: f64,
    /// Longest run lease.
    #[serde(deserialize_with = "number")]
    pub max_hold_ms: f64,
    /// Longest time that stopping a run takes.
    #[serde(deserialize_with = "number")]
    pub stop_ms: f64,
    /// Time for which a member of a gang waits for the others.
    #[serde(deserialize_with = "number")]
    pub gang_ms: f64,
    /// Time within which the tasks of a cancelled job must have stopped.
    #[serde(deserialize_with = "number")]
    pub cancel_ms: f64,
    /// Time within which a change of a job's state must be visible.
    #[serde(deserialize_with = "number")]
    pub visible_ms: f64,
    /// How much earlier than due a repetition may start.
    #[serde(deserialize_with = "number")]
    pub early_ms: f64,
    /// Time that remains for jobs to finish at the end.
    #[serde(deserialize_with = "number")]
    pub finish_s: f64,
    /// Time for which the state of an ended job stays readable.
    #[serde(deserialize_with = "number")]
    pub status_s: f64,
    /// Remote slowdown: factor on the run time of a task that does not run in the rack of its data, or of a rack-local gang that
    /// is spread over several racks.
    #[serde(deserialize_with = "number")]
    pub far_x: f64,
    /// Run time of a task between two checkpoints.
    #[serde(deserialize_with = "number")]
    pub save_s: f64,
    /// Time that a task needs to resume from a checkpoint.
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
