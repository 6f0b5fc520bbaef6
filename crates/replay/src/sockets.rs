//! Replays on sockets: runs the real program as child processes under its limits, with simulated clients, workers and discovery
//! that speak the platform's protocol on loopback.
//!
//! The load is open loop: a late response never delays the next arrival, latencies count from the intended send time, and the
//! lateness of the load generator itself is reported. All observations get their times from one clock; the rules are checked
//! after the run, by the same checkers as in virtual time.

mod clients;
mod discovery;
mod faults;
mod http;
mod program;
mod workers;

use crate::check::{Checker, Observation};
use crate::error::{ReplayError, SchedulerEndedSnafu, StandInSnafu, VirtualTimeOnlySnafu};
use crate::load::Arrival;
use crate::scenario::{Micros, Scenario};
use crate::service::Service;
use crate::virtual_time::{Retries, Run};
use discovery::Membership;
use smol::Executor;
use snafu::ResultExt;
use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Number of threads that run the simulated clients, workers and discovery.
const THREADS: usize = 2;
/// A scheduler that is not ready within this time fails the replay.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// State that the simulated clients, workers and discovery share.
struct Environment {
    scenario: Scenario,
    seed: u64,
    retries: Retries,
    tasks: Arc<Executor<'static>>,
    began: Instant,
    /// Unix time at `began`, in microseconds.
    began_unix: Micros,
    observations: Mutex<Vec<(Micros, Observation)>>,
    service: Mutex<Service>,
    membership: Mutex<Membership>,
    /// Jobs that clients have sent, by the number in the trace id.
    sent_jobs: Mutex<HashMap<u64, workers::SentJob>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Environment {
    fn new(scenario: &Scenario, seed: u64, retries: Retries) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Environment {
            scenario: scenario.clone(),
            seed,
            retries,
            tasks: Arc::new(Executor::new()),
            began: Instant::now(),
            began_unix: unix.map_or(0, |d| d.as_micros() as Micros),
            observations: Mutex::default(),
            service: Mutex::new(Service::new(scenario)),
            membership: Mutex::new(Membership::new(scenario)),
            sent_jobs: Mutex::default(),
        }
    }

    /// The current time on the scenario's clock.
    fn now(&self) -> Micros {
        self.scenario.from() + self.began.elapsed().as_micros() as Micros
    }

    /// Converts a scenario time to an instant.
    fn instant(&self, at: Micros) -> Instant {
        self.began + Duration::from_micros(at.saturating_sub(self.scenario.from()))
    }

    /// Converts a scenario time to Unix time in milliseconds, as the program expects it.
    fn unix_ms(&self, at: Micros) -> u64 {
        (self.began_unix + at.saturating_sub(self.scenario.from())) / 1000
    }

    /// Records an observation at the current time.
    fn observe(&self, observation: Observation) {
        self.observe_at(self.now(), observation);
    }

    /// Records an observation at a given time.
    fn observe_at(&self, at: Micros, observation: Observation) {
        lock(&self.observations).push((at, observation));
    }

    /// Spawns a detached task on the shared executor.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task).detach();
    }

    /// Checks the recorded observations, and returns the result of a run that has ended.
    fn result(&self) -> Run {
        let mut observations = std::mem::take(&mut *lock(&self.observations));
        observations.sort_by_key(|(at, _)| *at);
        let mut checker = Checker::new(&self.scenario);
        let events = observations.len() as u64;
        for (_, observation) in observations {
            checker.observe(observation);
        }
        let empty = Service::new(&self.scenario);
        let service = std::mem::replace(&mut *lock(&self.service), empty);
        Run {
            verdict: checker.finish(self.now()),
            outcome: service.outcome(),
            events,
            ..Run::default()
        }
    }
}

/// Plays arrivals against the real program on sockets.
///
/// # Errors
/// The program does not start or ends early, a simulated peer cannot listen, an arrival cannot be read, or the scenario has a
/// part that can only be played in virtual time.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    retries: Retries,
    program: &Path,
    arrivals: impl Iterator<Item = Result<Arrival, ReplayError>>,
) -> Result<Run, ReplayError> {
    let machines = &scenario.machines;
    if machines.things.is_some() || machines.cancel || !machines.speculative_runs {
        return VirtualTimeOnlySnafu.fail();
    }
    let environment = Arc::new(Environment::new(scenario, seed, retries));
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let (tasks, stopped) = (environment.tasks.clone(), stopped.clone());
            std::thread::spawn(move || {
                let _ = smol::block_on(tasks.run(stopped.recv()));
            })
        })
        .collect();
    let played = smol::block_on(play_in(&environment, program, arrivals));
    drop(stop);
    for thread in threads {
        let _ = thread.join();
    }
    played?;
    Ok(environment.result())
}

async fn play_in(
    environment: &Arc<Environment>,
    program: &Path,
    arrivals: impl Iterator<Item = Result<Arrival, ReplayError>>,
) -> Result<(), ReplayError> {
    let discovery = discovery::listen(environment).await.context(StandInSnafu {
        stand_in: "discovery",
    })?;
    let fleet = workers::start(environment).await.context(StandInSnafu {
        stand_in: "job workers",
    })?;
    let mut schedulers = Vec::new();
    for index in 0..environment.scenario.schedulers {
        let discovery = &discovery[index as usize];
        schedulers.push(program::start(environment, program, index, discovery)?);
    }
    let addresses: Vec<_> = schedulers.iter().map(|s| s.address).collect();
    fleet.start_callbacks(&addresses);
    for scheduler in &schedulers {
        scheduler.wait_until_ready(READY_TIMEOUT).await?;
    }
    // The scenario begins once all schedulers are ready: arrivals and faults are shifted by the start-up time.
    let shift = environment.now() - environment.scenario.from();
    for (n, _) in environment.scenario.faults.iter().enumerate() {
        environment.spawn(faults::play(environment.clone(), fleet.clone(), n, shift));
    }
    let sent = clients::send(environment, arrivals, &addresses, shift).await;
    for scheduler in &mut schedulers {
        if let Some(status) = scheduler.exit_status() {
            return SchedulerEndedSnafu { status }.fail();
        }
    }
    sent
}
