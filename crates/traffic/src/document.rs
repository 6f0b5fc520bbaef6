//! Operators' JSON files, read against the schema that their type publishes.

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The published schema of a kind of file.
pub fn schema<T: JsonSchema>() -> Value {
    schemars::schema_for!(T).to_value()
}

/// Reads a file: against its schema first, so that all that is wrong with its form is told at once. `what` names the
/// kind of file in errors.
///
/// # Errors
/// Each thing that is wrong, with its place in the document.
pub fn read<T: JsonSchema + DeserializeOwned>(what: &str, text: &str) -> Result<T, Vec<String>> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| vec![format!("the {what} is no JSON: {e}")])?;
    let schema = schema::<T>();
    let validator = jsonschema::validator_for(&schema).map_err(|e| vec![e.to_string()])?;
    let wrong: Vec<String> = validator
        .iter_errors(&value)
        .map(|e| {
            let pointer = e.instance_path().to_string();
            format!(
                "at {}: {e}",
                if pointer.is_empty() {
                    "the top"
                } else {
                    &pointer
                }
            )
        })
        .collect();
    match wrong.is_empty() {
        true => serde_json::from_value(value).map_err(|e| vec![e.to_string()]),
        false => Err(wrong),
    }
}
