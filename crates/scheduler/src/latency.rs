//! Where the time of a job went that ended after its objective, or failed: along the chain of tasks that decided its
//! end, each of which was the last of its step to be done.

use indigofold_protocol::job::JobState;
use indigofold_protocol::task::JobId;
use std::fmt::{self, Display, Formatter};

/// What a part of a job's time was spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Due, but not in the hands of this scheduler.
    Predecessor,
    /// Waiting behind other steps.
    Queue,
    /// First in turn, waiting for room on any worker.
    Capacity,
    /// Waiting for room near the data, in one rack, or for a whole gang.
    Locality,
    /// Placed, waiting for the write.
    Commit,
    /// Ordered, not yet listed by the worker.
    Dispatch,
    /// At work, done in the end.
    Run,
    /// The part of such work that being away from the data or the rack has cost.
    Remote,
    /// Work that failed.
    Failed,
    /// Work that was stopped, or never started.
    Stopped,
    /// Work that was lost with its worker.
    Lost,
}

/// All causes, in the order of the job's way.
const CAUSES: [(Cause, &str); 11] = [
    (Cause::Predecessor, "before"),
    (Cause::Queue, "turn"),
    (Cause::Capacity, "room"),
    (Cause::Locality, "place"),
    (Cause::Commit, "commit"),
    (Cause::Dispatch, "way"),
    (Cause::Run, "run"),
    (Cause::Remote, "away"),
    (Cause::Failed, "failed"),
    (Cause::Stopped, "stopped"),
    (Cause::Lost, "lost"),
];

/// Milliseconds by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyBreakdown([u32; CAUSES.len()]);

/// A job, or one of its repetitions, that ended after its objective or failed.
#[derive(Clone, Debug, PartialEq)]
pub struct LateEnd {
    /// The job.
    pub job: JobId,
    /// Repetition.
    pub repeat: u32,
    /// Name of its queue's route.
    pub route: String,
    /// `Completed` or `Failed`.
    pub state: JobState,
    /// Time from when it was due to its end, in milliseconds.
    pub took_ms: u64,
    /// Its objective on that, in milliseconds.
    pub latency_target_ms: u64,
    /// Where the time went.
    pub breakdown: LatencyBreakdown,
}

impl LatencyBreakdown {
    /// Time spent on one cause, in milliseconds.
    pub fn of(&self, cause: Cause) -> u64 {
        u64::from(self.0[cause as usize])
    }

    fn total_ms(&self) -> u64 {
        self.0.iter().copied().map(u64::from).sum()
    }

    pub(crate) fn add(&mut self, cause: Cause, ms: u64) {
        let sum = &mut self.0[cause as usize];
        *sum = sum.saturating_add(u32::try_from(ms).unwrap_or(u32::MAX));
    }

    pub(crate) fn add_all(&mut self, other: &LatencyBreakdown) {
        CAUSES
            .iter()
            .for_each(|(cause, _)| self.add(*cause, other.of(*cause)));
    }

    /// Adds a wait of `ms`, shared among causes as `observed` is; with nothing seen it was for its turn.
    pub(crate) fn add_wait(&mut self, ms: u64, observed: &LatencyBreakdown) {
        let total_ms = observed.total_ms();
        if total_ms == 0 {
            return self.add(Cause::Queue, ms);
        }
        CAUSES
            .iter()
            .for_each(|(cause, _)| self.add(*cause, ms * observed.of(*cause) / total_ms));
    }
}

impl Display for LatencyBreakdown {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let spent = CAUSES.iter().filter(|(cause, _)| self.of(*cause) > 0);
        for (number, (cause, name)) in spent.enumerate() {
            let comma = if number > 0 { ", " } else { "" };
            write!(formatter, "{comma}{name} {}", self.of(*cause))?;
        }
        Ok(())
    }
}

impl Display for LateEnd {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let end = if self.state == JobState::Failed {
            "failed"
        } else {
            "ended late"
        };
        let LateEnd {
            job,
            repeat,
            route,
            took_ms,
            latency_target_ms,
            breakdown,
            ..
        } = self;
        write!(
            formatter,
            "job {job}.{repeat} of {route} {end} after {took_ms} ms, objective {latency_target_ms} ms: {breakdown}"
        )
    }
}
