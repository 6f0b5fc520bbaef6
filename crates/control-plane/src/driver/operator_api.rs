//! HTTP server for the operator's API.

use super::error::{DriverError, MissingSnafu, NetSnafu};
use super::event::Event;
use crate::inbox::Inbox;
use crate::operator::{self, CONFIG_BYTES_MAX, OperatorResponse};
use futures_channel::oneshot;
use indigofold_net::http::{self, HttpOptions, HttpRequest, HttpResponse, HttpServer};
use indigofold_settings::Settings;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;

/// Starts the HTTP server. Valid requests are pushed to the inbox.
///
/// # Errors
///
/// The settings have no address for the API, or the address cannot be listened on.
pub(super) async fn serve(
    settings: &Settings,
    inbox: &Inbox<Event>,
) -> Result<HttpServer, DriverError> {
    let options = HttpOptions {
        max_body_bytes: CONFIG_BYTES_MAX,
        ..HttpOptions::default()
    };
    let inbox = inbox.clone();
    let handler = move |request| respond(inbox.clone(), request);
    http::serve(address(settings)?, options, handler)
        .await
        .context(NetSnafu)
}

/// Returns the address of the operator's API.
///
/// # Errors
///
/// The settings have no such address.
pub(super) fn address(settings: &Settings) -> Result<SocketAddr, DriverError> {
    let address = settings.bind_addrs.control_plane;
    address.context(MissingSnafu {
        field: "bind_addrs.control_plane",
        needed: "the address of the operator's API",
    })
}

/// Passes one request to the driver and waits for the response. If the driver drops the request, the response is
/// [`OperatorResponse::NoHead`].
async fn respond(inbox: Inbox<Event>, request: HttpRequest) -> HttpResponse {
    let request = match operator::parse_request(request) {
        Ok(request) => request,
        Err(response) => return response,
    };
    let (reply, response) = oneshot::channel();
    inbox.push(Event::Operator { request, reply });
    operator::write_response(response.await.unwrap_or(OperatorResponse::NoHead))
}
