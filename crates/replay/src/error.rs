//! Errors of playing scenarios and making surveys.

use indigofold::config::ConfigError;
use indigofold_traffic::document::DocumentError;
use indigofold_traffic::recording::RecordingError;
use snafu::Snafu;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// An error of playing a scenario or making a survey.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplayError {
    /// A scenario fails the checks beyond its schema.
    #[snafu(display("{}", errors.join("\n")))]
    Scenario {
        /// One text for each error, with its place in the file.
        errors: Vec<String>,
    },
    /// A scenario file does not match its schema.
    #[snafu(display("{source}"))]
    Document {
        /// All schema violations, each with its place in the file.
        source: DocumentError,
    },
    /// The scheduler rejects the settings derived from a scenario.
    #[snafu(display("{source}"))]
    Settings {
        /// The scheduler's error.
        source: ConfigError,
    },
    /// Load is to be generated and the scenario states no rate or no duration.
    #[snafu(display("at /load: 'rate' and 'seconds' must be over 0 to generate load"))]
    NoLoad,
    /// The scenario's distribution of subjects is invalid.
    #[snafu(display("at /clients/zipf: {source}"))]
    Subjects {
        /// The invalid parameter.
        source: rand_distr::ZipfError,
    },
    /// A class's distribution of running times is invalid.
    #[snafu(display("class {class:?}: {reason}"))]
    RunTimes {
        /// Name of the class.
        class: String,
        /// The invalid parameter, in the words of `rand_distr`.
        reason: String,
    },
    /// The recording is damaged.
    #[snafu(display("{source}"))]
    Recording {
        /// The damaged line and the reason.
        source: RecordingError,
    },
    /// A recorded job's class is not in the scenario.
    #[snafu(display("class {class:?} of the recording is not in the scenario, which has: {}", allowed.join(", ")))]
    UnknownClass {
        /// The job's class.
        class: String,
        /// Names of the scenario's classes.
        allowed: Vec<String>,
    },
    /// The scenario uses features that sockets do not support.
    #[snafu(display(
        "at /machines: 'things', 'cancel' and 'copies' are supported in virtual time only"
    ))]
    VirtualTimeOnly,
    /// An emulated worker or the emulated discovery service cannot be opened.
    #[snafu(display("{stand_in}: {source}"))]
    StandIn {
        /// Which one.
        stand_in: &'static str,
        /// The I/O error.
        source: std::io::Error,
    },
    /// No port is free for a scheduler.
    #[snafu(display("{source}"))]
    NoPort {
        /// The I/O error.
        source: std::io::Error,
    },
    /// A file cannot be read or written, or a program cannot be started.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file or program.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A scheduler is not ready in time.
    #[snafu(display("a scheduler was not ready within {within:?}; its last lines: {log:#?}"))]
    NotReady {
        /// Time limit for becoming ready.
        within: Duration,
        /// The last lines of its log.
        log: Vec<String>,
    },
    /// A scheduler process exited during the run.
    #[snafu(display("a scheduler ended before the end of the run: {status}"))]
    SchedulerEnded {
        /// Exit status of the process.
        status: ExitStatus,
    },
    /// Sorting the records for the folding of retries failed.
    #[snafu(display("{source}"))]
    Fold {
        /// The I/O error.
        source: std::io::Error,
    },
    /// A row of a survey cannot be written as JSON.
    #[snafu(display("{source}"))]
    Row {
        /// The serialisation error.
        source: serde_json::Error,
    },
    /// A deployment of a survey cannot be played.
    #[snafu(display("deployment {number}, {policy}: {source}"))]
    Deployment {
        /// Number of the deployment.
        number: u64,
        /// Name of the policy that was played.
        policy: String,
        /// Why the run failed.
        source: Box<ReplayError>,
    },
    /// An existing file is not a survey and is not overwritten.
    #[snafu(display("{}: it is no survey; name another file", path.display()))]
    NoSurvey {
        /// Path of the file.
        path: PathBuf,
    },
    /// A file holds the rows of a survey with another plan.
    #[snafu(display("{}: it holds another survey (seed {seed}, {runs} runs, version {version}); name another file", path.display()))]
    OtherSurvey {
        /// Path of the file.
        path: PathBuf,
        /// Seed of the other plan.
        seed: u64,
        /// Runs of the other plan.
        runs: u32,
        /// Version of the survey that wrote the file.
        version: u32,
    },
    /// A plan has too few or too many runs.
    #[snafu(display("{runs} runs given, {fewest} to {most} are allowed"))]
    Runs {
        /// Requested number of runs.
        runs: u32,
        /// Smallest allowed number.
        fewest: u32,
        /// Largest allowed number.
        most: u32,
    },
    /// A plan does not hold the module and at least one more policy.
    #[snafu(display("the module and at least one more policy are required"))]
    NoComparison,
}
