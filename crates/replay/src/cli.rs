//! Subcommands and arguments of the command line. The doc comments are the help texts.

use crate::survey_command;
use clap::{Args, Parser, Subcommand};
use indigofold_replay::export::Form;
use indigofold_replay::virtual_time::Retries;
use std::path::PathBuf;

/// Imports recorded traffic and replays it against emulated workers.
///
/// Exit codes: 0 success; 1 failure, with the reason on standard error; 2 invalid arguments; 3 a run broke a rule.
#[derive(Parser)]
#[command(name = "indigofold-replay", version)]
pub(crate) struct Cli {
    /// Print results as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Least severe level that is logged to standard error: error, warn, info, debug.
    #[arg(long, global = true, default_value = "info")]
    pub log: tracing::Level,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Import HAR files and access logs into a recording.
    Import(Import),
    /// Summarise a recording: rates, classes, parishes, statuses.
    Show {
        /// The recording.
        recording: PathBuf,
    },
    /// Keep the jobs of a time range.
    Cut {
        #[command(flatten)]
        files: Files,
        /// Start of the range, in seconds after the first job.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        /// End of the range (exclusive), in seconds after the first job.
        #[arg(long)]
        to: f64,
    },
    /// Keep the jobs of the given classes and parishes.
    Filter {
        #[command(flatten)]
        files: Files,
        /// A class to keep; may be repeated. Without one, all classes are kept.
        #[arg(long)]
        class: Vec<String>,
        /// A parish to keep; may be repeated. Without one, all parishes are kept.
        #[arg(long)]
        parish: Vec<String>,
    },
    /// Merge recordings into one, ordered by time.
    Merge {
        /// Recordings to merge.
        #[arg(required = true)]
        recordings: Vec<PathBuf>,
        /// Output file; compressed if its name ends in .zst.
        #[arg(long, short)]
        out: PathBuf,
    },
    /// Scale the rate up or down.
    Scale {
        #[command(flatten)]
        files: Files,
        /// Factor by which the rate is multiplied; over 0 and up to 1000.
        #[arg(long)]
        by: f64,
        /// Length in milliseconds of the time spans within which added jobs are shifted.
        #[arg(long, default_value_t = 1_000)]
        stretch_ms: i64,
        /// Seed of the random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Add a temporary jump of the rate.
    Jump(Jump),
    /// Replace identifiers of people and objects by keyed hashes.
    Pseudonymise {
        #[command(flatten)]
        files: Files,
        /// File with the secret, of at least 16 characters. The same secret always gives the same hashes.
        #[arg(long)]
        secret: PathBuf,
        /// Replace the names of parishes as well.
        #[arg(long)]
        parishes: bool,
    },
    /// Play the scenario's generated load in virtual time and write the schedulers' access logs.
    Live(Live),
    /// Play a recording in virtual time or on sockets.
    Replay(Replay),
    /// Compare two results that `replay` or `live` wrote with --json-out.
    Compare(Compare),
    /// Measure how well recorded retries are matched to their first tries, on generated traffic where the right answer is known.
    FoldCheck {
        /// The scenario file.
        scenario: PathBuf,
        /// Number of seeds to play, starting at 1.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Generate random deployments, play the module and the baseline policies on each, and show where the module loses.
    Survey(survey_command::Survey),
    /// Print the JSON schema of the mapping file or of the scenario file.
    Schema {
        /// File type whose schema is printed.
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
    /// The recording to read.
    pub recording: PathBuf,
    /// Output file; compressed if its name ends in .zst.
    #[arg(long, short)]
    pub out: PathBuf,
}

#[derive(Args)]
pub(crate) struct Jump {
    #[command(flatten)]
    pub files: Files,
    /// Start of the jump, in seconds after the first job.
    #[arg(long)]
    pub at: f64,
    /// Length of the jump in seconds.
    #[arg(long = "for")]
    pub duration: f64,
    /// Factor by which the rate is multiplied during the jump; over 0 and up to 1000.
    #[arg(long)]
    pub times: f64,
    /// Length of the rise and of the fall, in seconds each.
    #[arg(long, default_value_t = 0.5)]
    pub edge: f64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Args)]
pub(crate) struct Compare {
    /// The scenario file that both runs were played on.
    #[arg(long)]
    pub scenario: PathBuf,
    /// Result of run A.
    pub a: PathBuf,
    /// Result of run B.
    pub b: PathBuf,
    /// Write an HTML report to this file.
    #[arg(long)]
    pub report: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct Import {
    /// HAR files, access logs or recordings; plain, gzip or zstd. Rotated files may be given in any order.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// The mapping file, which states how the class, parish, subject and key of a record are found.
    #[arg(long)]
    pub mapping: PathBuf,
    /// Output file; compressed if its name ends in .zst.
    #[arg(long, short)]
    pub out: PathBuf,
    /// common, combined, nginx, envoy, json, har, recording, or apache:FORMAT, nginx:FORMAT, envoy:FORMAT with the
    /// server's own format string. Without it the format of each file is detected.
    #[arg(long)]
    pub format: Option<String>,
    /// Fail at the first record that cannot be parsed.
    #[arg(long)]
    pub strict: bool,
    /// Fail if a greater fraction of the records cannot be parsed.
    #[arg(long, default_value_t = 1.0)]
    pub max_bad: f64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Args)]
pub(crate) struct Live {
    /// The scenario file.
    pub scenario: PathBuf,
    /// Seed of the random numbers; the scenario's by default.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Output folder: one log for each scheduler, and the mapping file.
    #[arg(long, short)]
    pub out: Option<PathBuf>,
    /// Format of the logs.
    #[arg(long, value_enum, default_value = "apache")]
    pub form: Form,
    /// Fraction of log lines that are lost.
    #[arg(long, default_value_t = 0.0)]
    pub lose: f64,
    /// Fraction of log lines that are damaged.
    #[arg(long, default_value_t = 0.0)]
    pub damage: f64,
    #[command(flatten)]
    pub results: Results,
}

#[derive(Args)]
pub(crate) struct Replay {
    /// The scenario file: schedulers, job workers, faults.
    pub scenario: PathBuf,
    /// The recording; without one, the scenario's load is generated.
    pub recording: Option<PathBuf>,
    /// Seed of the random numbers; the scenario's by default.
    #[arg(long)]
    pub seed: Option<u64>,
    /// How recorded retries are treated.
    #[arg(long, value_enum, default_value = "model")]
    pub retries: Retries,
    /// Play on sockets with the scheduler program instead of in virtual time.
    #[arg(long)]
    pub sockets: bool,
    /// The scheduler program, for --sockets.
    #[arg(long, default_value = "target/release/indigofold")]
    pub program: PathBuf,
    /// Play only this many seconds of the load, from its start.
    #[arg(long)]
    pub seconds: Option<f64>,
    #[command(flatten)]
    pub results: Results,
}

#[derive(Args)]
pub(crate) struct Results {
    /// Write an HTML report to this file.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Write the full result as JSON to this file, for `compare`.
    #[arg(long)]
    pub json_out: Option<PathBuf>,
}
