//! The member's role: follower, head that is loading its rows, or leading head. Also tracks the writes of earlier terms as
//! head that have no result yet.

use crate::acting_head::{ActingHead, HeadError, HeadOutput};
use crate::clocks::Clocks;
use crate::storage_thread::StoredRow;
use indigofold_replication::{SubmissionId, ViewNumber};
use indigofold_scheduler::Bounds;
use std::collections::BTreeSet;

/// Wait before a head requests its rows again, in milliseconds.
const LOAD_RETRY_MS: u64 = 200;

enum HeadState {
    /// Another member is the head, or there is no head.
    Follower,
    /// Head of `view` without its rows. They are to be requested at `request_due_ms` on the monotonic clock;
    /// [`u64::MAX`] while a request is open.
    Loading {
        view: ViewNumber,
        request_due_ms: u64,
    },
    /// Head with its rows loaded.
    Leading(Box<ActingHead>),
}

/// The current role, and the writes of all terms as head.
pub(super) struct HeadRole {
    state: HeadState,
    /// ID for the first write of the next [`ActingHead`].
    next_write_id: SubmissionId,
    /// Writes of former [`ActingHead`]s of this process that have no result yet. Rows are loaded only once this set is empty, so
    /// that the loaded rows contain the results of all these writes.
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
    /// Whether this member is the head, whether or not its rows are loaded.
    pub(super) fn is_head(&self) -> bool {
        !matches!(self.state, HeadState::Follower)
    }

    /// Whether this member is the head of `view` and its rows are not loaded yet.
    pub(super) fn is_loading(&self, view: ViewNumber) -> bool {
        matches!(self.state, HeadState::Loading { view: loading_view, .. } if loading_view == view)
    }

    /// Returns the head if this member is the head and its rows are loaded.
    pub(super) fn leading(&self) -> Option<&ActingHead> {
        match &self.state {
            HeadState::Leading(head) => Some(head),
            HeadState::Follower | HeadState::Loading { .. } => None,
        }
    }

    /// Like [`Self::leading`], but mutable.
    pub(super) fn leading_mut(&mut self) -> Option<&mut ActingHead> {
        match &mut self.state {
            HeadState::Leading(head) => Some(head),
            HeadState::Follower | HeadState::Loading { .. } => None,
        }
    }

    /// Becomes the head of `view`. The rows are to be requested at once.
    pub(super) fn start_loading(&mut self, view: ViewNumber, now_ms: u64) {
        self.state = HeadState::Loading {
            view,
            request_due_ms: now_ms,
        };
    }

    /// Becomes the head of `view`. The rows are to be requested after [`LOAD_RETRY_MS`].
    pub(super) fn start_loading_later(&mut self, view: ViewNumber, now_ms: u64) {
        self.start_loading(view, now_ms + LOAD_RETRY_MS);
    }

    /// Changes the view whose rows are being loaded: this member is the head of the new view too.
    pub(super) fn renew(&mut self, view: ViewNumber) {
        if let HeadState::Loading {
            view: loading_view, ..
        } = &mut self.state
        {
            *loading_view = view;
        }
    }

    /// Returns when [`Self::poll_load`] is due, on the monotonic clock in milliseconds; [`u64::MAX`] if nothing is to be
    /// requested.
    pub(super) fn load_due_ms(&self) -> u64 {
        match self.state {
            HeadState::Loading { request_due_ms, .. } => request_due_ms,
            HeadState::Follower | HeadState::Leading(_) => u64::MAX,
        }
    }

    /// Returns the view whose rows the caller has to request now. `None` if there is nothing to load, or if writes of former
    /// heads have no result yet; in that case the call is due again after [`LOAD_RETRY_MS`].
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

    /// Schedules another request after [`LOAD_RETRY_MS`], as the rows of `view` could not be loaded.
    pub(super) fn load_failed(&mut self, view: ViewNumber, now_ms: u64) {
        if let HeadState::Loading {
            view: loading_view,
            request_due_ms,
        } = &mut self.state
            && *loading_view == view
        {
            *request_due_ms = now_ms + LOAD_RETRY_MS;
        }
    }

    /// Becomes the leading head of `view` with these rows, and starts its scheduler.
    ///
    /// # Errors
    ///
    /// The rows are not usable; the role is unchanged.
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

    /// Becomes a follower; returns whether this member was the leading head. The head's writes without a result become pending.
    pub(super) fn resign(&mut self, outputs: &mut Vec<HeadOutput>) -> bool {
        let former_state = std::mem::replace(&mut self.state, HeadState::Follower);
        let HeadState::Leading(head) = former_state else {
            return false;
        };
        let uncommitted_writes = head.end(outputs);
        self.next_write_id = uncommitted_writes.next_write_id;
        self.pending_writes.extend(uncommitted_writes.write_ids);
        true
    }

    /// Removes a write from the pending ones, as its result is known.
    pub(super) fn write_resolved(&mut self, write_id: SubmissionId) {
        self.pending_writes.remove(&write_id);
    }
}
