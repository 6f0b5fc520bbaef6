//! Replays of recorded or generated traffic against emulated workers.
//!
//! A [`scenario`] describes the deployment, the load and the faults. [`virtual_time`] plays it with the scheduler's own engine
//! and decision module in virtual time, [`sockets`] on loopback with the scheduler program as child processes. Both share the
//! workers ([`worker`], [`object_store`]), the clients ([`client`]), the rule checkers ([`check`]) and the metrics
//! ([`service`]). [`survey`] generates random deployments and compares the module with the policies of [`baseline`] on them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baseline;
pub mod check;
pub mod client;
pub mod compare;
pub mod error;
pub mod export;
pub mod load;
pub mod object_store;
pub mod report;
pub mod retry_folding;
pub mod sampling;
pub mod scenario;
pub mod service;
pub mod sockets;
pub mod survey;
pub mod virtual_time;
pub mod worker;
