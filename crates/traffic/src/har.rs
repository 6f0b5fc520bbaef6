//! HAR 1.2: the entries of a document that may be far larger than memory, one after another.
//!
//! [`Splitter`] takes the document in chunks, finds the array `log.entries` and hands out each element's text; [`read`]
//! decodes one.

mod array_finder;
mod entry;
mod entry_scanner;
mod splitter;

pub use entry::read;
pub use entry_scanner::MAX_ENTRY_BYTES;
pub use splitter::{Element, NoEntries, Splitter};
