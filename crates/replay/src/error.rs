//! Why a scenario cannot be played, or a survey not be made.

use indigofold::config::ConfigError;
use indigofold_traffic::document::DocumentError;
use indigofold_traffic::recording::RecordingError;
use snafu::Snafu;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// Why a scenario cannot be played, or a survey not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplayError {
    /// A scenario has parts that are not allowed.
    #[snafu(display("{}", errors.join("\n")))]
    Scenario {
        /// Each thing that is wrong, with its place.
        errors: Vec<String>,
    },
    /// A scenario's file cannot be read.
    #[snafu(display("{source}"))]
    Document {
        /// Each thing that is wrong, with its place.
        source: DocumentError,
    },
    /// The scheduler rejects the settings that follow from a scenario.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: ConfigError,
    },
    /// Load is to be made, and the scenario does not say how much.
    #[snafu(display("at /load: 'rate' and 'seconds' must be over 0 for load that is made"))]
    NoLoad,
    /// Subjects cannot be drawn as the scenario says.
    #[snafu(display("at /clients/zipf: {source}"))]
    Subjects {
        /// Why.
        source: rand_distr::ZipfError,
    },
    /// Running times of a class cannot be drawn as the scenario says.
    #[snafu(display("class {class:?}: {reason}"))]
    RunTimes {
        /// The class.
        class: String,
        /// Why, as the library says it.
        reason: String,
    },
    /// The recording is damaged.
    #[snafu(display("{source}"))]
    Recording {
        /// Where and how.
        source: RecordingError,
    },
    /// A recorded job is of a class that the scenario does not have.
    #[snafu(display("class {class:?} of the recording is none of the scenario's: {}", allowed.join(", ")))]
    UnknownClass {
        /// Its class.
        class: String,
        /// Those of the scenario.
        allowed: Vec<String>,
    },
    /// The scenario has parts that are played in virtual time only.
    #[snafu(display(
        "at /machines: 'things', 'cancel' and 'copies' are played in virtual time only"
    ))]
    VirtualTimeOnly,
    /// A stand-in cannot be opened.
    #[snafu(display("{stand_in}: {source}"))]
    StandIn {
        /// Which.
        stand_in: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// No port is free for a scheduler.
    #[snafu(display("{source}"))]
    NoPort {
        /// Why.
        source: std::io::Error,
    },
    /// A file or a program cannot be used.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A scheduler is not ready in time.
    #[snafu(display("a scheduler was not ready within {within:?}; its last lines: {log:#?}"))]
    NotReady {
        /// The time that it had.
        within: Duration,
        /// The last lines of its log.
        log: Vec<String>,
    },
    /// A scheduler ended before its time.
    #[snafu(display("a scheduler ended while it was needed: {status}"))]
    SchedulerEnded {
        /// How.
        status: ExitStatus,
    },
    /// Recorded retries cannot be folded.
    #[snafu(display("{source}"))]
    Fold {
        /// Why.
        source: std::io::Error,
    },
    /// A row cannot be written as JSON.
    #[snafu(display("{source}"))]
    Row {
        /// Why.
        source: serde_json::Error,
    },
    /// A deployment of a survey cannot be played.
    #[snafu(display("deployment {number}, {policy}: {source}"))]
    Deployment {
        /// Its number.
        number: u64,
        /// The policy.
        policy: String,
        /// Why.
        source: Box<ReplayError>,
    },
    /// A file is no survey.
    #[snafu(display("{}: it is no survey; name another file", path.display()))]
    NoSurvey {
        /// Its path.
        path: PathBuf,
    },
    /// A file holds the rows of another plan.
    #[snafu(display("{}: it holds another survey (seed {seed}, {runs} runs, version {version}); name another file", path.display()))]
    OtherSurvey {
        /// Its path.
        path: PathBuf,
        /// Seed of the other plan.
        seed: u64,
        /// Its runs.
        runs: u32,
        /// The version that made it.
        version: u32,
    },
    /// A plan has too few or too many runs.
    #[snafu(display("{runs} runs given, {fewest} to {most} are allowed"))]
    Runs {
        /// Those given.
        runs: u32,
        /// The fewest allowed.
        fewest: u32,
        /// The most allowed.
        most: u32,
    },
    /// A plan has nothing to compare the module with.
    #[snafu(display("the module and one more policy at least are wanted"))]
    NoComparison,
}
