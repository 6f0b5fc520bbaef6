//! Check of the count of pending jobs against its definition: open jobs of a route of which no task has begun.
//!
//! A head learns of a beginning from reports. So a job that no worker has ever begun must be counted, and one must not be
//! counted once a report with its beginning has reached the present head, or has reached a former head
//! [`REMEMBERED_MS`] before that head was lost. In between, a job may be counted or not.

use super::{ClientJob, Cluster};
use indigofold_protocol::internal::{
    AgentReport, ClientCall, ClientOperation, ClientOutcome, ClientReply, InstanceReport,
};
use indigofold_protocol::job::JobState;
use indigofold_protocol::task::JobId;
use indigofold_protocol::worker::RunEnd;
use indigofold_scheduler::{CallerId, Event};
use std::collections::BTreeMap;

/// A later head knows of each beginning that a head was told this long before it was lost: the count may be 2 s old.
const REMEMBERED_MS: u64 = 2_000;
/// Period of the checks.
pub(super) const CHECK_INTERVAL_MS: u64 = 20;
/// Number of the calls that ask for a count.
const COUNT_CALL: u64 = 1 << 32;
/// Caller that asks for the counts.
const CALLER: CallerId = CallerId(2);

/// The reports of beginnings that have reached heads.
#[derive(Debug, Default)]
pub(crate) struct ReportedBegins {
    /// When the present head, or a former one, was first told that the job has begun, by the job's ID. What a former head was
    /// told too shortly before it was lost is not kept.
    first_ms: BTreeMap<JobId, u64>,
}

impl ReportedBegins {
    /// Records the beginnings that a report shows to the present head.
    pub(super) fn record_report(&mut self, report: &AgentReport, now_ms: u64) {
        for id in report.instance.iter().flat_map(begun_jobs) {
            self.first_ms.entry(id).or_insert(now_ms);
        }
    }

    /// The head is lost: what it was told just before may be lost with it.
    pub(super) fn head_lost(&mut self, now_ms: u64) {
        self.first_ms
            .retain(|_, first_ms| now_ms >= *first_ms + REMEMBERED_MS);
    }

    fn contains(&self, id: JobId) -> bool {
        self.first_ms.contains_key(&id)
    }
}

/// Jobs of which the report lists a run, or an end of a run that the worker had begun.
fn begun_jobs(instance: &InstanceReport) -> impl Iterator<Item = JobId> {
    let running = instance.running.iter().flatten();
    let running = running.map(|listed| listed.run.task.job);
    let ends = instance.finished.iter();
    let ends = ends.filter(|end| end.end != RunEnd::Refused);
    running.chain(ends.map(|end| end.run.task.job))
}

/// Minimum and maximum of a count.
#[derive(Debug, Default, PartialEq, Eq)]
struct CountRange {
    min: u64,
    max: u64,
}

impl Cluster {
    /// The number of pending jobs of a route, as a client is told.
    pub(crate) fn pending(&mut self, route: &str) -> u64 {
        let call = ClientCall {
            call: COUNT_CALL,
            host: "h".to_owned(),
            path: format!("/{route}/"),
            operation: ClientOperation::Get,
        };
        self.handle(Event::Call { from: CALLER, call });
        let is_count = |reply: &ClientReply| reply.call == COUNT_CALL;
        let position = self.replies.iter().position(is_count);
        let position = position.expect("a count is answered at once");
        match self.replies.remove(position).outcome {
            ClientOutcome::Pending(pending) => pending,
            other => panic!("the count of {route} was answered {other:?}"),
        }
    }

    /// Checks the counts of all routes.
    pub(super) fn check_pending(&mut self) {
        let routes = self.config.routes.iter();
        let routes: Vec<String> = routes.map(|route| route.name.clone()).collect();
        for route in routes {
            let expected = self.expected_pending(&route);
            let pending = self.pending(&route);
            assert!(
                (expected.min..=expected.max).contains(&pending),
                "{pending} jobs of {route} are counted as pending at {} ms, not {expected:?}: {:?}",
                self.now_ms,
                self.jobs_that_count(&route)
            );
        }
    }

    fn expected_pending(&self, route: &str) -> CountRange {
        let mut range = CountRange::default();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.route == route) {
            let (must_count, may_count) = (self.must_count(*id, job), self.may_count(*id, job));
            range.min += u64::from(must_count);
            range.max += u64::from(may_count);
        }
        range
    }

    /// Whether the job is accepted, not cancelled, and no worker has begun a task of it.
    fn must_count(&self, id: JobId, job: &ClientJob) -> bool {
        job.accepted_ms.is_some() && !job.cancel_sent && !self.has_begun(id)
    }

    /// Whether the job may be known to the head, and need not be known to have begun or ended.
    fn may_count(&self, id: JobId, job: &ClientJob) -> bool {
        let is_cancelled = job.cancelled_ms.is_some() || job.state == Some(JobState::Cancelled);
        let is_open = !job.rejected && !is_cancelled && job.ended_ms.is_none();
        is_open && !self.begins.contains(id)
    }

    /// Whether any worker has begun a task of the job.
    pub(crate) fn has_begun(&self, id: JobId) -> bool {
        self.history_of(id).any(|(_, history)| history.starts > 0)
    }

    /// For a failed check: the jobs of the route that must or may count.
    fn jobs_that_count(&self, route: &str) -> Vec<(JobId, bool)> {
        let jobs = self.jobs.iter().filter(|(_, job)| job.route == route);
        jobs.filter(|(id, job)| self.may_count(**id, job))
            .map(|(id, job)| (*id, self.must_count(*id, job)))
            .collect()
    }
}
