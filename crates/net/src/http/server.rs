//! The server: its listener, its connections, its end.

use super::connection::{Progress, serve_connection};
use super::message::{HttpRequest, HttpResponse};
use crate::clock::steady_ms;
use crate::error::{ListenSnafu, NetError};
use crate::runtime::{self, Task, sleep, timeout};
use crate::socket;
use compio::net::{TcpListener, TcpStream};
use snafu::ResultExt;
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Duration;

/// Pause after a connection could not be accepted, because no descriptor is free for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Limits on what comes in; may be changed while the server runs ([`HttpServer::set_options`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpOptions {
    /// Most bytes of a request's head; above it the answer is 431.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body; above it the answer is 413.
    pub max_body_bytes: usize,
    /// Time for a request's head, and after it for its body, to come in. Kept to within half of itself.
    pub header_timeout: Duration,
    /// A connection without a request is closed after this time.
    pub idle_timeout: Duration,
}

impl Default for HttpOptions {
    fn default() -> Self {
        HttpOptions {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout: Duration::from_millis(3_000),
            idle_timeout: Duration::from_millis(15_000),
        }
    }
}

/// What the server's tasks share.
pub(super) struct ServerState {
    options: Cell<HttpOptions>,
    ending: Cell<bool>,
    connections: RefCell<Vec<Weak<Progress>>>,
    open: Cell<usize>,
    /// The task that enforces time limits is at work.
    watched: Cell<bool>,
    drained: RefCell<Option<Waker>>,
}

impl ServerState {
    /// The limits in force.
    pub(super) fn options(&self) -> HttpOptions {
        self.options.get()
    }

    /// Each answer is to close its connection.
    pub(super) fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Calls `act` for each open connection and forgets those that are closed.
    fn for_each_connection(&self, act: impl Fn(&Progress)) {
        self.connections.borrow_mut().retain(|connection| {
            let connection = connection.upgrade();
            connection.inspect(|progress| act(progress)).is_some()
        });
    }

    /// A connection has ended.
    fn closed(&self) {
        self.open.set(self.open.get() - 1);
        if self.open.get() == 0
            && let Some(waker) = self.drained.borrow_mut().take()
        {
            waker.wake();
        }
    }

    /// Waits until no connection is open.
    async fn until_drained(&self) {
        poll_fn(|context| {
            if self.open.get() == 0 {
                return Poll::Ready(());
            }
            *self.drained.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

/// A running server; cheap to clone. It goes on when all handles are dropped.
#[derive(Clone)]
pub struct HttpServer {
    state: Rc<ServerState>,
    address: SocketAddr,
    accepting: Rc<RefCell<Option<Task<()>>>>,
}

/// Serves HTTP/1.1 on `address`: each request is read whole and answered with what `handler` returns. A handler's
/// future is dropped if its client closes the connection.
pub async fn serve<H, F>(
    address: SocketAddr,
    options: HttpOptions,
    handler: H,
) -> Result<HttpServer, NetError>
where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let listener = socket::listen(address).await?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    let state = Rc::new(ServerState {
        options: Cell::new(options),
        ending: Cell::new(false),
        connections: RefCell::default(),
        open: Cell::new(0),
        watched: Cell::new(false),
        drained: RefCell::default(),
    });
    let accepting = runtime::spawn_scoped(accept(listener, state.clone(), Rc::new(handler)));
    Ok(HttpServer {
        state,
        address,
        accepting: Rc::new(RefCell::new(Some(accepting))),
    })
}

impl HttpServer {
    /// The address listened on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the limits of requests that come in from now on.
    pub fn set_options(&self, options: HttpOptions) {
        self.state.options.set(options);
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.open.get()
    }

    /// Ends the service. From now on each answer closes its connection (`Connection: close`); connections without a
    /// request stay open for `idle_grace`, so that a request that crosses the end is still served. New connections are
    /// taken for that time too. Returns once all connections are closed; after `limit` the rest is cut.
    pub async fn shutdown(&self, idle_grace: Duration, limit: Duration) {
        self.state.ending.set(true);
        sleep(idle_grace.min(limit)).await;
        self.accepting.borrow_mut().take();
        self.state.for_each_connection(Progress::end_gracefully);
        if timeout(limit.saturating_sub(idle_grace), self.state.until_drained())
            .await
            .is_none()
        {
            self.state.for_each_connection(Progress::end_abruptly);
            self.state.until_drained().await;
        }
    }
}

/// Takes connections for as long as the server runs.
async fn accept<H, F>(listener: TcpListener, state: Rc<ServerState>, handler: Rc<H>)
where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => open(stream, peer, &state, &handler),
            Err(error) => {
                log::warn!("a connection cannot be accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Starts the task of a new connection.
fn open<H, F>(stream: TcpStream, peer: SocketAddr, state: &Rc<ServerState>, handler: &Rc<H>)
where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    if let Err(error) = socket::set_options(&stream) {
        log::debug!("the connection of {peer} has gone: {error}");
        return;
    }
    let progress = Rc::new(Progress::new());
    state
        .connections
        .borrow_mut()
        .push(Rc::downgrade(&progress));
    state.open.set(state.open.get() + 1);
    let (serving, handler) = (state.clone(), handler.clone());
    runtime::spawn(async move {
        serve_connection(stream, peer, progress, serving.clone(), handler).await;
        serving.closed();
    });
    if !state.watched.replace(true) {
        runtime::spawn(watch(state.clone()));
    }
}

/// Enforces the time limits for as long as a connection is open. One timer serves all of them.
async fn watch(state: Rc<ServerState>) {
    while state.open.get() > 0 {
        let options = state.options();
        sleep(options.header_timeout.min(options.idle_timeout) / 2).await;
        let (options, now_ms) = (state.options(), steady_ms());
        state.for_each_connection(|progress| progress.enforce(&options, now_ms));
    }
    state.watched.set(false);
}
