//! A head's knowledge of its view, its peers and the writes under way.

use super::peer::Peer;
use super::write_queue::{Outstanding, WriteQueue};
use crate::timing::{FORGET_NEWCOMER_MS, HEARTBEAT_INTERVAL_MS, LEASE_MS, LEASE_USED_PERCENT};
use crate::types::{Member, View, ViewNumber, Viewstamp, majority};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A notification to the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadReport {
    /// This member is the head from this view on.
    Gained { view: ViewNumber },
    /// This member is still the head, in a later view.
    Renewed { view: ViewNumber },
}

/// State of a head while it leads, over one or more consecutive views.
#[derive(Debug)]
pub(super) struct Leadership {
    /// This member, which is the head.
    own_member: Member,
    /// Number of the first view of this leadership.
    first_view: ViewNumber,
    /// The view that the head leads now.
    view: View,
    view_since_ms: u64,
    since_ms: u64,
    /// Whether the whole chain has taken over the view's first state.
    is_synchronized: bool,
    /// Number of the view reported to the driver last; `None` until this member has been reported as the head.
    reported_view: Option<ViewNumber>,
    peers: BTreeMap<Member, Peer>,
    writes: WriteQueue,
    /// When the next heartbeats are due.
    heartbeat_due_ms: u64,
    /// Viewstamp of the rows on the head's own disk.
    own_viewstamp: Viewstamp,
}

impl Leadership {
    /// Creates the state of a new head, with the voters of its view as peers of which nothing is known.
    pub(super) fn new(
        own_member: Member,
        view: View,
        now_ms: u64,
        own_viewstamp: Viewstamp,
    ) -> Leadership {
        let mut leadership = Leadership {
            own_member,
            first_view: view.number,
            view,
            view_since_ms: now_ms,
            since_ms: now_ms,
            is_synchronized: false,
            reported_view: None,
            peers: BTreeMap::new(),
            writes: WriteQueue::default(),
            heartbeat_due_ms: now_ms,
            own_viewstamp,
        };
        leadership.add_voters(now_ms);
        leadership
    }

    /// Continues with the next view, under the same head.
    pub(super) fn renew(&mut self, view: View, now_ms: u64) {
        self.view = view;
        self.view_since_ms = now_ms;
        self.is_synchronized = false;
        self.heartbeat_due_ms = now_ms;
        for peer in self.peers.values_mut() {
            peer.enter_view();
        }
        self.add_voters(now_ms);
    }

    fn add_voters(&mut self, now_ms: u64) {
        for voter in self.view.voters.clone() {
            if voter != self.own_member {
                self.peer_or_new(voter, now_ms);
            }
        }
    }

    /// Returns the view that the head leads now.
    pub(super) fn view(&self) -> &View {
        &self.view
    }

    /// Marks the view as established: its own voters decide alone. Returns false if it was established already.
    pub(super) fn establish(&mut self) -> bool {
        let is_new = !self.view.is_established();
        if is_new {
            self.view = self.view.clone().established();
        }
        is_new
    }

    /// Returns all members that the head knows, without itself.
    pub(super) fn peers(&self) -> &BTreeMap<Member, Peer> {
        &self.peers
    }

    /// Returns a member that the head knows; `None` for an unknown one and for the head itself.
    pub(super) fn peer(&self, member: Member) -> Option<&Peer> {
        self.peers.get(&member)
    }

    /// Returns a member that the head knows; `None` for an unknown one and for the head itself.
    pub(super) fn peer_mut(&mut self, member: Member) -> Option<&mut Peer> {
        self.peers.get_mut(&member)
    }

    /// Returns the writes that are not committed.
    pub(super) fn writes(&self) -> &WriteQueue {
        &self.writes
    }

    /// Returns the writes that are not committed.
    pub(super) fn writes_mut(&mut self) -> &mut WriteQueue {
        &mut self.writes
    }

    /// Ends the leadership and returns its writes that are not committed.
    pub(super) fn into_writes(self) -> WriteQueue {
        self.writes
    }

    /// Returns true if the view with this number belongs to this leadership.
    pub(super) fn has_led(&self, number: ViewNumber) -> bool {
        (self.first_view..=self.view.number).contains(&number)
    }

    /// Returns true if the driver has been notified that this member is the head.
    pub(super) fn is_gained(&self) -> bool {
        self.reported_view.is_some()
    }

    /// Returns true if the whole chain has taken over the view's first state.
    pub(super) fn is_synchronized(&self) -> bool {
        self.is_synchronized
    }

    /// Records that the whole chain has taken over the view's first state; returns false if this was known already.
    pub(super) fn synchronize(&mut self) -> bool {
        !std::mem::replace(&mut self.is_synchronized, true)
    }

    /// Returns each notification to the driver once: of the first view when the head has a lease, of later views at
    /// once.
    pub(super) fn next_report(&mut self, now_ms: u64) -> Option<HeadReport> {
        let view = self.view.number;
        let report = match self.reported_view {
            Some(reported) if reported == view => return None,
            Some(_) => HeadReport::Renewed { view },
            None if self.lease_until_ms() <= now_ms => return None,
            None => HeadReport::Gained { view },
        };
        self.reported_view = Some(view);
        Some(report)
    }

    /// Returns when the next heartbeats are due.
    pub(super) fn heartbeat_due_ms(&self) -> u64 {
        self.heartbeat_due_ms
    }

    /// Schedules the next heartbeats, one interval from now.
    pub(super) fn schedule_heartbeat(&mut self, now_ms: u64) {
        self.heartbeat_due_ms = now_ms + HEARTBEAT_INTERVAL_MS;
    }

    /// Returns for how long the head has led its current view.
    pub(super) fn view_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.view_since_ms)
    }

    /// Returns for how long the head has led, over all its views.
    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.since_ms)
    }

    /// Returns true if the head has had no lease in its view for more than [`LEASE_MS`].
    pub(super) fn is_lost(&self, now_ms: u64) -> bool {
        let until_ms = self.lease_until_ms().max(self.view_since_ms);
        now_ms > until_ms.saturating_add(LEASE_MS)
    }

    /// Sets the viewstamp of the rows on the head's own disk.
    pub(super) fn set_own_viewstamp(&mut self, viewstamp: Viewstamp) {
        self.own_viewstamp = viewstamp;
    }

    /// Forgets newcomers that have been unresponsive for [`FORGET_NEWCOMER_MS`].
    pub(super) fn forget_newcomers(&mut self, now_ms: u64) {
        let voters = &self.view.voters;
        let is_kept = |member: &Member, peer: &mut Peer| {
            voters.contains(member) || peer.since_received_ms(now_ms) < FORGET_NEWCOMER_MS
        };
        self.peers.retain(is_kept);
    }

    /// Returns the peer `member`, which is added if it is not known yet.
    pub(super) fn peer_or_new(&mut self, member: Member, now_ms: u64) -> &mut Peer {
        self.peers
            .entry(member)
            .or_insert_with(|| Peer::new(now_ms))
    }

    /// Returns until when a majority of the voters, the head included, votes for no other head: 0 if too few have
    /// granted a lease, `u64::MAX` for a single voter.
    pub(super) fn lease_until_ms(&self) -> u64 {
        let others = self
            .view
            .voters
            .iter()
            .filter(|&&voter| voter != self.own_member);
        let mut answered_sent_times_ms: Vec<u64> = others
            .filter_map(|voter| self.peers.get(voter)?.answered_heartbeat_sent_ms())
            .collect();
        answered_sent_times_ms.sort_unstable_by(|a, b| b.cmp(a));
        let needed_grants = majority(self.view.voters.len()) - 1;
        match needed_grants.checked_sub(1) {
            None => u64::MAX,
            Some(last_index) => answered_sent_times_ms
                .get(last_index)
                .map_or(0, |sent_ms| sent_ms + LEASE_MS * LEASE_USED_PERCENT / 100),
        }
    }

    /// Returns the newest viewstamp that `member` has reported for the rows on its disk.
    pub(super) fn viewstamp_of(&self, member: Member) -> Viewstamp {
        if member == self.own_member {
            return self.own_viewstamp;
        }
        self.peers
            .get(&member)
            .map_or(Viewstamp::default(), |peer| peer.report().viewstamp)
    }

    /// Returns the sequence number of the last write that the whole chain has on disk; `None` until every chain member
    /// has taken over the view's first state.
    pub(super) fn stored_by_all(&self) -> Option<u64> {
        let chain = self.view.chain.iter();
        let viewstamps = chain.map(|&member| self.viewstamp_of(member));
        let seqs: Option<Vec<u64>> = viewstamps
            .map(|viewstamp| (viewstamp.view == self.view.number).then_some(viewstamp.seq))
            .collect();
        seqs?.into_iter().min()
    }

    /// Returns the oldest batch that `member` has not stored.
    pub(super) fn oldest_missing(&self, member: Member) -> Option<&Outstanding> {
        let viewstamp = self.viewstamp_of(member);
        self.writes.oldest_missing(viewstamp, self.view.number)
    }

    /// Returns the addresses to which heartbeats are sent: voters and newcomers, without the head's own address.
    pub(super) fn heartbeat_recipients(&self) -> BTreeSet<SocketAddr> {
        let members = self.view.voters.iter().chain(self.peers.keys());
        members
            .map(|member| member.internal)
            .filter(|&internal| internal != self.own_member.internal)
            .collect()
    }
}
