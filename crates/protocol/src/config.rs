//! The operator's configuration: routes, services, limits (`PUT /config`, `PATCH /config`).

use serde::{Deserialize, Serialize};

/// A route: it maps requests by host and path prefix to a queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// Name of the route, unique in the configuration.
    pub name: String,
    /// The `Host` header that the route matches, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths that the route matches; if several routes match, the one with the longest prefix is used.
    pub path_prefix: String,
    /// `idempotent` or `non_idempotent`.
    pub route_type: String,
    /// Timeout of a request, in milliseconds; above 0.
    pub timeout_ms: u64,
    /// Constant part of a job's latency target, in milliseconds; `stretch` adds a part that depends on the job's work.
    pub target_latency_ms: u64,
    /// Priority of the route's jobs. 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Name of the service whose workers run the tasks.
    pub backend: String,
    /// Number of failures of one task after which its job fails; 0 counts as 1.
    pub max_retries: u32,
    /// Factor for the variable part of a job's latency target: it is multiplied by the run time of the longest chain of
    /// dependent steps.
    pub stretch: f64,
}

/// A service: all workers that register with the same `backend`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Name of the service, unique in the configuration; routes and workers refer to it as `backend`.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections to one worker.
    pub max_connections: u32,
    /// Whether the workers reject the start of a task that does not fit into their free capacity.
    pub guards: bool,
}

/// Limits on client requests, enforced by the edges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct IngressLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a request's head must be received, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for IngressLimits {
    fn default() -> Self {
        IngressLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete, valid configuration in the form that the scheduler uses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// Version of the configuration; rises with each change.
    pub version: u64,
    /// All routes, in the order in which the operator wrote them.
    pub routes: Vec<Route>,
    /// All services, in the order in which the operator wrote them.
    pub services: Vec<Service>,
    /// Limits on client requests; the defaults where the operator set none.
    pub limits: IngressLimits,
}

impl Config {
    /// Returns the route for a request: of the routes of `host`, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = self
            .routes
            .iter()
            .filter(|r| r.host == host && path.starts_with(&r.path_prefix));
        matching.max_by_key(|r| r.path_prefix.len())
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }
}
