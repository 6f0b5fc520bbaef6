//! Clients: what they do once they have an answer. One draw decides for each job and try, by its number, so that two runs
//! of one load meet the same clients.

pub use crate::sampling::{draw, unit};
use crate::scenario::{Clients, Effect, Micros};

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// Served.
    Served,
    /// Refused: come back after so long (0: no advice).
    Refused(Micros),
    /// Failed.
    Failed,
}

/// When a client tries again after an answer to its try of this number (from 0); `None`: it does not. `until`: its time is
/// up then.
pub fn again(
    clients: &Clients,
    effect: Effect,
    said: Said,
    (seed, job): (u64, u64),
    tried: u32,
    now: Micros,
    until: Micros,
) -> Option<Micros> {
    if tried >= clients.retries {
        return None;
    }
    let advice = match said {
        Said::Served => return None,
        Said::Refused(after) => after,
        // Trying again might be a second effect, and a client that was told so leaves it.
        Said::Failed if effect == Effect::Unsafe || !clients.after_failure => return None,
        Said::Failed => 0,
    };
    let backoff = (clients.backoff_ms * 1e3) as Micros;
    let honours = unit(&mut draw(seed, job, 0x00c1_1e47 + u64::from(tried))) < clients.honour;
    let wait = match honours && advice > 0 {
        true => advice.min(clients.max_retry_after_ms * 1000),
        false => backoff,
    };
    Some(now + wait).filter(|at| *at < until)
}

#[cfg(test)]
mod tests;
