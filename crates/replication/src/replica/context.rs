//! State shared by all parts of a member: its settings, its record and stores, its clock, random numbers and outputs.

use super::io::{Output, Settings};
use super::store_queue::{AfterStore, StoreQueue};
use crate::durable::MemberRecord;
use crate::message::{Envelope, Message};
use crate::timing::HISTORY_MAX;
use crate::types::{Member, SEED_DISK, View, ViewNumber, ViewStart, Viewstamp};
use indigofold_protocol::internal::MemberAddress;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// State shared by all parts of a member. The record is part of it because it is stored as a whole.
#[derive(Debug)]
pub(super) struct Context {
    settings: Settings,
    /// The record with all changes, including those that are not on disk yet.
    pub(super) record: MemberRecord,
    pub(super) stores: StoreQueue,
    /// When the member was told to stop; `None` if it was not.
    draining_since_ms: Option<u64>,
    /// ID of the last pre-vote or transfer. It is random at the start, so that answers to requests of an earlier
    /// incarnation are recognized and ignored.
    last_request_id: u64,
    random: Pcg64Mcg,
    now_ms: u64,
    outputs: Vec<Output>,
}

impl Context {
    /// Creates the context of a member that starts with the record on its disk; `None` if the disk is empty.
    pub(super) fn new(settings: Settings, record: Option<MemberRecord>, now_ms: u64) -> Context {
        let mut random = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let stores = StoreQueue::new(record.as_ref());
        let record = record.unwrap_or_else(|| first_record(&settings, &mut random));
        Context {
            record,
            stores,
            draining_since_ms: None,
            last_request_id: random.next_u64() >> 1,
            random,
            now_ms,
            outputs: Vec::new(),
            settings,
        }
    }

    /// Sets the time to `now_ms` of the monotonic clock; an earlier time is ignored.
    pub(super) fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the identity of this member: its internal address and its disk ID.
    pub(super) fn own_member(&self) -> Member {
        self.record.member
    }

    /// Returns true if the member is about to stop.
    pub(super) fn is_draining(&self) -> bool {
        self.draining_since_ms.is_some()
    }

    /// Returns when the member was told to stop; `None` if it was not.
    pub(super) fn draining_since_ms(&self) -> Option<u64> {
        self.draining_since_ms
    }

    /// Marks the member as about to stop; returns false if it was already.
    pub(super) fn begin_draining(&mut self) -> bool {
        let is_new = self.draining_since_ms.is_none();
        self.draining_since_ms.get_or_insert(self.now_ms);
        is_new
    }

    /// Returns a random number below `bound`; 0 if `bound` is 0.
    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    /// Returns the ID of a new request.
    pub(super) fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Adds an output for the driver to carry out.
    pub(super) fn add_output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Returns and removes the outputs added since the last call.
    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Sends a message to the member at an internal address.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        let envelope = Box::new(Envelope {
            from: self.own_member(),
            message,
        });
        self.outputs.push(Output::Send { to, envelope });
    }

    /// Sends a message to the head of the view accepted last.
    pub(super) fn send_to_head(&mut self, message: Message) {
        let head = self.record.view.as_ref().and_then(View::head);
        if let Some(head) = head {
            self.send(head.internal, message);
        }
    }

    /// Sends a message once the current record is on disk.
    pub(super) fn send_once_stored(&mut self, to: Member, message: Message) {
        self.stores.request_store_then(AfterStore::Send {
            to: to.internal,
            message: Box::new(message),
        });
    }

    /// Rejects `number`: this member has promised a higher number, or is bound to another head.
    pub(super) fn reject(&mut self, from: Member, number: ViewNumber) {
        let promised = self.record.promised;
        self.send(from.internal, Message::PrepareReject { number, promised });
    }

    /// Adds or updates a member's addresses. They are stored with the record, so that they survive a restart.
    pub(super) fn learn_address(&mut self, address: MemberAddress) {
        let own_address = self.settings.address.internal;
        let is_changed = self.record.learn_address(address, own_address);
        if is_changed && self.record.view.is_some() {
            self.stores.request_store();
        }
    }

    /// Returns the number of the view accepted last if this member heads it; 0 otherwise.
    pub(super) fn headed_view(&self) -> ViewNumber {
        let head = self.record.view.as_ref().and_then(View::head);
        if head == Some(self.own_member()) {
            self.record.view_number()
        } else {
            ViewNumber::NONE
        }
    }

    /// Enters a view whose first state this member's rows already have.
    pub(super) fn enter_view(&mut self, view: &View) {
        let start = ViewStart {
            view: view.number,
            seq: view.base.seq,
        };
        self.record.viewstamp = Viewstamp {
            view: start.view,
            seq: start.seq,
        };
        let history = &mut self.record.history;
        history.push(start);
        if history.len() > HISTORY_MAX {
            history.drain(..history.len() - HISTORY_MAX);
        }
        self.stores.request_store();
    }
}

/// Returns the record of a member whose disk is empty.
fn first_record(settings: &Settings, random: &mut Pcg64Mcg) -> MemberRecord {
    let internal = settings.address.internal;
    let is_seed = settings.bootstrap && settings.seeds.contains(&internal);
    let view = is_seed.then(|| View::first(&settings.seeds));
    let viewstamp = view.as_ref().map_or(Viewstamp::default(), |v| v.base);
    let disk = if is_seed {
        SEED_DISK
    } else {
        random.next_u64().max(1)
    };
    let start = |view: &View| ViewStart {
        view: view.number,
        seq: 0,
    };
    MemberRecord {
        member: Member { internal, disk },
        promised: viewstamp.view,
        agreed: is_seed,
        viewstamp,
        history: view.iter().map(start).collect(),
        view,
        trimmed: 0,
        addresses: Vec::<MemberAddress>::new(),
    }
}
