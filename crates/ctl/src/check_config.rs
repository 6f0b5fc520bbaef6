//! `check-config`: an operator's configuration, or a patch of one, held against the rules that the head applies.

use crate::error::ToolError;
use crate::files;
use crate::report::Report;
use indigofold_protocol::config_check::{CheckedConfig, ConfigError, parse_config};
use indigofold_protocol::config_patch::apply_patch;
use serde_json::{Value, json};
use std::path::Path;

/// Checks the file; `current` is the configuration that it would follow.
pub fn run(path: &Path, current: Option<&Path>) -> Result<Report, ToolError> {
    let bytes = files::read(path)?;
    let current = current.map(read_current).transpose()?;
    match (is_patch(&bytes), &current) {
        (true, None) => {
            let problem = "this is a patch: --current FILE has to name what it changes".to_owned();
            Err(ToolError::Input {
                path: path.display().to_string(),
                problem,
            })
        }
        (true, Some(current)) => Ok(report(path, "patch", check_patch(current, &bytes))),
        (false, current) => Ok(report(
            path,
            "configuration",
            check_configuration(current.as_ref(), &bytes),
        )),
    }
}

fn read_current(path: &Path) -> Result<CheckedConfig, ToolError> {
    let bytes = files::read(path)?;
    let invalid = |error: ConfigError| ToolError::Input {
        path: path.display().to_string(),
        problem: error.to_string(),
    };
    parse_config(&bytes).map_err(invalid)
}

/// Whether this is the body of a `PATCH`.
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

fn report(path: &Path, what: &str, checked: Result<CheckedConfig, ConfigError>) -> Report {
    let path = path.display();
    match checked {
        Err(error) => Report {
            text: String::new(),
            data: json!({ "kind": what }),
            findings: vec![format!("{path}: {error}")],
        },
        Ok(checked) => {
            let config = checked.config();
            let (routes, services) = (config.routes.len(), config.services.len());
            let version = config.version;
            Report {
                text: format!(
                    "{path}: a valid {what}: version {version}, {routes} routes, {services} services\n"
                ),
                data: json!({ "kind": what, "version": version, "routes": routes, "services": services }),
                findings: Vec::new(),
            }
        }
    }
}
