//! Measures and bounds the time without a committed write after the loss of members. `cargo test -p
//! indigofold-replication outages -- --nocapture` prints the results, which are listed in `docs/system/control.md`.

use super::SUBMIT_INTERVAL_MS;
use super::cluster::Cluster;
use super::started_cluster;
use rstest::rstest;

const SEEDS: u64 = 20;
/// Time after which the lost members restart.
const AWAY_MS: u64 = 700;
/// Time for which writes are observed after the lost members have restarted.
const WATCHED_MS: u64 = 4_000;

/// Members that are lost, by their position in the chain.
#[derive(Clone, Copy, Debug)]
enum Lost {
    Head,
    Middle,
    Tail,
    Majority,
    All,
}

impl Lost {
    /// Returns the machines at these positions in the chain of the acting head.
    fn machines(self, cluster: &Cluster) -> Vec<usize> {
        let chain = cluster.chain();
        match self {
            Lost::Head => vec![chain[0]],
            Lost::Middle => vec![chain[chain.len() / 2]],
            Lost::Tail => vec![chain[chain.len() - 1]],
            Lost::Majority => chain[..chain.len() / 2 + 1].to_vec(),
            Lost::All => chain,
        }
    }
}

/// Kills and restarts the lost members and returns the longest time between two committed writes.
fn gap_ms(seed: u64, machines: usize, lost: Lost) -> u64 {
    let mut cluster = started_cluster(seed, machines);
    let mut away = lost.machines(&cluster);
    away.iter().for_each(|&machine| cluster.stop(machine));
    let back_ms = cluster.now_ms + AWAY_MS;
    let until_ms = back_ms + WATCHED_MS;
    let (mut longest_ms, mut last_ms) = (0, cluster.now_ms);
    while cluster.now_ms < until_ms {
        cluster.run(cluster.now_ms + SUBMIT_INTERVAL_MS, SUBMIT_INTERVAL_MS);
        if cluster.now_ms >= back_ms {
            away.drain(..)
                .for_each(|machine| cluster.start(machine, false));
        }
        let newest_ms = cluster.last_commit_ms.max(last_ms);
        longest_ms = longest_ms.max(newest_ms - last_ms);
        last_ms = newest_ms;
    }
    cluster.run(cluster.now_ms + 6_000, SUBMIT_INTERVAL_MS);
    cluster.check_converged(&(0..machines).collect::<Vec<_>>());
    longest_ms.max(until_ms - last_ms)
}

#[rstest]
#[case::head_of_3(3, Lost::Head, 1_000)]
#[case::middle_of_3(3, Lost::Middle, 420)]
#[case::tail_of_3(3, Lost::Tail, 350)]
#[case::majority_of_3(3, Lost::Majority, 1_100)]
#[case::all_of_3(3, Lost::All, 1_000)]
#[case::head_of_5(5, Lost::Head, 1_100)]
#[case::middle_of_5(5, Lost::Middle, 450)]
#[case::tail_of_5(5, Lost::Tail, 350)]
#[case::majority_of_5(5, Lost::Majority, 1_100)]
#[case::all_of_5(5, Lost::All, 1_000)]
fn writes_resume_within_a_bound_after_a_loss(
    #[case] machines: usize,
    #[case] lost: Lost,
    #[case] bound_ms: u64,
) {
    let mut gaps: Vec<u64> = (0..SEEDS)
        .map(|seed| gap_ms(seed, machines, lost))
        .collect();
    gaps.sort_unstable();
    let (median_ms, worst_ms) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
    println!(
        "{machines} members, {lost:?} lost for {AWAY_MS} ms: median {median_ms} ms, worst {worst_ms} ms"
    );
    assert!(
        worst_ms <= bound_ms,
        "longest time without a write {worst_ms} ms, expected at most {bound_ms} ms: {gaps:?}"
    );
}
