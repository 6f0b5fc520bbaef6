//! `quickstart`: a whole small cluster on loopback addresses of this machine, with stand-in workers and a first job.

mod children;
mod http;
mod layout;
mod scenario;
mod stand_in;

pub use children::Programs;
pub use stand_in::{StandIn, WorkerLimits};

use crate::report::Report;
use children::Children;
use layout::Layout;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::{ResultExt, Snafu};
use stand_in::Workers;
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// What is to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Core members.
    pub members: usize,
    /// End after the first job.
    pub once: bool,
    /// The daemons.
    pub programs: Programs,
}

/// Why the small cluster cannot be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum QuickstartError {
    /// A daemon's program is not there.
    #[snafu(display(
        "{} is missing: build it (cargo build -p indigofold-control-plane -p indigofold-data-plane) or name its folder with --programs",
        path.display()
    ))]
    NoProgram {
        /// Where it was looked for.
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
    /// Something did not happen in time.
    #[snafu(display("{what} did not happen within {seconds} s; the last answer: {last}"))]
    Late {
        /// What.
        what: &'static str,
        /// The time that it had.
        seconds: u64,
        /// What was heard last.
        last: String,
    },
    /// The first job did not end well.
    #[snafu(display("the job is {state}: completed is expected"))]
    JobEnd {
        /// Its state.
        state: String,
    },
    /// It was told to end.
    #[snafu(display("told to end"))]
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

/// Runs the cluster; tells on `out` what happens. The daemons end before this returns.
pub fn run(options: &Options, out: &mut impl Write) -> Result<Report, QuickstartError> {
    options.programs.check()?;
    let interrupted = catch_signals()?;
    let folder = tempfile::Builder::new().prefix("indigofold-").tempdir();
    let folder = folder.context(FilesSnafu {
        path: std::env::temp_dir(),
    })?;
    let layout = Layout::new(options.members, std::process::id());
    let mut children = Children::start(&options.programs, &layout, folder.path())?;
    let workers = Workers::start(&layout);
    let told = scenario::tell(&layout, &mut children, &interrupted, out, options.once);
    drop(workers);
    children.end();
    match told {
        Ok(()) | Err(QuickstartError::Interrupted) => {}
        Err(error) => return Err(error),
    }
    writeln!(out, "all processes have ended").context(OutputSnafu)?;
    Ok(Report {
        data: json!({ "members": options.members }),
        ..Report::default()
    })
}

/// Set by Ctrl-C and SIGTERM from now on.
fn catch_signals() -> Result<Arc<AtomicBool>, QuickstartError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone()).context(SignalsSnafu)?;
    }
    Ok(interrupted)
}
