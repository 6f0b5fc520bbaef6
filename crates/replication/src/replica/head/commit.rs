//! The head commits the writes that the whole chain has on disk, and establishes a new view.

use super::Head;
use super::leadership::HeadReport;
use crate::replica::context::Context;
use crate::replica::io::Output;
use crate::types::{Member, Viewstamp};

impl Head {
    /// Handles a member's report of the viewstamp on its disk.
    pub(in crate::replica) fn handle_stored(
        &mut self,
        context: &mut Context,
        from: Member,
        viewstamp: Viewstamp,
        is_campaigning: bool,
    ) {
        let leadership = self.leadership.as_mut();
        let Some(peer) = leadership.and_then(|leadership| leadership.peer_mut(from)) else {
            return;
        };
        // Ignores a report of a viewstamp that this head has never sent.
        if viewstamp > context.record.viewstamp {
            return;
        }
        peer.record_stored(viewstamp, context.now_ms());
        self.count_stored(context, is_campaigning);
    }

    /// Counts a new viewstamp on the head's own disk.
    pub(in crate::replica) fn handle_own_stored(
        &mut self,
        context: &mut Context,
        is_campaigning: bool,
    ) {
        if let Some(leadership) = &mut self.leadership {
            leadership.set_own_viewstamp(context.stores.stored_viewstamp());
            self.count_stored(context, is_campaigning);
        }
    }

    /// Commits the writes that the whole chain has on disk, and establishes the view once all members of the
    /// chain have taken over the view's first state.
    pub(super) fn count_stored(&mut self, context: &mut Context, is_campaigning: bool) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(stored_seq) = leadership.stored_by_all() else {
            return;
        };
        let is_newly_synchronized = leadership.synchronize();
        for write_id in leadership.writes_mut().commit(stored_seq) {
            context.add_output(Output::Committed { write_id });
        }
        if is_newly_synchronized {
            self.establish_view(context, is_campaigning);
        }
        self.report_view(context);
    }

    /// Establishes the view, since the whole chain has taken over its first state: from now on its voters decide alone.
    /// The next heartbeats announce this.
    fn establish_view(&mut self, context: &mut Context, is_campaigning: bool) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if !leadership.establish() {
            return;
        }
        let view = leadership.view();
        let recorded = context.record.view.as_mut();
        if let Some(recorded) = recorded.filter(|recorded| recorded.number == view.number) {
            recorded.clone_from(view);
            context.stores.request_store();
        }
        if !is_campaigning {
            self.send_heartbeats(context);
        }
    }

    /// Notifies the driver of a view whose chain is synchronized; in the first view of a leadership only once the head
    /// has a lease.
    fn report_view(&mut self, context: &mut Context) {
        let now_ms = context.now_ms();
        let leadership = self.leadership.as_mut();
        let report = leadership.and_then(|leadership| leadership.next_report(now_ms));
        if let Some(report) = report {
            context.add_output(match report {
                HeadReport::Gained { view } => Output::HeadGained { view },
                HeadReport::Renewed { view } => Output::HeadRenewed { view },
            });
        }
    }
}
