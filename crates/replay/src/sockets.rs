//! The ground on sockets: the real program as child processes under its limits, with stand-in clients, job workers and
//! discovery that speak the platform's protocol on loopback.
//!
//! Load is open loop: a late answer never delays the next arrival, latencies count from the intended send, and how late the
//! generator itself was is reported. All that is seen gets a time from one clock; the rules are checked on it afterwards,
//! by the same checkers as in virtual time.

mod clients;
mod discovery;
mod http;
mod program;
mod workers;

use crate::check::{Checker, Seen};
use crate::load::Arrival;
use crate::scenario::{Micros, Scenario, What};
use crate::service::Service;
use crate::virtual_time::{Retries, Run};
use discovery::List;
use smol::{Executor, Timer};
use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Threads of the stand-ins.
const THREADS: usize = 2;
/// Schedulers must be ready within this time.
const READY: Duration = Duration::from_secs(20);

/// What all stand-ins share.
pub struct Stage {
    /// The scenario.
    pub scenario: Scenario,
    /// Random numbers begin here.
    pub seed: u64,
    /// What becomes of recorded retries.
    pub retries: Retries,
    tasks: Arc<Executor<'static>>,
    began: Instant,
    unix: Micros, // at that moment
    seen: Mutex<Vec<(Micros, Seen)>>,
    service: Mutex<Service>,
    list: Mutex<List>,
    /// What clients have sent, by the number in the trace id.
    known: Mutex<HashMap<u64, workers::Known>>,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Stage {
    /// The scenario's time.
    pub fn now(&self) -> Micros {
        self.scenario.from() + self.began.elapsed().as_micros() as Micros
    }

    /// The moment of a time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.began + Duration::from_micros(at.saturating_sub(self.scenario.from()))
    }

    /// A time as Unix time in milliseconds, for the program.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (self.unix + at.saturating_sub(self.scenario.from())) / 1000
    }

    /// Notes what was seen now.
    pub fn see(&self, seen: Seen) {
        self.see_at(self.now(), seen);
    }

    /// Notes what was seen then.
    pub fn see_at(&self, at: Micros, seen: Seen) {
        locked(&self.seen).push((at, seen));
    }

    /// Starts a task.
    pub fn start(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task).detach();
    }
}

/// Plays arrivals on sockets.
///
/// # Errors
/// The program does not start, a stand-in cannot listen, or the scenario wants what only virtual time has.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    retries: Retries,
    program: &Path,
    arrivals: impl Iterator<Item = Result<Arrival, String>>,
) -> Result<Run, String> {
    let machines = &scenario.machines;
    if machines.things.is_some() || machines.cancel || !machines.copies {
        return Err(
            "at /machines: 'things', 'cancel' and 'copies' are played in virtual time only".into(),
        );
    }
    let tasks = Arc::new(Executor::new());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let (tasks, stopped) = (tasks.clone(), stopped.clone());
            std::thread::spawn(move || {
                let _ = smol::block_on(tasks.run(stopped.recv()));
            })
        })
        .collect();
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Micros);
    let stage = Arc::new(Stage {
        scenario: scenario.clone(),
        seed,
        retries,
        tasks,
        began: Instant::now(),
        unix,
        seen: Mutex::default(),
        service: Mutex::new(Service::new(scenario)),
        list: Mutex::new(List::new(scenario)),
        known: Mutex::default(),
    });
    let played = smol::block_on(on_stage(&stage, program, arrivals));
    drop(stop);
    for thread in threads {
        let _ = thread.join();
    }
    played?;
    let mut seen = std::mem::take(&mut *locked(&stage.seen));
    seen.sort_by_key(|(at, _)| *at);
    let (mut checker, events) = (Checker::new(scenario), seen.len() as u64);
    for (_, seen) in seen {
        checker.see(seen);
    }
    let verdict = checker.finish(stage.now());
    let service = std::mem::replace(&mut *locked(&stage.service), Service::new(scenario));
    Ok(Run {
        outcome: service.outcome(),
        verdict,
        events,
        ..Run::default()
    })
}

async fn on_stage(
    stage: &Arc<Stage>,
    program: &Path,
    arrivals: impl Iterator<Item = Result<Arrival, String>>,
) -> Result<(), String> {
    let discovery = discovery::open(stage)
        .await
        .map_err(|e| format!("discovery: {e}"))?;
    let fleet = workers::open(stage)
        .await
        .map_err(|e| format!("job workers: {e}"))?;
    let mut schedulers = Vec::new();
    for me in 0..stage.scenario.schedulers {
        schedulers.push(program::start(stage, program, me, &discovery[me as usize])?);
    }
    let addresses: Vec<_> = schedulers.iter().map(|s| s.address).collect();
    fleet.call_back(stage, &addresses);
    for s in &schedulers {
        s.ready(READY).await?;
    }
    // The scenario begins once all are ready: what comes before is cut off the clock's reading by shifting arrivals.
    let shift = stage.now() - stage.scenario.from();
    for (n, _) in stage.scenario.troubles.iter().enumerate() {
        stage.start(trouble(stage.clone(), fleet.clone(), n, shift));
    }
    let sent = clients::send(stage, arrivals, &addresses, shift).await;
    for s in &mut schedulers {
        if let Some(status) = s.ended() {
            return Err(format!("a scheduler ended while it was needed: {status}"));
        }
    }
    sent
}

/// One trouble, from its beginning to its end.
async fn trouble(stage: Arc<Stage>, fleet: Arc<workers::Fleet>, n: usize, shift: Micros) {
    let trouble = stage.scenario.troubles[n].clone();
    let us = |s: f64| (s * 1e6) as Micros;
    let from = stage.scenario.from() + shift + us(trouble.at_s);
    let until = from + us(trouble.for_s);
    let notice = Duration::from_millis(stage.scenario.discovery.notice_ms);
    Timer::at(stage.instant(from)).await;
    match trouble.what {
        What::Hang => trouble
            .workers
            .iter()
            .for_each(|w| fleet.stand_still(*w, until)),
        What::Pauses { ms, every_ms } => {
            while stage.now() < until {
                let end = stage.now() + (ms * 1e3) as Micros;
                trouble
                    .workers
                    .iter()
                    .for_each(|w| fleet.stand_still(*w, end));
                Timer::after(Duration::from_micros((every_ms.max(1.0) * 1e3) as u64)).await;
            }
        }
        What::Slow { times } => {
            trouble
                .workers
                .iter()
                .for_each(|w| fleet.set_pace(*w, 1.0 / times));
            Timer::at(stage.instant(until)).await;
            trouble.workers.iter().for_each(|w| fleet.set_pace(*w, 1.0));
        }
        What::HotThings { .. } => {} // the load's
        What::Crash | What::Drain => {
            let crash = trouble.what == What::Crash;
            for w in &trouble.workers {
                if crash {
                    fleet.crash(*w)
                } else {
                    fleet.drain(*w)
                }
            }
            Timer::after(notice).await;
            for w in &trouble.workers {
                locked(&stage.list).change(*w, if crash { "Gone" } else { "Terminating" }, 0);
            }
            Timer::at(stage.instant(until)).await;
            for w in &trouble.workers {
                fleet.start_again(*w).await;
            }
            let born = stage.unix_ms(stage.now());
            Timer::after(notice).await;
            for w in &trouble.workers {
                locked(&stage.list).change(*w, "Ready", born);
            }
        }
    }
}
