//! Encoding of the node agents' reports and of the head's orders to them. Empty lists are left out: a reader takes a missing
//! list as empty, and an empty one would take a word more.

use super::common::{
    read_resources, read_run, read_runs, read_text, read_texts, write_resources, write_run,
    write_runs, write_texts,
};
use crate::internal::{
    AgentOrders, AgentReport, FinishedRun, InstanceReport, RunningRun, StartOrder,
};
use crate::internal_capnp::{
    self as wire, agent_orders, agent_report, finished_run, instance_report, running_run,
    start_order,
};
use crate::worker::{RunEnd, WorkerState};

/// Writes an [`AgentReport`].
pub(super) fn write_report(mut to: agent_report::Builder, report: &AgentReport) {
    to.set_sent_ms(report.sent_ms);
    if let Some(instance) = &report.instance {
        write_instance(to.reborrow().init_instance(), instance);
    }
    if !report.ended_instances.is_empty() {
        write_texts(
            to.reborrow()
                .init_ended_instances(report.ended_instances.len() as u32),
            &report.ended_instances,
        );
    }
    if !report.not_started.is_empty() {
        write_runs(
            to.reborrow()
                .init_not_started(report.not_started.len() as u32),
            &report.not_started,
        );
    }
    to.set_newest_update(report.newest_update);
}

/// Reads an [`AgentReport`].
pub(super) fn read_report(from: agent_report::Reader) -> capnp::Result<AgentReport> {
    let instance = from
        .has_instance()
        .then(|| read_instance(from.get_instance()?))
        .transpose()?;
    Ok(AgentReport {
        sent_ms: from.get_sent_ms(),
        instance,
        ended_instances: read_texts(from.get_ended_instances()?)?,
        not_started: read_runs(from.get_not_started()?),
        newest_update: from.get_newest_update(),
    })
}

/// Writes an [`InstanceReport`].
fn write_instance(mut to: instance_report::Builder, instance: &InstanceReport) {
    to.set_id(instance.id.as_str());
    to.set_backend(instance.backend.as_str());
    to.set_zone(instance.zone.as_str());
    to.set_state(match instance.state {
        WorkerState::Ready => wire::WorkerState::Ready,
        WorkerState::Draining => wire::WorkerState::Draining,
    });
    if let Some(remaining_ms) = instance.remaining_ms {
        to.reborrow()
            .init_remaining()
            .set_milliseconds(remaining_ms);
    }
    to.set_warmup_remaining_ms(instance.warmup_remaining_ms);
    write_resources(to.reborrow().init_capacity(), &instance.capacity);
    write_texts(
        to.reborrow().init_labels(instance.labels.len() as u32),
        &instance.labels,
    );
    to.set_since_heartbeat_ms(instance.since_heartbeat_ms);
    // An empty list differs from a missing one here: the worker runs nothing.
    if let Some(running) = &instance.running {
        let mut entries = to.reborrow().init_running(running.len() as u32);
        for (index, run) in (0..).zip(running) {
            write_running(entries.reborrow().get(index), run);
        }
    }
    if !instance.finished.is_empty() {
        let mut finished = to.reborrow().init_finished(instance.finished.len() as u32);
        for (index, run) in (0..).zip(&instance.finished) {
            write_finished(finished.reborrow().get(index), run);
        }
    }
    if !instance.in_flight.is_empty() {
        write_runs(
            to.init_in_flight(instance.in_flight.len() as u32),
            &instance.in_flight,
        );
    }
}

/// Reads an [`InstanceReport`].
fn read_instance(from: instance_report::Reader) -> capnp::Result<InstanceReport> {
    let read_all_running = || {
        from.get_running()?
            .iter()
            .map(read_running)
            .collect::<Result<_, _>>()
    };
    Ok(InstanceReport {
        id: read_text(from.get_id())?,
        backend: read_text(from.get_backend())?,
        zone: read_text(from.get_zone())?,
        state: match from.get_state()? {
            wire::WorkerState::Ready => WorkerState::Ready,
            wire::WorkerState::Draining => WorkerState::Draining,
        },
        remaining_ms: match from.get_remaining().which()? {
            instance_report::remaining::Unknown(()) => None,
            instance_report::remaining::Milliseconds(remaining_ms) => Some(remaining_ms),
        },
        warmup_remaining_ms: from.get_warmup_remaining_ms(),
        capacity: read_resources(from.get_capacity()?),
        labels: read_texts(from.get_labels()?)?,
        since_heartbeat_ms: from.get_since_heartbeat_ms(),
        running: from.has_running().then(read_all_running).transpose()?,
        finished: from
            .get_finished()?
            .iter()
            .map(read_finished)
            .collect::<Result<_, _>>()?,
        in_flight: read_runs(from.get_in_flight()?),
    })
}

/// Writes a [`RunningRun`].
fn write_running(mut to: running_run::Builder, running: &RunningRun) {
    write_run(to.reborrow().init_run(), &running.run);
    to.set_checkpoint(running.checkpoint.as_str());
    to.set_percent(running.percent);
}

/// Reads a [`RunningRun`].
fn read_running(from: running_run::Reader) -> capnp::Result<RunningRun> {
    Ok(RunningRun {
        run: read_run(from.get_run()?),
        checkpoint: read_text(from.get_checkpoint())?,
        percent: from.get_percent(),
    })
}

/// Writes a [`FinishedRun`].
fn write_finished(mut to: finished_run::Builder, finished: &FinishedRun) {
    to.set_number(finished.number);
    write_run(to.reborrow().init_run(), &finished.run);
    to.set_end(match finished.end {
        RunEnd::Done => wire::RunEnd::Done,
        RunEnd::Failed => wire::RunEnd::Failed,
        RunEnd::Stopped => wire::RunEnd::Stopped,
        RunEnd::Expired => wire::RunEnd::Expired,
        RunEnd::GangMemberEnded => wire::RunEnd::Broken,
        RunEnd::GangIncomplete => wire::RunEnd::Alone,
        RunEnd::Refused => wire::RunEnd::Refused,
    });
    to.set_checkpoint(finished.checkpoint.as_str());
}

/// Reads a [`FinishedRun`].
fn read_finished(from: finished_run::Reader) -> capnp::Result<FinishedRun> {
    Ok(FinishedRun {
        number: from.get_number(),
        run: read_run(from.get_run()?),
        end: match from.get_end()? {
            wire::RunEnd::Done => RunEnd::Done,
            wire::RunEnd::Failed => RunEnd::Failed,
            wire::RunEnd::Stopped => RunEnd::Stopped,
            wire::RunEnd::Expired => RunEnd::Expired,
            wire::RunEnd::Broken => RunEnd::GangMemberEnded,
            wire::RunEnd::Alone => RunEnd::GangIncomplete,
            wire::RunEnd::Refused => RunEnd::Refused,
        },
        checkpoint: read_text(from.get_checkpoint())?,
    })
}

/// Writes [`AgentOrders`].
pub(super) fn write_orders(mut to: agent_orders::Builder, orders: &AgentOrders) {
    to.set_epoch(orders.epoch);
    if let Some(echo_sent_ms) = orders.echo_sent_ms {
        to.reborrow()
            .init_echo_sent()
            .set_milliseconds(echo_sent_ms);
    }
    to.set_instance(orders.instance.as_str());
    if let Some(acknowledged_end) = orders.acknowledged_end {
        to.reborrow()
            .init_acknowledged_end()
            .set_number(acknowledged_end);
    }
    if let Some(acknowledged_update) = orders.acknowledged_update {
        to.reborrow()
            .init_acknowledged_update()
            .set_number(acknowledged_update);
    }
    if !orders.start.is_empty() {
        let mut starts = to.reborrow().init_start(orders.start.len() as u32);
        for (index, start) in (0..).zip(&orders.start) {
            write_start(starts.reborrow().get(index), start);
        }
    }
    if !orders.stop.is_empty() {
        write_runs(to.init_stop(orders.stop.len() as u32), &orders.stop);
    }
}

/// Reads [`AgentOrders`].
pub(super) fn read_orders(from: agent_orders::Reader) -> capnp::Result<AgentOrders> {
    Ok(AgentOrders {
        epoch: from.get_epoch(),
        echo_sent_ms: match from.get_echo_sent().which()? {
            agent_orders::echo_sent::None(()) => None,
            agent_orders::echo_sent::Milliseconds(sent_ms) => Some(sent_ms),
        },
        instance: read_text(from.get_instance())?,
        start: from
            .get_start()?
            .iter()
            .map(read_start)
            .collect::<Result<_, _>>()?,
        stop: read_runs(from.get_stop()?),
        acknowledged_end: match from.get_acknowledged_end().which()? {
            agent_orders::acknowledged_end::None(()) => None,
            agent_orders::acknowledged_end::Number(number) => Some(number),
        },
        acknowledged_update: match from.get_acknowledged_update().which()? {
            agent_orders::acknowledged_update::None(()) => None,
            agent_orders::acknowledged_update::Number(number) => Some(number),
        },
    })
}

/// Writes a [`StartOrder`].
fn write_start(mut to: start_order::Builder, start: &StartOrder) {
    write_run(to.reborrow().init_run(), &start.run);
    write_resources(to.reborrow().init_resources(), &start.resources);
    to.set_spec(start.spec.as_str());
    to.set_checkpoint(start.checkpoint.as_str());
}

/// Reads a [`StartOrder`].
fn read_start(from: start_order::Reader) -> capnp::Result<StartOrder> {
    Ok(StartOrder {
        run: read_run(from.get_run()?),
        resources: read_resources(from.get_resources()?),
        spec: read_text(from.get_spec())?,
        checkpoint: read_text(from.get_checkpoint())?,
    })
}
