//! The connections to one machine: choosing one, request-response exchanges, and connection reuse.

use super::super::Platform;
use crate::ids::WorkerId;
use crate::net::buffer::Buffer;
use crate::net::http::{self, Head, MessageKind, Progress};
use crate::net::{Link, Reason, within};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Fraction of the idle time in the settings after which an idle connection isn't reused.
const TRUSTED_IDLE_FRACTION: f64 = 0.6;
/// How long to wait for the rest of an answer once its head has arrived. The rest is only needed to reuse the connection.
const BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection rests after a rejection. A rejection may arrive twice, the second copy some milliseconds later. If
/// the copy were taken for the answer to the next attempt on that connection, that attempt's job would be sent again while it
/// runs. After the rest, a second copy has arrived and is detected as unexpected input.
const REJECTION_REST: Duration = Duration::from_secs(1);
/// Maximum number of idle connections kept to one machine.
const MAX_IDLE_CONNECTIONS: usize = 16;

fn time_to(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}

/// A machine and its connections, shared by the tasks that talk to it.
pub(super) struct WorkerConnections {
    pub(super) front: Rc<Platform>,
    pub(super) worker: WorkerId,
    pub(super) host: String,
    /// The membership lists the machine as draining or gone, so it gets no new attempts.
    pub(super) draining: Rc<Cell<bool>>,
    pub(super) address: Cell<Option<SocketAddr>>,
    /// Idle connections, each with the time from which on it may be reused.
    pub(super) idle: RefCell<Vec<(Link, Instant)>>,
}

/// A connection in use. Dropping the guard during an exchange ends the connection as given up.
struct ConnectionGuard<'a> {
    connections: &'a WorkerConnections,
    link: Option<Link>,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.end(Reason::GivenUp);
    }
}

impl ConnectionGuard<'_> {
    fn end(&mut self, reason: Reason) {
        if let Some(link) = self.link.take() {
            link.log_end(
                "worker",
                reason,
                format_args!("machine={}", self.connections.host),
            );
        }
    }

    /// Returns the connection to the idle ones; it may be reused once this time has passed.
    fn keep(&mut self, after: Duration) {
        let mut idle = self.connections.idle.borrow_mut();
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            drop(idle);
            return self.end(Reason::Done);
        }
        idle.extend(self.link.take().map(|link| (link, Instant::now() + after)));
    }
}

impl WorkerConnections {
    /// Returns an idle connection that is very likely still open, or else a new one. `fresh` requires a new one.
    async fn connect(&self, fresh: bool) -> Result<ConnectionGuard<'_>, Reason> {
        let (trusted, limit) = {
            let site = self.front.site.borrow();
            let trusted =
                Duration::from_micros((site.idle_timeout as f64 * TRUSTED_IDLE_FRACTION) as u64);
            (
                trusted,
                Duration::from_micros(site.settings.limits.dial_timeout.max(1)),
            )
        };
        let settled = || {
            let (mut idle, now) = (self.idle.borrow_mut(), Instant::now());
            let last = idle.iter().rposition(|(_, since)| *since <= now)?;
            Some(idle.remove(last))
        };
        while let Some((link, since)) = (!fresh).then(settled).flatten() {
            let mut guard = ConnectionGuard {
                connections: self,
                link: Some(link),
            };
            // An attempt written to a connection that the machine has closed would end as a reset, and so count as possibly run.
            if since.elapsed() > trusted {
                guard.end(Reason::Idle);
            } else if guard.link.as_ref().is_some_and(Link::stale) {
                guard.end(Reason::PeerClosed);
            } else {
                return Ok(guard);
            }
        }
        let Some(address) = self.address.get() else {
            return Err(Reason::Refused);
        };
        let link = self.front.net.dial(address, limit).await;
        if let Err(reason) = link {
            crate::net::log(format_args!(
                "dial machine={} reason={}",
                self.host,
                reason.code()
            ));
        }
        Ok(ConnectionGuard {
            connections: self,
            link: Some(link?),
        })
    }

    /// Sends a message and reads the answer, whose head and body are left in the buffer. `sent` is called once the last byte is
    /// written. `on_head` is called as soon as the head of the final answer has arrived, as its body may be cut off or never
    /// end. Returns the answer's frame, and how long the connection must rest before it is reused.
    #[allow(
        clippy::too_many_lines,
        reason = "its loops share the deadline and the fields read from the head"
    )]
    async fn exchange_on(
        &self,
        link: &Link,
        buffer: &mut Buffer,
        (sent, on_head): (impl Fn(), impl Fn(&Head<'_>)),
    ) -> Result<(http::Frame, Duration), Reason> {
        let (mut bytes_written, mut deadline, mut failed) = (0, None, false);
        let write = link.write(buffer.filled(), &mut bytes_written).await;
        if bytes_written == buffer.filled().len() {
            sent();
        }
        write.map_err(|_| Reason::IoError)?;
        buffer.clear();
        loop {
            let read = async {
                match link.read(buffer).await {
                    Ok(0) => Err(Reason::PeerLeft),
                    Ok(_) => Ok(()),
                    Err(_) => Err(Reason::IoError),
                }
            };
            match deadline {
                None => read.await?,
                Some(deadline) => within(time_to(deadline), Reason::Unanswered, read).await?,
            }
            // One read may return several messages.
            while let Some(status) = http::answer_head(buffer, |head| {
                if head.status >= 200 && deadline.is_none() {
                    deadline = Some(Instant::now() + BODY_TIMEOUT);
                    failed = head.status >= 300 && head.header("X-Never-Ran").is_none();
                    on_head(head);
                }
                head.status
            }) {
                let Progress::Complete(mut frame) =
                    http::parse_message(buffer, MessageKind::Answer)
                        .map_err(|_| Reason::Malformed)?
                else {
                    break;
                };
                if status >= 200 {
                    // A second copy of an error could be taken for the answer to the next request, so the connection
                    // isn't reused.
                    frame.keep &= !failed;
                    return Ok((
                        frame,
                        if status >= 300 {
                            REJECTION_REST
                        } else {
                            Duration::ZERO
                        },
                    ));
                }
                buffer.consume(frame.total); // an interim answer
            }
            if deadline.is_none() {
                http::parse_message(buffer, MessageKind::Answer).map_err(|_| Reason::Malformed)?;
            }
        }
    }

    /// Makes one exchange, and keeps the connection if both sides allow it. `prepare` fills the buffer right before the first
    /// byte is sent, so it sees the current state however long the connection took to open; if it fails, nothing is sent.
    pub(super) async fn exchange(
        &self,
        (buffer, fresh): (&mut Buffer, bool),
        prepare: impl FnOnce(&mut Buffer) -> Result<(), Reason>,
        observers: (impl Fn(), impl Fn(&Head<'_>)),
    ) -> Result<http::Frame, Reason> {
        let mut guard = self.connect(fresh).await?;
        if let Err(reason) = prepare(buffer) {
            if self.draining.get() {
                guard.end(reason);
            } else {
                guard.keep(Duration::ZERO);
            }
            return Err(reason);
        }
        let Some(link) = &guard.link else {
            return Err(Reason::IoError);
        };
        let exchange = self.exchange_on(link, buffer, observers).await;
        match &exchange {
            Ok((frame, after)) if frame.keep && frame.total == buffer.filled().len() => {
                guard.keep(*after);
            }
            Ok(_) => guard.end(Reason::Done),
            Err(reason) => guard.end(*reason),
        }
        exchange.map(|(frame, _)| frame)
    }
}
