//! A cluster under simulated time, with checks at each step.

use super::node::{DiskTask, InFlight, Node, Presence, index_of};
use indigofold_replication::{Envelope, Input, Member, Output, RowChange, StoreRequest, message};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Rows in one part of a transfer: few, so that transfers have many parts.
const TRANSFER_ROWS: usize = 40;
/// Time that a reading takes.
const READ_MS: u64 = 1;

/// How many machines a settings file names.
const SEEDS: usize = 3;

/// Writes that were submitted before are on all disks after so long, also on those of members that do not vote.
const PROPAGATION_MS: u64 = 400;

#[derive(Debug)]
enum Event {
    Deliver(Box<InFlight>),
    DiskDone { node: usize, incarnation: u64 },
    Wake { node: usize, incarnation: u64 },
}

/// The cluster.
pub struct Cluster {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub seeds: Vec<usize>,
    /// Directed links that lose everything.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub loss_percent: u64,
    /// Part of the messages that arrive twice.
    pub repeat_percent: u64,
    pub delay_spread_ms: u64,
    pub random: Pcg64Mcg,
    pub committed: BTreeMap<u64, (Vec<u8>, Vec<u8>)>,
    pub last_commit_ms: u64,
    pub gained: Vec<(u64, usize, u64)>,
    pub trace: bool,
    submitted: BTreeMap<u64, (Vec<u8>, Vec<u8>)>,
    pub aborted: u64,
    pub rejected: u64,
    next_write_id: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    event_bodies: BTreeMap<u64, Event>,
    next_event: u64,
    planned_wakes: BTreeMap<usize, u64>,
}

impl Cluster {
    pub fn new(seed: u64, machines: usize, seeds: usize) -> Cluster {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let nodes = (0..machines)
            .map(|index| {
                Node::new(
                    index,
                    random.next_u64() % 100_000,
                    980 + random.next_u64() % 41,
                )
            })
            .collect();
        Cluster {
            now_ms: 0,
            nodes,
            seeds: (0..seeds).collect(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            repeat_percent: 0,
            delay_spread_ms: 3,
            random,
            committed: BTreeMap::new(),
            last_commit_ms: 0,
            gained: Vec::new(),
            trace: false,
            submitted: BTreeMap::new(),
            aborted: 0,
            rejected: 0,
            next_write_id: 1,
            events: BinaryHeap::new(),
            event_bodies: BTreeMap::new(),
            next_event: 0,
            planned_wakes: BTreeMap::new(),
        }
    }

    /// Machines that have been installed and not been removed.
    pub fn present(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&node| self.is_present(node))
            .collect()
    }

    pub fn is_present(&self, node: usize) -> bool {
        self.nodes[node].presence == Presence::Present
    }

    /// The machines from `first` on are not there yet.
    pub fn keep_spare(&mut self, first: usize) {
        self.nodes[first..]
            .iter_mut()
            .for_each(|node| node.presence = Presence::Spare);
    }

    /// A machine that has not been there yet.
    pub fn next_spare(&mut self) -> Option<usize> {
        let spare = self
            .nodes
            .iter()
            .position(|node| node.presence == Presence::Spare)?;
        self.nodes[spare].presence = Presence::Installing;
        Some(spare)
    }

    /// A new machine starts for the first time, beside those that are there.
    pub fn install(&mut self, node: usize) {
        self.log_event(&format!("install {node}"));
        self.nodes[node].presence = Presence::Present;
        self.name_seeds();
        self.start(node, false);
    }

    /// A machine goes for good, with its disk.
    pub fn remove(&mut self, node: usize) {
        self.log_event(&format!("remove {node}"));
        self.wipe(node);
        self.nodes[node].presence = Presence::Removed;
        self.name_seeds();
    }

    /// Those that start from now on are told of three machines that are there.
    fn name_seeds(&mut self) {
        self.seeds = self.present().into_iter().take(SEEDS).collect();
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    pub fn start(&mut self, node: usize, bootstrap: bool) {
        let seed = self.random.next_u64();
        let seeds = self.seeds.clone();
        self.nodes[node].start(self.now_ms, &seeds, bootstrap, seed);
        self.planned_wakes.remove(&node);
        self.input(node, Input::Timer);
    }

    pub fn start_all(&mut self) {
        for node in self.present() {
            self.start(node, true);
        }
    }

    pub fn stop(&mut self, node: usize) {
        let survives = self.below(2) == 0;
        self.log_event(&format!("stop {node}"));
        self.nodes[node].stop(survives);
    }

    pub fn wipe(&mut self, node: usize) {
        self.stop(node);
        self.log_event(&format!("wipe {node}"));
        self.nodes[node].disk = Default::default();
    }

    pub fn freeze(&mut self, node: usize, for_ms: u64) {
        self.log_event(&format!("freeze {node} for {for_ms}"));
        self.nodes[node].frozen_until_ms = self.now_ms + for_ms;
    }

    pub fn block_both(&mut self, a: usize, b: usize) {
        self.log_event(&format!("cut {a} {b}"));
        self.blocked_links.insert((a, b));
        self.blocked_links.insert((b, a));
    }

    pub fn log_event(&self, text: &str) {
        if self.trace {
            println!("{:>6} {text}", self.now_ms);
        }
    }

    /// Runs until `until_ms`; each `submit_interval_ms` a write is submitted to whoever acts.
    pub fn run(&mut self, until_ms: u64, submit_interval_ms: u64) {
        let mut next_submit_ms = self.now_ms + submit_interval_ms;
        while self.now_ms < until_ms {
            let due = self.events.peek().map_or(until_ms, |Reverse((at, _))| *at);
            let step = due.min(until_ms).min(next_submit_ms).max(self.now_ms);
            self.now_ms = step;
            self.check_one_head();
            if step == next_submit_ms {
                self.submit_anywhere();
                next_submit_ms += submit_interval_ms;
            }
            while let Some(Reverse((at, id))) = self.events.peek().copied() {
                if at > self.now_ms {
                    break;
                }
                self.events.pop();
                if let Some(event) = self.event_bodies.remove(&id) {
                    self.run_event(event);
                }
            }
            self.check_one_head();
        }
    }

    pub fn acting(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.may_act(self.now_ms))
    }

    /// Machines of the acting head's chain, head first.
    pub fn chain(&self) -> Vec<usize> {
        let head = self.acting().expect("a head acts");
        let replica = self.nodes[head].replica.as_ref().expect("the head runs");
        let (view, _) = replica.accepted_view().expect("the head has a view");
        view.chain
            .iter()
            .map(|member| index_of(member.internal))
            .collect()
    }

    fn check_one_head(&self) {
        let acting: Vec<usize> = self
            .nodes
            .iter()
            .filter(|n| n.may_act(self.now_ms))
            .map(|n| n.index)
            .collect();
        assert!(
            acting.len() <= 1,
            "at {} ms these act as heads: {acting:?}",
            self.now_ms
        );
    }

    fn submit_anywhere(&mut self) {
        let Some(node) = self.acting() else { return };
        let write_id = self.next_write_id;
        self.next_write_id += 1;
        let key = format!("row-{write_id}").into_bytes();
        let value = format!("value-{write_id}").into_bytes();
        self.submitted
            .insert(write_id, (key.clone(), value.clone()));
        let shared = format!("shared-{}", write_id % 5).into_bytes();
        let deleted_key = format!("gone-{}", write_id % 3).into_bytes();
        let deleted_value = write_id
            .is_multiple_of(2)
            .then(|| write_id.to_string().into_bytes());
        let changes = vec![
            RowChange {
                key,
                value: Some(value),
            },
            RowChange {
                key: shared,
                value: Some(write_id.to_string().into_bytes()),
            },
            RowChange {
                key: deleted_key,
                value: deleted_value,
            },
        ];
        self.input(node, Input::Submit { write_id, changes });
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_ms, self.next_event)));
        self.event_bodies.insert(self.next_event, event);
    }

    fn run_event(&mut self, event: Event) {
        let node = match &event {
            Event::Deliver(in_flight) => in_flight.to,
            Event::DiskDone { node, .. } | Event::Wake { node, .. } => *node,
        };
        let thaw_ms = self.nodes[node].frozen_until_ms;
        if self.now_ms < thaw_ms {
            self.schedule(thaw_ms, event);
            return;
        }
        match event {
            Event::Deliver(in_flight) => self.deliver(*in_flight),
            Event::DiskDone { node, incarnation } => self.disk_done(node, incarnation),
            Event::Wake { node, incarnation } => {
                self.planned_wakes.remove(&node);
                if self.nodes[node].incarnation == incarnation {
                    self.input(node, Input::Timer);
                }
            }
        }
    }

    fn deliver(&mut self, in_flight: InFlight) {
        let bytes = message::encode(&in_flight.envelope);
        let envelope = message::decode(&bytes).expect("an encoded message can be decoded");
        self.input(in_flight.to, Input::Message(envelope));
    }

    fn disk_done(&mut self, index: usize, incarnation: u64) {
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation {
            return;
        }
        node.busy = false;
        let Some(task) = node.tasks.pop_front() else {
            return;
        };
        let input = match task {
            DiskTask::Store { store, .. } if node.disk_refuses => Input::StoreFailed { store },
            DiskTask::Store { store, request } => {
                node.disk.apply(&request);
                Input::Stored { store }
            }
            DiskTask::Read { read, since } => Input::RowsRead {
                read,
                chunk: node.disk.rows_since(since, TRANSFER_ROWS),
            },
        };
        self.input(index, input);
        self.start_disk(index);
    }

    fn start_disk(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.busy || node.tasks.is_empty() {
            return;
        }
        node.busy = true;
        let is_read = matches!(node.tasks.front(), Some(DiskTask::Read { .. }));
        let for_ms = if is_read { READ_MS } else { node.disk_ms };
        let (at_ms, incarnation) = (self.now_ms + for_ms, node.incarnation);
        self.schedule(
            at_ms,
            Event::DiskDone {
                node: index,
                incarnation,
            },
        );
    }

    fn input(&mut self, index: usize, input: Input) {
        let now_ms = self.nodes[index].local_ms(self.now_ms);
        let Some(replica) = &mut self.nodes[index].replica else {
            return;
        };
        let outputs = replica.handle(now_ms, input);
        for output in outputs {
            self.output(index, output);
        }
        self.start_disk(index);
        self.plan_wake(index);
    }

    fn plan_wake(&mut self, index: usize) {
        let node = &self.nodes[index];
        let Some(replica) = &node.replica else { return };
        let due = replica.next_timer_ms();
        if due == u64::MAX {
            return;
        }
        let (at_ms, incarnation) = (node.true_ms(due).max(self.now_ms + 1), node.incarnation);
        if self
            .planned_wakes
            .get(&index)
            .is_some_and(|&planned| planned <= at_ms && planned > self.now_ms)
        {
            return;
        }
        self.planned_wakes.insert(index, at_ms);
        self.schedule(
            at_ms,
            Event::Wake {
                node: index,
                incarnation,
            },
        );
    }

    fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, envelope } => self.send(index, index_of(to), *envelope),
            Output::Store { store, request } => {
                self.log_view(index, &request);
                self.nodes[index]
                    .tasks
                    .push_back(DiskTask::Store { store, request });
            }
            Output::ReadRows { read, since, .. } => {
                self.nodes[index]
                    .tasks
                    .push_back(DiskTask::Read { read, since });
            }
            Output::Committed { write_id } => {
                let view = self.nodes[index].replica.as_ref().map_or(0, |r| r.view());
                self.log_event(&format!(
                    "write {write_id} committed by {index} in view {view}"
                ));
                if let Some(write) = self.submitted.remove(&write_id) {
                    self.committed.insert(write_id, write);
                }
                self.last_commit_ms = self.now_ms;
            }
            Output::Aborted { .. } => self.aborted += 1,
            Output::Rejected { .. } => self.rejected += 1,
            Output::HeadGained { view } => {
                self.log_event(&format!("head gained by {index}, view {view}"));
                self.gained.push((self.now_ms, index, view));
                self.check_committed_rows(index);
            }
            Output::HeadRenewed { view } => {
                let chain = self.nodes[index]
                    .replica
                    .as_ref()
                    .and_then(|r| r.accepted_view());
                let text = chain.map(|(v, _)| {
                    let names = |members: &[Member]| {
                        members
                            .iter()
                            .map(|m| index_of(m.internal))
                            .collect::<Vec<usize>>()
                    };
                    format!("voters {:?} chain {:?}", names(&v.voters), names(&v.chain))
                });
                self.log_event(&format!(
                    "head renewed by {index}, view {view}, {}",
                    text.unwrap_or_default()
                ));
            }
            Output::HeadLost => self.log_event(&format!("head lost by {index}")),
        }
    }

    fn send(&mut self, from: usize, to: usize, envelope: Envelope) {
        if to >= self.nodes.len()
            || self.blocked_links.contains(&(from, to))
            || self.below(100) < self.loss_percent
        {
            return;
        }
        let count = if self.repeat_percent > 0 && self.below(100) < self.repeat_percent {
            2
        } else {
            1
        };
        for _ in 0..count {
            let delay_ms = 1 + self.below(self.delay_spread_ms);
            let in_flight = InFlight {
                to,
                envelope: envelope.clone(),
            };
            self.schedule(self.now_ms + delay_ms, Event::Deliver(Box::new(in_flight)));
        }
    }

    /// All that was committed is on the disk of `node`.
    pub fn check_committed_rows(&self, node: usize) {
        let disk = &self.nodes[node].disk;
        for (write_id, (key, value)) in &self.committed {
            assert_eq!(
                disk.value(key),
                Some(value.as_slice()),
                "at {} ms the write {write_id} is lost at {node}",
                self.now_ms
            );
        }
    }

    /// The cluster is whole: one head acts; an odd number of the machines vote (at least three), all of these are in the
    /// chain; all machines have the same rows once the writes under way are on all disks.
    pub fn check_converged(&mut self, running: &[usize]) {
        self.run(self.now_ms + PROPAGATION_MS, 2 * PROPAGATION_MS);
        let head = self.acting().expect("a head acts");
        let replica = self.nodes[head].replica.as_ref().expect("the head runs");
        let (view, _) = replica.accepted_view().expect("the head has a view");
        let chain: BTreeSet<usize> = view.chain.iter().map(|m| index_of(m.internal)).collect();
        let voters: BTreeSet<usize> = view.voters.iter().map(|m| index_of(m.internal)).collect();
        let expected = running.len() - usize::from(running.len().is_multiple_of(2));
        let live = voters
            .iter()
            .filter(|voter| running.contains(voter))
            .count();
        assert_eq!(
            live,
            expected,
            "voters {voters:?}, running {running:?}\n{}",
            self.describe()
        );
        assert!(
            chain.is_subset(&voters),
            "chain of view {}\n{}",
            view.number,
            self.describe()
        );
        assert_eq!(
            chain.len(),
            expected,
            "chain of view {}\n{}",
            view.number,
            self.describe()
        );
        assert!(
            running
                .iter()
                .all(|node| self.nodes[*node].replica.is_some()),
            "{}",
            self.describe()
        );
        let table = self.nodes[head].disk.table();
        for &node in running {
            let other = self.nodes[node].disk.table();
            let differs = |key: &&&[u8]| table.get(**key) != other.get(**key);
            let keys: BTreeSet<String> = table
                .keys()
                .chain(other.keys())
                .filter(differs)
                .map(|k| String::from_utf8_lossy(k).into_owned())
                .collect();
            assert!(
                keys.is_empty(),
                "rows {keys:?} of {node} differ from those of the head {head}"
            );
        }
        self.check_committed_rows(head);
    }

    fn log_view(&self, index: usize, request: &StoreRequest) {
        let known = self.nodes[index]
            .disk
            .durable
            .as_ref()
            .map_or(0, |durable| durable.viewstamp.view);
        if request.durable.viewstamp.view != known {
            self.log_event(&format!("{index} enters {:?}", request.durable.viewstamp));
        }
    }

    /// What each machine knows, for a failed check.
    pub fn describe(&self) -> String {
        let of = |node: &Node| {
            let now_ms = node.local_ms(self.now_ms);
            let frozen = node.is_frozen(self.now_ms);
            let replica = node.replica.as_ref();
            let state = replica.map(|r| (r.accepted_view(), r.stored_viewstamp(), r.head(now_ms)));
            format!(
                "{}: frozen {frozen}, store in {} ms, {state:?}\n",
                node.index, node.disk_ms
            )
        };
        self.nodes.iter().map(of).collect()
    }

    pub fn step_down(&mut self, node: usize) {
        self.log_event(&format!("step down {node}"));
        self.input(node, Input::StepDown);
    }
}
