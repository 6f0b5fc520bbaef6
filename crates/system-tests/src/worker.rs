//! A stand-in worker: sends heartbeats to the node agent on its machine, and starts, crashes and drains under control
//! of the test. The [`Environment`] keeps the state of its runs.

use crate::environment::{Environment, InstanceIndex, Moment, WorkerSetup};
use crate::http::{Connection, HttpError, Request, Response, request_once};
use crate::wait::locked;
use crate::wire::{Heartbeat, HeartbeatResponse};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time after which a heartbeat without a response counts as not acknowledged.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of a response's body, in bytes; a heartbeat with a larger response counts as not acknowledged.
const RESPONSE_BYTES_MAX: usize = 4 << 20;
/// Time from the end of a run to the heartbeat that reports it.
const DELAY_AFTER_END: Duration = Duration::from_millis(50);
/// Time until the next heartbeat after one that was not acknowledged.
const DELAY_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// Time after which a worker ends even if its deregistration is not acknowledged.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time between two reads of [`WorkerControl`].
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Requests of the test to a worker, read by the worker's heartbeat thread.
#[derive(Debug, Default)]
struct WorkerControl {
    /// The present instance; `None` after a crash.
    instance: Option<InstanceIndex>,
    /// Tells the heartbeat thread to end.
    shut_down: bool,
}

/// A heartbeat that the network holds back.
#[derive(Debug)]
pub struct DelayedHeartbeat {
    agent: SocketAddr,
    request: Request,
}

impl DelayedHeartbeat {
    /// Delivers the heartbeat on a connection of its own, and returns the node agent's response.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response in time.
    pub fn deliver(&self) -> Result<Response, HttpError> {
        request_once(self.agent, &self.request, RESPONSE_TIMEOUT)
    }
}

/// A stand-in worker, with a thread that sends its heartbeats.
#[derive(Debug)]
pub struct Worker {
    setup: WorkerSetup,
    agent: SocketAddr,
    environment: Arc<Environment>,
    control: Arc<Mutex<WorkerControl>>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts a worker that registers at the node agent `agent`.
    pub fn start(setup: WorkerSetup, agent: SocketAddr, environment: &Arc<Environment>) -> Self {
        let control = Arc::new(Mutex::new(WorkerControl {
            instance: Some(environment.start_instance(&setup)),
            shut_down: false,
        }));
        let heartbeats = HeartbeatLoop {
            environment: environment.clone(),
            agent,
            connection: HeartbeatConnection::new(agent),
            last_heartbeat: Moment::ZERO,
        };
        let thread_control = control.clone();
        let thread = std::thread::spawn(move || heartbeats.run(&thread_control));
        Worker {
            setup,
            agent,
            environment: environment.clone(),
            control,
            thread: Some(thread),
        }
    }

    /// The worker's name.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    /// The present instance; `None` after a crash.
    pub fn instance(&self) -> Option<InstanceIndex> {
        locked(&self.control).instance
    }

    /// Crashes the worker: its runs end, and it sends no more heartbeats.
    pub fn crash(&self) {
        if let Some(instance) = locked(&self.control).instance.take() {
            self.environment.end_instance(instance);
        }
    }

    /// Crashes the worker and starts it with a new id.
    pub fn restart(&self) {
        self.crash();
        locked(&self.control).instance = Some(self.environment.start_instance(&self.setup));
        self.environment.signal().raise();
    }

    /// Crashes the worker and starts it twice: the instance between crashes right after its only heartbeat, which the
    /// network holds back. Returns that heartbeat; `None` if it cannot be encoded.
    pub fn restart_twice(&self) -> Option<DelayedHeartbeat> {
        self.crash();
        let instance = self.environment.start_instance(&self.setup);
        let delayed = self.delay_heartbeat_of(instance);
        self.environment.end_instance(instance);
        self.restart();
        delayed
    }

    /// Takes a heartbeat of the present instance that the network holds back; the worker goes on with the next ones.
    /// Returns `None` after a crash.
    pub fn delay_heartbeat(&self) -> Option<DelayedHeartbeat> {
        self.delay_heartbeat_of(self.instance()?)
    }

    fn delay_heartbeat_of(&self, instance: InstanceIndex) -> Option<DelayedHeartbeat> {
        let (id, heartbeat) = self.environment.heartbeat(instance)?;
        Some(DelayedHeartbeat {
            agent: self.agent,
            request: heartbeat_request(&id, &heartbeat)?,
        })
    }

    /// Sends `DELETE` for the present instance, which serves on: it goes on sending heartbeats. Returns the node agent's
    /// response; `None` without an instance.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response in time.
    pub fn deregister_and_serve_on(&self) -> Result<Option<Response>, HttpError> {
        let Some(instance) = self.instance() else {
            return Ok(None);
        };
        let request = deregistration(&self.environment, instance);
        request_once(self.agent, &request, RESPONSE_TIMEOUT).map(Some)
    }

    /// Starts draining: the worker reports that it ends after `remaining`, and then deregisters.
    pub fn drain(&self, remaining: Duration) {
        if let Some(instance) = self.instance() {
            self.environment.drain(instance, remaining);
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        locked(&self.control).shut_down = true;
        self.environment.signal().raise();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed; the test fails because the worker sends no heartbeats.
            let _ = thread.join();
        }
    }
}

/// The request by which an instance deregisters.
fn deregistration(environment: &Environment, instance: InstanceIndex) -> Request {
    let path = environment.read(|record| format!("/instances/{}", record.instance(instance).id));
    Request::new("DELETE", path)
}

/// The connection for heartbeats, reopened when it has been closed.
struct HeartbeatConnection {
    peer: SocketAddr,
    connection: Option<Connection>,
}

impl HeartbeatConnection {
    fn new(peer: SocketAddr) -> Self {
        HeartbeatConnection {
            peer,
            connection: None,
        }
    }

    fn request(&mut self, request: &Request) -> Result<Response, HttpError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.peer, RESPONSE_TIMEOUT)?,
        };
        let response = connection.request(request, RESPONSE_TIMEOUT)?;
        self.connection = Some(connection).filter(|connection| !connection.is_closed());
        Ok(response)
    }
}

/// The thread that sends a worker's heartbeats.
struct HeartbeatLoop {
    environment: Arc<Environment>,
    agent: SocketAddr,
    connection: HeartbeatConnection,
    /// When the last heartbeat got its response or failed.
    last_heartbeat: Moment,
}

impl HeartbeatLoop {
    fn run(mut self, control: &Mutex<WorkerControl>) {
        let mut due = Moment::ZERO;
        let mut present = None;
        loop {
            let observed = self.environment.signal().count();
            let (instance, shut_down) = {
                let control = locked(control);
                (control.instance, control.shut_down)
            };
            if shut_down {
                return;
            }
            if instance != present {
                // A new instance does not use the connection of its predecessor.
                present = instance;
                self.connection = HeartbeatConnection::new(self.agent);
                due = self.environment.now();
            }
            let up = instance.filter(|instance| self.environment.is_up(*instance));
            let Some(instance) = up else {
                self.environment.signal().wait_past(observed, POLL_INTERVAL);
                continue;
            };
            due = self.step(instance, due, observed);
        }
    }

    /// Deregisters or sends a heartbeat if either is due, and otherwise waits until one may be due. Returns when the
    /// next heartbeat is due.
    fn step(&mut self, instance: InstanceIndex, due: Moment, observed: u64) -> Moment {
        let now = self.environment.now();
        let ends_at = self.environment.ends_at(instance);
        if ends_at.is_some_and(|ends_at| ends_at <= now) {
            self.deregister(instance);
            return now;
        }
        let unsent_end = self.environment.unsent_end(instance);
        let after_end = unsent_end.map(|end| end.max(self.last_heartbeat) + DELAY_AFTER_END);
        let next = after_end.map_or(due, |after_end| due.min(after_end));
        if next > now {
            let wait = (next - now).min(POLL_INTERVAL);
            self.environment.signal().wait_past(observed, wait);
            return due;
        }
        let delay = self.send_heartbeat(instance).unwrap_or(DELAY_AFTER_FAILURE);
        self.last_heartbeat = self.environment.now();
        self.last_heartbeat + delay
    }

    /// Sends one heartbeat; returns the time until the next, or `None` if it was not acknowledged.
    fn send_heartbeat(&mut self, instance: InstanceIndex) -> Option<Duration> {
        let (id, heartbeat) = self.environment.heartbeat(instance)?;
        let sent = self.environment.now();
        let request = heartbeat_request(&id, &heartbeat)?;
        let Ok(response) = self.connection.request(&request) else {
            self.connection = HeartbeatConnection::new(self.agent);
            return None;
        };
        let in_time = self.environment.now() - sent <= RESPONSE_TIMEOUT;
        if !response.is_success() || !in_time || response.body.len() > RESPONSE_BYTES_MAX {
            return None;
        }
        match parse_response(&response.body) {
            Ok(response) => Some(self.apply_response(instance, sent, &response)),
            Err(error) => {
                let why = error.to_string();
                self.environment.unreadable_response(instance, why);
                None
            }
        }
    }

    /// Applies a response; returns the time until the next heartbeat.
    fn apply_response(
        &mut self,
        instance: InstanceIndex,
        sent: Moment,
        response: &HeartbeatResponse,
    ) -> Duration {
        self.environment
            .handle_heartbeat_response(instance, sent, response);
        let endpoint = response.heartbeat_endpoint.as_ref();
        let peer = endpoint.and_then(|address| address.parse().ok());
        if let Some(peer) = peer.filter(|peer| *peer != self.connection.peer) {
            self.connection = HeartbeatConnection::new(peer);
        }
        let interval = self.environment.bounds().heartbeat;
        let delay_ms = response.retry_delay_ms;
        delay_ms.map_or(interval, Duration::from_millis)
    }

    /// Sends deregistrations until one is acknowledged or [`DEREGISTER_TIMEOUT`] has passed, and ends the instance.
    fn deregister(&mut self, instance: InstanceIndex) {
        let request = deregistration(&self.environment, instance);
        let connection = &mut self.connection;
        let acknowledged = self.environment.signal().wait_until(
            "the acknowledgement of a deregistration",
            DEREGISTER_TIMEOUT,
            || {
                let response = connection.request(&request).ok()?;
                response.is_success().then_some(())
            },
        );
        // The instance ends whether or not the deregistration was acknowledged.
        drop(acknowledged);
        self.environment.end_instance(instance);
    }
}

fn heartbeat_request(id: &str, heartbeat: &Heartbeat) -> Option<Request> {
    let body = serde_json::to_vec(heartbeat).ok()?;
    Some(Request::new("PUT", format!("/instances/{id}")).json(body))
}

/// Parses the body of a response; an empty body means no orders, no lease and no acknowledgement.
fn parse_response(body: &[u8]) -> Result<HeartbeatResponse, serde_json::Error> {
    if body.is_empty() {
        Ok(HeartbeatResponse::default())
    } else {
        serde_json::from_slice(body)
    }
}
