//! The world that the cluster acts on: the workers with all that runs there, and the record of what has happened. It
//! moves on in real time and is shared by all stand-ins of a test.

mod life;
mod record;
mod run;
mod state;

pub use life::{LifeId, WorkerSetup};
pub use record::{Entry, Event, JobRecord, JobState, LifeRecord, Moment, Record};

use crate::configuration::Queue;
use crate::job::Job;
use crate::settings::Bounds;
use crate::wait::{Signal, TimedOut, locked};
use crate::wire::{Heartbeat, HeartbeatAnswer};
use state::State;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// The clock looks at the world at least so often.
const CLOCK_LOOKS: Duration = Duration::from_millis(100);

/// The world of one test.
#[derive(Debug)]
pub struct World {
    began: Instant,
    bounds: Bounds,
    signal: Arc<Signal>,
    state: Mutex<State>,
}

impl World {
    /// A world without workers and jobs. Its clock stops once it is dropped.
    pub fn new(bounds: Bounds, signal: Arc<Signal>) -> Arc<Self> {
        let world = World {
            began: Instant::now(),
            bounds,
            signal,
            state: Mutex::new(State::new(bounds)),
        };
        let world = Arc::new(world);
        let clock = Arc::downgrade(&world);
        std::thread::spawn(move || run_clock(&clock));
        world
    }

    /// Time since the world began.
    pub fn now(&self) -> Moment {
        self.began.elapsed()
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
    pub fn until<T>(
        &self,
        what: &str,
        at_most: Duration,
        mut look: impl FnMut(&Record) -> Option<T>,
    ) -> Result<T, TimedOut> {
        self.signal.until(what, at_most, || self.read(&mut look))
    }

    /// Reads the record as it stands.
    pub fn read<T>(&self, read: impl FnOnce(&Record) -> T) -> T {
        let mut state = locked(&self.state);
        state.advance(self.now());
        read(state.record())
    }

    /// A client is about to hand in a job (again).
    pub fn job_sent(&self, id: &str, job: &Job, queue: &Queue) {
        self.change(|state, _| state.job_sent(id, job, queue));
    }

    /// A client's call to hand in a job got this status, or no complete answer.
    pub fn job_answered(&self, id: &str, status: Option<u16>) {
        self.change(|state, now| state.job(id, |job| job.answered(status, now)));
    }

    /// A client is about to cancel a job.
    pub fn cancel_sent(&self, id: &str) {
        self.change(|state, now| state.job(id, |job| _ = job.cancel_sent.get_or_insert(now)));
    }

    /// The cancelling of a job was acknowledged.
    pub fn cancel_acknowledged(&self, id: &str) {
        self.change(|state, now| {
            state.job(id, |job| _ = job.cancel_acknowledged.get_or_insert(now))
        });
    }

    /// A client that asked at `asked` was shown this state; `None`: that the job does not exist.
    pub fn job_shown(&self, id: &str, asked: Moment, shown: Option<JobState>) {
        self.change(|state, now| state.job_shown(id, asked, shown, now));
    }

    /// A worker starts, with a new id.
    pub fn begin_life(&self, setup: &WorkerSetup) -> LifeId {
        self.change(|state, now| state.begin_life(setup, now))
    }

    /// A worker is gone: crashed, or after it has left. All that runs there dies.
    pub fn end_life(&self, life: LifeId) {
        self.change(|state, now| state.end_life(life, now));
    }

    /// Whether this life is still at work.
    pub fn is_up(&self, life: LifeId) -> bool {
        self.change(|state, _| state.life(life).is_up())
    }

    /// A worker will leave after `remaining` and says so from now on.
    pub fn drain(&self, life: LifeId, remaining: Duration) {
        self.change(|state, now| state.drain(life, remaining, now));
    }

    /// When the worker will leave: once its draining is acknowledged and the time for it is over.
    pub fn leaves_at(&self, life: LifeId) -> Option<Moment> {
        self.change(|state, _| state.life(life).leaves_at(&self.bounds))
    }

    /// The worker's id and its heartbeat of this moment; `None` once that life is over.
    pub fn heartbeat(&self, life: LifeId) -> Option<(String, Heartbeat)> {
        self.change(|state, now| state.heartbeat(life, now))
    }

    /// The answer to a heartbeat that was sent at `sent`.
    pub fn answered(&self, life: LifeId, sent: Moment, answer: &HeartbeatAnswer) {
        self.change(|state, now| state.answered(life, sent, answer, now));
    }

    /// An answer to a heartbeat that cannot be read.
    pub fn unreadable_answer(&self, life: LifeId, why: String) {
        self.change(|state, now| state.note(now, Event::Unreadable { life, why }));
    }

    /// When the first end came that no heartbeat has carried yet.
    pub fn unsent_end(&self, life: LifeId) -> Option<Moment> {
        self.change(|state, _| state.life(life).unsent_end())
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

/// Moves the world on whenever something is due in it.
fn run_clock(world: &Weak<World>) {
    loop {
        let Some(present) = world.upgrade() else {
            return;
        };
        let seen = present.signal.count();
        let (now, due) = present.change(|state, now| (now, state.next_due()));
        let signal = present.signal.clone();
        drop(present);
        let pause = due.map_or(CLOCK_LOOKS, |due| due.saturating_sub(now).min(CLOCK_LOOKS));
        signal.wait_beyond(seen, pause);
    }
}
