//! JSON parsing with errors that name the path of the faulty field.

use serde::Deserialize;
use snafu::Snafu;

/// A text that is not valid JSON or does not have the expected form.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{path}`: {problem}"))]
pub struct JsonError {
    /// Path of the faulty field, such as `stages[2].cpu`; `.` for the whole text.
    pub path: String,
    /// The value found, the type expected, and the line and column.
    pub problem: String,
}

/// Parses a value. Only after an error is the text parsed again, to find the path of the faulty field.
pub(crate) fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, JsonError> {
    serde_json::from_slice(bytes).or_else(|_| read_with_path(bytes))
}

/// Parses a value while tracking the path of the current field.
fn read_with_path<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, JsonError> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| JsonError {
        path: error.path().to_string(),
        problem: error.inner().to_string(),
    })?;
    deserializer.end().map_err(|error| JsonError {
        path: ".".to_owned(),
        problem: error.to_string(),
    })?;
    Ok(value)
}
