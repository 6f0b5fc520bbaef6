//! `quickstart`: runs a small cluster on loopback addresses of this machine, with stand-in workers, and a first job.

mod children;
mod error;
mod http;
mod layout;
mod programs;
mod scenario;
mod settings_file;
mod stand_in;
mod workers;
mod workload;

pub use error::{AttemptError, QuickstartError};
pub use programs::{CONTROL_DAEMON, DAEMON_ARGUMENT, DATA_DAEMON, Programs};
pub use stand_in::{StandInWorker, WorkerLimits};

use crate::report::Report;
use children::Children;
use error::{FilesSnafu, OutputSnafu, SignalsSnafu};
use layout::Layout;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::ResultExt;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use workers::Workers;

/// Options of `quickstart`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of core members, 1 or 3.
    pub members: usize,
    /// End after the first job instead of serving until a signal arrives.
    pub once: bool,
    /// Programs of the daemons.
    pub programs: Programs,
}

/// Runs the cluster and prints each step to `out`. All daemons have ended when this returns.
///
/// # Errors
///
/// [`QuickstartError`] if a program is missing, a process cannot be started or ends early, or the first job does not
/// complete. SIGINT and SIGTERM end the cluster without an error.
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
    let result = scenario::run(&layout, &mut children, &interrupted, out, options.once);
    drop(workers);
    children.terminate();
    match result {
        Ok(()) | Err(QuickstartError::Interrupted) => {}
        Err(error) => return Err(error),
    }
    writeln!(out, "all processes have ended").context(OutputSnafu)?;
    Ok(Report {
        data: json!({ "members": options.members }),
        ..Report::default()
    })
}

/// Installs handlers for SIGINT (Ctrl-C) and SIGTERM; the returned flag becomes true when one of them arrives.
fn catch_signals() -> Result<Arc<AtomicBool>, QuickstartError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone()).context(SignalsSnafu)?;
    }
    Ok(interrupted)
}
