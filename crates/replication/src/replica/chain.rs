//! A chain member that is not the head: it stores writes in order, relays them to its successor in the chain
//! and reports to the head.
//!
//! As in chain replication (van Renesse and Schneider 2004) writes enter at the head and are committed once the whole
//! chain has them on disk. Unlike there, each member reports to the head, which answers the clients. This module keeps
//! no state besides the record.

use super::context::Context;
use crate::durable::StoreOperation;
use crate::message::{Message, Write};
use crate::types::{Batch, ViewNumber};
use std::sync::Arc;

/// Stores and relays writes that have arrived at a member that does not lead.
pub(super) fn handle_write(context: &mut Context, write: Write) {
    let Write {
        number,
        batches,
        relay,
    } = write;
    if !takes_writes(context, number) {
        return;
    }
    let viewstamp = context.record.viewstamp;
    let next_seq = viewstamp.seq + 1;
    if batches.first().is_some_and(|batch| batch.seq > next_seq) {
        return context.send_to_head(Message::WriteGap { viewstamp });
    }
    let new_batches = batches.into_iter().filter(|batch| batch.seq >= next_seq);
    let new_batches: Vec<Arc<Batch>> = new_batches.collect();
    let Some(last_batch) = new_batches.last() else {
        return report_stored(context);
    };
    context.record.viewstamp.seq = last_batch.seq;
    for batch in &new_batches {
        let write = StoreOperation::Write(Arc::clone(batch));
        context.stores.add_operation(write);
    }
    context.stores.request_store();
    if relay {
        relay_batches(context, number, new_batches);
    }
}

/// Reports the viewstamp on this member's disk to the head, if this member is in the chain of an agreed view and has taken
/// over its first state.
pub(super) fn report_stored(context: &mut Context) {
    let viewstamp = context.stores.stored_viewstamp();
    let record = &context.record;
    let Some(view) = record.view.as_ref().filter(|_| record.agreed) else {
        return;
    };
    if view.chain.contains(&record.member) && viewstamp.view == view.number {
        context.send_to_head(Message::Stored { viewstamp });
    }
}

/// Returns true if this member is in the chain of the view, has taken over its first state, and has promised no later
/// view.
fn takes_writes(context: &Context, number: ViewNumber) -> bool {
    let record = &context.record;
    let Some(view) = &record.view else {
        return false;
    };
    view.number == number
        && record.promised == number
        && record.viewstamp.view == number
        && view.chain.contains(&record.member)
}

fn relay_batches(context: &mut Context, number: ViewNumber, batches: Vec<Arc<Batch>>) {
    let view = context.record.view.as_ref();
    let successor = view.and_then(|view| view.successor(context.own_member()));
    if let Some(successor) = successor {
        let message = Message::Write(Write {
            number,
            batches,
            relay: true,
        });
        context.send(successor.internal, message);
    }
}
