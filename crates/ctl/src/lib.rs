//! `indigofold-ctl`: inspects a running cluster, checks the operators' files with the daemons' own code, compares the
//! disks of core members, and starts a small cluster on this machine.
//!
//! Each verb returns a [`Report`](report::Report): a text, a JSON value and the problems that were found.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check_config;
pub mod check_deploy;
pub mod check_settings;
pub mod command_line;
pub mod error;
pub mod exit_code;
pub mod files;
pub mod help;
pub mod job;
pub mod query;
pub mod quickstart;
pub mod replicas;
pub mod report;
pub mod status;
mod table;
