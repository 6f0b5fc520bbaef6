//! The laboratory: recorded or made load, played against emulated job workers on two grounds.
//!
//! [`scenario`] says who there is and what happens to them. [`virtual_time`] plays it in virtual time with the scheduler's own
//! engine and module, [`sockets`] on loopback with the real program as child processes. Both grounds share the job
//! workers ([`worker`], [`object_store`]), the clients ([`client`]), the checkers of the rules ([`check`]) and the figures ([`service`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baseline;
pub mod check;
pub mod client;
pub mod compare;
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
