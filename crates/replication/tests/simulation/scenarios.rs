//! One trouble at a time, and how soon the cluster is at work again.

use super::world::World;
use super::{EVERY_MS, started};
use rstest::rstest;

const SEEDS: u64 = 30;

/// Longest time without a committed write from `from_ms` on, while the cluster runs for `for_ms`.
fn longest_gap_ms(world: &mut World, for_ms: u64) -> u64 {
    let until_ms = world.now_ms + for_ms;
    let mut longest_ms = 0;
    let mut last_ms = world.now_ms;
    while world.now_ms < until_ms {
        let next_ms = world.now_ms + EVERY_MS;
        world.run(next_ms, EVERY_MS);
        if world.last_commit_ms > last_ms {
            longest_ms = longest_ms.max(world.last_commit_ms - last_ms);
            last_ms = world.last_commit_ms;
        }
    }
    longest_ms.max(until_ms - last_ms)
}

fn head(world: &World) -> usize {
    world.acting().expect("a head acts")
}

/// A member that is not the head.
fn follower(world: &World) -> usize {
    (head(world) + 1) % world.nodes.len()
}

fn all(world: &World) -> Vec<usize> {
    (0..world.nodes.len()).collect()
}

#[rstest]
fn another_member_leads_soon_after_the_head_has_died(#[values(3, 4, 5)] machines: usize) {
    for seed in 0..SEEDS {
        let mut world = started(seed, machines);
        let head = head(&world);
        world.stop(head);
        let gap_ms = longest_gap_ms(&mut world, 3_000);
        assert!(gap_ms <= 2_000, "seed {seed}: no write for {gap_ms} ms");
        world.start(head, false);
        world.run(world.now_ms + 6_000, EVERY_MS);
        world.check_whole(&all(&world));
    }
}

/// The head stands as soon as it is back, and voters that were started again need not wait for a lease of its own.
#[rstest]
fn after_all_were_killed_together_the_same_head_acts_at_once(#[values(3, 4, 5)] machines: usize) {
    for seed in 0..SEEDS {
        let mut world = started(seed, machines);
        let former = head(&world);
        all(&world).into_iter().for_each(|node| world.stop(node));
        world.run(world.now_ms + 500, EVERY_MS);
        all(&world)
            .into_iter()
            .for_each(|node| world.start(node, false));
        let gap_ms = longest_gap_ms(&mut world, 3_000);
        assert!(gap_ms <= 250, "seed {seed}: no write for {gap_ms} ms");
        assert_eq!(
            world.gained.last().map(|(_, node, _)| *node),
            Some(former),
            "seed {seed}"
        );
        world.check_whole(&all(&world));
    }
}

/// A head that was succeeded while it was down stands again beside voters that were started again: only those whose
/// disks still have its view support it, and that is no majority.
#[rstest]
fn a_succeeded_head_that_stands_again_is_not_followed(#[values(3, 5)] machines: usize) {
    for seed in 0..SEEDS {
        let mut world = started(seed, machines);
        let former = head(&world);
        world.stop(former);
        world.run(world.now_ms + 2_500, EVERY_MS);
        let present = head(&world);
        all(&world)
            .into_iter()
            .filter(|node| *node != present)
            .for_each(|node| world.stop(node));
        all(&world)
            .into_iter()
            .filter(|node| *node != present)
            .for_each(|node| world.start(node, false));
        let gap_ms = longest_gap_ms(&mut world, 3_000);
        assert!(gap_ms <= 1_500, "seed {seed}: no write for {gap_ms} ms");
        world.check_whole(&all(&world));
    }
}

#[rstest]
fn a_planned_stop_of_the_head_costs_little(#[values(3, 4)] machines: usize) {
    for seed in 0..SEEDS {
        let mut world = started(seed, machines);
        let head = head(&world);
        world.step_down(head);
        let gap_ms = longest_gap_ms(&mut world, 800);
        assert!(gap_ms <= 400, "seed {seed}: no write for {gap_ms} ms");
        world.stop(head);
        let gap_ms = longest_gap_ms(&mut world, 3_000);
        assert!(
            gap_ms <= 200,
            "seed {seed}: no write for {gap_ms} ms after the stop"
        );
    }
}

#[test]
fn a_planned_stop_of_another_member_costs_little() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let member = follower(&world);
        world.step_down(member);
        let gap_ms = longest_gap_ms(&mut world, 600);
        assert!(gap_ms <= 200, "seed {seed}: no write for {gap_ms} ms");
        world.stop(member);
        let gap_ms = longest_gap_ms(&mut world, 3_000);
        assert!(
            gap_ms <= 100,
            "seed {seed}: no write for {gap_ms} ms after the stop"
        );
    }
}

#[test]
fn a_member_that_dies_is_left_out_of_the_chain() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let member = follower(&world);
        world.stop(member);
        let gap_ms = longest_gap_ms(&mut world, 4_000);
        assert!(gap_ms <= 1_500, "seed {seed}: no write for {gap_ms} ms");
        world.start(member, false);
        world.run(world.now_ms + 5_000, EVERY_MS);
        world.check_whole(&all(&world));
    }
}

#[test]
fn a_member_with_a_hanging_disk_is_left_out_and_comes_back() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let member = follower(&world);
        world.nodes[member].disk_ms = 4_000;
        let gap_ms = longest_gap_ms(&mut world, 4_000);
        assert!(gap_ms <= 1_200, "seed {seed}: no write for {gap_ms} ms");
        world.nodes[member].disk_ms = 9;
        world.run(world.now_ms + 12_000, EVERY_MS);
        world.check_whole(&all(&world));
    }
}

#[test]
fn a_head_with_a_hanging_disk_hands_its_role_over() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let head = head(&world);
        world.nodes[head].disk_ms = 5_000;
        let gap_ms = longest_gap_ms(&mut world, 4_000);
        assert!(gap_ms <= 1_500, "seed {seed}: no write for {gap_ms} ms");
        assert_ne!(world.acting(), Some(head), "seed {seed}");
    }
}

/// A disk that is slow, not hanging: every write would wait for it for as long as it is in the chain.
#[rstest]
#[case::of_the_head(0)]
#[case::of_the_next_in_the_chain(1)]
fn a_slow_disk_holds_writes_up_for_a_moment_only(#[case] offset: usize) {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let slow = (head(&world) + offset) % world.nodes.len();
        world.nodes[slow].disk_ms = 250;
        let gap_ms = longest_gap_ms(&mut world, 1_200);
        assert!(gap_ms <= 800, "seed {seed}: no write for {gap_ms} ms");
        let gap_ms = longest_gap_ms(&mut world, 700);
        assert!(
            gap_ms <= 200,
            "seed {seed}: no write for {gap_ms} ms while the disk is still slow"
        );
        world.nodes[slow].disk_ms = 9;
        world.run(world.now_ms + 12_000, EVERY_MS);
        world.check_whole(&all(&world));
    }
}

#[test]
fn full_disks_refuse_writes_and_take_them_again_later() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let head = head(&world);
        world
            .nodes
            .iter_mut()
            .for_each(|node| node.disk_refuses = true);
        world.run(world.now_ms + 5_000, EVERY_MS);
        assert!(world.refused > 100, "{} writes were refused", world.refused);
        assert_eq!(
            world.acting(),
            Some(head),
            "the head goes on with what it has"
        );
        world
            .nodes
            .iter_mut()
            .for_each(|node| node.disk_refuses = false);
        let gap_ms = longest_gap_ms(&mut world, 2_000);
        assert!(gap_ms <= 700, "seed {seed}: no write for {gap_ms} ms");
        world.check_kept(head);
    }
}

#[test]
fn a_frozen_head_is_succeeded_and_does_not_act_when_it_wakes() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let head = head(&world);
        world.freeze(head, 4_000);
        let gap_ms = longest_gap_ms(&mut world, 3_500);
        assert!(gap_ms <= 2_200, "seed {seed}: no write for {gap_ms} ms");
        let gap_ms = longest_gap_ms(&mut world, 4_000);
        assert!(
            gap_ms <= 300,
            "seed {seed}: no write for {gap_ms} ms around the waking"
        );
        world.check_whole(&all(&world));
    }
}

#[test]
fn two_members_cut_from_each_other_do_not_stop_the_cluster() {
    for seed in 0..SEEDS {
        for with_head in [false, true] {
            let mut world = started(seed, 3);
            let head = head(&world);
            let (a, b) = if with_head {
                (head, (head + 1) % 3)
            } else {
                ((head + 1) % 3, (head + 2) % 3)
            };
            world.cut_both(a, b);
            let gap_ms = longest_gap_ms(&mut world, 8_000);
            assert!(
                gap_ms <= 2_200,
                "seed {seed}, with head {with_head}: no write for {gap_ms} ms"
            );
            world.cut.clear();
            world.run(world.now_ms + 12_000, EVERY_MS);
            world.check_whole(&all(&world));
        }
    }
}

#[test]
fn a_head_that_hears_nobody_is_succeeded() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let head = head(&world);
        for other in (0..3).filter(|&other| other != head) {
            world.cut.insert((other, head));
        }
        let gap_ms = longest_gap_ms(&mut world, 7_000);
        assert!(gap_ms <= 4_500, "seed {seed}: no write for {gap_ms} ms");
    }
}

#[test]
fn a_head_cut_off_is_succeeded() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let head = head(&world);
        for other in (0..3).filter(|&other| other != head) {
            world.cut_both(other, head);
        }
        let gap_ms = longest_gap_ms(&mut world, 4_000);
        assert!(gap_ms <= 2_200, "seed {seed}: no write for {gap_ms} ms");
        world.cut.clear();
        world.run(world.now_ms + 5_000, EVERY_MS);
        world.check_whole(&all(&world));
    }
}

#[rstest]
fn the_cluster_goes_on_after_all_have_lost_power(#[values(3, 4, 5)] machines: usize) {
    for seed in 0..SEEDS {
        let mut world = started(seed, machines);
        let members = all(&world);
        members.iter().for_each(|&member| world.stop(member));
        world.run(world.now_ms + 500, EVERY_MS);
        members
            .iter()
            .for_each(|&member| world.start(member, false));
        let gap_ms = longest_gap_ms(&mut world, 3_000);
        assert!(gap_ms <= 2_300, "seed {seed}: no write for {gap_ms} ms");
        world.run(world.now_ms + 4_000, EVERY_MS);
        world.check_whole(&members);
    }
}

#[rstest]
fn writes_survive_a_lost_disk_while_all_others_lose_power(#[values(3, 4, 5)] machines: usize) {
    for seed in 0..2 * SEEDS {
        let mut world = started(seed, machines);
        let wiped = seed as usize % machines;
        world.wipe(wiped);
        let others: Vec<usize> = all(&world)
            .into_iter()
            .filter(|&other| other != wiped)
            .collect();
        others.iter().for_each(|&other| world.stop(other));
        world.run(world.now_ms + 300, EVERY_MS);
        all(&world)
            .into_iter()
            .for_each(|member| world.start(member, false));
        let gap_ms = longest_gap_ms(&mut world, 3_500);
        assert!(gap_ms <= 2_500, "seed {seed}: no write for {gap_ms} ms");
        world.run(world.now_ms + 6_000, EVERY_MS);
        world.check_whole(&all(&world));
    }
}

/// Machines are replaced one after the other, by ones at other addresses. Then all lose power, and come back with the
/// first machines as their seeds.
#[test]
fn machines_are_replaced_until_no_seed_is_left() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 6, 3);
        (0..3).for_each(|member| world.start(member, true));
        world.run(4_000, EVERY_MS);
        for (old, new) in [(0, 3), (1, 4), (2, 5)] {
            world.stop(old);
            world.run(world.now_ms + 500, EVERY_MS);
            world.seeds = (old + 1..new).collect();
            world.start(new, false);
            world.run(world.now_ms + 8_000, EVERY_MS);
        }
        world.check_whole(&[3, 4, 5]);
        [3, 4, 5].into_iter().for_each(|member| world.stop(member));
        world.seeds = vec![0, 1, 2];
        world.run(world.now_ms + 500, EVERY_MS);
        [3, 4, 5]
            .into_iter()
            .for_each(|member| world.start(member, false));
        world.run(world.now_ms + 6_000, EVERY_MS);
        world.check_whole(&[3, 4, 5]);
    }
}

/// The world checks at each step that no two heads act.
#[test]
fn voters_that_start_again_respect_the_lease_that_they_had_granted() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let head = head(&world);
        let others: Vec<usize> = (0..3).filter(|&other| other != head).collect();
        others.iter().for_each(|&other| world.cut_both(other, head));
        others.iter().for_each(|&other| world.stop(other));
        others.iter().for_each(|&other| world.start(other, false));
        let gap_ms = longest_gap_ms(&mut world, 3_000);
        assert!(gap_ms <= 2_200, "seed {seed}: no write for {gap_ms} ms");
        assert_ne!(world.acting(), Some(head), "seed {seed}");
    }
}

/// Runs until the head has had a new view agreed.
fn run_until_next_view(world: &mut World, head: usize, former: u64) {
    let agreed = |world: &World| {
        let view = world.nodes[head]
            .replica
            .as_ref()
            .and_then(|replica| replica.accepted_view());
        view.is_some_and(|(view, agreed)| agreed && view.number > former)
    };
    let until_ms = world.now_ms + 3_000;
    while !agreed(world) && world.now_ms < until_ms {
        world.run(world.now_ms + 1, EVERY_MS);
    }
}

/// A view is agreed by two of three while the third is cut off; then the second loses its disk before it has taken over
/// the view, and the third is back. The head has a majority, and goes on with the third.
#[test]
fn a_chain_that_lost_a_member_before_it_took_over_goes_on_with_another() {
    for seed in 0..SEEDS {
        let mut world = started(seed, 3);
        let head = head(&world);
        let (lost, third) = ((head + 1) % 3, (head + 2) % 3);
        let former = world.nodes[head]
            .replica
            .as_ref()
            .map_or(0, |replica| replica.view());
        [head, lost]
            .into_iter()
            .for_each(|other| world.cut_both(other, third));
        world.stop(head);
        world.start(head, false);
        run_until_next_view(&mut world, head, former);
        world.wipe(lost);
        world.cut.clear();
        let gap_ms = longest_gap_ms(&mut world, 10_000);
        assert!(
            gap_ms <= 3_000,
            "seed {seed}: no write for {gap_ms} ms\n{}",
            world.describe()
        );
    }
}
