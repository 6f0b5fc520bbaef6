//! The decision module of the single-process scheduler. [`dispatcher::Dispatcher`] takes [`api::Event`]s and returns
//! [`api::Action`]s; it does no I/O, reads no clock and is independent of any wire protocol. Learned [`statistics`]
//! and an open job ([`transferred_job`]) are values that another process can take over. [`affinity`] and [`arrivals`]
//! contain estimators that the decisions use; run-time estimators and the solver of the kind-probability problem
//! (problem (1)) come from `indigofold-placement`.

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
