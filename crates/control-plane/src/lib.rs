//! A member of the core: replicates the control state in a chain with the other members and, while it is the acting head,
//! decides changes of the configuration and runs the schedulers.
//!
//! [`core_member::CoreMember`] is the member as a state machine; [`driver`] connects it with sockets, disk, clocks and signals,
//! [`program`] is the program around both.

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
