//! `job`: the state of a job, where its tasks run, and why it waits.

use crate::query::{self, MemberError, MemberResponse, NoAnswerSnafu, QueryError, RedirectedSnafu};
use crate::report::Report;
use indigofold_protocol::inspection::{
    InspectionAnswer, InspectionQuery, JobInspection, StepInspection, TaskCounts, WaitReason,
};
use indigofold_protocol::task::JobId;
use serde_json::Value;
use snafu::ensure;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of redirections to another head that a lookup follows. Members may name different heads while the
/// leadership changes.
pub const REDIRECTIONS_MAX: usize = 3;

/// Result of one round of queries for a job.
enum Lookup {
    /// The acting head has answered; `None` if there is no such job.
    Answered(Option<JobInspection>),
    /// No member has answered as the acting head, but some name it: internal addresses, sorted, without duplicates.
    Redirected(Vec<SocketAddr>),
    /// No member is the head or names it; the reason for each member.
    Failed(Vec<MemberError>),
}

/// Looks a job up and reports on it. `addresses` are internal addresses of core members, which name the acting head.
///
/// # Errors
///
/// The errors of [`find_job`], and [`QueryError::Runtime`] if the runtime cannot be started.
pub fn run(id: JobId, addresses: Vec<SocketAddr>) -> Result<Report, QueryError> {
    query::run(find_job(id, addresses)).map(|job| report(id, job))
}

/// Queries the members, and then the heads that they name, until the acting head answers. Returns the job as the head
/// knows it, or `None` if the head knows no such job.
///
/// # Errors
///
/// [`QueryError::NoAnswer`] if no member answers or knows the head; [`QueryError::Redirected`] if members still name
/// another head after [`REDIRECTIONS_MAX`] redirections.
pub async fn find_job(
    id: JobId,
    addresses: Vec<SocketAddr>,
) -> Result<Option<JobInspection>, QueryError> {
    let mut addresses = addresses;
    let mut redirections = 0;
    loop {
        let responses = query::query_all(&addresses, InspectionQuery::Job(id)).await;
        addresses = match evaluate(responses) {
            Lookup::Answered(job) => return Ok(job),
            Lookup::Failed(failures) => return NoAnswerSnafu { failures }.fail(),
            Lookup::Redirected(heads) => heads,
        };
        redirections += 1;
        ensure!(
            redirections <= REDIRECTIONS_MAX,
            RedirectedSnafu { heads: addresses }
        );
    }
}

fn evaluate(responses: Vec<MemberResponse>) -> Lookup {
    let mut heads = BTreeSet::new();
    let mut failures = Vec::new();
    for MemberResponse { address, result } in responses {
        match result {
            Ok(InspectionAnswer::Job(job)) => return Lookup::Answered(job.map(|job| *job)),
            Ok(InspectionAnswer::NotHead { head: Some(head) }) => {
                heads.insert(head.internal);
            }
            Ok(InspectionAnswer::NotHead { head: None }) => {
                failures.push(MemberError::NoHead { address });
            }
            Ok(InspectionAnswer::Unavailable { reason }) => {
                failures.push(MemberError::Unavailable { address, reason });
            }
            Ok(InspectionAnswer::Status(_)) => {
                failures.push(MemberError::UnexpectedAnswer { address });
            }
            Err(error) => failures.push(error),
        }
    }
    if heads.is_empty() {
        Lookup::Failed(failures)
    } else {
        Lookup::Redirected(heads.into_iter().collect())
    }
}

/// The report on a job. `None` means that the head does not know the job, which is a finding.
pub fn report(id: JobId, job: Option<JobInspection>) -> Report {
    match job {
        None => Report {
            text: String::new(),
            data: Value::Null,
            findings: vec![format!(
                "job {id} is not known: it was never accepted, or it ended long ago"
            )],
        },
        Some(job) => Report::new(text(&job), &job, Vec::new()),
    }
}

fn text(job: &JobInspection) -> String {
    let mut text = format!("job {}: {:?}\n", job.id, job.state).to_lowercase();
    if let (Some(queue), Some(service)) = (&job.queue, &job.service) {
        text.push_str(&format!("queue {queue}, service {service}\n"));
    }
    if let Some(accepted_ms) = job.accepted_wall_ms {
        text.push_str(&format!("accepted at {accepted_ms} ms since 1970\n"));
    }
    if let (Some(due_ms), Some(repeats)) = (job.next_due_wall_ms, job.repeats) {
        text.push_str(&format!(
            "not due: the next of {repeats} repetitions is due at {due_ms} ms since 1970\n"
        ));
    }
    for step in &job.steps {
        text.push_str(&step_text(step));
    }
    if job.more_steps {
        text.push_str("(more steps are not listed)\n");
    }
    text
}

fn step_text(step: &StepInspection) -> String {
    let TaskCounts {
        waiting,
        blocked,
        running,
        done,
    } = step.tasks;
    let mut text = format!(
        "repetition {} step {}: {waiting} waiting, {blocked} blocked, {running} placed, {done} done, {} failures\n",
        step.repeat, step.step, step.failures
    );
    if let Some(wait) = &step.wait {
        text.push_str(&format!("  waits: {}\n", wait_text(wait)));
    }
    for run in &step.runs {
        text.push_str(&format!(
            "  task {} attempt {} placed on {}\n",
            run.index, run.attempt, run.instance
        ));
    }
    text
}

/// Describes why a step waits.
pub fn wait_text(wait: &WaitReason) -> String {
    match wait {
        WaitReason::Dependency(steps) => format!("for steps {steps:?}"),
        WaitReason::NoWorkers => "no worker of the service is connected and takes work".to_owned(),
        WaitReason::NoWorkerFits => {
            "no worker of the service has the label and the capacity that a task needs".to_owned()
        }
        WaitReason::InsufficientCapacity {
            fitting_tasks,
            needed,
        } => {
            format!(
                "no room: {fitting_tasks} tasks would fit beside the placed ones, {needed} are needed at once"
            )
        }
        WaitReason::Deferred { fitting_tasks } => format!(
            "held back although {fitting_tasks} tasks would fit: capacity is reserved for another step, workers are \
             suspected or paused, or the step waits for its rack"
        ),
    }
}
