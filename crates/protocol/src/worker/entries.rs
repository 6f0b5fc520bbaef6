//! List entries of a heartbeat and of its reply. Each is a struct with named fields here and an array in JSON.

use super::arrays;
use super::run_end::RunEnd;
use serde::{Deserialize, Serialize, Serializer};

/// A run that the worker is executing. In JSON an array: `[task, run, saved, percent]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "arrays::Running")]
pub struct Running {
    /// The task's name, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Attempt number of the run, from 1.
    pub attempt: u32,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress, in percent.
    pub percent: u32,
}

/// A run that has ended. In JSON an array: `[N, task, run, how, saved]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "arrays::Finished")]
pub struct Finished {
    /// Sequence number of this entry; rises from 1 within one worker instance.
    pub number: u64,
    /// The task's name, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Attempt number of the run, from 1.
    pub attempt: u32,
    /// How the run ended.
    pub end: RunEnd,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
}

impl Serialize for Running {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.task, self.attempt, &self.checkpoint, self.percent).serialize(serializer)
    }
}

impl Serialize for Finished {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let array = (
            self.number,
            &self.task,
            self.attempt,
            self.end,
            &self.checkpoint,
        );
        array.serialize(serializer)
    }
}

/// An order to start a run. In JSON an array: `[task, run, spec, saved]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "arrays::Start")]
pub struct Start {
    /// The task's name, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Attempt number of the run, from 1.
    pub attempt: u32,
    /// `spec` of the job.
    pub spec: String,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

/// An order to stop a run. In JSON an array: `[task, run]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "arrays::Stop")]
pub struct Stop {
    /// The task's name, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Attempt number of the run, from 1.
    pub attempt: u32,
}

impl Serialize for Start {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.task, self.attempt, &self.spec, &self.checkpoint).serialize(serializer)
    }
}

impl Serialize for Stop {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.task, self.attempt).serialize(serializer)
    }
}

impl From<arrays::Running> for Running {
    fn from(array: arrays::Running) -> Self {
        let arrays::Running(task, attempt, checkpoint, percent) = array;
        Running {
            task,
            attempt,
            checkpoint,
            percent,
        }
    }
}

impl From<arrays::Finished> for Finished {
    fn from(array: arrays::Finished) -> Self {
        let arrays::Finished(number, task, attempt, end, checkpoint) = array;
        Finished {
            number,
            task,
            attempt,
            end,
            checkpoint,
        }
    }
}

impl From<arrays::Start> for Start {
    fn from(array: arrays::Start) -> Self {
        let arrays::Start(task, attempt, spec, checkpoint) = array;
        Start {
            task,
            attempt,
            spec,
            checkpoint,
        }
    }
}

impl From<arrays::Stop> for Stop {
    fn from(array: arrays::Stop) -> Self {
        let arrays::Stop(task, attempt) = array;
        Stop { task, attempt }
    }
}
