//! The head that members name in their welcomes, dialled before other candidates.

use indigofold_protocol::internal::Welcome;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NamedHead {
    view: u64,
    address: SocketAddr,
}

/// The head of the highest view named in a welcome.
#[derive(Debug, Default)]
pub(super) struct HeadHint {
    named_head: Option<NamedHead>,
}

impl HeadHint {
    /// Address of the named head; `None` if no member has named one.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.named_head.map(|named_head| named_head.address)
    }

    /// Stores the head named in a welcome, unless its view is below the known one. Returns the head's address if the
    /// view is new and the welcome does not come from the acting head itself; the head should then be dialled at once.
    pub(super) fn handle_welcome(&mut self, welcome: &Welcome) -> Option<SocketAddr> {
        let address = welcome.head.as_ref()?.internal;
        let known_view = self.named_head.map(|named_head| named_head.view);
        let is_new_view = known_view.is_none_or(|view| view < welcome.view);
        if known_view.is_none_or(|view| view <= welcome.view) {
            self.named_head = Some(NamedHead {
                view: welcome.view,
                address,
            });
        }
        (is_new_view && !welcome.acting).then_some(address)
    }

    /// Forgets the named head if it has this address.
    pub(super) fn forget(&mut self, address: SocketAddr) {
        self.named_head
            .take_if(|named_head| named_head.address == address);
    }
}
