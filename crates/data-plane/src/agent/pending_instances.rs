//! Instances that have sent heartbeats but are not registered. A heartbeat may arrive seconds late, after its instance
//! has ended and the next one has registered, so its arrival does not show which instance runs now.
//!
//! The worker has one instance at a time, and an instance has one heartbeat at a time in flight on its connection. A
//! second heartbeat on a connection was therefore sent after the reply to the first one, by an instance that started
//! after every instance whose heartbeats were read before that reply.

use super::heartbeat::{HeartbeatSource, WorkerConnectionId};
use std::collections::VecDeque;

/// Maximum number of pending instances; the one that has waited longest is dropped first.
pub const PENDING_INSTANCES_MAX: usize = 16;

/// What a heartbeat of a pending instance shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// The first heartbeat; the instance may have ended.
    First,
    /// A heartbeat that was sent before one that was received earlier.
    Outdated,
    /// A later heartbeat, but not on the connection of the one before; the instance may have ended.
    Repeated,
    /// A later heartbeat on the connection of the one before. The instance has read the reply to that one, so all
    /// instances whose heartbeats were read before the reply have ended.
    FollowsReply,
}

#[derive(Debug)]
struct PendingInstance {
    instance: String,
    /// The newest heartbeat and its connection.
    seq_no: u64,
    connection: WorkerConnectionId,
    /// Whether the instance has sent `DELETE`.
    has_deregistered: bool,
}

/// The pending instances, up to [`PENDING_INSTANCES_MAX`].
#[derive(Debug, Default)]
pub(super) struct PendingInstances {
    oldest_first: VecDeque<PendingInstance>,
}

impl PendingInstances {
    /// Handles heartbeat `seq_no` of an instance that is not registered.
    pub(super) fn handle_heartbeat(
        &mut self,
        source: HeartbeatSource<'_>,
        seq_no: u64,
    ) -> Evidence {
        let Some(pending) = self.find_mut(source.instance) else {
            self.insert(source, seq_no);
            return Evidence::First;
        };
        if seq_no <= pending.seq_no {
            return Evidence::Outdated;
        }
        pending.seq_no = seq_no;
        if std::mem::replace(&mut pending.connection, source.connection) == source.connection {
            Evidence::FollowsReply
        } else {
            Evidence::Repeated
        }
    }

    /// Records that an instance has sent `DELETE`; ignored if it is not pending.
    pub(super) fn handle_deregistration(&mut self, id: &str) {
        if let Some(pending) = self.find_mut(id) {
            pending.has_deregistered = true;
        }
    }

    /// Whether an instance is pending and has sent `DELETE`.
    pub(super) fn has_deregistered(&self, id: &str) -> bool {
        let mut pending_instances = self.oldest_first.iter();
        pending_instances.any(|pending| pending.instance == id && pending.has_deregistered)
    }

    /// Forgets all pending instances, because one has registered: replies sent before do not show that an instance
    /// started after that one.
    pub(super) fn clear(&mut self) {
        self.oldest_first.clear();
    }

    fn find_mut(&mut self, id: &str) -> Option<&mut PendingInstance> {
        let mut pending_instances = self.oldest_first.iter_mut();
        pending_instances.find(|pending| pending.instance == id)
    }

    fn insert(&mut self, source: HeartbeatSource<'_>, seq_no: u64) {
        if self.oldest_first.len() == PENDING_INSTANCES_MAX {
            self.oldest_first.pop_front();
        }
        self.oldest_first.push_back(PendingInstance {
            instance: source.instance.to_owned(),
            seq_no,
            connection: source.connection,
            has_deregistered: false,
        });
    }
}
