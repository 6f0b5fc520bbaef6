//! Conversion between the lists of the worker protocol and the run types of the internal protocol.

use indigofold_protocol::internal::{FinishedRun, RunningRun, StartOrder};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{Finished, Running, Start, Stop};

/// Converts the runs that a heartbeat lists as running. Entries whose name is not a valid task name are skipped, since
/// the head never orders such a run.
pub(super) fn running_runs(listed: Vec<Running>) -> Vec<RunningRun> {
    let runs = listed.into_iter().filter_map(
        |Running {
             task,
             attempt,
             checkpoint,
             percent,
         }| {
            Some(RunningRun {
                run: run_id(&task, attempt)?,
                checkpoint,
                percent,
            })
        },
    );
    runs.collect()
}

/// Converts the ends that a heartbeat lists, sorted by number. Ends numbered up to `acknowledged` and entries without a
/// valid task name are skipped.
pub(super) fn finished_runs(listed: Vec<Finished>, acknowledged: u64) -> Vec<FinishedRun> {
    let mut ends: Vec<FinishedRun> = listed
        .into_iter()
        .filter(|Finished { number, .. }| *number > acknowledged)
        .filter_map(
            |Finished {
                 number,
                 task,
                 attempt,
                 end,
                 checkpoint,
             }| {
                Some(FinishedRun {
                    number,
                    run: run_id(&task, attempt)?,
                    end,
                    checkpoint,
                })
            },
        )
        .collect();
    ends.sort_by_key(|end| end.number);
    ends
}

/// Converts start orders to the entries of a heartbeat reply.
pub(super) fn start_entries(orders: Vec<StartOrder>) -> Vec<Start> {
    let entries = orders.into_iter().map(|order| Start {
        task: order.run.task.to_string(),
        attempt: order.run.attempt,
        spec: order.spec,
        checkpoint: order.checkpoint,
    });
    entries.collect()
}

/// Converts stop orders to the entries of a heartbeat reply.
pub(super) fn stop_entries(runs: &[RunId]) -> Vec<Stop> {
    runs.iter()
        .map(|run| Stop {
            task: run.task.to_string(),
            attempt: run.attempt,
        })
        .collect()
}

fn run_id(task: &str, attempt: u32) -> Option<RunId> {
    Some(RunId {
        task: task.parse().ok()?,
        attempt,
    })
}
