//! A scheduler that pushes jobs to job workers: hybrid SQ(d) over worker kinds.
//!
//! [`dispatcher::Dispatcher`] is the decision module. It takes [`api::Event`]s and answers with
//! [`api::Action`]s; it does no I/O and reads no clock. [`wire`] translates a text protocol for the simulator.
//! Around the module are [`indigofold_core`], which knows no protocol, [`net`] and the fronts in [`front`];
//! operators call at the [`admin`], [`handover`] replaces the process, and [`program`] connects the parts.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod config;
pub mod front;
pub mod handover;
pub mod net;
pub mod program;
pub mod wire;
pub use indigofold_decisions::{
    affinity, api, arrivals, dispatcher, ids, runs, solve, statistics, transferred_job,
};
