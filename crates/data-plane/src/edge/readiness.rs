//! When the edge tells the platform that it is ready.

/// Losing the head for less than this does not make the edge unready: all edges would go at once.
pub const BRIEF_LOSS_MS: u64 = 2_500;

/// What readiness depends on.
#[derive(Debug, Default)]
pub struct Readiness {
    /// An acting head with a configuration was known last at this time.
    served_ms: Option<u64>,
    stopping: bool,
}

impl Readiness {
    /// Notes what is known of the head: its configuration's version; 0 if there is no head or no configuration. The
    /// head has owed nothing up to `responsive_ms`: now, unless it is silent.
    pub fn update_head(&mut self, responsive_ms: u64, config_version: u64) {
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
