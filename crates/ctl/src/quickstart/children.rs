//! The daemons as child processes. They are ended by their ids, and never outlive this value.

use super::layout::{Class, Layout, Machine};
use super::{FilesSnafu, NoProgramSnafu, QuickstartError, StartSnafu};
use rustix::process::{Pid, Signal, kill_process};
use snafu::{ResultExt, ensure};
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = indigofold_settings::CONFIG_VARIABLE;
/// Between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(4);
/// Time between two looks whether a child has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Lines of a log that are shown if its process ends by itself.
const LOG_TAIL_ROWS: usize = 8;

/// The daemons' programs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    /// The control plane.
    pub control: PathBuf,
    /// The data plane.
    pub data: PathBuf,
}

impl Programs {
    /// Those of a folder.
    pub fn in_folder(folder: &Path) -> Programs {
        Programs {
            control: folder.join("indigofold-control"),
            data: folder.join("indigofold-data"),
        }
    }

    /// Those beside this program.
    pub fn beside_this() -> Programs {
        let this = std::env::current_exe().unwrap_or_default();
        Programs::in_folder(this.parent().unwrap_or(Path::new(".")))
    }

    /// Whether they are there.
    pub(super) fn check(&self) -> Result<(), QuickstartError> {
        for path in [&self.control, &self.data] {
            ensure!(path.is_file(), NoProgramSnafu { path });
        }
        Ok(())
    }
}

/// A running daemon.
struct Daemon {
    name: String,
    child: Child,
    log: PathBuf,
}

/// The running daemons.
pub(super) struct Children {
    daemons: Vec<Daemon>,
}

impl Children {
    /// Writes the settings files and starts a daemon for each machine.
    pub fn start(
        programs: &Programs,
        layout: &Layout,
        folder: &Path,
    ) -> Result<Children, QuickstartError> {
        let mut children = Children {
            daemons: Vec::new(),
        };
        for machine in &layout.machines {
            let program = match machine.class {
                Class::Core => &programs.control,
                Class::Edge | Class::Side => &programs.data,
            };
            let settings = layout.settings(machine, folder);
            children
                .daemons
                .push(start(program, machine, &settings, folder)?);
        }
        Ok(children)
    }

    /// Fails if a daemon has ended by itself.
    pub fn check(&mut self) -> Result<(), QuickstartError> {
        for daemon in &mut self.daemons {
            if let Ok(Some(status)) = daemon.child.try_wait() {
                let (name, status) = (daemon.name.clone(), status.to_string());
                return Err(QuickstartError::Ended {
                    name,
                    status,
                    log: log_tail(&daemon.log),
                });
            }
        }
        Ok(())
    }

    /// Ends them: SIGTERM, and SIGKILL for those that take too long.
    pub fn end(&mut self) {
        for daemon in &self.daemons {
            // Fails only for one that has ended.
            let _ = kill_process(Pid::from_child(&daemon.child), Signal::TERM);
        }
        let deadline = Instant::now() + GRACE;
        for mut daemon in self.daemons.drain(..) {
            while matches!(daemon.child.try_wait(), Ok(None)) && Instant::now() < deadline {
                thread::sleep(POLL_INTERVAL);
            }
            // Both fail only for one that has ended and was waited for.
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        self.end();
    }
}

fn start(
    program: &Path,
    machine: &Machine,
    settings: &str,
    folder: &Path,
) -> Result<Daemon, QuickstartError> {
    let path = folder.join(format!("{}.toml", machine.name));
    fs::write(&path, settings).context(FilesSnafu { path: &path })?;
    let log = folder.join(format!("{}.log", machine.name));
    let output = File::create(&log).context(FilesSnafu { path: &log })?;
    let mut command = Command::new(program);
    command
        .env(SETTINGS_VARIABLE, &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(output);
    // Ctrl-C on the terminal is for this program alone: it ends the daemons in good order.
    command.process_group(0);
    let child = command.spawn().context(StartSnafu { path: program })?;
    Ok(Daemon {
        name: machine.name.clone(),
        child,
        log,
    })
}

fn log_tail(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_TAIL_ROWS)..].join("\n")
}
