//! Compatibility of the stored rows: for the same events the scheduler writes the same bytes as earlier versions, and
//! it reads their rows.

mod cluster;

use cluster::node::Node;
use cluster::{Cluster, resources, spec, step};
use indigofold_protocol::job::{JobSpec, Step};
use rstest::rstest;

/// Rows that version d0149c42 wrote in the scenario of [`rows_are_written_as_by_an_earlier_version`], one per line: the
/// key, and the value in hexadecimal digits. In a scenario with the same random number generator, that version wrote
/// the same bytes as version 13256bf.
const WRITTEN: &str = include_str!("fixtures/rows-without-choice.txt");
/// Rows that version 13256bf wrote, in the same format.
const FIXTURE: &str = include_str!("fixtures/rows-13256bf.txt");

/// Time after which all workers that are up at the start have registered.
const STARTED_MS: u64 = 200;
/// Time after which the second worker boots; all repetitions have begun by then.
const SECOND_WORKER_MS: u64 = 1_600;

/// A job of three repetitions, each with a speculative step and a step with checkpoints, a label and a rack.
fn repeated(start_at_ms: u64) -> JobSpec {
    let second = Step {
        depends_on: vec![0],
        checkpoints: true,
        requirements: "b".to_owned(),
        anti_affinity: 2,
        affinity: "r1-2".to_owned(),
        ..step(2, 400, 600)
    };
    let first = Step {
        speculative: true,
        ..step(2, 240, 700)
    };
    JobSpec {
        repeat_count: 3,
        start_at_ms,
        interval_ms: 600,
        ..spec(vec![first, second])
    }
}

fn gang() -> Step {
    Step {
        gang: true,
        rack_local: true,
        gpu: 4,
        checkpoints: true,
        ..step(2, 15_000, 9_000)
    }
}

/// Nodes with which placement does not depend on random draws: one worker per service, and a second worker for
/// speculative runs that boots later.
fn nodes_without_choice() -> Vec<Node> {
    let new_node = |name: &str, labels: &[&str]| Node::new(name, "s", labels, resources(16_000, 0));
    let mut second_node = new_node("n2", &["b", "r1-2"]);
    (second_node.up, second_node.boot_ms) = (false, u64::MAX);
    let vision = Node::new("n5", "v", &["a", "r1-1"], resources(32_000, 8));
    vec![new_node("n1", &["a", "r1-1"]), second_node, vision]
}

/// Covers the rows of definitions, of progress with speculative runs, of a gang's checkpoint, of an ended job and of
/// instances.
#[rstest]
fn rows_are_written_as_by_an_earlier_version(#[values(4, 5, 6, 7, 8, 9)] seed: u64) {
    let mut cluster = Cluster::with_nodes(seed, nodes_without_choice());
    cluster.run_for(STARTED_MS);
    cluster.nodes[0].hangs = true;
    cluster.nodes[1].boot_ms = cluster.now_ms + SECOND_WORKER_MS;
    let start_at_ms = cluster.wall_ms() + 50;
    cluster.submit("quick", 7, repeated(start_at_ms));
    cluster.submit("vision", 8, spec(vec![gang()]));
    cluster.submit("vision", 9, spec(vec![step(1, 240, 300)]));
    cluster.run_for(SECOND_WORKER_MS);
    cluster.nodes[1].hangs = true;
    cluster.run_for(1_400);
    let rows = cluster.rows.iter().map(|(key, value)| {
        let hex: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{} {hex}\n", String::from_utf8_lossy(key))
    });
    assert_eq!(rows.collect::<String>(), WRITTEN);
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|offset| {
            u8::from_str_radix(&hex[offset..offset + 2], 16).expect("a hexadecimal number")
        })
        .collect()
}

/// A new head that has read the instance rows of an earlier version does not write them again.
#[test]
fn rows_of_instances_are_read_as_by_an_earlier_version() {
    let mut cluster = Cluster::started(4);
    cluster.rows = FIXTURE
        .lines()
        .filter_map(|line| line.split_once(' '))
        .filter(|(key, _)| key.starts_with("life/"))
        .map(|(key, hex)| (key.as_bytes().to_vec(), bytes(hex)))
        .collect();
    let stored_rows = cluster.rows.clone();
    cluster.fail_over();
    let writes_before = cluster.writes_made;
    cluster.run_for(2_000);
    assert_eq!(cluster.writes_made, writes_before);
    assert_eq!(cluster.rows, stored_rows);
}
