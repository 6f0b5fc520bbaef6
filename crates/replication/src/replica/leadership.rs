//! What a head knows of its view, its peers and the writes under way.

use super::write_queue::{Outstanding, WriteQueue};
use crate::timing::{LEASE_MS, LEASE_USED_PERCENT, REJOIN_AFTER_MAX_MS, REJOIN_AFTER_MS};
use crate::types::{Member, View, Viewstamp, majority};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a member reports of itself with its answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    /// State on its disk.
    pub viewstamp: Viewstamp,
    /// Age of its oldest store that is not done.
    pub store_age_ms: u64,
    /// It is about to stop.
    pub draining: bool,
}

/// A member as the head knows it.
#[derive(Debug)]
pub(super) struct Peer {
    /// `sent_ms` of the newest heartbeat that it has answered.
    pub granted_ms: Option<u64>,
    pub last_received_ms: u64,
    pub health: Health,
    /// It is not taken into the chain before this time.
    pub rejoin_ms: u64,
    /// How long the next exclusion lasts.
    penalty_ms: u64,
    /// It has promised a number above the view's.
    pub has_promised_later: bool,
    /// The head sends writes to it itself, because its predecessor's do not reach it.
    pub is_direct: bool,
    /// When writes were sent to it again last.
    pub resent_ms: u64,
}

impl Peer {
    fn new(now_ms: u64) -> Peer {
        Peer {
            granted_ms: None,
            last_received_ms: now_ms,
            health: Health {
                viewstamp: Viewstamp::default(),
                store_age_ms: 0,
                draining: false,
            },
            rejoin_ms: 0,
            penalty_ms: REJOIN_AFTER_MS,
            has_promised_later: false,
            is_direct: false,
            resent_ms: 0,
        }
    }

    /// Keeps the member out of the chain for a time that grows from one exclusion to the next.
    pub fn exclude(&mut self, now_ms: u64) {
        self.rejoin_ms = now_ms + self.penalty_ms;
        self.penalty_ms = (2 * self.penalty_ms).min(REJOIN_AFTER_MAX_MS);
    }

    /// Time since the last message from it.
    pub fn since_received_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_received_ms)
    }

    /// Takes a state that it has on disk. Messages may overtake each other: an older state changes nothing.
    pub fn has_stored(&mut self, viewstamp: Viewstamp, now_ms: u64) {
        self.last_received_ms = now_ms;
        self.health.viewstamp = self.health.viewstamp.max(viewstamp);
    }

    /// Takes the answer to the heartbeat sent at `sent_ms`.
    pub fn has_granted(&mut self, sent_ms: u64, health: Health, now_ms: u64) {
        self.granted_ms = self.granted_ms.max(Some(sent_ms));
        self.last_received_ms = now_ms;
        self.health = Health {
            viewstamp: self.health.viewstamp.max(health.viewstamp),
            ..health
        };
    }
}

/// What a head knows while it leads, over one or more views that follow each other.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Number of its first view.
    pub first_view: u64,
    /// The view that it leads now.
    pub view: View,
    pub view_since_ms: u64,
    pub since_ms: u64,
    /// The whole chain has taken over the view's first state.
    pub is_installed: bool,
    /// The driver has been notified that this member is the head.
    pub is_gained: bool,
    /// Number of the view that was reported to the driver last.
    pub reported_view: u64,
    pub peers: BTreeMap<Member, Peer>,
    pub writes: WriteQueue,
    /// When the next heartbeats are due.
    pub heartbeat_ms: u64,
    /// When the view may be changed next.
    pub reconfigure_ms: u64,
    /// State on the head's own disk.
    pub own_viewstamp: Viewstamp,
}

impl Leadership {
    /// A head that knows nothing of its peers yet.
    pub fn new(view: View, now_ms: u64, own_viewstamp: Viewstamp) -> Leadership {
        Leadership {
            first_view: view.number,
            view,
            view_since_ms: now_ms,
            since_ms: now_ms,
            is_installed: false,
            is_gained: false,
            reported_view: 0,
            peers: BTreeMap::new(),
            writes: WriteQueue::default(),
            heartbeat_ms: now_ms,
            reconfigure_ms: now_ms,
            own_viewstamp,
        }
    }

    /// Goes on with the next view, under the same head.
    pub fn renew(&mut self, view: View, now_ms: u64) {
        self.view = view;
        self.view_since_ms = now_ms;
        self.is_installed = false;
        self.heartbeat_ms = now_ms;
        for peer in self.peers.values_mut() {
            peer.has_promised_later = false;
            peer.is_direct = false;
        }
    }

    /// The peer, which is added if it is not known yet.
    pub fn peer_or_new(&mut self, member: Member, now_ms: u64) -> &mut Peer {
        self.peers
            .entry(member)
            .or_insert_with(|| Peer::new(now_ms))
    }

    /// Until when a majority of the voters votes for no other head.
    pub fn lease_until_ms(&self, own: Member) -> u64 {
        let others = self.view.voters.iter().filter(|&&voter| voter != own);
        let mut granted: Vec<u64> = others
            .filter_map(|voter| self.peers.get(voter)?.granted_ms)
            .collect();
        granted.sort_unstable_by(|a, b| b.cmp(a));
        let needed = majority(self.view.voters.len()) - 1;
        match needed.checked_sub(1) {
            None => u64::MAX,
            Some(last) => granted
                .get(last)
                .map_or(0, |sent_ms| sent_ms + LEASE_MS * LEASE_USED_PERCENT / 100),
        }
    }

    /// The state that `member` has on disk.
    pub fn viewstamp_of(&self, member: Member, own: Member) -> Viewstamp {
        if member == own {
            return self.own_viewstamp;
        }
        self.peers
            .get(&member)
            .map_or(Viewstamp::default(), |peer| peer.health.viewstamp)
    }

    /// Last write that the whole chain has on disk; `None` before all of it has taken over the view.
    pub fn stored_by_all(&self, own: Member) -> Option<u64> {
        let chain = self.view.chain.iter();
        let viewstamps = chain.map(|&member| self.viewstamp_of(member, own));
        let seqs: Option<Vec<u64>> = viewstamps
            .map(|viewstamp| (viewstamp.view == self.view.number).then_some(viewstamp.seq))
            .collect();
        seqs?.into_iter().min()
    }

    /// Oldest write that `member` has not stored.
    pub fn oldest_lacking(&self, member: Member, own: Member) -> Option<&Outstanding> {
        let viewstamp = self.viewstamp_of(member, own);
        self.writes.oldest_lacking(viewstamp, self.view.number)
    }

    /// Where heartbeats go to: voters and newcomers, without the head's own address.
    pub fn heartbeat_recipients(&self, own: Member) -> BTreeSet<SocketAddr> {
        let members = self.view.voters.iter().chain(self.peers.keys());
        members
            .map(|member| member.internal)
            .filter(|&internal| internal != own.internal)
            .collect()
    }
}
