//! Tests that rows written by an earlier version are read and written back byte for byte: heads of different versions may
//! follow each other.

use super::*;
use crate::definition::Definition;
use crate::instance_rows::{instance_key, parse_instance_key};
use crate::workers::Workers;
use rstest::rstest;

/// Rows written by version 13256bf, one per line: the key, and the value in hexadecimal digits.
///
/// Job 7 has three repetitions of a speculative step and one with checkpoints, a label and a rack; each stalled task has a
/// speculative run. Job 8 is a gang with a checkpoint. Job 9 has completed; only its end is stored.
const FIXTURE: &str = include_str!("../../tests/fixtures/rows-13256bf.txt");

/// Longest run lease, which the registry of workers requires.
const MAX_LEASE_MS: u64 = 6_000;

/// The value of the row with this key in the fixture.
fn stored_value(key: &str) -> Vec<u8> {
    let mut rows = FIXTURE.lines().filter_map(|line| line.split_once(' '));
    let (_, hex) = rows
        .find(|(row_key, _)| *row_key == key)
        .expect("the fixture has a row with this key");
    (0..hex.len())
        .step_by(2)
        .map(|offset| {
            u8::from_str_radix(&hex[offset..offset + 2], 16)
                .expect("the value consists of hexadecimal digits")
        })
        .collect()
}

#[rstest]
#[case::repeated("job/0000000000000007")]
#[case::gang("job/0000000000000008")]
fn a_definition_row_is_read_and_written_unchanged(#[case] key: &str) {
    let row = stored_value(key);
    let definition = read_definition(key.as_bytes(), &row).expect("the row can be decoded");
    assert!(!definition.spec.stages.is_empty());
    assert_eq!(definition_bytes(&definition), row);
}

#[rstest]
#[case::speculative(Some("job/0000000000000007"), "progress/0000000000000007", 4)]
#[case::gang(Some("job/0000000000000008"), "progress/0000000000000008", 0)]
#[case::ended(None, "progress/0000000000000009", 0)]
fn a_progress_row_is_read_and_written_unchanged(
    #[case] definition: Option<&str>,
    #[case] key: &str,
    #[case] speculative_runs: usize,
) {
    let definition = definition.map_or_else(Definition::default, |key| {
        read_definition(key.as_bytes(), &stored_value(key)).expect("the row can be decoded")
    });
    let row = stored_value(key);
    let progress = read_progress(key.as_bytes(), &row).expect("the row can be decoded");
    assert_eq!(progress.additions.speculative_runs.len(), speculative_runs);
    let mut workers = Workers::new(MAX_LEASE_MS);
    let rows = JobRows::new(definition, progress);
    let job = rows.restore(&mut workers, 1_000, |_, _| 1_000);
    assert_eq!(progress_bytes(&job, &workers), row);
}

#[test]
fn keys_are_read_and_written_unchanged() {
    for key in [&b"job/0000000000000007"[..], b"progress/0000000000000007"] {
        assert_eq!(
            RowKey::parse(key)
                .expect("the key is that of a job's row")
                .bytes(),
            key
        );
    }
    assert_eq!(parse_instance_key(b"life/i-n1-1"), Some("i-n1-1"));
    assert_eq!(instance_key("i-n1-1"), b"life/i-n1-1");
}
