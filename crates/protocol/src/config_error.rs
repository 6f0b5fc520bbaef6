//! Why a configuration, or a change of one, is rejected.

use crate::json::JsonError;
use snafu::Snafu;

/// A configuration, or a change of one, that is rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// It is not UTF-8.
    #[snafu(display("the configuration is no UTF-8: {source}"))]
    NotUtf8 {
        /// The first byte that is not.
        source: std::str::Utf8Error,
    },
    /// A change is not JSON (truncated, for example), or a field has the wrong type.
    #[snafu(display("the configuration cannot be read: {source}"))]
    Json {
        /// What, where, and what is expected.
        source: JsonError,
    },
    /// The configuration is not JSON, or a field has the wrong type.
    #[snafu(display("the configuration cannot be read: {problem}"))]
    Unreadable {
        /// What, where, and what is expected.
        problem: String,
    },
    /// A field is missing or has a value that is not allowed.
    #[snafu(display("`{path}`: {problem}"))]
    Field {
        /// The field, as `routes[3].timeout_ms`.
        path: String,
        /// What is wrong, and what is expected.
        problem: String,
    },
    /// Two items of one list have the same name.
    #[snafu(display("`{field}` has `{name}` twice: each name is allowed once"))]
    DuplicateName {
        /// The field that holds the list.
        field: String,
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
    /// Two routes match the same requests.
    #[snafu(display(
        "routes `{first}` and `{second}` share host `{host}` and prefix `{path_prefix}`: one route is allowed there"
    ))]
    DuplicatePrefix {
        /// One route's name.
        first: String,
        /// The other one's.
        second: String,
        /// Their host.
        host: String,
        /// Their prefix.
        path_prefix: String,
    },
    /// The version is not above the current one.
    #[snafu(display("`version` is {version}: a number above the current {current} is expected"))]
    VersionNotHigher {
        /// The version of the new configuration.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// The `If-Match` header is no version.
    #[snafu(display("`If-Match` is `{text}`: a version (a whole number) is expected"))]
    NoVersion {
        /// The header, empty if there is none.
        text: String,
    },
}
