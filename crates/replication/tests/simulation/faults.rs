//! Random troubles, and their ends.

use super::world::World;

/// A machine's disk may be lost only after so long a calm, and nothing else may be in trouble for so long after it
/// (unless troubles overlap: then another disk may be lost only after such a calm).
const CATCH_UP_MS: u64 = 4_500;
/// One in so many pauses between overlapping troubles lasts until the cluster is whole again.
const CALM_ONE_IN: u64 = 12;

/// The end of a trouble.
#[derive(Debug)]
enum Relief {
    Start(usize),
    Stop(usize),
    Join(usize, usize),
    NormalDisk(usize),
    NormalNetwork,
    /// A machine is started for the first time, in the place of another.
    Install(usize),
    /// A machine is taken away for good, with its disk.
    Remove(usize),
}

/// A generator of troubles.
#[derive(Debug, Default)]
pub struct Faults {
    reliefs: Vec<(u64, Relief)>,
    calm_from_ms: u64,
    /// Troubles overlap: a disk is lost or a machine replaced whatever else is going on.
    overlapping: bool,
    /// A disk has been lost (or a machine replaced), and there has been no calm since in which it was made good.
    disk_lost: bool,
}

impl Faults {
    /// Troubles that overlap as far as the operators' pages allow: no more disks are lost than tolerated.
    pub fn overlapping() -> Faults {
        Faults {
            overlapping: true,
            ..Faults::default()
        }
    }

    /// Troubles until `until_ms`; then all of them end.
    pub fn run(&mut self, world: &mut World, until_ms: u64, every_ms: u64) {
        while world.now_ms < until_ms {
            let pause_ms = self.pause_ms(world);
            self.go_on(world, (world.now_ms + pause_ms).min(until_ms), every_ms);
            self.disk_lost &= world.now_ms < self.calm_from_ms + CATCH_UP_MS;
            self.trouble(world);
        }
        self.go_on(world, until_ms + CATCH_UP_MS, every_ms);
        self.end(world);
    }

    fn pause_ms(&self, world: &mut World) -> u64 {
        if !self.overlapping {
            return 100 + world.below(1_500);
        }
        if world.below(CALM_ONE_IN) > 0 {
            return 5 + world.below(1_200);
        }
        (self.calm_from_ms + CATCH_UP_MS).saturating_sub(world.now_ms) + 10
    }

    fn end(&mut self, world: &mut World) {
        for (_, relief) in std::mem::take(&mut self.reliefs) {
            relieve(world, &relief);
        }
        world.cut.clear();
        for node in world.present() {
            if world.nodes[node].replica.is_none() {
                world.start(node, false);
            }
        }
    }

    fn go_on(&mut self, world: &mut World, until_ms: u64, every_ms: u64) {
        while world.now_ms < until_ms {
            let next = self
                .reliefs
                .iter()
                .map(|(at, _)| *at)
                .min()
                .unwrap_or(until_ms);
            world.run(next.clamp(world.now_ms, until_ms), every_ms);
            let due: Vec<(u64, Relief)> = self
                .reliefs
                .extract_if(.., |(at, _)| *at <= world.now_ms)
                .collect();
            due.iter().for_each(|(_, relief)| relieve(world, relief));
        }
    }

    fn later(&mut self, world: &World, after_ms: u64, relief: Relief) {
        let at_ms = world.now_ms + after_ms;
        self.calm_from_ms = self.calm_from_ms.max(at_ms);
        self.reliefs.push((at_ms, relief));
    }

    fn trouble(&mut self, world: &mut World) {
        let present = world.present();
        let count = present.len() as u64;
        let first = world.below(count) as usize;
        let second = (first + 1 + world.below(count - 1) as usize) % count as usize;
        let (node, other) = (present[first], present[second]);
        let for_ms = 200 + world.below(4_000);
        let kinds = if self.overlapping { 18 } else { 14 };
        match world.below(kinds) {
            0 | 1 => self.kill(world, node, 100 + for_ms / 3),
            2 => present.into_iter().for_each(|node| {
                let for_ms = 300 + world.below(2_000);
                self.kill(world, node, for_ms);
            }),
            3 | 4 => {
                world.freeze(node, for_ms);
                self.calm_from_ms = self.calm_from_ms.max(world.now_ms + for_ms);
            }
            5 => self.cut(world, node, other, for_ms),
            6 => {
                self.cut(world, node, other, for_ms);
                self.cut(world, other, node, for_ms);
            }
            7 => self.part(world, for_ms),
            8 | 9 => self.slow_disk(world, node, for_ms),
            10 => self.poor_network(world, for_ms),
            11 => self.planned_stop(world, node, for_ms),
            14 | 15 => self.replace(world, node),
            16 => self.halves(world, for_ms),
            _ => self.lose_disk(world, node),
        }
    }

    fn kill(&mut self, world: &mut World, node: usize, for_ms: u64) {
        if world.nodes[node].replica.is_some() {
            world.stop(node);
            self.later(world, for_ms, Relief::Start(node));
        }
    }

    fn cut(&mut self, world: &mut World, from: usize, to: usize, for_ms: u64) {
        world.note(&format!("cut {from} -> {to} for {for_ms}"));
        world.cut.insert((from, to));
        self.later(world, for_ms, Relief::Join(from, to));
    }

    fn part(&mut self, world: &mut World, for_ms: u64) {
        let count = world.nodes.len();
        let sides: Vec<bool> = (0..count).map(|_| world.below(2) == 0).collect();
        self.separate(world, &sides, for_ms);
    }

    /// A cut into two halves, as even as they can be.
    fn halves(&mut self, world: &mut World, for_ms: u64) {
        let first = world.below(2) == 0;
        let mut sides = vec![first; world.nodes.len()];
        for (position, node) in world.present().into_iter().enumerate() {
            sides[node] = (position % 2 == 0) == first;
        }
        self.separate(world, &sides, for_ms);
    }

    fn separate(&mut self, world: &mut World, sides: &[bool], for_ms: u64) {
        let present = world.present();
        for &from in &present {
            for &to in present.iter().filter(|&&to| sides[from] != sides[to]) {
                self.cut(world, from, to, for_ms);
            }
        }
    }

    fn slow_disk(&mut self, world: &mut World, node: usize, for_ms: u64) {
        let choice = world.below(4) as usize;
        world.note(&format!("disk trouble {choice} at {node} for {for_ms}"));
        world.nodes[node].disk_ms = [100, 400, 1_500, 9][choice];
        world.nodes[node].disk_refuses = choice == 3;
        self.later(world, for_ms, Relief::NormalDisk(node));
    }

    fn poor_network(&mut self, world: &mut World, for_ms: u64) {
        world.note(&format!("poor network for {for_ms}"));
        world.loss_percent = world.below(40);
        world.repeat_percent = if self.overlapping { world.below(30) } else { 0 };
        world.delay_spread_ms = 1 + world.below(300);
        self.later(world, for_ms, Relief::NormalNetwork);
    }

    fn planned_stop(&mut self, world: &mut World, node: usize, for_ms: u64) {
        if world.nodes[node].replica.is_some() {
            world.step_down(node);
            self.later(world, 800, Relief::Stop(node));
            self.later(world, 900 + for_ms, Relief::Start(node));
        }
    }

    /// One disk is lost after a calm; at times all other machines lose power at the same moment.
    fn lose_disk(&mut self, world: &mut World, node: usize) {
        if self.overlapping {
            self.lose_disk_at_once(world, node);
            return;
        }
        let calm_ms = self.calm_from_ms + CATCH_UP_MS;
        if world.now_ms < calm_ms {
            return;
        }
        world.wipe(node);
        let back_ms = 100 + world.below(1_500);
        self.later(world, back_ms, Relief::Start(node));
        if world.below(2) == 0 {
            self.kill_others(world, node);
        }
        let until_ms = self.calm_from_ms + CATCH_UP_MS;
        self.go_on(world, until_ms, 20);
    }

    fn kill_others(&mut self, world: &mut World, node: usize) {
        for other in world.present().into_iter().filter(|&other| other != node) {
            let back_ms = 300 + world.below(1_500);
            self.kill(world, other, back_ms);
        }
    }

    /// A disk is lost whatever else is going on, unless one that was lost before may not have been made good.
    fn lose_disk_at_once(&mut self, world: &mut World, node: usize) {
        if self.disk_lost {
            return;
        }
        self.disk_lost = true;
        world.wipe(node);
        let back_ms = 100 + world.below(4_000);
        self.later(world, back_ms, Relief::Start(node));
        if world.below(3) == 0 {
            self.kill_others(world, node);
        }
    }

    /// A machine is replaced by one at another address: the new one first or the old one first, planned or not.
    fn replace(&mut self, world: &mut World, node: usize) {
        if self.disk_lost {
            return;
        }
        let Some(new) = world.next_spare() else {
            return;
        };
        self.disk_lost = true;
        let (new_first, planned) = (world.below(2) == 0, world.below(2) == 0);
        let gap_ms = world.below(3_000);
        world.note(&format!(
            "replace {node} by {new}, new first {new_first}, planned {planned}, gap {gap_ms}"
        ));
        let leave_ms = if new_first { gap_ms } else { 0 };
        if planned && leave_ms == 0 {
            world.step_down(node);
        }
        let stop_ms = if planned { leave_ms + 800 } else { leave_ms };
        self.later(world, stop_ms, Relief::Remove(node));
        let install_ms = if new_first { 0 } else { stop_ms + gap_ms };
        self.later(world, install_ms, Relief::Install(new));
    }
}

fn relieve(world: &mut World, relief: &Relief) {
    world.note(&format!("{relief:?}"));
    match *relief {
        Relief::Start(node) if world.is_present(node) && world.nodes[node].replica.is_none() => {
            world.start(node, false);
        }
        Relief::Start(_) => {}
        Relief::Install(node) => world.install(node),
        Relief::Remove(node) => world.remove(node),
        Relief::Stop(node) => world.stop(node),
        Relief::Join(from, to) => {
            world.cut.remove(&(from, to));
        }
        Relief::NormalDisk(node) => {
            world.nodes[node].disk_ms = 9;
            world.nodes[node].disk_refuses = false;
        }
        Relief::NormalNetwork => {
            world.loss_percent = 0;
            world.repeat_percent = 0;
            world.delay_spread_ms = 3;
        }
    }
}
