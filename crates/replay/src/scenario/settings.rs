//! Builds a scheduler's settings document from a scenario, in the format in which the platform writes it.

use super::{Class, Effect, Scenario};
use crate::error::{ReplayError, SettingsSnafu};
use indigofold::config::Site;
use serde_json::{Value, json};
use snafu::ResultExt;

/// Returns the `profiles` entry of a class; times are in microseconds.
fn profile(class: &Class) -> Value {
    let mut profile = json!({"name": class.name, "aim": class.latency_target_ms * 1000, "deadline": class.deadline(),
        "worth": class.value, "lateWorth": class.late_value});
    match class.effect {
        Effect::Safe => profile["effect"] = "safe".into(),
        Effect::Unsafe => profile["effect"] = "unsafe".into(),
        Effect::Keyed(window_ms) => {
            profile["effect"] = "keyed".into();
            profile["group"] = "all".into();
            profile["keyTtl"] = (window_ms * 1000).into();
        }
    }
    profile
}

impl Scenario {
    /// Returns the settings document of scheduler number `me`, as the platform writes it.
    pub fn settings(&self, me: u32) -> Value {
        let capacity = self.capacity();
        let us = |ms: f64| (ms * 1e3) as u64;
        let profiles: Vec<_> = self.classes.iter().map(profile).collect();
        let customers: Vec<_> = self
            .parishes
            .iter()
            .map(|p| json!({"name": p.name, "quotaPerS": p.quota * capacity, "fraction": p.quota}))
            .collect();
        let initial_capacity = self
            .kinds
            .iter()
            .map(|k| k.initial_capacity)
            .fold(1.0, f64::min);
        json!({
            "balancers": self.schedulers, "me": me, "zones": self.zones,
            "myZone": self.zones[self.zone_of(me) as usize],
            "kinds": self.kinds.iter().map(|k| k.name.as_str()).collect::<Vec<_>>(),
            "granularity": us(self.limits.tick_ms), "discovery": "on_request",
            "overShareWorth": self.over_quota_value, "worthBy": "request",
            "charges": {"crossZone": self.prices.cross_zone, "probe": self.prices.probe,
                "waste": self.prices.waste, "lateFail": self.prices.late_fail},
            "customers": customers,
            "domain": {"classKind": vec![-1; self.classes.len()],
                "classStretch": self.classes.iter().map(|c| c.stretch).collect::<Vec<_>>(),
                "classPriority": self.classes.iter().map(|c| c.priority).collect::<Vec<_>>(),
                "progress": 1_000_000, "tellsStart": true, "reportX0": "free slots"},
            "policyLimits": {"attemptsCap": self.rules.attempts, "cancel": true, "connIdle": 5_000_000,
                "dialTimeout": 200_000, "maxRetryAfter": self.clients.max_retry_after_ms * 1000,
                "mayDuplicate": self.machines.speculative_runs, "peers": false, "probes": self.machines.reports,
                "retryAfter": true},
            "profiles": profiles,
            "rules": {"answerSlack": self.rules.answer_slack_ms * 1000, "askWithin": 10_000_000, "coldFrom": initial_capacity,
                "drainGrace": self.rules.drain_grace_ms * 1000, "overloadFor": self.rules.tip_window_ms * 1000,
                "tipMultiple": self.rules.tip_multiple, "warmAfter": us(self.rules.warm_after_s * 1e3)},
            "telemetry": {"names": if self.machines.reports { vec!["queue", "inflight", "x0"] } else { vec![] },
                "source": if self.machines.reports { "on_probe" } else { "off" }},
        })
    }

    /// Returns the settings of scheduler number `me`, parsed by the scheduler's own reader.
    ///
    /// # Errors
    /// The scheduler rejects the settings.
    pub fn site(&self, me: u32) -> Result<Site, ReplayError> {
        let text = self.settings(me).to_string().into_bytes();
        let mut site = Site::read(text).context(SettingsSnafu)?;
        // The scheduler program also limits open requests to a quarter of its file descriptors.
        site.settings.limits.open = Some(self.limits.sockets as usize / 4);
        Ok(site)
    }
}
