//! Errors in mapping files.

use crate::document::DocumentError;
use crate::networks::NetworkError;

/// Why a mapping cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum MappingError {
    /// The file is not JSON or does not match the schema of mapping files.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The file matches the schema, but these entries are invalid.
    #[error("{}", join_messages(.0))]
    Entries(Vec<EntryError>),
}

fn join_messages(errors: &[EntryError]) -> String {
    let messages: Vec<String> = errors.iter().map(EntryError::to_string).collect();
    messages.join("\n")
}

/// An invalid entry of a mapping.
#[derive(Debug, thiserror::Error)]
#[error("at {pointer}: {source}")]
pub struct EntryError {
    /// Location of the entry as a JSON Pointer.
    pub pointer: String,
    /// The reason why the entry is invalid.
    pub source: EntryProblem,
}

/// The reason why an entry of a mapping is invalid.
#[derive(Debug, thiserror::Error)]
pub enum EntryProblem {
    /// No time zone has this name.
    #[error("{0:?} is not a known time zone; expected an IANA name such as Europe/Lisbon")]
    Zone(String),
    /// A network is invalid.
    #[error(transparent)]
    Network(#[from] NetworkError),
    /// A rule's pattern cannot be compiled.
    #[error("{pattern:?} is not a valid regular expression: {source}")]
    Pattern {
        /// The pattern.
        pattern: String,
        /// The syntax error.
        source: regex::Error,
    },
    /// A rule extracts the name of the client's network, but the mapping defines no networks.
    #[error("the rule extracts the client's network, but there are no 'networks' in the mapping")]
    NoNetworks,
    /// Clients are said to keep the request id over retries, but no rule extracts an id.
    #[error("id-kept is set, but there is no rule for 'id'")]
    NoIdRule,
}
