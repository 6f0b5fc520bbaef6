//! The command line of the replay tool.

#![forbid(unsafe_code)]

/// Prints a line to standard output and ignores write errors, such as a closed pipe.
macro_rules! say {
    ($($text:tt)*) => {{ let _ = writeln!(std::io::stdout(), $($text)*); }};
}

mod cli;
mod compare_command;
mod files;
mod folding_command;
mod import_command;
mod play_command;
mod recording_commands;
mod survey_command;

use clap::Parser;
use cli::{Cli, Command, SchemaOf};
use compare_command::compare_runs;
use folding_command::check_folding;
use import_command::import_files;
use indigofold_replay::scenario;
use indigofold_traffic::mapping;
use indigofold_traffic::ops;
use play_command::{live, replay};
use recording_commands::{jump, keep_time_span, merge, pseudonymise, scale, show, transform};
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
    match run(&cli) {
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

fn run(cli: &Cli) -> Result<ExitCode, Bad> {
    match &cli.command {
        Command::Import(args) => return import_files(args, cli.json),
        Command::Show { recording } => show(recording, cli.json)?,
        Command::Cut { files, from, to } => keep_time_span(files, *from, *to, cli.json)?,
        Command::Filter {
            files,
            class,
            parish,
        } => {
            transform(files, cli.json, |jobs| {
                Box::new(ops::filter(jobs, class.clone(), parish.clone()))
            })?;
        }
        Command::Merge { recordings, out } => merge(recordings, out, cli.json)?,
        Command::Scale {
            files,
            by,
            stretch_ms,
            seed,
        } => scale(files, *by, *stretch_ms, *seed, cli.json)?,
        Command::Jump(args) => jump(args, cli.json)?,
        Command::Pseudonymise {
            files,
            secret,
            parishes,
        } => pseudonymise(files, secret, *parishes, cli.json)?,
        Command::Live(args) => return live(args, cli.json),
        Command::Replay(args) => return replay(args, cli.json),
        Command::Compare(args) => compare_runs(args, cli.json)?,
        Command::FoldCheck { scenario, seeds } => check_folding(scenario, *seeds, cli.json)?,
        Command::Survey(args) => survey_command::call(args, cli.json)?,
        Command::Schema { of } => {
            let schema = match of {
                SchemaOf::Mapping => mapping::schema(),
                SchemaOf::Scenario => scenario::schema(),
            };
            say!("{}", serde_json::to_string_pretty(&schema)?);
        }
    }
    Ok(ExitCode::SUCCESS)
}
