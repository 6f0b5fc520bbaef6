//! The replication protocol as run by one member.
//!
//! [`Replica`] takes inputs, passes each to the part of the protocol that handles it, and collects the outputs. Each
//! part keeps its own state and timers, and returns what other parts have to do as a consequence:
//!
//! | part | its state |
//! | --- | --- |
//! | `Follower` | leases and pre-votes granted, time of the next announcement |
//! | `Candidate` | the campaign, time of the next one |
//! | `Head` | the leadership with its peers and writes, time of the next view change |
//! | `Transfers` | the transfer to this member, requests of other members, samples for the trimming of tombstones |
//! | `chain` | none: everything that a chain member needs is in the record |
//! | `Context` | the record ([`MemberRecord`]), queued stores, clock, random numbers, outputs |
//!
//! `roles` handles transitions that involve several parts: a member starts to follow, promises, campaigns, leads, or
//! transfers its leadership.

mod candidate;
mod chain;
mod context;
mod discovery;
mod follower;
mod head;
mod io;
mod roles;
mod store_queue;
mod transfers;

pub use io::{Input, Output, Settings};

use crate::durable::MemberRecord;
use crate::message::{Envelope, Message};
use crate::timing::{LEASE_MS, RESUME_CAMPAIGN_INTERVAL_MS};
use crate::types::{Member, View, ViewNumber, Viewstamp};
use candidate::Candidate;
use context::Context;
use follower::Follower;
use head::Head;
use store_queue::AfterStore;
use transfers::Transfers;

/// The state machine of one member: takes [`Input`]s and returns [`Output`]s.
#[derive(Debug)]
pub struct Replica {
    context: Context,
    follower: Follower,
    candidate: Candidate,
    head: Head,
    transfers: Transfers,
}

impl Replica {
    /// Creates a member that starts with the record on its disk; `None` if the disk is empty.
    pub fn new(settings: Settings, record: Option<MemberRecord>, now_ms: u64) -> Replica {
        let lease_wait_ms = if record.is_some() { LEASE_MS } else { 0 };
        let vote_from_ms = now_ms + lease_wait_ms;
        let address = settings.address.clone();
        let mut replica = Replica {
            context: Context::new(settings, record, now_ms),
            follower: Follower::new(vote_from_ms, now_ms),
            candidate: Candidate::new(now_ms + RESUME_CAMPAIGN_INTERVAL_MS),
            head: Head::default(),
            transfers: Transfers::new(now_ms),
        };
        if !replica.is_resuming() {
            let context = &mut replica.context;
            replica.candidate.postpone_beyond(context, vote_from_ms);
        }
        replica.context.learn_address(address);
        replica
    }

    /// Handles an input at the time `now_ms` of the monotonic clock and returns the outputs for the driver to carry
    /// out.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        let context = &mut self.context;
        context.advance(now_ms);
        match input {
            Input::Message(envelope) => self.handle_message(envelope),
            Input::Stored { store } => self.handle_stored(store),
            Input::StoreFailed { store } => context.stores.fail(context.now_ms(), store),
            Input::RowsRead { read, chunk } => {
                self.transfers.handle_rows_read(context, read, chunk);
            }
            Input::ReadFailed { read } => self.transfers.handle_read_failed(read),
            Input::Submit { write_id, changes } => {
                self.head.handle_submit(context, write_id, changes);
            }
            Input::MemberDiscovered { address } => context.learn_address(address),
            Input::StepDown => self.handle_step_down(),
            Input::Timer => {}
        }
        self.run_due();
        self.start_store();
        self.context.take_outputs()
    }

    /// Returns when [`Input::Timer`] is due, on the clock of [`Replica::handle`].
    pub fn next_timer_ms(&self) -> u64 {
        let is_campaigning = self.candidate.is_campaigning();
        let due = [
            self.context.stores.retry_due_ms(),
            self.announcement_due_ms(),
            self.election_due_ms(),
            self.head.due_ms(&self.context, is_campaigning),
            self.transfers.due_ms(),
            Some(self.transfers.trim_due_ms()),
        ];
        due.into_iter().flatten().min().unwrap_or(u64::MAX)
    }

    /// Returns the number of the view accepted last; [`ViewNumber::NONE`](crate::types::ViewNumber::NONE) before the
    /// first.
    pub fn view(&self) -> ViewNumber {
        self.context.record.view_number()
    }

    /// Returns the identity of this member: its internal address and its disk ID.
    pub fn member(&self) -> Member {
        self.context.own_member()
    }

    /// Returns the view accepted last, and whether it is known to be agreed.
    pub fn accepted_view(&self) -> Option<(&View, bool)> {
        let record = &self.context.record;
        record.view.as_ref().map(|view| (view, record.agreed))
    }

    /// Returns the viewstamp of the rows on disk.
    pub fn stored_viewstamp(&self) -> Viewstamp {
        self.context.stores.stored_viewstamp()
    }

    /// Returns true if this member is the head and holds a lease, so that no other member can be the head at this
    /// moment.
    pub fn may_act(&self, now_ms: u64) -> bool {
        self.head.may_act(now_ms)
    }

    /// Returns until when [`Replica::may_act`] stays true without further input; a past time or 0 if it is false.
    pub fn acting_until_ms(&self) -> u64 {
        self.head.acting_until_ms()
    }

    fn run_due(&mut self) {
        self.run_announcement();
        self.transfers.run(&mut self.context);
        self.run_election();
        self.run_leadership();
        self.transfers.run_trim_schedule(&mut self.context);
    }

    fn handle_message(&mut self, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        if from == self.context.own_member() {
            return;
        }
        match message {
            Message::Announce { address } => self.handle_announce(from, address),
            Message::Addresses { addresses } => {
                for address in addresses {
                    self.context.learn_address(address);
                }
            }
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat),
            Message::Release { number } => self.handle_release(from, number),
            Message::PreVote(pre_vote) => self.handle_pre_vote(from, &pre_vote),
            Message::Prepare {
                number,
                headed_view,
            } => self.handle_prepare(from, number, headed_view),
            Message::Accept { view } => self.handle_accept(from, view),
            message => self.handle_answer(from, message),
        }
    }

    /// Handles answers to this member's messages, writes, and messages of state transfers.
    fn handle_answer(&mut self, from: Member, message: Message) {
        let is_campaigning = self.candidate.is_campaigning();
        let context = &mut self.context;
        match message {
            Message::PreVoteReply(reply) => {
                let step = self.candidate.handle_pre_vote_reply(context, from, reply);
                self.handle_campaign_step(step);
            }
            Message::PrepareOk(prepare_ok) => self.handle_prepare_ok(from, prepare_ok),
            Message::PrepareReject { number, promised } => {
                self.handle_prepare_reject(from, number, promised);
            }
            Message::Accepted { number } => self.handle_accepted(from, number),
            Message::CampaignNow { number } => self.handle_campaign_now(from, number),
            Message::Grant(grant) => {
                self.head.handle_grant(context, from, grant, is_campaigning);
            }
            Message::Write(write) if !self.head.is_leading() => chain::handle_write(context, write),
            Message::Stored { viewstamp } => {
                let head = &mut self.head;
                head.handle_stored(context, from, viewstamp, is_campaigning);
            }
            Message::WriteGap { viewstamp } => {
                self.head.handle_write_gap(context, from, viewstamp);
            }
            Message::Fetch(fetch) => self.transfers.handle_fetch(context, from, &fetch),
            Message::Rows(rows) => self.handle_rows(from, rows),
            _ => {}
        }
    }

    fn handle_stored(&mut self, store: u64) {
        let Some(finished) = self.context.stores.finish(store) else {
            return;
        };
        for effect in finished.after {
            match effect {
                AfterStore::Send { to, message } => self.context.send(to, *message),
                AfterStore::OwnPrepareOk { number } => self.handle_own_prepare_ok(number),
                AfterStore::OwnAccepted { number } => {
                    self.handle_accepted(self.context.own_member(), number);
                }
                AfterStore::TransferStored { number } => {
                    let step = self.candidate.handle_fetched(&mut self.context, number);
                    self.handle_campaign_step(step);
                }
                AfterStore::Grant => self.follower.send_grant(&mut self.context),
            }
        }
        if finished.has_new_rows {
            self.report_stored();
        }
    }

    /// Reports the state on disk to the head; on the head itself, counts it towards commits.
    fn report_stored(&mut self) {
        let is_campaigning = self.candidate.is_campaigning();
        if self.head.is_leading() {
            self.head
                .handle_own_stored(&mut self.context, is_campaigning);
        } else {
            chain::report_stored(&mut self.context);
        }
    }

    fn start_store(&mut self) {
        let context = &mut self.context;
        if !self.candidate.is_campaigning() {
            self.head.make_batch(context);
        }
        let (now_ms, record) = (context.now_ms(), &context.record);
        if let Some((store, request)) = context.stores.start(now_ms, record) {
            context.add_output(Output::Store { store, request });
        }
    }
}
