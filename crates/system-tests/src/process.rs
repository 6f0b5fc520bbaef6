//! Child processes: start, signals, end. A child never outlives its [`Process`].

use crate::wait::{Signal, TimedOut, locked};
use rustix::process::{Pid, Signal as ProcessSignal, kill_process};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = "INDIGOFOLD_CONFIG";
/// Variables that a process gets from its caller.
const INHERITED: [&str; 3] = ["PATH", "HOME", "LANG"];
/// So many of a process's last lines are kept.
const LOG_LINES_KEPT: usize = 400;

/// A child that could not be started, signalled or waited for.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// It was not started.
    #[snafu(display("cannot start {}: {source}", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// It is not running.
    #[snafu(display("{name} is not running"))]
    NotRunning {
        /// Its machine.
        name: String,
    },
    /// A signal was not delivered.
    #[snafu(display("cannot signal {name}: {source}"))]
    SignalNotSent {
        /// Its machine.
        name: String,
        /// Why.
        source: rustix::io::Errno,
    },
    /// It did not end in time.
    #[snafu(display("{name} does not end: {source}"))]
    DidNotExit {
        /// Its machine.
        name: String,
        /// Why.
        source: TimedOut,
    },
}

/// The last lines that a machine's processes have written, over all their restarts.
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

    /// The lines that are kept.
    pub fn last_lines(&self) -> Vec<String> {
        locked(&self.lines).iter().cloned().collect()
    }
}

/// One machine's process; it can be started again after its end.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Option<Child>,
    log: Arc<Log>,
    signal: Arc<Signal>,
}

impl Process {
    /// A process that has not been started.
    pub fn new(name: String, signal: Arc<Signal>) -> Self {
        Process {
            name,
            child: None,
            log: Arc::default(),
            signal,
        }
    }

    /// Starts it, with no more of the test's variables than the platform hands on.
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

    /// Keeps the last lines of an output stream.
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

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether it was started and has ended by itself: not by [`kill`](Self::kill), nor awaited.
    pub fn has_exited_unexpectedly(&mut self) -> bool {
        self.child.is_some() && !self.is_running()
    }

    /// Kills it, and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Either fails only if the child has ended before.
            let _ = child.kill();
            let _ = child.wait();
            self.log.push("-- killed".to_owned());
        }
    }

    /// Sends it SIGTERM.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if it is not running, or cannot be signalled.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal_child(ProcessSignal::TERM, "-- terminated")
    }

    /// Stops it from running, as if its machine were frozen.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if it is not running, or cannot be signalled.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal_child(ProcessSignal::STOP, "-- frozen")
    }

    /// Lets it run again.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if it is not running, or cannot be signalled.
    pub fn thaw(&self) -> Result<(), ProcessError> {
        self.signal_child(ProcessSignal::CONT, "-- thawed")
    }

    fn signal_child(&self, signal: ProcessSignal, message: &str) -> Result<(), ProcessError> {
        let name = &self.name;
        let child = self.child.as_ref().context(NotRunningSnafu { name })?;
        self.log.push(message.to_owned());
        kill_process(Pid::from_child(child), signal).context(SignalNotSentSnafu { name })
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if it is not running, or has not ended in time.
    pub fn wait_exit(&mut self, at_most: Duration) -> Result<ExitStatus, ProcessError> {
        let name = self.name.clone();
        let child = self
            .child
            .as_mut()
            .context(NotRunningSnafu { name: &name })?;
        let ended = self.signal.wait_until("the end of a process", at_most, || {
            child.try_wait().ok().flatten()
        });
        let status = ended.context(DidNotExitSnafu { name })?;
        self.child = None;
        self.log.push(format!("-- ended: {status}"));
        Ok(status)
    }

    /// What it has written, over all its restarts.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The name of its machine.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
