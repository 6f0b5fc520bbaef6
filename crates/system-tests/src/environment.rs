//! The simulated environment of the cluster: the workers with all their runs, and the record of what has happened. It
//! advances in real time and is shared by all stand-ins of a test.

mod ended_runs;
mod instance;
mod record;
mod run;
mod state;

pub use instance::WorkerSetup;
pub use record::{
    Entry, Event, InstanceIndex, InstanceRecord, JobRecord, JobState, Moment, Record, RunEnd,
    RunStart,
};

use crate::configuration::Queue;
use crate::job::Job;
use crate::settings::Bounds;
use crate::wait::{Signal, TimedOut, locked};
use crate::wire::{Heartbeat, HeartbeatResponse};
use state::State;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// The environment advances at least so often.
const CLOCK_INTERVAL: Duration = Duration::from_millis(100);

/// The environment of one test.
#[derive(Debug)]
pub struct Environment {
    /// Moment zero.
    created: Instant,
    bounds: Bounds,
    signal: Arc<Signal>,
    state: Mutex<State>,
}

impl Environment {
    /// An environment without workers and jobs. Its clock stops once it is dropped.
    pub fn new(bounds: Bounds, signal: Arc<Signal>) -> Arc<Self> {
        let environment = Environment {
            created: Instant::now(),
            bounds,
            signal,
            state: Mutex::new(State::new(bounds)),
        };
        let environment = Arc::new(environment);
        let clock = Arc::downgrade(&environment);
        std::thread::spawn(move || run_clock(&clock));
        environment
    }

    /// Time since the environment was created.
    pub fn now(&self) -> Moment {
        self.created.elapsed()
    }

    /// The bounds by which its workers go.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Raised at every change.
    pub fn signal(&self) -> &Signal {
        &self.signal
    }

    /// Waits for something that the record shows.
    ///
    /// # Errors
    ///
    /// [`TimedOut`] if the record does not show it in time.
    pub fn wait_until<T>(
        &self,
        what: &str,
        at_most: Duration,
        mut probe: impl FnMut(&Record) -> Option<T>,
    ) -> Result<T, TimedOut> {
        self.signal
            .wait_until(what, at_most, || self.read(&mut probe))
    }

    /// Reads the record as it stands.
    pub fn read<T>(&self, read: impl FnOnce(&Record) -> T) -> T {
        let mut state = locked(&self.state);
        state.advance(self.now());
        read(state.record())
    }

    /// A client is about to submit a job, for the first time or as a retry.
    pub fn job_sent(&self, id: &str, job: &Job, queue: &Queue) {
        self.change(|state, _| state.job_sent(id, job, queue));
    }

    /// A client's request to submit a job got this status, or no complete response.
    pub fn job_responded(&self, id: &str, status: Option<u16>) {
        self.change(|state, now| state.change_job(id, |job| job.handle_response(status, now)));
    }

    /// A client is about to cancel a job.
    pub fn cancel_sent(&self, id: &str) {
        self.change(|state, now| {
            state.change_job(id, |job| _ = job.cancel_sent.get_or_insert(now));
        });
    }

    /// The cancellation of a job was acknowledged.
    pub fn cancel_acknowledged(&self, id: &str) {
        self.change(|state, now| {
            state.change_job(id, |job| _ = job.cancel_acknowledged.get_or_insert(now));
        });
    }

    /// A client whose request was sent at `requested_at` was shown this state; `None`: that the job does not exist.
    pub fn job_shown(&self, id: &str, requested_at: Moment, shown: Option<JobState>) {
        self.change(|state, now| state.job_shown(id, requested_at, shown, now));
    }

    /// A worker starts, with a new id.
    pub fn start_instance(&self, setup: &WorkerSetup) -> InstanceIndex {
        self.change(|state, now| state.start_instance(setup, now))
    }

    /// An instance ends, by a crash or after its draining. Its runs end with it.
    pub fn end_instance(&self, instance: InstanceIndex) {
        self.change(|state, now| state.end_instance(instance, now));
    }

    /// Whether this instance has not ended.
    pub fn is_up(&self, instance: InstanceIndex) -> bool {
        self.change(|state, _| state.instance(instance).is_up())
    }

    /// An instance starts draining; it needs `remaining` until it can end.
    pub fn drain(&self, instance: InstanceIndex, remaining: Duration) {
        self.change(|state, now| state.drain(instance, remaining, now));
    }

    /// When a draining instance ends: once its draining is acknowledged and the time for it has passed.
    pub fn ends_at(&self, instance: InstanceIndex) -> Option<Moment> {
        self.change(|state, _| state.instance(instance).ends_at(&self.bounds))
    }

    /// The instance's id and its present heartbeat; `None` once it has ended.
    pub fn heartbeat(&self, instance: InstanceIndex) -> Option<(String, Heartbeat)> {
        self.change(|state, now| state.heartbeat(instance, now))
    }

    /// The response to a heartbeat that was sent at `sent`.
    pub fn handle_heartbeat_response(
        &self,
        instance: InstanceIndex,
        sent: Moment,
        response: &HeartbeatResponse,
    ) {
        self.change(|state, now| state.handle_heartbeat_response(instance, sent, response, now));
    }

    /// A response to a heartbeat that cannot be read.
    pub fn unreadable_response(&self, instance: InstanceIndex, why: String) {
        self.change(|state, now| state.push_event(now, Event::Unreadable { instance, why }));
    }

    /// When the first end came that no heartbeat has carried yet.
    pub fn unsent_end(&self, instance: InstanceIndex) -> Option<Moment> {
        self.change(|state, _| state.instance(instance).ended_runs.unsent_since())
    }

    fn change<T>(&self, change: impl FnOnce(&mut State, Moment) -> T) -> T {
        let mut state = locked(&self.state);
        let now = self.now();
        let before = state.record().entries.len();
        state.advance(now);
        let result = change(&mut state, now);
        let changed = state.record().entries.len() != before;
        drop(state);
        if changed {
            self.signal.raise();
        }
        result
    }
}

/// Advances the environment whenever something is due in it.
fn run_clock(environment: &Weak<Environment>) {
    loop {
        let Some(present) = environment.upgrade() else {
            return;
        };
        let observed = present.signal.count();
        let (now, due) = present.change(|state, now| (now, state.next_due()));
        let signal = present.signal.clone();
        drop(present);
        let wait = due.map_or(CLOCK_INTERVAL, |due| {
            due.saturating_sub(now).min(CLOCK_INTERVAL)
        });
        signal.wait_past(observed, wait);
    }
}
