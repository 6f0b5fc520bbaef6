//! Recorded traffic: HAR files and access logs become one plain type, [`Job`], and one file format to keep it in.
//!
//! The decoding does no I/O: [`mod@line`] and [`har`] turn bytes that somebody else has read into [`raw::Raw`] records,
//! [`mapping`] says what job a record is, [`order`] sorts and spreads, [`fold`] finds the retries of one first try, and
//! [`ops`] works on what comes out. Files are touched in [`source`], [`order`] and [`import`] alone.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod detect;
pub mod document;
pub mod fold;
pub mod har;
pub mod import;
pub mod job;
pub mod line;
pub mod mapping;
pub mod networks;
pub mod ops;
pub mod order;
pub mod raw;
pub mod recording;
pub mod source;
pub mod stamp;
pub mod tally;

pub use job::{Again, How, Job};
pub use tally::{Reason, Remark, Tally};
