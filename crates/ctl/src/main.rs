//! The `indigofold-ctl` program: parses the command line, runs the verb and prints its report.

use indigofold_ctl::command_line::{self, Command, Verb};
use indigofold_ctl::error::ToolError;
use indigofold_ctl::exit_code::{EXIT_FINDINGS, EXIT_INPUT, EXIT_OK};
use indigofold_ctl::report::Report;
use indigofold_ctl::{
    check_config, check_deploy, check_settings, job, quickstart, replicas, status,
};
use std::ffi::{OsStr, OsString};
use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    if let [first, second, rest @ ..] = &arguments[..]
        && first == quickstart::DAEMON_ARGUMENT
    {
        return run_daemon(second, rest.to_vec());
    }
    let code = match command_line::parse(arguments) {
        Ok(Command::Help(text)) => print(text, EXIT_OK),
        Ok(Command::Version) => print(
            concat!("indigofold-ctl ", env!("CARGO_PKG_VERSION"), "\n"),
            EXIT_OK,
        ),
        Ok(Command::Run { verb, json }) => run_and_print(verb, json),
        Err(error) => {
            eprintln!("indigofold-ctl: {error}");
            EXIT_INPUT
        }
    };
    ExitCode::from(code)
}

/// Runs this program as one of the cluster's daemons. `quickstart` starts it this way if the daemons' own programs are
/// not in its folder.
fn run_daemon(name: &OsStr, arguments: Vec<OsString>) -> ExitCode {
    if name == quickstart::CONTROL_DAEMON {
        indigofold_control_plane::program::run(arguments)
    } else if name == quickstart::DATA_DAEMON {
        indigofold_data_plane::program::run(arguments)
    } else {
        eprintln!(
            "indigofold-ctl: unknown daemon `{}`: `control` or `data` is expected",
            name.display()
        );
        ExitCode::from(EXIT_INPUT)
    }
}

fn run_and_print(verb: Verb, json: bool) -> u8 {
    match run_verb(verb) {
        Ok(report) if json => print(&format!("{}\n", report.json()), report.exit_code()),
        Ok(report) => print(&report.plain(), report.exit_code()),
        Err(error) => {
            if json {
                let json = serde_json::json!({ "ok": false, "error": error.to_string() });
                print(&format!("{json}\n"), EXIT_OK);
            }
            eprintln!("indigofold-ctl: {error}");
            error.exit_code()
        }
    }
}

fn run_verb(verb: Verb) -> Result<Report, ToolError> {
    Ok(match verb {
        Verb::Status { addresses } => status::run(addresses)?,
        Verb::Job { id, addresses } => job::run(id, addresses)?,
        Verb::CheckConfig { file, current } => check_config::run(&file, current.as_deref())?,
        Verb::CheckSettings { file } => check_settings::run(&file)?,
        Verb::CheckDeploy { file } => check_deploy::run(&file)?,
        Verb::CompareReplicas { folders } => replicas::run(&folders)?,
        Verb::Quickstart(options) => quickstart::run(&options, &mut std::io::stdout())?,
    })
}

/// Prints `text` and returns `code`. If standard output cannot be written, e.g. because the pipe is closed, the exit
/// code is at least `EXIT_FINDINGS`.
fn print(text: &str, code: u8) -> u8 {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => code,
        Err(_) => code.max(EXIT_FINDINGS),
    }
}
