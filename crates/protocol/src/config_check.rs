//! Reading and checking of whole configurations (`PUT /config`).

use crate::config::Config;
use crate::config_document;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::collections::HashSet;

/// A configuration, or a change of one, that is refused.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// It is no text.
    #[snafu(display("the configuration is no UTF-8: {source}"))]
    NoText {
        /// Where it is not.
        source: std::str::Utf8Error,
    },
    /// It is no JSON (cut short, for example), or a field is of the wrong kind.
    #[snafu(display("the configuration cannot be read: {problem}"))]
    Unreadable {
        /// What, where, and what is expected.
        problem: String,
    },
    /// A field is missing or holds what it may not.
    #[snafu(display("`{place}`: {problem}"))]
    Field {
        /// The field, as `routes[3].timeout_ms`.
        place: String,
        /// What is wrong, and what is expected.
        problem: String,
    },
    /// Two items of one list have the same name.
    #[snafu(display("`{list}` has `{name}` twice: each name is allowed once"))]
    DuplicateName {
        /// The list.
        list: String,
        /// The name.
        name: String,
    },
    /// A route leads to a service that is not in the configuration.
    #[snafu(display(
        "route `{route}` names the unknown service `{service}`: one of `services` is expected"
    ))]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service that it names.
        service: String,
    },
    /// Two routes answer to the same calls.
    #[snafu(display(
        "routes `{first}` and `{second}` share host `{host}` and prefix `{path_prefix}`: one route is allowed there"
    ))]
    SharedPrefix {
        /// One route's name.
        first: String,
        /// The other one's.
        second: String,
        /// Their host.
        host: String,
        /// Their prefix.
        path_prefix: String,
    },
    /// The version does not rise.
    #[snafu(display("`version` is {version}: a number above the current {current} is expected"))]
    VersionNotHigher {
        /// The version of the new configuration.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// The `If-Match` header holds no version.
    #[snafu(display("`If-Match` is `{text}`: a version (a whole number) is expected"))]
    NoVersion {
        /// The header, empty if there is none.
        text: String,
    },
}

/// A valid configuration: in the form the scheduler uses, and as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedConfig {
    config: Config,
    json: String,
}

impl CheckedConfig {
    /// The form the scheduler uses.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The form the scheduler uses, without the text.
    pub fn into_config(self) -> Config {
        self.config
    }

    /// The whole configuration as JSON, with all fields that were sent, known or not. [`parse_config`] reads it again.
    pub fn json(&self) -> &str {
        &self.json
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Checks that the version is above `current`, the one in force (0 for none).
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

/// Reads and checks a whole configuration. Whether its version is above the current one is checked apart
/// ([`CheckedConfig::ensure_newer_than`]).
pub fn parse_config(bytes: &[u8]) -> Result<CheckedConfig, ConfigError> {
    let json = std::str::from_utf8(bytes).context(NoTextSnafu)?;
    // A list in the place of an object would be read field by field.
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

/// The version that an `If-Match` header names; quotes around it are allowed.
pub fn parse_if_match(header: Option<&str>) -> Result<u64, ConfigError> {
    let text = header.unwrap_or_default();
    let version = text.trim().trim_matches('"').parse().ok();
    version.context(NoVersionSnafu { text })
}

/// Checks the rules that span several fields.
fn check(config: &Config) -> Result<(), ConfigError> {
    check_names("routes", config.routes.iter().map(|route| &route.name))?;
    check_names(
        "services",
        config.services.iter().map(|service| &service.name),
    )?;
    check_backends(config)?;
    check_prefixes(config)
}

/// Each name stands once in its list.
fn check_names<'a>(list: &str, names: impl Iterator<Item = &'a String>) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    for name in names {
        ensure!(seen.insert(name), DuplicateNameSnafu { list, name });
    }
    Ok(())
}

/// Each route leads to a service of the configuration.
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

/// No two routes share host and prefix.
fn check_prefixes(config: &Config) -> Result<(), ConfigError> {
    let mut routes: Vec<_> = config.routes.iter().collect();
    routes.sort_unstable_by_key(|route| (&route.host, &route.path_prefix));
    for pair in routes.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        ensure!(
            (&first.host, &first.path_prefix) != (&second.host, &second.path_prefix),
            SharedPrefixSnafu {
                first: &first.name,
                second: &second.name,
                host: &first.host,
                path_prefix: &first.path_prefix
            }
        );
    }
    Ok(())
}
