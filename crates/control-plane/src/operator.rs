//! HTTP requests of the operator's API, and the responses to them.

use crate::config_authority::{ChangeResponse, ConfigChange, ConfigMethod};
use indigofold_net::http::{HttpRequest, HttpResponse, Method, header};
use std::net::SocketAddr;

/// The only path that the operator's API serves.
pub const CONFIG_PATH: &str = "/config";
/// Largest request body, and so the largest configuration, that is accepted, in bytes.
pub const CONFIG_BYTES_MAX: usize = 16 << 20;

/// A request of the operator.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// `GET /config`.
    Read,
    /// `PUT /config` or `PATCH /config`.
    Change(ConfigChange),
}

/// Response to a request of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The response to a change.
    Change(ChangeResponse),
    /// The newest committed configuration, as JSON.
    Config(Vec<u8>),
    /// No configuration has been accepted yet.
    NoConfig,
    /// Another member is the head; holds the control address of that member.
    RedirectToHead(SocketAddr),
    /// This member knows no acting head.
    NoHead,
}

/// Parses a request.
///
/// # Errors
///
/// The request's path or method is not served; the error is the response to send.
pub fn parse_request(request: HttpRequest) -> Result<OperatorRequest, HttpResponse> {
    if request.path != CONFIG_PATH {
        return Err(error_response(
            404,
            &format!("no such path; {CONFIG_PATH} is served here"),
        ));
    }
    let method = match request.method {
        Method::GET => return Ok(OperatorRequest::Read),
        Method::PUT => ConfigMethod::Put,
        Method::PATCH => ConfigMethod::Patch,
        _ => {
            return Err(error_response(405, "GET, PUT and PATCH are served here"));
        }
    };
    let if_match = request.header(header::IF_MATCH.as_str()).map(str::to_owned);
    Ok(OperatorRequest::Change(ConfigChange {
        method,
        if_match,
        body: request.body,
    }))
}

/// Converts a response to HTTP.
pub fn write_response(response: OperatorResponse) -> HttpResponse {
    match response {
        OperatorResponse::Change(ChangeResponse::Accepted { version }) => {
            HttpResponse::json(200, format!("{{\"version\":{version}}}"))
        }
        OperatorResponse::Change(ChangeResponse::Invalid { reason }) => {
            error_response(400, &reason)
        }
        OperatorResponse::Change(ChangeResponse::VersionConflict { current }) => {
            error_response(412, &format!("version {current} is current"))
        }
        OperatorResponse::Change(ChangeResponse::Undetermined) => {
            error_response(503, "the order may or may not be taken; send it again")
        }
        OperatorResponse::Change(ChangeResponse::Forgotten { remembered_from }) => error_response(
            503,
            &format!(
                "the order may have been taken: only those that became version {remembered_from} or a later one are \
                 remembered; read the configuration"
            ),
        ),
        OperatorResponse::Config(text) => HttpResponse::json(200, text),
        OperatorResponse::NoConfig => error_response(503, "there is no configuration yet"),
        OperatorResponse::RedirectToHead(control) => {
            let location = format!("http://{control}{CONFIG_PATH}");
            HttpResponse::new(307).with_header(header::LOCATION, &location)
        }
        OperatorResponse::NoHead => error_response(503, "no head is at work; try again"),
    }
}

/// Returns a response with the JSON body `{"error": reason}`. Control characters in `reason` become spaces.
fn error_response(status: u16, reason: &str) -> HttpResponse {
    let mut body = String::from("{\"error\":\"");
    for character in reason.chars() {
        match character {
            '"' | '\\' => body.extend(['\\', character]),
            c if c.is_control() => body.push(' '),
            c => body.push(c),
        }
    }
    body.push_str("\"}");
    HttpResponse::json(status, body)
}
