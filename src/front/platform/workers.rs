//! One actor for each machine: claims, probes, and the connections to it.

use super::{Parcel, Platform};
use crate::api::{Load, Status, WorkerId};
use crate::core::figures::add;
use crate::core::{Claim, ClaimId, Told};
use crate::net::buffer::Buffer;
use crate::net::http::{self, Head, Kind, Progress};
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
/// Once the head of an answer is there, what is left of it is waited for this long, to use the connection again.
const REST: Duration = Duration::from_millis(250);
/// Idle connections kept to one machine.
const IDLE_MOST: usize = 16;

/// What a machine's actor is told to do.
pub enum Order {
    /// This is its address from now on.
    Address(SocketAddr),
    /// Carry a claim to it.
    Claim(Claim, Rc<Parcel>, Rc<Attempt>),
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
    /// Nothing of it has gone out.
    Unsent,
    /// Some of it has, but not its last byte.
    Begun,
    /// All of it has.
    Sent,
    /// The machine has taken it.
    Taken,
    /// It has ended before that, or was given up.
    Ended,
}

/// A claim as its job, its machine's actor and the connection see it.
pub struct Attempt {
    /// Where it goes.
    pub machine: WorkerId,
    stage: Cell<Stage>,
    went_out: Cell<bool>,
}

impl Attempt {
    /// One that has come so far.
    pub fn new(machine: WorkerId, stage: Stage) -> Rc<Self> {
        Rc::new(Attempt { machine, stage: Cell::new(stage), went_out: Cell::new(stage > Stage::Begun) })
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Has all of it gone out, however it ended?
    pub fn went_out(&self) -> bool {
        self.went_out.get()
    }

    /// Withdraws it if nothing of it has gone out: then nothing ever will.
    pub fn withdraw(&self) -> bool {
        let unsent = self.stage.get() == Stage::Unsent;
        if unsent {
            self.stage.set(Stage::Ended);
        }
        unsent
    }
}

struct Out {
    attempt: Rc<Attempt>,
    trace: String,
    task: Option<Task<()>>, // dropped, it closes the connection
}

/// What a machine's answer says of a claim.
enum Said {
    /// It has taken it.
    Taken,
    /// The claim has ended so.
    Ended(Status, Option<Load>),
}

fn time_to(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}

/// A machine, as its tasks see it.
struct Wires {
    front: Rc<Platform>,
    worker: WorkerId,
    host: String,
    /// The list says that it wants nothing new.
    leaves: Rc<Cell<bool>>,
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

    /// Sends a message and reads the answer's head and body, both left in the buffer. What the answer says is told as
    /// soon as its head is there: its body may be cut off, or never end.
    async fn talk(
        &self, link: &Link, buffer: &mut Buffer, (sent, said): (impl Fn(), impl Fn(&Head<'_>)),
    ) -> Result<http::Frame, Reason> {
        let (mut gone_out, mut by, mut failed) = (0, None, false);
        let write = link.write(buffer.filled(), &mut gone_out).await;
        if gone_out == buffer.filled().len() {
            sent();
        }
        write.map_err(|_| Reason::Broke)?;
        buffer.clear();
        loop {
            let read = async {
                match link.read(buffer).await {
                    Ok(0) => Err(Reason::PeerLeft),
                    Ok(_) => Ok(()),
                    Err(_) => Err(Reason::Broke),
                }
            };
            match by {
                None => read.await?,
                Some(by) => within(time_to(by), Reason::Unanswered, read).await?,
            }
            // More than one message may have come at once.
            while let Some(status) = http::answer_head(buffer, |head| {
                if head.status >= 200 && by.is_none() {
                    by = Some(Instant::now() + REST);
                    failed = head.status >= 300 && head.header("X-Never-Ran").is_none();
                    said(head);
                }
                head.status
            }) {
                let Progress::Whole(mut frame) =
                    http::look(buffer, Kind::Answer).map_err(|_| Reason::Malformed)?
                else {
                    break;
                };
                if status >= 200 {
                    // Doubled, it would come some milliseconds later and be taken for the answer to the next request,
                    // whose job runs.
                    frame.keep &= !failed;
                    return Ok(frame);
                }
                buffer.consume(frame.total); // an interim answer
            }
            if by.is_none() {
                http::look(buffer, Kind::Answer).map_err(|_| Reason::Malformed)?;
            }
        }
    }

    /// One exchange. The connection is kept where both sides keep it. What is to be sent is put into the buffer right
    /// before its first byte goes out: however long the connection was waited for, `prepare` sees how things stand then.
    async fn exchange(
        &self, buffer: &mut Buffer, prepare: impl FnOnce(&mut Buffer) -> Result<(), Reason>,
        told: (impl Fn(), impl Fn(&Head<'_>)),
    ) -> Result<http::Frame, Reason> {
        let mut hold = self.connect().await?;
        if let Err(reason) = prepare(buffer) {
            if self.leaves.get() {
                hold.end(reason)
            } else {
                hold.keep()
            }
            return Err(reason);
        }
        let Some(link) = &hold.link else { return Err(Reason::Broke) };
        let talk = self.talk(link, buffer, told).await;
        match &talk {
            Ok(frame) if frame.keep && frame.total == buffer.filled().len() => hold.keep(),
            Ok(_) => hold.end(Reason::Done),
            Err(reason) => hold.end(*reason),
        }
        talk
    }

    /// The one check right before the first byte of a claim: is it still to go, and here? A decision waits in the
    /// mailbox and for a connection, and the world goes on meanwhile.
    fn goes_out(&self, claim: &Claim, parcel: &Parcel, attempt: &Attempt) -> bool {
        let now = self.front.clock.now();
        attempt.stage() == Stage::Unsent && parcel.is_owed() && now < claim.by && !self.leaves.get()
    }

    /// What the head of an answer says of a claim.
    fn outcome(&self, head: &Head<'_>) -> Said {
        let site = self.front.site.borrow();
        let load = head.header("Endpoint-Load-Metrics").and_then(|text| site.load(text.as_bytes()));
        let never_ran = head.header("X-Never-Ran") == Some("1");
        match head.status {
            202 => Said::Taken,
            503 | 504 if never_ran => Said::Ended(Status::Full, load),
            _ => Said::Ended(Status::Error, load),
        }
    }

    /// Carries a claim to the machine; what ends it before it is taken is returned.
    async fn claim(
        &self, claim: Claim, parcel: &Parcel, attempt: &Attempt,
    ) -> Option<(Status, Option<Load>)> {
        let left = || claim.until.saturating_sub(self.front.clock.now()) / 1000;
        let mut buffer = self.front.net.pool.take();
        let prepare = |buffer: &mut Buffer| {
            if !self.goes_out(&claim, parcel, attempt) {
                return Err(Reason::Withheld);
            }
            let (body, head) = parcel.text.filled().split_at(parcel.body);
            let whole = buffer
                .write_all(head)
                .and_then(|()| write!(buffer, "X-Expires-In-Ms: {}\r\n\r\n", left()))
                .and_then(|()| buffer.write_all(body));
            attempt.stage.set(Stage::Begun);
            whole.map_err(|_| Reason::Withheld)
        };
        let limit = Duration::from_millis(left()) + LINGER;
        let unheard = async {
            Timer::after(HEARD).await;
            if attempt.stage() < Stage::Taken {
                let _ = self.front.core.send(Told::Unheard(claim.id)).await;
            }
            std::future::pending().await
        };
        let sent = || {
            attempt.stage.set(Stage::Sent);
            attempt.went_out.set(true);
            add(&self.front.figures.tries, 1);
        };
        let answer = RefCell::new(None);
        let said = |head: &Head<'_>| {
            let said = self.outcome(head);
            if matches!(said, Said::Taken) {
                attempt.stage.set(Stage::Taken);
            }
            answer.replace(Some(said));
        };
        let exchange = self.exchange(&mut buffer, prepare, (sent, said)).or(unheard);
        let ended = within(limit, Reason::Unanswered, exchange).await;
        match (answer.take(), ended) {
            (Some(Said::Taken), _) => None,
            (Some(Said::Ended(status, load)), _) => Some((status, load)),
            (None, Err(Reason::Withheld)) => Some((Status::Moot, None)),
            // Whether the last byte of the claim has gone out tells whether it may have run.
            (None, _) if !attempt.went_out() => Some((Status::ConnectFailed, None)),
            (None, _) => Some((Status::Reset, None)),
        }
    }

    async fn probe(&self) {
        let mut buffer = self.front.net.pool.take();
        let prepare = |buffer: &mut Buffer| {
            let _ = write!(buffer, "GET /-/load HTTP/1.1\r\nHost: service.internal\r\n\r\n");
            Ok(())
        };
        let sent = Cell::new(false);
        let exchange = self.exchange(&mut buffer, prepare, (|| sent.set(true), |_: &Head<'_>| ()));
        let talk = within(PROBE, Reason::Unanswered, exchange).await;
        let (status, load) = match &talk {
            Ok(frame) => {
                let read = frame.read(&buffer, Kind::Answer);
                let load = read.as_ref().and_then(|(_, body)| self.front.site.borrow().load(body));
                let healthy = read.is_some_and(|(head, _)| head.status == 200);
                (if healthy { Status::Ok } else { Status::Error }, load)
            }
            Err(Reason::Unanswered) => (Status::Timeout, None),
            Err(_) if !sent.get() => (Status::ConnectFailed, None),
            Err(_) => (Status::Reset, None),
        };
        let _ = self.front.core.send(Told::Probed(self.worker, status, load)).await;
    }

    async fn delete(&self, trace: String) {
        let mut buffer = self.front.net.pool.take();
        let prepare = |buffer: &mut Buffer| {
            let _ = write!(
                buffer,
                "DELETE /jobs/{trace} HTTP/1.1\r\nHost: service.internal\r\nContent-Length: 0\r\n\r\n"
            );
            Ok(())
        };
        let exchange = self.exchange(&mut buffer, prepare, (|| (), |_: &Head<'_>| ()));
        let _ = within(DELETE, Reason::Unanswered, exchange).await;
    }
}

impl Peer {
    /// The actor of a machine that has no address yet.
    pub fn new(front: Rc<Platform>, worker: WorkerId, host: String, leaves: Rc<Cell<bool>>) -> Self {
        let (address, idle) = Default::default();
        let wires = Wires { front, worker, host, leaves, address, idle };
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
                Order::Claim(claim, parcel, attempt) => self.claim(claim, parcel, attempt),
                Order::Taken(id, trace) => {
                    let attempt = Attempt::new(self.wires.worker, Stage::Taken);
                    self.out.borrow_mut().insert(id, Out { attempt, trace, task: None });
                }
                Order::GiveUp(id) => {
                    let Some(out) = self.out.borrow_mut().remove(&id) else { continue };
                    // Before the machine has taken it, closing the connection says so.
                    if out.attempt.stage() == Stage::Taken {
                        let wires = self.wires.clone();
                        self.wires.front.net.start(async move { wires.delete(out.trace).await });
                    }
                    out.attempt.stage.set(Stage::Ended);
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

    fn claim(&self, claim: Claim, parcel: Rc<Parcel>, attempt: Rc<Attempt>) {
        let trace = parcel.trace.clone();
        let (wires, out, at) = (self.wires.clone(), self.out.clone(), attempt.clone());
        let task = async move {
            let ended = wires.claim(claim, &parcel, &at).await;
            if let Some((status, load)) = ended {
                let gone = out.borrow_mut().remove(&claim.id);
                let _ = wires.front.core.send(Told::Ended(claim.id, status, load)).await;
                at.stage.set(Stage::Ended);
                drop(gone);
            }
        };
        let task = self.wires.front.net.held(task);
        self.out.borrow_mut().insert(claim.id, Out { attempt, trace, task: Some(task) });
    }
}
