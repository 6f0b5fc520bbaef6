//! What can be wrong with a mapping.

use crate::document::DocumentError;
use crate::networks::NetworkError;

/// Why a mapping cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum MappingError {
    /// The file does not have the form of a mapping.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// Its form is right, and these entries cannot be used.
    #[error("{}", join_messages(.0))]
    Entries(Vec<EntryError>),
}

fn join_messages(errors: &[EntryError]) -> String {
    let messages: Vec<String> = errors.iter().map(EntryError::to_string).collect();
    messages.join("\n")
}

/// An entry of a mapping that cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("at {pointer}: {source}")]
pub struct EntryError {
    /// The entry, as a JSON Pointer.
    pub pointer: String,
    /// What is wrong with it.
    pub source: EntryProblem,
}

/// What is wrong with an entry of a mapping.
#[derive(Debug, thiserror::Error)]
pub enum EntryProblem {
    /// No time zone has this name.
    #[error("{0:?} is no time zone; Europe/Lisbon is one")]
    Zone(String),
    /// A network cannot be used.
    #[error(transparent)]
    Network(#[from] NetworkError),
    /// A rule's pattern cannot be compiled.
    #[error("{pattern:?} is no regular expression: {source}")]
    Pattern {
        /// The pattern.
        pattern: String,
        /// What is wrong with it.
        source: regex::Error,
    },
    /// A rule asks for the name of a network, and none is named.
    #[error("there are no 'networks' to name a client by")]
    NoNetworks,
    /// Ids are said to be kept over retries, and no rule names an id.
    #[error("there is no rule for the id that is kept")]
    NoIdRule,
}
