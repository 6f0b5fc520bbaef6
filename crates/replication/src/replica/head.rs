//! A member as the head: its leadership with heartbeats and lease, and how it ends. The submodules handle writes,
//! commits, and view changes.

mod commit;
mod leadership;
mod peer;
mod planner;
mod reconfiguration;
mod write_queue;
mod writes;

use super::context::Context;
use super::io::Output;
use crate::message::{Grant, Heartbeat, Message};
use crate::timing::{
    DRAIN_WAIT_MS, HEARTBEAT_INTERVAL_MS, LEADERSHIP_MIN_MS, LEASE_MS, SLOW_HEAD_MS, SLOW_MEMBER_MS,
};
use crate::types::{Member, View, ViewNumber};
use leadership::Leadership;
use peer::{Peer, PeerReport};
use reconfiguration::Reconfiguration;
use std::net::SocketAddr;

/// Recipients of the messages that transfer a leadership.
#[derive(Debug)]
pub(super) struct LeadershipTransfer {
    /// Number of the view that the head gives up.
    pub number: ViewNumber,
    /// Internal address of the member that is to campaign.
    pub successor: SocketAddr,
    /// Internal addresses of the other members, to which the head sends [`Message::Release`].
    pub others: Vec<SocketAddr>,
}

/// A member's state as the head; `leadership` is `None` while it does not lead.
#[derive(Debug, Default)]
pub(super) struct Head {
    leadership: Option<Leadership>,
    reconfiguration: Reconfiguration,
}

impl Head {
    /// Returns true if this member leads a view, with or without a lease.
    pub(super) fn is_leading(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns true if this member is the head and holds a lease, so that no other member can be the head at this
    /// moment.
    pub(super) fn may_act(&self, now_ms: u64) -> bool {
        now_ms < self.acting_until_ms()
    }

    /// Returns until when [`Head::may_act`] stays true without further input; a past time or 0 if it is false.
    pub(super) fn acting_until_ms(&self) -> u64 {
        let leadership = self.leadership.as_ref();
        let gained_leadership = leadership.filter(|leadership| leadership.is_gained());
        gained_leadership.map_or(0, Leadership::lease_until_ms)
    }

    /// Returns the internal addresses of all members that the head knows; none if this member does not lead.
    pub(super) fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let peers = self.leadership.iter().flat_map(Leadership::peers);
        peers.map(|(member, _)| member.internal)
    }

    /// Starts to lead an agreed view, or continues with it after an earlier one.
    pub(super) fn lead(&mut self, context: &mut Context, view: View) {
        let now_ms = context.now_ms();
        context.record.agreed = true;
        context.enter_view(&view);
        match &mut self.leadership {
            Some(leadership) => leadership.renew(view, now_ms),
            None => {
                let stored_viewstamp = context.stores.stored_viewstamp();
                let leadership =
                    Leadership::new(context.own_member(), view, now_ms, stored_viewstamp);
                self.leadership = Some(leadership);
                self.reconfiguration.begin(now_ms);
            }
        }
        self.send_heartbeats(context);
    }

    /// Ends the leadership, if any: writes that were sent down the chain are reported as undetermined, the others as
    /// rejected.
    pub(super) fn end_leadership(&mut self, context: &mut Context) {
        let Some(leadership) = self.leadership.take() else {
            return;
        };
        let is_gained = leadership.is_gained();
        let unfinished = leadership.into_writes().into_unfinished();
        for write_id in unfinished.unknown {
            context.add_output(Output::Undetermined { write_id });
        }
        for write_id in unfinished.unsent {
            context.add_output(Output::Rejected { write_id });
        }
        if is_gained {
            context.add_output(Output::HeadLost);
        }
    }

    /// Handles an answer to a heartbeat.
    pub(super) fn handle_grant(
        &mut self,
        context: &mut Context,
        from: Member,
        grant: Grant,
        is_campaigning: bool,
    ) {
        let now_ms = context.now_ms();
        let (number, sent_ms) = (grant.number, grant.sent_ms);
        let report = PeerReport {
            viewstamp: grant.viewstamp,
            store_age_ms: grant.store_age_ms,
            draining: grant.draining,
        };
        context.learn_address(grant.address);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if !leadership.has_led(number) || sent_ms > now_ms {
            return;
        }
        let peer = leadership.peer_or_new(from, now_ms);
        peer.record_grant(sent_ms, report, now_ms);
        self.count_stored(context, is_campaigning);
    }

    /// Handles the announcement of a member that knows no head.
    pub(super) fn handle_newcomer(
        &mut self,
        context: &mut Context,
        member: Member,
        is_campaigning: bool,
    ) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.peer_or_new(member, context.now_ms());
        if !is_campaigning {
            self.send_heartbeat(context, member.internal);
        }
    }

    /// Handles the rejection of a heartbeat of the view `number` by a member that has promised a higher number. A head
    /// with a lease prepares its next view above that number; one without a lease ends its leadership if its view is
    /// older than [`LEASE_MS`].
    pub(super) fn handle_reject(
        &mut self,
        context: &mut Context,
        from: Member,
        number: ViewNumber,
        promised: ViewNumber,
    ) {
        let now_ms = context.now_ms();
        let has_lease = self.may_act(now_ms);
        let leadership = self.leadership.as_mut();
        let Some(leadership) = leadership.filter(|leads| leads.view().number == number) else {
            return;
        };
        if promised <= context.record.promised.max(number) {
            return;
        }
        if let Some(peer) = leadership.peer_mut(from) {
            peer.record_reject(now_ms);
        }
        if has_lease {
            self.reconfiguration.raise_number(promised);
        } else if leadership.view_age_ms(now_ms) > LEASE_MS {
            self.end_leadership(context);
        }
    }

    /// Returns when the head's next timer is due; `None` if this member does not lead.
    pub(super) fn due_ms(&self, context: &Context, is_campaigning: bool) -> Option<u64> {
        let leadership = self.leadership.as_ref()?;
        let heartbeat_due_ms = if is_campaigning {
            u64::MAX
        } else {
            leadership.heartbeat_due_ms()
        };
        let oldest_batch = leadership.writes().oldest();
        let slow_due_ms = oldest_batch.map_or(u64::MAX, |oldest_batch| {
            oldest_batch.sent_ms + SLOW_MEMBER_MS
        });
        let draining_since_ms = context.draining_since_ms();
        let drain_due_ms = draining_since_ms.map_or(u64::MAX, |since_ms| since_ms + DRAIN_WAIT_MS);
        let future_times_ms = [slow_due_ms, drain_due_ms].into_iter();
        let future_times_ms = future_times_ms.filter(|&due_ms| due_ms > context.now_ms());
        future_times_ms.chain([heartbeat_due_ms]).min()
    }

    /// Returns true if the head has had no lease in its view for more than [`LEASE_MS`].
    pub(super) fn is_lost(&self, now_ms: u64) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| leadership.is_lost(now_ms))
    }

    /// Sends heartbeats and resends the writes that members lack, when heartbeats are due.
    pub(super) fn run_heartbeats(&mut self, context: &mut Context) {
        let now_ms = context.now_ms();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if now_ms < leadership.heartbeat_due_ms() {
            return;
        }
        leadership.forget_newcomers(now_ms);
        self.send_heartbeats(context);
        self.resend_missing(context);
    }

    /// Returns the transfer of the leadership if it is due: this member drains, and its writes are committed or have
    /// had [`DRAIN_WAIT_MS`] for it, or its own disk hangs. Also returns `None` if no other member could lead at once.
    pub(super) fn due_leadership_transfer(&self, context: &Context) -> Option<LeadershipTransfer> {
        let leadership = self.leadership.as_ref()?;
        let now_ms = context.now_ms();
        let has_drained = context.draining_since_ms().is_some_and(|since_ms| {
            leadership.writes().is_empty() || now_ms >= since_ms + DRAIN_WAIT_MS
        });
        let is_slow = context.stores.age_ms(now_ms) >= SLOW_HEAD_MS
            && leadership.age_ms(now_ms) >= LEADERSHIP_MIN_MS;
        if !has_drained && !is_slow {
            return None;
        }
        let successor = successor(leadership, context.own_member(), now_ms)?.internal;
        let mut others = leadership.heartbeat_recipients();
        others.remove(&successor);
        Some(LeadershipTransfer {
            number: leadership.view().number,
            successor,
            others: others.into_iter().collect(),
        })
    }

    fn send_heartbeats(&mut self, context: &mut Context) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.schedule_heartbeat(context.now_ms());
        for internal in leadership.heartbeat_recipients() {
            self.send_heartbeat(context, internal);
        }
    }

    fn send_heartbeat(&self, context: &mut Context, to: SocketAddr) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let message = Message::Heartbeat(Heartbeat {
            view: leadership.view().clone(),
            sent_ms: context.now_ms(),
            seq: context.record.viewstamp.seq,
            address: context.settings().address.clone(),
        });
        context.send(to, message);
    }
}

/// Returns the chain member with the newest state among those that could lead at once.
fn successor(leadership: &Leadership, own_member: Member, now_ms: u64) -> Option<Member> {
    let oldest_seq = leadership.writes().oldest().map_or(0, |o| o.batch.seq);
    let is_fit = |peer: &Peer| {
        peer.since_received_ms(now_ms) < 2 * HEARTBEAT_INTERVAL_MS
            && !peer.report().draining
            && peer.report().store_age_ms < SLOW_HEAD_MS / 2
            && peer.report().viewstamp.seq >= oldest_seq
    };
    let others = leadership
        .view()
        .chain
        .iter()
        .copied()
        .filter(|&m| m != own_member);
    others
        .filter(|&member| leadership.peer(member).is_some_and(is_fit))
        .max_by_key(|&member| leadership.viewstamp_of(member))
}
