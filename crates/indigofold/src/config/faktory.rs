//! The operator's file for the Faktory front.

use super::error::DuplicateWorkerSnafu;
use super::{MEMORY_MB, Parse, Site, decode_document};
use crate::api::{Reports, Time};
use serde::Deserialize;
use simd_json::OwnedValue;

/// A machine whose job workers speak the Faktory work protocol.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaktoryMachine {
    /// Its name.
    pub machine: String,
    /// The job workers on it, by the `wid` that they connect with.
    pub wids: Vec<String>,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Its size.
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

/// The operator's file for the Faktory front.
#[derive(Clone, Debug)]
pub struct Faktory {
    /// Where to listen.
    pub listen: String,
    /// The password that clients must know; empty: none.
    pub password: String,
    /// How many times the password is hashed.
    pub iterations: u32,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that it may use.
    pub memory_mb: usize,
    /// A job worker that has not sent its heartbeat for this long is unresponsive.
    pub heartbeat_timeout: Time,
    /// ... and one without a connection is, after this long.
    pub reconnect_within: Time,
    /// How many answers are remembered.
    pub remember: usize,
    /// The machines.
    pub machines: Vec<FaktoryMachine>,
    /// The settings.
    pub site: Site,
}

impl Faktory {
    /// Reads the operator's file from JSON text.
    ///
    /// # Errors
    ///
    /// Names the first entry that is missing or not allowed, and what is allowed.
    pub fn read(mut text: Vec<u8>) -> Parse<Self> {
        let raw: RawFaktory = decode_document(&mut text, "no Faktory front")?;
        let mut wids: Vec<&String> = raw.machines.iter().flat_map(|m| &m.wids).collect();
        wids.sort();
        if let Some(pair) = wids.windows(2).find(|w| w[0] == w[1]) {
            return DuplicateWorkerSnafu { wid: pair[0] }.fail();
        }
        let mut site = Site::from_value(&raw.settings)?;
        // What this protocol has: job workers report a start by fetching the job, and no progress; there
        // are no load reports and no probes; the membership changes unasked.
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
