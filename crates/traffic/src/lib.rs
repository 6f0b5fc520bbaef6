//! Recorded traffic: HAR files and access logs become one plain type, [`Job`], and one file format to keep it in.
//!
//! The decoding does no I/O: [`access_log`] and [`har`] turn bytes that the caller has read into [`raw::RawRecord`]s,
//! [`mapping`] says what job a record is, [`order`] sorts and spreads, [`fold`] finds the retries of one first attempt, and
//! [`ops`] works on what comes out. Only [`source`], [`order`] and [`import`] read or write files.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod access_log;
pub mod detect;
pub mod document;
pub mod fold;
pub mod har;
pub mod import;
pub mod job;
pub mod mapping;
mod names;
pub mod networks;
pub mod ops;
pub mod order;
pub mod raw;
pub mod recording;
pub mod source;
pub mod tally;
pub mod timestamp;

pub use job::{Evidence, Job, Retry};
pub use tally::{Reason, Remark, Tally};
