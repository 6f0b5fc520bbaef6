//! JSON files written by operators, validated against the JSON Schema of the type that they are parsed into.

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Returns the JSON Schema of files that are parsed into `T`.
pub fn schema<T: JsonSchema>() -> Value {
    schemars::schema_for!(T).to_value()
}

/// Why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The text is not valid JSON.
    #[error("the {what} is no JSON: {source}")]
    Json {
        /// The kind of file, as named in error messages.
        what: String,
        /// The syntax error with its line and column.
        source: serde_json::Error,
    },
    /// The schema generated from the type cannot be compiled.
    #[error("{0}")]
    Schema(String),
    /// The file does not match its schema.
    #[error("{}", join_messages(.0))]
    Violations(Vec<Violation>),
    /// The file matches its schema, but deserialization fails.
    #[error(transparent)]
    Value(serde_json::Error),
}

/// A part of a file that does not match its schema.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {}: {message}", if pointer.is_empty() { "the top level" } else { pointer })]
pub struct Violation {
    /// Location in the document as a JSON Pointer; empty at the top level.
    pub pointer: String,
    /// The validator's message.
    pub message: String,
}

fn join_messages(violations: &[Violation]) -> String {
    let messages: Vec<String> = violations.iter().map(Violation::to_string).collect();
    messages.join("\n")
}

/// Parses a file. It is validated against its schema first, so that all violations are reported at once. `what` names the
/// kind of file in error messages.
///
/// # Errors
/// The text is not JSON, violates the schema (every violation is listed with its location), or cannot be deserialized.
pub fn read<T: JsonSchema + DeserializeOwned>(what: &str, text: &str) -> Result<T, DocumentError> {
    let value: Value = serde_json::from_str(text).map_err(|source| DocumentError::Json {
        what: what.into(),
        source,
    })?;
    let schema = schema::<T>();
    let validator =
        jsonschema::validator_for(&schema).map_err(|e| DocumentError::Schema(e.to_string()))?;
    let violations: Vec<Violation> = validator
        .iter_errors(&value)
        .map(|error| Violation {
            pointer: error.instance_path().to_string(),
            message: error.to_string(),
        })
        .collect();
    match violations.is_empty() {
        true => serde_json::from_value(value).map_err(DocumentError::Value),
        false => Err(DocumentError::Violations(violations)),
    }
}
