//! Estimators of what arrives: how much work, how many requests, whose they are. Nothing here decides; the decision
//! module asks.

use crate::ids::{TenantId, Time};

/// Memory of the rates, in microseconds.
const MEMORY: f64 = 5e6;
/// Weight that tenants' shares of the arrivals keep at each new one.
const TENANT_KEEP: f64 = 0.98;

/// What has arrived of late.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Work arriving a microsecond.
    pub work: f64,
    /// ... and that of it which any kind of worker can do.
    pub unbound: f64,
    /// Requests arriving a second.
    pub per_s: f64,
    since: Time,
    tenants: Vec<f64>,
}

impl Arrivals {
    /// Nothing has arrived yet; tenants are taken to have these shares.
    pub fn new(shares: impl Iterator<Item = f64>, now: Time) -> Self {
        Arrivals {
            since: now,
            tenants: shares.collect(),
            ..Default::default()
        }
    }

    /// There are more tenants: those past the ones that are known are taken to have these shares.
    pub fn tenants(&mut self, shares: impl Iterator<Item = f64>) {
        let known = self.tenants.len();
        self.tenants.extend(shares.skip(known));
    }

    /// Counts one arrival with so much work; `bound`: only one kind of worker can do it.
    pub fn count(&mut self, now: Time, work: f64, bound: bool, tenant: TenantId) {
        let fade = (-(now.saturating_sub(self.since) as f64) / MEMORY).exp();
        self.work = self.work * fade + work / MEMORY;
        self.unbound = self.unbound * fade + if bound { 0.0 } else { work / MEMORY };
        self.per_s = self.per_s * fade + 1e6 / MEMORY;
        self.since = now;
        self.tenants
            .iter_mut()
            .for_each(|fraction| *fraction *= TENANT_KEEP);
        self.tenants
            .get_mut(tenant as usize)
            .into_iter()
            .for_each(|fraction| *fraction += 1.0 - TENANT_KEEP);
    }

    /// Work arriving a microsecond, that of it which any kind may do, and requests a second, as of now.
    pub fn rates(&self, now: Time) -> (f64, f64, f64) {
        let fade = (-(now.saturating_sub(self.since) as f64) / MEMORY).exp();
        (self.work * fade, self.unbound * fade, self.per_s * fade)
    }

    /// Goes on from rates that another has counted, of which this part still holds.
    pub fn resume(&mut self, now: Time, (work, unbound, per_s): (f64, f64, f64), keep: f64) {
        (self.work, self.unbound, self.per_s) = (work * keep, unbound * keep, per_s * keep);
        self.since = self.since.max(now);
    }

    /// Takes this for a tenant's share; one that the settings do not name has none.
    pub fn set_fraction(&mut self, tenant: TenantId, fraction: f64) {
        self.tenants
            .get_mut(tenant as usize)
            .into_iter()
            .for_each(|known| *known = fraction);
    }

    /// A tenant's share of the arrivals; `None` for one that the settings do not name.
    pub fn fraction(&self, tenant: TenantId) -> Option<f64> {
        self.tenants.get(tenant as usize).copied()
    }
}
