//! Example messages of workers, clients and operators: each is decoded, compared field by field and encoded again.

use indigofold_protocol::config::{Config, IngressLimits, Route, Service};
use indigofold_protocol::config_check::parse_config;
use indigofold_protocol::config_patch::apply_patch;
use indigofold_protocol::heartbeat_check::parse_heartbeat;
use indigofold_protocol::job::{JobSpec, JobState, Resources, Step};
use indigofold_protocol::job_check::parse_job;
use indigofold_protocol::worker::{
    Finished, Heartbeat, HeartbeatReply, RunEnd, Running, Start, Stop, WorkerState,
};
use rstest::rstest;
use serde::Serialize;
use serde_json::{Value, json};

/// Encodes `value` as JSON.
fn encoded(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("the message has a JSON form")
}

/// Returns the heartbeat of a draining worker, with entries in `running` and in `finished`.
fn draining_heartbeat() -> Value {
    json!({
        "backend": "resize", "address": "10.9.0.7:8085", "zone": "north-b", "version": "v3", "slots": 4,
        "state": "draining", "remaining_ms": 1250, "cold_remaining_ms": 300,
        "capacity": {"cpu": 8000, "mem_mb": 4096, "gpu": 2}, "labels": ["large", "rack-2"],
        "now_ms": 9001, "seq_no": 31,
        "running": [["00000000000000aa.0.0.3", 2, "page-17", 64], ["00000000000000ab.1.2.0", 1, "", 0]],
        "finished": [
            [5, "00000000000000aa.0.0.1", 1, "done", ""],
            [6, "00000000000000aa.0.0.2", 3, "lapsed", "page-4"]
        ]
    })
}

#[test]
fn a_heartbeat_with_runs_is_encoded_unchanged() {
    let text = draining_heartbeat().to_string();
    let heartbeat = parse_heartbeat(text.as_bytes()).expect("the heartbeat is valid");
    let expected = Heartbeat {
        backend: "resize".to_owned(),
        address: "10.9.0.7:8085".to_owned(),
        zone: "north-b".to_owned(),
        version: "v3".to_owned(),
        slots: 4,
        state: WorkerState::Draining,
        warmup_remaining_ms: 300,
        capacity: Resources {
            cpu: 8_000,
            mem_mb: 4_096,
            gpu: 2,
        },
        labels: vec!["large".to_owned(), "rack-2".to_owned()],
        remaining_ms: Some(1_250),
        now_ms: 9_001,
        seq_no: 31,
        running: vec![
            running("00000000000000aa.0.0.3", 2, "page-17", 64),
            running("00000000000000ab.1.2.0", 1, "", 0),
        ],
        finished: vec![
            finished(5, "00000000000000aa.0.0.1", 1, RunEnd::Done, ""),
            finished(6, "00000000000000aa.0.0.2", 3, RunEnd::Expired, "page-4"),
        ],
    };
    assert_eq!(heartbeat, expected);
    assert_eq!(encoded(&heartbeat), draining_heartbeat());
}

fn running(task: &str, attempt: u32, checkpoint: &str, percent: u32) -> Running {
    Running {
        task: task.to_owned(),
        attempt,
        checkpoint: checkpoint.to_owned(),
        percent,
    }
}

fn finished(number: u64, task: &str, attempt: u32, end: RunEnd, checkpoint: &str) -> Finished {
    Finished {
        number,
        task: task.to_owned(),
        attempt,
        end,
        checkpoint: checkpoint.to_owned(),
    }
}

#[test]
fn a_registration_without_runs_is_encoded_with_empty_arrays() {
    let mut body = draining_heartbeat();
    let fields = body.as_object_mut().expect("an object");
    for field in ["running", "finished", "remaining_ms"] {
        fields.remove(field);
    }
    fields.insert("state".to_owned(), json!("ready"));
    let heartbeat = parse_heartbeat(body.to_string().as_bytes()).expect("a valid registration");
    assert_eq!(
        (heartbeat.state, heartbeat.remaining_ms),
        (WorkerState::Ready, None)
    );
    assert!(heartbeat.running.is_empty() && heartbeat.finished.is_empty());
    body["running"] = json!([]);
    body["finished"] = json!([]);
    assert_eq!(
        encoded(&heartbeat),
        body,
        "a worker that does not drain has no `remaining_ms`, not an empty one"
    );
}

#[rstest]
#[case("done", RunEnd::Done)]
#[case("failed", RunEnd::Failed)]
#[case("stopped", RunEnd::Stopped)]
#[case("lapsed", RunEnd::Expired)]
#[case("broken", RunEnd::GangMemberEnded)]
#[case("alone", RunEnd::GangIncomplete)]
#[case("refused", RunEnd::Refused)]
fn every_run_end_is_encoded_unchanged(#[case] name: &str, #[case] end: RunEnd) {
    let entry = json!([1, "00000000000000aa.0.0.0", 1, name, ""]);
    let decoded: Finished = serde_json::from_value(entry.clone()).expect("a valid entry");
    assert_eq!(decoded.end, end);
    assert_eq!(encoded(&decoded), entry);
}

#[test]
fn a_heartbeat_reply_with_orders_is_encoded_unchanged() {
    let reply = json!({
        "hold_ms": 3500, "last_seen": 6, "fence_token": 12,
        "start": [["00000000000000aa.0.0.4", 1, "resize 4", ""], ["00000000000000ab.1.2.1", 5, "", "page-9"]],
        "stop": [["00000000000000aa.0.0.3", 2]],
        "retry_delay_ms": 150
    });
    let decoded: HeartbeatReply = serde_json::from_value(reply.clone()).expect("a valid reply");
    let expected = HeartbeatReply {
        lease_ms: Some(3_500),
        acknowledged_end: Some(6),
        fencing_token: Some(12),
        start: vec![
            start("00000000000000aa.0.0.4", 1, "resize 4", ""),
            start("00000000000000ab.1.2.1", 5, "", "page-9"),
        ],
        stop: vec![Stop {
            task: "00000000000000aa.0.0.3".to_owned(),
            attempt: 2,
        }],
        retry_delay_ms: Some(150),
    };
    assert_eq!(decoded, expected);
    assert_eq!(encoded(&decoded), reply);
}

fn start(task: &str, attempt: u32, spec: &str, checkpoint: &str) -> Start {
    Start {
        task: task.to_owned(),
        attempt,
        spec: spec.to_owned(),
        checkpoint: checkpoint.to_owned(),
    }
}

#[test]
fn an_empty_heartbeat_reply_has_no_fields() {
    let decoded: HeartbeatReply = serde_json::from_value(json!({})).expect("a valid reply");
    assert_eq!(decoded, HeartbeatReply::default());
    assert_eq!(encoded(&decoded), json!({}));
}

#[rstest]
#[case::short(
    "[\"t\",1,\"\"]",
    "invalid length 3, expected tuple struct Running with 4 elements"
)]
#[case::long("[\"t\",1,\"\",5,6]", "trailing characters")]
#[case::object("{\"task\":\"t\"}", "expected tuple struct Running")]
fn a_list_entry_of_another_form_is_rejected(#[case] entry: &str, #[case] expected: &str) {
    let error = serde_json::from_str::<Running>(entry).expect_err("an invalid entry");
    assert!(error.to_string().contains(expected), "{error}");
}

/// Returns a job with every field present.
fn job_with_stages() -> Value {
    json!({
        "spec": "render",
        "stages": [
            {"count": 3, "cpu": 250, "mem_mb": 128, "gpu": 1, "estimate_ms": 700, "depends_on": [],
             "checkpoints": false, "gang": true, "rack_local": true, "requirements": "large",
             "affinity": "rack-2", "anti_affinity": 2, "speculative": false, "long_running": false},
            {"count": 1, "cpu": 1000, "mem_mb": 512, "gpu": 0, "estimate_ms": 2500, "depends_on": [0],
             "checkpoints": true, "gang": false, "rack_local": false, "requirements": "",
             "affinity": "", "anti_affinity": 0, "speculative": true, "long_running": true}
        ],
        "repeat_count": 4, "start_at_ms": 1700000000000_u64, "interval_ms": 60000
    })
}

#[test]
fn a_job_with_stages_is_encoded_unchanged() {
    let job = parse_job(job_with_stages().to_string().as_bytes()).expect("the job is valid");
    let first = Step {
        count: 3,
        cpu: 250,
        mem_mb: 128,
        gpu: 1,
        estimate_ms: 700,
        depends_on: Vec::new(),
        checkpoints: false,
        gang: true,
        rack_local: true,
        requirements: "large".to_owned(),
        affinity: "rack-2".to_owned(),
        anti_affinity: 2,
        speculative: false,
        long_running: false,
    };
    let second = Step {
        count: 1,
        cpu: 1_000,
        mem_mb: 512,
        estimate_ms: 2_500,
        depends_on: vec![0],
        checkpoints: true,
        speculative: true,
        long_running: true,
        ..Step::default()
    };
    let expected = JobSpec {
        spec: "render".to_owned(),
        stages: vec![first, second],
        repeat_count: 4,
        start_at_ms: 1_700_000_000_000,
        interval_ms: 60_000,
    };
    assert_eq!(job, expected);
    assert_eq!(encoded(&job), job_with_stages());
}

#[test]
fn omitted_fields_of_a_job_are_zero_false_or_empty() {
    let text = r#"{"spec":"x","stages":[{"count":2,"cpu":100}]}"#;
    let job = parse_job(text.as_bytes()).expect("the job is valid");
    let step = Step {
        count: 2,
        cpu: 100,
        ..Step::default()
    };
    let expected = JobSpec {
        spec: "x".to_owned(),
        stages: vec![step],
        ..JobSpec::default()
    };
    assert_eq!(job, expected);
}

#[rstest]
#[case("queued", JobState::Queued)]
#[case("running", JobState::Running)]
#[case("completed", JobState::Completed)]
#[case("failed", JobState::Failed)]
#[case("cancelled", JobState::Cancelled)]
fn every_job_state_is_encoded_unchanged(#[case] name: &str, #[case] state: JobState) {
    let decoded: JobState = serde_json::from_value(json!(name)).expect("a valid state");
    assert_eq!(decoded, state);
    assert_eq!(encoded(&state), json!(name));
}

/// Returns a configuration with every field present.
fn configuration() -> Value {
    json!({
        "version": 11,
        "routes": [
            {"name": "r-thumbs", "host": "img.example", "path_prefix": "/thumbs/", "route_type": "idempotent",
             "timeout_ms": 2500, "target_latency_ms": 900, "priority": 1, "backend": "resize", "max_retries": 3,
             "stretch": 1.75},
            {"name": "r-video", "host": "img.example", "path_prefix": "/video/", "route_type": "non_idempotent",
             "timeout_ms": 4000, "target_latency_ms": 8000, "priority": 0, "backend": "encode", "max_retries": 1,
             "stretch": 3.0}
        ],
        "services": [
            {"name": "resize", "health_path": "/up", "max_connections": 12, "guards": true},
            {"name": "encode", "health_path": "/up", "max_connections": 6, "guards": false}
        ],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 100000, "header_timeout_ms": 1500,
                   "idle_timeout_ms": 9000}
    })
}

/// Returns the route `r-thumbs` of [`configuration`].
fn thumbs() -> Route {
    Route {
        name: "r-thumbs".to_owned(),
        host: "img.example".to_owned(),
        path_prefix: "/thumbs/".to_owned(),
        route_type: "idempotent".to_owned(),
        timeout_ms: 2_500,
        target_latency_ms: 900,
        priority: 1,
        backend: "resize".to_owned(),
        max_retries: 3,
        stretch: 1.75,
    }
}

/// Returns [`configuration`] in the form that the scheduler uses.
fn expected_config() -> Config {
    let video = Route {
        name: "r-video".to_owned(),
        host: "img.example".to_owned(),
        path_prefix: "/video/".to_owned(),
        route_type: "non_idempotent".to_owned(),
        timeout_ms: 4_000,
        target_latency_ms: 8_000,
        priority: 0,
        backend: "encode".to_owned(),
        max_retries: 1,
        stretch: 3.0,
    };
    let service = |name: &str, max_connections, guards| Service {
        name: name.to_owned(),
        health_path: "/up".to_owned(),
        max_connections,
        guards,
    };
    Config {
        version: 11,
        routes: vec![thumbs(), video],
        services: vec![service("resize", 12, true), service("encode", 6, false)],
        limits: IngressLimits {
            max_header_bytes: 8_192,
            max_body_bytes: 100_000,
            header_timeout_ms: 1_500,
            idle_timeout_ms: 9_000,
        },
    }
}

#[test]
fn a_configuration_is_encoded_unchanged() {
    let text = configuration().to_string();
    let config = parse_config(text.as_bytes()).expect("the configuration is valid");
    assert_eq!(config.config(), &expected_config());
    assert_eq!(config.json(), text);
    assert_eq!(encoded(config.config()), configuration());
}

#[test]
fn a_patched_configuration_is_encoded_unchanged() {
    let current =
        parse_config(configuration().to_string().as_bytes()).expect("the configuration is valid");
    let patch = json!({
        "version": 14,
        "upsert": {
            "routes": [
                {"name": "r-thumbs", "host": "img.example", "path_prefix": "/thumbs/", "route_type": "idempotent",
                 "timeout_ms": 1200, "target_latency_ms": 900, "priority": 1, "backend": "resize",
                 "max_retries": 3, "stretch": 1.75}
            ]
        },
        "remove": {"routes": ["r-video"]}
    });
    let patched = apply_patch(&current, patch.to_string().as_bytes()).expect("a valid patch");
    let expected = Config {
        version: 14,
        routes: vec![Route {
            timeout_ms: 1_200,
            ..thumbs()
        }],
        ..expected_config()
    };
    assert_eq!(patched.config(), &expected);
    let mut document = configuration();
    document["version"] = json!(14);
    document["routes"] = patch["upsert"]["routes"].clone();
    assert_eq!(encoded(patched.config()), document);
    let json: Value = serde_json::from_str(patched.json()).expect("the text is JSON");
    assert_eq!(json, document);
}
