//! What the whole chain has on disk: the head commits its writes, and establishes a new view.

use super::Replica;
use super::io::Output;
use super::leadership::HeadReport;
use crate::types::{Member, Viewstamp};

impl Replica {
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
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(stored) = leadership.stored_by_all() else {
            return;
        };
        let is_new = leadership.install();
        let committed = leadership.writes.commit(stored);
        self.outputs.extend(
            committed
                .into_iter()
                .map(|write_id| Output::Committed { write_id }),
        );
        if is_new {
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
        let leadership = self.leadership.as_mut();
        let report = leadership.and_then(|leadership| leadership.next_report(self.now_ms));
        self.outputs.extend(report.map(|report| match report {
            HeadReport::Gained { view } => Output::HeadGained { view },
            HeadReport::Renewed { view } => Output::HeadRenewed { view },
        }));
    }
}
