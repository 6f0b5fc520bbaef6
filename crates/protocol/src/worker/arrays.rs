//! The JSON arrays of a heartbeat's lists and of its reply's. They fix the order of the fields; the meaning of each field
//! is documented at the struct that is made of it.

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
