//! JSON arrays that encode the list entries of a heartbeat and of its reply. They define the order of the fields; the
//! fields are documented at the structs in `entries`.

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
