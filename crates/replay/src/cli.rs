//! What may be called, with its arguments.

use crate::survey_command;
use clap::{Args, Parser, Subcommand};
use indigofold_replay::export::Form;
use indigofold_replay::virtual_time::Retries;
use std::path::PathBuf;

/// Recorded traffic, and the laboratory to play it in.
///
/// Exit codes: 0 done; 1 it could not be done, and why is said; 2 the call was wrong; 3 a run broke a rule.
#[derive(Parser)]
#[command(name = "indigofold-replay", version)]
pub(crate) struct Cli {
    /// Print results as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// What is logged to standard error: error, warn, info, debug.
    #[arg(long, global = true, default_value = "info")]
    pub log: tracing::Level,
    #[command(subcommand)]
    pub call: Call,
}

#[derive(Subcommand)]
pub(crate) enum Call {
    /// Make a recording of HAR files and access logs.
    Import(Import),
    /// Show what a recording holds.
    Show {
        /// The recording.
        recording: PathBuf,
    },
    /// Keep a stretch of time.
    Cut {
        #[command(flatten)]
        files: Files,
        /// Seconds after the first job.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        /// Seconds after the first job.
        #[arg(long)]
        to: f64,
    },
    /// Keep some classes and parishes.
    Filter {
        #[command(flatten)]
        files: Files,
        /// A class to keep; may be named several times.
        #[arg(long)]
        class: Vec<String>,
        /// A parish to keep; may be named several times.
        #[arg(long)]
        parish: Vec<String>,
    },
    /// Make one recording of several, by time.
    Merge {
        /// The recordings.
        #[arg(required = true)]
        recordings: Vec<PathBuf>,
        /// Where the result goes.
        #[arg(long, short)]
        out: PathBuf,
    },
    /// Scale the rate up or down.
    Scale {
        #[command(flatten)]
        files: Files,
        /// So many times as much.
        #[arg(long)]
        by: f64,
        /// Copies are turned round within stretches of so long.
        #[arg(long, default_value_t = 1_000)]
        stretch_ms: i64,
        /// Random numbers begin here.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Add a jump of the rate.
    Jump(Jump),
    /// Put keyed hashes in place of what names people and things.
    Pseudonymise {
        #[command(flatten)]
        files: Files,
        /// A file with the secret. The same secret gives the same names again.
        #[arg(long)]
        secret: PathBuf,
        /// Parishes too.
        #[arg(long)]
        parishes: bool,
    },
    /// Play the scenario's made load in virtual time, and keep the schedulers' access logs.
    Live(Live),
    /// Play a recording in virtual time, or on sockets.
    Replay(Replay),
    /// Compare two results that `replay` or `live` have written with --json-out.
    Compare(Compare),
    /// How well retries are folded, on traffic whose truth is known.
    FoldCheck {
        /// The scenario.
        scenario: PathBuf,
        /// Seeds, from 1 on.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Draw deployments at random, play the module and plain policies on each, and show where the module loses.
    Survey(survey_command::Survey),
    /// Print a published schema: of the mapping file or of the scenario file.
    Schema {
        /// Which.
        of: SchemaOf,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
pub(crate) enum SchemaOf {
    Mapping,
    Scenario,
}

#[derive(Args)]
pub(crate) struct Files {
    /// The recording.
    pub recording: PathBuf,
    /// Where the result goes; compressed if its name ends in .zst.
    #[arg(long, short)]
    pub out: PathBuf,
}

#[derive(Args)]
pub(crate) struct Jump {
    #[command(flatten)]
    pub files: Files,
    /// Seconds after the first job.
    #[arg(long)]
    pub at: f64,
    /// For so many seconds.
    #[arg(long = "for")]
    pub long: f64,
    /// To so many times the usual.
    #[arg(long)]
    pub times: f64,
    /// Rise and fall, in seconds each.
    #[arg(long, default_value_t = 0.5)]
    pub edge: f64,
    /// Random numbers begin here.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Args)]
pub(crate) struct Compare {
    /// The scenario that both were played on.
    #[arg(long)]
    pub scenario: PathBuf,
    /// A result.
    pub a: PathBuf,
    /// Another.
    pub b: PathBuf,
    /// Write a report here.
    #[arg(long)]
    pub report: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct Import {
    /// HAR files, logs, recordings; plain, gzip or zstd. Rotated files may be named in any order.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// The mapping file: what a record's class, parish, subject and key are.
    #[arg(long)]
    pub mapping: PathBuf,
    /// Where the recording goes; compressed if its name ends in .zst.
    #[arg(long, short)]
    pub out: PathBuf,
    /// common, combined, nginx, envoy, json, har, recording, or apache:FORMAT, nginx:FORMAT, envoy:FORMAT with the
    /// server's own format string. Without it each file's is found out.
    #[arg(long)]
    pub format: Option<String>,
    /// The first record that cannot be understood ends the import.
    #[arg(long)]
    pub strict: bool,
    /// A larger share of such records fails it.
    #[arg(long, default_value_t = 1.0)]
    pub max_bad: f64,
    /// Random numbers begin here.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Args)]
pub(crate) struct Live {
    /// The scenario.
    pub scenario: PathBuf,
    /// Random numbers begin here, in place of the scenario's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Where the logs go: one for each scheduler, with the mapping file.
    #[arg(long, short)]
    pub out: Option<PathBuf>,
    /// The logs' format.
    #[arg(long, value_enum, default_value = "apache")]
    pub form: Form,
    /// Share of lines that are lost.
    #[arg(long, default_value_t = 0.0)]
    pub lose: f64,
    /// Share of lines that are damaged.
    #[arg(long, default_value_t = 0.0)]
    pub damage: f64,
    #[command(flatten)]
    pub results: Results,
}

#[derive(Args)]
pub(crate) struct Replay {
    /// The scenario: schedulers, job workers, troubles.
    pub scenario: PathBuf,
    /// The recording; without one, the scenario's made load.
    pub recording: Option<PathBuf>,
    /// Random numbers begin here, in place of the scenario's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// What becomes of recorded retries.
    #[arg(long, value_enum, default_value = "model")]
    pub retries: Retries,
    /// On sockets, with the real program, in place of virtual time.
    #[arg(long)]
    pub sockets: bool,
    /// The program, for --sockets.
    #[arg(long, default_value = "target/release/indigofold")]
    pub program: PathBuf,
    /// Only so many seconds of it.
    #[arg(long)]
    pub seconds: Option<f64>,
    #[command(flatten)]
    pub results: Results,
}

#[derive(Args)]
pub(crate) struct Results {
    /// Write a report here.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Write the whole result here, for `compare`.
    #[arg(long)]
    pub json_out: Option<PathBuf>,
}
