//! Configurations as the operator writes them. The names in the JSON text are those of the protocol documentation.

use serde_json::{Value, json};

/// Host of all queues.
pub const HOST: &str = "queues.example";
/// Service of the queues [`QUICK`] and [`BATCH`].
pub const PLANNING: &str = "planning";
/// Service of the queue [`IMAGES`].
pub const VISION: &str = "vision";
/// Queue of the highest priority.
pub const QUICK: &str = "/quick/";
/// Queue of the lowest priority.
pub const BATCH: &str = "/batch/";
/// Queue of the other service.
pub const IMAGES: &str = "/images/";

/// A route of the configuration, to which jobs are submitted.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Prefix of the paths that it serves; the queue's name is derived from it.
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// Priority of its tasks; 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task that fails its job.
    pub max_retries: u32,
}

impl Queue {
    /// A queue whose tasks may fail three times.
    pub fn new(path_prefix: &str, service: &str, priority: u32) -> Self {
        let (path_prefix, service) = (path_prefix.to_owned(), service.to_owned());
        Queue {
            path_prefix,
            service,
            priority,
            max_retries: 3,
        }
    }

    /// The route's name: `r-` and the path prefix, with `-` between its segments.
    pub fn name(&self) -> String {
        format!("r-{}", self.path_prefix.trim_matches('/').replace('/', "-"))
    }

    /// The route's JSON object in a configuration.
    pub fn to_json(&self) -> Value {
        json!({
            "name": self.name(), "host": HOST, "path_prefix": self.path_prefix, "route_type": "non_idempotent",
            "timeout_ms": 3_000, "target_latency_ms": 800, "priority": self.priority, "backend": self.service,
            "max_retries": self.max_retries, "stretch": 2.0
        })
    }
}

/// A complete configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version number of the configuration.
    pub version: u64,
    /// Its queues, one route each.
    pub queues: Vec<Queue>,
}

impl Configuration {
    /// A configuration with both services and the queues [`QUICK`], [`BATCH`] and [`IMAGES`].
    pub fn standard(version: u64) -> Self {
        let queues = vec![
            Queue::new(QUICK, PLANNING, 0),
            Queue::new(BATCH, PLANNING, 2),
            Queue::new(IMAGES, VISION, 1),
        ];
        Configuration { version, queues }
    }

    /// Adds a queue.
    pub fn with(mut self, queue: Queue) -> Self {
        self.queues.push(queue);
        self
    }

    /// The queue with this path prefix; `None` if there is none.
    pub fn queue(&self, path_prefix: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .find(|queue| queue.path_prefix == path_prefix)
    }

    /// The body of `PUT /config`.
    pub fn to_json(&self) -> Value {
        let routes: Vec<Value> = self.queues.iter().map(Queue::to_json).collect();
        let services = [PLANNING, VISION].map(|name| {
            json!({
                "name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
                "guards": false
            })
        });
        json!({
            "version": self.version, "routes": routes, "services": services,
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000
            }
        })
    }
}
