//! A cluster under simulated time: its machines, its network, and the submitted writes.

use super::events::{Event, EventQueue};
use super::node::{DiskTask, InFlight, Node, Presence, index_of};
use indigofold_replication::{
    Envelope, Input, Member, Output, Replica, RowChange, StoreRequest, SubmissionId, View,
    ViewNumber, message,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Number of rows in one chunk of a transfer; small, so that transfers have many chunks.
const TRANSFER_ROWS: usize = 40;
/// Time that a read of rows takes.
const READ_MS: u64 = 1;

/// Number of seeds in the settings of a machine.
const SEEDS: usize = 3;

/// A directed link between two machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// A row set by a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WrittenRow {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
}

/// Records that a member has become the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeadGained {
    pub gained_ms: u64,
    pub node: usize,
    pub view: ViewNumber,
}

/// A simulated cluster.
pub(crate) struct Cluster {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub seeds: Vec<usize>,
    blocked_links: BTreeSet<Link>,
    pub loss_percent: u64,
    /// Percentage of the messages that are delivered twice.
    pub duplicate_percent: u64,
    pub delay_spread_ms: u64,
    pub random: Pcg64Mcg,
    pub committed: BTreeMap<u64, WrittenRow>,
    pub last_commit_ms: u64,
    pub heads_gained: Vec<HeadGained>,
    pub trace: bool,
    submitted: BTreeMap<u64, WrittenRow>,
    pub undetermined: u64,
    pub rejected: u64,
    next_write_id: u64,
    events: EventQueue,
    planned_wakes: BTreeMap<usize, u64>,
}

impl Cluster {
    pub(crate) fn new(seed: u64, machines: usize, seeds: usize) -> Cluster {
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
            duplicate_percent: 0,
            delay_spread_ms: 3,
            random,
            committed: BTreeMap::new(),
            last_commit_ms: 0,
            heads_gained: Vec::new(),
            trace: false,
            submitted: BTreeMap::new(),
            undetermined: 0,
            rejected: 0,
            next_write_id: 1,
            events: EventQueue::default(),
            planned_wakes: BTreeMap::new(),
        }
    }

    /// Returns the machines that have been installed and not removed.
    pub(crate) fn present(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&node| self.is_present(node))
            .collect()
    }

    pub(crate) fn is_present(&self, node: usize) -> bool {
        self.nodes[node].presence == Presence::Present
    }

    /// Marks the machines from `first` on as not installed yet.
    pub(crate) fn reserve_spares(&mut self, first: usize) {
        self.nodes[first..]
            .iter_mut()
            .for_each(|node| node.presence = Presence::Spare);
    }

    /// Reserves a machine that has not been installed yet; `None` if none is left.
    pub(crate) fn next_spare(&mut self) -> Option<usize> {
        let spare = self
            .nodes
            .iter()
            .position(|node| node.presence == Presence::Spare)?;
        self.nodes[spare].presence = Presence::Installing;
        Some(spare)
    }

    /// Starts a new machine for the first time, in addition to those that are present.
    pub(crate) fn install(&mut self, node: usize) {
        self.log_event(&format!("install {node}"));
        self.nodes[node].presence = Presence::Present;
        self.update_seeds();
        self.start(node, false);
    }

    /// Removes a machine with its disk permanently.
    pub(crate) fn remove(&mut self, node: usize) {
        self.log_event(&format!("remove {node}"));
        self.wipe(node);
        self.nodes[node].presence = Presence::Removed;
        self.update_seeds();
    }

    /// Makes the first [`SEEDS`] present machines the seeds of all machines that start from now on.
    fn update_seeds(&mut self) {
        self.seeds = self.present().into_iter().take(SEEDS).collect();
    }

    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    pub(crate) fn start(&mut self, node: usize, bootstrap: bool) {
        let seed = self.random.next_u64();
        let seeds = self.seeds.clone();
        self.nodes[node].start(self.now_ms, &seeds, bootstrap, seed);
        self.planned_wakes.remove(&node);
        self.input(node, Input::Timer);
    }

    pub(crate) fn start_all(&mut self) {
        for node in self.present() {
            self.start(node, true);
        }
    }

    pub(crate) fn stop(&mut self, node: usize) {
        let store_survives = self.random_below(2) == 0;
        self.log_event(&format!("stop {node}"));
        self.nodes[node].stop(store_survives);
    }

    pub(crate) fn wipe(&mut self, node: usize) {
        self.stop(node);
        self.log_event(&format!("wipe {node}"));
        self.nodes[node].disk = super::disk::Disk::default();
    }

    pub(crate) fn freeze(&mut self, node: usize, duration_ms: u64) {
        self.log_event(&format!("freeze {node} for {duration_ms}"));
        self.nodes[node].frozen_until_ms = self.now_ms + duration_ms;
    }

    /// Partitions two machines from each other.
    pub(crate) fn block_both(&mut self, a: usize, b: usize) {
        self.log_event(&format!("block {a} <-> {b}"));
        self.block_link(a, b);
        self.block_link(b, a);
    }

    /// Drops all messages sent from `from` to `to` from now on.
    pub(crate) fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert(Link { from, to });
    }

    pub(crate) fn unblock_link(&mut self, from: usize, to: usize) {
        self.blocked_links.remove(&Link { from, to });
    }

    pub(crate) fn unblock_all(&mut self) {
        self.blocked_links.clear();
    }

    pub(crate) fn log_event(&self, text: &str) {
        if self.trace {
            println!("{:>6} {text}", self.now_ms);
        }
    }

    /// Runs the simulation until `until_ms` and submits a write to the acting head every `submit_interval_ms`.
    pub(crate) fn run(&mut self, until_ms: u64, submit_interval_ms: u64) {
        let mut next_submit_ms = self.now_ms + submit_interval_ms;
        while self.now_ms < until_ms {
            let next_event_ms = self.events.next_ms().unwrap_or(until_ms);
            let step_ms = next_event_ms
                .min(until_ms)
                .min(next_submit_ms)
                .max(self.now_ms);
            self.now_ms = step_ms;
            self.check_one_head();
            if step_ms == next_submit_ms {
                self.submit_write();
                next_submit_ms += submit_interval_ms;
            }
            while let Some(event) = self.events.pop_due(self.now_ms) {
                self.run_event(event);
            }
            self.check_one_head();
        }
    }

    pub(crate) fn acting(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.may_act(self.now_ms))
    }

    /// Returns the machines of the acting head's chain, head first.
    pub(crate) fn chain(&self) -> Vec<usize> {
        let head = self.acting().expect("a member acts as the head");
        let replica = self.nodes[head]
            .replica
            .as_ref()
            .expect("the head is running");
        let (view, _) = replica
            .accepted_view()
            .expect("the head has accepted a view");
        view.chain
            .iter()
            .map(|member| index_of(member.internal))
            .collect()
    }

    fn submit_write(&mut self) {
        let Some(node) = self.acting() else { return };
        let write_id = self.next_write_id;
        self.next_write_id += 1;
        let key = format!("row-{write_id}").into_bytes();
        let value = format!("value-{write_id}").into_bytes();
        let row = WrittenRow {
            key: key.clone(),
            value: value.clone(),
        };
        self.submitted.insert(write_id, row);
        let shared_key = format!("shared-{}", write_id % 5).into_bytes();
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
                key: shared_key,
                value: Some(write_id.to_string().into_bytes()),
            },
            RowChange {
                key: deleted_key,
                value: deleted_value,
            },
        ];
        let write_id = SubmissionId(write_id);
        self.input(node, Input::Submit { write_id, changes });
    }

    fn run_event(&mut self, event: Event) {
        let node = match &event {
            Event::Deliver(in_flight) => in_flight.to,
            Event::DiskDone { node, .. } | Event::Wake { node, .. } => *node,
        };
        let frozen_until_ms = self.nodes[node].frozen_until_ms;
        if self.now_ms < frozen_until_ms {
            self.events.schedule(frozen_until_ms, event);
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
            DiskTask::Store { store, .. } if node.disk_fails_stores => Input::StoreFailed { store },
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
        let duration_ms = if is_read { READ_MS } else { node.disk_ms };
        let (completion_ms, incarnation) = (self.now_ms + duration_ms, node.incarnation);
        self.events.schedule(
            completion_ms,
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
        let local_due_ms = replica.next_timer_ms();
        if local_due_ms == u64::MAX {
            return;
        }
        let (wake_ms, incarnation) = (
            node.true_ms(local_due_ms).max(self.now_ms + 1),
            node.incarnation,
        );
        if self
            .planned_wakes
            .get(&index)
            .is_some_and(|&planned_ms| planned_ms <= wake_ms && planned_ms > self.now_ms)
        {
            return;
        }
        self.planned_wakes.insert(index, wake_ms);
        self.events.schedule(
            wake_ms,
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
            Output::Committed {
                write_id: SubmissionId(write_id),
            } => {
                let view = self.nodes[index]
                    .replica
                    .as_ref()
                    .map_or(ViewNumber::NONE, Replica::view);
                self.log_event(&format!(
                    "write {write_id} committed by {index} in view {view}"
                ));
                if let Some(write) = self.submitted.remove(&write_id) {
                    self.committed.insert(write_id, write);
                }
                self.last_commit_ms = self.now_ms;
            }
            Output::Undetermined { .. } => self.undetermined += 1,
            Output::Rejected { .. } => self.rejected += 1,
            Output::HeadGained { view } => {
                self.log_event(&format!("head gained by {index}, view {view}"));
                self.heads_gained.push(HeadGained {
                    gained_ms: self.now_ms,
                    node: index,
                    view,
                });
                self.check_committed_rows(index);
            }
            Output::HeadRenewed { view } => {
                let members = self.describe_view(index);
                self.log_event(&format!("head renewed by {index}, view {view}, {members}"));
            }
            Output::HeadLost => self.log_event(&format!("head lost by {index}")),
        }
    }

    /// Describes voters and chain of the view that a machine follows.
    fn describe_view(&self, index: usize) -> String {
        let replica = self.nodes[index].replica.as_ref();
        let view = replica.and_then(|replica| replica.accepted_view());
        let indexes = |members: &[Member]| -> Vec<usize> {
            members.iter().map(|m| index_of(m.internal)).collect()
        };
        let describe = |view: &View| {
            let (voters, chain) = (indexes(&view.voters), indexes(&view.chain));
            format!("voters {voters:?} chain {chain:?}")
        };
        view.map_or(String::new(), |(view, _)| describe(view))
    }

    fn send(&mut self, from: usize, to: usize, envelope: Envelope) {
        if to >= self.nodes.len()
            || self.blocked_links.contains(&Link { from, to })
            || self.random_below(100) < self.loss_percent
        {
            return;
        }
        let count = if self.duplicate_percent > 0 && self.random_below(100) < self.duplicate_percent
        {
            2
        } else {
            1
        };
        for _ in 0..count {
            let delay_ms = 1 + self.random_below(self.delay_spread_ms);
            let in_flight = InFlight {
                to,
                envelope: envelope.clone(),
            };
            self.events
                .schedule(self.now_ms + delay_ms, Event::Deliver(Box::new(in_flight)));
        }
    }

    fn log_view(&self, index: usize, request: &StoreRequest) {
        let known = self.nodes[index]
            .disk
            .record
            .as_ref()
            .map_or(ViewNumber::NONE, |record| record.viewstamp.view);
        if request.record.viewstamp.view != known {
            self.log_event(&format!("{index} enters {:?}", request.record.viewstamp));
        }
    }

    pub(crate) fn step_down(&mut self, node: usize) {
        self.log_event(&format!("step down {node}"));
        self.input(node, Input::StepDown);
    }
}
