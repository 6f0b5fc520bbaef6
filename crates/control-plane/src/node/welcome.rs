//! What this member tells others about itself and the members it knows.

use super::{Home, Node, Output};
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::{Frame, MemberAddress, Welcome};
use std::collections::BTreeSet;

/// Members and head are looked up at least so often, in milliseconds, when there is anything to do at all.
const REFRESH_MS: u64 = 100;

/// The welcome of a member that knows nobody yet.
pub(super) fn first(own: &MemberAddress) -> Welcome {
    Welcome {
        view: 0,
        head: None,
        members: vec![own.clone()],
        acting: false,
        config_version: 0,
        limits: IngressLimits::default(),
    }
}

impl Node {
    /// Tells everybody connected if anything of the welcome has changed.
    pub(super) fn refresh_welcome(&mut self, now_ms: u64) {
        let acting = self.acts(now_ms);
        let version = self.config_version();
        let same = acting == self.welcome.acting
            && version == self.welcome.config_version
            && self.replica.view() == self.welcome.view;
        if same && now_ms < self.welcome_due_ms {
            return;
        }
        self.welcome_due_ms = now_ms + REFRESH_MS;
        self.follow_peers(now_ms);
        let welcome = self.current_welcome(now_ms, acting, version);
        if welcome == self.welcome {
            return;
        }
        self.log_changes(&welcome);
        self.welcome = welcome;
        let frame = Frame::Welcome(self.welcome.clone());
        let sends = self.sessions.iter().map(|(connection, _)| Output::Send {
            connection,
            frame: frame.clone(),
        });
        self.outputs.extend(sends);
    }

    fn current_welcome(&self, now_ms: u64, acting: bool, config_version: u64) -> Welcome {
        let own = &self.settings.address;
        let mut members = self.replica.members();
        if !members.iter().any(|member| member.internal == own.internal) {
            members.push(own.clone());
        }
        members.sort_by_key(|member| member.internal);
        let limits = match &self.home {
            Home::Here(head) => head.config().map(|config| config.limits.clone()),
            _ => None,
        };
        Welcome {
            view: self.replica.view(),
            head: self.replica.head(now_ms),
            members,
            acting,
            config_version,
            limits: limits.unwrap_or_default(),
        }
    }

    fn config_version(&self) -> u64 {
        match &self.home {
            Home::Here(head) => head.config().map_or(0, |config| config.version),
            _ => 0,
        }
    }

    /// One line for each change that an operator wants to know of.
    fn log_changes(&self, new: &Welcome) {
        let old = &self.welcome;
        if new.view != old.view {
            log::info!("view {} follows view {}", new.view, old.view);
        }
        let name =
            |head: &Option<MemberAddress>| head.as_ref().map(|member| member.node_name.clone());
        if name(&new.head) != name(&old.head) {
            log::info!(
                "head: {}",
                name(&new.head).as_deref().unwrap_or("none is known")
            );
        }
        if new.acting != old.acting {
            log::info!(
                "this member {} as head of view {}",
                if new.acting { "acts" } else { "no longer acts" },
                new.view
            );
        }
        let names = |members: &[MemberAddress]| -> BTreeSet<String> {
            members
                .iter()
                .map(|member| member.node_name.clone())
                .collect()
        };
        let (before, after) = (names(&old.members), names(&new.members));
        for joined in after.difference(&before) {
            log::info!("member {joined} is known");
        }
        for left in before.difference(&after) {
            log::info!("member {left} is gone");
        }
    }
}
