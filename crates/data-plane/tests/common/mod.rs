//! Harnesses shared by several test files.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod agent_harness;
pub(crate) mod program;
