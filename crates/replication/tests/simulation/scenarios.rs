//! Tests of single faults and of the time until writes are committed again.

use super::cluster::Cluster;
use super::{SUBMIT_INTERVAL_MS, started_cluster};
use indigofold_replication::{Replica, ViewNumber};
use rstest::rstest;

const SEEDS: u64 = 30;

/// Runs the cluster for `duration_ms` and returns the longest time without a committed write.
fn longest_gap_ms(cluster: &mut Cluster, duration_ms: u64) -> u64 {
    let until_ms = cluster.now_ms + duration_ms;
    let mut longest_ms = 0;
    let mut last_ms = cluster.now_ms;
    while cluster.now_ms < until_ms {
        let next_ms = cluster.now_ms + SUBMIT_INTERVAL_MS;
        cluster.run(next_ms, SUBMIT_INTERVAL_MS);
        if cluster.last_commit_ms > last_ms {
            longest_ms = longest_ms.max(cluster.last_commit_ms - last_ms);
            last_ms = cluster.last_commit_ms;
        }
    }
    longest_ms.max(until_ms - last_ms)
}

/// Runs the cluster for `duration_ms` and checks that no time without a committed write is longer than `max_gap_ms`.
#[track_caller]
fn assert_write_gap(cluster: &mut Cluster, seed: u64, duration_ms: u64, max_gap_ms: u64) {
    let gap_ms = longest_gap_ms(cluster, duration_ms);
    assert!(
        gap_ms <= max_gap_ms,
        "seed {seed}: no committed write for {gap_ms} ms\n{}",
        cluster.describe()
    );
}

fn head(cluster: &Cluster) -> usize {
    cluster.acting().expect("a member acts as the head")
}

/// Returns a member that is not the head.
fn follower(cluster: &Cluster) -> usize {
    (head(cluster) + 1) % cluster.nodes.len()
}

fn all_nodes(cluster: &Cluster) -> Vec<usize> {
    (0..cluster.nodes.len()).collect()
}

#[rstest]
fn another_member_leads_soon_after_the_head_dies(#[values(3, 4, 5)] machines: usize) {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, machines);
        let head = head(&cluster);
        cluster.stop(head);
        assert_write_gap(&mut cluster, seed, 3_000, 2_000);
        cluster.start(head, false);
        cluster.run(cluster.now_ms + 6_000, SUBMIT_INTERVAL_MS);
        cluster.check_converged(&all_nodes(&cluster));
    }
}

/// The head campaigns as soon as it has restarted, and restarted voters need not wait for a lease granted to that same
/// head.
#[rstest]
fn the_same_head_resumes_at_once_after_all_were_killed(#[values(3, 4, 5)] machines: usize) {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, machines);
        let former_head = head(&cluster);
        all_nodes(&cluster)
            .into_iter()
            .for_each(|node| cluster.stop(node));
        cluster.run(cluster.now_ms + 500, SUBMIT_INTERVAL_MS);
        all_nodes(&cluster)
            .into_iter()
            .for_each(|node| cluster.start(node, false));
        assert_write_gap(&mut cluster, seed, 3_000, 250);
        assert_eq!(
            cluster.heads_gained.last().map(|gained| gained.node),
            Some(former_head),
            "seed {seed}"
        );
        cluster.check_converged(&all_nodes(&cluster));
    }
}

/// A head that was superseded while it was down campaigns among restarted voters. Only voters whose disks still have
/// its view vote for it, and they are no majority.
#[rstest]
fn a_superseded_head_is_not_elected(#[values(3, 5)] machines: usize) {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, machines);
        let former_head = head(&cluster);
        cluster.stop(former_head);
        cluster.run(cluster.now_ms + 2_500, SUBMIT_INTERVAL_MS);
        let new_head = head(&cluster);
        all_nodes(&cluster)
            .into_iter()
            .filter(|node| *node != new_head)
            .for_each(|node| cluster.stop(node));
        all_nodes(&cluster)
            .into_iter()
            .filter(|node| *node != new_head)
            .for_each(|node| cluster.start(node, false));
        assert_write_gap(&mut cluster, seed, 3_000, 1_500);
        cluster.check_converged(&all_nodes(&cluster));
    }
}

#[rstest]
fn a_planned_stop_of_the_head_interrupts_writes_briefly(#[values(3, 4)] machines: usize) {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, machines);
        let head = head(&cluster);
        cluster.step_down(head);
        assert_write_gap(&mut cluster, seed, 800, 400);
        cluster.stop(head);
        assert_write_gap(&mut cluster, seed, 3_000, 200);
    }
}

#[test]
fn a_planned_stop_of_a_follower_interrupts_writes_briefly() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let member = follower(&cluster);
        cluster.step_down(member);
        assert_write_gap(&mut cluster, seed, 600, 200);
        cluster.stop(member);
        assert_write_gap(&mut cluster, seed, 3_000, 100);
    }
}

#[test]
fn a_dead_member_is_excluded_from_the_chain() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let member = follower(&cluster);
        cluster.stop(member);
        assert_write_gap(&mut cluster, seed, 4_000, 1_500);
        cluster.start(member, false);
        cluster.run(cluster.now_ms + 5_000, SUBMIT_INTERVAL_MS);
        cluster.check_converged(&all_nodes(&cluster));
    }
}

#[test]
fn a_member_with_a_hanging_disk_is_excluded_and_rejoins() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let member = follower(&cluster);
        cluster.nodes[member].disk_ms = 4_000;
        assert_write_gap(&mut cluster, seed, 4_000, 1_200);
        cluster.nodes[member].disk_ms = 9;
        cluster.run(cluster.now_ms + 12_000, SUBMIT_INTERVAL_MS);
        cluster.check_converged(&all_nodes(&cluster));
    }
}

#[test]
fn a_head_with_a_hanging_disk_transfers_its_leadership() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let head = head(&cluster);
        cluster.nodes[head].disk_ms = 5_000;
        assert_write_gap(&mut cluster, seed, 4_000, 1_500);
        assert_ne!(cluster.acting(), Some(head), "seed {seed}");
    }
}

/// A disk is slow but does not hang: every write waits for it while its member is in the chain.
#[rstest]
#[case::of_the_head(0)]
#[case::of_the_next_in_the_chain(1)]
fn a_slow_disk_slows_writes_only_briefly(#[case] offset: usize) {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let slow_node = (head(&cluster) + offset) % cluster.nodes.len();
        cluster.nodes[slow_node].disk_ms = 250;
        assert_write_gap(&mut cluster, seed, 1_200, 800);
        assert_write_gap(&mut cluster, seed, 700, 200);
        cluster.nodes[slow_node].disk_ms = 9;
        cluster.run(cluster.now_ms + 12_000, SUBMIT_INTERVAL_MS);
        cluster.check_converged(&all_nodes(&cluster));
    }
}

#[test]
fn writes_are_rejected_while_disks_are_full_and_accepted_afterwards() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let head = head(&cluster);
        cluster
            .nodes
            .iter_mut()
            .for_each(|node| node.disk_fails_stores = true);
        cluster.run(cluster.now_ms + 5_000, SUBMIT_INTERVAL_MS);
        assert!(
            cluster.rejected > 100,
            "{} writes were rejected, expected more than 100",
            cluster.rejected
        );
        assert_eq!(
            cluster.acting(),
            Some(head),
            "the head stopped acting while no disk could store"
        );
        cluster
            .nodes
            .iter_mut()
            .for_each(|node| node.disk_fails_stores = false);
        assert_write_gap(&mut cluster, seed, 2_000, 700);
        cluster.check_committed_rows(head);
    }
}

#[test]
fn a_frozen_head_is_superseded_and_does_not_act_after_it() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let head = head(&cluster);
        cluster.freeze(head, 4_000);
        assert_write_gap(&mut cluster, seed, 3_500, 2_200);
        assert_write_gap(&mut cluster, seed, 4_000, 300);
        cluster.check_converged(&all_nodes(&cluster));
    }
}

#[test]
fn a_partition_between_two_members_does_not_stop_writes() {
    for seed in 0..SEEDS {
        for with_head in [false, true] {
            let mut cluster = started_cluster(seed, 3);
            let head = head(&cluster);
            let (a, b) = if with_head {
                (head, (head + 1) % 3)
            } else {
                ((head + 1) % 3, (head + 2) % 3)
            };
            cluster.block_both(a, b);
            let gap_ms = longest_gap_ms(&mut cluster, 8_000);
            assert!(
                gap_ms <= 2_200,
                "seed {seed}, with head {with_head}: no committed write for {gap_ms} ms"
            );
            cluster.unblock_all();
            cluster.run(cluster.now_ms + 12_000, SUBMIT_INTERVAL_MS);
            cluster.check_converged(&all_nodes(&cluster));
        }
    }
}

#[test]
fn a_head_that_receives_nothing_is_superseded() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let head = head(&cluster);
        for other in (0..3).filter(|&other| other != head) {
            cluster.block_link(other, head);
        }
        assert_write_gap(&mut cluster, seed, 7_000, 4_500);
    }
}

#[test]
fn a_partitioned_head_is_superseded() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let head = head(&cluster);
        for other in (0..3).filter(|&other| other != head) {
            cluster.block_both(other, head);
        }
        assert_write_gap(&mut cluster, seed, 4_000, 2_200);
        cluster.unblock_all();
        cluster.run(cluster.now_ms + 5_000, SUBMIT_INTERVAL_MS);
        cluster.check_converged(&all_nodes(&cluster));
    }
}

#[rstest]
fn the_cluster_recovers_after_all_members_lose_power(#[values(3, 4, 5)] machines: usize) {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, machines);
        let members = all_nodes(&cluster);
        members.iter().for_each(|&member| cluster.stop(member));
        cluster.run(cluster.now_ms + 500, SUBMIT_INTERVAL_MS);
        members
            .iter()
            .for_each(|&member| cluster.start(member, false));
        assert_write_gap(&mut cluster, seed, 3_000, 2_300);
        cluster.run(cluster.now_ms + 4_000, SUBMIT_INTERVAL_MS);
        cluster.check_converged(&members);
    }
}

#[rstest]
fn committed_writes_survive_a_lost_disk_while_all_others_lose_power(
    #[values(3, 4, 5)] machines: usize,
) {
    for seed in 0..2 * SEEDS {
        let mut cluster = started_cluster(seed, machines);
        let wiped_node = seed as usize % machines;
        cluster.wipe(wiped_node);
        let other_nodes: Vec<usize> = all_nodes(&cluster)
            .into_iter()
            .filter(|&other| other != wiped_node)
            .collect();
        other_nodes.iter().for_each(|&other| cluster.stop(other));
        cluster.run(cluster.now_ms + 300, SUBMIT_INTERVAL_MS);
        all_nodes(&cluster)
            .into_iter()
            .for_each(|member| cluster.start(member, false));
        assert_write_gap(&mut cluster, seed, 3_500, 2_500);
        cluster.run(cluster.now_ms + 6_000, SUBMIT_INTERVAL_MS);
        cluster.check_converged(&all_nodes(&cluster));
    }
}

/// Machines are replaced one after the other by machines at other addresses. Then all lose power and restart with the
/// original machines as their seeds.
#[test]
fn machines_are_replaced_until_no_seed_is_left() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, 6, 3);
        (0..3).for_each(|member| cluster.start(member, true));
        cluster.run(4_000, SUBMIT_INTERVAL_MS);
        for (old_node, new_node) in [(0, 3), (1, 4), (2, 5)] {
            cluster.stop(old_node);
            cluster.run(cluster.now_ms + 500, SUBMIT_INTERVAL_MS);
            cluster.seeds = (old_node + 1..new_node).collect();
            cluster.start(new_node, false);
            cluster.run(cluster.now_ms + 8_000, SUBMIT_INTERVAL_MS);
        }
        cluster.check_converged(&[3, 4, 5]);
        [3, 4, 5]
            .into_iter()
            .for_each(|member| cluster.stop(member));
        cluster.seeds = vec![0, 1, 2];
        cluster.run(cluster.now_ms + 500, SUBMIT_INTERVAL_MS);
        [3, 4, 5]
            .into_iter()
            .for_each(|member| cluster.start(member, false));
        cluster.run(cluster.now_ms + 6_000, SUBMIT_INTERVAL_MS);
        cluster.check_converged(&[3, 4, 5]);
    }
}

/// Restarted voters must not elect a second head while the lease that they granted runs; the cluster checks at each
/// step that no two heads act.
#[test]
fn restarted_voters_respect_leases_granted_before() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let head = head(&cluster);
        let other_nodes: Vec<usize> = (0..3).filter(|&other| other != head).collect();
        other_nodes
            .iter()
            .for_each(|&other| cluster.block_both(other, head));
        other_nodes.iter().for_each(|&other| cluster.stop(other));
        other_nodes
            .iter()
            .for_each(|&other| cluster.start(other, false));
        assert_write_gap(&mut cluster, seed, 3_000, 2_200);
        assert_ne!(cluster.acting(), Some(head), "seed {seed}");
    }
}

/// Runs the cluster until the head leads an agreed view later than `former_view`, for at most 3 s.
fn run_until_next_view(cluster: &mut Cluster, head: usize, former_view: ViewNumber) {
    let has_next_view = |cluster: &Cluster| {
        let view = cluster.nodes[head]
            .replica
            .as_ref()
            .and_then(|replica| replica.accepted_view());
        view.is_some_and(|(view, agreed)| agreed && view.number > former_view)
    };
    let until_ms = cluster.now_ms + 3_000;
    while !has_next_view(cluster) && cluster.now_ms < until_ms {
        cluster.run(cluster.now_ms + 1, SUBMIT_INTERVAL_MS);
    }
}

/// Two of three members agree on a view while the third is partitioned. Then the second loses its disk before it has
/// taken over the view, and the third is reachable again. The head has a majority and continues with the third.
#[test]
fn a_chain_that_loses_a_member_before_it_is_synchronized_replaces_it() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 3);
        let head = head(&cluster);
        let (lost_node, third_node) = ((head + 1) % 3, (head + 2) % 3);
        let former_view = cluster.nodes[head]
            .replica
            .as_ref()
            .map_or(ViewNumber::NONE, Replica::view);
        [head, lost_node]
            .into_iter()
            .for_each(|other| cluster.block_both(other, third_node));
        cluster.stop(head);
        cluster.start(head, false);
        run_until_next_view(&mut cluster, head, former_view);
        cluster.wipe(lost_node);
        cluster.unblock_all();
        let gap_ms = longest_gap_ms(&mut cluster, 10_000);
        assert!(
            gap_ms <= 3_000,
            "seed {seed}: no committed write for {gap_ms} ms\n{}",
            cluster.describe()
        );
    }
}
