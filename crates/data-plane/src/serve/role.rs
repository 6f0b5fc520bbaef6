//! The interface between a role of the data plane (edge or node agent) and its link to the core.

use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::Frame;
use std::rc::Rc;

/// The state of the acting head as the link knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadStatus<'a> {
    /// Latest time at which the head was responsive: the time since which it has owed a reply, or now if it owes none.
    pub responsive_ms: u64,
    /// Version of the head's configuration; 0 without a head or a configuration.
    pub config_version: u64,
    /// Limits on clients' calls; `None` without a head.
    pub limits: Option<&'a IngressLimits>,
}

/// A role on the link to the core. The frames that its methods return are sent to the acting head.
pub(super) trait Role: 'static {
    /// Handles the current state of the head; called before each other input.
    fn handle_head_status(&mut self, status: HeadStatus<'_>);
    /// Handles a new connection to an acting head.
    fn handle_attached(&mut self, now_ms: u64) -> Vec<Rc<Frame>>;
    /// Handles the loss of the connection to the acting head.
    fn handle_detached(&mut self, now_ms: u64);
    /// Handles a frame from the acting head.
    fn handle_frame(&mut self, now_ms: u64, frame: Frame);
    /// Returns a frame that an acting head replies to at once, for a role that must notice an unresponsive head while
    /// idle; `None` for other roles.
    fn liveness_probe(&self) -> Option<Frame>;
    /// Whether a frame sent to the acting head still awaits its reply.
    fn awaits_reply(&self) -> bool;
    /// Performs what is due, and returns the frames to send.
    fn poll_frames(&mut self, now_ms: u64) -> Vec<Rc<Frame>>;
    /// The latest time at which to call [`Role::poll_frames`] next; `None` if nothing is due.
    fn next_timeout_ms(&self) -> Option<u64>;
}
