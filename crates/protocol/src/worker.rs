//! What workers tell in their heartbeats and are told in the answers (`PUT /instances/ID`).

mod arrays;

use crate::job::Resources;
use serde::{Deserialize, Serialize, Serializer};

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// It takes new work.
    #[default]
    Ready,
    /// It is about to leave.
    Draining,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunEnd {
    /// It has done its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its hold ran out.
    #[serde(rename = "lapsed")]
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
    /// It was never started.
    Refused,
}

/// A run at work. In JSON an array: `[task, run, saved, percent]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "arrays::Running")]
pub struct Running {
    /// The task's name, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the run, from 1.
    pub attempt: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Part of the work that is done, in percent.
    pub percent: u32,
}

/// A run that has ended. In JSON an array: `[N, task, run, how, saved]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "arrays::Finished")]
pub struct Finished {
    /// Number of this end; rises from 1 within one instance.
    pub number: u64,
    /// The task's name, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the run, from 1.
    pub attempt: u32,
    /// How it ended.
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

/// A worker's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Heartbeat {
    /// The service it belongs to.
    pub backend: String,
    /// Its own address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Slots it has.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// How long it will still be slow after its start, in milliseconds.
    #[serde(rename = "cold_remaining_ms")]
    pub warmup_remaining_ms: u64,
    /// What it has.
    pub capacity: Resources,
    /// Its labels: kind, rack.
    pub labels: Vec<String>,
    /// Least time until it leaves, in milliseconds, while it drains.
    pub remaining_ms: Option<u64>,
    /// Its own clock, in milliseconds.
    pub now_ms: u64,
    /// Rises with each call.
    pub seq_no: u64,
    /// Runs at work.
    pub running: Vec<Running>,
    /// Ends not yet acknowledged, 500 at most.
    pub finished: Vec<Finished>,
}

/// An order to start a run. In JSON an array: `[task, run, spec, saved]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "arrays::Start")]
pub struct Start {
    /// The task's name, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the run, from 1.
    pub attempt: u32,
    /// The job's text.
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
    /// Number of the run, from 1.
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

/// The answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HeartbeatReply {
    /// For how long what runs is held, from when the heartbeat was sent; without it nothing is started or held on.
    #[serde(rename = "hold_ms", skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
    /// Ends up to this number are taken note of.
    #[serde(rename = "last_seen", skip_serializing_if = "Option::is_none")]
    pub acknowledged_end: Option<u64>,
    /// Orders under a lower token than the highest seen are not followed.
    #[serde(rename = "fence_token", skip_serializing_if = "Option::is_none")]
    pub fencing_token: Option<u64>,
    /// Runs to start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<Start>,
    /// Runs to stop.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<Stop>,
    /// When to send the next heartbeat, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_delay_ms: Option<u64>,
}
