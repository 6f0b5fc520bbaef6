//! A core member: replicates the control state along a chain of members and, while it is the acting head, decides
//! configuration changes and runs the scheduler.
//!
//! [`core_member::CoreMember`] is the member as a state machine without I/O. [`driver`] connects it to sockets, disk, clocks
//! and signals. [`program`] adds the command line, the log and the exit codes.

#![forbid(unsafe_code)]

pub mod acting_head;
pub mod clocks;
pub mod command_line;
pub mod config_authority;
pub mod core_member;
pub mod driver;
pub mod inbox;
pub mod inspection;
pub mod operator;
pub mod peers;
pub mod program;
pub mod sessions;
pub mod storage_thread;
