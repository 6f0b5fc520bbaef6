//! `check-config`: checks an operator's configuration, or a patch of one, with the same code as the head.

use crate::files::{self, FileError};
use crate::report::Report;
use indigofold_protocol::config_check::{CheckedConfig, ConfigError, parse_config};
use indigofold_protocol::config_patch::apply_patch;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};
use std::fmt;
use std::path::{Path, PathBuf};

/// Why a configuration cannot be checked.
#[derive(Debug, Snafu)]
pub enum CheckConfigError {
    /// The checked file or the current configuration cannot be read.
    #[snafu(transparent)]
    File {
        /// Names the file and gives the reason.
        source: FileError,
    },
    /// The file is a patch, and the configuration to apply it to is not given.
    #[snafu(display(
        "{}: the file is a patch: the configuration that it applies to must be given with --current FILE",
        path.display()
    ))]
    PatchWithoutCurrent {
        /// Path of the patch.
        path: PathBuf,
    },
    /// The file given with `--current` is not a valid configuration.
    #[snafu(display("{}: {source}", path.display()))]
    Current {
        /// Path of the current configuration.
        path: PathBuf,
        /// The problem that was found in the current configuration.
        source: ConfigError,
    },
}

/// Kind of a checked file.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// The body of a `PUT /config`.
    Configuration,
    /// The body of a `PATCH /config`.
    Patch,
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Kind::Configuration => "configuration",
            Kind::Patch => "patch",
        })
    }
}

/// Checks the configuration or patch in the file `path`. `current` is the file of the configuration in force: the
/// checked one must have a higher version, and a patch is applied to it.
///
/// # Errors
///
/// [`CheckConfigError`] if a file cannot be read, `current` is not a valid configuration, or a patch is given without
/// `current`. Problems of the checked file are findings of the report.
pub fn run(path: &Path, current: Option<&Path>) -> Result<Report, CheckConfigError> {
    let bytes = files::read(path)?;
    let current = current.map(read_current).transpose()?;
    if is_patch(&bytes) {
        let current = current.context(PatchWithoutCurrentSnafu { path })?;
        Ok(report(path, Kind::Patch, check_patch(&current, &bytes)))
    } else {
        let checked = check_configuration(current.as_ref(), &bytes);
        Ok(report(path, Kind::Configuration, checked))
    }
}

fn read_current(path: &Path) -> Result<CheckedConfig, CheckConfigError> {
    let bytes = files::read(path)?;
    parse_config(&bytes).context(CurrentSnafu { path })
}

/// Whether these bytes are the body of a `PATCH /config`: an object with `upsert` or `remove` and without `routes`.
/// Bytes that are not JSON count as a configuration, and are reported as an invalid one.
fn is_patch(bytes: &[u8]) -> bool {
    let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
    let has = |name: &str| value.get(name).is_some();
    (has("upsert") || has("remove")) && !has("routes")
}

fn check_patch(current: &CheckedConfig, bytes: &[u8]) -> Result<CheckedConfig, ConfigError> {
    let next = apply_patch(current, bytes)?;
    next.ensure_newer_than(current.version())?;
    Ok(next)
}

fn check_configuration(
    current: Option<&CheckedConfig>,
    bytes: &[u8],
) -> Result<CheckedConfig, ConfigError> {
    let next = parse_config(bytes)?;
    next.ensure_newer_than(current.map_or(0, CheckedConfig::version))?;
    Ok(next)
}

fn report(path: &Path, kind: Kind, checked: Result<CheckedConfig, ConfigError>) -> Report {
    let path = path.display();
    let checked = match checked {
        Ok(checked) => checked,
        Err(error) => {
            return Report {
                text: String::new(),
                data: json!({ "kind": kind.to_string() }),
                findings: vec![format!("{path}: {error}")],
            };
        }
    };
    let config = checked.config();
    let (routes, services) = (config.routes.len(), config.services.len());
    let version = config.version;
    Report {
        text: format!(
            "{path}: a valid {kind}: version {version}, {routes} routes, {services} services\n"
        ),
        data: json!({
            "kind": kind.to_string(), "version": version, "routes": routes, "services": services,
        }),
        findings: Vec::new(),
    }
}
