//! The connection to the acting head, and the detection of a head that no longer responds.

use super::action::ConnectionId;
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::Welcome;
use std::net::SocketAddr;

/// A head that owes a reply and sends none for this long is suspected: other members are dialled, and the head stays
/// attached.
pub const SUSPICION_TIMEOUT_MS: u64 = 700;
/// With idle probing, a head that has sent no reply for this long is probed.
pub const IDLE_PROBE_MS: u64 = 300;
/// A head that owes a reply and sends none for this long is detached, and its connection is closed.
pub const HEAD_TIMEOUT_MS: u64 = 2_000;

/// The connection to the acting head.
#[derive(Debug)]
pub(super) struct Attachment {
    connection: ConnectionId,
    address: SocketAddr,
    view: u64,
    config_version: u64,
    limits: IngressLimits,
    /// Time since which the head has owed a reply without sending any; `None` if it owes none.
    owed_since_ms: Option<u64>,
    /// Time of the latest reply; of the attachment before the first one.
    last_reply_ms: u64,
    /// Whether a probe was sent after the latest reply.
    was_probed: bool,
}

impl Attachment {
    /// Creates the attachment to the member at `address`, whose welcome says that it is the acting head.
    pub(super) fn new(
        now_ms: u64,
        connection: ConnectionId,
        address: SocketAddr,
        welcome: &Welcome,
    ) -> Self {
        Attachment {
            connection,
            address,
            view: welcome.view,
            config_version: welcome.config_version,
            limits: welcome.limits.clone(),
            owed_since_ms: None,
            last_reply_ms: now_ms,
            was_probed: false,
        }
    }

    /// Number of the connection.
    pub(super) fn connection(&self) -> ConnectionId {
        self.connection
    }

    /// Address of the head.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The view that the head leads.
    pub(super) fn view(&self) -> u64 {
        self.view
    }

    /// Version of the configuration at the head.
    pub(super) fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Limits on clients' calls in the head's latest welcome.
    pub(super) fn limits(&self) -> &IngressLimits {
        &self.limits
    }

    /// Time since which the head has owed a reply without sending any; `None` if it owes none.
    pub(super) fn owed_since_ms(&self) -> Option<u64> {
        self.owed_since_ms
    }

    /// Handles another welcome of the acting head.
    pub(super) fn handle_welcome(&mut self, welcome: &Welcome) {
        self.view = welcome.view;
        self.config_version = welcome.config_version;
        self.limits = welcome.limits.clone();
    }

    /// Records a reply from the head. It counts as the reply to all requests, since it shows that the head responds.
    pub(super) fn record_reply_received(&mut self, now_ms: u64) {
        self.owed_since_ms = None;
        self.last_reply_ms = now_ms;
        self.was_probed = false;
    }

    /// Records that the head owes a reply, from now on unless it has already owed one for longer.
    pub(super) fn record_request_sent(&mut self, now_ms: u64) {
        self.owed_since_ms.get_or_insert(now_ms);
    }

    /// Whether the head has owed a reply for [`SUSPICION_TIMEOUT_MS`].
    pub(super) fn is_suspected(&self, now_ms: u64) -> bool {
        self.suspected_at_ms()
            .is_some_and(|due_ms| due_ms <= now_ms)
    }

    /// Whether the head has owed a reply for [`HEAD_TIMEOUT_MS`].
    pub(super) fn is_timed_out(&self, now_ms: u64) -> bool {
        self.timed_out_at_ms()
            .is_some_and(|due_ms| due_ms <= now_ms)
    }

    /// Returns whether a probe is due, and if so records it as sent.
    pub(super) fn poll_probe(&mut self, now_ms: u64) -> bool {
        let is_due = self.probe_at_ms().is_some_and(|due_ms| due_ms <= now_ms);
        if is_due {
            self.was_probed = true;
            self.record_request_sent(now_ms);
        }
        is_due
    }

    /// Time at which the head is to be suspected, detached or, with `idle_probing`, probed, whichever comes first. A
    /// suspicion that is already due needs no timer.
    pub(super) fn next_timeout_ms(&self, now_ms: u64, idle_probing: bool) -> Option<u64> {
        let suspected_at_ms = self.suspected_at_ms().filter(|due_ms| *due_ms > now_ms);
        let probe_at_ms = self.probe_at_ms().filter(|_| idle_probing);
        [probe_at_ms, suspected_at_ms, self.timed_out_at_ms()]
            .into_iter()
            .flatten()
            .min()
    }

    fn probe_at_ms(&self) -> Option<u64> {
        (!self.was_probed).then_some(self.last_reply_ms + IDLE_PROBE_MS)
    }

    fn suspected_at_ms(&self) -> Option<u64> {
        self.owed_since_ms
            .map(|since_ms| since_ms + SUSPICION_TIMEOUT_MS)
    }

    fn timed_out_at_ms(&self) -> Option<u64> {
        self.owed_since_ms
            .map(|since_ms| since_ms + HEAD_TIMEOUT_MS)
    }
}
