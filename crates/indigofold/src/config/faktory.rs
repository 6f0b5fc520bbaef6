//! The configuration file of the Faktory front.

use super::error::DuplicateWorkerSnafu;
use super::{MEMORY_MB, Parse, Site, decode_document};
use crate::api::{Reports, Time};
use serde::Deserialize;
use simd_json::OwnedValue;

/// A machine whose job workers speak the Faktory work protocol.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaktoryMachine {
    /// The machine's name.
    pub machine: String,
    /// The ids (`wid`) with which the job workers on it connect.
    pub wids: Vec<String>,
    /// The zone that it is in.
    pub zone: String,
    /// The kind of machine; a class of jobs can be bound to one kind.
    pub kind: String,
    /// The cell: the machines in it drop repeats of keyed jobs for each other.
    #[serde(default)]
    pub cell: u32,
    /// The size relative to other machines, 1 by default.
    #[serde(default = "super::discovery::one")]
    pub share: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFaktory {
    listen: String,
    #[serde(default)]
    password: String,
    iterations: Option<u32>,
    sockets: Option<usize>,
    memory_mb: Option<usize>,
    beat_within_ms: Option<u64>,
    reconnect_within_ms: Option<u64>,
    remember: Option<usize>,
    machines: Vec<FaktoryMachine>,
    settings: OwnedValue,
}

/// The configuration of the Faktory front, with defaults filled in.
#[derive(Clone, Debug)]
pub struct Faktory {
    /// The address to listen on.
    pub listen: String,
    /// The password that clients must prove to know; empty if none is required.
    pub password: String,
    /// The number of hash iterations in the password challenge.
    pub iterations: u32,
    /// The number of file descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// A job worker that has not sent a heartbeat for this long is unresponsive; microseconds.
    pub heartbeat_timeout: Time,
    /// A job worker that has had no connection for this long is unresponsive; microseconds.
    pub reconnect_within: Time,
    /// The number of answered jobs that are remembered.
    pub remember: usize,
    /// The machines and their job workers.
    pub machines: Vec<FaktoryMachine>,
    /// The settings of the decision module and the names in them.
    pub site: Site,
}

impl Faktory {
    /// Parses the configuration file.
    ///
    /// # Errors
    ///
    /// An entry is missing or not allowed; the error names the first one and the allowed values.
    pub fn read(mut text: Vec<u8>) -> Parse<Self> {
        let raw: RawFaktory =
            decode_document(&mut text, "the Faktory configuration cannot be parsed")?;
        let mut wids: Vec<&String> = raw.machines.iter().flat_map(|m| &m.wids).collect();
        wids.sort();
        if let Some(pair) = wids.windows(2).find(|w| w[0] == w[1]) {
            return DuplicateWorkerSnafu { wid: pair[0] }.fail();
        }
        let mut site = Site::from_value(&raw.settings)?;
        // Fixed by the protocol: a job worker reports a start by fetching the job, and never reports progress; there are no
        // load reports, probes or peer updates; membership changes are pushed.
        let settings = &mut site.settings;
        (
            settings.membership_pushed,
            settings.reports_start,
            settings.progress,
        ) = (true, true, 0);
        (
            settings.reports,
            settings.limits.probes,
            settings.limits.peers,
        ) = (Reports::Off, false, false);
        Ok(Faktory {
            listen: raw.listen,
            password: raw.password,
            iterations: raw.iterations.unwrap_or(1000).clamp(1, 100_000),
            sockets: raw.sockets.unwrap_or(1024),
            memory_mb: raw.memory_mb.unwrap_or(MEMORY_MB),
            heartbeat_timeout: raw.beat_within_ms.unwrap_or(30_000) * 1000,
            reconnect_within: raw.reconnect_within_ms.unwrap_or(1_000) * 1000,
            remember: raw.remember.unwrap_or(4096),
            machines: raw.machines,
            site,
        })
    }
}
