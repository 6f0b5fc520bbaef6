//! Simulated workers on sockets: the model of [`crate::worker`] behind HTTP, which reports updates by callbacks.

use super::discovery::name;
use super::http::{HttpConnection, Message};
use super::{Environment, lock};
use crate::check::Observation;
use crate::scenario::Micros;
use crate::worker::{Event, Job, Offer, RunId, Worker};
use async_channel::{Receiver, Sender, bounded, unbounded};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// Number of connections for callbacks to each scheduler.
const CALLBACK_CONNECTIONS: usize = 8;
/// Maximum number of attempts to deliver a callback.
const CALLBACK_ATTEMPTS: usize = 10;
/// Delay before the next attempt when no connection could be opened.
const CALLBACK_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two checks of the warm-up of a worker.
const WARM_UP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a listener checks whether its process has ended.
const LISTENER_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a connection checks whether its process has ended.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time allowed for the listeners of an ended process to close, before a new process binds to the same addresses.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(20);
/// Maximum number of attempts to bind to the addresses of an ended process.
const LISTEN_ATTEMPTS: usize = 50;

/// The properties of a sent job that a worker needs to run it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentJob {
    /// Running time at speed 1, in microseconds.
    pub work: Micros,
    /// Number of slots that the job occupies.
    pub slots: u32,
}

/// An attempt that a worker has accepted.
#[derive(Clone, Copy)]
struct AcceptedAttempt {
    job: u64,
    scheduler: u32,
    total_work: Micros,
}

/// A worker with the process state that outlives a restart.
struct Process {
    worker: Mutex<Worker>,
    attempts: Mutex<HashMap<RunId, AcceptedAttempt>>,
    /// Signals the task that steps the worker.
    wake: (Sender<()>, Receiver<()>),
    /// Increases with each crash, at which listeners and connections of earlier incarnations close.
    incarnation: AtomicU64,
    addresses: Mutex<Vec<SocketAddr>>,
}

impl Process {
    fn new(worker: Worker) -> Self {
        Process {
            worker: Mutex::new(worker),
            attempts: Mutex::default(),
            wake: bounded(1),
            incarnation: AtomicU64::new(0),
            addresses: Mutex::default(),
        }
    }

    fn wake(&self) {
        let _ = self.wake.0.try_send(());
    }

    async fn wait_until_ended(&self, incarnation: u64, check_interval: Duration) {
        while self.incarnation.load(Ordering::SeqCst) == incarnation {
            Timer::after(check_interval).await;
        }
    }
}

/// All simulated workers.
pub(crate) struct Fleet {
    environment: Arc<Environment>,
    processes: Vec<Process>,
    next_run_id: AtomicU64,
    /// Queues of callbacks, one for each scheduler; unset until the addresses of the schedulers are known.
    callback_queues: OnceLock<Vec<Sender<String>>>,
}

/// Opens the listeners of all workers, and spawns the tasks that step them.
pub(crate) async fn start(environment: &Arc<Environment>) -> io::Result<Arc<Fleet>> {
    let scenario = &environment.scenario;
    let process = |n| {
        let kind = &scenario.kinds[scenario.kind_of(n)];
        let worker = Worker::new(kind, scenario.speed_of(n));
        Process::new(worker.with_order_and_cache(scenario.machines.order, None))
    };
    let fleet = Arc::new(Fleet {
        environment: environment.clone(),
        processes: (0..scenario.workers()).map(process).collect(),
        next_run_id: 1.into(),
        callback_queues: OnceLock::new(),
    });
    for worker in 0..scenario.workers() {
        fleet.listen(worker).await?;
        environment.spawn(fleet.clone().run(worker));
    }
    Ok(fleet)
}

impl Fleet {
    fn process(&self, worker: u32) -> &Process {
        &self.processes[worker as usize]
    }

    /// Spawns the tasks that send callbacks to the schedulers.
    pub(crate) fn start_callbacks(&self, schedulers: &[SocketAddr]) {
        let mut senders = Vec::new();
        for scheduler in schedulers.iter().copied() {
            let (sender, updates) = unbounded::<String>();
            for _ in 0..CALLBACK_CONNECTIONS {
                let callbacks = send_callbacks(scheduler, updates.clone());
                self.environment.spawn(callbacks);
            }
            senders.push(sender);
        }
        let _ = self.callback_queues.set(senders);
    }

    /// Opens a listener for each scheduler, at the addresses of the previous process if there was one.
    async fn listen(self: &Arc<Self>, worker: u32) -> io::Result<()> {
        let process = self.process(worker);
        let earlier = lock(&process.addresses).clone();
        let incarnation = process.incarnation.load(Ordering::SeqCst);
        let mut addresses = Vec::new();
        for scheduler in 0..self.environment.scenario.schedulers {
            let address = earlier.get(scheduler as usize).copied();
            let address = address.unwrap_or_else(|| ([127, 0, 0, 1], 0).into());
            let listener = TcpListener::bind(address).await?;
            addresses.push(listener.local_addr()?);
            let accept = self
                .clone()
                .accept(worker, scheduler, incarnation, listener);
            self.environment.spawn(accept);
        }
        lock(&self.environment.membership).set_addresses(worker, addresses.clone());
        *lock(&process.addresses) = addresses;
        Ok(())
    }

    /// Accepts connections until the process ends.
    async fn accept(
        self: Arc<Self>,
        worker: u32,
        scheduler: u32,
        incarnation: u64,
        listener: TcpListener,
    ) {
        loop {
            let accepted = async { listener.accept().await.ok() };
            let ended = async {
                self.process(worker)
                    .wait_until_ended(incarnation, LISTENER_CHECK_INTERVAL)
                    .await;
                None
            };
            let Some((stream, _)) = smol::future::or(accepted, ended).await else {
                return;
            };
            let connection = HttpConnection::new(stream);
            let serve = self
                .clone()
                .serve_connection(worker, scheduler, incarnation, connection);
            self.environment.spawn(serve);
        }
    }

    async fn serve_connection(
        self: Arc<Self>,
        worker: u32,
        scheduler: u32,
        incarnation: u64,
        mut connection: HttpConnection,
    ) {
        let serve = async {
            while self
                .serve_request(worker, scheduler, &mut connection)
                .await
                .is_ok()
            {}
        };
        let ended = self
            .process(worker)
            .wait_until_ended(incarnation, CONNECTION_CHECK_INTERVAL);
        smol::future::or(serve, ended).await;
    }

    async fn serve_request(
        self: &Arc<Self>,
        worker: u32,
        scheduler: u32,
        connection: &mut HttpConnection,
    ) -> io::Result<()> {
        connection.wait_readable().await?;
        let received_at = self.environment.now();
        let message = connection.read(false).await?;
        self.wait_for_stall(worker).await;
        let answer = self.answer(worker, scheduler, &message, received_at);
        connection.write(answer.as_bytes()).await
    }

    /// Waits until the worker is no longer stalled: a stalled process sends no responses.
    async fn wait_for_stall(&self, worker: u32) {
        loop {
            let until = lock(&self.process(worker).worker).stalled_until();
            if self.environment.now() >= until {
                return;
            }
            Timer::at(self.environment.instant(until)).await;
        }
    }

    /// The response to a request whose first byte arrived at `received_at`.
    fn answer(
        &self,
        worker: u32,
        scheduler: u32,
        request: &Message,
        received_at: Micros,
    ) -> String {
        let empty = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/-/healthy" | "/-/load") => self.answer_probe(worker),
            ("DELETE", _) => empty("204 No Content"), // workers on sockets do not stop cancelled jobs
            ("POST", _) => {
                let trace = request.header("x-trace-id").unwrap_or("");
                let job = u64::from_str_radix(trace, 16).ok();
                let sent_jobs = lock(&self.environment.sent_jobs);
                let sent = job.and_then(|job| Some((job, sent_jobs.get(&job).copied()?)));
                drop(sent_jobs);
                let Some((job, sent)) = sent else {
                    return empty("404 Not Found");
                };
                match self.offer(worker, scheduler, job, sent, received_at) {
                    Offer::Accepted => empty("202 Accepted"),
                    Offer::Full => empty("503 Service Unavailable\r\nX-Never-Ran: 1"),
                }
            }
            _ => empty("405 Method Not Allowed"),
        }
    }

    fn answer_probe(&self, worker: u32) -> String {
        lock(&self.environment.service).record_probe();
        let report = lock(&self.process(worker).worker).report();
        let body = format!(
            "{{\"queue\":{},\"inflight\":{},\"x0\":{}}}",
            report.queue, report.inflight, report.free
        );
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
    }

    fn offer(
        &self,
        worker: u32,
        scheduler: u32,
        job: u64,
        sent: SentJob,
        received_at: Micros,
    ) -> Offer {
        let (process, now) = (self.process(worker), self.environment.now());
        let run_id = self.next_run_id.fetch_add(1, Ordering::Relaxed);
        let offered = Job {
            run_id,
            work: sent.work,
            slots: sent.slots,
            ..Job::default()
        };
        let total_work = offered.total_work();
        self.record_attempt(worker, scheduler, job, total_work, received_at);
        // The attempt is stored before the offer, as the job may start at once.
        let attempt = AcceptedAttempt {
            job,
            scheduler,
            total_work,
        };
        lock(&process.attempts).insert(run_id, attempt);
        let offer = lock(&process.worker).offer(now, offered);
        match offer {
            Offer::Accepted => {
                self.environment.observe(Observation::AttemptAccepted {
                    job,
                    worker,
                    at: now,
                });
                process.wake();
            }
            Offer::Full => _ = lock(&process.attempts).remove(&run_id),
        }
        offer
    }

    fn record_attempt(
        &self,
        worker: u32,
        scheduler: u32,
        job: u64,
        work: Micros,
        received_at: Micros,
    ) {
        let scenario = &self.environment.scenario;
        let crosses_zones = scenario.zone_of(scheduler) != scenario.zone_of(worker);
        lock(&self.environment.service).record_attempt(received_at, crosses_zones);
        let observation = Observation::AttemptSent {
            job,
            scheduler,
            worker,
            at: received_at,
            work,
        };
        self.environment.observe_at(received_at, observation);
    }

    /// Steps a worker whenever an event is due or the task is woken, and reports the events.
    async fn run(self: Arc<Self>, worker: u32) {
        let process = self.process(worker);
        let mut events = Vec::new();
        loop {
            let due = lock(&process.worker).due();
            let woken = async { process.wake.1.recv().await.is_ok() };
            let slept = async {
                match due {
                    Some(at) => _ = Timer::at(self.environment.instant(at)).await,
                    None => std::future::pending::<()>().await,
                }
                true
            };
            if !smol::future::or(woken, slept).await {
                return;
            }
            let now = self.environment.now();
            {
                let mut model = lock(&process.worker);
                model.step(now);
                model.take_events(&mut events);
            }
            for event in events.drain(..) {
                self.report(worker, now, event);
            }
        }
    }

    /// Records an event, and queues its callback to the scheduler.
    fn report(&self, worker: u32, now: Micros, event: Event) {
        let attempts = &self.process(worker).attempts;
        let attempt = match event {
            Event::Started(run_id) | Event::Progress(run_id, _) => {
                lock(attempts).get(&run_id).copied()
            }
            Event::Done(run_id) | Event::Returned(run_id) | Event::Lost(run_id) => {
                lock(attempts).remove(&run_id)
            }
        };
        let Some(attempt) = attempt else { return };
        let state = self.record_event(worker, now, event, attempt);
        let body = format!(
            "{{\"id\":\"{:016x}\",\"from\":\"{}\",\"state\":{state}}}",
            attempt.job,
            name(worker)
        );
        let call = format!(
            "POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let senders = self.callback_queues.get();
        if let Some(sender) = senders.and_then(|all| all.get(attempt.scheduler as usize)) {
            let _ = sender.try_send(call);
        }
    }

    /// Records an event, and returns the JSON fragment of the state that the callback reports.
    fn record_event(
        &self,
        worker: u32,
        now: Micros,
        event: Event,
        attempt: AcceptedAttempt,
    ) -> String {
        let job = attempt.job;
        match event {
            Event::Started(_) => {
                lock(&self.environment.service).record_start(now, worker);
                "\"started\"".into()
            }
            Event::Progress(_, thousandths) => {
                let fraction = f64::from(thousandths) / 1000.0;
                format!("\"running\",\"share\":{fraction:.3}")
            }
            Event::Done(_) => {
                lock(&self.environment.service).record_completion(attempt.total_work);
                self.environment
                    .observe(Observation::ResultProduced { job });
                format!("\"done\",\"result\":\"made {job:016x}\"")
            }
            Event::Returned(_) => {
                self.environment
                    .observe(Observation::AttemptReturned { job });
                "\"returned\"".into()
            }
            Event::Lost(_) => "\"lost\"".into(),
        }
    }

    /// Stalls a worker from now until `until`.
    pub(crate) fn stall(&self, worker: u32, until: Micros) {
        lock(&self.process(worker).worker).stall(self.environment.now(), until);
        self.process(worker).wake();
    }

    /// Sets the factor on the speed of a worker.
    pub(crate) fn set_speed_factor(&self, worker: u32, speed_factor: f64) {
        lock(&self.process(worker).worker).set_speed_factor(self.environment.now(), speed_factor);
        self.process(worker).wake();
    }

    /// Drains a worker, and reports the jobs that it returns.
    pub(crate) fn drain(&self, worker: u32) {
        lock(&self.process(worker).worker).drain();
        self.process(worker).wake();
        self.report_events(worker);
    }

    /// Crashes the process of a worker. The agent on its machine still reports the lost jobs.
    pub(crate) fn crash(&self, worker: u32) {
        let process = self.process(worker);
        process.incarnation.fetch_add(1, Ordering::SeqCst);
        lock(&process.worker).crash();
        self.report_events(worker);
    }

    fn report_events(&self, worker: u32) {
        let mut events = Vec::new();
        lock(&self.process(worker).worker).take_events(&mut events);
        let now = self.environment.now();
        for event in events {
            self.report(worker, now, event);
        }
    }

    /// Starts a new process for a worker, after crashing one that still runs.
    pub(crate) async fn restart(self: &Arc<Self>, worker: u32) {
        if lock(&self.process(worker).worker).is_up() {
            self.crash(worker);
        }
        Timer::after(LISTENER_CLOSE_TIME).await;
        lock(&self.process(worker).worker).restart(self.environment.now());
        for _ in 0..LISTEN_ATTEMPTS {
            match self.listen(worker).await {
                Ok(()) => break,
                Err(_) => _ = Timer::after(LISTENER_CLOSE_TIME).await,
            }
        }
        let warm_up = self.clone().observe_warm_up(worker);
        self.environment.spawn(warm_up);
    }

    /// Reports the warm-up of a worker to the checkers until it is warm or its process has ended.
    async fn observe_warm_up(self: Arc<Self>, worker: u32) {
        loop {
            let at = self.environment.now();
            let capacity = lock(&self.process(worker).worker).warming_capacity(at);
            let Some(capacity) = capacity else {
                return self.environment.observe(Observation::WarmedUp { worker });
            };
            self.environment.observe(Observation::WarmingUp {
                worker,
                at,
                capacity,
            });
            Timer::after(WARM_UP_CHECK_INTERVAL).await;
        }
    }
}

/// Sends callbacks to a scheduler on one connection, which is reopened when it fails.
async fn send_callbacks(scheduler: SocketAddr, calls: Receiver<String>) {
    let mut connection: Option<HttpConnection> = None;
    while let Ok(call) = calls.recv().await {
        for _ in 0..CALLBACK_ATTEMPTS {
            if connection.is_none() {
                let stream = TcpStream::connect(scheduler).await;
                connection = stream.ok().map(HttpConnection::new);
            }
            let Some(open) = &mut connection else {
                Timer::after(CALLBACK_RETRY_INTERVAL).await;
                continue;
            };
            let exchange = async {
                open.write(call.as_bytes()).await?;
                open.read(true).await
            };
            match exchange.await {
                Ok(answer) => {
                    if answer.close {
                        connection = None;
                    }
                    break;
                }
                Err(_) => connection = None,
            }
        }
    }
}
