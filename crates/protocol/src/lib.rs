//! Messages of the cluster: what clients, workers and operators send (`job`, `worker`, `config`), and what the
//! cluster's own processes send each other (`internal`). Types only: no sockets, no clocks.

pub mod codec;
pub mod config;
pub mod config_check;
mod config_document;
mod config_error;
pub mod config_patch;
pub mod heartbeat_check;
pub mod inspection;
pub mod internal;
// Generated from schema/internal.capnp.
#[allow(clippy::all, elided_lifetimes_in_paths)]
#[rustfmt::skip]
mod internal_capnp;
pub mod job;
pub mod job_check;
mod json;
pub mod member;
pub mod order_digest;
pub mod task;
pub mod worker;
