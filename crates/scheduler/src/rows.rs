//! Stored rows of jobs in the control state: `job/ID` holds the definition and is written once; `progress/ID` holds the
//! progress of all tasks and is rewritten as it changes. Submodules: `key` (keys and errors), `forms` (the stored form),
//! `encode` (writing), `restore` (reading after a change of heads).

mod encode;
mod forms;
mod key;
mod restore;

pub(crate) use encode::{definition_bytes, progress_bytes};
pub(crate) use forms::read_progress;
pub use key::RowError;
pub(crate) use key::RowKey;
pub(crate) use restore::{JobRows, read_definition};

#[cfg(test)]
mod tests;
