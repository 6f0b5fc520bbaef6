//! How a leadership ends: it is lost, or the head transfers it because it drains or its disk hangs.

use super::Replica;
use super::io::Output;
use super::leadership::Leadership;
use super::peer::Peer;
use crate::message::Message;
use crate::timing::{
    DRAIN_WAIT_MS, HEARTBEAT_INTERVAL_MS, LEADERSHIP_MIN_MS, RESIGNED_DEFER_MS, SLOW_HEAD_MS,
};
use crate::types::Member;

impl Replica {
    /// This member leads no more. Whether writes that were sent down the chain are kept is unknown.
    pub(super) fn end_leadership(&mut self) {
        let Some(leadership) = self.leadership.take() else {
            return;
        };
        let is_gained = leadership.is_gained();
        let unfinished = leadership.writes.into_unfinished();
        for write_id in unfinished.unknown {
            self.outputs.push(Output::Aborted { write_id });
        }
        for write_id in unfinished.unsent {
            self.outputs.push(Output::Rejected { write_id });
        }
        if is_gained {
            self.outputs.push(Output::HeadLost);
        }
    }

    pub(super) fn on_step_down(&mut self) {
        if self.is_draining() {
            return;
        }
        self.draining_since_ms = Some(self.now_ms);
        if self.leadership.is_none() {
            self.campaign = None;
            self.send_grant();
        }
    }

    /// A draining head transfers its leadership once its writes are committed, or have had time for it.
    pub(super) fn drain(&mut self) {
        let Some(since) = self.draining_since_ms else {
            return;
        };
        let Some(leadership) = &self.leadership else {
            return;
        };
        if leadership.writes.is_empty() || self.now_ms >= since + DRAIN_WAIT_MS {
            self.transfer_leadership();
        }
    }

    /// A head whose own disk hangs lets another member lead.
    pub(super) fn transfer_leadership_if_slow(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let is_slow = self.stores.age_ms(self.now_ms) >= SLOW_HEAD_MS;
        if is_slow && leadership.age_ms(self.now_ms) >= LEADERSHIP_MIN_MS {
            self.transfer_leadership();
        }
    }

    /// Gives the lease back and asks the member with the newest state to campaign (Raft thesis, section 3.10).
    fn transfer_leadership(&mut self) {
        let own = self.durable.member;
        let Some(leadership) = &self.leadership else {
            return;
        };
        let Some(successor) = successor(leadership, own, self.now_ms) else {
            return;
        };
        let number = leadership.view.number;
        let mut others = leadership.heartbeat_recipients();
        others.remove(&successor.internal);
        self.abandon_leadership_and_campaign();
        for internal in others {
            self.send(internal, Message::Release { number });
        }
        self.send(successor.internal, Message::CampaignNow { number });
        self.campaign_at_ms = self.now_ms + RESIGNED_DEFER_MS;
    }
}

/// The member of the chain with the newest state, among those that could lead at once.
fn successor(leadership: &Leadership, own: Member, now_ms: u64) -> Option<Member> {
    let oldest_seq = leadership.writes.oldest().map_or(0, |o| o.batch.seq);
    let is_fit = |peer: &Peer| {
        peer.since_received_ms(now_ms) < 2 * HEARTBEAT_INTERVAL_MS
            && !peer.health().draining
            && peer.health().store_age_ms < SLOW_HEAD_MS / 2
            && peer.health().viewstamp.seq >= oldest_seq
    };
    let others = leadership.view.chain.iter().copied().filter(|&m| m != own);
    others
        .filter(|member| leadership.peers.get(member).is_some_and(is_fit))
        .max_by_key(|&member| leadership.viewstamp_of(member))
}
