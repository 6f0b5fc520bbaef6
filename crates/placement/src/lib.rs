//! Numerical algorithms for placement, shared by the single-process scheduler and the cluster's scheduler: the solver
//! of problem (1) of hybrid SQ(d) in [`solve`] and the estimators of run times in [`runs`]. The crate makes no
//! decisions and does no I/O.

#![forbid(unsafe_code)]

pub mod runs;
pub mod solve;
