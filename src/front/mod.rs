//! The fronts: each speaks one protocol with submitters and job workers, on the same core and rules.

pub mod platform;
