//! Reads the real clocks of the process.

use crate::clocks::Clocks;
use indigofold_net::{steady_ms, wall_ms};

/// Returns the current reading of both clocks.
pub(super) fn now() -> Clocks {
    Clocks {
        steady_ms: steady_ms(),
        wall_ms: wall_ms(),
    }
}
