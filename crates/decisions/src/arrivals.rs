//! Estimators of the arrival rates of work and requests, and of each tenant's fraction of the arrivals. The dispatcher
//! makes the decisions.

use crate::ids::{TenantId, Time};
use serde::{Deserialize, Serialize};

/// Time constant of the rates, in microseconds.
const RATE_TIME_CONSTANT: f64 = 5e6;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Decay factor of the tenants' fractions at each arrival: about the last fifty count.
const TENANT_DECAY: f64 = 0.98;

/// Recent arrival rates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Work that arrives per microsecond, in microseconds at speed 1.
    pub work: f64,
    /// The part of [`Rates::work`] that any kind of worker can do.
    pub unbound: f64,
    /// Requests that arrive per second.
    pub per_s: f64,
}

impl Rates {
    fn scaled(self, by: f64) -> Self {
        Rates {
            work: self.work * by,
            unbound: self.unbound * by,
            per_s: self.per_s * by,
        }
    }
}

/// Moving averages of the arrivals at one dispatcher.
#[derive(Debug, Default)]
pub struct Arrivals {
    rates: Rates,
    /// When the rates were last updated.
    updated_at: Time,
    /// Each tenant's fraction of the arrivals, indexed by tenant id.
    tenants: Vec<f64>,
}

impl Arrivals {
    /// Creates the state before any arrival, with these initial fractions of the tenants.
    pub fn new(fractions: impl Iterator<Item = f64>, now: Time) -> Self {
        Arrivals {
            rates: Rates::default(),
            updated_at: now,
            tenants: fractions.collect(),
        }
    }

    /// Adds the tenants at the end of `fractions` that are not known yet; known tenants keep their measured fractions.
    pub fn add_tenants(&mut self, fractions: impl Iterator<Item = f64>) {
        let known = self.tenants.len();
        self.tenants.extend(fractions.skip(known));
    }

    /// Records one arrival of this much work, in microseconds at speed 1. `bound`: only one kind of worker can do it.
    pub fn count(&mut self, now: Time, work: f64, bound: bool, tenant: TenantId) {
        let fade = self.fade(now);
        let Rates {
            work: former,
            unbound,
            per_s,
        } = self.rates;
        self.rates = Rates {
            work: former * fade + work / RATE_TIME_CONSTANT,
            unbound: unbound * fade
                + if bound {
                    0.0
                } else {
                    work / RATE_TIME_CONSTANT
                },
            per_s: per_s * fade + MICROS_PER_SECOND / RATE_TIME_CONSTANT,
        };
        self.updated_at = now;
        for fraction in &mut self.tenants {
            *fraction *= TENANT_DECAY;
        }
        if let Some(fraction) = self.tenants.get_mut(tenant as usize) {
            *fraction += 1.0 - TENANT_DECAY;
        }
    }

    /// The rates at the time of the last arrival.
    pub fn latest(&self) -> Rates {
        self.rates
    }

    /// The rates at the time `now`.
    pub fn rates(&self, now: Time) -> Rates {
        self.rates.scaled(self.fade(now))
    }

    /// Replaces the rates by those that another dispatcher has measured, multiplied by `keep`.
    pub fn resume(&mut self, now: Time, rates: Rates, keep: f64) {
        self.rates = rates.scaled(keep);
        self.updated_at = self.updated_at.max(now);
    }

    /// Sets a tenant's fraction of the arrivals; does nothing for a tenant that is missing from the settings.
    pub fn set_fraction(&mut self, tenant: TenantId, fraction: f64) {
        if let Some(known) = self.tenants.get_mut(tenant as usize) {
            *known = fraction;
        }
    }

    /// A tenant's fraction of the arrivals; `None` for a tenant that is missing from the settings.
    pub fn fraction(&self, tenant: TenantId) -> Option<f64> {
        self.tenants.get(tenant as usize).copied()
    }

    /// Factor by which rates have decayed since their last update.
    fn fade(&self, now: Time) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / RATE_TIME_CONSTANT).exp()
    }
}
