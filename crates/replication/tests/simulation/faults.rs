//! Injects random faults and recovers from them.

use super::cluster::Cluster;

/// Time without faults that is required before a disk may be lost, and after it before another fault may begin. When
/// faults overlap, it only applies between lost disks.
const CATCH_UP_MS: u64 = 4_500;
/// One in this many delays between overlapping faults lasts until the cluster has had time to converge.
const CATCH_UP_ONE_IN: u64 = 12;

/// An action that ends a fault.
#[derive(Debug)]
enum Recovery {
    Start(usize),
    Stop(usize),
    UnblockLink(usize, usize),
    NormalDisk(usize),
    NormalNetwork,
    /// Starts a new machine that replaces another one.
    Install(usize),
    /// Removes a machine with its disk permanently.
    Remove(usize),
}

/// Random numbers below this one select the kind of a fault (see [`FaultKind::of`]).
const FAULT_KINDS: u64 = 14;
/// Same as [`FAULT_KINDS`], for faults that overlap.
const OVERLAPPING_FAULT_KINDS: u64 = 18;

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    Kill,
    KillAll,
    Freeze,
    BlockDirection,
    BlockLink,
    Partition,
    SlowDisk,
    DegradedNetwork,
    PlannedStop,
    LoseDisk,
    Replace,
    PartitionIntoHalves,
}

impl FaultKind {
    /// Returns the kind selected by a random number; kinds with several numbers are more frequent.
    fn of(number: u64) -> FaultKind {
        match number {
            0 | 1 => FaultKind::Kill,
            2 => FaultKind::KillAll,
            3 | 4 => FaultKind::Freeze,
            5 => FaultKind::BlockDirection,
            6 => FaultKind::BlockLink,
            7 => FaultKind::Partition,
            8 | 9 => FaultKind::SlowDisk,
            10 => FaultKind::DegradedNetwork,
            11 => FaultKind::PlannedStop,
            14 | 15 => FaultKind::Replace,
            16 => FaultKind::PartitionIntoHalves,
            _ => FaultKind::LoseDisk,
        }
    }
}

/// A recovery and the time at which it is due.
#[derive(Debug)]
struct Due {
    due_ms: u64,
    recovery: Recovery,
}

/// A generator of faults.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    recoveries: Vec<Due>,
    faultless_from_ms: u64,
    /// Whether disks may be lost and machines replaced while other faults last.
    overlapping: bool,
    /// Whether a disk has been lost or a machine replaced, and the cluster has had no time since then to catch up.
    disk_lost: bool,
}

impl Faults {
    /// Creates a generator of overlapping faults, within the limits documented for operators: no more disks are lost
    /// than tolerated.
    pub(crate) fn overlapping() -> Faults {
        Faults {
            overlapping: true,
            ..Faults::default()
        }
    }

    /// Injects faults until `until_ms`, then waits for the cluster to catch up and ends all faults.
    pub(crate) fn run(&mut self, cluster: &mut Cluster, until_ms: u64, submit_interval_ms: u64) {
        while cluster.now_ms < until_ms {
            let next_delay_ms = self.next_delay_ms(cluster);
            self.run_until(
                cluster,
                (cluster.now_ms + next_delay_ms).min(until_ms),
                submit_interval_ms,
            );
            self.disk_lost &= cluster.now_ms < self.faultless_from_ms + CATCH_UP_MS;
            self.inject(cluster);
        }
        self.run_until(cluster, until_ms + CATCH_UP_MS, submit_interval_ms);
        self.end(cluster);
    }

    fn next_delay_ms(&self, cluster: &mut Cluster) -> u64 {
        if !self.overlapping {
            return 100 + cluster.random_below(1_500);
        }
        if cluster.random_below(CATCH_UP_ONE_IN) > 0 {
            return 5 + cluster.random_below(1_200);
        }
        (self.faultless_from_ms + CATCH_UP_MS).saturating_sub(cluster.now_ms) + 10
    }

    fn end(&mut self, cluster: &mut Cluster) {
        for due in std::mem::take(&mut self.recoveries) {
            recover(cluster, &due.recovery);
        }
        cluster.unblock_all();
        for node in cluster.present() {
            if cluster.nodes[node].replica.is_none() {
                cluster.start(node, false);
            }
        }
    }

    fn run_until(&mut self, cluster: &mut Cluster, until_ms: u64, submit_interval_ms: u64) {
        while cluster.now_ms < until_ms {
            let next = self
                .recoveries
                .iter()
                .map(|due| due.due_ms)
                .min()
                .unwrap_or(until_ms);
            cluster.run(next.clamp(cluster.now_ms, until_ms), submit_interval_ms);
            let due: Vec<Due> = self
                .recoveries
                .extract_if(.., |due| due.due_ms <= cluster.now_ms)
                .collect();
            due.iter().for_each(|due| recover(cluster, &due.recovery));
        }
    }

    fn schedule_recovery(&mut self, cluster: &Cluster, delay_ms: u64, recovery: Recovery) {
        let due_ms = cluster.now_ms + delay_ms;
        self.faultless_from_ms = self.faultless_from_ms.max(due_ms);
        self.recoveries.push(Due { due_ms, recovery });
    }

    fn inject(&mut self, cluster: &mut Cluster) {
        let present_nodes = cluster.present();
        let count = present_nodes.len() as u64;
        let first_index = cluster.random_below(count) as usize;
        let second_index =
            (first_index + 1 + cluster.random_below(count - 1) as usize) % count as usize;
        let (node, other_node) = (present_nodes[first_index], present_nodes[second_index]);
        let duration_ms = 200 + cluster.random_below(4_000);
        let kinds = if self.overlapping {
            OVERLAPPING_FAULT_KINDS
        } else {
            FAULT_KINDS
        };
        match FaultKind::of(cluster.random_below(kinds)) {
            FaultKind::Kill => self.kill(cluster, node, 100 + duration_ms / 3),
            FaultKind::KillAll => present_nodes.into_iter().for_each(|node| {
                let duration_ms = 300 + cluster.random_below(2_000);
                self.kill(cluster, node, duration_ms);
            }),
            FaultKind::Freeze => {
                cluster.freeze(node, duration_ms);
                self.faultless_from_ms = self.faultless_from_ms.max(cluster.now_ms + duration_ms);
            }
            FaultKind::BlockDirection => self.block_link(cluster, node, other_node, duration_ms),
            FaultKind::BlockLink => {
                self.block_link(cluster, node, other_node, duration_ms);
                self.block_link(cluster, other_node, node, duration_ms);
            }
            FaultKind::Partition => self.partition(cluster, duration_ms),
            FaultKind::SlowDisk => self.slow_disk(cluster, node, duration_ms),
            FaultKind::DegradedNetwork => self.degrade_network(cluster, duration_ms),
            FaultKind::PlannedStop => self.planned_stop(cluster, node, duration_ms),
            FaultKind::LoseDisk => self.lose_disk(cluster, node),
            FaultKind::Replace => self.replace(cluster, node),
            FaultKind::PartitionIntoHalves => self.partition_into_halves(cluster, duration_ms),
        }
    }

    fn kill(&mut self, cluster: &mut Cluster, node: usize, duration_ms: u64) {
        if cluster.nodes[node].replica.is_some() {
            cluster.stop(node);
            self.schedule_recovery(cluster, duration_ms, Recovery::Start(node));
        }
    }

    fn block_link(&mut self, cluster: &mut Cluster, from: usize, to: usize, duration_ms: u64) {
        cluster.log_event(&format!("block {from} -> {to} for {duration_ms}"));
        cluster.block_link(from, to);
        self.schedule_recovery(cluster, duration_ms, Recovery::UnblockLink(from, to));
    }

    fn partition(&mut self, cluster: &mut Cluster, duration_ms: u64) {
        let count = cluster.nodes.len();
        let sides: Vec<bool> = (0..count).map(|_| cluster.random_below(2) == 0).collect();
        self.partition_by_side(cluster, &sides, duration_ms);
    }

    /// Partitions the machines into two halves that are as equal as possible.
    fn partition_into_halves(&mut self, cluster: &mut Cluster, duration_ms: u64) {
        let first = cluster.random_below(2) == 0;
        let mut sides = vec![first; cluster.nodes.len()];
        for (position, node) in cluster.present().into_iter().enumerate() {
            sides[node] = (position % 2 == 0) == first;
        }
        self.partition_by_side(cluster, &sides, duration_ms);
    }

    fn partition_by_side(&mut self, cluster: &mut Cluster, sides: &[bool], duration_ms: u64) {
        let present = cluster.present();
        for &from in &present {
            for &to in present.iter().filter(|&&to| sides[from] != sides[to]) {
                self.block_link(cluster, from, to, duration_ms);
            }
        }
    }

    fn slow_disk(&mut self, cluster: &mut Cluster, node: usize, duration_ms: u64) {
        let fault = cluster.random_below(4) as usize;
        cluster.log_event(&format!("disk fault {fault} at {node} for {duration_ms}"));
        cluster.nodes[node].disk_ms = [100, 400, 1_500, 9][fault];
        cluster.nodes[node].disk_fails_stores = fault == 3;
        self.schedule_recovery(cluster, duration_ms, Recovery::NormalDisk(node));
    }

    fn degrade_network(&mut self, cluster: &mut Cluster, duration_ms: u64) {
        cluster.log_event(&format!("degraded network for {duration_ms}"));
        cluster.loss_percent = cluster.random_below(40);
        cluster.duplicate_percent = if self.overlapping {
            cluster.random_below(30)
        } else {
            0
        };
        cluster.delay_spread_ms = 1 + cluster.random_below(300);
        self.schedule_recovery(cluster, duration_ms, Recovery::NormalNetwork);
    }

    fn planned_stop(&mut self, cluster: &mut Cluster, node: usize, duration_ms: u64) {
        if cluster.nodes[node].replica.is_some() {
            cluster.step_down(node);
            self.schedule_recovery(cluster, 800, Recovery::Stop(node));
            self.schedule_recovery(cluster, 900 + duration_ms, Recovery::Start(node));
        }
    }

    /// Loses one disk, if there has been enough time without faults; sometimes all other machines lose power at the
    /// same moment.
    fn lose_disk(&mut self, cluster: &mut Cluster, node: usize) {
        if self.overlapping {
            self.lose_disk_while_overlapping(cluster, node);
            return;
        }
        let catch_up_end_ms = self.faultless_from_ms + CATCH_UP_MS;
        if cluster.now_ms < catch_up_end_ms {
            return;
        }
        cluster.wipe(node);
        let restart_delay_ms = 100 + cluster.random_below(1_500);
        self.schedule_recovery(cluster, restart_delay_ms, Recovery::Start(node));
        if cluster.random_below(2) == 0 {
            self.kill_others(cluster, node);
        }
        let until_ms = self.faultless_from_ms + CATCH_UP_MS;
        self.run_until(cluster, until_ms, 20);
    }

    fn kill_others(&mut self, cluster: &mut Cluster, node: usize) {
        for other in cluster.present().into_iter().filter(|&other| other != node) {
            let restart_delay_ms = 300 + cluster.random_below(1_500);
            self.kill(cluster, other, restart_delay_ms);
        }
    }

    /// Loses a disk while other faults last, unless the cluster may not have caught up since an earlier loss.
    fn lose_disk_while_overlapping(&mut self, cluster: &mut Cluster, node: usize) {
        if self.disk_lost {
            return;
        }
        self.disk_lost = true;
        cluster.wipe(node);
        let restart_delay_ms = 100 + cluster.random_below(4_000);
        self.schedule_recovery(cluster, restart_delay_ms, Recovery::Start(node));
        if cluster.random_below(3) == 0 {
            self.kill_others(cluster, node);
        }
    }

    /// Replaces a machine by one at another address. Either the new machine starts first or the old one stops first,
    /// with or without a planned stop.
    fn replace(&mut self, cluster: &mut Cluster, node: usize) {
        if self.disk_lost {
            return;
        }
        let Some(new_node) = cluster.next_spare() else {
            return;
        };
        self.disk_lost = true;
        let (starts_new_first, is_planned) =
            (cluster.random_below(2) == 0, cluster.random_below(2) == 0);
        let gap_ms = cluster.random_below(3_000);
        cluster.log_event(&format!(
            "replace {node} by {new_node}, new first {starts_new_first}, planned {is_planned}, gap {gap_ms}"
        ));
        let leave_delay_ms = if starts_new_first { gap_ms } else { 0 };
        if is_planned && leave_delay_ms == 0 {
            cluster.step_down(node);
        }
        let stop_delay_ms = if is_planned {
            leave_delay_ms + 800
        } else {
            leave_delay_ms
        };
        self.schedule_recovery(cluster, stop_delay_ms, Recovery::Remove(node));
        let install_delay_ms = if starts_new_first {
            0
        } else {
            stop_delay_ms + gap_ms
        };
        self.schedule_recovery(cluster, install_delay_ms, Recovery::Install(new_node));
    }
}

fn recover(cluster: &mut Cluster, recovery: &Recovery) {
    cluster.log_event(&format!("{recovery:?}"));
    match *recovery {
        Recovery::Start(node)
            if cluster.is_present(node) && cluster.nodes[node].replica.is_none() =>
        {
            cluster.start(node, false);
        }
        Recovery::Start(_) => {}
        Recovery::Install(node) => cluster.install(node),
        Recovery::Remove(node) => cluster.remove(node),
        Recovery::Stop(node) => cluster.stop(node),
        Recovery::UnblockLink(from, to) => {
            cluster.unblock_link(from, to);
        }
        Recovery::NormalDisk(node) => {
            cluster.nodes[node].disk_ms = 9;
            cluster.nodes[node].disk_fails_stores = false;
        }
        Recovery::NormalNetwork => {
            cluster.loss_percent = 0;
            cluster.duplicate_percent = 0;
            cluster.delay_spread_ms = 3;
        }
    }
}
