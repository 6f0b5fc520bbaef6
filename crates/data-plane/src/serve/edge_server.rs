//! The process of the edge: serves clients' HTTP requests and the platform's readiness checks.

use super::edge_role::{AwaitedAnswer, EdgeRole, http_options};
use super::error::{NoAddressSnafu, ServeError};
use super::lifecycle::until_terminated;
use super::role_process::RoleProcess;
use crate::edge::{self, Answer, ClientCallId, DEADLINE_HEADER, NewCall, parse_request};
use indigofold_net::http::{
    self, HttpOptions, HttpRequest, HttpResponse, HttpServer, Method, header,
};
use indigofold_net::signals::Signals;
use indigofold_net::{build, runtime, steady_ms};
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::ProcessKind;
use indigofold_settings::Settings;
use snafu::OptionExt;
use std::time::Duration;

/// Time after SIGTERM for which new calls are still served, until the platform routes no new clients here.
const DRAINING_MS: u64 = 2_500;
/// The process ends this long before the platform kills it.
const GRACE_MARGIN_MS: u64 = 700;
/// Time after draining for which connections without a request stay open.
const IDLE_GRACE_MS: u64 = 300;

/// Serves clients until the platform stops the process.
pub(super) async fn serve(settings: Settings) -> Result<(), ServeError> {
    let role = settings.role.clone();
    let address = settings.bind_addrs.frontend;
    let frontend_address = address.context(NoAddressSnafu {
        field: "frontend",
        role: role.clone(),
    })?;
    let address = settings.bind_addrs.readiness;
    let readiness_address = address.context(NoAddressSnafu {
        field: "readiness",
        role,
    })?;
    let mut signals = Signals::register()?;
    let node = RoleProcess::new(&settings, ProcessKind::Edge, EdgeRole::new());

    let client_node = node.clone();
    let options = http_options(&IngressLimits::default());
    let handle_call = move |request| answer_call(client_node.clone(), request);
    let frontend = http::serve(frontend_address, options, handle_call).await?;
    node.with_role(|role| role.set_frontend(frontend.clone()));

    let readiness_node = node.clone();
    let handle_readiness = move |request| answer_readiness(readiness_node.clone(), request);
    let _readiness_server =
        http::serve(readiness_address, HttpOptions::default(), handle_readiness).await?;
    node.start();
    log::info!(
        "edge serving node={} address={frontend_address} sources={}",
        settings.node_name,
        build::SOURCES
    );

    until_terminated(&mut signals, &node).await;
    drain(&settings, &node, &frontend).await;
    Ok(())
}

/// Drains the edge: serves new calls until the platform routes no new clients here, then finishes the calls in
/// progress.
async fn drain(settings: &Settings, node: &RoleProcess<EdgeRole>, frontend: &HttpServer) {
    log::info!("SIGTERM received, not ready any more, draining calls");
    node.with_role(EdgeRole::stop);
    let grace_ms = (settings.bounds.grace_s * 1_000.0) as u64;
    let draining_ms = DRAINING_MS.min(grace_ms / 2);
    runtime::sleep(Duration::from_millis(draining_ms)).await;
    let limit_ms = grace_ms.saturating_sub(draining_ms + GRACE_MARGIN_MS);
    let idle_grace = Duration::from_millis(IDLE_GRACE_MS.min(limit_ms));
    frontend
        .shutdown(idle_grace, Duration::from_millis(limit_ms))
        .await;
    log::info!("stopped open_connections={}", frontend.open_connections());
}

/// Abandons a call if dropped before the call is answered, which happens when the client disconnects.
struct CallGuard {
    node: RoleProcess<EdgeRole>,
    call: ClientCallId,
    answered: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.node.with_role(|role| role.abandon(self.call));
        }
    }
}

async fn answer_call(node: RoleProcess<EdgeRole>, request: HttpRequest) -> HttpResponse {
    let method = match request.method {
        Method::POST => edge::Method::Post,
        Method::GET => edge::Method::Get,
        Method::DELETE => edge::Method::Delete,
        _ => edge::Method::Other,
    };
    let parsed = match parse_request(method, request.header(DEADLINE_HEADER), &request.body) {
        Ok(parsed) => parsed,
        Err(answer) => return response(&answer),
    };
    let call = NewCall {
        host: request.host,
        path: request.path,
        request: parsed,
    };
    let AwaitedAnswer { call, receiver } = node.with_role(|role| role.begin(call));
    let mut guard = CallGuard {
        node,
        call,
        answered: false,
    };
    let answer = receiver.await;
    guard.answered = answer.is_ok();
    response(&answer.unwrap_or_else(|_| Answer::no_reply()))
}

#[expect(clippy::unused_async, reason = "HTTP handlers are asynchronous")]
async fn answer_readiness(node: RoleProcess<EdgeRole>, _request: HttpRequest) -> HttpResponse {
    let ready = node.with_role(|role| role.is_ready(steady_ms()));
    HttpResponse::new(if ready { 200 } else { 503 })
}

fn response(answer: &Answer) -> HttpResponse {
    let response = HttpResponse::json(answer.status, answer.json());
    match answer.retry_after_s {
        Some(seconds) => response.with_header(header::RETRY_AFTER, &seconds.to_string()),
        None => response,
    }
}
