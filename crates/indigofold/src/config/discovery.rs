//! JSON forms of what discovery and job workers send: the membership, and reports on jobs.

use super::{Parse, decode_document};
use serde::Deserialize;
use simd_json::OwnedValue;

/// The membership as discovery writes it, complete or a change of it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct MembershipUpdate {
    /// Its version.
    #[serde(default)]
    pub seq: u64,
    /// All machines, not only what changed.
    #[serde(default, rename = "whole")]
    pub complete: bool,
    /// The machines.
    #[serde(default)]
    pub hosts: Vec<Machine>,
}

/// One machine of the membership.
#[derive(Clone, Debug, Deserialize)]
pub struct Machine {
    /// Its name, the same for every scheduler.
    pub host: String,
    /// Where this scheduler reaches it.
    #[serde(default)]
    pub dial: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u32,
    /// `Ready`, `Terminating` or `Gone`.
    pub health: String,
    /// Its size.
    #[serde(default = "one")]
    pub share: f64,
    /// Its last start in Unix time, milliseconds; 0: long ago.
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
    /// The text is no JSON, or not of this form.
    pub fn read(text: &mut [u8]) -> Parse<Self> {
        decode_document(text, "no machine list")
    }
}

/// A report of a job worker on a job.
#[derive(Debug, Deserialize)]
pub struct JobReport {
    /// The job's id, as its client named it.
    pub id: String,
    /// The machine.
    #[serde(default)]
    pub from: String,
    /// What has become of it.
    pub state: String,
    /// With `running`: the share done.
    #[serde(default)]
    pub share: f64,
    /// With `done`: what was made.
    #[serde(default)]
    pub result: Option<OwnedValue>,
    /// A load report.
    #[serde(default)]
    pub load: Option<OwnedValue>,
}

impl JobReport {
    /// Parses JSON text in place; the text is not usable afterwards.
    ///
    /// # Errors
    ///
    /// The text is no JSON, or not of this form.
    pub fn read(text: &mut [u8]) -> Parse<Self> {
        decode_document(text, "no news")
    }
}
