//! The decisions of the single-process scheduler. [`dispatcher::Dispatcher`] is fed [`api::Event`]s and answers with
//! [`api::Action`]s; it does no I/O, reads no clock and knows no wire. What it has learned ([`statistics`]) and an
//! open job ([`transferred_job`]) are values that another process can take over. [`affinity`] and [`arrivals`] hold
//! estimators that the decisions ask; run times and problem (1) come from `indigofold-placement`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod affinity;
pub mod api;
pub mod arrivals;
pub mod dispatcher;
pub mod ids;
pub mod statistics;
pub mod transferred_job;
pub use indigofold_placement::{runs, solve};
