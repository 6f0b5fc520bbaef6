//! Whether the platform may route clients to this edge.

/// Losing the head for a shorter time does not make the edge unready, as all edges would be withdrawn at once.
pub const BRIEF_LOSS_MS: u64 = 2_500;

/// The state that readiness depends on.
#[derive(Debug, Default)]
pub struct Readiness {
    /// Newest time at which a responsive head with a configuration was known.
    served_ms: Option<u64>,
    stopping: bool,
}

impl Readiness {
    /// Takes over what is known of the head: the version of its configuration (0 without a head or a configuration), and
    /// up to when it was responsive.
    pub fn handle_head_status(&mut self, responsive_ms: u64, config_version: u64) {
        if config_version > 0 {
            self.served_ms = Some(responsive_ms);
        }
    }

    /// The process is about to end.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the platform may send new connections here.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        !self.stopping
            && self
                .served_ms
                .is_some_and(|served_ms| now_ms < served_ms + BRIEF_LOSS_MS)
    }
}
