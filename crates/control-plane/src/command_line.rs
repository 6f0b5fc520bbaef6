//! The command line of `indigofold-control`.

use log::LevelFilter;
use snafu::{ResultExt, Snafu, ensure};
use std::ffi::OsString;

/// Text of `--help`.
pub const HELP: &str = "\
indigofold-control: a member of the cluster's core

Keeps the control state together with the other members, takes the operator's
configuration and runs the schedulers while it is the head. The settings file
is the one that the variable INDIGOFOLD_CONFIG names.

Usage: indigofold-control [--log-level LEVEL]

Options:
  --log-level LEVEL  off, error, warn, info (default), debug or trace
  -h, --help         print this text
  -V, --version      print the version

Signals: SIGTERM ends the process (a head hands its role over first);
SIGHUP reads the settings file again.
Exit codes: 0 after SIGTERM, 1 for a failure, 2 for a bad command line or settings.
";

/// What the command line asks the program to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print [`HELP`].
    Help,
    /// Print the version.
    Version,
    /// Run a core member.
    Run {
        /// Least severe level that is logged.
        log_level: LevelFilter,
    },
}

/// An invalid command line.
#[derive(Debug, Snafu)]
pub enum ArgumentError {
    /// The value of `--log-level` is missing or is not a log level.
    #[snafu(display("--log-level: {source}; off, error, warn, info, debug and trace are allowed"))]
    LogLevel {
        /// The parser's error.
        source: pico_args::Error,
    },
    /// There are arguments that no option matches.
    #[snafu(display("`{}` is not understood; see --help", argument.to_string_lossy()))]
    Unknown {
        /// The first unknown argument.
        argument: OsString,
    },
}

/// Parses the arguments (without the program's name).
///
/// # Errors
///
/// An argument is unknown, or the log level is not valid.
pub fn parse(arguments: Vec<OsString>) -> Result<Command, ArgumentError> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let log_level = arguments
        .opt_value_from_str("--log-level")
        .context(LogLevelSnafu)?;
    let unused_arguments = arguments.finish();
    ensure!(
        unused_arguments.is_empty(),
        UnknownSnafu {
            argument: unused_arguments.into_iter().next().unwrap_or_default()
        }
    );
    Ok(Command::Run {
        log_level: log_level.unwrap_or(LevelFilter::Info),
    })
}
