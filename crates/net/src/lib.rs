//! Networking, clocks, signal handling and logging for the cluster's processes.
//!
//! Everything runs on one thread ([`runtime::run`]), so the types here are not `Send`. The processes speak two
//! protocols: HTTP/1.1 with clients, workers and operators ([`http`]), and length-prefixed frames with each other
//! ([`framed`]).

pub mod build;
pub mod clock;
pub mod error;
pub mod framed;
pub mod http;
pub mod logging;
pub mod runtime;
pub mod signals;
mod socket;
mod waker_slot;

pub use clock::{steady_ms, wall_ms};
pub use error::NetError;
