//! Estimators of what arrives: work, requests and the tenants they are of. Nothing here decides; the dispatcher asks.

use crate::ids::{TenantId, Time};
use serde::{Deserialize, Serialize};

/// Time constant of the rates, in microseconds.
const MEMORY: f64 = 5e6;
/// Microseconds in a second.
const SECOND: f64 = 1e6;
/// Weight that the tenants' fractions keep at each arrival: about the last fifty count.
const TENANT_KEEP: f64 = 0.98;

/// Recent rates of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Work arriving in a microsecond, in microseconds at speed 1.
    pub work: f64,
    /// The part of it that any kind of worker can do.
    pub unbound: f64,
    /// Requests arriving in a second.
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
    /// Fraction of the arrivals of each tenant of the settings.
    tenants: Vec<f64>,
}

impl Arrivals {
    /// Nothing has arrived yet; the tenants are assumed to have these fractions.
    pub fn new(fractions: impl Iterator<Item = f64>, now: Time) -> Self {
        Arrivals {
            rates: Rates::default(),
            updated_at: now,
            tenants: fractions.collect(),
        }
    }

    /// Takes the fractions of tenants that have been added at the end; known ones keep what was counted.
    pub fn add_tenants(&mut self, fractions: impl Iterator<Item = f64>) {
        let known = self.tenants.len();
        self.tenants.extend(fractions.skip(known));
    }

    /// Counts one arrival with this much work, in microseconds at speed 1; `bound`: only one kind of worker can do it.
    pub fn count(&mut self, now: Time, work: f64, bound: bool, tenant: TenantId) {
        let fade = self.fade(now);
        let Rates {
            work: former,
            unbound,
            per_s,
        } = self.rates;
        self.rates = Rates {
            work: former * fade + work / MEMORY,
            unbound: unbound * fade + if bound { 0.0 } else { work / MEMORY },
            per_s: per_s * fade + SECOND / MEMORY,
        };
        self.updated_at = now;
        for fraction in &mut self.tenants {
            *fraction *= TENANT_KEEP;
        }
        if let Some(fraction) = self.tenants.get_mut(tenant as usize) {
            *fraction += 1.0 - TENANT_KEEP;
        }
    }

    /// The rates as of the last arrival.
    pub fn latest(&self) -> Rates {
        self.rates
    }

    /// The rates as of now.
    pub fn rates(&self, now: Time) -> Rates {
        self.rates.scaled(self.fade(now))
    }

    /// Continues from rates that another dispatcher has counted, at this fraction of them.
    pub fn resume(&mut self, now: Time, rates: Rates, keep: f64) {
        self.rates = rates.scaled(keep);
        self.updated_at = self.updated_at.max(now);
    }

    /// Replaces a tenant's fraction of the arrivals; tenants that the settings lack have none.
    pub fn set_fraction(&mut self, tenant: TenantId, fraction: f64) {
        if let Some(known) = self.tenants.get_mut(tenant as usize) {
            *known = fraction;
        }
    }

    /// A tenant's fraction of the arrivals; `None` for one that the settings lack.
    pub fn fraction(&self, tenant: TenantId) -> Option<f64> {
        self.tenants.get(tenant as usize).copied()
    }

    /// Factor by which rates have decayed since their last update.
    fn fade(&self, now: Time) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / MEMORY).exp()
    }
}
