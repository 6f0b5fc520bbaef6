//! Parsing and validation of complete configurations (`PUT /config`).

use crate::config::Config;
use crate::config_document;
use crate::config_error::{
    DuplicateNameSnafu, DuplicatePrefixSnafu, NoVersionSnafu, NotUtf8Snafu, UnknownServiceSnafu,
    UnreadableSnafu, VersionNotHigherSnafu,
};
use snafu::{OptionExt, ResultExt, ensure};
use std::collections::HashSet;

pub use crate::config_error::ConfigError;

/// A valid configuration, both in the form that the scheduler uses and as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedConfig {
    config: Config,
    json: String,
}

impl CheckedConfig {
    /// Returns the configuration in the form that the scheduler uses.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Converts to the form that the scheduler uses and drops the operator's text.
    pub fn into_config(self) -> Config {
        self.config
    }

    /// Returns the complete configuration as JSON, with all fields that were sent, known or not. [`parse_config`]
    /// accepts this text again.
    pub fn json(&self) -> &str {
        &self.json
    }

    /// Returns the version of the configuration; always above 0.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Checks that the version is above `current`, the one in force (0 for none).
    ///
    /// # Errors
    ///
    /// [`ConfigError::VersionNotHigher`] if the version is `current` or below.
    pub fn ensure_newer_than(&self, current: u64) -> Result<(), ConfigError> {
        ensure!(
            self.version() > current,
            VersionNotHigherSnafu {
                version: self.version(),
                current
            }
        );
        Ok(())
    }
}

/// Parses and validates a complete configuration. [`CheckedConfig::ensure_newer_than`] compares its version with the
/// current one.
///
/// # Errors
///
/// [`ConfigError`] with the field, the problem and the expected value.
pub fn parse_config(bytes: &[u8]) -> Result<CheckedConfig, ConfigError> {
    let json = std::str::from_utf8(bytes).context(NotUtf8Snafu)?;
    // The parser would accept an array in place of an object and assign its items to the fields by position.
    ensure!(
        json.trim_start().starts_with('{'),
        UnreadableSnafu {
            problem: "an object is expected"
        }
    );
    let config = config_document::read(json)?;
    check(&config)?;
    Ok(CheckedConfig {
        config,
        json: json.to_owned(),
    })
}

/// Parses the version in an `If-Match` header; quotes around it are allowed.
///
/// # Errors
///
/// [`ConfigError::NoVersion`] if the header is missing or is not a whole number.
pub fn parse_if_match(header: Option<&str>) -> Result<u64, ConfigError> {
    let text = header.unwrap_or_default();
    let version = text.trim().trim_matches('"').parse().ok();
    version.context(NoVersionSnafu { text })
}

/// Checks the rules that involve several fields.
fn check(config: &Config) -> Result<(), ConfigError> {
    check_unique_names("routes", config.routes.iter().map(|route| &route.name))?;
    check_unique_names(
        "services",
        config.services.iter().map(|service| &service.name),
    )?;
    check_backends(config)?;
    check_unique_prefixes(config)
}

/// Checks that each name occurs once in its list.
fn check_unique_names<'a>(
    field: &str,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), ConfigError> {
    let mut distinct = HashSet::new();
    for name in names {
        ensure!(distinct.insert(name), DuplicateNameSnafu { field, name });
    }
    Ok(())
}

/// Checks that the `backend` of each route is a service of the configuration.
fn check_backends(config: &Config) -> Result<(), ConfigError> {
    let known: HashSet<&str> = config
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    for route in &config.routes {
        let service = route.backend.as_str();
        ensure!(
            known.contains(service),
            UnknownServiceSnafu {
                route: &route.name,
                service
            }
        );
    }
    Ok(())
}

/// Checks that no two routes have the same host and path prefix.
fn check_unique_prefixes(config: &Config) -> Result<(), ConfigError> {
    let mut routes: Vec<_> = config.routes.iter().collect();
    routes.sort_unstable_by_key(|route| (&route.host, &route.path_prefix));
    for pair in routes.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        ensure!(
            (&first.host, &first.path_prefix) != (&second.host, &second.path_prefix),
            DuplicatePrefixSnafu {
                first: &first.name,
                second: &second.name,
                host: &first.host,
                path_prefix: &first.path_prefix
            }
        );
    }
    Ok(())
}
