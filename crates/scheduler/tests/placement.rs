//! Hybrid SQ(d): a kind is drawn by `p_k`, up to three of its workers are sampled, and the one with the fewest runs is
//! selected; a step bound to a kind by its label skips the draw.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::job::Step;
use indigofold_scheduler::Reason;

#[test]
fn the_winner_has_the_fewest_runs_of_the_sample() {
    let mut cluster = Cluster::new(1);
    cluster.scheduler.trace_placements();
    cluster.run_for(200);
    for number in 0..20 {
        cluster.submit("quick", number + 1, spec(vec![step(6, 240, 700)]));
        cluster.run_for(100);
    }
    let traces = cluster.scheduler.take_traces();
    assert_eq!(traces.len(), 120);
    for trace in &traces {
        let fewest = trace.sampled.iter().map(|worker| worker.runs).min();
        let winner = trace
            .sampled
            .iter()
            .find(|worker| worker.instance == trace.winner)
            .map(|worker| worker.runs);
        assert_eq!(winner, fewest);
        assert!(trace.sampled.len() <= 3);
        assert!((trace.probabilities.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        assert_eq!(trace.reason, Reason::FewestOfDrawn);
    }
    let kinds: std::collections::BTreeSet<_> = traces.iter().map(|trace| trace.drawn).collect();
    assert_eq!(
        kinds.len(),
        2,
        "each of the two kinds must be drawn at least once"
    );
}

#[test]
fn a_step_bound_to_a_kind_skips_the_draw() {
    let mut cluster = Cluster::new(2);
    cluster.scheduler.trace_placements();
    cluster.run_for(200);
    cluster.submit(
        "quick",
        1,
        spec(vec![Step {
            requirements: "b".to_owned(),
            ..step(6, 240, 700)
        }]),
    );
    cluster.run_for(100);
    let traces = cluster.scheduler.take_traces();
    assert_eq!(traces.len(), 6);
    let bound = |trace: &indigofold_scheduler::PlacementTrace| {
        trace.drawn.is_none() && trace.reason == Reason::FewestOfBound
    };
    assert!(traces.iter().all(bound));
}

#[test]
fn tasks_overflow_from_a_full_kind_to_the_next() {
    let mut cluster = Cluster::new(3);
    cluster.scheduler.trace_placements();
    cluster.run_for(200);
    cluster.submit(
        "bulk",
        1,
        spec(vec![Step {
            requirements: "a".to_owned(),
            ..step(32, 1_000, 20_000)
        }]),
    );
    cluster.run_for(500);
    cluster.scheduler.take_traces();
    cluster.submit("bulk", 2, spec(vec![step(20, 1_000, 500)]));
    cluster.run_for(100);
    let traces = cluster.scheduler.take_traces();
    assert_eq!(traces.len(), 20);
    assert!(
        traces
            .iter()
            .any(|trace| trace.reason == Reason::FewestOfNext)
    );
    assert!(
        traces
            .iter()
            .all(|trace| trace.winner.contains("n3") || trace.winner.contains("n4"))
    );
}
