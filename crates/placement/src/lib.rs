//! Numerical foundations of placement, shared by the older program and the cluster's scheduler: the solution of
//! problem (1) of hybrid SQ(d) in [`solve`] and the estimators of run times in [`runs`]. No decisions and no I/O.

#![forbid(unsafe_code)]

pub mod runs;
pub mod solve;
