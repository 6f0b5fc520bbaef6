//! The rows that the scheduler writes are those of earlier versions, byte for byte, for the same events.

mod cluster;

use cluster::node::Node;
use cluster::{Cluster, resources, spec, step};
use indigofold_protocol::job::{JobSpec, Step};
use rstest::rstest;

/// Rows that version d0149c42 wrote in the scenario below, one a line: key, and value in hexadecimal digits. Of that version
/// the rows were those of 13256bf byte for byte, in a scenario with the same generator of random numbers.
const WRITTEN: &str = include_str!("fixtures/rows-without-choice.txt");
/// Rows that version 13256bf wrote, in the same form.
const FIXTURE: &str = include_str!("fixtures/rows-13256bf.txt");

/// The workers that are there have registered after this time.
const STARTED_MS: u64 = 200;
/// The second worker comes after this time, when all repetitions have begun.
const SECOND_WORKER_MS: u64 = 1_600;

/// Three repetitions of a speculative step and one with checkpoints, a label and a rack.
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

/// Nodes that leave nothing to draw: one worker of each service, and a second one for speculative runs that comes later.
fn nodes_without_choice() -> Vec<Node> {
    let plain = |name: &str, labels: &[&str]| Node::new(name, "s", labels, resources(16_000, 0));
    let mut later = plain("n2", &["b", "r1-2"]);
    (later.up, later.boot_ms) = (false, u64::MAX);
    let vision = Node::new("n5", "v", &["a", "r1-1"], resources(32_000, 8));
    vec![plain("n1", &["a", "r1-1"]), later, vision]
}

/// Definitions, progress with speculative runs, a gang's checkpoint, an ended job and instances.
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
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("a hexadecimal number"))
        .collect()
}

/// A successor that has read rows of an earlier version writes none of its instances anew.
#[test]
fn rows_of_instances_are_read_as_by_an_earlier_version() {
    let mut cluster = Cluster::started(4);
    cluster.rows = FIXTURE
        .lines()
        .filter_map(|line| line.split_once(' '))
        .filter(|(key, _)| key.starts_with("life/"))
        .map(|(key, hex)| (key.as_bytes().to_vec(), bytes(hex)))
        .collect();
    let stored = cluster.rows.clone();
    cluster.fail_over();
    let written = cluster.writes_made;
    cluster.run_for(2_000);
    assert_eq!(cluster.writes_made, written);
    assert_eq!(cluster.rows, stored);
}
