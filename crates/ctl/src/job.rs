//! `job`: how a job stands, where its tasks run, and why it waits.

use crate::query::{self, QueryError};
use crate::report::Report;
use indigofold_protocol::inspection::{
    InspectionAnswer, JobInspection, Question, StepInspection, TaskCounts, Wait,
};
use indigofold_protocol::task::JobId;
use serde_json::Value;
use std::net::SocketAddr;

/// A head that hands over is followed so often.
const HEADS_FOLLOWED: usize = 3;

/// Asks the head, which any of the members may name.
pub fn run(id: JobId, addresses: Vec<SocketAddr>) -> Result<Report, QueryError> {
    query::run(find_job(id, addresses)).map(|job| report(id, job))
}

/// The job as the acting head knows it; `None` if there is no such job.
pub async fn find_job(
    id: JobId,
    addresses: Vec<SocketAddr>,
) -> Result<Option<JobInspection>, QueryError> {
    let mut responses = query::query_all(&addresses, Question::Job(id)).await;
    for _ in 0..HEADS_FOLLOWED {
        let mut heads = Vec::new();
        let mut reasons = Vec::new();
        for (address, answer) in responses {
            match answer {
                Ok(InspectionAnswer::Job(job)) => return Ok(job.map(|job| *job)),
                Ok(InspectionAnswer::NotHead { head: Some(head) }) => heads.push(head.internal),
                Ok(InspectionAnswer::NotHead { head: None }) => {
                    reasons.push(format!("{address} knows no head"));
                }
                Ok(InspectionAnswer::Unavailable { reason }) => {
                    reasons.push(format!("{address}: {reason}"))
                }
                Ok(InspectionAnswer::Status(_)) => reasons.push(format!("{address} answers amiss")),
                Err(error) => reasons.push(error.to_string()),
            }
        }
        heads.sort();
        heads.dedup();
        if heads.is_empty() {
            return Err(QueryError::Nobody {
                reasons: reasons.join("; "),
            });
        }
        responses = query::query_all(&heads, Question::Job(id)).await;
    }
    Err(query::nobody(&responses))
}

/// The report of the answer.
pub fn report(id: JobId, job: Option<JobInspection>) -> Report {
    match job {
        None => Report {
            text: String::new(),
            data: Value::Null,
            findings: vec![format!(
                "job {id} is not known: never taken, or ended long ago"
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
    if let Some(taken) = job.accepted_wall_ms {
        text.push_str(&format!("taken at {taken} ms since 1970\n"));
    }
    if let (Some(due), Some(repeats)) = (job.next_due_wall_ms, job.repeats) {
        text.push_str(&format!(
            "not due: the next of {repeats} repetitions is due at {due} ms since 1970\n"
        ));
    }
    job.steps
        .iter()
        .for_each(|step| text.push_str(&step_text(step)));
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
        "repetition {} step {}: {waiting} waiting, {blocked} blocked, {running} running, {done} done, {} failures\n",
        step.repeat, step.step, step.failures
    );
    if let Some(wait) = &step.wait {
        text.push_str(&format!("  waits: {}\n", wait_text(wait)));
    }
    for run in &step.runs {
        text.push_str(&format!(
            "  task {} attempt {} on {}\n",
            run.index, run.attempt, run.instance
        ));
    }
    text
}

/// Why a step waits, in words.
pub fn wait_text(wait: &Wait) -> String {
    match wait {
        Wait::Dependency(steps) => format!("for steps {steps:?}"),
        Wait::NoWorkers => "no worker of the service is connected and takes work".to_owned(),
        Wait::NoWorkerFits => {
            "no worker of the service has the label and the capacity that a task needs".to_owned()
        }
        Wait::NoRoom { places, needed } => {
            format!(
                "no room: {places} tasks would fit beside what runs, {needed} are needed at once"
            )
        }
        Wait::HeldBack { places } => format!(
            "held back although {places} tasks would fit: room reserved for another step, workers suspected \
             or paused, or the wait for a rack"
        ),
    }
}
