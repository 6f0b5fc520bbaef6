//! What several test files use; no file uses all of it.

#![allow(dead_code)]

pub mod agent_harness;
pub mod program;
