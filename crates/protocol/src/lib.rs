//! Messages of the cluster: those of clients, workers and operators (`job`, `worker`, `config`), and those between the
//! cluster's own processes (`internal`, `inspection`), with their encoding and validation. The crate opens no sockets
//! and reads no clocks.

#![forbid(unsafe_code)]

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
#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    missing_debug_implementations,
    unreachable_pub,
    unused_qualifications,
    reason = "generated code"
)]
#[rustfmt::skip]
mod internal_capnp;
pub mod job;
pub mod job_check;
mod json;
pub mod member;
pub mod request_digest;
pub mod task;
pub mod worker;
