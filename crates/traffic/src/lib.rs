//! Recorded traffic: HAR files and access logs are converted to one type, [`Job`], and stored in one file format, the
//! [`recording`].
//!
//! Decoding does no I/O: [`access_log`] and [`har`] turn bytes that the caller has read into [`raw::RawRecord`]s,
//! [`mapping`] turns a record into a job, [`order`] sorts attempts by time and spreads those with coarse timestamps,
//! [`fold`] assigns retries to their first attempt, and [`ops`] filters, merges, scales and summarises recordings. Only
//! [`source`], [`order`] and [`import`] read or write files.

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
