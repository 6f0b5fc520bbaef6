//! Numbers that differ between tests and runs. Nothing here needs to be unpredictable, only distinct.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// A new number at each call.
pub fn number() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// A number below `bound`.
pub fn below(bound: u64) -> u64 {
    number() % bound
}

/// A job's id: 16 hexadecimal digits.
pub fn job_id() -> String {
    format!("{:016x}", number())
}
