//! Rows as an earlier version wrote them are read, and written again byte for byte: a successor may be of another version.

use super::*;
use crate::instance_rows::{instance_key, instance_of};
use crate::workers::Workers;
use rstest::rstest;

/// Value of `job/0000000000000007`: three repetitions of a speculative step and one with checkpoints, labels and a rack.
const DEFINITION_ROW: &str = concat!(
    "04746578740202f001f00100bc05000000000000000100029003900300d804010001000001620472312d3202000003e2",
    "d995ffbc31d80405717569636b017300030000000000000040e807b0d995ffbc31",
);

/// Value of `job/0000000000000008`: a gang with checkpoints.
const GANG_DEFINITION_ROW: &str = concat!(
    "047465787401029875987504a84600010101000000000000000006766973696f6e017601030000000000000040e807b0",
    "d995ffbc31",
);

/// Value of `progress/0000000000000007`: three open repetitions; stalled tasks have a speculative run each.
const PROGRESS_ROW: &str = concat!(
    "00030406692d6e312d3106692d6e342d3106692d6e332d3106692d6e322d310300020200000202000014303030303030",
    "303030303030303030373a313a3601000202000014303030303030303030303030303030373a323a3301010200010202",
    "00000202000014303030303030303030303030303030373a323a31010001020000143030303030303030303030303030",
    "30373a323a310102010002020200000202000014303030303030303030303030303030373a313a340101010200001430",
    "3030303030303030303030303030373a313a32010301000401000006692d6e332d310201000106692d6e342d31020200",
    "0006692d6e322d310202000106692d6e332d3102",
);

/// Value of `progress/0000000000000008`: a running gang with a checkpoint.
const GANG_PROGRESS_ROW: &str = concat!(
    "00010106692d6e352d310100010200000201000014303030303030303030303030303030383a313a3401000101000014",
    "303030303030303030303030303030383a313a34010001",
);

/// Value of `progress/0000000000000009`: a completed job of which only the end is kept.
const ENDED_PROGRESS_ROW: &str = "010291dc95ffbc31010000";

/// Longest run lease, for the registry of workers that the rows refer to.
const MAX_LEASE_MS: u64 = 6_000;

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| {
            let pair = std::str::from_utf8(pair).expect("two digits");
            u8::from_str_radix(pair, 16).expect("a hexadecimal number")
        })
        .collect()
}

#[rstest]
#[case::repeated(DEFINITION_ROW)]
#[case::gang(GANG_DEFINITION_ROW)]
fn a_definition_row_is_read_and_written_unchanged(#[case] hex: &str) {
    let row = bytes(hex);
    let definition = read_definition(b"job/0000000000000007", &row).expect("the row is readable");
    assert!(!definition.spec.stages.is_empty());
    assert_eq!(definition_bytes(&definition), row);
}

#[rstest]
#[case::speculative(Some(DEFINITION_ROW), PROGRESS_ROW, 4)]
#[case::gang(Some(GANG_DEFINITION_ROW), GANG_PROGRESS_ROW, 0)]
#[case::ended(None, ENDED_PROGRESS_ROW, 0)]
fn a_progress_row_is_read_and_written_unchanged(
    #[case] definition: Option<&str>,
    #[case] progress: &str,
    #[case] speculative_runs: usize,
) {
    let definition = definition.map_or_else(Definition::default, |hex| {
        read_definition(b"job/0000000000000007", &bytes(hex)).expect("the row is readable")
    });
    let row = bytes(progress);
    let progress = read_progress(b"progress/0000000000000007", &row).expect("the row is readable");
    assert_eq!(progress.speculative_runs.len(), speculative_runs);
    let mut workers = Workers::new(MAX_LEASE_MS);
    let job = progress.restore(definition, &mut workers, 1_000, |_, _| 1_000);
    assert_eq!(progress_bytes(&job, &workers), row);
}

#[test]
fn keys_are_read_and_written_unchanged() {
    for key in [&b"job/0000000000000007"[..], b"progress/0000000000000007"] {
        assert_eq!(RowKey::parse(key).expect("a key of a job").bytes(), key);
    }
    assert_eq!(instance_of(b"life/i-n1-1"), Some("i-n1-1"));
    assert_eq!(instance_key("i-n1-1"), b"life/i-n1-1");
}
