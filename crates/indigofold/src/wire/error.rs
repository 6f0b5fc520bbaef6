//! Errors in lines of the text protocol.

use super::fields::excerpt;
use crate::config::ConfigError;
use snafu::Snafu;

/// The error of a line that cannot be handled.
#[derive(Debug, Snafu)]
#[snafu(display("line {line}: {source}"), visibility(pub(super)))]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// The error in the line.
    pub source: LineError,
}

/// An error in one line, with the message and the field at fault and the allowed values.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LineError {
    /// The input ended between `TICK` and `EOB`.
    #[snafu(display("input ended inside a batch; expected EOB"))]
    EndInBatch,
    /// A `TICK` before the `EOB` of the previous batch.
    #[snafu(display("TICK inside a batch; expected EOB first"))]
    TickInBatch,
    /// A message outside a batch.
    #[snafu(display("{message} outside a batch; expected TICK"))]
    OutsideBatch {
        /// The name of the message.
        message: String,
    },
    /// Another message than `ROW` before all rows of a membership were read.
    #[snafu(display("{message} where a ROW of the list was expected"))]
    RowExpected {
        /// The name of the message.
        message: String,
    },
    /// A `ROW` without a membership that expects rows.
    #[snafu(display("ROW outside a list"))]
    RowOutsideList,
    /// A message for an instance before the batch named one.
    #[snafu(display("{message} before any INSTANCE line of its batch"))]
    NoInstance {
        /// The name of the message.
        message: String,
    },
    /// A part of the line that is not of the form `name=value`.
    #[snafu(display("{message}: expected name=value, got '{}'", excerpt(got)))]
    NoPair {
        /// The name of the message.
        message: String,
        /// The rest of the line.
        got: String,
    },
    /// A required field is missing.
    #[snafu(display("{message}: missing field '{field}'"))]
    MissingField {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
    },
    /// A field's value is not allowed.
    #[snafu(display("{message}: field '{field}' must be {allowed}, got '{}'", excerpt(got)))]
    InvalidField {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
        /// The allowed values.
        allowed: &'static str,
        /// The value in the line.
        got: String,
    },
    /// A number is too small or too large.
    #[snafu(display("{message}: field '{field}' must lie in {allowed}"))]
    OutOfRange {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
        /// The allowed values.
        allowed: &'static str,
    },
    /// The settings of an instance cannot be used.
    #[snafu(display("BOOT: {source}"))]
    Settings {
        /// The error in the settings.
        source: ConfigError,
    },
}
