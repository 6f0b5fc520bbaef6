//! What the whole chain has on disk: the head commits its writes, and establishes a new view.

use super::Head;
use super::leadership::HeadReport;
use crate::replica::context::Context;
use crate::replica::io::Output;
use crate::types::{Member, Viewstamp};

impl Head {
    /// A member reports the state on its disk.
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
        // A state that this head has never sent out.
        if viewstamp > context.record.viewstamp {
            return;
        }
        peer.has_stored(viewstamp, context.now_ms());
        self.count_stored(context, is_campaigning);
    }

    /// The state on the head's own disk has changed.
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

    /// Commits what the whole chain has on disk.
    pub(super) fn count_stored(&mut self, context: &mut Context, is_campaigning: bool) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(stored) = leadership.stored_by_all() else {
            return;
        };
        let is_new = leadership.synchronize();
        for write_id in leadership.writes_mut().commit(stored) {
            context.output(Output::Committed { write_id });
        }
        if is_new {
            self.establish_view(context, is_campaigning);
        }
        self.report_view(context);
    }

    /// The whole chain has the view's first state: its voters decide alone from now on. The next heartbeats say so.
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

    /// Notifies the driver of a view whose chain is synchronized; of the first one once the head has a lease.
    fn report_view(&mut self, context: &mut Context) {
        let now_ms = context.now_ms();
        let leadership = self.leadership.as_mut();
        let report = leadership.and_then(|leadership| leadership.next_report(now_ms));
        if let Some(report) = report {
            context.output(match report {
                HeadReport::Gained { view } => Output::HeadGained { view },
                HeadReport::Renewed { view } => Output::HeadRenewed { view },
            });
        }
    }
}
