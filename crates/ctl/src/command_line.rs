//! Parsing of the command line of `indigofold-ctl`.

use crate::help;
use crate::quickstart::{Options, Programs};
use indigofold_protocol::task::{JobId, NameError};
use pico_args::Arguments;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::convert::Infallible;
use std::ffi::{OsStr, OsString};
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print a help text, that of the program or of a verb.
    Help(&'static str),
    /// Print the program's name and version.
    Version,
    /// Run a verb.
    Run {
        /// The verb and its arguments.
        verb: Verb,
        /// Print the report as one line of JSON instead of text.
        json: bool,
    },
}

/// A verb with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verb {
    /// `status`: the state of the core members and of the work.
    Status {
        /// Internal addresses of core members, as given with `--at`.
        addresses: Vec<SocketAddr>,
    },
    /// `job`: the state of one job.
    Job {
        /// The id of the job.
        id: JobId,
        /// Internal addresses of core members, as given with `--at`.
        addresses: Vec<SocketAddr>,
    },
    /// `check-config`: checks a configuration or a patch of one.
    CheckConfig {
        /// The configuration or patch to check.
        file: PathBuf,
        /// The configuration in force, which the checked one would replace; required for a patch.
        current: Option<PathBuf>,
    },
    /// `check-settings`: checks the settings of a process.
    CheckSettings {
        /// The settings file (`boot.toml`) to check.
        file: PathBuf,
    },
    /// `check-deploy`: checks a deploy file.
    CheckDeploy {
        /// The deploy file (`system.toml`) to check.
        file: PathBuf,
    },
    /// `compare-copies`: compares the replicas on members' disks.
    CompareReplicas {
        /// Data folders (`data_dir`) of core members, at least two.
        folders: Vec<PathBuf>,
    },
    /// `quickstart`: runs a small cluster on this machine.
    Quickstart(Options),
}

/// Why a command line is rejected.
#[derive(Debug, Snafu)]
pub enum CommandLineError {
    /// The command line has no verb.
    #[snafu(display("a verb is missing; see --help"))]
    NoVerb,
    /// The first argument that is not an option is no known verb.
    #[snafu(display("`{verb}` is no verb; see --help"))]
    UnknownVerb {
        /// The verb as given.
        verb: String,
    },
    /// An option is missing or has no usable value.
    #[snafu(display("{source}; see --help"))]
    Argument {
        /// Names the option and gives the reason.
        source: pico_args::Error,
    },
    /// A positional argument is missing.
    #[snafu(display("{what} is missing; see --help"))]
    Missing {
        /// Name of the argument as in the usage text, e.g. `FILE`.
        what: &'static str,
    },
    /// The argument of `job` is no job id.
    #[snafu(display("{source}"))]
    Id {
        /// Names the text and the expected form.
        source: NameError,
    },
    /// One of the addresses given with `--at` is not of the form IP:PORT.
    #[snafu(display("--at: `{text}` is no address, IP:PORT is expected: {source}"))]
    Address {
        /// The text that was given for the address.
        text: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// `quickstart` runs 1 or 3 members, and another number is given.
    #[snafu(display("--members is {members}: 1 or 3 is allowed"))]
    Members {
        /// The number as given with `--members`.
        members: usize,
    },
    /// Arguments are left over that the verb does not take.
    #[snafu(display("`{}` is not understood; see --help", argument.to_string_lossy()))]
    UnexpectedArgument {
        /// The first such argument.
        argument: OsString,
    },
}

/// Parses the arguments, without the program's name.
///
/// # Errors
///
/// [`CommandLineError`] for the first argument that is missing, unknown or malformed.
pub fn parse(arguments: Vec<OsString>) -> Result<Command, CommandLineError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let help = arguments.contains(["-h", "--help"]);
    let json = arguments.contains("--json");
    let Some(verb) = arguments.subcommand().context(ArgumentSnafu)? else {
        ensure!(help, NoVerbSnafu);
        return Ok(Command::Help(help::GENERAL));
    };
    if help {
        return Ok(Command::Help(help_for(&verb)?));
    }
    let verb = read_verb(&verb, &mut arguments)?;
    let rest = arguments.finish();
    ensure!(
        rest.is_empty(),
        UnexpectedArgumentSnafu {
            argument: rest.into_iter().next().unwrap_or_default()
        }
    );
    Ok(Command::Run { verb, json })
}

fn help_for(verb: &str) -> Result<&'static str, CommandLineError> {
    Ok(match verb {
        "status" => help::STATUS,
        "job" => help::JOB,
        "check-config" => help::CHECK_CONFIG,
        "check-settings" => help::CHECK_SETTINGS,
        "check-deploy" => help::CHECK_DEPLOY,
        "compare-copies" => help::COMPARE_REPLICAS,
        "quickstart" => help::QUICKSTART,
        _ => return UnknownVerbSnafu { verb }.fail(),
    })
}

fn read_verb(verb: &str, arguments: &mut Arguments) -> Result<Verb, CommandLineError> {
    Ok(match verb {
        "status" => Verb::Status {
            addresses: read_addresses(arguments)?,
        },
        "job" => read_job(arguments)?,
        "check-config" => read_check_config(arguments)?,
        "check-settings" => Verb::CheckSettings {
            file: required_path(arguments, "FILE")?,
        },
        "check-deploy" => Verb::CheckDeploy {
            file: required_path(arguments, "FILE")?,
        },
        "compare-copies" => read_compare_replicas(arguments)?,
        "quickstart" => Verb::Quickstart(read_quickstart(arguments)?),
        _ => return UnknownVerbSnafu { verb }.fail(),
    })
}

fn read_job(arguments: &mut Arguments) -> Result<Verb, CommandLineError> {
    let addresses = read_addresses(arguments)?;
    let id: String = arguments
        .opt_free_from_str()
        .context(ArgumentSnafu)?
        .context(MissingSnafu { what: "ID" })?;
    let id = id.parse().context(IdSnafu)?;
    Ok(Verb::Job { id, addresses })
}

fn read_check_config(arguments: &mut Arguments) -> Result<Verb, CommandLineError> {
    let current = arguments
        .opt_value_from_os_str("--current", to_path)
        .context(ArgumentSnafu)?;
    let file = required_path(arguments, "FILE")?;
    Ok(Verb::CheckConfig { file, current })
}

fn read_compare_replicas(arguments: &mut Arguments) -> Result<Verb, CommandLineError> {
    let mut folders = vec![
        required_path(arguments, "DIR")?,
        required_path(arguments, "DIR")?,
    ];
    while let Some(folder) = optional_path(arguments)? {
        folders.push(folder);
    }
    Ok(Verb::CompareReplicas { folders })
}

fn read_quickstart(arguments: &mut Arguments) -> Result<Options, CommandLineError> {
    let members = arguments
        .opt_value_from_str("--members")
        .context(ArgumentSnafu)?
        .unwrap_or(1);
    ensure!(members == 1 || members == 3, MembersSnafu { members });
    let folder = arguments
        .opt_value_from_os_str("--programs", to_path)
        .context(ArgumentSnafu)?;
    let programs = folder.map_or_else(Programs::beside_this_program, |folder| {
        Programs::in_folder(&folder)
    });
    Ok(Options {
        members,
        once: arguments.contains("--once"),
        programs,
    })
}

fn read_addresses(arguments: &mut Arguments) -> Result<Vec<SocketAddr>, CommandLineError> {
    let addresses: String = arguments.value_from_str("--at").context(ArgumentSnafu)?;
    addresses
        .split(',')
        .map(|text| text.trim().parse().context(AddressSnafu { text }))
        .collect()
}

fn required_path(
    arguments: &mut Arguments,
    what: &'static str,
) -> Result<PathBuf, CommandLineError> {
    optional_path(arguments)?.context(MissingSnafu { what })
}

fn optional_path(arguments: &mut Arguments) -> Result<Option<PathBuf>, CommandLineError> {
    arguments
        .opt_free_from_os_str(to_path)
        .context(ArgumentSnafu)
}

fn to_path(text: &OsStr) -> Result<PathBuf, Infallible> {
    Ok(PathBuf::from(text))
}
