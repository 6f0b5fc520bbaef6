//! Harnesses shared by several test files.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod agent_harness;
pub(crate) mod program;
