//! Checks of a simulated cluster.

use super::cluster::Cluster;
use super::node::{Node, index_of};
use std::collections::BTreeSet;

/// Time after which submitted writes are on all disks, including those of members that do not vote.
const PROPAGATION_MS: u64 = 400;

impl Cluster {
    /// Checks that at most one member acts as the head.
    pub(crate) fn check_one_head(&self) {
        let acting: Vec<usize> = self
            .nodes
            .iter()
            .filter(|n| n.may_act(self.now_ms))
            .map(|n| n.index)
            .collect();
        assert!(
            acting.len() <= 1,
            "at {} ms several members act as the head: {acting:?}",
            self.now_ms
        );
    }

    /// Checks that all committed rows are on the disk of `node`.
    pub(crate) fn check_committed_rows(&self, node: usize) {
        let disk = &self.nodes[node].disk;
        for (write_id, row) in &self.committed {
            assert_eq!(
                disk.value(&row.key),
                Some(row.value.as_slice()),
                "at {} ms machine {node} lacks the committed write {write_id}",
                self.now_ms
            );
        }
    }

    /// Checks that the cluster has converged: one head acts; an odd number of machines (at least three) vote, and all
    /// of these are in the chain; all machines have the same rows once the writes under way are on all disks.
    pub(crate) fn check_converged(&mut self, running: &[usize]) {
        self.run(self.now_ms + PROPAGATION_MS, 2 * PROPAGATION_MS);
        let head = self.acting().expect("a member acts as the head");
        self.check_members(head, running);
        self.check_same_rows(head, running);
        self.check_committed_rows(head);
    }

    /// Checks that all running machines vote (all but one if their number is even), and that all running voters are in
    /// the chain.
    fn check_members(&self, head: usize, running: &[usize]) {
        let replica = self.nodes[head]
            .replica
            .as_ref()
            .expect("the head is running");
        let (view, _) = replica
            .accepted_view()
            .expect("the head has accepted a view");
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
    }

    /// Checks that all running machines have the rows of the head.
    fn check_same_rows(&self, head: usize, running: &[usize]) {
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
                "rows {keys:?} of machine {node} differ from those of the head {head}"
            );
        }
    }

    /// Describes the state of each machine, for the message of a failed check.
    pub(crate) fn describe(&self) -> String {
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
}
