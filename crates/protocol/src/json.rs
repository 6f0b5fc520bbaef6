//! Reading JSON with errors that give the path of the field.

use serde::Deserialize;
use snafu::Snafu;

/// JSON that does not have the form expected: what is wrong, where, and what is allowed.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{path}`: {problem}"))]
pub struct JsonError {
    /// The field, as `stages[2].cpu`; `.` for the whole text.
    pub path: String,
    /// What is wrong with it, what is expected, and the line and column.
    pub problem: String,
}

/// Reads a value. The path of the faulty field is determined only after an error.
pub(crate) fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, JsonError> {
    serde_json::from_slice(bytes).or_else(|_| read_with_path(bytes))
}

/// Reads a value and keeps track of the path.
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
