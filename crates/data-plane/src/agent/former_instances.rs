//! Instances of the worker that have ended, and how long the head may have to wait until it can rely on it.

use super::lease_authority::expires_by_ms;
use super::unreported::Unreported;
use indigofold_protocol::internal::RUN_LEASE_MS;

/// Most former instances that are remembered and reported on a new connection.
pub const ENDED_INSTANCES_MAX: usize = 16;

/// The former instances of the worker on this machine.
#[derive(Debug)]
pub(super) struct FormerInstances {
    /// When the leases that a previous agent process may have granted have expired.
    unknown_expires_ms: u64,
    /// Replaced or deregistered; heartbeats of these that arrive late are not read.
    closed: Vec<String>,
    /// Nothing of these runs; changes when one of them returns.
    ended: Unreported<String>,
    /// An instance that the head has named and that has sent this process no heartbeat.
    unknown: Option<String>,
}

impl FormerInstances {
    /// None is known. A previous agent process may have granted a lease until `started_ms`.
    pub(super) fn new(started_ms: u64) -> Self {
        FormerInstances {
            unknown_expires_ms: expires_by_ms(started_ms, RUN_LEASE_MS),
            closed: Vec::new(),
            ended: Unreported::new(ENDED_INSTANCES_MAX),
            unknown: None,
        }
    }

    /// Whether this instance was replaced or has deregistered.
    pub(super) fn is_closed(&self, id: &str) -> bool {
        self.closed.iter().any(|closed| closed == id)
    }

    /// Whether this instance is reported as ended.
    pub(super) fn is_ended(&self, id: &String) -> bool {
        self.ended.contains(id)
    }

    /// An instance was replaced or has deregistered, and nothing of it runs.
    pub(super) fn close(&mut self, id: String) {
        self.unknown.take_if(|unknown| *unknown == id);
        self.closed.push(id.clone());
        if self.closed.len() > ENDED_INSTANCES_MAX {
            self.closed.remove(0);
        }
        self.ended.push(id);
    }

    /// All leases of an instance have expired; it may still return.
    pub(super) fn expire(&mut self, id: String) {
        self.ended.push(id);
    }

    /// An instance has sent a heartbeat, for the first time or after it had expired.
    pub(super) fn handle_present(&mut self, id: &String) {
        self.ended.remove(id);
        self.unknown.take_if(|unknown| unknown == id);
    }

    /// The head has named an instance that has sent no heartbeat. `has_present`: another one has, so that this one has
    /// ended. Returns whether there is something to report.
    pub(super) fn handle_unknown(&mut self, id: String, has_present: bool) -> bool {
        if id.is_empty() || self.is_closed(&id) || self.is_ended(&id) {
            return false;
        }
        if has_present {
            self.close(id);
        } else {
            self.unknown = Some(id);
        }
        has_present
    }

    /// Ends the unknown instance once its leases have expired. Returns whether there is something to report.
    pub(super) fn expire_unknown(&mut self, now_ms: u64) -> bool {
        if now_ms < self.unknown_expires_ms {
            return false;
        }
        let Some(id) = self.unknown.take() else {
            return false;
        };
        self.ended.push(id);
        true
    }

    /// When [`FormerInstances::expire_unknown`] is to be called next.
    pub(super) fn next_timeout_ms(&self) -> Option<u64> {
        self.unknown.as_ref().map(|_| self.unknown_expires_ms)
    }

    /// The instances to report on this connection.
    pub(super) fn reports(&mut self) -> &mut Unreported<String> {
        &mut self.ended
    }

    /// Whether an ended instance has not been reported on this connection.
    pub(super) fn is_report_pending(&self) -> bool {
        self.ended.is_pending()
    }
}
