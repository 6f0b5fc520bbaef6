//! The stores of a member, one after the other: what is requested while one is under way goes into the next, all
//! together (group commit).

use crate::durable::{Durable, StoreOperation, StoreRequest};
use crate::message::Message;
use crate::timing::STORE_RETRY_MS;
use crate::types::{ViewNumber, Viewstamp};
use std::net::SocketAddr;
use std::sync::Arc;

/// What may be done once a store is on disk.
#[derive(Debug)]
pub(super) enum AfterStore {
    /// Send a message that depends on it.
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
    /// Grant the lease to the head of the view that is on disk now.
    Grant,
}

/// A store that is on disk.
#[derive(Debug)]
pub(super) struct Finished {
    /// The state of the rows has changed with it.
    pub has_new_rows: bool,
    /// What may be done now.
    pub after: Vec<AfterStore>,
}

#[derive(Debug)]
struct InFlight {
    store: u64,
    request: Arc<StoreRequest>,
    after: Vec<AfterStore>,
    since_ms: u64,
    retry_ms: Option<u64>,
}

/// The stores of a member.
#[derive(Debug)]
pub(super) struct StoreQueue {
    /// The state of the rows on disk.
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
    /// The queue of a member that has this record on its disk, if any.
    pub(super) fn new(durable: Option<&Durable>) -> StoreQueue {
        StoreQueue {
            stored_viewstamp: durable.map_or(Viewstamp::default(), |d| d.viewstamp),
            stored_view: durable.map_or(ViewNumber::NONE, Durable::view_number),
            last_store: 0,
            in_flight: None,
            operations: Vec::new(),
            after: Vec::new(),
            is_requested: false,
        }
    }

    /// The state of the rows on disk.
    pub(super) fn stored_viewstamp(&self) -> Viewstamp {
        self.stored_viewstamp
    }

    /// Number of the view accepted last, as it is on disk; 0 before the first.
    pub(super) fn stored_view(&self) -> ViewNumber {
        self.stored_view
    }

    /// The record has changed and has to be stored.
    pub(super) fn request_store(&mut self) {
        self.is_requested = true;
    }

    /// As [`StoreQueue::request_store`], and `after` follows.
    pub(super) fn request_store_then(&mut self, after: AfterStore) {
        self.is_requested = true;
        self.after.push(after);
    }

    /// Rows change with the next store.
    pub(super) fn add(&mut self, operation: StoreOperation) {
        self.operations.push(operation);
    }

    /// Nothing is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// The store under way has failed and is to be retried.
    pub(super) fn is_failing(&self) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|f| f.retry_ms.is_some())
    }

    /// For how long the store under way has not been done.
    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        self.in_flight
            .as_ref()
            .map_or(0, |f| now_ms.saturating_sub(f.since_ms))
    }

    /// When a failed store is due again.
    pub(super) fn retry_ms(&self) -> Option<u64> {
        self.in_flight.as_ref().and_then(|f| f.retry_ms)
    }

    /// The next store to start, if one is wanted and none is under way.
    pub(super) fn start(
        &mut self,
        now_ms: u64,
        durable: &Durable,
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
            durable: durable.clone(),
            operations,
        });
        self.in_flight = Some(InFlight {
            store: self.last_store,
            request: Arc::clone(&request),
            after: std::mem::take(&mut self.after),
            since_ms: now_ms,
            retry_ms: None,
        });
        Some((self.last_store, request))
    }

    fn retry(&mut self, now_ms: u64) -> Option<(u64, Arc<StoreRequest>)> {
        let failed = self.in_flight.as_mut()?;
        failed.retry_ms.filter(|&due| due <= now_ms)?;
        failed.retry_ms = None;
        self.last_store += 1;
        failed.store = self.last_store;
        Some((failed.store, Arc::clone(&failed.request)))
    }

    /// A store is on disk.
    pub(super) fn finish(&mut self, store: u64) -> Option<Finished> {
        let done = self.in_flight.take_if(|f| f.store == store)?;
        let durable = &done.request.durable;
        let has_new_rows = durable.viewstamp != self.stored_viewstamp;
        self.stored_viewstamp = durable.viewstamp;
        self.stored_view = durable.view_number();
        Some(Finished {
            has_new_rows,
            after: done.after,
        })
    }

    /// A store has failed.
    pub(super) fn fail(&mut self, now_ms: u64, store: u64) {
        if let Some(failed) = self.in_flight.as_mut().filter(|f| f.store == store) {
            failed.retry_ms = Some(now_ms + STORE_RETRY_MS);
        }
    }
}
