//! Serving of one connection, from its acceptance to its end.

use super::message::{HttpRequest, HttpResponse, Origin};
use super::progress::{Ending, Phase, Progress};
use super::receive::receive;
use super::state::ServerState;
use super::stream::ServerStream;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

/// Smallest buffer size that the HTTP library accepts, in bytes. The exact limit on a head is enforced by `receive`.
const BUFFER_BYTES_MIN: usize = 8_192;

/// Serves requests on `stream` until either side closes it.
pub(super) async fn serve_connection<H, F>(
    stream: TcpStream,
    origin: Origin,
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
    let service = service_fn(|request| answer(request, origin, &progress, &server, &*handler));
    let mut builder = http1::Builder::new();
    // The time of day may be wrong on this machine, and the `Date` header is optional.
    builder
        .auto_date_header(false)
        .max_buf_size(server.options().max_header_bytes.max(BUFFER_BYTES_MIN));
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut ending = Ending::Open;
    let outcome = poll_fn(|context| {
        progress.register(context.waker());
        match progress.ending() {
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
        log::debug!("connection failed peer={} error={error}", origin.peer);
    }
}

/// Receives one request, passes it to the handler and returns the response.
async fn answer<H, F>(
    request: Request<Incoming>,
    origin: Origin,
    progress: &Progress,
    server: &ServerState,
    handler: &H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    progress.enter(Phase::Receiving);
    let response = match receive(request, origin, server.options()).await {
        Ok(request) => {
            progress.enter(Phase::Answering);
            handler(request).await
        }
        Err(rejection) => rejection.response(),
    };
    progress.enter(Phase::Idle);
    Ok(response.into_hyper(server.is_shutting_down()))
}
