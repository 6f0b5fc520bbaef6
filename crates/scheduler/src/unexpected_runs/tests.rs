//! Tests of which unexpected runs are stopped, and for how long.

use super::*;
use indigofold_protocol::task::{JobId, TaskName};

fn run(job: u64) -> RunId {
    let task = TaskName {
        job: JobId(job),
        repeat: 0,
        step: 0,
        index: 0,
    };
    RunId { task, attempt: 1 }
}

#[test]
fn listed_runs_are_stopped_with_each_full_report() {
    let mut unexpected = UnexpectedRuns::default();
    unexpected.set(vec![run(1)], Some(vec![run(2)]));
    assert_eq!(unexpected.stops(1_000, true), [run(1), run(2)]);
    assert_eq!(unexpected.stops(1_100, false), [run(1)]);
    unexpected.set(Vec::new(), None);
    assert!(
        !unexpected.is_empty(),
        "the report does not list running tasks, so the former list must stay"
    );
    unexpected.set(Vec::new(), Some(Vec::new()));
    assert!(unexpected.is_empty());
}

#[test]
fn lost_runs_are_stopped_until_a_later_report_shows_that_the_answer_arrived() {
    let mut unexpected = UnexpectedRuns::default();
    unexpected.add_lost(run(1));
    assert_eq!(unexpected.stops(1_000, true), [run(1)]);
    assert_eq!(unexpected.stops(1_000, true), [run(1)]);
    assert_eq!(unexpected.stops(1_300, true), []);
    assert!(unexpected.is_empty());
}

#[test]
fn another_connection_keeps_lost_runs_only() {
    let mut unexpected = UnexpectedRuns::default();
    unexpected.set(vec![run(1)], Some(vec![run(2)]));
    unexpected.add_lost(run(3));
    unexpected.forget_listed();
    assert_eq!(unexpected.stops(1_000, true), [run(3)]);
}
