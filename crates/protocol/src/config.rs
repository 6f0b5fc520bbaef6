//! The operator's configuration: routes, services, limits (`PUT /config`, `PATCH /config`).

use serde::{Deserialize, Serialize};

/// A route: a queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// Its name, unique in the configuration.
    pub name: String,
    /// The `Host` header that it matches.
    pub host: String,
    /// It matches the paths that begin with this; of several routes the one with the longest prefix is used.
    pub path_prefix: String,
    /// `idempotent` or `non_idempotent`.
    pub route_type: String,
    /// Time-out of a request, in milliseconds; above 0.
    pub timeout_ms: u64,
    /// Part of a job's latency target that does not depend on its work, in milliseconds.
    pub target_latency_ms: u64,
    /// 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// The service whose workers run its tasks.
    pub backend: String,
    /// A task that has failed so often fails its job.
    pub max_retries: u32,
    /// Part of a job's latency target: multiple of its longest chain of work.
    pub stretch: f64,
}

/// A service: the workers of one `backend`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Its name, unique in the configuration.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Most connections to one worker.
    pub max_connections: u32,
    /// Its workers reject a start that does not fit.
    pub guards: bool,
}

/// Limits on requests at the edges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct IngressLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: u64,
    /// Most bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time for a request's head to come in, in milliseconds.
    pub header_timeout_ms: u64,
    /// An idle connection is closed after this time, in milliseconds.
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

/// A complete configuration, valid and in the form the scheduler uses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
    /// Its limits.
    pub limits: IngressLimits,
}

impl Config {
    /// The route for a request: the longest prefix of `path` among the routes of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let here = self
            .routes
            .iter()
            .filter(|r| r.host == host && path.starts_with(&r.path_prefix));
        here.max_by_key(|r| r.path_prefix.len())
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }
}
