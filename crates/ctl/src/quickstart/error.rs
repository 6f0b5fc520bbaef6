//! Why the small cluster cannot be run.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Why the small cluster cannot be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum QuickstartError {
    /// A daemon's program is not there.
    #[snafu(display(
        "{} is missing: build it (cargo build -p indigofold-control-plane -p indigofold-data-plane) or name its folder with --programs",
        path.display()
    ))]
    NoProgram {
        /// Where it is expected.
        path: PathBuf,
    },
    /// A file of the cluster cannot be written.
    #[snafu(display("{} cannot be written: {source}", path.display()))]
    Files {
        /// Which.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A daemon cannot be started.
    #[snafu(display("{} cannot be started: {source}", path.display()))]
    Start {
        /// Its program.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A daemon has ended by itself.
    #[snafu(display("{name} has ended by itself ({status}); it wrote last:\n{log}"))]
    Ended {
        /// Its name.
        name: String,
        /// How.
        status: String,
        /// The end of its log.
        log: String,
    },
    /// A step of the scenario did not succeed in time.
    #[snafu(display("{step} did not happen within {seconds} s; the last answer: {source}"))]
    Late {
        /// The step.
        step: &'static str,
        /// The time that it had.
        seconds: u64,
        /// Why the last attempt failed.
        source: AttemptError,
    },
    /// The first job did not end well.
    #[snafu(display("the job is {state}: completed is expected"))]
    JobEnd {
        /// Its state.
        state: String,
    },
    /// A signal has ended it.
    #[snafu(display("interrupted by a signal"))]
    Interrupted,
    /// Signals cannot be caught.
    #[snafu(display("signals cannot be caught: {source}"))]
    Signals {
        /// Why.
        source: io::Error,
    },
    /// Nothing can be printed.
    #[snafu(display("standard output cannot be written: {source}"))]
    Output {
        /// Why.
        source: io::Error,
    },
}

impl QuickstartError {
    /// Whether the command line or the build is at fault.
    pub fn is_input(&self) -> bool {
        matches!(self, QuickstartError::NoProgram { .. })
    }
}

/// Why one attempt at a step of the scenario has failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum AttemptError {
    /// The cluster has no core member.
    #[snafu(display("there are no members"))]
    NoMembers,
    /// There is no response, or none that can be read.
    #[snafu(display("{source}"))]
    Http {
        /// Why.
        source: io::Error,
    },
    /// The response is an error.
    #[snafu(display("{status} {body}"))]
    Status {
        /// Its HTTP status.
        status: u16,
        /// Its body.
        body: String,
    },
    /// The job's state is the same as before, or the response shows none.
    #[snafu(display("{body}"))]
    SameState {
        /// The response's body.
        body: String,
    },
}
