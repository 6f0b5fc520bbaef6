//! One actor for each machine: its attempts, probes and connections.

use super::{JobRecord, Platform};
use crate::api::{Load, Status, WorkerId};
use crate::net::buffer::Buffer;
use crate::net::http::{Head, MessageKind};
use crate::net::{Reason, within};
use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
pub use attempt::{AttemptState, Stage};
use connections::WorkerConnections;
use futures_lite::FutureExt;
use indigofold_core::metrics::add;
use indigofold_core::{Attempt, AttemptId, CoreInput};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

mod attempt;
mod connections;

/// Timeout of a probe, including the dial.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a request to cancel an attempt.
const DELETE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two requests to cancel the same attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long to wait for a 202 after the attempt's deadline.
const ACCEPT_LINGER: Duration = Duration::from_millis(500);
/// A machine acknowledges an attempt within this time. If it doesn't, it hangs or the connection is broken; the decision
/// module is notified, and the attempt goes on.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(250);

/// An order to a machine's actor.
pub enum Order {
    /// The machine's address has changed to this one.
    Address(SocketAddr),
    /// Send an attempt to the machine.
    Send(Attempt, Rc<JobRecord>, Rc<AttemptState>),
    /// The machine has accepted an attempt with this id that another process sent to it.
    Accepted(AttemptId),
    /// Cancel this attempt.
    GiveUp(AttemptId, Rc<JobRecord>),
    /// The attempt's job is closed; no further order will name the attempt.
    Forget(AttemptId),
    /// Request the machine's load.
    Probe,
    /// Close idle connections.
    HangUp,
}

struct OutgoingAttempt {
    state: Rc<AttemptState>,
    task: Option<Task<()>>, // dropping it closes the connection; `None` if another process sent the attempt
}

/// A machine's answer to an attempt.
enum WorkerReply {
    /// The machine has accepted the attempt.
    Accepted,
    /// The attempt has ended with this status and, if reported, this load.
    Ended(Status, Option<Load>),
}

/// Actor that sends attempts to one machine and cancels them.
pub struct WorkerActor {
    connections: Rc<WorkerConnections>,
    out: Rc<RefCell<HashMap<AttemptId, OutgoingAttempt>>>,
}

impl WorkerConnections {
    /// Whether an attempt may still be sent to this machine, checked right before its first byte. The assignment has waited in
    /// the mailbox and for a connection, and may have become obsolete meanwhile.
    fn may_be_sent(&self, attempt: &Attempt, record: &JobRecord, state: &AttemptState) -> bool {
        let now = self.front.clock.now();
        state.stage() == Stage::Unsent
            && record.is_awaited()
            && now < attempt.by
            && !self.draining.get()
    }

    /// Interprets the head of an answer to an attempt.
    fn interpret_head(&self, head: &Head<'_>) -> WorkerReply {
        let site = self.front.site.borrow();
        let load = head
            .header("Endpoint-Load-Metrics")
            .and_then(|text| site.load(text.as_bytes()));
        let never_ran = head.header("X-Never-Ran") == Some("1");
        match head.status {
            202 => WorkerReply::Accepted,
            503 | 504 if never_ran => WorkerReply::Ended(Status::Full, load),
            _ => WorkerReply::Ended(Status::Error, load),
        }
    }

    /// Sends an attempt to the machine. Returns how it ended, or `None` if the machine has accepted it.
    #[allow(
        clippy::too_many_lines,
        reason = "its closures borrow the attempt's state while the exchange runs"
    )]
    async fn send_attempt(
        &self,
        attempt: Attempt,
        record: &JobRecord,
        state: &AttemptState,
    ) -> Option<(Status, Option<Load>)> {
        let left = || attempt.until.saturating_sub(self.front.clock.now()) / 1000;
        let mut buffer = self.front.net.pool.take();
        let prepare = |buffer: &mut Buffer| {
            if !self.may_be_sent(&attempt, record, state) {
                return Err(Reason::Withheld);
            }
            let (body, head) = record.text.filled().split_at(record.body);
            let written = buffer
                .write_all(head)
                .and_then(|()| write!(buffer, "X-Expires-In-Ms: {}\r\n\r\n", left()))
                .and_then(|()| buffer.write_all(body));
            state.stage.set(Stage::Begun);
            written.map_err(|_| Reason::Withheld)
        };
        let limit = Duration::from_millis(left()) + ACCEPT_LINGER;
        let report_unacknowledged = async {
            Timer::after(ACCEPT_TIMEOUT).await;
            if state.stage() < Stage::Accepted {
                let _ = self
                    .front
                    .core
                    .send(CoreInput::Unacknowledged(attempt.id))
                    .await;
            }
            std::future::pending().await
        };
        let sent = || {
            state.stage.set(Stage::Sent);
            state.fully_sent.set(true);
            add(&self.front.metrics.attempts_sent, 1);
        };
        let answer = RefCell::new(None);
        let on_head = |head: &Head<'_>| {
            let reply = self.interpret_head(head);
            if matches!(reply, WorkerReply::Accepted) {
                state.stage.set(Stage::Accepted);
            }
            answer.replace(Some(reply));
        };
        let given_up = async {
            state.is_given_up().await;
            Err(Reason::GivenUp)
        };
        // The exchange is polled first, so an answer that has already arrived takes precedence over a cancellation.
        let exchange = self
            .exchange((&mut buffer, false), prepare, (sent, on_head))
            .or(report_unacknowledged)
            .or(given_up);
        let ended = within(limit, Reason::Unanswered, exchange).await;
        attempt_result(answer.take(), ended.map(drop), state.fully_sent())
    }

    async fn probe(&self) {
        let mut buffer = self.front.net.pool.take();
        let prepare = |buffer: &mut Buffer| {
            let _ = write!(
                buffer,
                "GET /-/load HTTP/1.1\r\nHost: service.internal\r\n\r\n"
            );
            Ok(())
        };
        let sent = Cell::new(false);
        let exchange = self.exchange(
            (&mut buffer, false),
            prepare,
            (|| sent.set(true), |_: &Head<'_>| ()),
        );
        let exchange = within(PROBE_TIMEOUT, Reason::Unanswered, exchange).await;
        let (status, load) = match &exchange {
            Ok(frame) => {
                let read = frame.read(&buffer, MessageKind::Answer);
                let load = read
                    .as_ref()
                    .and_then(|(_, body)| self.front.site.borrow().load(body));
                let healthy = read.is_some_and(|(head, _)| head.status == 200);
                (if healthy { Status::Ok } else { Status::Error }, load)
            }
            Err(Reason::Unanswered) => (Status::Timeout, None),
            Err(_) if !sent.get() => (Status::ConnectFailed, None),
            Err(_) => (Status::Reset, None),
        };
        let _ = self
            .front
            .core
            .send(CoreInput::Probed(self.worker, status, load))
            .await;
    }

    /// Cancels an attempt that the machine has accepted, and notifies the core once the machine has received the
    /// cancellation; before that, another attempt of the job could reach its machine first. If nobody waits for the job any
    /// more, one try is enough. `fresh` requires a new connection for the first try.
    async fn delete(&self, attempt: AttemptId, record: &JobRecord, mut fresh: bool) {
        while !self.deleted(&record.trace, fresh).await && record.is_awaited() {
            fresh = true;
            Timer::after(RETRY_INTERVAL).await;
        }
        let _ = self
            .front
            .core
            .send(CoreInput::Ended(attempt, Status::Cancelled, None))
            .await;
    }

    /// Sends the request to cancel an attempt and returns whether it has arrived. A hanging job worker doesn't answer, but on
    /// a fresh connection its machine has at least accepted the connection; an idle connection may have been broken for long.
    async fn deleted(&self, trace: &str, fresh: bool) -> bool {
        let mut buffer = self.front.net.pool.take();
        let prepare = |buffer: &mut Buffer| {
            let _ = write!(
                buffer,
                "DELETE /jobs/{trace} HTTP/1.1\r\nHost: service.internal\r\nContent-Length: 0\r\n\r\n"
            );
            Ok(())
        };
        let (sent, head_seen) = (Cell::new(false), Cell::new(false));
        let observers = (|| sent.set(true), |_: &Head<'_>| head_seen.set(true));
        let exchange = self.exchange((&mut buffer, fresh), prepare, observers);
        let ended = within(DELETE_TIMEOUT, Reason::Unanswered, exchange).await;
        head_seen.get() || (fresh && sent.get() && matches!(ended, Err(Reason::Unanswered)))
    }
}

/// Returns how an attempt ended before its machine accepted it, or `None` if the machine has accepted it. `fully_sent` says
/// whether its last byte was sent.
#[allow(
    clippy::match_same_arms,
    reason = "the arms are in the order in which they are decided"
)]
fn attempt_result(
    reply: Option<WorkerReply>,
    ended: Result<(), Reason>,
    fully_sent: bool,
) -> Option<(Status, Option<Load>)> {
    match (reply, ended) {
        (Some(WorkerReply::Accepted), _) => None,
        (Some(WorkerReply::Ended(status, load)), _) => Some((status, load)),
        (None, Err(Reason::Withheld)) => Some((Status::Moot, None)),
        // Before the machine has accepted the attempt, closing the connection cancels it.
        (None, Err(Reason::GivenUp)) if fully_sent => Some((Status::Cancelled, None)),
        (None, Err(Reason::GivenUp)) => Some((Status::Moot, None)),
        // An attempt whose last byte was sent may have run.
        (None, _) if !fully_sent => Some((Status::ConnectFailed, None)),
        (None, _) => Some((Status::Reset, None)),
    }
}

impl WorkerActor {
    /// Creates the actor of a machine whose address isn't known yet.
    pub fn new(
        front: Rc<Platform>,
        worker: WorkerId,
        host: String,
        draining: Rc<Cell<bool>>,
    ) -> Self {
        let (address, idle) = Default::default();
        let connections = WorkerConnections {
            front,
            worker,
            host,
            draining,
            address,
            idle,
        };
        WorkerActor {
            connections: Rc::new(connections),
            out: Rc::default(),
        }
    }

    /// Handles orders until their channel is closed.
    pub async fn run(self, inbox: Receiver<Order>) {
        while let Ok(order) = inbox.recv().await {
            match order {
                Order::Address(address) => {
                    if self
                        .connections
                        .address
                        .replace(Some(address))
                        .is_some_and(|old| old != address)
                    {
                        self.hang_up();
                    }
                }
                Order::Send(attempt, record, state) => self.start(attempt, record, state),
                Order::Accepted(id) => {
                    let state = AttemptState::new(self.connections.worker, Stage::Accepted);
                    self.out
                        .borrow_mut()
                        .insert(id, OutgoingAttempt { state, task: None });
                }
                Order::GiveUp(id, record) => {
                    let out = self.out.borrow_mut().remove(&id);
                    if let Some(out) = out {
                        self.give_up(id, record, out);
                    }
                }
                Order::Forget(id) => {
                    // A report can end a job before its 202 arrives. The 202 is still read, so that the connection can be reused.
                    if let Some(task) = self.out.borrow_mut().remove(&id).and_then(|out| out.task) {
                        task.detach();
                    }
                }
                Order::Probe => {
                    let connections = self.connections.clone();
                    self.connections
                        .front
                        .net
                        .spawn(async move { connections.probe().await });
                }
                Order::HangUp => self.hang_up(),
            }
        }
    }

    /// Cancels an attempt: with a request to the machine if it has accepted the attempt, else by closing the connection.
    fn give_up(&self, id: AttemptId, record: Rc<JobRecord>, out: OutgoingAttempt) {
        match out.state.stage() {
            Stage::Accepted => {
                let (connections, state) = (self.connections.clone(), out.state);
                state.give_up();
                self.connections.front.net.spawn(async move {
                    connections.delete(id, &record, false).await;
                    state.stage.set(Stage::Ended);
                });
            }
            Stage::Ended => {}
            _ => {
                out.state.give_up();
                out.task.into_iter().for_each(Task::detach);
            }
        }
    }

    fn hang_up(&self) {
        for (link, _) in self.connections.idle.borrow_mut().drain(..) {
            link.log_end(
                "worker",
                Reason::Done,
                format_args!("machine={}", self.connections.host),
            );
        }
    }

    fn start(&self, attempt: Attempt, record: Rc<JobRecord>, state: Rc<AttemptState>) {
        let (connections, out, attempt_state) =
            (self.connections.clone(), self.out.clone(), state.clone());
        let task = async move {
            let ended = connections
                .send_attempt(attempt, &record, &attempt_state)
                .await;
            if let Some((status, load)) = ended {
                let removed = out.borrow_mut().remove(&attempt.id);
                if status == Status::Cancelled && record.is_awaited() {
                    // The 202 may have been lost, in which case closing the connection doesn't cancel the attempt. As the job is
                    // still awaited, another attempt may follow, so this one is cancelled by a request.
                    connections.delete(attempt.id, &record, true).await;
                } else {
                    let _ = connections
                        .front
                        .core
                        .send(CoreInput::Ended(attempt.id, status, load))
                        .await;
                }
                attempt_state.stage.set(Stage::Ended);
                drop(removed);
            } else if attempt_state.given_up.get() {
                connections.delete(attempt.id, &record, false).await; // accepted just as it was given up
                attempt_state.stage.set(Stage::Ended);
            }
        };
        let task = self.connections.front.net.spawn_scoped(task);
        self.out.borrow_mut().insert(
            attempt.id,
            OutgoingAttempt {
                state,
                task: Some(task),
            },
        );
    }
}
