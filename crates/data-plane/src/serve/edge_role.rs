//! The edge as a process.

use super::error::{NoAddressSnafu, ServeError};
use super::lifecycle::until_terminated;
use super::node::Node;
use super::role::{HeadStatus, Role};
use crate::edge::{
    self, Answer, BegunCall, CallId, CallLimits, Calls, DEADLINE_HEADER, Effect, NewCall,
    ParsedRequest, Readiness, parse_request,
};
use futures_channel::oneshot;
use indigofold_net::http::{
    self, HttpOptions, HttpRequest, HttpResponse, HttpServer, Method, header,
};
use indigofold_net::signals::Signals;
use indigofold_net::{runtime, steady_ms};
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::{Frame, ProcessKind};
use indigofold_settings::Settings;
use snafu::OptionExt;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// After SIGTERM calls are served as before for this long, until the platform routes no new clients here.
const DRAINING_MS: u64 = 2_500;
/// The process ends this long before the platform would kill it.
const GRACE_MARGIN_MS: u64 = 700;
/// After [`DRAINING_MS`] a connection without a request is closed after this time.
const IDLE_GRACE_MS: u64 = 300;

struct EdgeRole {
    calls: Calls,
    readiness: Readiness,
    waiters: HashMap<CallId, oneshot::Sender<Answer>>,
    outbox: Vec<Rc<Frame>>,
    frontend: Option<HttpServer>,
    limits: Option<IngressLimits>,
}

impl EdgeRole {
    fn new() -> Self {
        EdgeRole {
            calls: Calls::new(CallLimits::default()),
            readiness: Readiness::default(),
            waiters: HashMap::new(),
            outbox: Vec::new(),
            frontend: None,
            limits: None,
        }
    }

    /// Takes over a client's call; the answer comes over the channel.
    fn begin(
        &mut self,
        request: &HttpRequest,
        parsed: ParsedRequest,
    ) -> (CallId, oneshot::Receiver<Answer>) {
        let call = NewCall {
            host: request.host.clone(),
            path: request.path.clone(),
            request: parsed,
        };
        let BegunCall { id, effect } = self.calls.begin(steady_ms(), call);
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(id, sender);
        self.apply(effect);
        (id, receiver)
    }

    /// The call has ended: it was answered, or its client has disconnected.
    fn end(&mut self, call: CallId) {
        self.calls.abandon(call);
        self.waiters.remove(&call);
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Send(frame) => self.outbox.push(frame),
            Effect::Answer(call, answer) => {
                if let Some(waiter) = self.waiters.remove(&call) {
                    let _ = waiter.send(answer);
                }
            }
        }
    }
}

impl Role for EdgeRole {
    fn handle_head_status(&mut self, status: HeadStatus<'_>) {
        self.readiness
            .handle_head_status(status.responsive_ms, status.config_version);
        if let (Some(limits), Some(frontend)) = (status.limits, &self.frontend)
            && self.limits.as_ref() != Some(limits)
        {
            frontend.set_options(http_options(limits));
            self.limits = Some(limits.clone());
        }
    }

    fn handle_attached(&mut self, _now_ms: u64) -> Vec<Rc<Frame>> {
        self.outbox.clear();
        let effects = self.calls.handle_attached();
        effects.into_iter().for_each(|effect| self.apply(effect));
        std::mem::take(&mut self.outbox)
    }

    fn handle_detached(&mut self, now_ms: u64) {
        self.calls.handle_detached(now_ms);
    }

    fn handle_frame(&mut self, _now_ms: u64, frame: Frame) {
        if let Frame::Reply(reply) = frame
            && let Some(effect) = self.calls.handle_reply(reply)
        {
            self.apply(effect);
        }
    }

    fn liveness_probe(&self) -> Option<Frame> {
        Some(edge::liveness_probe())
    }

    fn awaits_reply(&self) -> bool {
        !self.calls.is_empty()
    }

    fn poll_frames(&mut self, now_ms: u64) -> Vec<Rc<Frame>> {
        let effects = self.calls.handle_timeout(now_ms);
        effects.into_iter().for_each(|effect| self.apply(effect));
        std::mem::take(&mut self.outbox)
    }

    fn next_timeout_ms(&self) -> Option<u64> {
        self.calls.next_timeout_ms()
    }
}

/// Serves clients until the platform stops the process.
pub async fn serve(settings: Settings) -> Result<(), ServeError> {
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
    let node = Node::new(&settings, ProcessKind::Edge, EdgeRole::new());

    let calls_node = node.clone();
    let options = http_options(&IngressLimits::default());
    let take_call = move |request| answer_call(calls_node.clone(), request);
    let frontend = http::serve(frontend_address, options, take_call).await?;
    node.with_role(|role| role.frontend = Some(frontend.clone()));

    let readiness_node = node.clone();
    let take_readiness = move |request| answer_readiness(readiness_node.clone(), request);
    let _readiness_server =
        http::serve(readiness_address, HttpOptions::default(), take_readiness).await?;
    node.start();
    log::info!(
        "edge serving node={} address={frontend_address}",
        settings.node_name
    );

    until_terminated(&mut signals, &node).await;
    drain(&settings, &node, &frontend).await;
    Ok(())
}

/// Serves as before until the platform routes no new clients here, then finishes the calls under way.
async fn drain(settings: &Settings, node: &Node<EdgeRole>, frontend: &HttpServer) {
    log::info!("SIGTERM received, not ready any more, draining calls");
    node.with_role(|role| role.readiness.stop());
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

/// Abandons a call when it is dropped before the answer: its client has disconnected.
struct CallGuard {
    node: Node<EdgeRole>,
    call: CallId,
    answered: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.node.with_role(|role| role.end(self.call));
        }
    }
}

async fn answer_call(node: Node<EdgeRole>, request: HttpRequest) -> HttpResponse {
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
    let (call, receiver) = node.with_role(|role| role.begin(&request, parsed));
    let mut guard = CallGuard {
        node,
        call,
        answered: false,
    };
    let answer = receiver.await;
    guard.answered = answer.is_ok();
    response(&answer.unwrap_or_else(|_| Answer::no_reply()))
}

async fn answer_readiness(node: Node<EdgeRole>, _request: HttpRequest) -> HttpResponse {
    let ready = node.with_role(|role| role.readiness.is_ready(steady_ms()));
    HttpResponse::new(if ready { 200 } else { 503 })
}

fn response(answer: &Answer) -> HttpResponse {
    let response = HttpResponse::json(answer.status, answer.json());
    match answer.retry_after_s {
        Some(seconds) => response.with_header(header::RETRY_AFTER, &seconds.to_string()),
        None => response,
    }
}

fn http_options(limits: &IngressLimits) -> HttpOptions {
    HttpOptions {
        max_header_bytes: limits.max_header_bytes as usize,
        max_body_bytes: limits.max_body_bytes as usize,
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
    }
}
