//! A job worker: sends heartbeats to the companion on its machine, and lives, crashes and leaves as the test says. What
//! runs on it is kept by the [`World`].

use crate::http::{Call, Connection, HttpError};
use crate::wait::locked;
use crate::wire::HeartbeatAnswer;
use crate::world::{LifeId, Moment, WorkerSetup, World};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// A heartbeat that got no answer within this counts as not acknowledged.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Largest answer that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 4 << 20;
/// The next heartbeat follows an end by this.
const AFTER_END: Duration = Duration::from_millis(50);
/// Pause after a heartbeat that was not acknowledged.
const AFTER_FAILURE: Duration = Duration::from_millis(100);
/// A worker that gets no acknowledgement when it leaves ends after this.
const LEAVE_TIME: Duration = Duration::from_secs(4);
/// Longest pause between two looks at what the test wants of the worker.
const LOOK: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Wishes {
    /// The life that is at work.
    life: Option<LifeId>,
    /// The test is over.
    over: bool,
}

/// A job worker.
#[derive(Debug)]
pub struct Worker {
    setup: WorkerSetup,
    world: Arc<World>,
    wishes: Arc<Mutex<Wishes>>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts a worker that registers at `companion`.
    pub fn start(setup: WorkerSetup, companion: SocketAddr, world: &Arc<World>) -> Self {
        let wishes = Arc::new(Mutex::new(Wishes {
            life: Some(world.begin_life(&setup)),
            over: false,
        }));
        let (theirs, their_world) = (wishes.clone(), world.clone());
        let thread = std::thread::spawn(move || {
            let link = Link::new(companion);
            Beats {
                world: their_world,
                companion,
                link,
                answered: Moment::ZERO,
            }
            .run(&theirs);
        });
        Worker {
            setup,
            world: world.clone(),
            wishes,
            thread: Some(thread),
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    /// The life that is at work.
    pub fn life(&self) -> Option<LifeId> {
        locked(&self.wishes).life
    }

    /// It crashes. All that runs there is gone, and it says nothing.
    pub fn crash(&self) {
        if let Some(life) = locked(&self.wishes).life.take() {
            self.world.end_life(life);
        }
    }

    /// It starts again, with a new id.
    pub fn restart(&self) {
        self.crash();
        locked(&self.wishes).life = Some(self.world.begin_life(&self.setup));
        self.world.signal().raise();
    }

    /// It will leave after `remaining`, says so, and leaves.
    pub fn drain(&self, remaining: Duration) {
        if let Some(life) = self.life() {
            self.world.drain(life, remaining);
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        locked(&self.wishes).over = true;
        self.world.signal().raise();
        if let Some(thread) = self.thread.take() {
            // A panic there has been printed, and the test fails by what the worker no longer does.
            let _ = thread.join();
        }
    }
}

/// The connection on which heartbeats go.
struct Link {
    peer: SocketAddr,
    connection: Option<Connection>,
}

impl Link {
    fn new(peer: SocketAddr) -> Self {
        Link {
            peer,
            connection: None,
        }
    }

    fn call(&mut self, call: &Call) -> Result<crate::http::Answer, HttpError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.peer, ANSWER_TIME)?,
        };
        let answer = connection.call(call, ANSWER_TIME)?;
        self.connection = Some(connection).filter(|connection| !connection.is_over());
        Ok(answer)
    }
}

/// The thread that sends a worker's heartbeats.
struct Beats {
    world: Arc<World>,
    companion: SocketAddr,
    link: Link,
    /// When the last heartbeat was answered, or given up.
    answered: Moment,
}

impl Beats {
    fn run(mut self, wishes: &Mutex<Wishes>) {
        let mut due = Moment::ZERO;
        let mut present = None;
        loop {
            let seen = self.world.signal().count();
            let (life, over) = {
                let wishes = locked(wishes);
                (wishes.life, wishes.over)
            };
            if over {
                return;
            }
            if life != present {
                // A new life knows nothing of the connections of the one before.
                (present, self.link, due) = (life, Link::new(self.companion), self.world.now());
            }
            let Some(life) = life.filter(|life| self.world.is_up(*life)) else {
                self.world.signal().wait_beyond(seen, LOOK);
                continue;
            };
            due = self.step(life, due, seen);
        }
    }

    /// Leaves or sends a heartbeat if it is time for either, and waits for it otherwise. Returns when the next is due.
    fn step(&mut self, life: LifeId, due: Moment, seen: u64) -> Moment {
        let now = self.world.now();
        if self
            .world
            .leaves_at(life)
            .is_some_and(|leaves_at| leaves_at <= now)
        {
            self.leave(life);
            return now;
        }
        let after_end = self
            .world
            .unsent_end(life)
            .map(|end| end.max(self.answered) + AFTER_END);
        let next = after_end.map_or(due, |after_end| due.min(after_end));
        if next > now {
            self.world
                .signal()
                .wait_beyond(seen, (next - now).min(LOOK));
            return due;
        }
        let pause = self.beat(life).unwrap_or(AFTER_FAILURE);
        self.answered = self.world.now();
        self.answered + pause
    }

    /// Sends one heartbeat; returns the pause until the next.
    fn beat(&mut self, life: LifeId) -> Option<Duration> {
        let (id, heartbeat) = self.world.heartbeat(life)?;
        let sent = self.world.now();
        let body = serde_json::to_vec(&heartbeat).ok()?;
        let call = Call::new("PUT", format!("/instances/{id}")).json(body);
        let Ok(answer) = self.link.call(&call) else {
            self.link = Link::new(self.companion);
            return None;
        };
        let in_time = self.world.now() - sent <= ANSWER_TIME;
        if !answer.is_success() || !in_time || answer.body.len() > ANSWER_BYTES_MAX {
            return None;
        }
        match read_answer(&answer.body) {
            Ok(orders) => Some(self.follow(life, sent, &orders)),
            Err(error) => {
                self.world.unreadable_answer(life, error.to_string());
                None
            }
        }
    }

    fn follow(&mut self, life: LifeId, sent: Moment, orders: &HeartbeatAnswer) -> Duration {
        self.world.answered(life, sent, orders);
        let named = orders
            .heartbeat_endpoint
            .as_ref()
            .and_then(|address| address.parse().ok());
        if let Some(peer) = named.filter(|peer| *peer != self.link.peer) {
            self.link = Link::new(peer);
        }
        orders
            .retry_delay_ms
            .map_or(self.world.bounds().heartbeat, Duration::from_millis)
    }

    /// Says that the worker is gone, until this is acknowledged or the time for it is over.
    fn leave(&mut self, life: LifeId) {
        let path = self
            .world
            .read(|record| format!("/instances/{}", record.life(life).id));
        let call = Call::new("DELETE", path);
        // In either case the worker ends.
        let _ = self
            .world
            .signal()
            .until("the acknowledgement of a leaving", LEAVE_TIME, || {
                self.link
                    .call(&call)
                    .ok()
                    .filter(|answer| answer.is_success())
            });
        self.world.end_life(life);
    }
}

/// An answer without a body orders nothing.
fn read_answer(body: &[u8]) -> Result<HeartbeatAnswer, serde_json::Error> {
    if body.is_empty() {
        Ok(HeartbeatAnswer::default())
    } else {
        serde_json::from_slice(body)
    }
}
