//! The entries of a heartbeat's lists and of its answer's, as the arrays that stand for them in JSON.
//!
//! Only the order of the fields is said here; their meaning is at the structs that are made of these.

use super::run_end::RunEnd;
use serde::Deserialize;

/// `[task, run, saved, percent]`.
#[derive(Deserialize)]
pub(super) struct Running(
    pub(super) String,
    pub(super) u32,
    pub(super) String,
    pub(super) u32,
);

/// `[N, task, run, how, saved]`.
#[derive(Deserialize)]
pub(super) struct Finished(
    pub(super) u64,
    pub(super) String,
    pub(super) u32,
    pub(super) RunEnd,
    pub(super) String,
);

/// `[task, run, spec, saved]`.
#[derive(Deserialize)]
pub(super) struct Start(
    pub(super) String,
    pub(super) u32,
    pub(super) String,
    pub(super) String,
);

/// `[task, run]`.
#[derive(Deserialize)]
pub(super) struct Stop(pub(super) String, pub(super) u32);
