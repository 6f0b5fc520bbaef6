//! One connection of the server, from its acceptance to its end.

use super::message::{HttpRequest, HttpResponse, receive};
use super::server::{HttpOptions, ServerState};
use super::stream::ServerStream;
use crate::clock::steady_ms;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

/// Smallest limit on a head that the HTTP library takes.
const HEADER_BYTES_MIN: usize = 8_192;

/// What a connection is about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of a request has come in.
    Idle,
    /// A request is coming in.
    Receiving,
    /// The handler works on a request.
    Answering,
}

/// How a connection is to end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// It goes on.
    Open,
    /// After the request in progress; at once if there is none.
    Graceful,
    /// At once.
    Abrupt,
}

/// How far a connection is; shared by its task, its socket and the server.
pub(super) struct Progress {
    phase: Cell<Phase>,
    since_ms: Cell<u64>,
    ending: Cell<Ending>,
    waker: RefCell<Option<Waker>>,
}

impl Progress {
    /// A connection that has just been accepted.
    pub(super) fn new() -> Progress {
        Progress {
            phase: Cell::new(Phase::Idle),
            since_ms: Cell::new(steady_ms()),
            ending: Cell::new(Ending::Open),
            waker: RefCell::default(),
        }
    }

    /// Bytes have come in.
    pub(super) fn received(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
    }

    /// Closes the connection if it has made its peer wait, or let itself be waited for, beyond the limits.
    pub(super) fn enforce(&self, options: &HttpOptions, now_ms: u64) {
        let waited = Duration::from_millis(now_ms.saturating_sub(self.since_ms.get()));
        let late = match self.phase.get() {
            Phase::Idle => waited > options.idle_timeout,
            Phase::Receiving => waited > options.header_timeout,
            Phase::Answering => false,
        };
        if late {
            self.end(Ending::Abrupt);
        }
    }

    /// Closes the connection after the request in progress; at once if there is none.
    pub(super) fn end_gracefully(&self) {
        self.end(Ending::Graceful);
    }

    /// Closes the connection at once.
    pub(super) fn end_abruptly(&self) {
        self.end(Ending::Abrupt);
    }

    /// Has the connection's task end it.
    fn end(&self, ending: Ending) {
        self.ending.set(ending);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Enters a phase.
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since_ms.set(steady_ms());
    }

    /// Wakes the connection's task with `waker` when it is to end.
    fn register(&self, waker: &Waker) {
        let mut kept = self.waker.borrow_mut();
        if !kept.as_ref().is_some_and(|kept| kept.will_wake(waker)) {
            *kept = Some(waker.clone());
        }
    }
}

/// Serves requests on `stream` until either side closes it.
pub(super) async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    progress: Rc<Progress>,
    server: Rc<ServerState>,
    handler: Rc<H>,
) where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let io = HyperStream::new_plain(ServerStream {
        stream,
        progress: progress.clone(),
    });
    let service = service_fn(|request| answer(request, peer, &progress, &server, &*handler));
    let mut builder = http1::Builder::new();
    // The time of day may be wrong here; an answer needs none.
    builder
        .auto_date_header(false)
        .max_buf_size(server.options().max_header_bytes.max(HEADER_BYTES_MIN));
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut ending = Ending::Open;
    let outcome = poll_fn(|context| {
        progress.register(context.waker());
        match progress.ending.get() {
            Ending::Abrupt => return Poll::Ready(Ok(())),
            Ending::Graceful if ending == Ending::Open => {
                ending = Ending::Graceful;
                connection.as_mut().graceful_shutdown();
            }
            _ => {}
        }
        connection.as_mut().poll(context)
    });
    if let Err(error) = outcome.await {
        log::debug!("the connection of {peer} has failed: {error}");
    }
}

/// Reads one request, has it handled and returns the answer.
async fn answer<H, F>(
    request: Request<Incoming>,
    peer: SocketAddr,
    progress: &Progress,
    server: &ServerState,
    handler: &H,
) -> Result<Response<http_body_util::Full<hyper::body::Bytes>>, Infallible>
where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    progress.enter(Phase::Receiving);
    let response = match receive(request, peer, server.options()).await {
        Ok(request) => {
            progress.enter(Phase::Answering);
            handler(request).await
        }
        Err(refusal) => refusal.response(),
    };
    progress.enter(Phase::Idle);
    Ok(response.into_hyper(server.is_ending()))
}
