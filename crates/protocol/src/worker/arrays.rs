//! The entries of a heartbeat's lists and of its answer's, as the arrays that stand for them in JSON.
//!
//! Only the order of the fields is said here; their meaning is at the structs that are made of these.

use super::RunEnd;
use serde::Deserialize;

/// `[task, run, saved, percent]`.
#[derive(Deserialize)]
pub(super) struct Running(String, u32, String, u32);

/// `[N, task, run, how, saved]`.
#[derive(Deserialize)]
pub(super) struct Finished(u64, String, u32, RunEnd, String);

/// `[task, run, spec, saved]`.
#[derive(Deserialize)]
pub(super) struct Start(String, u32, String, String);

/// `[task, run]`.
#[derive(Deserialize)]
pub(super) struct Stop(String, u32);

impl From<Running> for super::Running {
    fn from(Running(task, attempt, checkpoint, percent): Running) -> Self {
        super::Running {
            task,
            attempt,
            checkpoint,
            percent,
        }
    }
}

impl From<Finished> for super::Finished {
    fn from(Finished(number, task, attempt, end, checkpoint): Finished) -> Self {
        super::Finished {
            number,
            task,
            attempt,
            end,
            checkpoint,
        }
    }
}

impl From<Start> for super::Start {
    fn from(Start(task, attempt, spec, checkpoint): Start) -> Self {
        super::Start {
            task,
            attempt,
            spec,
            checkpoint,
        }
    }
}

impl From<Stop> for super::Stop {
    fn from(Stop(task, attempt): Stop) -> Self {
        super::Stop { task, attempt }
    }
}
