//! HTTP server of the operator's API.

use super::error::{DriverError, MissingSnafu, NetSnafu};
use super::event::Event;
use crate::inbox::Inbox;
use crate::operator::{self, CONFIG_BYTES_MAX, OperatorResponse};
use futures_channel::oneshot;
use indigofold_net::http::{self, HttpOptions, HttpRequest, HttpResponse, HttpServer};
use indigofold_settings::Settings;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;

/// Serves the operator's API; requests go to the inbox.
///
/// # Errors
///
/// The settings have no address for it, or the address cannot be used.
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

/// The address of the operator's API.
///
/// # Errors
///
/// The settings have none.
pub(super) fn address(settings: &Settings) -> Result<SocketAddr, DriverError> {
    let address = settings.bind_addrs.control_plane;
    address.context(MissingSnafu {
        field: "bind_addrs.control_plane",
        needed: "the address of the operator's API",
    })
}

/// Responds to one request of the operator.
async fn respond(inbox: Inbox<Event>, request: HttpRequest) -> HttpResponse {
    let request = match operator::parse_request(request) {
        Ok(request) => request,
        Err(response) => return response,
    };
    let (reply, response) = oneshot::channel();
    inbox.push(Event::Operator { request, reply });
    operator::write_response(response.await.unwrap_or(OperatorResponse::NoHead))
}
