//! The connections to one machine: which is used, how an exchange goes on it, and whether it is kept.

use super::super::Platform;
use crate::ids::WorkerId;
use crate::net::buffer::Buffer;
use crate::net::http::{self, Head, Kind, Progress};
use crate::net::{Link, Reason, within};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Part of the idle time in the settings after which a connection is not used again.
const TRUSTED_IDLE_FRACTION: f64 = 0.6;
/// Once the head of an answer is there, what is left of it is waited for this long, to use the connection again.
const BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// A refusal may come twice, the second time some milliseconds later. Taken for the answer to the next attempt on that
/// connection, whose job runs, it would have it sent again: until this long after a refusal the connection is not used, and
/// by then what comes twice is there to be seen.
const REJECTION_REST: Duration = Duration::from_secs(1);
/// Idle connections kept to one machine.
const MAX_IDLE_CONNECTIONS: usize = 16;

fn time_to(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}

/// A machine, as its tasks see it.
pub(super) struct WorkerConnections {
    pub(super) front: Rc<Platform>,
    pub(super) worker: WorkerId,
    pub(super) host: String,
    /// By the membership it takes nothing new.
    pub(super) draining: Rc<Cell<bool>>,
    pub(super) address: Cell<Option<SocketAddr>>,
    /// Connections that stand idle, each with the time since when it may be used.
    pub(super) idle: RefCell<Vec<(Link, Instant)>>,
}

/// A connection in use. Dropped unfinished, it was given up.
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
            link.end(
                "worker",
                reason,
                format_args!("machine={}", self.connections.host),
            );
        }
    }

    /// Keeps the connection, to be used after this time.
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
    /// A connection that nothing has been written to: an idle one that is sure to stand, or a new one.
    async fn connect(&self, fresh: bool) -> Result<ConnectionGuard<'_>, Reason> {
        let (trusted, limit) = {
            let site = self.front.site.borrow();
            let trusted =
                Duration::from_micros((site.conn_idle as f64 * TRUSTED_IDLE_FRACTION) as u64);
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
            // Written to after the machine has closed it, the attempt would end as a reset that may have run.
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

    /// Sends a message and reads the answer's head and body, both left in the buffer. `on_head` is called as
    /// soon as the answer's head is there: its body may be cut off, or never end. Returned with how long the connection then rests.
    #[allow(
        clippy::too_many_lines,
        reason = "its loops share the deadline and what the head has said"
    )]
    async fn exchange_on(
        &self,
        link: &Link,
        buffer: &mut Buffer,
        (sent, on_head): (impl Fn(), impl Fn(&Head<'_>)),
    ) -> Result<(http::Frame, Duration), Reason> {
        let (mut bytes_written, mut by, mut failed) = (0, None, false);
        let write = link.write(buffer.filled(), &mut bytes_written).await;
        if bytes_written == buffer.filled().len() {
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
                    by = Some(Instant::now() + BODY_TIMEOUT);
                    failed = head.status >= 300 && head.header("X-Never-Ran").is_none();
                    on_head(head);
                }
                head.status
            }) {
                let Progress::Complete(mut frame) =
                    http::parse_message(buffer, Kind::Answer).map_err(|_| Reason::Malformed)?
                else {
                    break;
                };
                if status >= 200 {
                    // Doubled, it would come some milliseconds later and be taken for the answer to the next request.
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
            if by.is_none() {
                http::parse_message(buffer, Kind::Answer).map_err(|_| Reason::Malformed)?;
            }
        }
    }

    /// One exchange. The connection is kept where both sides keep it. What is to be sent is put into the buffer right
    /// before its first byte goes out: however long the connection was waited for, `prepare` sees how things stand then.
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
            return Err(Reason::Broke);
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
