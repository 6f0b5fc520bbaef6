//! What is wrong with a line of the text protocol.

use super::fields::head;
use crate::config::ConfigError;
use snafu::Snafu;

/// A line that could not be understood.
#[derive(Debug, Snafu)]
#[snafu(display("line {line}: {source}"), visibility(pub(super)))]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// What is wrong with it.
    pub source: LineError,
}

/// What is wrong with one line: its message, what was expected, and what is allowed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LineError {
    /// The input ended between `TICK` and `EOB`.
    #[snafu(display("input ended inside a batch; expected EOB"))]
    EndInBatch,
    /// A batch begins before the last one has ended.
    #[snafu(display("TICK inside a batch; expected EOB first"))]
    TickInBatch,
    /// A message stands outside a batch.
    #[snafu(display("{message} outside a batch; expected TICK"))]
    OutsideBatch {
        /// The message.
        message: String,
    },
    /// A message stands among the rows of a membership.
    #[snafu(display("{message} where a ROW of the list was expected"))]
    RowExpected {
        /// The message.
        message: String,
    },
    /// A row stands outside a membership.
    #[snafu(display("ROW outside a list"))]
    RowOutsideList,
    /// The batch has not named an instance yet.
    #[snafu(display("{message} before any INSTANCE line of its batch"))]
    NoInstance {
        /// The message.
        message: String,
    },
    /// What should be a field is none.
    #[snafu(display("{message}: expected name=value, got '{}'", head(got)))]
    NoPair {
        /// The message.
        message: String,
        /// The rest of the line.
        got: String,
    },
    /// A field that the message needs is not there.
    #[snafu(display("{message}: missing field '{field}'"))]
    MissingField {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A field's value is none of those allowed.
    #[snafu(display("{message}: field '{field}' must be {allowed}, got '{}'", head(got)))]
    InvalidField {
        /// The message.
        message: String,
        /// The field.
        field: String,
        /// What is allowed.
        allowed: &'static str,
        /// What the line has.
        got: String,
    },
    /// A number is too small or too large.
    #[snafu(display("{message}: field '{field}' must lie in {allowed}"))]
    OutOfRange {
        /// The message.
        message: String,
        /// The field.
        field: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// The settings of an instance cannot be used.
    #[snafu(display("BOOT: {source}"))]
    Settings {
        /// What is wrong with them.
        source: ConfigError,
    },
}
