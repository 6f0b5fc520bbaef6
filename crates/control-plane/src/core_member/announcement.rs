//! The [`Welcome`] that this member sends at the start of every connection, and again on all connections to it whenever the
//! content changes.

use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::{MemberAddress, Welcome};
use std::collections::BTreeSet;

/// Interval in milliseconds at which the members and the head in the announcement are refreshed. A refresh also needs an event
/// or a timer that wakes the member.
const REFRESH_MS: u64 = 100;

/// The welcome that was sent last, and when it is to be rebuilt.
#[derive(Debug)]
pub(super) struct Announcement {
    welcome: Welcome,
    /// When the next refresh is due, on the monotonic clock; 0 for at once.
    refresh_due_ms: u64,
}

impl Announcement {
    /// Returns the announcement of a member that knows only its own address. A refresh is due at once.
    pub(super) fn new(own_address: &MemberAddress) -> Self {
        Announcement {
            welcome: Welcome {
                view: 0,
                head: None,
                members: vec![own_address.clone()],
                acting: false,
                config_version: 0,
                limits: IngressLimits::default(),
            },
            refresh_due_ms: 0,
        }
    }

    /// Returns the welcome that was sent last.
    pub(super) fn welcome(&self) -> &Welcome {
        &self.welcome
    }

    /// Makes a refresh due at once.
    pub(super) fn invalidate(&mut self) {
        self.refresh_due_ms = 0;
    }

    /// Whether a refresh is due, because of the time or because one of the arguments differs from the last welcome. If so, the
    /// next refresh by time is due after [`REFRESH_MS`].
    pub(super) fn poll_refresh(
        &mut self,
        now_ms: u64,
        view: u64,
        acting: bool,
        config_version: u64,
    ) -> bool {
        let is_current = self.welcome.view == view
            && self.welcome.acting == acting
            && self.welcome.config_version == config_version;
        if is_current && now_ms < self.refresh_due_ms {
            return false;
        }
        self.refresh_due_ms = now_ms + REFRESH_MS;
        true
    }

    /// Replaces the welcome and logs the differences; returns false if the two are equal.
    pub(super) fn replace(&mut self, welcome: Welcome) -> bool {
        if welcome == self.welcome {
            return false;
        }
        log_changes(&self.welcome, &welcome);
        self.welcome = welcome;
        true
    }
}

/// Logs one line for each difference that is of interest to an operator.
fn log_changes(old_welcome: &Welcome, new_welcome: &Welcome) {
    if new_welcome.view != old_welcome.view {
        log::info!(
            "view changed view={} previous={}",
            new_welcome.view,
            old_welcome.view
        );
    }
    let (old_head, new_head) = (head_name(old_welcome), head_name(new_welcome));
    if new_head != old_head {
        match new_head {
            Some(head) => log::info!("head known head={head}"),
            None => log::info!("no head known"),
        }
    }
    if new_welcome.acting != old_welcome.acting {
        let view = new_welcome.view;
        if new_welcome.acting {
            log::info!("acting as head view={view}");
        } else {
            log::info!("no longer acting as head view={view}");
        }
    }
    let (old_members, new_members) = (member_names(old_welcome), member_names(new_welcome));
    for added_member in new_members.difference(&old_members) {
        log::info!("member added member={added_member}");
    }
    for removed_member in old_members.difference(&new_members) {
        log::info!("member removed member={removed_member}");
    }
}

fn head_name(welcome: &Welcome) -> Option<&str> {
    welcome.head.as_ref().map(|head| head.node_name.as_str())
}

fn member_names(welcome: &Welcome) -> BTreeSet<&str> {
    welcome
        .members
        .iter()
        .map(|member| member.node_name.as_str())
        .collect()
}
