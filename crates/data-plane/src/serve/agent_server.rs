//! The process of the node agent: serves the worker's HTTP requests.

use super::agent_role::AgentRole;
use super::error::{NoAddressSnafu, ServeError};
use super::lifecycle::until_terminated;
use super::role_process::RoleProcess;
use crate::agent::{
    Agent, HeartbeatAdmission, HeartbeatOutcome, HeartbeatReceipt, HeartbeatSource, ORDERS_WAIT_MS,
    WorkerConnectionId,
};
use futures_util::future::select;
use indigofold_net::http::{self, HttpOptions, HttpRequest, HttpResponse, Method};
use indigofold_net::signals::Signals;
use indigofold_net::{build, runtime, steady_ms};
use indigofold_protocol::heartbeat_check::parse_heartbeat;
use indigofold_protocol::internal::ProcessKind;
use indigofold_protocol::worker::HeartbeatReply;
use indigofold_settings::Settings;
use snafu::OptionExt;
use std::pin::pin;
use std::time::Duration;

/// Path prefix of the worker's requests; the id of the instance follows.
const INSTANCES_PATH: &str = "/instances/";
/// Maximum size of a heartbeat's body.
const HEARTBEAT_BYTES_MAX: usize = 4 << 20;
/// Time without a request after which a worker's connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time after SIGTERM within which requests in progress must finish; the remaining connections are then closed
/// abruptly.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(200);

/// Serves the worker on this machine until the platform stops the process.
pub(super) async fn serve(settings: Settings) -> Result<(), ServeError> {
    let address = settings.bind_addrs.control_plane.context(NoAddressSnafu {
        field: "control_plane",
        role: settings.role.clone(),
    })?;
    let mut signals = Signals::register()?;
    let max_lease_ms = settings.bounds.max_hold_ms as u64;
    let role = AgentRole::new(Agent::new(steady_ms(), max_lease_ms));
    let node = RoleProcess::new(&settings, ProcessKind::Agent, role);
    let worker_node = node.clone();
    let options = HttpOptions {
        max_body_bytes: HEARTBEAT_BYTES_MAX,
        idle_timeout: IDLE_TIMEOUT,
        ..HttpOptions::default()
    };
    let handle_request = move |request: HttpRequest| {
        let node = worker_node.clone();
        async move { answer_worker(&node, &request).await }
    };
    let server = http::serve(address, options, handle_request).await?;
    node.start();
    log::info!(
        "node agent serving node={} address={address} sources={}",
        settings.node_name,
        build::SOURCES
    );

    until_terminated(&mut signals, &node).await;
    log::info!("SIGTERM received, shutting down");
    server.shutdown(Duration::ZERO, SHUTDOWN_GRACE).await;
    Ok(())
}

async fn answer_worker(node: &RoleProcess<AgentRole>, request: &HttpRequest) -> HttpResponse {
    let id = request
        .path
        .strip_prefix(INSTANCES_PATH)
        .filter(|id| !id.is_empty() && !id.contains('/'));
    let Some(id) = id else {
        return error_response(404, "the path must be /instances/ID");
    };
    match request.method {
        Method::PUT => {
            let source = HeartbeatSource {
                instance: id,
                connection: WorkerConnectionId(request.connection.0),
            };
            answer_heartbeat(node, source, &request.body).await
        }
        Method::DELETE => {
            node.with_role(|role| role.agent().handle_deregistration(id));
            HttpResponse::json(200, "{}")
        }
        _ => error_response(405, "the method must be PUT or DELETE"),
    }
}

async fn answer_heartbeat(
    node: &RoleProcess<AgentRole>,
    source: HeartbeatSource<'_>,
    body: &[u8],
) -> HttpResponse {
    let heartbeat = match parse_heartbeat(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return error_response(400, &error.to_string()),
    };
    let admission = node.with_role(|role| {
        role.agent()
            .handle_heartbeat(steady_ms(), source, heartbeat)
    });
    let reply = match admission {
        HeartbeatAdmission::Accepted(receipt) => {
            heartbeat_reply(node, source.instance, receipt).await
        }
        HeartbeatAdmission::Pending(reply) => reply,
        HeartbeatAdmission::Superseded => HeartbeatReply::default(),
    };
    HttpResponse::json(200, serde_json::to_vec(&reply).unwrap_or_default())
}

/// Returns the reply to an accepted heartbeat, after waiting for orders if they are expected.
async fn heartbeat_reply(
    node: &RoleProcess<AgentRole>,
    id: &str,
    receipt: HeartbeatReceipt,
) -> HeartbeatReply {
    if receipt.expects_orders {
        wait_for_orders(node).await;
    }
    let outcome = node.with_role(|role| {
        role.agent()
            .poll_heartbeat_reply(steady_ms(), id, receipt.seq_no)
    });
    match outcome {
        HeartbeatOutcome::Answered(reply) => reply,
        HeartbeatOutcome::Superseded => HeartbeatReply::default(),
    }
}

/// Waits until orders arrive, a newer heartbeat waits, or [`ORDERS_WAIT_MS`] have passed.
async fn wait_for_orders(node: &RoleProcess<AgentRole>) {
    let receiver = node.with_role(AgentRole::wait_for_orders);
    let sleep = pin!(runtime::sleep(Duration::from_millis(ORDERS_WAIT_MS)));
    select(sleep, receiver).await;
}

fn error_response(status: u16, reason: &str) -> HttpResponse {
    HttpResponse::json(status, serde_json::json!({ "error": reason }).to_string())
}
