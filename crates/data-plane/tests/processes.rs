//! The program as a process on loopback sockets, with a simulated head.

mod common;

use common::agent_harness::{run, start};
use common::program::{EdgeProgram, Head, Program, call, free_address, request, response};
use indigofold_protocol::internal::{AgentOrders, ClientOutcome, ClientReply, Frame, StartOrder};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::process::Output;

#[test]
fn an_edge_forwards_calls_to_the_head_and_shuts_down_gracefully() {
    let mut edge = EdgeProgram::start();
    assert_eq!(edge.readiness_status(), 503);
    assert_eq!(call(edge.frontend, "GET /q/ HTTP/1.1", "").0, 503);
    let mut head = Head::accept(&edge.listener);
    edge.program.wait_for_log("connected to the head");
    assert_eq!(edge.readiness_status(), 200);

    let job = r#"{"spec":"t","stages":[{"count":1,"cpu":100,"mem_mb":10}]}"#;
    let client = request(edge.frontend, "POST /q/0000000000000007 HTTP/1.1", job);
    let sent = head.next_call();
    assert_eq!(
        (sent.host.as_str(), sent.path.as_str()),
        ("h", "/q/0000000000000007")
    );
    head.send(&Frame::Reply(ClientReply {
        call: sent.call,
        outcome: ClientOutcome::Accepted,
    }));
    assert_eq!(response(client), (200, "{}".to_owned()));
    let (status, _) = call(edge.frontend, "POST /q/0000000000000007 HTTP/1.1", "{");
    assert_eq!(status, 400);

    let client = request(edge.frontend, "GET /q/ HTTP/1.1", "");
    let sent = head.next_call();
    edge.program.terminate();
    edge.program.wait_for_log("SIGTERM received");
    assert_eq!(edge.readiness_status(), 503);
    head.send(&Frame::Reply(ClientReply {
        call: sent.call,
        outcome: ClientOutcome::Pending(2),
    }));
    assert_eq!(response(client), (200, r#"{"pending":2}"#.to_owned()));
    edge.program.assert_success();
}

#[test]
fn an_idle_edge_detaches_from_an_unresponsive_head() {
    let mut edge = EdgeProgram::start();
    let mut unresponsive = Head::accept(&edge.listener);
    edge.program.wait_for_log("connected to the head");
    assert!(matches!(unresponsive.next(), Frame::Call(sent) if sent.path.is_empty()));
    edge.program.wait_for_log("connection to the head lost");
    assert_eq!(call(edge.frontend, "GET /q/ HTTP/1.1", "").0, 503);
    let _other = Head::accept(&edge.listener);
    edge.program.wait_for_log("connected to the head");
    assert_eq!(edge.readiness_status(), 200);
}

fn send_heartbeat(agent: SocketAddr, seq_no: u64) -> (u16, String) {
    let body = format!(
        r#"{{"backend":"s","address":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready","capacity":{{"cpu":1000,"mem_mb":100}},"seq_no":{seq_no}}}"#
    );
    call(agent, "PUT /instances/i-1 HTTP/1.1", &body)
}

/// Returns a frame that orders a start and acknowledges the report sent at `echo_sent_ms`.
fn start_orders(echo_sent_ms: u64) -> Frame {
    let start = StartOrder {
        spec: "t".to_owned(),
        ..start(run(0), 100)
    };
    Frame::Orders(AgentOrders {
        epoch: 4,
        echo_sent_ms: Some(echo_sent_ms),
        instance: "i-1".to_owned(),
        start: vec![start],
        stop: Vec::new(),
        acknowledged_end: None,
    })
}

#[test]
fn a_node_agent_forwards_a_start_to_its_worker() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let agent = free_address();
    let addresses = format!("control_plane = \"{agent}\"");
    let head_address = listener.local_addr().expect("the listener has an address");
    let mut program = Program::start("side", head_address, &addresses);
    let mut head = Head::accept(&listener);
    program.wait_for_log("connected to the head");
    assert_eq!(
        send_heartbeat(agent, 1),
        (200, r#"{"retry_delay_ms":20}"#.to_owned())
    );
    let report = head.next_report_with(|report| report.instance.is_some());
    head.send(&start_orders(report.sent_ms));
    let mut replies = (2..).map(|seq_no| send_heartbeat(agent, seq_no));
    let reply = replies.find(|(_, body)| body.contains("start"));
    let expected = r#"{"hold_ms":4500,"fence_token":4,"start":[["0000000000000007.0.0.0",1,"t",""]],"retry_delay_ms":20}"#;
    assert_eq!(reply, Some((200, expected.to_owned())));

    assert_eq!(call(agent, "PUT /instances/i-1 HTTP/1.1", "{").0, 400);
    assert_eq!(call(agent, "DELETE /instances/i-1 HTTP/1.1", "").0, 200);
    let report = head.next_report_with(|report| !report.ended_instances.is_empty());
    assert_eq!(report.ended_instances, ["i-1"]);
    program.terminate();
    program.assert_success();
}

fn run_with(settings: &str) -> Output {
    let file = tempfile::NamedTempFile::new().expect("a temporary file is created");
    fs::write(file.path(), settings).expect("the settings are written");
    Program::command(file.path().as_os_str())
        .output()
        .expect("the program runs")
}

#[test]
fn bad_settings_end_the_program_with_a_reason() {
    let output = run_with("node_name = 3");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("node_name"));
    let output = run_with(
        "node_name = \"n\"\nrole = \"r\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \"127.0.0.1\"\n\
         zone = \"a\"\nport_range = [7000, 7001]\n",
    );
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("bind_addrs.frontend"));
}

#[test]
fn help_and_version_are_printed() {
    let run = |argument| {
        let output = Program::command("".as_ref())
            .arg(argument)
            .output()
            .expect("the program runs");
        assert!(output.status.success());
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    assert!(run("--help").contains("--log-level"));
    assert!(run("--version").starts_with("indigofold-data "));
}
