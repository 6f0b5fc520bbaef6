//! The program `indigofold-data`: command line, logging and exit codes; [`serve`](crate::serve) runs the role itself.

use crate::serve::serve;
use indigofold_net::{build, logging, runtime};
use indigofold_settings::{CONFIG_VARIABLE, Settings};
use log::LevelFilter;
use std::ffi::OsString;
use std::process::ExitCode;

/// Exit code for a bad command line or bad settings.
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Serves clients (on `edge` machines) or the worker beside it (on `side` machines).

Usage: indigofold-data [OPTIONS]

Options:
  --log-level LEVEL  off, error, warn, info (default), debug or trace
  --version          print the version and exit
  --help             print this text and exit

Environment:
  INDIGOFOLD_CONFIG  path of the settings file; `serves` names the role
";

/// The command that the arguments request.
enum Command {
    Help,
    Version,
    Serve(LevelFilter),
}

/// Runs the program with the given arguments, which exclude the program name. The environment variable
/// `INDIGOFOLD_CONFIG` names the settings file.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    match parse_command(arguments) {
        Ok(Command::Help) => print(HELP),
        Ok(Command::Version) => print(&format!(
            "indigofold-data {} sources={}\n",
            env!("CARGO_PKG_VERSION"),
            build::SOURCES
        )),
        Ok(Command::Serve(level)) => start(level),
        Err(error) => usage_error(&error),
    }
}

fn parse_command(arguments: Vec<OsString>) -> Result<Command, pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let level = arguments
        .opt_value_from_str("--log-level")?
        .unwrap_or(LevelFilter::Info);
    match arguments.finish().into_iter().next() {
        None => Ok(Command::Serve(level)),
        Some(unknown) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("`{}` is unknown; see --help", unknown.to_string_lossy()),
        }),
    }
}

fn start(level: LevelFilter) -> ExitCode {
    let settings = match Settings::from_env() {
        Ok(settings) => settings,
        Err(error) => return usage_error(&format!("{error} (file named by {CONFIG_VARIABLE})")),
    };
    logging::start(level);
    match runtime::run(serve(settings)) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) if error.is_about_settings() => usage_error(&error),
        Ok(Err(error)) => failure(&error),
        Err(error) => failure(&error),
    }
}

fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn usage_error(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("indigofold-data: {error}");
    ExitCode::from(EXIT_USAGE)
}

fn failure(error: &dyn std::fmt::Display) -> ExitCode {
    log::error!("{error}");
    ExitCode::FAILURE
}
