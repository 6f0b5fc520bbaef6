//! Entry point of `indigofold-control`: parses the command line, starts the log, runs the [`driver`] and maps errors to exit
//! codes.

use crate::command_line::{self, Command};
use crate::driver;
use indigofold_net::{build, logging, runtime};
use indigofold_settings::Settings;
use std::ffi::OsString;
use std::fmt::Display;
use std::process::ExitCode;

/// Exit code for a failure while running.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a command line or settings that cannot be used.
const EXIT_USAGE: u8 = 2;

/// Runs the program with these arguments (without the program's name). The settings are read from the file that the
/// environment variable `INDIGOFOLD_CONFIG` names.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    match command_line::parse(arguments) {
        Ok(Command::Help) => print!("{}", command_line::HELP),
        Ok(Command::Version) => println!(
            "indigofold-control {} sources={}",
            env!("CARGO_PKG_VERSION"),
            build::SOURCES
        ),
        Ok(Command::Run { log_level }) => {
            logging::start(log_level);
            return serve();
        }
        Err(error) => return fail(EXIT_USAGE, &error),
    }
    ExitCode::SUCCESS
}

/// Runs a member with the settings from the environment, and returns the exit code of the process.
fn serve() -> ExitCode {
    let settings = match Settings::from_env() {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    match runtime::run(driver::run(settings)) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) if error.is_settings_error() => fail(EXIT_USAGE, &error),
        Ok(Err(error)) => fail(EXIT_FAILURE, &error),
        Err(error) => fail(EXIT_FAILURE, &error),
    }
}

fn fail(code: u8, error: &impl Display) -> ExitCode {
    eprintln!("indigofold-control: {error}");
    ExitCode::from(code)
}
