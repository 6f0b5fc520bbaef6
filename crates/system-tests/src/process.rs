//! Control of child processes: start, signals and exit. A child never outlives its [`Process`].

use crate::wait::{Signal, TimedOut, locked};
use rustix::process::{Pid, Signal as ProcessSignal, kill_process};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "INDIGOFOLD_CONFIG";
/// Environment variables that a child inherits.
const INHERITED: [&str; 3] = ["PATH", "HOME", "LANG"];
/// Number of lines of a process's output that are kept.
const LOG_LINES_KEPT: usize = 400;

/// Error in the control of a child process.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The process could not be started.
    #[snafu(display("cannot start {}: {source}", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The process is not running.
    #[snafu(display("{name} is not running"))]
    NotRunning {
        /// Name of the machine.
        name: String,
    },
    /// The signal could not be sent.
    #[snafu(display("cannot signal {name}: {source}"))]
    SignalNotSent {
        /// Name of the machine.
        name: String,
        /// Error of the system call.
        source: rustix::io::Errno,
    },
    /// The process did not exit in time.
    #[snafu(display("{name} did not exit: {source}"))]
    DidNotExit {
        /// Name of the machine.
        name: String,
        /// How long the caller waited.
        source: TimedOut,
    },
}

/// The last output lines of a machine's processes, across restarts.
#[derive(Debug, Default)]
pub struct Log {
    lines: Mutex<VecDeque<String>>,
}

impl Log {
    fn push(&self, line: String) {
        let mut lines = locked(&self.lines);
        if lines.len() == LOG_LINES_KEPT {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// The lines that are kept, oldest first.
    pub fn last_lines(&self) -> Vec<String> {
        locked(&self.lines).iter().cloned().collect()
    }
}

/// The process of one machine, which can be started again after it has exited.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Option<Child>,
    log: Arc<Log>,
    signal: Arc<Signal>,
}

impl Process {
    /// Creates a process that has not been started.
    pub fn new(name: String, signal: Arc<Signal>) -> Self {
        Process {
            name,
            child: None,
            log: Arc::default(),
            signal,
        }
    }

    /// Starts the program with the settings file. As on the platform, no environment variables are passed on except
    /// those of `INHERITED`.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if the program cannot be started.
    pub fn start(&mut self, program: &Path, settings: &Path) -> Result<(), ProcessError> {
        let mut command = Command::new(program);
        command.env_clear().env(SETTINGS_VARIABLE, settings);
        for name in INHERITED {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().context(StartSnafu { program })?;
        self.log.push(format!("-- started as {}", child.id()));
        self.keep_output(child.stdout.take());
        self.keep_output(child.stderr.take());
        self.child = Some(child);
        Ok(())
    }

    /// Collects the lines of an output stream in the log, and raises the signal at each.
    fn keep_output(&self, stream: Option<impl Read + Send + 'static>) {
        let Some(stream) = stream else { return };
        let (log, signal) = (self.log.clone(), self.signal.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                log.push(line);
                signal.raise();
            }
            signal.raise();
        });
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether the process was started and has exited without [`kill`](Self::kill) or [`wait_exit`](Self::wait_exit).
    pub fn has_exited_unexpectedly(&mut self) -> bool {
        self.child.is_some() && !self.is_running()
    }

    /// Sends SIGKILL and waits until the process has exited; does nothing if it is not running.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both calls fail only if the child has already exited.
            let _ = child.kill();
            let _ = child.wait();
            self.log.push("-- killed".to_owned());
        }
    }

    /// Sends SIGTERM to the process.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if the process is not running, or cannot be signalled.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal_child(ProcessSignal::TERM, "-- terminated")
    }

    /// Suspends the process with SIGSTOP, as if its machine were frozen.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if the process is not running, or cannot be signalled.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal_child(ProcessSignal::STOP, "-- frozen")
    }

    /// Resumes the process with SIGCONT.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if the process is not running, or cannot be signalled.
    pub fn thaw(&self) -> Result<(), ProcessError> {
        self.signal_child(ProcessSignal::CONT, "-- thawed")
    }

    fn signal_child(&self, signal: ProcessSignal, message: &str) -> Result<(), ProcessError> {
        let name = &self.name;
        let child = self.child.as_ref().context(NotRunningSnafu { name })?;
        self.log.push(message.to_owned());
        kill_process(Pid::from_child(child), signal).context(SignalNotSentSnafu { name })
    }

    /// Waits until the process has exited, and returns its status.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if the process is not running, or does not exit in time.
    pub fn wait_exit(&mut self, at_most: Duration) -> Result<ExitStatus, ProcessError> {
        let name = self.name.clone();
        let child = self
            .child
            .as_mut()
            .context(NotRunningSnafu { name: &name })?;
        let ended = self
            .signal
            .wait_until("the exit of a process", at_most, || {
                child.try_wait().ok().flatten()
            });
        let status = ended.context(DidNotExitSnafu { name })?;
        self.child = None;
        self.log.push(format!("-- ended: {status}"));
        Ok(status)
    }

    /// The output of the process, across restarts.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The name of the machine.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
