//! Whole-program tests of the cluster: the real programs as child processes on loopback addresses, and stand-ins for
//! all that connects to them (workers, clients, the operator).
//!
//! The stand-ins are written from the operators' pages alone and share no type with the programs, so that a
//! misunderstanding in the programs is not repeated here. All starts and ends of runs on all workers are recorded
//! ([`environment`]), and at the end of a test the record is checked against the rules ([`checks`]).

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
pub mod settings;
pub mod system;
pub mod task;
pub mod wait;
pub mod wire;
pub mod worker;

/// The programs under test. Cargo names them to integration tests only, so this has to be expanded there.
#[macro_export]
macro_rules! programs {
    () => {
        $crate::system::Programs {
            data: env!("CARGO_BIN_EXE_system-test-data").into(),
            control: env!("CARGO_BIN_EXE_system-test-control").into(),
        }
    };
}
