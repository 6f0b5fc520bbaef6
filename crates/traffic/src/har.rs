//! HAR 1.2: reads the entries of a document one by one, so that it may be far larger than memory.
//!
//! [`Splitter`] receives the document in chunks, finds the array `log.entries` and emits the text of each element;
//! [`read`] decodes one.

mod array_finder;
mod entry;
mod entry_scanner;
mod splitter;

pub use entry::read;
pub use entry_scanner::MAX_ENTRY_BYTES;
pub use splitter::{Element, NoEntries, Splitter};
