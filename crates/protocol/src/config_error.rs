//! Errors for which a configuration, or a change to one, is rejected.

use crate::json::JsonError;
use snafu::Snafu;

/// The reason why a configuration, or a change to one, is rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The text is not UTF-8.
    #[snafu(display("the configuration is no UTF-8: {source}"))]
    NotUtf8 {
        /// The decoder's error, with the position of the first invalid byte.
        source: std::str::Utf8Error,
    },
    /// A change is not valid JSON (truncated, for example), or a field has the wrong type.
    #[snafu(display("the configuration cannot be read: {source}"))]
    Json {
        /// The parser's error, with the field and the expected type.
        source: JsonError,
    },
    /// The configuration is not valid JSON, or a field has the wrong type.
    #[snafu(display("the configuration cannot be read: {problem}"))]
    Unreadable {
        /// The parser's message, with the field and the expected type.
        problem: String,
    },
    /// A field is missing or has a value that is not allowed.
    #[snafu(display("`{path}`: {problem}"))]
    Field {
        /// Path of the field, such as `routes[3].timeout_ms`.
        path: String,
        /// The value found and the value expected.
        problem: String,
    },
    /// Two items of one list have the same name.
    #[snafu(display("`{field}` has `{name}` twice: each name is allowed once"))]
    DuplicateName {
        /// Field of the configuration that contains the list.
        field: String,
        /// The duplicate name.
        name: String,
    },
    /// A route leads to a service that is not in the configuration.
    #[snafu(display(
        "route `{route}` names the unknown service `{service}`: one of `services` is expected"
    ))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// The unknown service that its `backend` names.
        service: String,
    },
    /// Two routes match the same requests.
    #[snafu(display(
        "routes `{first}` and `{second}` share host `{host}` and prefix `{path_prefix}`: one route is allowed there"
    ))]
    DuplicatePrefix {
        /// Name of one of the two routes.
        first: String,
        /// Name of the other route.
        second: String,
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
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
    /// The `If-Match` header is missing or is not a version.
    #[snafu(display("`If-Match` is `{text}`: a version (a whole number) is expected"))]
    NoVersion {
        /// Value of the header; empty if there is none.
        text: String,
    },
}
