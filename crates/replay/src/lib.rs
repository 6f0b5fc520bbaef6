//! The laboratory: recorded or made load, played against emulated job workers on two grounds.
//!
//! [`scenario`] says who there is and what happens to them. [`virt`] plays it in virtual time with the scheduler's own
//! engine and module, [`sockets`] on loopback with the real program as child processes. Both grounds share the job
//! workers ([`worker`], [`store`]), the clients ([`client`]), the checkers of the rules ([`check`]) and the figures ([`service`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod client;
pub mod compare;
pub mod export;
pub mod foldcheck;
pub mod load;
pub mod plain;
pub mod random;
pub mod report;
pub mod scenario;
pub mod service;
pub mod sockets;
pub mod store;
pub mod survey;
pub mod virt;
pub mod worker;
