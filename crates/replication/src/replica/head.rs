//! The head's work beside writes: heartbeats, and its lease.

use super::Replica;
use super::leadership::Leadership;
use super::peer::Health;
use crate::message::{Grant, Heartbeat, Message};
use crate::timing::{BACKOFF_SPREAD_MS, DRAIN_WAIT_MS, HISTORY_MAX, LEASE_MS, SLOW_MEMBER_MS};
use crate::types::{Member, View, ViewStart, Viewstamp};
use std::net::SocketAddr;

impl Replica {
    /// This member is the head, and no other can be at this moment.
    pub fn may_act(&self, now_ms: u64) -> bool {
        now_ms < self.acting_until_ms()
    }

    /// Until when [`Replica::may_act`] is true if nothing else happens; 0 if it is false.
    pub fn acting_until_ms(&self) -> u64 {
        let gained = self
            .leadership
            .as_ref()
            .filter(|leadership| leadership.is_gained());
        gained.map_or(0, Leadership::lease_until_ms)
    }

    /// Leads an agreed view.
    pub(super) fn lead(&mut self, view: View) {
        self.durable.agreed = true;
        self.enter_view(&view);
        self.voter.clear_lease();
        match &mut self.leadership {
            Some(leadership) => leadership.renew(view, self.now_ms),
            None => {
                let leadership = Leadership::new(
                    self.durable.member,
                    view,
                    self.now_ms,
                    self.stores.stored_viewstamp(),
                );
                self.leadership = Some(leadership);
            }
        }
        self.send_heartbeats();
    }

    /// Takes over the view's first state, which this member's rows are in already.
    pub(super) fn enter_view(&mut self, view: &View) {
        self.durable.viewstamp = Viewstamp {
            view: view.number,
            seq: view.base.seq,
        };
        let history = &mut self.durable.history;
        history.push(ViewStart {
            view: view.number,
            seq: view.base.seq,
        });
        if history.len() > HISTORY_MAX {
            history.drain(..history.len() - HISTORY_MAX);
        }
        self.stores.request_store();
    }

    pub(super) fn send_heartbeats(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.schedule_heartbeat(self.now_ms);
        for internal in leadership.heartbeat_recipients() {
            self.send_heartbeat(internal);
        }
    }

    fn send_heartbeat(&mut self, to: SocketAddr) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let message = Message::Heartbeat(Heartbeat {
            view: leadership.view.clone(),
            sent_ms: self.now_ms,
            seq: self.durable.viewstamp.seq,
            address: self.settings.address.clone(),
        });
        self.send(to, message);
    }

    pub(super) fn on_grant(&mut self, from: Member, grant: Grant) {
        let now_ms = self.now_ms;
        let (number, sent_ms) = (grant.number, grant.sent_ms);
        let health = Health {
            viewstamp: grant.viewstamp,
            store_age_ms: grant.store_age_ms,
            draining: grant.draining,
        };
        self.learn_address(grant.address);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let is_known = leadership.has_led(number) && sent_ms <= now_ms;
        if !is_known {
            return;
        }
        leadership
            .peer_or_new(from, now_ms)
            .has_granted(sent_ms, health, now_ms);
        self.count_stored();
    }

    /// A member without a head has announced itself.
    pub(super) fn on_newcomer(&mut self, member: Member) {
        let now_ms = self.now_ms;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.peer_or_new(member, now_ms);
        if self.campaign.is_none() {
            self.send_heartbeat(member.internal);
        }
    }

    /// A member has rejected a heartbeat because it has promised a higher number.
    pub(super) fn on_heartbeat_rejected(&mut self, from: Member, number: u64, promised: u64) {
        let has_lease = self.may_act(self.now_ms);
        let Some(leadership) = self.leadership.as_mut().filter(|l| l.view.number == number) else {
            return;
        };
        if promised <= self.durable.promised.max(number) {
            return;
        }
        if let Some(peer) = leadership.peers.get_mut(&from) {
            peer.has_rejected(self.now_ms);
        }
        if has_lease {
            self.number_floor = self.number_floor.max(promised);
        } else if leadership.view_age_ms(self.now_ms) > LEASE_MS {
            self.end_leadership();
        }
    }

    pub(super) fn leadership_due_ms(&self) -> Option<u64> {
        let leadership = self.leadership.as_ref()?;
        let heartbeat = if self.campaign.is_some() {
            u64::MAX
        } else {
            leadership.heartbeat_ms()
        };
        let slow = leadership
            .writes
            .oldest()
            .map_or(u64::MAX, |o| o.sent_ms + SLOW_MEMBER_MS);
        let leave = self
            .draining_since_ms
            .map_or(u64::MAX, |since| since + DRAIN_WAIT_MS);
        let ahead = [slow, leave].into_iter().filter(|&due| due > self.now_ms);
        ahead.chain([heartbeat]).min()
    }

    pub(super) fn run_leadership(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.is_lost(self.now_ms) {
            self.abandon_leadership_and_campaign();
            self.campaign_at_ms = self.now_ms + LEASE_MS + self.random_below(BACKOFF_SPREAD_MS);
            return;
        }
        // Before heartbeats: one sent after the leadership was transferred would bind its receiver to this head again.
        self.drain();
        self.transfer_leadership_if_slow();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if self.campaign.is_none() && self.now_ms >= leadership.heartbeat_ms() {
            leadership.forget_newcomers(self.now_ms);
            self.send_heartbeats();
            self.resend_lacking();
        }
        self.reconfigure();
    }
}
