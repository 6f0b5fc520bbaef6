//! The server: accepting connections, enforcing time limits, and shutdown.

use super::connection::serve_connection;
use super::message::{HttpRequest, HttpResponse, Origin};
use super::options::HttpOptions;
use super::progress::Progress;
use super::state::ServerState;
use crate::clock::steady_ms;
use crate::error::{ListenSnafu, NetError};
use crate::runtime::{self, Task, sleep, timeout};
use crate::socket;
use compio::net::{TcpListener, TcpStream};
use snafu::ResultExt;
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time until the next attempt after accepting a connection failed, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Handle of a running server; cheap to clone. The server keeps running when all handles are dropped.
#[derive(Clone)]
pub struct HttpServer {
    state: Rc<ServerState>,
    address: SocketAddr,
    accept_task: Rc<RefCell<Option<Task<()>>>>,
}

/// Serves HTTP/1.1 on `address`: each request is received completely and answered with the response that `handler`
/// returns. A handler's future is dropped if its client closes the connection.
///
/// # Errors
///
/// [`NetError::Listen`] if the address cannot be bound.
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
    let state = Rc::new(ServerState::new(options));
    let accept_task = runtime::spawn_scoped(accept_connections(
        listener,
        state.clone(),
        Rc::new(handler),
    ));
    Ok(HttpServer {
        state,
        address,
        accept_task: Rc::new(RefCell::new(Some(accept_task))),
    })
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl HttpServer {
    /// The address that the server is bound to, with its actual port.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the limits for requests that are received from now on.
    pub fn set_options(&self, options: HttpOptions) {
        self.state.set_options(options);
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections()
    }

    /// Shuts the server down. From now on each response closes its connection (`Connection: close`). For `idle_grace`,
    /// idle connections stay open and new ones are accepted, so that requests already on their way are still served.
    /// Returns once all connections are closed; connections that are still open after `limit` are closed abruptly.
    pub async fn shutdown(&self, idle_grace: Duration, limit: Duration) {
        self.state.begin_shutdown();
        sleep(idle_grace.min(limit)).await;
        self.accept_task.borrow_mut().take();
        self.state.for_each_connection(Progress::end_gracefully);
        if timeout(
            limit.saturating_sub(idle_grace),
            self.state.wait_until_drained(),
        )
        .await
        .is_none()
        {
            self.state.for_each_connection(Progress::end_abruptly);
            self.state.wait_until_drained().await;
        }
    }
}

/// Accepts connections until the server shuts down.
async fn accept_connections<H, F>(listener: TcpListener, state: Rc<ServerState>, handler: Rc<H>)
where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => start_connection(stream, peer, &state, &handler),
            Err(error) => {
                log::warn!("accepting a connection failed error={error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Starts the task that serves a new connection.
fn start_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    state: &Rc<ServerState>,
    handler: &Rc<H>,
) where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    if let Err(error) = socket::set_options(&stream) {
        log::debug!("setting socket options failed peer={peer} error={error}");
        return;
    }
    let progress = Rc::new(Progress::new());
    let origin = Origin {
        peer,
        connection: state.add_connection(&progress),
    };
    let (server, handler) = (state.clone(), handler.clone());
    runtime::spawn(async move {
        serve_connection(stream, origin, progress, server.clone(), handler).await;
        server.remove_connection();
    });
    if !state.set_limits_enforced(true) {
        runtime::spawn(enforce_time_limits(state.clone()));
    }
}

/// Enforces the time limits while any connection is open, with one timer for all connections.
async fn enforce_time_limits(state: Rc<ServerState>) {
    while state.open_connections() > 0 {
        let options = state.options();
        sleep(options.header_timeout.min(options.idle_timeout) / 2).await;
        let (options, now_ms) = (state.options(), steady_ms());
        state.for_each_connection(|progress| progress.enforce_time_limit(&options, now_ms));
    }
    state.set_limits_enforced(false);
}
