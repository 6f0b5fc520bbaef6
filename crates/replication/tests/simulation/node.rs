//! A machine of the simulated cluster: its clock, its disk and its process.

use super::disk::Disk;
use indigofold_protocol::internal::MemberAddress;
use indigofold_replication::{Envelope, Replica, Settings, StoreRequest};
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// A task of the storage thread.
#[derive(Clone, Debug)]
pub(crate) enum DiskTask {
    Store {
        store: u64,
        request: Arc<StoreRequest>,
    },
    Read {
        read: u64,
        since: u64,
    },
}

/// Whether a machine is part of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Not installed yet.
    Spare,
    /// About to be installed.
    Installing,
    Present,
    /// Removed permanently.
    Removed,
}

/// A machine of the simulated cluster.
#[derive(Debug)]
pub(crate) struct Node {
    pub index: usize,
    pub presence: Presence,
    pub replica: Option<Replica>,
    pub disk: Disk,
    /// Increases with each start and stop of the process; events of earlier incarnations are dropped.
    pub incarnation: u64,
    pub frozen_until_ms: u64,
    pub disk_ms: u64,
    pub disk_fails_stores: bool,
    pub tasks: VecDeque<DiskTask>,
    pub busy: bool,
    clock_offset_ms: u64,
    clock_rate_permille: u64,
}

/// Returns the addresses of the machine `index`.
pub(crate) fn address(index: usize) -> MemberAddress {
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, index as u8 + 1));
    MemberAddress {
        node_name: format!("core-{index}"),
        internal: SocketAddr::new(ip, 7380),
        control: SocketAddr::new(ip, 8144),
    }
}

/// Returns the index of the machine at an internal address.
pub(crate) fn index_of(internal: SocketAddr) -> usize {
    match internal.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        IpAddr::V6(_) => usize::MAX,
    }
}

impl Node {
    pub(crate) fn new(index: usize, clock_offset_ms: u64, clock_rate_permille: u64) -> Node {
        Node {
            index,
            presence: Presence::Present,
            replica: None,
            disk: Disk::default(),
            incarnation: 0,
            frozen_until_ms: 0,
            disk_ms: 9,
            disk_fails_stores: false,
            tasks: VecDeque::new(),
            busy: false,
            clock_offset_ms,
            clock_rate_permille,
        }
    }

    /// Returns the time of the node's monotonic clock at a true time.
    pub(crate) fn local_ms(&self, true_ms: u64) -> u64 {
        self.clock_offset_ms + true_ms * self.clock_rate_permille / 1000
    }

    /// Returns the first true time at which the node's clock shows `local_ms` or more.
    pub(crate) fn true_ms(&self, local_ms: u64) -> u64 {
        let elapsed_local_ms = local_ms.saturating_sub(self.clock_offset_ms);
        (elapsed_local_ms.saturating_mul(1000)).div_ceil(self.clock_rate_permille)
    }

    pub(crate) fn start(
        &mut self,
        true_ms: u64,
        seeds: &[usize],
        bootstrap: bool,
        random_seed: u64,
    ) {
        self.incarnation += 1;
        self.tasks.clear();
        self.busy = false;
        let settings = Settings {
            address: address(self.index),
            seeds: seeds.iter().map(|&seed| address(seed).internal).collect(),
            bootstrap,
            tolerated_losses: 1,
            random_seed,
        };
        let now_ms = self.local_ms(true_ms);
        self.replica = Some(Replica::new(settings, self.disk.record.clone(), now_ms));
    }

    /// Ends the process. If `store_survives` is set, the store under way still reaches the disk.
    pub(crate) fn stop(&mut self, store_survives: bool) {
        if let (true, true, Some(DiskTask::Store { request, .. })) =
            (self.busy, store_survives, self.tasks.front())
        {
            let request = Arc::clone(request);
            self.disk.apply(&request);
        }
        self.replica = None;
        self.incarnation += 1;
        self.tasks.clear();
        self.busy = false;
    }

    pub(crate) fn is_frozen(&self, true_ms: u64) -> bool {
        true_ms < self.frozen_until_ms
    }

    pub(crate) fn may_act(&self, true_ms: u64) -> bool {
        let now_ms = self.local_ms(true_ms);
        !self.is_frozen(true_ms) && self.replica.as_ref().is_some_and(|r| r.may_act(now_ms))
    }
}

/// A message that has been sent but not delivered yet.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub to: usize,
    pub envelope: Envelope,
}
