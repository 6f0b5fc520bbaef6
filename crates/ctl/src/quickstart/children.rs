//! Runs the daemons as child processes. They are signalled by process id and have ended once [`Children`] is dropped.

use super::error::{FilesSnafu, QuickstartError, StartSnafu};
use super::layout::{Layout, Machine};
use super::programs::Programs;
use super::settings_file;
use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the daemons have to end after SIGTERM, before they get SIGKILL.
const TERMINATION_GRACE: Duration = Duration::from_secs(4);
/// Interval of the checks whether a daemon has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of log lines in the error for a daemon that ended unexpectedly.
const LOG_TAIL_LENGTH: usize = 8;

/// A running daemon.
struct Daemon {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Daemon {
    /// Writes the settings file of a machine and starts its daemon. The settings file and the log are in `folder`.
    fn start(
        programs: &Programs,
        machine: &Machine,
        settings: &str,
        folder: &Path,
    ) -> Result<Daemon, QuickstartError> {
        let path = folder.join(format!("{}.toml", machine.name));
        fs::write(&path, settings).context(FilesSnafu { path: &path })?;
        let log = folder.join(format!("{}.log", machine.name));
        let output = File::create(&log).context(FilesSnafu { path: &log })?;
        let (program, arguments) = programs.command_for(machine.class);
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env(indigofold_settings::CONFIG_VARIABLE, &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output);
        // A process group of its own keeps Ctrl-C in the terminal from signalling the daemon directly; this program
        // handles the signal and then terminates the daemons.
        command.process_group(0);
        let child = command.spawn().context(StartSnafu { path: program })?;
        Ok(Daemon {
            name: machine.name.clone(),
            child,
            log,
        })
    }
}

/// The running daemons.
pub(super) struct Children {
    daemons: Vec<Daemon>,
}

impl Children {
    /// Writes the settings files and starts a daemon for each machine.
    pub(super) fn start(
        programs: &Programs,
        layout: &Layout,
        folder: &Path,
    ) -> Result<Children, QuickstartError> {
        let mut children = Children {
            daemons: Vec::new(),
        };
        for machine in &layout.machines {
            let settings = settings_file::text(layout, machine, folder);
            let daemon = Daemon::start(programs, machine, &settings, folder)?;
            children.daemons.push(daemon);
        }
        Ok(children)
    }

    /// Fails if a daemon has ended although it was not told to.
    pub(super) fn check_running(&mut self) -> Result<(), QuickstartError> {
        for daemon in &mut self.daemons {
            if let Ok(Some(status)) = daemon.child.try_wait() {
                return Err(QuickstartError::DaemonEnded {
                    name: daemon.name.clone(),
                    status: status.to_string(),
                    log: log_tail(&daemon.log),
                });
            }
        }
        Ok(())
    }

    /// Ends all daemons: SIGTERM, and SIGKILL for those still running after [`TERMINATION_GRACE`].
    pub(super) fn terminate(&mut self) {
        for daemon in &self.daemons {
            // An error means that the daemon has ended already.
            let _ = kill_process(Pid::from_child(&daemon.child), Signal::TERM);
        }
        let deadline = Instant::now() + TERMINATION_GRACE;
        for mut daemon in self.daemons.drain(..) {
            while matches!(daemon.child.try_wait(), Ok(None)) && Instant::now() < deadline {
                thread::sleep(POLL_INTERVAL);
            }
            // An error of either call means that the daemon has ended and its exit status was read already.
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        self.terminate();
    }
}

fn log_tail(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_TAIL_LENGTH)..].join("\n")
}
