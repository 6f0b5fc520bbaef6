//! Whole-program tests of the cluster: the real programs run as child processes on loopback addresses, with stand-ins
//! for everything that connects to them (workers, clients, the operator).
//!
//! The stand-ins are written from the operator documentation alone and share no types with the programs, so that a
//! misunderstanding in the programs is not repeated here. Every start and end of a run on any worker is recorded
//! ([`environment`]), and the record is checked against the cluster's rules at the end of a test ([`checks`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff;
pub mod checks;
pub mod client;
pub mod cluster;
pub mod configuration;
pub mod environment;
pub mod http;
pub mod job;
pub mod network;
pub mod operator;
pub mod process;
pub mod random;
pub mod relay;
pub mod settings;
pub mod system;
pub mod task;
pub mod wait;
pub mod wire;
pub mod worker;

/// Paths of the programs under test. Cargo sets the `CARGO_BIN_EXE_*` variables only for integration tests, so the
/// macro must be expanded in one.
#[macro_export]
macro_rules! programs {
    () => {
        $crate::system::Programs {
            data: env!("CARGO_BIN_EXE_system-test-data").into(),
            control: env!("CARGO_BIN_EXE_system-test-control").into(),
        }
    };
}
