//! A scheduler that pushes jobs to job workers: hybrid SQ(d) over worker kinds.
//!
//! [`dispatcher::Dispatcher`] is the decision module. It takes [`api::Event`]s and returns
//! [`api::Action`]s; it does no I/O and reads no clock. [`wire`] translates the simulator's text protocol.
//! Around the module are [`indigofold_core`], which is independent of protocols, [`net`], and the fronts in [`front`],
//! which speak the protocols of clients and job workers. [`admin`] is the endpoint for operators, [`handover`] replaces a
//! running process by a new one, and [`program`] connects the parts.

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
