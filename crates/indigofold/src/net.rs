//! The network layer that all fronts share: buffers, the set of connections, message framing, and the log line written at
//! the end of a connection.

pub mod buffer;
pub mod http;
pub mod log;
pub mod set;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use buffer::{Buffer, Pool};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future::yield_now};
pub use log::log;
use set::{ConnectionPermit, Direction, Rank, Set};
use std::cell::Cell;
use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two attempts to accept a connection or take a buffer while the limit is reached.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The first message must be complete this long after the connection was accepted, and each later one this long after
/// its first byte. This limits how long a peer that sends nothing, or very slowly, holds a descriptor.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A new connection's first message may take this long to arrive; until then the connection has [`Rank::Fresh`].
const FRESH_FOR: Duration = Duration::from_millis(150);
/// An answer must be written completely within this time.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long input is still read and discarded after the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum number of bytes read and discarded after the last answer.
const MAX_LINGER_BYTES: usize = 64 << 20;
/// Interval between two reads of input that is discarded while an answer is due.
const OVERRUN_READ_INTERVAL: Duration = Duration::from_millis(1);
/// Length of the queue of connections to be accepted: with a shorter one, a burst would make other peers retry to connect.
const ACCEPT_BACKLOG: i32 = 1024;

/// Opens a listener on an address.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(at)?;
    rustix::net::listen(&listener, ACCEPT_BACKLOG)?;
    Async::new(listener)
}

/// The task executor, buffer pool and connections of the program's single thread.
#[derive(Clone)]
pub struct Net {
    tasks: Rc<LocalExecutor<'static>>,
    /// The pool of message buffers.
    pub pool: Rc<Pool>,
    /// The set of all connections, with their limits.
    pub set: Rc<Set>,
}

impl Net {
    /// Creates the network layer of a process that may hold this many descriptors and use this much memory.
    pub fn new(tasks: Rc<LocalExecutor<'static>>, descriptors: usize, memory_mb: usize) -> Self {
        Net {
            tasks,
            pool: Pool::new(memory_mb),
            set: Set::new(descriptors),
        }
    }

    /// Changes the numbers of descriptors and megabytes (MiB) that the process may use from now on.
    pub fn set_limits(&self, descriptors: usize, memory_mb: usize) {
        self.set.set_limit(descriptors);
        self.pool.set_limit(memory_mb);
    }

    /// Starts a task that runs until it ends by itself.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task).detach();
    }

    /// Starts a task that ends when its handle is dropped.
    pub fn spawn_scoped(
        &self,
        task: impl Future<Output = ()> + 'static,
    ) -> async_executor::Task<()> {
        self.tasks.spawn(task)
    }

    /// Accepts connections for as long as the program runs; each is served by a task of its own.
    pub async fn serve<S: Future<Output = ()> + 'static>(
        &self,
        listener: &Async<TcpListener>,
        serve: impl Fn(Link) -> S,
    ) {
        loop {
            let link = self.accept(listener).await;
            self.spawn(serve(link));
        }
    }

    /// Accepts the next connection. At the limit, the connection of the lowest rank is evicted, and the new one is accepted
    /// without waiting for the close: job workers' reports arrive on new connections and must not queue behind a flood. If
    /// none can be evicted, a few connections are accepted beyond the limit so that reports still arrive.
    async fn accept(&self, listener: &Async<TcpListener>) -> Link {
        loop {
            // Nothing is reserved or evicted before a connection is waiting.
            let _ = listener.readable().await;
            let permit = match self.set.reserve(Direction::Inbound) {
                Some(permit) => Some((permit, false)),
                None => {
                    let evicted = self.set.evict_one();
                    self.set
                        .reserve(Direction::InboundExtra)
                        .map(|permit| (permit, !evicted))
                }
            };
            let Some((permit, extra)) = permit else {
                Timer::after(RETRY_INTERVAL).await;
                continue;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.set.evict_if_crowded(Instant::now());
                    return Link::new(stream, permit).as_extra(extra);
                }
                Err(error) => {
                    drop(permit);
                    log(format_args!("accept failed: {error}"));
                    if !matches!(
                        error.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) {
                        self.set.evict_one(); // for example EMFILE: free a descriptor
                        Timer::after(RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// Takes a buffer for a message that begins to arrive. If the pool is exhausted, connections whose first message is not
    /// complete are evicted.
    ///
    /// # Errors
    ///
    /// [`Reason::NoCapacity`] if no buffer is free within [`MESSAGE_TIMEOUT`].
    pub async fn buffer(&self) -> Result<Buffer, Reason> {
        let wait = async {
            while !self.pool.has_capacity() {
                self.set.evict_up_to(Rank::PartialMessage);
                Timer::after(RETRY_INTERVAL).await;
            }
            Ok(self.pool.take())
        };
        within(MESSAGE_TIMEOUT, Reason::NoCapacity, wait).await
    }

    /// Runs a future on an accepted connection that may be evicted meanwhile.
    ///
    /// # Errors
    ///
    /// The error of `work`, or [`Reason::Evicted`].
    pub async fn unless_evicted<T>(
        &self,
        rank: Rank,
        work: impl Future<Output = Result<T, Reason>>,
    ) -> Result<T, Reason> {
        self.unless_evicted_or_drained(rank, false, work).await
    }

    /// Like [`Net::unless_evicted`], but with `client` set the connection is also evicted when the program drains or is
    /// replaced.
    ///
    /// # Errors
    ///
    /// The error of `work`, or [`Reason::Evicted`].
    pub async fn unless_evicted_or_drained<T>(
        &self,
        rank: Rank,
        client: bool,
        work: impl Future<Output = Result<T, Reason>>,
    ) -> Result<T, Reason> {
        let registration = self.set.register_evictable(rank, client);
        if matches!(rank, Rank::AnsweredOnce | Rank::Used) {
            self.set.evict_if_crowded(Instant::now());
        }
        let evicted = async {
            registration.evicted().await;
            Err(Reason::Evicted)
        };
        work.or(evicted).await
    }

    /// Like [`Net::unless_evicted`], for the first work on a connection: until `FRESH_FOR` after `accepted` it has
    /// [`Rank::Fresh`], then `rank`.
    ///
    /// # Errors
    ///
    /// The error of `work`, or [`Reason::Evicted`].
    pub async fn first_unless_evicted<T>(
        &self,
        accepted: Instant,
        rank: Rank,
        work: impl Future<Output = Result<T, Reason>>,
    ) -> Result<T, Reason> {
        let mut work = std::pin::pin!(work);
        let fresh = FRESH_FOR.saturating_sub(accepted.elapsed());
        let first = async { work.as_mut().await.map(Some) }.or(async {
            Timer::after(fresh).await;
            Ok(None)
        });
        match self.unless_evicted(Rank::Fresh, first).await? {
            Some(done) => Ok(done),
            None => self.unless_evicted(rank, work).await,
        }
    }

    /// Lingers on a connection after its last answer: shuts down the write side, then reads and discards further input. Closing
    /// with unread input would reset the connection, and the peer could lose the answer. The time and the number of bytes are
    /// limited, and the connection is the first to be evicted.
    pub async fn linger(&self, link: &Link) {
        link.shutdown_write();
        let rest = async {
            let mut left = MAX_LINGER_BYTES;
            while left > 0 {
                // A buffer is held only while there is something to read.
                link.readable().await.map_err(|_| Reason::IoError)?;
                let mut buffer = self.pool.take();
                match link.read(&mut buffer).await {
                    Ok(count @ 1..) => left = left.saturating_sub(count),
                    _ => return Err(Reason::PeerLeft),
                }
                drop(buffer);
                yield_now().await;
            }
            Ok(())
        };
        let _ = within(
            LINGER_TIMEOUT,
            Reason::Slow,
            self.unless_evicted(Rank::Closing, rest),
        )
        .await;
    }

    /// Connects to an address within the limit.
    ///
    /// # Errors
    ///
    /// [`Reason::NoCapacity`] if no descriptor is free, [`Reason::Refused`] or [`Reason::DialTimeout`].
    pub async fn dial(&self, to: SocketAddr, limit: Duration) -> Result<Link, Reason> {
        let Some(permit) = self.set.reserve(Direction::Outbound) else {
            self.set.evict_one();
            return Err(Reason::NoCapacity);
        };
        let dial = async {
            Async::<TcpStream>::connect(to)
                .await
                .map_err(|_| Reason::Refused)
        };
        let stream = dial
            .or(async { after(limit, Reason::DialTimeout).await })
            .await?;
        Ok(Link::new(stream, permit))
    }
}

async fn after<T>(limit: Duration, reason: Reason) -> Result<T, Reason> {
    Timer::after(limit).await;
    Err(reason)
}

/// Runs `work` for no longer than the limit.
///
/// # Errors
///
/// The error of `work`, or `reason` if the limit passes first.
pub async fn within<T>(
    limit: Duration,
    reason: Reason,
    work: impl Future<Output = Result<T, Reason>>,
) -> Result<T, Reason> {
    work.or(after(limit, reason)).await
}

/// Why a connection ended; the codes are explained in `docs/on-call.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The other side closed it between messages.
    PeerClosed,
    /// The other side closed it within a message or while an answer was due.
    PeerLeft,
    /// An I/O error occurred on it.
    IoError,
    /// This side closed it after a message, as one of the sides had requested.
    Done,
    /// The input was malformed.
    Malformed,
    /// The other side never sent anything.
    NothingSent,
    /// A message was not complete in time.
    Slow,
    /// The other side did not read what was written to it in time.
    Stalled,
    /// It was idle for too long.
    Idle,
    /// It was closed to free its descriptor for another connection.
    Evicted,
    /// It was closed because the program shuts down.
    Stopping,
    /// It was closed because an operator drained the program.
    Drained,
    /// The attempt on it was given up.
    GivenUp,
    /// The message to be sent on it was not to be sent any more.
    Withheld,
    /// No answer arrived in time.
    Unanswered,
    /// The connection could not be established, for example because it was refused.
    Refused,
    /// The connection was not established in time.
    DialTimeout,
    /// No descriptor or buffer was free for it.
    NoCapacity,
    /// The password or the first message was wrong.
    Rejected,
    /// It continues in the process that replaces this one.
    Migrated,
}

impl Reason {
    /// Returns true if this side closes the connection after a final answer, and therefore lingers on it.
    pub fn after_answer(self) -> bool {
        matches!(
            self,
            Reason::Done | Reason::Malformed | Reason::Slow | Reason::NoCapacity
        )
    }

    /// The code of the reason in the log.
    pub fn code(self) -> &'static str {
        match self {
            Reason::PeerClosed => "peer-closed",
            Reason::PeerLeft => "peer-left",
            Reason::IoError => "broke",
            Reason::Done => "done",
            Reason::Malformed => "malformed",
            Reason::NothingSent => "silent",
            Reason::Slow => "slow",
            Reason::Stalled => "stalled",
            Reason::Idle => "idle",
            Reason::Evicted => "shed",
            Reason::Stopping => "stopping",
            Reason::Drained => "drained",
            Reason::GivenUp => "given-up",
            Reason::Withheld => "withheld",
            Reason::Unanswered => "unanswered",
            Reason::Refused => "refused",
            Reason::DialTimeout => "dial-timeout",
            Reason::NoCapacity => "no-room",
            Reason::Rejected => "rejected",
            Reason::Migrated => "handed-on",
        }
    }
}

/// A connection, which counts in the set of connections until it is dropped.
pub struct Link {
    stream: Async<TcpStream>,
    extra: bool,
    overrun: Cell<bool>,
    _permit: ConnectionPermit,
}

impl Link {
    /// Wraps a stream and disables Nagle's algorithm on it.
    pub fn new(stream: Async<TcpStream>, permit: ConnectionPermit) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Link {
            stream,
            extra: false,
            overrun: Cell::new(false),
            _permit: permit,
        }
    }

    /// Marks a connection that was accepted beyond the limit for clients.
    pub fn as_extra(self, extra: bool) -> Self {
        Link { extra, ..self }
    }

    /// Returns true if the connection was accepted beyond the limit for clients.
    pub fn extra(&self) -> bool {
        self.extra
    }

    /// The other side's address; `-` if it is not available.
    pub fn peer(&self) -> String {
        self.stream
            .get_ref()
            .peer_addr()
            .map_or_else(|_| "-".into(), |a| a.to_string())
    }

    /// Reads input into the spare part of the buffer. 0: the other side has closed, or the buffer is full.
    ///
    /// # Errors
    ///
    /// The socket's error.
    pub async fn read(&self, buffer: &mut Buffer) -> io::Result<usize> {
        let count = (&self.stream).read(buffer.spare()).await?;
        buffer.grow(count);
        Ok(count)
    }

    /// Returns once the other side has closed the connection. Input until then belongs to its next messages and is kept in
    /// `rest`, which is allocated when the first byte arrives. Once the buffer is full, all input is discarded, as the close
    /// could not be noticed otherwise: the connection is overrun and ends after the answer that is due.
    pub async fn wait_until_closed(&self, rest: &mut Option<Buffer>, pool: &Rc<Pool>) -> Reason {
        // The socket is checked directly first: the poller's event comes one turn later, and by then the job of a client that
        // has disconnected could already be sent to a machine.
        if rest.is_none() && !self.stale() && self.readable().await.is_err() {
            return Reason::IoError;
        }
        let buffer = rest.get_or_insert_with(|| pool.take());
        loop {
            if self
                .overrun
                .replace(self.overrun.get() || buffer.spare().is_empty())
            {
                Timer::after(OVERRUN_READ_INTERVAL).await;
            }
            if self.overrun.get() {
                buffer.clear();
            }
            match self.read(buffer).await {
                Ok(0) => return Reason::PeerLeft,
                Ok(_) => {}
                Err(_) => return Reason::IoError,
            }
        }
    }

    /// Returns true if input was discarded while an answer was due. The input after that answer cannot be parsed then.
    pub fn overrun(&self) -> bool {
        self.overrun.get()
    }

    /// Returns true if there are bytes to read now; the end of the stream does not count.
    pub fn has_input(&self) -> bool {
        matches!(self.stream.get_ref().peek(&mut [0]), Ok(1..))
    }

    /// Returns once there are bytes to read or the stream has ended.
    ///
    /// # Errors
    ///
    /// The socket's error.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Returns true if an idle connection is unusable: the other side has closed it or sent unexpected bytes.
    pub fn stale(&self) -> bool {
        !matches!(self.stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Returns true if the other side has closed the connection and nothing is left to read.
    pub fn closed(&self) -> bool {
        match self.stream.get_ref().peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Writes all bytes and counts them in `bytes_written`, also when writing fails or is cancelled.
    ///
    /// # Errors
    ///
    /// The socket's error; `bytes_written` tells how much was written before.
    pub async fn write(&self, bytes: &[u8], bytes_written: &mut usize) -> io::Result<()> {
        while *bytes_written < bytes.len() {
            match (&self.stream).write(&bytes[*bytes_written..]).await? {
                0 => return Err(ErrorKind::WriteZero.into()),
                count => *bytes_written += count,
            }
        }
        Ok(())
    }

    /// Writes all bytes within the limit.
    ///
    /// # Errors
    ///
    /// [`Reason::IoError`] on an I/O error, [`Reason::Stalled`] if the limit passes first.
    pub async fn send(&self, bytes: &[u8], limit: Duration) -> Result<(), Reason> {
        let mut bytes_written = 0;
        let write = async {
            self.write(bytes, &mut bytes_written)
                .await
                .map_err(|_| Reason::IoError)
        };
        within(limit, Reason::Stalled, write).await
    }

    /// Shuts down the write side.
    pub fn shutdown_write(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Returns the stream, so that it can be passed to another process, and its place in the set, which is released when the
    /// second value is dropped.
    pub fn into_stream(self) -> Option<(TcpStream, ConnectionPermit)> {
        Some((self.stream.into_inner().ok()?, self._permit))
    }

    /// Writes the log line of a connection that has ended and closes it.
    pub fn log_end(self, side: &str, reason: Reason, about: impl Display) {
        log(format_args!(
            "conn side={side} peer={} reason={} {about}",
            self.peer(),
            reason.code()
        ));
    }
}
