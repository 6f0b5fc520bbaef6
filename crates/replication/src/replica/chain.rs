//! Writes: batches down the chain, and their count at the head.
//!
//! As in chain replication (van Renesse and Schneider 2004) writes enter at the head and are committed once the whole chain
//! has them on disk. Unlike there, each member reports to the head, which answers the clients.

use super::{Output, Replica};
use crate::durable::StoreOperation;
use crate::message::{Message, Write};
use crate::timing::RESEND_MS;
use crate::types::{Batch, Member, RowChange, Viewstamp};
use std::sync::Arc;

impl Replica {
    pub(super) fn on_submit(&mut self, write_id: u64, changes: Vec<RowChange>) {
        let accepts = !self.is_draining() && !self.stores.is_failing();
        let leadership = self.leadership.as_mut();
        let is_taken = leadership
            .filter(|leadership| leadership.is_gained && accepts)
            .is_some_and(|leadership| leadership.writes.submit(write_id, changes));
        if !is_taken {
            self.outputs.push(Output::Rejected { write_id });
        }
    }

    /// Writes all that waits as one batch, unless a store is under way.
    pub(super) fn make_batch(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let ready = leadership.is_installed && self.campaign.is_none() && self.stores.is_idle();
        if !ready
            || !leadership.writes.has_pending()
            || self.durable.promised != leadership.view.number
        {
            return;
        }
        self.durable.viewstamp.seq += 1;
        let batch = leadership
            .writes
            .next_batch(self.durable.viewstamp.seq, self.now_ms);
        self.stores.add(StoreOperation::Write(Arc::clone(&batch)));
        self.stores.request_store();
        self.send_batch(&batch);
    }

    fn send_batch(&mut self, batch: &Arc<Batch>) {
        let own = self.durable.member;
        let Some(leadership) = &self.leadership else {
            return;
        };
        let (number, successor) = (leadership.view.number, leadership.view.successor(own));
        let is_direct = |member: &Member| {
            leadership
                .peers
                .get(member)
                .is_some_and(|peer| peer.is_direct)
        };
        let others = leadership.view.chain.iter().copied().skip(1);
        let direct: Vec<Member> = others
            .filter(|member| Some(*member) != successor && is_direct(member))
            .collect();
        for member in successor.into_iter().chain(direct) {
            let relay = Some(member) == successor;
            let batches = vec![Arc::clone(batch)];
            self.send(
                member.internal,
                Message::Write(Write {
                    number,
                    batches,
                    relay,
                }),
            );
        }
    }

    pub(super) fn on_write(&mut self, write: Write) {
        let Write {
            number,
            batches,
            relay,
        } = write;
        if !self.takes_writes(number) {
            return;
        }
        let next = self.durable.viewstamp.seq + 1;
        if batches.first().is_some_and(|batch| batch.seq > next) {
            self.send_to_head(Message::WriteGap {
                viewstamp: self.durable.viewstamp,
            });
            return;
        }
        let new: Vec<Arc<Batch>> = batches
            .into_iter()
            .filter(|batch| batch.seq >= next)
            .collect();
        let Some(last) = new.last() else {
            self.report_stored();
            return;
        };
        self.durable.viewstamp.seq = last.seq;
        for batch in &new {
            self.stores.add(StoreOperation::Write(Arc::clone(batch)));
        }
        self.stores.request_store();
        if relay {
            self.relay_batches(number, new);
        }
    }

    /// This member is in the chain of the view, has its first state, and has promised no later one.
    fn takes_writes(&self, number: u64) -> bool {
        let Some(view) = &self.durable.view else {
            return false;
        };
        view.number == number
            && self.durable.promised == number
            && self.durable.viewstamp.view == number
            && self.leadership.is_none()
            && view.chain.contains(&self.durable.member)
    }

    fn relay_batches(&mut self, number: u64, batches: Vec<Arc<Batch>>) {
        let Some(view) = &self.durable.view else {
            return;
        };
        if let Some(successor) = view.successor(self.durable.member) {
            self.send(
                successor.internal,
                Message::Write(Write {
                    number,
                    batches,
                    relay: true,
                }),
            );
        }
    }

    fn send_to_head(&mut self, message: Message) {
        if let Some(head) = self.durable.view.as_ref().and_then(|view| view.head()) {
            self.send(head.internal, message);
        }
    }

    /// Reports to the head what is on disk, or counts it at the head itself.
    pub(super) fn report_stored(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.own_viewstamp = self.stored_viewstamp;
            self.count_stored();
            return;
        }
        let in_chain = self
            .durable
            .view
            .as_ref()
            .is_some_and(|v| v.chain.contains(&self.durable.member));
        if in_chain && self.stored_viewstamp.view == self.view() && self.durable.agreed {
            self.send_to_head(Message::Stored {
                viewstamp: self.stored_viewstamp,
            });
        }
    }

    pub(super) fn on_member_stored(&mut self, from: Member, viewstamp: Viewstamp) {
        let (now_ms, newest) = (self.now_ms, self.durable.viewstamp);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(peer) = leadership.peers.get_mut(&from) else {
            return;
        };
        // A state that this head has never sent out.
        if viewstamp > newest {
            return;
        }
        peer.has_stored(viewstamp, now_ms);
        self.count_stored();
    }

    /// Commits what the whole chain has on disk.
    pub(super) fn count_stored(&mut self) {
        let own = self.durable.member;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(stored) = leadership.stored_by_all(own) else {
            return;
        };
        let newly_installed = !std::mem::replace(&mut leadership.is_installed, true);
        let committed = leadership.writes.commit(stored);
        self.outputs.extend(
            committed
                .into_iter()
                .map(|write_id| Output::Committed { write_id }),
        );
        if newly_installed {
            self.establish_view();
        }
        self.report_installed();
    }

    /// The whole chain has the view's first state: its voters decide alone from now on. The next heartbeats say so.
    fn establish_view(&mut self) {
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| !leadership.view.is_established())
        else {
            return;
        };
        leadership.view = leadership.view.clone().established();
        if let Some(view) = self
            .durable
            .view
            .as_mut()
            .filter(|view| view.number == leadership.view.number)
        {
            view.clone_from(&leadership.view);
            self.stores.request_store();
        }
        if self.campaign.is_none() {
            self.send_heartbeats();
        }
    }

    /// Notifies the driver of a view that the whole chain has taken over; of the first one once the head has a lease.
    fn report_installed(&mut self) {
        let own = self.durable.member;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let view = leadership.view.number;
        if leadership.reported_view == view
            || (!leadership.is_gained && leadership.lease_until_ms(own) <= self.now_ms)
        {
            return;
        }
        let output = if leadership.is_gained {
            Output::HeadRenewed { view }
        } else {
            Output::HeadGained { view }
        };
        leadership.is_gained = true;
        leadership.reported_view = view;
        self.outputs.push(output);
    }

    pub(super) fn on_write_gap(&mut self, from: Member, viewstamp: Viewstamp) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        if viewstamp.view == leadership.view.number && leadership.view.chain.contains(&from) {
            self.resend(from, viewstamp.seq);
        }
    }

    /// Sends writes again to members that have not stored them for a while.
    pub(super) fn resend_lacking(&mut self) {
        let (own, now_ms) = (self.durable.member, self.now_ms);
        let Some(leadership) = self.leadership.as_ref().filter(|l| l.is_installed) else {
            return;
        };
        let is_late = |member: &Member| {
            leadership
                .oldest_lacking(*member, own)
                .is_some_and(|o| now_ms >= o.sent_ms + RESEND_MS)
        };
        let late: Vec<(Member, u64)> = leadership
            .view
            .chain
            .iter()
            .copied()
            .filter(|member| *member != own && is_late(member))
            .map(|member| (member, leadership.viewstamp_of(member, own).seq))
            .collect();
        for (member, after) in late {
            self.resend(member, after);
        }
    }

    fn resend(&mut self, member: Member, after: u64) {
        let now_ms = self.now_ms;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(peer) = leadership.peers.get_mut(&member) else {
            return;
        };
        if now_ms < peer.resent_ms + RESEND_MS / 2 {
            return;
        }
        peer.resent_ms = now_ms;
        peer.is_direct = true;
        let batches = leadership.writes.batches_after(after);
        if !batches.is_empty() {
            let message = Message::Write(Write {
                number: leadership.view.number,
                batches,
                relay: false,
            });
            self.send(member.internal, message);
        }
    }
}
