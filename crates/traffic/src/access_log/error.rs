//! What can be wrong with a format string.

/// Why a format string cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The text names no format.
    #[error(
        "format {0:?} is not known; allowed are common, combined, nginx, envoy, json, har, recording, and apache:FORMAT, \
         nginx:FORMAT, envoy:FORMAT with the server's own format string"
    )]
    UnknownFormat(String),
    /// The format ends in a backslash.
    #[error("the format ends in a backslash")]
    TrailingBackslash,
    /// The format ends within a directive, of which this is the beginning.
    #[error("the format ends in {0}")]
    EndsIn(&'static str),
    /// A bracket, or a directive, is opened and not closed.
    #[error("{0} in the format is never closed")]
    Unclosed(&'static str),
    /// An operator of Envoy's format is not closed by a `%`.
    #[error("'%{0}' in the format is never closed")]
    UnclosedOperator(String),
    /// Apache has no such directive.
    #[error("%{0} is no directive of Apache's LogFormat")]
    UnknownDirective(char),
    /// Apache's `%T` has no such unit.
    #[error("%{{{0}}}T: the unit must be s, ms or us")]
    UnknownUnit(String),
    /// nginx allows no variable of this name.
    #[error("'${0}' is no variable: letters, digits and '_' are allowed")]
    InvalidVariable(String),
    /// Envoy's `%REQ%` without a header.
    #[error("%REQ% names no header")]
    NoHeader,
    /// A `%` in Envoy's format begins no operator.
    #[error("'%' stands alone; a '%' itself is written '%%'")]
    LonePercent,
    /// No text divides two fields, so that their values cannot be separated.
    #[error("two fields stand side by side with no text between them")]
    AdjacentFields,
    /// A record of this format would have no time.
    #[error("the format has no time")]
    NoTime,
    /// A record of this format would have no request.
    #[error("the format has no request")]
    NoRequest,
}
