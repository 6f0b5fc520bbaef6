//! The JSON documents of discovery and job workers: memberships and reports on jobs.

use super::{Parse, decode_document};
use serde::Deserialize;
use simd_json::OwnedValue;

/// A membership document of discovery: all machines, or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct MembershipUpdate {
    /// The version of the membership that this document leads to.
    #[serde(default)]
    pub seq: u64,
    /// True if `hosts` is the complete membership, false if it holds only the changed machines.
    #[serde(default, rename = "whole")]
    pub complete: bool,
    /// All machines, or the changed ones.
    #[serde(default)]
    pub hosts: Vec<Machine>,
}

/// One machine of the membership.
#[derive(Clone, Debug, Deserialize)]
pub struct Machine {
    /// The machine's name, the same for every scheduler.
    pub host: String,
    /// The address at which this scheduler connects to it.
    #[serde(default)]
    pub dial: String,
    /// The zone that it is in.
    #[serde(default)]
    pub site: String,
    /// The kind of machine; a class of jobs can be bound to one kind.
    #[serde(default)]
    pub class: String,
    /// The cell: the machines in it drop repeats of keyed jobs for each other.
    #[serde(default)]
    pub block: u32,
    /// The state of the machine: `Ready`, `Terminating` or `Gone`.
    pub health: String,
    /// The size relative to other machines, 1 by default.
    #[serde(default = "one")]
    pub share: f64,
    /// The time of its last start in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub born_ms: u64,
}

pub(super) fn one() -> f64 {
    1.0
}

impl MembershipUpdate {
    /// Parses JSON text in place; the text is not usable afterwards.
    ///
    /// # Errors
    ///
    /// The text is not JSON, or does not have the form of a membership.
    pub fn read(text: &mut [u8]) -> Parse<Self> {
        decode_document(text, "the membership cannot be parsed")
    }
}

/// A report of a job worker on the state of a job.
#[derive(Debug, Deserialize)]
pub struct JobReport {
    /// The job's id, as its client gave it.
    pub id: String,
    /// The name of the machine that reports.
    #[serde(default)]
    pub from: String,
    /// The state of the job, for example `running` or `done`.
    pub state: String,
    /// With state `running`: the fraction that is done, 0 to 1.
    #[serde(default)]
    pub share: f64,
    /// With state `done`: the result of the job.
    #[serde(default)]
    pub result: Option<OwnedValue>,
    /// A load report of the machine, if it sends one.
    #[serde(default)]
    pub load: Option<OwnedValue>,
}

impl JobReport {
    /// Parses JSON text in place; the text is not usable afterwards.
    ///
    /// # Errors
    ///
    /// The text is not JSON, or does not have the form of a report.
    pub fn read(text: &mut [u8]) -> Parse<Self> {
        decode_document(text, "the job report cannot be parsed")
    }
}
