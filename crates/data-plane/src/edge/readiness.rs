//! Readiness: whether the platform may route clients to this edge.

/// The edge stays ready for this long after it lost the head. Otherwise a short loss, which all edges notice at the
/// same time, would make the platform withdraw all of them at once.
pub const HEAD_LOSS_GRACE_MS: u64 = 2_500;

/// The inputs of readiness: when the head was last responsive, and whether the process is stopping.
#[derive(Debug, Default)]
pub struct Readiness {
    /// Latest time at which a head with a configuration was responsive; `None` if there was none.
    last_responsive_ms: Option<u64>,
    is_stopping: bool,
}

impl Readiness {
    /// Updates the state of the head. `responsive_ms`: the latest time at which the head was responsive;
    /// `config_version`: the version of its configuration, 0 without a head or a configuration.
    pub fn handle_head_status(&mut self, responsive_ms: u64, config_version: u64) {
        if config_version > 0 {
            self.last_responsive_ms = Some(responsive_ms);
        }
    }

    /// Makes the edge unready for good, because the process is about to end.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the platform may route new clients to this edge.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        !self.is_stopping
            && self
                .last_responsive_ms
                .is_some_and(|responsive_ms| now_ms < responsive_ms + HEAD_LOSS_GRACE_MS)
    }
}
