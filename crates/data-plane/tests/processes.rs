//! The program as a process on loopback sockets, with a simulated head.

mod common;

use common::agent_harness::{run, start};
use common::program::{
    EdgeProgram, Head, KeptConnection, Program, call, free_address, request, response,
};
use indigofold_data_plane::core_link::HEAD_TIMEOUT_MS;
use indigofold_net::build;
use indigofold_protocol::internal::{AgentOrders, ClientOutcome, ClientReply, Frame, StartOrder};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::process::Output;
use std::time::Duration;

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

/// Request line and body of a heartbeat.
fn heartbeat(instance: &str, seq_no: u64) -> (String, String) {
    let head = format!("PUT /instances/{instance} HTTP/1.1");
    let body = format!(
        r#"{{"backend":"s","address":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready","capacity":{{"cpu":1000,"mem_mb":100}},"seq_no":{seq_no}}}"#
    );
    (head, body)
}

/// Sends a heartbeat of `i-1` on a connection that stays open.
fn send_heartbeat(worker: &mut KeptConnection, seq_no: u64) -> (u16, String) {
    let (head, body) = heartbeat("i-1", seq_no);
    worker.call(&head, &body)
}

/// Sends a heartbeat of `i-1` on a connection of its own.
fn send_heartbeat_alone(agent: SocketAddr, seq_no: u64) -> (u16, String) {
    let (head, body) = heartbeat("i-1", seq_no);
    call(agent, &head, &body)
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
        acknowledged_update: None,
    })
}

/// A node agent that runs as a child process, its address and a simulated head.
struct AgentProgram {
    program: Program,
    /// Listener of the simulated head.
    listener: TcpListener,
    head: Head,
    address: SocketAddr,
}

impl AgentProgram {
    fn start() -> AgentProgram {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = free_address();
        let addresses = format!("control_plane = \"{address}\"");
        let head_address = listener.local_addr().expect("the listener has an address");
        let mut program = Program::start("side", head_address, &addresses);
        let head = Head::accept(&listener);
        program.wait_for_log("connected to the head");
        AgentProgram {
            program,
            listener,
            head,
            address,
        }
    }

    /// Waits for a report with an instance, and returns the instance's id and the ended instances.
    fn next_reported(&mut self) -> (String, Vec<String>) {
        let report = self
            .head
            .next_report_with(|report| report.instance.is_some());
        let instance = report.instance.expect("the report has an instance");
        (instance.id, report.ended_instances)
    }
}

#[test]
fn a_node_agent_forwards_a_start_to_its_worker() {
    let mut agent = AgentProgram::start();
    let mut worker = KeptConnection::open(agent.address);
    assert_eq!(
        send_heartbeat(&mut worker, 1),
        (200, r#"{"retry_delay_ms":1}"#.to_owned())
    );
    assert_eq!(
        send_heartbeat(&mut worker, 2),
        (200, r#"{"retry_delay_ms":20}"#.to_owned())
    );
    let report = agent
        .head
        .next_report_with(|report| report.instance.is_some());
    agent.head.send(&start_orders(report.sent_ms));
    let mut replies = (3..).map(|seq_no| send_heartbeat(&mut worker, seq_no));
    let reply = replies.find(|(_, body)| body.contains("start"));
    let expected = r#"{"hold_ms":4500,"fence_token":4,"start":[["0000000000000007.0.0.0",1,"t",""]],"retry_delay_ms":20}"#;
    assert_eq!(reply, Some((200, expected.to_owned())));

    let put = "PUT /instances/i-1 HTTP/1.1";
    assert_eq!(call(agent.address, put, "{").0, 400);
    let delete = "DELETE /instances/i-1 HTTP/1.1";
    assert_eq!(call(agent.address, delete, "").0, 200);
    let report = agent
        .head
        .next_unanswered_report_with(|report| !report.ended_instances.is_empty());
    assert_eq!(report.ended_instances, ["i-1"]);
    agent.program.terminate();
    agent.program.assert_success();
}

/// The agent tells the connections of its worker apart: a heartbeat on another one does not show that its instance runs.
#[test]
fn an_instance_replaces_another_with_its_second_heartbeat_on_a_connection() {
    let mut agent = AgentProgram::start();
    let mut worker = KeptConnection::open(agent.address);
    send_heartbeat(&mut worker, 1);
    send_heartbeat(&mut worker, 2);
    assert_eq!(agent.next_reported(), ("i-1".to_owned(), Vec::new()));

    let mut successor = KeptConnection::open(agent.address);
    let pending = (200, r#"{"retry_delay_ms":20}"#.to_owned());
    for seq_no in 1..4 {
        let (head, body) = heartbeat("i-2", seq_no);
        let reply = call(agent.address, &head, &body);
        assert!(seq_no == 1 || reply == pending, "{reply:?}");
    }
    let (head, body) = heartbeat("i-2", 4);
    assert_eq!(successor.call(&head, &body), pending);
    assert_eq!(agent.next_reported(), ("i-1".to_owned(), Vec::new()));
    let (head, body) = heartbeat("i-2", 5);
    assert_eq!(successor.call(&head, &body).0, 200);
    let report = agent
        .head
        .next_report_with(|report| !report.ended_instances.is_empty());
    let instance = report.instance.map(|instance| instance.id);
    assert_eq!(
        (instance.as_deref(), report.ended_instances.as_slice()),
        (Some("i-2"), ["i-1".to_owned()].as_slice())
    );
}

/// A worker that opens a connection for each heartbeat registers once the head has said that it knows no other instance.
#[test]
fn a_worker_without_a_kept_connection_registers() {
    let mut agent = AgentProgram::start();
    assert_eq!(
        send_heartbeat_alone(agent.address, 1),
        (200, r#"{"retry_delay_ms":1}"#.to_owned())
    );
    let report = agent
        .head
        .next_report_with(|report| report.instance.is_none());
    agent.head.send(&Frame::Orders(AgentOrders {
        epoch: 4,
        echo_sent_ms: Some(report.sent_ms),
        instance: String::new(),
        start: Vec::new(),
        stop: Vec::new(),
        acknowledged_end: None,
        acknowledged_update: None,
    }));
    let mut replies = (2..).map(|seq_no| send_heartbeat_alone(agent.address, seq_no));
    assert!(replies.any(|(_, body)| body.contains("fence_token")));
    assert_eq!(agent.next_reported(), ("i-1".to_owned(), Vec::new()));
}

/// Failure: a node agent stayed with a head that answered none of its reports; its worker got no work any more.
#[test]
fn a_node_agent_leaves_a_head_that_answers_no_report() {
    let mut agent = AgentProgram::start();
    let limit = Duration::from_millis(2 * HEAD_TIMEOUT_MS);
    agent.head.wait_until_closed(limit);
    let mut successor = Head::accept(&agent.listener);
    agent.program.wait_for_log("connected to the head");
    successor.next_report_with(|report| report.instance.is_none());
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
    let version = run("--version");
    let sources = version
        .trim()
        .split_once("sources=")
        .map(|(_, digest)| digest);
    assert_eq!(sources, Some(build::SOURCES));
}
