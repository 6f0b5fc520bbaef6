//! Errors in format strings.

/// Why a format string cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The text is neither a known format name nor a prefixed format string.
    #[error(
        "format {0:?} is not known; allowed are common, combined, nginx, envoy, json, har, recording, and apache:FORMAT, \
         nginx:FORMAT, envoy:FORMAT with the server's own format string"
    )]
    UnknownFormat(String),
    /// The format ends in a backslash.
    #[error("the format ends in a backslash")]
    TrailingBackslash,
    /// The format ends within a directive; holds the start of the directive.
    #[error("the format ends in {0}")]
    EndsIn(&'static str),
    /// A bracket is not closed; holds a description of it.
    #[error("{0} in the format is never closed")]
    Unclosed(&'static str),
    /// An operator of Envoy's format has no closing `%`; holds its name.
    #[error("'%{0}' in the format is never closed")]
    UnclosedOperator(String),
    /// The letter is not a directive of Apache's `LogFormat`.
    #[error("%{0} is no directive of Apache's LogFormat")]
    UnknownDirective(char),
    /// The unit is not allowed in Apache's `%{UNIT}T`.
    #[error("%{{{0}}}T: the unit must be s, ms or us")]
    UnknownUnit(String),
    /// The text after `$` is not a valid name of an nginx variable.
    #[error("'${0}' is no variable name: letters, digits and '_' are allowed")]
    InvalidVariable(String),
    /// Envoy's `%REQ%` has no header name as its argument.
    #[error("%REQ% names no header")]
    NoHeader,
    /// A `%` in Envoy's format is not followed by an operator name.
    #[error("'%' stands alone; a '%' itself is written '%%'")]
    LonePercent,
    /// Two fields have no text between them, so their values cannot be separated.
    #[error("two fields stand side by side with no text between them")]
    AdjacentFields,
    /// The format contains no time field.
    #[error("the format has no time")]
    NoTime,
    /// The format contains neither a request line nor a target.
    #[error("the format has no request")]
    NoRequest,
}
