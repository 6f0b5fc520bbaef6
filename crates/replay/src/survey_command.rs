//! `indigofold-replay survey`.

use super::Bad;
use super::files::bar;
use clap::Args;
use indigofold_replay::baseline::Policy;
use indigofold_replay::survey::{self, Plan, VERSION, page};
use std::io::Write;
use std::path::PathBuf;

/// What is asked of it.
#[derive(Args)]
pub(crate) struct Survey {
    /// Deployments.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    count: u64,
    /// They are drawn from here.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs of each, 2 to 16.
    #[arg(long, default_value_t = 3)]
    runs: u32,
    /// Policies beside the module; all without it.
    #[arg(long, value_enum)]
    policy: Vec<Policy>,
    /// Threads; as many as there are cores without it. The result is the same.
    #[arg(long)]
    threads: Option<usize>,
    /// Rows go here as they are done, one a line; what is there already is not played again.
    #[arg(long, short, default_value = "survey.jsonl")]
    out: PathBuf,
    /// So many of the worst are shown.
    #[arg(long, default_value_t = 10)]
    worst: usize,
    /// Write a page here.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Print the scenario of the deployment of this number, and play nothing.
    #[arg(long)]
    scenario: Option<u64>,
}

/// Plays the survey, or goes on with one.
pub(crate) fn call(args: &Survey, json: bool) -> Result<(), Bad> {
    let mut out = std::io::stdout();
    if let Some(number) = args.scenario {
        let _ = writeln!(out, "{}", page::scenario(args.seed, number)?);
        return Ok(());
    }
    let mut policies = match args.policy.is_empty() {
        true => Policy::ALL.to_vec(),
        false => args.policy.clone(),
    };
    policies.push(Policy::Module);
    policies.sort_unstable();
    policies.dedup();
    let plan = Plan {
        version: VERSION,
        seed: args.seed,
        runs: args.runs,
        policies,
    };
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let bar = bar(args.count, "deployments");
    let rows = survey::survey(
        &plan,
        args.count,
        args.threads.unwrap_or(cores),
        &args.out,
        |done| {
            bar.set_position(done);
        },
    )?;
    bar.finish_and_clear();
    let summary = survey::summary(&rows, args.worst);
    if let Some(path) = &args.report {
        let title = format!("Survey {} of {} deployments", args.seed, rows.len());
        std::fs::write(path, page::page(&title, &rows, &summary)?)
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let _ = match json {
        true => writeln!(out, "{}", serde_json::to_string(&summary)?),
        false => write!(out, "{}", page::text(&rows, &summary)),
    };
    Ok(())
}
