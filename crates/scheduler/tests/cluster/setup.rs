//! Builders of the simulated cluster's configuration, jobs and nodes.

use super::node::Node;
use indigofold_protocol::config::{Config, Route, Service};
use indigofold_protocol::job::{JobSpec, Resources, Step};
use indigofold_protocol::task::{JobId, TaskName};
use indigofold_scheduler::Bounds;

pub(crate) fn bounds() -> Bounds {
    Bounds {
        status_s: 5,
        ..Bounds::default()
    }
}

pub(crate) fn route(name: &str, backend: &str, priority: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        timeout_ms: 3_000,
        target_latency_ms: 1_000,
        priority,
        backend: backend.to_owned(),
        max_retries: 3,
        stretch: 2.0,
        ..Route::default()
    }
}

pub(crate) fn config() -> Config {
    let service = |name: &str| Service {
        name: name.to_owned(),
        ..Service::default()
    };
    Config {
        version: 1,
        routes: vec![
            route("quick", "s", 0),
            route("bulk", "s", 2),
            route("vision", "v", 1),
        ],
        services: vec![service("s"), service("v")],
        ..Config::default()
    }
}

pub(crate) fn resources(cpu: u64, gpu: u64) -> Resources {
    Resources {
        cpu,
        mem_mb: cpu * 2,
        gpu,
    }
}

/// A step of `count` tasks that take `cpu` thousandths of a core and run for `ms` milliseconds.
pub(crate) fn step(count: u32, cpu: u64, ms: u64) -> Step {
    Step {
        count,
        cpu,
        mem_mb: cpu,
        estimate_ms: ms,
        ..Step::default()
    }
}

pub(crate) fn spec(stages: Vec<Step>) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        stages,
        ..JobSpec::default()
    }
}

/// Four nodes of the service `s`, of two kinds in two racks, and three with GPUs of the service `v`.
pub(crate) fn nodes() -> Vec<Node> {
    let plain = |name: &str, kind: &str, rack: &str| {
        Node::new(name, "s", &[kind, rack], resources(16_000, 0))
    };
    let vision = |name: &str, rack: &str| Node::new(name, "v", &["a", rack], resources(32_000, 8));
    vec![
        plain("n1", "a", "r1-1"),
        plain("n2", "a", "r1-1"),
        plain("n3", "b", "r1-2"),
        plain("n4", "b", "r1-2"),
        vision("n5", "r1-1"),
        vision("n6", "r1-1"),
        vision("n7", "r1-2"),
    ]
}

/// Name of the first task of a step, in the first repetition.
pub(crate) fn first_task(job: JobId, step: u32) -> TaskName {
    TaskName {
        job,
        repeat: 0,
        step,
        index: 0,
    }
}

/// First seed and number of seeds of a drawn test: from this environment variable, which holds `FIRST,COUNT`; without it the
/// first `default_count` seeds.
pub(crate) fn drawn_seeds(variable: &str, default_count: u64) -> (u64, u64) {
    let Ok(text) = std::env::var(variable) else {
        return (1, default_count);
    };
    let numbers: Vec<u64> = text.split(',').filter_map(|n| n.parse().ok()).collect();
    let [first, count] = numbers[..] else {
        panic!("`{variable}` is `{text}`; two numbers with a comma between them are allowed");
    };
    (first, count)
}
