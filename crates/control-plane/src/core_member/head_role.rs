//! The member's role towards the schedulers: follower, head that loads its rows, or leading head; and the writes that an
//! earlier time as head has left without a result.

use crate::acting_head::{ActingHead, HeadError, HeadOutput};
use crate::clocks::Clocks;
use crate::storage_thread::StoredRow;
use indigofold_replication::{SubmissionId, ViewNumber};
use indigofold_scheduler::Bounds;
use std::collections::BTreeSet;

/// Wait before a head requests its rows once more, in milliseconds.
const LOAD_RETRY_MS: u64 = 200;

enum HeadState {
    /// Another member is the head, or none.
    Follower,
    /// Head of `view` that reads its rows. At `request_due_ms` it requests them once more; [`u64::MAX`] while a request is
    /// open.
    Loading {
        view: ViewNumber,
        request_due_ms: u64,
    },
    /// A head with its rows.
    Leading(Box<ActingHead>),
}

/// The role, and the numbering of writes across roles.
pub(super) struct HeadRole {
    state: HeadState,
    /// Number of the first write of the next [`ActingHead`].
    next_write_id: SubmissionId,
    /// Writes of former [`ActingHead`]s of this process without a result yet. Rows are loaded only once there is none.
    pending_writes: BTreeSet<SubmissionId>,
}

impl Default for HeadRole {
    fn default() -> Self {
        HeadRole {
            state: HeadState::Follower,
            next_write_id: SubmissionId(1),
            pending_writes: BTreeSet::new(),
        }
    }
}

impl HeadRole {
    /// Whether this member is the head, with or without its rows.
    pub(super) fn is_head(&self) -> bool {
        !matches!(self.state, HeadState::Follower)
    }

    /// Whether this member loads the rows of `view`.
    pub(super) fn is_loading(&self, view: ViewNumber) -> bool {
        matches!(self.state, HeadState::Loading { view: loading, .. } if loading == view)
    }

    /// The head, once it has its rows.
    pub(super) fn leading(&self) -> Option<&ActingHead> {
        match &self.state {
            HeadState::Leading(head) => Some(head),
            HeadState::Follower | HeadState::Loading { .. } => None,
        }
    }

    /// Like [`Self::leading`].
    pub(super) fn leading_mut(&mut self) -> Option<&mut ActingHead> {
        match &mut self.state {
            HeadState::Leading(head) => Some(head),
            HeadState::Follower | HeadState::Loading { .. } => None,
        }
    }

    /// Becomes the head of `view`; its rows may be requested at once.
    pub(super) fn start_loading(&mut self, view: ViewNumber, now_ms: u64) {
        self.state = HeadState::Loading {
            view,
            request_due_ms: now_ms,
        };
    }

    /// Becomes the head of `view`; its rows may be requested after a wait.
    pub(super) fn start_loading_later(&mut self, view: ViewNumber, now_ms: u64) {
        self.start_loading(view, now_ms + LOAD_RETRY_MS);
    }

    /// The view has changed to `view` with the same head.
    pub(super) fn renew(&mut self, view: ViewNumber) {
        if let HeadState::Loading { view: loading, .. } = &mut self.state {
            *loading = view;
        }
    }

    /// When [`Self::poll_load`] is due, on the steady clock in milliseconds.
    pub(super) fn load_due_ms(&self) -> u64 {
        match self.state {
            HeadState::Loading { request_due_ms, .. } => request_due_ms,
            HeadState::Follower | HeadState::Leading(_) => u64::MAX,
        }
    }

    /// The view whose rows are to be requested; `None` if there is nothing to load, or as long as writes have no result
    /// (then it is due once more after a wait).
    pub(super) fn poll_load(&mut self, now_ms: u64) -> Option<ViewNumber> {
        let HeadState::Loading {
            view,
            request_due_ms,
        } = &mut self.state
        else {
            return None;
        };
        if !self.pending_writes.is_empty() {
            *request_due_ms = now_ms + LOAD_RETRY_MS;
            return None;
        }
        *request_due_ms = u64::MAX;
        Some(*view)
    }

    /// The rows of `view` could not be loaded: they are requested once more after a wait.
    pub(super) fn load_failed(&mut self, view: ViewNumber, now_ms: u64) {
        if let HeadState::Loading {
            view: loading,
            request_due_ms,
        } = &mut self.state
            && *loading == view
        {
            *request_due_ms = now_ms + LOAD_RETRY_MS;
        }
    }

    /// Leads `view` from its rows.
    ///
    /// # Errors
    ///
    /// The rows are not usable; the role stays as it was.
    pub(super) fn lead(
        &mut self,
        bounds: Bounds,
        view: ViewNumber,
        clocks: Clocks,
        rows: Vec<StoredRow>,
        outputs: &mut Vec<HeadOutput>,
    ) -> Result<(), HeadError> {
        let mut head = ActingHead::load(bounds, view, self.next_write_id, clocks, rows)?;
        head.begin(clocks, outputs);
        self.state = HeadState::Leading(Box::new(head));
        Ok(())
    }

    /// Becomes a follower; true if it was leading. The writes of the head are pending from now on.
    pub(super) fn resign(&mut self, outputs: &mut Vec<HeadOutput>) -> bool {
        let former = std::mem::replace(&mut self.state, HeadState::Follower);
        let HeadState::Leading(head) = former else {
            return false;
        };
        let uncommitted = head.end(outputs);
        self.next_write_id = uncommitted.next_write_id;
        self.pending_writes.extend(uncommitted.write_ids);
        true
    }

    /// The result of a write is known.
    pub(super) fn write_resolved(&mut self, write_id: SubmissionId) {
        self.pending_writes.remove(&write_id);
    }
}
