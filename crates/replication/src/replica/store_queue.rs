//! The stores of a member, one at a time. A *store* is one transaction of the member's own database, with changes of rows,
//! of the member's record, or of both. All changes requested while a store is under way are combined in the next one (group
//! commit).

use crate::durable::{MemberRecord, StoreOperation, StoreRequest};
use crate::message::Message;
use crate::timing::STORE_RETRY_MS;
use crate::types::{ViewNumber, Viewstamp};
use std::net::SocketAddr;
use std::sync::Arc;

/// An action that must wait until a store is on disk.
#[derive(Debug)]
pub(super) enum AfterStore {
    /// Send a message that is true only once the changes are on disk.
    Send {
        to: SocketAddr,
        message: Box<Message>,
    },
    /// Count this member's own promise in its campaign.
    OwnPrepareOk { number: ViewNumber },
    /// Count this member's own acceptance of its view.
    OwnAccepted { number: ViewNumber },
    /// Propose a view on top of the state that a candidate has fetched.
    TransferStored { number: ViewNumber },
    /// Answer the last heartbeat, whose view is on disk now.
    Grant,
}

/// Result of a store that is on disk.
#[derive(Debug)]
pub(super) struct Finished {
    /// Whether the store has changed the viewstamp of the rows.
    pub has_new_rows: bool,
    /// Actions that waited for the store.
    pub after: Vec<AfterStore>,
}

#[derive(Debug)]
struct InFlight {
    store: u64,
    request: Arc<StoreRequest>,
    after: Vec<AfterStore>,
    started_ms: u64,
    retry_due_ms: Option<u64>,
}

/// The store under way, and the changes collected for the next one.
#[derive(Debug)]
pub(super) struct StoreQueue {
    /// Viewstamp of the rows on disk.
    stored_viewstamp: Viewstamp,
    /// Number of the view accepted last, as it is on disk; 0 before the first.
    stored_view: ViewNumber,
    last_store: u64,
    in_flight: Option<InFlight>,
    operations: Vec<StoreOperation>,
    after: Vec<AfterStore>,
    is_requested: bool,
}

impl StoreQueue {
    /// Creates the queue of a member that has this record on its disk; `None` if the disk is empty.
    pub(super) fn new(record: Option<&MemberRecord>) -> StoreQueue {
        StoreQueue {
            stored_viewstamp: record.map_or(Viewstamp::default(), |record| record.viewstamp),
            stored_view: record.map_or(ViewNumber::NONE, MemberRecord::view_number),
            last_store: 0,
            in_flight: None,
            operations: Vec::new(),
            after: Vec::new(),
            is_requested: false,
        }
    }

    /// Returns the viewstamp of the rows on disk.
    pub(super) fn stored_viewstamp(&self) -> Viewstamp {
        self.stored_viewstamp
    }

    /// Returns the number of the view accepted last, as it is on disk; 0 before the first.
    pub(super) fn stored_view(&self) -> ViewNumber {
        self.stored_view
    }

    /// Requests a store of the changed record.
    pub(super) fn request_store(&mut self) {
        self.is_requested = true;
    }

    /// Requests a store of the record, followed by `action` once it is on disk.
    pub(super) fn request_store_then(&mut self, action: AfterStore) {
        self.is_requested = true;
        self.after.push(action);
    }

    /// Adds a change to the rows to the next store.
    pub(super) fn add_operation(&mut self, operation: StoreOperation) {
        self.operations.push(operation);
    }

    /// Returns true if no store is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Returns true if the database has rejected the store under way, which is going to be retried.
    pub(super) fn is_failing(&self) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|f| f.retry_due_ms.is_some())
    }

    /// Returns the time since the store under way was first sent to the database, including retries; 0 if there is none.
    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        self.in_flight
            .as_ref()
            .map_or(0, |f| now_ms.saturating_sub(f.started_ms))
    }

    /// Returns when a failed store is retried; `None` if none has failed.
    pub(super) fn retry_due_ms(&self) -> Option<u64> {
        self.in_flight.as_ref().and_then(|f| f.retry_due_ms)
    }

    /// Starts the next store and returns its number and request, if one is requested and none is under way, or if a
    /// failed one is due again.
    pub(super) fn start(
        &mut self,
        now_ms: u64,
        record: &MemberRecord,
    ) -> Option<(u64, Arc<StoreRequest>)> {
        if self.in_flight.is_some() {
            return self.retry(now_ms);
        }
        if !self.is_requested {
            return None;
        }
        self.is_requested = false;
        self.last_store += 1;
        let operations = std::mem::take(&mut self.operations);
        let request = Arc::new(StoreRequest {
            record: record.clone(),
            operations,
        });
        self.in_flight = Some(InFlight {
            store: self.last_store,
            request: Arc::clone(&request),
            after: std::mem::take(&mut self.after),
            started_ms: now_ms,
            retry_due_ms: None,
        });
        Some((self.last_store, request))
    }

    fn retry(&mut self, now_ms: u64) -> Option<(u64, Arc<StoreRequest>)> {
        let failed_store = self.in_flight.as_mut()?;
        failed_store
            .retry_due_ms
            .filter(|&due_ms| due_ms <= now_ms)?;
        failed_store.retry_due_ms = None;
        self.last_store += 1;
        failed_store.store = self.last_store;
        Some((failed_store.store, Arc::clone(&failed_store.request)))
    }

    /// Handles the completion of a store; returns `None` if it is not the one under way.
    pub(super) fn finish(&mut self, store: u64) -> Option<Finished> {
        let finished_store = self.in_flight.take_if(|f| f.store == store)?;
        let record = &finished_store.request.record;
        let has_new_rows = record.viewstamp != self.stored_viewstamp;
        self.stored_viewstamp = record.viewstamp;
        self.stored_view = record.view_number();
        Some(Finished {
            has_new_rows,
            after: finished_store.after,
        })
    }

    /// Handles the failure of a store and schedules its retry.
    pub(super) fn fail(&mut self, now_ms: u64, store: u64) {
        if let Some(failed_store) = self.in_flight.as_mut().filter(|f| f.store == store) {
            failed_store.retry_due_ms = Some(now_ms + STORE_RETRY_MS);
        }
    }
}
