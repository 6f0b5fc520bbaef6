//! Errors of `quickstart`.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Why the cluster cannot be run, or its first job has not completed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum QuickstartError {
    /// The program file of a daemon does not exist.
    #[snafu(display(
        "{} is missing: build it (cargo build -p indigofold-control-plane -p indigofold-data-plane) or name its folder with --programs",
        path.display()
    ))]
    NoProgram {
        /// Path at which the program is expected.
        path: PathBuf,
    },
    /// A file or folder of the cluster cannot be created or written.
    #[snafu(display("{} cannot be written: {source}", path.display()))]
    Files {
        /// Path of the file or folder.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A daemon cannot be started.
    #[snafu(display("{} cannot be started: {source}", path.display()))]
    Start {
        /// Path of the daemon's program.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A daemon has ended although it was not told to.
    #[snafu(display("{name} has ended unexpectedly ({status}); the end of its log:\n{log}"))]
    DaemonEnded {
        /// Name of the daemon's machine.
        name: String,
        /// Exit status of the process.
        status: String,
        /// The last lines of the daemon's log.
        log: String,
    },
    /// A step of the scenario did not succeed in time.
    #[snafu(display("{step} did not happen within {seconds} s; the last attempt: {source}"))]
    StepTimeout {
        /// Description of the step.
        step: &'static str,
        /// The time limit, in seconds.
        seconds: u64,
        /// The error of the last attempt.
        source: AttemptError,
    },
    /// The first job ended in a state other than completed.
    #[snafu(display("the first job has ended as {state}: completed is expected"))]
    JobNotCompleted {
        /// The job's final state.
        state: String,
    },
    /// SIGINT or SIGTERM arrived during a step.
    #[snafu(display("interrupted by a signal"))]
    Interrupted,
    /// The signal handlers cannot be installed.
    #[snafu(display("signals cannot be caught: {source}"))]
    Signals {
        /// The I/O error.
        source: io::Error,
    },
    /// Standard output cannot be written.
    #[snafu(display("standard output cannot be written: {source}"))]
    Output {
        /// The I/O error.
        source: io::Error,
    },
}

impl QuickstartError {
    /// Whether the input is at fault: the daemons' programs are not built, or not in the given folder.
    pub fn is_input(&self) -> bool {
        matches!(self, QuickstartError::NoProgram { .. })
    }
}

/// Why one attempt at a step of the scenario failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum AttemptError {
    /// The cluster has no core member.
    #[snafu(display("the cluster has no core member"))]
    NoMembers,
    /// The request failed, or the response is not HTTP.
    #[snafu(display("{source}"))]
    Http {
        /// The I/O error.
        source: io::Error,
    },
    /// The HTTP status of the response is not 200.
    #[snafu(display("{status} {body}"))]
    Status {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The job's state has not changed since the last response, or the response has no state.
    #[snafu(display("{body}"))]
    SameState {
        /// Body of the response.
        body: String,
    },
}
