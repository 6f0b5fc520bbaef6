//! Keeps the connections to the other members, and announces this member and those that it knows.

use super::{CoreMember, Output};
use crate::clocks::Clocks;
use indigofold_protocol::internal::{Frame, MemberAddress, Welcome};
use indigofold_replication::Input as ReplicaInput;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl CoreMember {
    /// Passes the members in another member's welcome to the replica.
    pub(super) fn handle_welcome(&mut self, clocks: Clocks, welcome: Welcome) {
        let own_address = self.settings.address.internal;
        let others = welcome.members.into_iter();
        for address in others.filter(|member| member.internal != own_address) {
            self.replica_input(clocks, ReplicaInput::MemberDiscovered { address });
        }
        self.announcement.invalidate();
    }

    /// Rebuilds the announcement if that is due. If it has changed, sends it on all connections to this member.
    pub(super) fn refresh_announcement(&mut self, now_ms: u64) {
        let acting = self.is_acting(now_ms);
        let config_version = self.config_version();
        let view = self.replica.view().0;
        if !self
            .announcement
            .poll_refresh(now_ms, view, acting, config_version)
        {
            return;
        }
        self.update_peers(now_ms);
        let welcome = self.current_welcome(now_ms, acting, config_version);
        let has_resumed = acting && !self.announcement.welcome().acting;
        if !self.announcement.replace(welcome) {
            return;
        }
        if let Some(head) = self.head_role.leading_mut().filter(|_| has_resumed) {
            head.handle_resumed();
        }
        let frame = Frame::Welcome(self.announcement.welcome().clone());
        let sends = self.sessions.iter().map(|(connection, _)| Output::Send {
            connection,
            frame: frame.clone(),
        });
        self.outputs.extend(sends);
    }

    /// Updates the set of members to keep a connection to: those that the replica knows, and the seeds.
    fn update_peers(&mut self, now_ms: u64) {
        let known_addresses = self
            .replica
            .peers()
            .into_iter()
            .chain(self.settings.seeds.iter().copied());
        let own_address = self.settings.address.internal;
        let addresses: BTreeSet<SocketAddr> = known_addresses
            .filter(|address| *address != own_address)
            .collect();
        let surplus_connections = self.peers.set_addresses(now_ms, addresses).into_iter();
        self.outputs
            .extend(surplus_connections.map(|connection| Output::Close { connection }));
    }

    fn current_welcome(&self, now_ms: u64, acting: bool, config_version: u64) -> Welcome {
        let head = self.head_role.leading();
        let config = head.and_then(|head| head.config());
        Welcome {
            view: self.replica.view().0,
            head: self.replica.head(now_ms),
            members: self.all_members(),
            acting,
            config_version,
            limits: config.map_or_else(Default::default, |config| config.limits.clone()),
        }
    }

    /// Returns this member and those that it knows, in the order of their internal addresses.
    fn all_members(&self) -> Vec<MemberAddress> {
        let own_address = &self.settings.address;
        let mut members = self.replica.members();
        if !members
            .iter()
            .any(|member| member.internal == own_address.internal)
        {
            members.push(own_address.clone());
        }
        members.sort_by_key(|member| member.internal);
        members
    }

    /// Returns the version of the configuration in force; 0 if there is none or this member is not the leading head.
    pub(super) fn config_version(&self) -> u64 {
        let head = self.head_role.leading();
        head.and_then(|head| head.config())
            .map_or(0, |config| config.version)
    }
}
