//! The `fold-check` command: measures the folding of retries on generated traffic whose retries are known.

use crate::Bad;
use crate::play_command::read_scenario;
use indigofold_replay::retry_folding;
use std::io::Write;
use std::path::Path;

pub(crate) fn check_folding(scenario: &Path, seeds: u64, json: bool) -> Result<(), Bad> {
    let scenario = read_scenario(scenario)?;
    let rows = retry_folding::check(&scenario, seeds)?;
    if json {
        say!("{}", serde_json::to_string(&rows)?);
        return Ok(());
    }
    say!(
        "{:32} {:>10} {:>10} {:>10} {:>10}",
        "known by",
        "retries",
        "folded",
        "precision",
        "recall"
    );
    for row in rows {
        say!(
            "{:32} {:10} {:10} {:10.4} {:10.4}",
            row.by,
            row.retries,
            row.folded,
            row.precision,
            row.recall
        );
    }
    Ok(())
}
