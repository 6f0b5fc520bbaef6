//! The operator's HTTP calls and the answers to them.

use crate::config_authority::{Answer, Order, OrderKind};
use indigofold_net::http::{HttpRequest, HttpResponse, Method, header};
use std::net::SocketAddr;

/// The path of the operator's API.
pub const CONFIG_PATH: &str = "/config";
/// Largest configuration that is taken, in bytes.
pub const CONFIG_BYTES_MAX: usize = 16 << 20;

/// A call of the operator.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// `GET /config`.
    Read,
    /// `PUT /config` or `PATCH /config`.
    Change(Order),
}

/// What an operator's call is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The answer to an order.
    Order(Answer),
    /// The newest committed configuration.
    Config(Vec<u8>),
    /// There is no configuration yet.
    NoConfig,
    /// This is the member to ask: its control address.
    AskHead(SocketAddr),
    /// No member is known that could answer.
    NoHead,
}

/// Reads a call; what is none of the operator's calls is answered at once.
pub fn read_call(request: HttpRequest) -> Result<OperatorCall, HttpResponse> {
    if request.path != CONFIG_PATH {
        return Err(problem(
            404,
            &format!("no such path; {CONFIG_PATH} is served here"),
        ));
    }
    let kind = match request.method {
        Method::GET => return Ok(OperatorCall::Read),
        Method::PUT => OrderKind::Put,
        Method::PATCH => OrderKind::Patch,
        _ => return Err(problem(405, "GET, PUT and PATCH are served here")),
    };
    let if_match = request.header(header::IF_MATCH.as_str()).map(str::to_owned);
    Ok(OperatorCall::Change(Order {
        kind,
        if_match,
        body: request.body,
    }))
}

/// The answer as it goes out.
pub fn write_answer(answer: OperatorAnswer) -> HttpResponse {
    match answer {
        OperatorAnswer::Order(Answer::Taken { version }) => {
            HttpResponse::json(200, format!("{{\"version\":{version}}}"))
        }
        OperatorAnswer::Order(Answer::Invalid { reason }) => problem(400, &reason),
        OperatorAnswer::Order(Answer::OtherVersion { current }) => {
            problem(412, &format!("version {current} is current"))
        }
        OperatorAnswer::Order(Answer::Unclear) => {
            problem(503, "the order may or may not be taken; send it again")
        }
        OperatorAnswer::Order(Answer::Forgotten { remembered_from }) => problem(
            503,
            &format!(
                "the order may have been taken: only those that became version {remembered_from} or a later one are \
                 remembered; read the configuration"
            ),
        ),
        OperatorAnswer::Config(text) => HttpResponse::json(200, text),
        OperatorAnswer::NoConfig => problem(503, "there is no configuration yet"),
        OperatorAnswer::AskHead(control) => {
            let location = format!("http://{control}{CONFIG_PATH}");
            HttpResponse::new(307).with_header(header::LOCATION, &location)
        }
        OperatorAnswer::NoHead => problem(503, "no head is at work; try again"),
    }
}

/// An answer that tells what is wrong.
fn problem(status: u16, reason: &str) -> HttpResponse {
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
