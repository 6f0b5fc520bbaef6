//! What every front needs of the network: buffers, the set of connections, framing, the line that each
//! connection leaves when it ends.

pub mod buffer;
pub mod http;
pub mod log;
pub mod set;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use buffer::{Buffer, Pool};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future::yield_now};
pub use log::log;
use set::{Direction, Rank, Seat, Set};
use std::cell::Cell;
use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Between two tries to accept while there is no room.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The first message must be complete this long after the connection was accepted, and each later one this long after
/// its first byte: who sends nothing, or a byte now and then, holds a descriptor for no longer.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A new connection's first message may be on its way for so long: until then it is not the first to go.
const FRESH_FOR: Duration = Duration::from_millis(150);
/// An answer must be taken within this time.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long, and over how many bytes, a refused message is read on.
const LINGER_TIMEOUT: Duration = Duration::from_millis(2_000);
const MAX_LINGER_BYTES: usize = 64 << 20;
/// Between two reads of what is thrown away while an answer is due.
const OVERRUN_READ_INTERVAL: Duration = Duration::from_millis(1);
/// Connections that may wait to be accepted: a burst of them must not cost others a second try to connect.
const ACCEPT_BACKLOG: i32 = 1024;

/// Listens at an address.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(at)?;
    rustix::net::listen(&listener, ACCEPT_BACKLOG)?;
    Async::new(listener)
}

/// Tasks, buffers and connections of the one thread.
#[derive(Clone)]
pub struct Net {
    tasks: Rc<LocalExecutor<'static>>,
    /// Where buffers come from.
    pub pool: Rc<Pool>,
    /// All connections.
    pub set: Rc<Set>,
}

impl Net {
    /// For a process that may hold so many descriptors and use so much memory.
    pub fn new(tasks: Rc<LocalExecutor<'static>>, descriptors: usize, memory_mb: usize) -> Self {
        Net {
            tasks,
            pool: Pool::new(memory_mb),
            set: Set::new(descriptors),
        }
    }

    /// The process may hold so many descriptors and use so much memory from now on.
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

    /// The next connection. At the limit, the one of the lowest rank is evicted, and this one is accepted without waiting
    /// for that: job workers' reports come on new connections, and must not queue behind a flood. Where none can be
    /// evicted, a few are accepted beyond the limit, for the sake of reports.
    async fn accept(&self, listener: &Async<TcpListener>) -> Link {
        loop {
            // Nothing is reserved or evicted before a connection waits.
            let _ = listener.readable().await;
            let seat = match self.set.seat(Direction::Inbound) {
                Some(seat) => Some((seat, false)),
                None => {
                    let evicted = self.set.evict_one();
                    self.set
                        .seat(Direction::InboundExtra)
                        .map(|seat| (seat, !evicted))
                }
            };
            let Some((seat, extra)) = seat else {
                Timer::after(RETRY_INTERVAL).await;
                continue;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.set.thin_out(Instant::now());
                    return Link::new(stream, seat).as_extra(extra);
                }
                Err(error) => {
                    drop(seat);
                    log(format_args!("accept failed: {error}"));
                    if !matches!(
                        error.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) {
                        self.set.evict_one(); // no descriptor is left (EMFILE): make room
                        Timer::after(RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// A buffer for a message that begins to come. Where there is no room, connections whose first message is not
    /// complete are evicted.
    ///
    /// # Errors
    ///
    /// [`Reason::NoCapacity`] if there is no room in time.
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
    /// The reason of `work`, or that the connection was evicted.
    pub async fn unless_evicted<T>(
        &self,
        rank: Rank,
        work: impl Future<Output = Result<T, Reason>>,
    ) -> Result<T, Reason> {
        self.unless_evicted_or_drained(rank, false, work).await
    }

    /// The same; a client's connection is also evicted as the program drains.
    ///
    /// # Errors
    ///
    /// The reason of `work`, or that the connection was evicted.
    pub async fn unless_evicted_or_drained<T>(
        &self,
        rank: Rank,
        client: bool,
        work: impl Future<Output = Result<T, Reason>>,
    ) -> Result<T, Reason> {
        let offer = self.set.offer(rank, client);
        if matches!(rank, Rank::Once | Rank::Used) {
            self.set.thin_out(Instant::now());
        }
        let evicted = async {
            offer.evicted().await;
            Err(Reason::Evicted)
        };
        work.or(evicted).await
    }

    /// The same for what an accepted connection does first: it is of this rank once it is no longer fresh.
    ///
    /// # Errors
    ///
    /// The reason of `work`, or that the connection was evicted.
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

    /// Ends a connection on which the last answer has been written: says that no more is written, and reads on over what
    /// still comes. A close with bytes unread would reset the answer away. A few bytes a turn, and no more than a body that
    /// is far too large; it goes first where room is needed.
    pub async fn linger(&self, link: &Link) {
        link.shut();
        let rest = async {
            let mut left = MAX_LINGER_BYTES;
            while left > 0 {
                // A buffer is only held while there is something to read.
                link.readable().await.map_err(|_| Reason::Broke)?;
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

    /// Dials; no longer than the limit.
    ///
    /// # Errors
    ///
    /// Why there is no connection: no descriptor, refused, or not in time.
    pub async fn dial(&self, to: SocketAddr, limit: Duration) -> Result<Link, Reason> {
        let Some(seat) = self.set.seat(Direction::Outbound) else {
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
        Ok(Link::new(stream, seat))
    }
}

async fn after<T>(limit: Duration, reason: Reason) -> Result<T, Reason> {
    Timer::after(limit).await;
    Err(reason)
}

/// Runs something for no longer than the limit.
///
/// # Errors
///
/// The reason of the work, or `late` if the limit is over first.
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
    /// It broke.
    Broke,
    /// This side closed it after a message, as one side had announced.
    Done,
    /// What came could not be understood.
    Malformed,
    /// Nothing came, from the start on.
    NothingSent,
    /// A message came too slowly.
    Slow,
    /// The other side took no bytes.
    Stalled,
    /// It stood idle for too long.
    Idle,
    /// It was closed to make room.
    Evicted,
    /// It was closed as the program stops.
    Stopping,
    /// It was closed as operators drain the program.
    Drained,
    /// The attempt on it was given up.
    GivenUp,
    /// What was to go out on it was not to go any more.
    Withheld,
    /// No answer in time.
    Unanswered,
    /// It was refused.
    Refused,
    /// It did not come up in time.
    DialTimeout,
    /// There was no descriptor for it.
    NoCapacity,
    /// The password or the first message was wrong.
    Rejected,
    /// It goes on in the process that takes over.
    Migrated,
}

impl Reason {
    /// Was an answer the last that this side had to say?
    pub fn after_answer(self) -> bool {
        matches!(
            self,
            Reason::Done | Reason::Malformed | Reason::Slow | Reason::NoCapacity
        )
    }

    /// The code in the log.
    pub fn code(self) -> &'static str {
        match self {
            Reason::PeerClosed => "peer-closed",
            Reason::PeerLeft => "peer-left",
            Reason::Broke => "broke",
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

/// A connection and its place in the set.
pub struct Link {
    stream: Async<TcpStream>,
    extra: bool,
    overrun: Cell<bool>,
    _seat: Seat,
}

impl Link {
    /// Takes over a stream.
    pub fn new(stream: Async<TcpStream>, seat: Seat) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Link {
            stream,
            extra: false,
            overrun: Cell::new(false),
            _seat: seat,
        }
    }

    /// Marks a connection that was let in beyond the room for clients.
    pub fn as_extra(self, extra: bool) -> Self {
        Link { extra, ..self }
    }

    /// Was it let in beyond the room for clients?
    pub fn extra(&self) -> bool {
        self.extra
    }

    /// The other side's address.
    pub fn peer(&self) -> String {
        self.stream
            .get_ref()
            .peer_addr()
            .map_or_else(|_| "-".into(), |a| a.to_string())
    }

    /// Reads what has come into the buffer's room. 0: the other side has closed, or the buffer is full.
    ///
    /// # Errors
    ///
    /// That of the socket.
    pub async fn read(&self, buffer: &mut Buffer) -> io::Result<usize> {
        let count = (&self.stream).read(buffer.spare()).await?;
        buffer.grow(count);
        Ok(count)
    }

    /// Returns once the other side has left. What it sends until then is its next messages, and is kept; a
    /// buffer is only held once there is something. More than a buffer holds is thrown away, as its leaving would not be
    /// seen behind it: the connection is overrun, and ends with the answer that is due.
    pub async fn wait_until_closed(&self, rest: &mut Option<Buffer>, pool: &Rc<Pool>) -> Reason {
        // The socket itself is checked first: the poller's event comes a turn later, and by then the job of a client that
        // has left could have been sent.
        if rest.is_none() && !self.stale() && self.readable().await.is_err() {
            return Reason::Broke;
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
                Err(_) => return Reason::Broke,
            }
        }
    }

    /// Has the other side sent more than is kept while an answer is due? Then nothing after that answer can be understood.
    pub fn overrun(&self) -> bool {
        self.overrun.get()
    }

    /// Is there something to read now, the end not included?
    pub fn has_input(&self) -> bool {
        matches!(self.stream.get_ref().peek(&mut [0]), Ok(1..))
    }

    /// Returns once there is something to read, the end included.
    ///
    /// # Errors
    ///
    /// That of the socket.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Has the other side closed an idle connection, or sent what it should not?
    pub fn stale(&self) -> bool {
        !matches!(self.stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Has the other side closed it, with nothing left to read?
    pub fn closed(&self) -> bool {
        match self.stream.get_ref().peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Writes all of it and counts what went out, also when it breaks off.
    ///
    /// # Errors
    ///
    /// That of the socket; `bytes_written` says how far it came.
    pub async fn write(&self, bytes: &[u8], bytes_written: &mut usize) -> io::Result<()> {
        while *bytes_written < bytes.len() {
            match (&self.stream).write(&bytes[*bytes_written..]).await? {
                0 => return Err(ErrorKind::WriteZero.into()),
                count => *bytes_written += count,
            }
        }
        Ok(())
    }

    /// Writes all of it within a time.
    ///
    /// # Errors
    ///
    /// Why not all of it was written in time.
    pub async fn send(&self, bytes: &[u8], limit: Duration) -> Result<(), Reason> {
        let mut bytes_written = 0;
        let write = async {
            self.write(bytes, &mut bytes_written)
                .await
                .map_err(|_| Reason::Broke)
        };
        within(limit, Reason::Stalled, write).await
    }

    /// Says that no more will be written.
    pub fn shut(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// The stream, to be passed on: the connection stays, and its place in the set is given back with the second.
    pub fn into_stream(self) -> Option<(TcpStream, Seat)> {
        Some((self.stream.into_inner().ok()?, self._seat))
    }

    /// Leaves the line of a connection that has ended.
    pub fn end(self, side: &str, reason: Reason, about: impl Display) {
        log(format_args!(
            "conn side={side} peer={} reason={} {about}",
            self.peer(),
            reason.code()
        ));
    }
}
