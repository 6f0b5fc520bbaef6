//! Operators' JSON files, read against the schema that their type publishes.

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The published schema of a kind of file.
pub fn schema<T: JsonSchema>() -> Value {
    schemars::schema_for!(T).to_value()
}

/// Why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The text is no JSON.
    #[error("the {what} is no JSON: {source}")]
    Json {
        /// The kind of the file.
        what: String,
        /// Where it fails.
        source: serde_json::Error,
    },
    /// The type's own schema cannot be compiled.
    #[error("{0}")]
    Schema(String),
    /// The file does not match its schema.
    #[error("{}", join_messages(.0))]
    Violations(Vec<Violation>),
    /// The file matches its schema, and cannot be read all the same.
    #[error(transparent)]
    Value(serde_json::Error),
}

/// Something in a file that its schema does not allow.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {}: {message}", if pointer.is_empty() { "the top" } else { pointer })]
pub struct Violation {
    /// Its place in the document, as a JSON Pointer.
    pub pointer: String,
    /// What is wrong.
    pub message: String,
}

fn join_messages(violations: &[Violation]) -> String {
    let messages: Vec<String> = violations.iter().map(Violation::to_string).collect();
    messages.join("\n")
}

/// Reads a file: against its schema first, so that all that is wrong with its form is reported at once. `what` names the
/// kind of file in errors.
///
/// # Errors
/// Each thing that is wrong, with its place in the document.
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
