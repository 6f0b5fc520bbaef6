//! The `compare` command: prints and reports the differences between the results of two runs.

use crate::Bad;
use crate::cli::Compare;
use crate::play_command::{read_run, read_scenario};
use indigofold_replay::compare::{Difference, compare};
use indigofold_replay::report;
use std::io::Write;

pub(crate) fn compare_runs(args: &Compare, json: bool) -> Result<(), Bad> {
    let scenario = read_scenario(&args.scenario)?;
    let (a, b) = (read_run(&args.a)?, read_run(&args.b)?);
    let comparison = compare(&a, &b);
    if let Some(path) = &args.report {
        let runs = [("A", &a), ("B", &b)];
        let page = report::page(&scenario, "Comparison", &runs, Some(&comparison))?;
        std::fs::write(path, page)?;
    }
    if json {
        say!("{}", serde_json::to_string(&comparison)?);
        return Ok(());
    }
    say!("{}", comparison.verdict);
    for difference in &comparison.metrics {
        print_difference(difference);
    }
    Ok(())
}

fn print_difference(difference: &Difference) {
    let Difference { name, a, b, by, .. } = difference;
    let interval = difference.interval.map_or(String::new(), |[low, high]| {
        format!("  ({low:+.4} to {high:+.4})")
    });
    say!("{name:44} {a:10.4} {b:10.4} {by:+10.4}{interval}");
}
