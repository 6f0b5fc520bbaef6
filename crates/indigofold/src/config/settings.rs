//! The settings of the decision module, read from the settings object.

use super::Parse;
use super::error::{ClassSnafu, MissingSnafu, NotABooleanSnafu};
use super::json::Json;
use crate::api::{
    Charges, Class, DeduplicationScope, Effect, KindId, Limits, Reports, RetryBudget, Rules,
    Settings, Tenant, Time, ZoneId,
};
use simd_json::prelude::*;
use snafu::{OptionExt, ResultExt};

/// Reads the settings object. Numbers that rules and limits depend on are required; the rest has defaults.
pub(super) fn settings(env: Json<'_>, zone: ZoneId) -> Parse<Settings> {
    let domain = env.at("domain");
    let mut classes = Vec::new();
    for (i, c) in env.at("profiles").items().enumerate() {
        let name = c.at("name").text().unwrap_or("");
        let class = class(i, c, domain);
        classes.push(
            class
                .map_err(Box::new)
                .context(ClassSnafu { index: i, name })?,
        );
    }
    let sources = [
        ("inline", Reports::WithResults),
        ("on_probe", Reports::OnProbe),
        ("off", Reports::Off),
    ];
    let tenants = env.at("customers").items().map(|t| Tenant {
        quota_per_s: t.number_or("quotaPerS", 0.0),
        fraction: t.number_or("fraction", 0.0),
    });
    Ok(Settings {
        dispatchers: env.within("balancers", 1.0, f64::INFINITY)? as u32,
        dispatcher_index: env.within("me", 0.0, f64::INFINITY)? as u32,
        zone,
        granularity: env.number_or("granularity", 1000.0).max(1.0) as Time,
        classes,
        tenants: tenants.collect(),
        membership_pushed: env
            .one_of("discovery", &[("pushed", true), ("on_request", false)])?
            .unwrap_or(false),
        reports_start: domain.at("tellsStart").flag(),
        progress: domain.number_or("progress", 0.0).max(0.0) as Time,
        reports: env
            .at("telemetry")
            .one_of("source", &sources)?
            .unwrap_or(Reports::Off),
        value_by_work: env
            .one_of("worthBy", &[("request", false), ("work", true)])?
            .unwrap_or(false),
        over_quota_value: env.number_or("overShareWorth", 1.0),
        limits: limits(env.at("policyLimits"))?,
        charges: charges(env.at("charges")),
        rules: rules(env.at("rules"))?,
    })
}

/// Reads the class at position `i`; the lists in `domain` have its other values at the same position.
fn class(i: usize, c: Json<'_>, domain: Json<'_>) -> Parse<Class> {
    let stretch = domain
        .at("classStretch")
        .item(i)
        .number()
        .or(c.at("aimStretch").number());
    let kind = domain.at("classKind").item(i).number();
    let effect = effect(c)?;
    Ok(Class {
        kind: kind.filter(|k| *k >= 0.0).map(|k| k as KindId),
        latency_target: c.time("aim")?,
        stretch: stretch.unwrap_or(0.0),
        deadline: c.time("deadline")?,
        effect,
        value: c.number_or("worth", 1.0),
        late_value: c.number_or("lateWorth", 0.0),
        priority: domain.at("classPriority").item(i).number().unwrap_or(0.0) as i32,
    })
}

/// Reads the effect of a second run of a job of this class.
fn effect(c: Json<'_>) -> Parse<Effect> {
    let groups = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    match c.one_of("effect", &[("safe", 0), ("keyed", 1), ("unsafe", 2)])? {
        Some(0) => Ok(Effect::Safe),
        Some(1) => {
            let group = c
                .one_of("group", &groups)?
                .context(MissingSnafu { key: "group" })?;
            Ok(Effect::Keyed {
                group,
                ttl: c.time("keyTtl")?,
            })
        }
        Some(_) => Ok(Effect::Unsafe),
        None => MissingSnafu { key: "effect" }.fail(),
    }
}

fn limits(limits: Json<'_>) -> Parse<Limits> {
    Ok(Limits {
        attempts: limits.within("attemptsCap", 0.0, f64::INFINITY)? as u32,
        open: None,
        cancel: limits.at("cancel").flag(),
        duplicates: limits.at("mayDuplicate").flag(),
        probes: limits.at("probes").flag(),
        peers: limits.at("peers").flag(),
        retry_after: limits.at("retryAfter").flag(),
        max_retry_after: limits.number_or("maxRetryAfter", 0.0).max(0.0) as Time,
        dial_timeout: limits.number_or("dialTimeout", 0.0).max(0.0) as Time,
    })
}

fn charges(prices: Json<'_>) -> Charges {
    Charges {
        cross_zone: prices.number_or("crossZone", 0.0),
        waste: prices.number_or("waste", 0.0),
        probe: prices.number_or("probe", 0.0),
        peer: prices.number_or("peer", 0.0),
        late_fail: prices.number_or("lateFail", 0.0),
        discovery: prices.number_or("discovery", 0.0),
    }
}

fn rules(rules: Json<'_>) -> Parse<Rules> {
    Ok(Rules {
        answer_slack: rules.time("answerSlack")?,
        membership_refresh_within: rules.time("askWithin")?,
        initial_capacity: rules.within("coldFrom", 0.0, 1.0)?,
        warm_after: rules.time("warmAfter")?,
        drain_grace: rules.time("drainGrace")?,
        warm_up_overload_multiple: rules.within("tipMultiple", 0.0, f64::INFINITY)?,
        warm_up_overload_window: rules.time("overloadFor")?,
        retry_budget: retry_budget(rules)?,
        close_idle_within: rules.optional_number("letGoIn")?.map(|v| v as Time),
        full_may_have_run: match rules.at("fullMayHaveRun").0 {
            None => false,
            Some(v) => v.as_bool().context(NotABooleanSnafu {
                key: "rules.fullMayHaveRun",
            })?,
        },
    })
}

/// Reads the retry budget; `None` if no part of it is set. If only a part is set, a missing number counts as 0.
fn retry_budget(rules: Json<'_>) -> Parse<Option<RetryBudget>> {
    let (free, ratio) = (
        rules.optional_number("freeResends")?,
        rules.optional_number("resendRatio")?,
    );
    let window = rules.optional_number("countedOver")?.map(|v| v as Time);
    let stated = free.is_some() || ratio.is_some() || window.is_some();
    let budget = RetryBudget {
        free: free.unwrap_or(0.0),
        ratio: ratio.unwrap_or(0.0),
        window,
    };
    Ok(stated.then_some(budget))
}
