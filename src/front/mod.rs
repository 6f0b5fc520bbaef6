//! The fronts: each speaks one protocol with submitters and job workers, on the same core and rules.

pub mod faktory;
pub mod platform;

use crate::api::Time;
use std::cell::Cell;

/// What the fronts share of the program's life.
#[derive(Default)]
pub struct Life {
    /// The program is to stop.
    pub stopping: Cell<bool>,
    /// When a job last came.
    pub last_job: Cell<Time>,
}
