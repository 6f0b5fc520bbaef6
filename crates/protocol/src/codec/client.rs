//! Encoding of client calls and of their replies.

use super::common::read_text;
use crate::internal::{ClientCall, ClientOperation, ClientOutcome, ClientReply};
use crate::internal_capnp::{self as wire, client_call, client_reply, job_spec, step};
use crate::job::{JobSpec, JobState, Step};

/// Writes a [`ClientCall`].
pub(super) fn write_call(mut to: client_call::Builder, call: &ClientCall) {
    to.set_call(call.call);
    to.set_host(call.host.as_str());
    to.set_path(call.path.as_str());
    let mut operation = to.init_operation();
    match &call.operation {
        ClientOperation::Submit(job) => write_job(operation.init_submit(), job),
        ClientOperation::Get => operation.set_get(()),
        ClientOperation::Cancel => operation.set_cancel(()),
    }
}

/// Reads a [`ClientCall`].
pub(super) fn read_call(from: client_call::Reader) -> capnp::Result<ClientCall> {
    let operation = match from.get_operation().which()? {
        client_call::operation::Submit(job) => ClientOperation::Submit(read_job(job?)?),
        client_call::operation::Get(()) => ClientOperation::Get,
        client_call::operation::Cancel(()) => ClientOperation::Cancel,
    };
    Ok(ClientCall {
        call: from.get_call(),
        host: read_text(from.get_host())?,
        path: read_text(from.get_path())?,
        operation,
    })
}

/// Writes a [`ClientReply`].
pub(super) fn write_reply(mut to: client_reply::Builder, reply: &ClientReply) {
    to.set_call(reply.call);
    let mut outcome = to.init_outcome();
    match &reply.outcome {
        ClientOutcome::Accepted => outcome.set_accepted(()),
        ClientOutcome::TooMany { retry_after_ms } => outcome.set_too_many(*retry_after_ms),
        ClientOutcome::Unavailable { retry_after_ms } => outcome.set_unavailable(*retry_after_ms),
        ClientOutcome::UnknownRoute => outcome.set_unknown_route(()),
        ClientOutcome::Invalid { reason } => outcome.set_invalid(reason.as_str()),
        ClientOutcome::State(state) => outcome.set_state(write_state(*state)),
        ClientOutcome::NoSuchJob => outcome.set_no_such_job(()),
        ClientOutcome::Pending(count) => outcome.set_pending(*count),
        ClientOutcome::Cancelled => outcome.set_cancelled(()),
    }
}

/// Reads a [`ClientReply`].
pub(super) fn read_reply(from: client_reply::Reader) -> capnp::Result<ClientReply> {
    use client_reply::outcome as wire_outcome;
    let outcome = match from.get_outcome().which()? {
        wire_outcome::Accepted(()) => ClientOutcome::Accepted,
        wire_outcome::TooMany(retry_after_ms) => ClientOutcome::TooMany { retry_after_ms },
        wire_outcome::Unavailable(retry_after_ms) => ClientOutcome::Unavailable { retry_after_ms },
        wire_outcome::UnknownRoute(()) => ClientOutcome::UnknownRoute,
        wire_outcome::Invalid(reason) => ClientOutcome::Invalid {
            reason: read_text(reason)?,
        },
        wire_outcome::State(state) => ClientOutcome::State(read_state(state?)),
        wire_outcome::NoSuchJob(()) => ClientOutcome::NoSuchJob,
        wire_outcome::Pending(count) => ClientOutcome::Pending(count),
        wire_outcome::Cancelled(()) => ClientOutcome::Cancelled,
    };
    Ok(ClientReply {
        call: from.get_call(),
        outcome,
    })
}

/// Writes a [`JobState`].
fn write_state(state: JobState) -> wire::JobState {
    match state {
        JobState::Queued => wire::JobState::Queued,
        JobState::Running => wire::JobState::Running,
        JobState::Completed => wire::JobState::Completed,
        JobState::Failed => wire::JobState::Failed,
        JobState::Cancelled => wire::JobState::Cancelled,
    }
}

/// Reads a [`JobState`].
fn read_state(state: wire::JobState) -> JobState {
    match state {
        wire::JobState::Queued => JobState::Queued,
        wire::JobState::Running => JobState::Running,
        wire::JobState::Completed => JobState::Completed,
        wire::JobState::Failed => JobState::Failed,
        wire::JobState::Cancelled => JobState::Cancelled,
    }
}

/// Writes a [`JobSpec`].
fn write_job(mut to: job_spec::Builder, job: &JobSpec) {
    to.set_spec(job.spec.as_str());
    to.set_repeat_count(job.repeat_count);
    to.set_start_at_ms(job.start_at_ms);
    to.set_interval_ms(job.interval_ms);
    let mut stages = to.init_stages(job.stages.len() as u32);
    for (index, stage) in (0..).zip(&job.stages) {
        write_step(stages.reborrow().get(index), stage);
    }
}

/// Reads a [`JobSpec`].
fn read_job(from: job_spec::Reader) -> capnp::Result<JobSpec> {
    Ok(JobSpec {
        spec: read_text(from.get_spec())?,
        stages: from
            .get_stages()?
            .iter()
            .map(read_step)
            .collect::<Result<_, _>>()?,
        repeat_count: from.get_repeat_count(),
        start_at_ms: from.get_start_at_ms(),
        interval_ms: from.get_interval_ms(),
    })
}

/// Writes a [`Step`].
fn write_step(mut to: step::Builder, step: &Step) {
    to.set_count(step.count);
    to.set_cpu(step.cpu);
    to.set_mem_mb(step.mem_mb);
    to.set_gpu(step.gpu);
    to.set_estimate_ms(step.estimate_ms);
    to.set_checkpoints(step.checkpoints);
    to.set_gang(step.gang);
    to.set_rack_local(step.rack_local);
    to.set_requirements(step.requirements.as_str());
    to.set_affinity(step.affinity.as_str());
    to.set_anti_affinity(step.anti_affinity);
    to.set_speculative(step.speculative);
    to.set_long_running(step.long_running);
    let mut depends_on = to.init_depends_on(step.depends_on.len() as u32);
    for (index, earlier) in (0..).zip(&step.depends_on) {
        depends_on.set(index, *earlier);
    }
}

/// Reads a [`Step`].
fn read_step(from: step::Reader) -> capnp::Result<Step> {
    Ok(Step {
        count: from.get_count(),
        cpu: from.get_cpu(),
        mem_mb: from.get_mem_mb(),
        gpu: from.get_gpu(),
        estimate_ms: from.get_estimate_ms(),
        depends_on: from.get_depends_on()?.iter().collect(),
        checkpoints: from.get_checkpoints(),
        gang: from.get_gang(),
        rack_local: from.get_rack_local(),
        requirements: read_text(from.get_requirements())?,
        affinity: read_text(from.get_affinity())?,
        anti_affinity: from.get_anti_affinity(),
        speculative: from.get_speculative(),
        long_running: from.get_long_running(),
    })
}
