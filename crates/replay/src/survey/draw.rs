//! Draws random deployments from wide ranges. The ranges are listed in the table in `docs/survey.md`; a change of a range
//! changes the survey and must increase [`super::VERSION`].

use crate::sampling::{between, draw, unit};
use crate::scenario::{
    Class, Clients, Discovery, Effect, Fault, FaultKind, Jump, Kind, Limits, Load, Machines,
    Network, Order, Parish, Prices, Rules, Scenario, Spread, Things,
};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Target number of first tries of a run; the load of a run ends after about as many, within the bounds of [`SECONDS`].
const JOBS: f64 = 6_000.0;
/// Minimum and maximum duration of the load of a run, in seconds.
const SECONDS: (f64, f64) = (15.0, 30.0);

fn log_between(rng: &mut Pcg64Mcg, low: f64, high: f64) -> f64 {
    between(rng, low.ln(), high.ln()).exp()
}

fn uniform_int(rng: &mut Pcg64Mcg, low: u32, high: u32) -> u32 {
    low + (unit(rng) * f64::from(high - low + 1)) as u32
}

fn chance(rng: &mut Pcg64Mcg, probability: f64) -> bool {
    unit(rng) < probability
}

/// Draws `n` shares that sum to 1.
fn shares(rng: &mut Pcg64Mcg, n: u32) -> Vec<f64> {
    let drawn: Vec<f64> = (0..n).map(|_| between(rng, 0.15, 1.0)).collect();
    let sum: f64 = drawn.iter().sum();
    drawn.into_iter().map(|s| s / sum).collect()
}

fn class(rng: &mut Pcg64Mcg, n: usize, weight: f64) -> Class {
    let work_ms = log_between(rng, 20.0, 3_000.0);
    let latency_target_ms = (work_ms * between(rng, 0.5, 2.5) + between(rng, 30.0, 200.0)) as u64;
    let stretch = between(rng, 1.0, 3.0);
    let usual = latency_target_ms as f64 + stretch * work_ms;
    let effect = match uniform_int(rng, 0, 3) {
        0 | 1 => Effect::Safe,
        2 => Effect::Keyed(log_between(rng, 2_000.0, 20_000.0) as u64),
        _ => Effect::Unsafe,
    };
    Class {
        name: format!("class-{n}"),
        weight,
        effect,
        work_ms,
        spread: if chance(rng, 0.3) {
            Spread::Exponential
        } else {
            Spread::Lognormal
        },
        cv: between(rng, 0.3, 1.6),
        priority: uniform_int(rng, 0, 1) as i32,
        slots: if chance(rng, 0.25) {
            vec![0.8, 0.2]
        } else {
            vec![1.0]
        },
        latency_target_ms,
        stretch,
        deadline_ms: (usual * between(rng, 1.5, 6.0)).max(400.0) as u64,
        value: between(rng, 1.0, 10.0),
        late_value: if chance(rng, 0.25) {
            0.0
        } else {
            between(rng, 0.1, 0.5)
        },
    }
}

fn kind(rng: &mut Pcg64Mcg, n: usize, count: u32) -> Kind {
    let (speed, spread) = (between(rng, 0.45, 1.9), between(rng, 0.03, 0.2));
    Kind {
        name: format!("kind-{n}"),
        count,
        cores: uniform_int(rng, 2, 8),
        speed: [speed * (1.0 - spread), speed * (1.0 + spread)],
        queue_per_core: between(rng, 4.0, 20.0),
        initial_capacity: between(rng, 0.3, 0.7),
        warm_s: between(rng, 2.0, 9.0),
    }
}

/// Draws a fraction of all workers, at least one, without repetition; returns their indices in ascending order.
fn pick_workers(rng: &mut Pcg64Mcg, all: u32, fraction: f64) -> Vec<u32> {
    let wanted = ((f64::from(all) * fraction).round() as u32).clamp(1, all);
    let mut left: Vec<u32> = (0..all).collect();
    let mut taken: Vec<u32> = (0..wanted)
        .map(|_| left.swap_remove((unit(rng) * left.len() as f64) as usize))
        .collect();
    taken.sort_unstable();
    taken
}

/// Number of waves in which a release drains the workers.
const RELEASE_WAVES: u32 = 6;

fn draw_faults(rng: &mut Pcg64Mcg, workers: u32, seconds: f64) -> Vec<Fault> {
    let mut faults = Vec::new();
    for _ in 0..uniform_int(rng, 0, 3) {
        let at_s = between(rng, 2.0, seconds * 0.6);
        let for_s = between(rng, 3.0, seconds * 0.4);
        let fraction = between(rng, 0.05, 0.25);
        let kind = uniform_int(rng, 0, 5);
        let picked = pick_workers(rng, workers, fraction);
        let Some(what) = draw_fault_kind(rng, kind) else {
            faults.extend(release(workers, at_s, for_s));
            continue;
        };
        let workers = match what {
            FaultKind::HotThings { .. } => Vec::new(),
            _ => picked,
        };
        faults.push(Fault {
            at_s,
            for_s,
            workers,
            what,
        });
    }
    faults
}

/// Draws the parameters of a fault. `None`: the fault is a release, which consists of several drain faults.
fn draw_fault_kind(rng: &mut Pcg64Mcg, kind: u32) -> Option<FaultKind> {
    Some(match kind {
        0 => FaultKind::Hang,
        1 => FaultKind::Crash,
        2 => return None,
        3 => FaultKind::Slow {
            times: between(rng, 2.0, 8.0),
        },
        4 => FaultKind::HotThings {
            fraction: between(rng, 0.06, 0.25),
            things: uniform_int(rng, 1, 3),
        },
        _ => FaultKind::Pauses {
            ms: between(rng, 30.0, 250.0),
            every_ms: between(rng, 400.0, 3_000.0),
        },
    })
}

/// The faults of a release: all workers drain, in consecutive waves.
fn release(workers: u32, at_s: f64, for_s: f64) -> Vec<Fault> {
    let wave_s = (for_s / f64::from(RELEASE_WAVES)).max(0.5);
    let wave = |n: u32| Fault {
        at_s: at_s + f64::from(n) * wave_s,
        for_s: wave_s,
        workers: (0..workers).filter(|w| w % RELEASE_WAVES == n).collect(),
        what: FaultKind::Drain,
    };
    let waves = (0..RELEASE_WAVES).map(wave);
    waves.filter(|fault| !fault.workers.is_empty()).collect()
}

/// Draws the deployment with this number; the same seed and number always give the same deployment.
#[allow(
    clippy::too_many_lines,
    reason = "a flat sequence of draws, whose order determines the deployment of a seed"
)]
pub fn deployment(seed: u64, number: u64) -> Scenario {
    // A change of the order of draws changes the survey, like a change of the ranges: see [`super::VERSION`].
    let rng = &mut draw(seed, number, 0x5e4e);
    let zones = (0..uniform_int(rng, 1, 3))
        .map(|n| format!("room-{n}"))
        .collect();
    let classes = draw_classes(rng);
    let kinds = draw_kinds(rng);
    let parishes = draw_parishes(rng);
    let slots: u32 = kinds.iter().map(|k| k.count * k.cores).sum();
    let machines = draw_machines(rng, slots);
    let mut scenario = Scenario {
        version: 1,
        name: format!("survey {seed}, deployment {number}"),
        start: 1_795_978_800,
        seed,
        fleet_seed: number,
        schedulers: log_between(rng, 2.0, 24.0) as u32,
        zones,
        classes,
        parishes,
        kinds,
        network: Network {
            cross_ms: between(rng, 0.5, 4.0),
            ..Network::default()
        },
        clients: draw_clients(rng),
        machines,
        discovery: Discovery {
            notice_ms: between(rng, 300.0, 4_000.0) as u64,
            ..Discovery::default()
        },
        load: Load::default(),
        faults: Vec::new(),
        rules: Rules {
            attempts: uniform_int(rng, 2, 4),
            ..Rules::default()
        },
        prices: Prices {
            cross_zone: between(rng, 0.0, 0.03),
            ..Prices::default()
        },
        over_quota_value: 0.2,
        limits: Limits {
            tick_ms: between(rng, 1.0, 5.0),
            ..Limits::default()
        },
    };
    scenario.load = draw_load(rng, scenario.capacity());
    scenario.faults = draw_faults(rng, scenario.workers(), scenario.load.seconds);
    scenario
}

fn draw_classes(rng: &mut Pcg64Mcg) -> Vec<Class> {
    let count = uniform_int(rng, 1, 4);
    let weights = shares(rng, count).into_iter().enumerate();
    weights.map(|(n, weight)| class(rng, n, weight)).collect()
}

fn draw_kinds(rng: &mut Pcg64Mcg) -> Vec<Kind> {
    let workers = log_between(rng, 4.0, 40.0) as u32;
    let count = uniform_int(rng, 1, workers.min(4));
    let fractions = shares(rng, count).into_iter().enumerate();
    let of_kind = |fraction: f64| ((f64::from(workers) * fraction).round() as u32).max(1);
    fractions
        .map(|(n, fraction)| kind(rng, n, of_kind(fraction)))
        .collect()
}

fn draw_parishes(rng: &mut Pcg64Mcg) -> Vec<Parish> {
    let count = uniform_int(rng, 1, 5);
    let quotas = shares(rng, count).into_iter().enumerate();
    quotas
        .map(|(n, quota)| Parish {
            name: format!("office-{n}"),
            quota,
            usage: 1.0,
            zone: None,
        })
        .collect()
}

/// `slots` is the total number of slots of all workers.
fn draw_machines(rng: &mut Pcg64Mcg, slots: u32) -> Machines {
    let things = chance(rng, 0.5).then(|| Things {
        kept: uniform_int(rng, 2, 12),
        fetch: between(rng, 0.1, 0.8),
        at_once: (f64::from(slots) * between(rng, 0.05, 0.3)).max(1.0),
    });
    let (cancel, reports) = (chance(rng, 0.6), chance(rng, 0.5));
    let orders = [Order::InOrder, Order::WhateverFits, Order::Priority];
    Machines {
        order: orders[uniform_int(rng, 0, 2) as usize],
        cancel,
        speculative_runs: chance(rng, 0.5),
        reports,
        things,
    }
}

fn draw_clients(rng: &mut Pcg64Mcg) -> Clients {
    Clients {
        retries: uniform_int(rng, 0, 3),
        backoff_ms: between(rng, 20.0, 200.0),
        subjects: log_between(rng, 50.0, 20_000.0) as u32,
        zipf: between(rng, 0.6, 1.2),
        ..Clients::default()
    }
}

/// `capacity` is the capacity of all workers, in first tries per second.
fn draw_load(rng: &mut Pcg64Mcg, capacity: f64) -> Load {
    let rate = capacity * between(rng, 0.35, 0.95);
    let seconds = (JOBS / rate).clamp(SECONDS.0, SECONDS.1);
    let jump = Jump {
        at_s: seconds * 0.5,
        for_s: seconds * between(rng, 0.1, 0.25),
        times: between(rng, 1.2, 2.2),
        edge_s: 0.3,
    };
    let jumps = if chance(rng, 0.4) {
        vec![jump]
    } else {
        Vec::new()
    };
    Load {
        seconds,
        rate,
        swing: between(rng, 0.0, 0.35),
        swing_s: seconds / 2.0,
        jumps,
    }
}

/// The traits of a deployment, by which the survey groups its results.
pub fn traits(s: &Scenario) -> Vec<String> {
    let load = s.load.rate / s.capacity();
    let mut traits = vec![
        band(load, &[0.55, 0.75], "load"),
        band(f64::from(s.schedulers), &[4.0, 10.0], "schedulers"),
        band(f64::from(s.workers()), &[8.0, 20.0], "workers"),
    ];
    traits.extend(machine_traits(&s.machines).map(String::from));
    let faults: BTreeSet<&str> = s.faults.iter().map(|f| fault_trait(&f.what)).collect();
    traits.extend(faults.iter().map(ToString::to_string));
    if faults.is_empty() {
        traits.push("no trouble".into());
    }
    if !s.load.jumps.is_empty() {
        traits.push("jump".into());
    }
    traits
}

/// Names the interval between ascending bounds in which a value lies.
fn band(value: f64, bounds: &[f64], name: &str) -> String {
    match bounds.iter().position(|bound| value < *bound) {
        Some(0) => format!("{name} under {}", bounds[0]),
        Some(n) => format!("{name} {} to {}", bounds[n - 1], bounds[n]),
        None => format!("{name} from {} on", bounds[bounds.len() - 1]),
    }
}

fn machine_traits(machines: &Machines) -> [&'static str; 5] {
    let either = |condition, yes, no| if condition { yes } else { no };
    [
        either(machines.things.is_some(), "things kept", "nothing kept"),
        either(machines.reports, "load reports", "no load reports"),
        either(machines.speculative_runs, "copies allowed", "no copies"),
        either(machines.cancel, "cancel stops", "cancel does not stop"),
        match machines.order {
            Order::InOrder => "served in order",
            Order::WhateverFits => "whatever fits",
            Order::Priority => "by priority",
        },
    ]
}

fn fault_trait(what: &FaultKind) -> &'static str {
    match what {
        FaultKind::Hang => "hang",
        FaultKind::Pauses { .. } => "pauses",
        FaultKind::Crash => "crash",
        FaultKind::Drain => "release",
        FaultKind::Slow { .. } => "slow",
        FaultKind::HotThings { .. } => "hot things",
    }
}
