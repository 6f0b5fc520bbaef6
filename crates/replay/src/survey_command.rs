//! The `indigofold-replay survey` command.

use super::Bad;
use super::files::bar;
use clap::Args;
use indigofold_replay::baseline::Policy;
use indigofold_replay::survey::{self, Plan, VERSION, page};
use std::io::Write;
use std::path::PathBuf;

/// Arguments of the command.
#[derive(Args)]
pub(crate) struct Survey {
    /// Number of deployments.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    count: u64,
    /// Seed from which the deployments are drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs of each deployment, 2 to 16.
    #[arg(long, default_value_t = 3)]
    runs: u32,
    /// Policies to compare with the module; all if omitted.
    #[arg(long, value_enum)]
    policy: Vec<Policy>,
    /// Number of threads; the number of cores if omitted. The result does not depend on it.
    #[arg(long)]
    threads: Option<usize>,
    /// File to which each completed row is appended as one line; deployments already in it are not played again.
    #[arg(long, short, default_value = "survey.jsonl")]
    out: PathBuf,
    /// Number of the worst deployments to show.
    #[arg(long, default_value_t = 10)]
    worst: usize,
    /// Write an HTML report to this file.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Print the scenario of the deployment with this number, and play nothing.
    #[arg(long)]
    scenario: Option<u64>,
}

/// Plays a survey, or resumes one from its file.
pub(crate) fn call(args: &Survey, json: bool) -> Result<(), Bad> {
    let mut out = std::io::stdout();
    if let Some(number) = args.scenario {
        let _ = writeln!(out, "{}", page::scenario_json(args.seed, number)?);
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
    let summary = survey::summarise(&rows, args.worst);
    if let Some(path) = &args.report {
        let title = format!("Survey {} of {} deployments", args.seed, rows.len());
        std::fs::write(path, page::render_html(&title, &rows, &summary)?)
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let _ = match json {
        true => writeln!(out, "{}", serde_json::to_string(&summary)?),
        false => write!(out, "{}", page::render_text(&rows, &summary)),
    };
    Ok(())
}
