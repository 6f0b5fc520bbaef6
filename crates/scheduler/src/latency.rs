//! Where the time of a job went that ended after its latency target, or failed: along the chain of tasks that decided
//! its end, each of which was the last of its step to be done.

use indigofold_protocol::job::JobState;
use indigofold_protocol::task::JobId;
use std::fmt::{self, Display, Formatter};

/// What time of a job was spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Due, but under another head.
    Predecessor,
    /// Waiting behind other steps of the queue.
    Queue,
    /// First in the queue, waiting for free capacity on any worker.
    Capacity,
    /// Waiting for free capacity on the rack of the data, in one rack, or for a complete gang.
    Locality,
    /// Placed, waiting for the write.
    Commit,
    /// Ordered, not yet listed by the worker.
    Dispatch,
    /// At work, done in the end.
    Run,
    /// The fraction of such work that is due to running remote from the data or in several racks.
    Remote,
    /// Work that failed.
    Failed,
    /// Work that was stopped, or never started.
    Stopped,
    /// Work that was lost with its worker.
    Lost,
}

impl Cause {
    /// All causes, in the order in which a job meets them.
    pub const ALL: [Cause; 11] = [
        Cause::Predecessor,
        Cause::Queue,
        Cause::Capacity,
        Cause::Locality,
        Cause::Commit,
        Cause::Dispatch,
        Cause::Run,
        Cause::Remote,
        Cause::Failed,
        Cause::Stopped,
        Cause::Lost,
    ];

    /// Name in log lines.
    fn name(self) -> &'static str {
        match self {
            Cause::Predecessor => "predecessor_ms",
            Cause::Queue => "queue_ms",
            Cause::Capacity => "capacity_ms",
            Cause::Locality => "locality_ms",
            Cause::Commit => "commit_ms",
            Cause::Dispatch => "dispatch_ms",
            Cause::Run => "run_ms",
            Cause::Remote => "remote_ms",
            Cause::Failed => "failed_ms",
            Cause::Stopped => "stopped_ms",
            Cause::Lost => "lost_ms",
        }
    }
}

/// Milliseconds by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyBreakdown([u32; Cause::ALL.len()]);

/// A job, or one of its repetitions, that ended after its latency target or failed.
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
    /// Its latency target, in milliseconds.
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

    /// Adds time spent on one cause, in milliseconds.
    pub(crate) fn add(&mut self, cause: Cause, ms: u64) {
        let sum = &mut self.0[cause as usize];
        *sum = sum.saturating_add(u32::try_from(ms).unwrap_or(u32::MAX));
    }

    /// Adds another breakdown.
    pub(crate) fn add_all(&mut self, other: &LatencyBreakdown) {
        for cause in Cause::ALL {
            self.add(cause, other.of(cause));
        }
    }

    /// Adds a wait of `ms`, divided among causes as `observed` is; without any, it counts as waiting in the queue.
    pub(crate) fn add_wait(&mut self, ms: u64, observed: &LatencyBreakdown) {
        let total_ms = observed.total_ms();
        if total_ms == 0 {
            return self.add(Cause::Queue, ms);
        }
        for cause in Cause::ALL {
            self.add(cause, ms * observed.of(cause) / total_ms);
        }
    }
}

impl Display for LatencyBreakdown {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let spent = Cause::ALL.into_iter().filter(|cause| self.of(*cause) > 0);
        for (number, cause) in spent.enumerate() {
            let space = if number > 0 { " " } else { "" };
            write!(formatter, "{space}{}={}", cause.name(), self.of(cause))?;
        }
        Ok(())
    }
}

impl Display for LateEnd {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let message = if self.state == JobState::Failed {
            "job failed"
        } else {
            "job ended late"
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
            "{message} job={job}.{repeat} route={route} took_ms={took_ms} latency_target_ms={latency_target_ms} {breakdown}"
        )
    }
}
