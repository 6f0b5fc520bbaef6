//! Decisions of a dispatcher that pushes jobs to workers: hybrid SQ(d) over worker kinds.
//!
//! [`choice::Dispatcher`] is the whole decision module. It is fed [`api::Event`]s and answers with
//! [`api::Action`]s; it does no I/O and reads no clock. [`wire`] translates a text protocol for the adapter.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod choice;
pub mod wire;
