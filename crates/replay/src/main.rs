//! The laboratory's command line.

#![forbid(unsafe_code)]

/// Prints a line; whoever reads may have left.
macro_rules! say {
    ($($text:tt)*) => {{ let _ = writeln!(std::io::stdout(), $($text)*); }};
}

mod cli;
mod files;
mod import_command;
mod play_command;
mod recording_commands;
mod survey_command;

use clap::Parser;
use cli::{Call, Cli, SchemaOf};
use files::{first_time, text_of};
use import_command::import_files;
use indigofold_replay::{compare, report, retry_folding, scenario};
use indigofold_traffic::mapping;
use indigofold_traffic::ops::{self, Factor, Scaled};
use play_command::{live, read_run, read_scenario, replay};
use recording_commands::{change, merge, show};
use serde_json::json;
use std::io::Write;
use std::process::ExitCode;

type Bad = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    tracing_subscriber::fmt()
        .with_max_level(cli.log)
        .with_writer(std::io::stderr)
        .init();
    match call(&cli) {
        Ok(code) => code,
        Err(error) => {
            if cli.json {
                say!("{}", json!({"error": error.to_string()}));
            }
            eprintln!("indigofold-replay: {error}");
            ExitCode::from(1)
        }
    }
}

fn call(cli: &Cli) -> Result<ExitCode, Bad> {
    match &cli.call {
        Call::Import(args) => return import_files(args, cli.json),
        Call::Show { recording } => show(recording, cli.json)?,
        Call::Cut { files, from, to } => {
            let first = first_time(&files.recording)?;
            let at = |s: f64| first + (s * 1e6) as i64;
            change(files, cli.json, |jobs| {
                Box::new(ops::cut(jobs, at(*from), at(*to)))
            })?;
        }
        Call::Filter {
            files,
            class,
            parish,
        } => {
            change(files, cli.json, |jobs| {
                Box::new(ops::filter(jobs, class.clone(), parish.clone()))
            })?;
        }
        Call::Merge { recordings, out } => merge(recordings, out, cli.json)?,
        Call::Scale {
            files,
            by,
            stretch_ms,
            seed,
        } => {
            if !(*by > 0.0 && *by <= 1_000.0) {
                return Err("--by must be over 0 and up to 1000".into());
            }
            let (factor, stretch) = (Factor::Always(*by), stretch_ms.max(&1) * 1000);
            change(files, cli.json, |jobs| {
                Box::new(Scaled::new(jobs, factor, stretch, *seed))
            })?;
        }
        Call::Jump {
            files,
            at,
            long,
            times,
            edge,
            seed,
        } => {
            if !(*times > 0.0 && *times <= 1_000.0) {
                return Err("--times must be over 0 and up to 1000".into());
            }
            let first = first_time(&files.recording)?;
            let us = |s: f64| (s * 1e6) as i64;
            let from = first + us(*at);
            let factor = Factor::Jump {
                from,
                to: from + us(*long),
                edge: us(*edge),
                times: *times,
            };
            change(files, cli.json, |jobs| {
                Box::new(Scaled::new(jobs, factor, 100_000, *seed))
            })?;
        }
        Call::Pseudonymise {
            files,
            secret,
            parishes,
        } => {
            let secret = text_of(secret)?;
            if secret.trim().len() < 16 {
                return Err("the secret is too short: 16 characters or more are wanted".into());
            }
            change(files, cli.json, |jobs| {
                Box::new(ops::pseudonymise(jobs, secret.trim(), *parishes))
            })?;
        }
        Call::Live(args) => return live(args, cli.json),
        Call::Replay(args) => return replay(args, cli.json),
        Call::Compare {
            scenario,
            a,
            b,
            report,
        } => {
            let scenario = read_scenario(scenario)?;
            let (a, b) = (read_run(a)?, read_run(b)?);
            let found = compare::compare(&a, &b);
            if let Some(path) = report {
                let page = report::page(
                    &scenario,
                    "Comparison",
                    &[("A", &a), ("B", &b)],
                    Some(&found),
                )?;
                std::fs::write(path, page)?;
            }
            if cli.json {
                say!("{}", serde_json::to_string(&found)?);
            } else {
                say!("{}", found.verdict);
                for d in &found.metrics {
                    let interval = d
                        .interval
                        .map_or(String::new(), |[l, h]| format!("  ({l:+.4} to {h:+.4})"));
                    say!(
                        "{:44} {:10.4} {:10.4} {:+10.4}{interval}",
                        d.name,
                        d.a,
                        d.b,
                        d.by
                    );
                }
            }
        }
        Call::FoldCheck { scenario, seeds } => {
            let scenario = read_scenario(scenario)?;
            let rows = retry_folding::check(&scenario, *seeds)?;
            if cli.json {
                say!("{}", serde_json::to_string(&rows)?);
            } else {
                say!(
                    "{:32} {:>10} {:>10} {:>10} {:>10}",
                    "known by",
                    "retries",
                    "folded",
                    "precision",
                    "recall"
                );
                for r in rows {
                    say!(
                        "{:32} {:10} {:10} {:10.4} {:10.4}",
                        r.by,
                        r.retries,
                        r.folded,
                        r.precision,
                        r.recall
                    );
                }
            }
        }
        Call::Survey(args) => survey_command::call(args, cli.json)?,
        Call::Schema { of } => {
            let schema = match of {
                SchemaOf::Mapping => mapping::schema(),
                SchemaOf::Scenario => scenario::schema(),
            };
            say!("{}", serde_json::to_string_pretty(&schema)?);
        }
    }
    Ok(ExitCode::SUCCESS)
}
