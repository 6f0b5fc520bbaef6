//! Applies the faults of the scenario to the simulated workers.

use super::discovery::Health;
use super::workers::Fleet;
use super::{Environment, lock};
use crate::scenario::{FaultKind, Micros};
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Plays one fault from its beginning to its end. `shift`, in microseconds, is added to its times.
pub(crate) async fn play(
    environment: Arc<Environment>,
    fleet: Arc<Fleet>,
    number: usize,
    shift: Micros,
) {
    let fault = &environment.scenario.faults[number];
    let us = |s: f64| (s * 1e6) as Micros;
    let begins_at = environment.scenario.from() + shift + us(fault.at_s);
    let ends_at = begins_at + us(fault.for_s);
    Timer::at(environment.instant(begins_at)).await;
    match fault.what {
        FaultKind::Hang => stall(&fleet, &fault.workers, ends_at),
        FaultKind::Pauses { ms, every_ms } => {
            let interval = Duration::from_micros((every_ms.max(1.0) * 1e3) as u64);
            while environment.now() < ends_at {
                let until = environment.now() + (ms * 1e3) as Micros;
                stall(&fleet, &fault.workers, until);
                Timer::after(interval).await;
            }
        }
        FaultKind::Slow { times } => {
            set_speed_factor(&fleet, &fault.workers, 1.0 / times);
            Timer::at(environment.instant(ends_at)).await;
            set_speed_factor(&fleet, &fault.workers, 1.0);
        }
        FaultKind::HotThings { .. } => {} // part of the load
        FaultKind::Crash => {
            for worker in &fault.workers {
                fleet.crash(*worker);
            }
            announce(&environment, &fault.workers, Health::Ended, 0).await;
            restart(&environment, &fleet, &fault.workers, ends_at).await;
        }
        FaultKind::Drain => {
            for worker in &fault.workers {
                fleet.drain(*worker);
            }
            announce(&environment, &fault.workers, Health::Terminating, 0).await;
            restart(&environment, &fleet, &fault.workers, ends_at).await;
        }
    }
}

fn stall(fleet: &Fleet, workers: &[u32], until: Micros) {
    for worker in workers {
        fleet.stall(*worker, until);
    }
}

fn set_speed_factor(fleet: &Fleet, workers: &[u32], speed_factor: f64) {
    for worker in workers {
        fleet.set_speed_factor(*worker, speed_factor);
    }
}

/// Changes the health of workers in discovery after its notice delay.
async fn announce(environment: &Environment, workers: &[u32], health: Health, started_ms: u64) {
    Timer::after(Duration::from_millis(
        environment.scenario.discovery.notice_ms,
    ))
    .await;
    for worker in workers {
        lock(&environment.membership).change(*worker, health, started_ms);
    }
}

/// Restarts workers at the end of a crash or a drain, and announces the new processes.
async fn restart(environment: &Environment, fleet: &Arc<Fleet>, workers: &[u32], at: Micros) {
    Timer::at(environment.instant(at)).await;
    for worker in workers {
        fleet.restart(*worker).await;
    }
    let started_ms = environment.unix_ms(environment.now());
    announce(environment, workers, Health::Ready, started_ms).await;
}
