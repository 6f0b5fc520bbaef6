//! The simulated environment of the cluster: the workers with all their runs, and the record of all events. It advances
//! in real time and is shared by all stand-ins of a test.

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

/// Longest time between two steps of the environment's clock thread.
const CLOCK_INTERVAL: Duration = Duration::from_millis(100);

/// The environment of one test.
#[derive(Debug)]
pub struct Environment {
    /// Origin of every [`Moment`].
    created: Instant,
    bounds: Bounds,
    signal: Arc<Signal>,
    state: Mutex<State>,
}

impl Environment {
    /// Creates an environment without workers and jobs, and starts its clock thread, which ends after the environment
    /// is dropped.
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

    /// The time bounds that its workers keep to.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// The signal that is raised at every recorded change.
    pub fn signal(&self) -> &Signal {
        &self.signal
    }

    /// Waits until `probe` returns `Some` for the record; `what` names the condition in the error.
    ///
    /// # Errors
    ///
    /// [`TimedOut`] if the probe returns no `Some` in time.
    pub fn wait_until<T>(
        &self,
        what: &str,
        at_most: Duration,
        mut probe: impl FnMut(&Record) -> Option<T>,
    ) -> Result<T, TimedOut> {
        self.signal
            .wait_until(what, at_most, || self.read(&mut probe))
    }

    /// Calls `read` with the record, brought up to the present moment.
    pub fn read<T>(&self, read: impl FnOnce(&Record) -> T) -> T {
        let mut state = locked(&self.state);
        state.advance(self.now());
        read(state.record())
    }

    /// Records that a client is about to submit a job, for the first time or as a retry.
    pub fn job_sent(&self, id: &str, job: &Job, queue: &Queue) {
        self.change(|state, _| state.job_sent(id, job, queue));
    }

    /// Records the status of a client's request to submit a job; `None` if there was no complete response.
    pub fn job_responded(&self, id: &str, status: Option<u16>) {
        self.change(|state, now| state.change_job(id, |job| job.handle_response(status, now)));
    }

    /// Records that a client is about to cancel a job.
    pub fn cancel_sent(&self, id: &str) {
        self.change(|state, now| {
            state.change_job(id, |job| _ = job.cancel_sent.get_or_insert(now));
        });
    }

    /// Records that the cancellation of a job was acknowledged.
    pub fn cancel_acknowledged(&self, id: &str) {
        self.change(|state, now| {
            state.change_job(id, |job| _ = job.cancel_acknowledged.get_or_insert(now));
        });
    }

    /// Records the state shown to a client whose request was sent at `requested_at`; `None` if the job does not exist.
    pub fn job_shown(&self, id: &str, requested_at: Moment, shown: Option<JobState>) {
        self.change(|state, now| state.job_shown(id, requested_at, shown, now));
    }

    /// Starts an instance of a worker, with a new id.
    pub fn start_instance(&self, setup: &WorkerSetup) -> InstanceIndex {
        self.change(|state, now| state.start_instance(setup, now))
    }

    /// Ends an instance, by a crash or after its draining. Its runs end with it.
    pub fn end_instance(&self, instance: InstanceIndex) {
        self.change(|state, now| state.end_instance(instance, now));
    }

    /// Whether the instance has not ended.
    pub fn is_up(&self, instance: InstanceIndex) -> bool {
        self.change(|state, _| state.instance(instance).is_up())
    }

    /// Starts draining an instance; it needs `remaining` until it can end.
    pub fn drain(&self, instance: InstanceIndex, remaining: Duration) {
        self.change(|state, now| state.drain(instance, remaining, now));
    }

    /// When a draining instance ends; `None` until its draining is acknowledged.
    pub fn ends_at(&self, instance: InstanceIndex) -> Option<Moment> {
        self.change(|state, _| state.instance(instance).ends_at(&self.bounds))
    }

    /// The instance's id and its present heartbeat; `None` once it has ended.
    pub fn heartbeat(&self, instance: InstanceIndex) -> Option<(String, Heartbeat)> {
        self.change(|state, now| state.heartbeat(instance, now))
    }

    /// Applies the response to a heartbeat that was sent at `sent`.
    pub fn handle_heartbeat_response(
        &self,
        instance: InstanceIndex,
        sent: Moment,
        response: &HeartbeatResponse,
    ) {
        self.change(|state, now| state.handle_heartbeat_response(instance, sent, response, now));
    }

    /// Records a response to a heartbeat that cannot be parsed; `why` is the parse error.
    pub fn unreadable_response(&self, instance: InstanceIndex, why: String) {
        self.change(|state, now| state.push_event(now, Event::Unreadable { instance, why }));
    }

    /// When the earliest end occurred that no heartbeat has carried yet; `None` if all have been sent.
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

/// Advances the environment whenever an event is due, until the environment is dropped.
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
