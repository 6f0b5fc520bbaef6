//! Measures the turns of the driver's loop. A turn handles all inputs that wait and then sends the outputs, so a long one
//! delays the lease's heartbeats and everybody's answers.

use indigofold_net::steady_ms;

/// Turns that take at least this long are logged, in milliseconds. A lease lasts several times as long.
pub(super) const SLOW_TURN_MS: u64 = 50;

/// The kind and duration of one part of a turn.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: &'static str,
    duration_ms: u64,
}

/// One turn of the loop.
#[derive(Debug)]
pub(super) struct Turn {
    started_ms: u64,
    /// End of the part that was measured last, on the monotonic clock; the start of the turn before the first.
    measured_ms: u64,
    steps: u32,
    slowest: Step,
}

impl Turn {
    /// Starts a turn now.
    pub(super) fn start() -> Self {
        let now_ms = steady_ms();
        Turn {
            started_ms: now_ms,
            measured_ms: now_ms,
            steps: 0,
            slowest: Step {
                kind: "none",
                duration_ms: 0,
            },
        }
    }

    /// Records the part of the turn that has just ended: the handling of an input, or of the outputs.
    pub(super) fn record(&mut self, kind: &'static str) {
        let now_ms = steady_ms();
        let step = Step {
            kind,
            duration_ms: now_ms.saturating_sub(self.measured_ms),
        };
        self.measured_ms = now_ms;
        self.steps += 1;
        if step.duration_ms > self.slowest.duration_ms {
            self.slowest = step;
        }
    }

    /// Ends the turn, and logs it if it was slow.
    pub(super) fn finish(self) {
        let duration_ms = self.measured_ms.saturating_sub(self.started_ms);
        if duration_ms >= SLOW_TURN_MS {
            log::info!(
                "slow turn duration_ms={duration_ms} steps={} slowest={} slowest_ms={}",
                self.steps,
                self.slowest.kind,
                self.slowest.duration_ms
            );
        }
    }
}
