//! The link to the core: finds the acting head, stays connected to it, and searches for its successor when it no longer
//! responds. A state machine without I/O: inputs are `handle_*`, outputs are `poll_*`; `now_ms` is a reading of the
//! machine's monotonic clock in milliseconds.

mod action;
mod attachment;
mod candidates;
mod head_hint;
mod search;

pub use action::{ConnectionId, LinkAction};
pub use attachment::{HEAD_TIMEOUT_MS, IDLE_PROBE_MS, SUSPICION_TIMEOUT_MS};
pub use candidates::{BACKOFF_MAX_MS, BACKOFF_MIN_MS};
pub use search::{CONNECT_TIMEOUT_MS, GREETING_TIMEOUT_MS, LISTEN_MS, SEARCH_CONNECTIONS_MAX};

use attachment::Attachment;
use candidates::Candidates;
use head_hint::HeadHint;
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::Welcome;
use search::{RemovedConnection, Search};
use std::net::SocketAddr;

/// The acting head that the link is connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Address for internal connections.
    pub address: SocketAddr,
    /// The view that the head leads.
    pub view: u64,
}

/// The connections to core members, of which one is attached to the acting head if it is known.
#[derive(Debug)]
pub struct CoreLink {
    candidates: Candidates,
    hint: HeadHint,
    search: Search,
    attachment: Option<Attachment>,
    idle_probing: bool,
    actions: Vec<LinkAction>,
}

impl CoreLink {
    /// Creates a link that knows only the seeds. `random_seed` varies by process, so that processes spread over the
    /// members.
    pub fn new(seeds: &[SocketAddr], random_seed: u64) -> Self {
        CoreLink {
            candidates: Candidates::new(seeds, random_seed),
            hint: HeadHint::default(),
            search: Search::default(),
            attachment: None,
            idle_probing: false,
            actions: Vec::new(),
        }
    }

    /// Makes the link probe a head that has sent nothing for [`IDLE_PROBE_MS`]. Processes that send nothing while idle
    /// need this to notice a frozen or unreachable head.
    pub fn with_idle_probing(mut self) -> Self {
        self.idle_probing = true;
        self
    }

    /// Replaces the seeds by those of reloaded settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.candidates.set_seeds(seeds);
    }

    /// The connection to the acting head; `None` while no acting head is known.
    pub fn attached(&self) -> Option<ConnectionId> {
        self.attachment.as_ref().map(Attachment::connection)
    }

    /// The acting head; `None` while none is known.
    pub fn head(&self) -> Option<Head> {
        self.attachment.as_ref().map(|attachment| Head {
            address: attachment.address(),
            view: attachment.view(),
        })
    }

    /// Version of the configuration at the acting head; 0 without a head or a configuration.
    pub fn config_version(&self) -> u64 {
        self.attachment
            .as_ref()
            .map_or(0, Attachment::config_version)
    }

    /// The limits on clients' calls in the acting head's latest welcome; `None` without a head.
    pub fn limits(&self) -> Option<&IngressLimits> {
        self.attachment.as_ref().map(Attachment::limits)
    }

    /// The latest time at which the head was responsive: the time since which it has owed a reply, or `now_ms` if it
    /// owes none or no head is known.
    pub fn head_responsive_ms(&self, now_ms: u64) -> u64 {
        self.attachment
            .as_ref()
            .and_then(Attachment::owed_since_ms)
            .unwrap_or(now_ms)
    }

    /// Whether this connection is still in use.
    pub fn is_in_use(&self, connection: ConnectionId) -> bool {
        self.attached() == Some(connection) || self.search.contains(connection)
    }

    /// Handles an opened connection on which the greeting was sent.
    pub fn handle_connected(&mut self, now_ms: u64, connection: ConnectionId) {
        self.search.handle_connected(now_ms, connection);
    }

    /// Handles a connection that could not be opened or has ended.
    pub fn handle_disconnected(&mut self, now_ms: u64, connection: ConnectionId) {
        if let Some(lost_head) = self
            .attachment
            .take_if(|head| head.connection() == connection)
        {
            self.candidates.back_off(lost_head.address(), now_ms);
            self.actions.push(LinkAction::Detached);
        }
        if let Some(failed_connection) = self.search.remove(connection) {
            self.candidates.back_off(failed_connection.address, now_ms);
        }
        self.handle_timeout(now_ms);
    }

    /// Handles a welcome, in which a member names the view, head and members that it knows.
    pub fn handle_welcome(&mut self, now_ms: u64, connection: ConnectionId, welcome: &Welcome) {
        let named_members = welcome.members.iter().chain(&welcome.head);
        let addresses: Vec<SocketAddr> = named_members.map(|member| member.internal).collect();
        self.candidates.set_members(&addresses);
        if let Some(address) = self.hint.handle_welcome(welcome) {
            self.candidates.clear_backoff(address);
            // A connection attempt that began while the head's machine was down would hang until its timeout.
            let hanging_connections = self.search.remove_dialling(address);
            self.close_all(hanging_connections);
        }
        if self.attached() == Some(connection) {
            self.handle_head_welcome(now_ms, welcome);
        } else if self.search.contains(connection) {
            self.handle_search_welcome(now_ms, connection, welcome);
        }
        self.handle_timeout(now_ms);
    }

    /// Handles any frame but a welcome received on this connection. A welcome answers no request: a member that only
    /// announces changes may have dropped all that this process has sent to it.
    pub fn handle_reply(&mut self, now_ms: u64, connection: ConnectionId) {
        let attachment = self.attachment.as_mut();
        if let Some(attachment) = attachment.filter(|head| head.connection() == connection) {
            attachment.record_reply_received(now_ms);
        }
    }

    /// Records that the head owes a reply: a request was sent to it, or a reply is still missing after it sent a frame.
    pub fn handle_request_sent(&mut self, now_ms: u64) {
        if let Some(attachment) = &mut self.attachment {
            attachment.record_request_sent(now_ms);
        }
    }

    /// Performs what is due: closes expired connections, probes or detaches the head, and dials members while
    /// searching.
    pub fn handle_timeout(&mut self, now_ms: u64) {
        self.close_expired(now_ms);
        self.detach_unresponsive(now_ms);
        if self.idle_probing {
            self.probe_idle(now_ms);
        }
        if !self.is_searching(now_ms) {
            let unused_connections = self.search.clear();
            self.close_all(unused_connections);
            return;
        }
        self.dial_named_head(now_ms);
        while !self.search.is_full() {
            let addresses_in_use = self.addresses_in_use();
            let Some(address) = self.candidates.pick(now_ms, &addresses_in_use) else {
                break;
            };
            self.dial(now_ms, address);
        }
    }

    /// The latest time at which to call [`CoreLink::handle_timeout`] next; `None` if nothing is due.
    pub fn next_timeout_ms(&self, now_ms: u64) -> Option<u64> {
        let attachment = self.attachment.as_ref();
        let head_due_ms =
            attachment.and_then(|head| head.next_timeout_ms(now_ms, self.idle_probing));
        if !self.is_searching(now_ms) {
            return head_due_ms;
        }
        let dial_due_ms = if self.search.is_full() {
            None
        } else {
            self.candidates.next_attempt_ms(&self.addresses_in_use())
        };
        [head_due_ms, self.search.next_timeout_ms(), dial_due_ms]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the actions since the last call, in the order in which to carry them out.
    pub fn poll_actions(&mut self) -> Vec<LinkAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether no head is known or the known head is suspected.
    fn is_searching(&self, now_ms: u64) -> bool {
        self.attachment
            .as_ref()
            .is_none_or(|attachment| attachment.is_suspected(now_ms))
    }

    /// Detaches from a head that has timed out and closes the connection. The address is dialled again after its
    /// backoff, since a new connection opens sooner than the old one recovers once a network partition has healed.
    fn detach_unresponsive(&mut self, now_ms: u64) {
        let Some(lost_head) = self.attachment.take_if(|head| head.is_timed_out(now_ms)) else {
            return;
        };
        self.hint.forget(lost_head.address());
        self.candidates.back_off(lost_head.address(), now_ms);
        self.actions.push(LinkAction::Detached);
        self.actions.push(LinkAction::Close(lost_head.connection()));
    }

    /// Probes a head that has been idle; it is not probed again until it has sent a frame.
    fn probe_idle(&mut self, now_ms: u64) {
        if let Some(attachment) = &mut self.attachment
            && attachment.poll_probe(now_ms)
        {
            self.actions
                .push(LinkAction::ProbeHead(attachment.connection()));
        }
    }

    /// Handles another welcome from the attached member. A member that is no longer the acting head is detached, and
    /// its connection stays open, as its next welcome may name the new head.
    fn handle_head_welcome(&mut self, now_ms: u64, welcome: &Welcome) {
        if welcome.acting {
            if let Some(attachment) = &mut self.attachment {
                attachment.handle_welcome(welcome);
            }
        } else if let Some(former_head) = self.attachment.take() {
            self.search
                .listen(now_ms, former_head.connection(), former_head.address());
            self.actions.push(LinkAction::Detached);
        }
    }

    /// Handles a welcome on a connection of the search; attaches to its member if that is the acting head of a view
    /// newer than the attached head's.
    fn handle_search_welcome(&mut self, now_ms: u64, connection: ConnectionId, welcome: &Welcome) {
        let known_view = self.attachment.as_ref().map(Attachment::view);
        let is_newer_head = welcome.acting && known_view.is_none_or(|view| view < welcome.view);
        if !is_newer_head {
            self.search.handle_welcome(now_ms, connection);
        } else if let Some(head_connection) = self.search.remove(connection) {
            self.attach(now_ms, head_connection, welcome);
        }
    }

    fn attach(&mut self, now_ms: u64, head_connection: RemovedConnection, welcome: &Welcome) {
        let attachment =
            Attachment::new(now_ms, head_connection.id, head_connection.address, welcome);
        if let Some(former_head) = self.attachment.replace(attachment) {
            self.actions.push(LinkAction::Detached);
            self.actions
                .push(LinkAction::Close(former_head.connection()));
        }
        self.actions.push(LinkAction::Attached(head_connection.id));
    }

    fn close_expired(&mut self, now_ms: u64) {
        for expired_connection in self.search.remove_expired(now_ms) {
            self.candidates.back_off(expired_connection.address, now_ms);
            self.actions.push(LinkAction::Close(expired_connection.id));
        }
    }

    fn close_all(&mut self, removed_connections: Vec<RemovedConnection>) {
        let closes = removed_connections
            .into_iter()
            .map(|connection| LinkAction::Close(connection.id));
        self.actions.extend(closes);
    }

    /// Dials the head that a member has named, in addition to the connections of the search.
    fn dial_named_head(&mut self, now_ms: u64) {
        let Some(address) = self.hint.address() else {
            return;
        };
        if !self.addresses_in_use().contains(&address) && self.candidates.may_dial(address, now_ms)
        {
            self.dial(now_ms, address);
        }
    }

    fn dial(&mut self, now_ms: u64, address: SocketAddr) {
        let connection = self.search.dial(now_ms, address);
        self.actions.push(LinkAction::Dial {
            connection,
            address,
        });
    }

    fn addresses_in_use(&self) -> Vec<SocketAddr> {
        let head_address = self.attachment.as_ref().map(Attachment::address);
        self.search.addresses().chain(head_address).collect()
    }
}
