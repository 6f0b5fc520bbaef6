//! Latency breakdown of jobs that end after their latency target or fail: the time by cause, along the chain of tasks
//! that determined the end. Each task of the chain was the last of its step to be done.

use indigofold_protocol::job::JobState;
use indigofold_protocol::task::JobId;
use std::fmt::{self, Display, Formatter};

/// Cause to which a part of a job's latency is attributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Time between the due time and the opening of the repetition by this scheduler: mainly time under a predecessor,
    /// whose causes are not known.
    Predecessor,
    /// The task waits while steps ahead of its own in the queue wait for capacity too.
    Queue,
    /// The task waits for free capacity on any worker, and no step ahead in the queue blocks its step.
    Capacity,
    /// The task waits for free capacity on the rack of its data or in one rack, or until all members of its gang fit at
    /// once.
    Locality,
    /// The run is placed and waits for the placement to be committed.
    Commit,
    /// The start order was sent, but no report has listed the run as running yet.
    Dispatch,
    /// Run time of runs that were done in the end, without the part due to `Remote`.
    Run,
    /// Additional run time of such runs because they were on another rack than their data, or because their gang was
    /// spread over several racks.
    Remote,
    /// Time of runs that failed.
    Failed,
    /// Time of runs that were stopped or never started.
    Stopped,
    /// Time of runs that were lost with their worker.
    Lost,
}

impl Cause {
    /// All causes, in the order in which a job usually meets them.
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

    /// Key of the cause in log lines.
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

/// Milliseconds spent per cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyBreakdown([u32; Cause::ALL.len()]);

/// A job, or one of its repetitions, that ended after its latency target or failed.
#[derive(Clone, Debug, PartialEq)]
pub struct LateEnd {
    /// ID of the job.
    pub job: JobId,
    /// Number of the repetition, from 0.
    pub repeat: u32,
    /// Name of the route of the job's queue.
    pub route: String,
    /// `Completed` or `Failed`.
    pub state: JobState,
    /// Time from its due time to its end, in milliseconds.
    pub took_ms: u64,
    /// Its latency target, in milliseconds.
    pub latency_target_ms: u64,
    /// Time per cause; adds up to `took_ms` except for rounding.
    pub breakdown: LatencyBreakdown,
}

impl LatencyBreakdown {
    /// Time spent on one cause, in milliseconds.
    pub fn get(&self, cause: Cause) -> u64 {
        u64::from(self.0[cause as usize])
    }

    /// Sum over all causes, in milliseconds.
    fn total_ms(&self) -> u64 {
        self.0.iter().copied().map(u64::from).sum()
    }

    /// Adds time spent on one cause, in milliseconds.
    pub(crate) fn add(&mut self, cause: Cause, duration_ms: u64) {
        let sum = &mut self.0[cause as usize];
        *sum = sum.saturating_add(u32::try_from(duration_ms).unwrap_or(u32::MAX));
    }

    /// Adds another breakdown, cause by cause.
    pub(crate) fn add_all(&mut self, other: &LatencyBreakdown) {
        for cause in Cause::ALL {
            self.add(cause, other.get(cause));
        }
    }

    /// Adds a wait of `wait_ms`, divided among the causes in proportion to `observed_waits`. If that is empty, the whole
    /// wait counts as waiting in the queue.
    pub(crate) fn add_wait(&mut self, wait_ms: u64, observed_waits: &LatencyBreakdown) {
        let total_ms = observed_waits.total_ms();
        if total_ms == 0 {
            return self.add(Cause::Queue, wait_ms);
        }
        for cause in Cause::ALL {
            self.add(cause, wait_ms * observed_waits.get(cause) / total_ms);
        }
    }
}

impl Display for LatencyBreakdown {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let nonzero_causes = Cause::ALL.into_iter().filter(|cause| self.get(*cause) > 0);
        for (number, cause) in nonzero_causes.enumerate() {
            let space = if number > 0 { " " } else { "" };
            write!(formatter, "{space}{}={}", cause.name(), self.get(cause))?;
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
