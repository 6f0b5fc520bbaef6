//! One actor for each machine: claims, probes, and the connections to it.

use super::{Parcel, Platform};
use crate::api::{Load, Status, WorkerId};
use crate::core::figures::add;
use crate::core::{Claim, ClaimId, Told};
use crate::net::buffer::Buffer;
use crate::net::http::{self, Kind, Progress};
use crate::net::{Link, Reason, within};
use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Part of the idle time in the settings after which a connection is not used again.
const IDLE_PART: f64 = 0.6;
/// How long a probe may take beyond the dial.
const PROBE: Duration = Duration::from_millis(250);
/// How long word that an attempt is given up may take.
const DELETE: Duration = Duration::from_millis(500);
/// How long a 202 is waited for once the claim has timed out.
const LINGER: Duration = Duration::from_millis(500);
/// A machine says within this time of a claim that it took it. One that has not hangs, or the connection has gone
/// silent: the module hears of it, and the claim is waited for all the same.
const HEARD: Duration = Duration::from_millis(250);
/// Idle connections kept to one machine.
const IDLE_MOST: usize = 16;

/// What a machine's actor is told to do.
pub enum Order {
    /// This is its address from now on.
    Address(SocketAddr),
    /// Carry a claim to it.
    Claim(Claim, Rc<Parcel>, Rc<Cell<Stage>>),
    /// A claim of this id is there that another process has carried: the machine has taken it.
    Taken(ClaimId, String),
    /// Stop waiting for a claim.
    GiveUp(ClaimId),
    /// A claim will not be named again.
    Forget(ClaimId),
    /// Ask for its load.
    Probe,
    /// Close idle connections.
    HangUp,
}

/// How far a claim has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Its last byte has not gone out.
    Unsent,
    /// It has.
    Sent,
    /// The machine has taken it.
    Taken,
    /// It has ended before that, or was given up.
    Ended,
}

struct Out {
    stage: Rc<Cell<Stage>>,
    trace: String,
    task: Option<Task<()>>, // dropped, it closes the connection
}

/// A machine, as its tasks see it.
struct Wires {
    front: Rc<Platform>,
    worker: WorkerId,
    host: String,
    address: Cell<Option<SocketAddr>>,
    idle: RefCell<Vec<(Link, Instant)>>,
}

/// The actor.
pub struct Peer {
    wires: Rc<Wires>,
    out: Rc<RefCell<HashMap<ClaimId, Out>>>,
}

/// A connection in use. Dropped unfinished, it was given up.
struct Hold<'a> {
    wires: &'a Wires,
    link: Option<Link>,
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.end(Reason::GivenUp);
    }
}

impl Hold<'_> {
    fn end(&mut self, reason: Reason) {
        if let Some(link) = self.link.take() {
            link.end("worker", reason, format_args!("machine={}", self.wires.host));
        }
    }

    fn keep(&mut self) {
        let mut idle = self.wires.idle.borrow_mut();
        if idle.len() >= IDLE_MOST {
            drop(idle);
            return self.end(Reason::Done);
        }
        idle.extend(self.link.take().map(|link| (link, Instant::now())));
    }
}

impl Wires {
    /// A connection that nothing has been written to: an idle one that is sure to stand, or a new one.
    async fn connect(&self) -> Result<Hold<'_>, Reason> {
        let (trusted, limit) = {
            let site = self.front.site.borrow();
            let trusted = Duration::from_micros((site.conn_idle as f64 * IDLE_PART) as u64);
            (trusted, Duration::from_micros(site.settings.limits.dial_timeout.max(1)))
        };
        loop {
            let Some((link, since)) = self.idle.borrow_mut().pop() else { break };
            let mut hold = Hold { wires: self, link: Some(link) };
            // Written to after the machine has closed it, the claim would end as a reset that may have run.
            if since.elapsed() > trusted {
                hold.end(Reason::Idle);
            } else if hold.link.as_ref().is_some_and(Link::stale) {
                hold.end(Reason::PeerClosed);
            } else {
                return Ok(hold);
            }
        }
        let Some(address) = self.address.get() else { return Err(Reason::Refused) };
        let link = self.front.net.dial(address, limit).await;
        if let Err(reason) = link {
            crate::net::log(format_args!("dial machine={} reason={}", self.host, reason.code()));
        }
        Ok(Hold { wires: self, link: Some(link?) })
    }

    /// Sends a message and reads the answer's head and body, both left in the buffer.
    async fn talk(&self, link: &Link, buffer: &mut Buffer, sent: impl Fn()) -> Result<http::Frame, Reason> {
        let mut gone_out = 0;
        let write = link.write(buffer.filled(), &mut gone_out).await;
        if gone_out == buffer.filled().len() {
            sent();
        }
        write.map_err(|_| Reason::Broke)?;
        buffer.clear();
        loop {
            match http::look(buffer, Kind::Answer).map_err(|_| Reason::Malformed)? {
                Progress::Whole(frame) => {
                    let status = frame.read(buffer, Kind::Answer).ok_or(Reason::Malformed)?.0.status;
                    if status >= 200 {
                        return Ok(frame);
                    }
                    buffer.consume(frame.total); // an interim answer
                    continue;
                }
                Progress::Part(_) => {}
            }
            match link.read(buffer).await {
                Ok(0) => return Err(Reason::PeerLeft),
                Ok(_) => {}
                Err(_) => return Err(Reason::Broke),
            }
        }
    }

    /// One exchange. The connection is kept where both sides keep it.
    async fn exchange(&self, buffer: &mut Buffer, sent: impl Fn()) -> Result<http::Frame, Reason> {
        let mut hold = self.connect().await?;
        let Some(link) = &hold.link else { return Err(Reason::Broke) };
        let talk = self.talk(link, buffer, sent).await;
        match &talk {
            Ok(frame) if frame.keep && frame.total == buffer.filled().len() => hold.keep(),
            Ok(_) => hold.end(Reason::Done),
            Err(reason) => hold.end(*reason),
        }
        talk
    }

    /// Carries a claim to the machine; what ends it before it is taken is returned.
    async fn claim(
        &self, claim: Claim, parcel: &Parcel, stage: &Cell<Stage>,
    ) -> Option<(Status, Option<Load>)> {
        let mut buffer = self.front.net.pool.take();
        let left = claim.until.saturating_sub(self.front.clock.now()) / 1000;
        let (body, head) = parcel.text.filled().split_at(parcel.body);
        let whole = buffer
            .write_all(head)
            .and_then(|()| write!(buffer, "X-Expires-In-Ms: {left}\r\n\r\n"))
            .and_then(|()| buffer.write_all(body));
        if whole.is_err() {
            return Some((Status::Moot, None));
        }
        let limit = Duration::from_millis(left) + LINGER;
        let unheard = async {
            Timer::after(HEARD).await;
            let _ = self.front.core.send(Told::Unheard(claim.id)).await;
            std::future::pending().await
        };
        let sent = || {
            stage.set(Stage::Sent);
            add(&self.front.figures.tries, 1);
        };
        let exchange = self.exchange(&mut buffer, sent).or(unheard);
        match within(limit, Reason::Unanswered, exchange).await {
            Ok(frame) => {
                let (head, _) = frame.read(&buffer, Kind::Answer)?;
                let site = self.front.site.borrow();
                let load = head.header("Endpoint-Load-Metrics").and_then(|text| site.load(text.as_bytes()));
                let never_ran = head.header("X-Never-Ran") == Some("1");
                match head.status {
                    202 => {
                        stage.set(Stage::Taken);
                        None
                    }
                    503 | 504 if never_ran => Some((Status::Full, load)),
                    _ => Some((Status::Error, load)),
                }
            }
            // Whether the last byte of the claim has gone out tells whether it may have run.
            Err(_) if stage.get() == Stage::Unsent => Some((Status::ConnectFailed, None)),
            Err(_) => Some((Status::Reset, None)),
        }
    }

    async fn probe(&self) {
        let mut buffer = self.front.net.pool.take();
        let _ = write!(buffer, "GET /-/load HTTP/1.1\r\nHost: service.internal\r\n\r\n");
        let stage = Cell::new(Stage::Unsent);
        let talk =
            within(PROBE, Reason::Unanswered, self.exchange(&mut buffer, || stage.set(Stage::Sent))).await;
        let (status, load) = match &talk {
            Ok(frame) => {
                let read = frame.read(&buffer, Kind::Answer);
                let load = read.as_ref().and_then(|(_, body)| self.front.site.borrow().load(body));
                let healthy = read.is_some_and(|(head, _)| head.status == 200);
                (if healthy { Status::Ok } else { Status::Error }, load)
            }
            Err(Reason::Unanswered) => (Status::Timeout, None),
            Err(_) if stage.get() == Stage::Unsent => (Status::ConnectFailed, None),
            Err(_) => (Status::Reset, None),
        };
        let _ = self.front.core.send(Told::Probed(self.worker, status, load)).await;
    }

    async fn delete(&self, trace: String) {
        let mut buffer = self.front.net.pool.take();
        let _ = write!(
            buffer,
            "DELETE /jobs/{trace} HTTP/1.1\r\nHost: service.internal\r\nContent-Length: 0\r\n\r\n"
        );
        let stage = Cell::new(Stage::Unsent);
        let _ =
            within(DELETE, Reason::Unanswered, self.exchange(&mut buffer, || stage.set(Stage::Sent))).await;
    }
}

impl Peer {
    /// The actor of a machine that has no address yet.
    pub fn new(front: Rc<Platform>, worker: WorkerId, host: String) -> Self {
        let wires = Wires { front, worker, host, address: Cell::new(None), idle: RefCell::default() };
        Peer { wires: Rc::new(wires), out: Rc::default() }
    }

    /// Runs for as long as somebody may give orders.
    pub async fn run(self, inbox: Receiver<Order>) {
        while let Ok(order) = inbox.recv().await {
            match order {
                Order::Address(address) => {
                    if self.wires.address.replace(Some(address)).is_some_and(|old| old != address) {
                        self.hang_up();
                    }
                }
                Order::Claim(claim, parcel, stage) => self.claim(claim, parcel, stage),
                Order::Taken(id, trace) => {
                    let stage = Rc::new(Cell::new(Stage::Taken));
                    self.out.borrow_mut().insert(id, Out { stage, trace, task: None });
                }
                Order::GiveUp(id) => {
                    let Some(out) = self.out.borrow_mut().remove(&id) else { continue };
                    // Before the machine has taken it, closing the connection says so.
                    if out.stage.get() == Stage::Taken {
                        let wires = self.wires.clone();
                        self.wires.front.net.start(async move { wires.delete(out.trace).await });
                    }
                    out.stage.set(Stage::Ended);
                    drop(out.task);
                }
                Order::Forget(id) => {
                    // News can end a job before the 202 has come: that is still read, to keep the connection.
                    if let Some(task) = self.out.borrow_mut().remove(&id).and_then(|out| out.task) {
                        task.detach();
                    }
                }
                Order::Probe => {
                    let wires = self.wires.clone();
                    self.wires.front.net.start(async move { wires.probe().await });
                }
                Order::HangUp => self.hang_up(),
            }
        }
    }

    fn hang_up(&self) {
        for (link, _) in self.wires.idle.borrow_mut().drain(..) {
            link.end("worker", Reason::Done, format_args!("machine={}", self.wires.host));
        }
    }

    fn claim(&self, claim: Claim, parcel: Rc<Parcel>, stage: Rc<Cell<Stage>>) {
        let trace = parcel.trace.clone();
        let (wires, out, at) = (self.wires.clone(), self.out.clone(), stage.clone());
        let task = async move {
            let ended = wires.claim(claim, &parcel, &at).await;
            if let Some((status, load)) = ended {
                let gone = out.borrow_mut().remove(&claim.id);
                let _ = wires.front.core.send(Told::Ended(claim.id, status, load)).await;
                at.set(Stage::Ended);
                drop(gone);
            }
        };
        let task = self.wires.front.net.held(task);
        self.out.borrow_mut().insert(claim.id, Out { stage, trace, task: Some(task) });
    }
}
