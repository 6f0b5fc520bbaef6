//! The program itself over loopback sockets; the test acts as the head.

use indigofold_protocol::codec;
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::{
    AgentOrders, AgentReport, ClientCall, ClientOutcome, ClientReply, Frame, MemberAddress,
    StartOrder, Welcome,
};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{JobId, RunId, TaskName};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

/// Upper limit for each blocking read.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A port that was free a moment ago.
fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").port()
}

/// A child process with the program; killed when dropped.
struct Program {
    child: Child,
    settings: tempfile::NamedTempFile,
}

impl Program {
    fn start(serves: &str, head: SocketAddr, addresses: &str) -> Program {
        let text = format!(
            "node_name = \"n-1\"\nrole = \"r\"\nmachine_class = \"{serves}\"\nserves = [\"{serves}\"]\n\
             ip = \"127.0.0.1\"\nzone = \"a\"\nport_range = [{port}, {port}]\nseed_nodes = [\"127.0.0.1:1\"]\n\
             [bind_addrs]\n{addresses}\n[bounds]\ngrace_s = 2\nmax_hold_ms = 6000\n",
            port = head.port()
        );
        let settings = tempfile::NamedTempFile::new().expect("a file");
        fs::write(settings.path(), text).expect("written");
        let child = Program::command(settings.path().as_os_str())
            .spawn()
            .expect("the program");
        let mut program = Program { child, settings };
        program.wait_for_log("serving");
        program
    }

    fn command(settings: &std::ffi::OsStr) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_indigofold-data"));
        command
            .env("INDIGOFOLD_CONFIG", settings)
            .stderr(Stdio::piped())
            .stdout(Stdio::piped());
        command
    }

    fn terminate(&self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("a signal");
    }

    /// Waits until the log contains an entry with this text.
    fn wait_for_log(&mut self, text: &str) {
        let mut log = BufReader::new(self.child.stderr.as_mut().expect("a pipe"));
        let mut entry = String::new();
        while !entry.contains(text) {
            entry.clear();
            assert!(
                log.read_line(&mut entry).expect("a line") > 0,
                "the program has ended without `{text}`"
            );
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(self.settings.path());
    }
}

/// The head's side of a connection.
struct Head {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Head {
    /// Accepts the program's connection and sends the welcome of an acting head.
    fn accept(listener: &TcpListener) -> Head {
        let (stream, _) = listener.accept().expect("a connection");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("an option");
        let mut head = Head {
            stream,
            bytes: Vec::new(),
        };
        assert!(matches!(head.next(), Frame::Hello(hello) if hello.node_name == "n-1"));
        let address = listener.local_addr().expect("an address");
        let member = MemberAddress {
            node_name: "core-1".to_owned(),
            internal: address,
            control: address,
        };
        head.send(&Frame::Welcome(Welcome {
            view: 4,
            head: Some(member.clone()),
            members: vec![member],
            acting: true,
            config_version: 3,
            limits: IngressLimits::default(),
        }));
        head
    }

    /// The next call of a client; liveness probes are answered in between.
    fn next_call(&mut self) -> ClientCall {
        loop {
            match self.next() {
                Frame::Call(sent) if sent.path.is_empty() => {
                    let outcome = ClientOutcome::UnknownRoute;
                    self.send(&Frame::Reply(ClientReply {
                        call: sent.call,
                        outcome,
                    }));
                }
                Frame::Call(call) => return call,
                other => panic!("a call is expected, not {other:?}"),
            }
        }
    }

    fn next(&mut self) -> Frame {
        loop {
            if let Some((frame, length)) = codec::decode(&self.bytes).expect("frames") {
                self.bytes.drain(..length);
                return frame;
            }
            let mut buffer = [0; 4_096];
            let count = self.stream.read(&mut buffer).expect("bytes");
            assert!(count > 0, "the program has closed the connection");
            self.bytes.extend_from_slice(&buffer[..count]);
        }
    }

    fn next_report(&mut self) -> AgentReport {
        match self.next() {
            Frame::Report(report) => report,
            other => panic!("a report is expected, not {other:?}"),
        }
    }

    fn send(&mut self, frame: &Frame) {
        self.stream
            .write_all(&codec::encode(frame))
            .expect("written");
    }
}

/// Sends a request on a connection of its own.
fn request(address: SocketAddr, head: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("an option");
    let text = format!(
        "{head}\r\nHost: h\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).expect("written");
    stream
}

fn response(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let status = text
        .get(9..12)
        .and_then(|digits| digits.parse().ok())
        .expect("a status");
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, body.to_owned())
}

fn call(address: SocketAddr, head: &str, body: &str) -> (u16, String) {
    response(request(address, head, body))
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn an_edge_forwards_calls_to_the_head_and_shuts_down_gracefully() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (frontend, readiness) = (local(free_port()), local(free_port()));
    let addresses = format!("frontend = \"{frontend}\"\nreadiness = \"{readiness}\"");
    let mut program = Program::start(
        "edge",
        listener.local_addr().expect("an address"),
        &addresses,
    );
    assert_eq!(call(readiness, "GET /readiness HTTP/1.1", "").0, 503);
    assert_eq!(call(frontend, "GET /q/ HTTP/1.1", "").0, 503);
    let mut head = Head::accept(&listener);
    program.wait_for_log("connected to the head");
    assert_eq!(call(readiness, "GET /readiness HTTP/1.1", "").0, 200);

    let job = r#"{"spec":"t","stages":[{"count":1,"cpu":100,"mem_mb":10}]}"#;
    let client = request(frontend, "POST /q/0000000000000007 HTTP/1.1", job);
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
    assert_eq!(
        call(frontend, "POST /q/0000000000000007 HTTP/1.1", "{").0,
        400
    );

    let client = request(frontend, "GET /q/ HTTP/1.1", "");
    let sent = head.next_call();
    program.terminate();
    program.wait_for_log("SIGTERM received");
    assert_eq!(call(readiness, "GET /readiness HTTP/1.1", "").0, 503);
    head.send(&Frame::Reply(ClientReply {
        call: sent.call,
        outcome: ClientOutcome::Pending(2),
    }));
    assert_eq!(response(client), (200, r#"{"pending":2}"#.to_owned()));
    assert!(program.child.wait().expect("an end").success());
}

#[test]
fn an_idle_edge_detaches_from_an_unresponsive_head() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (frontend, readiness) = (local(free_port()), local(free_port()));
    let addresses = format!("frontend = \"{frontend}\"\nreadiness = \"{readiness}\"");
    let mut program = Program::start(
        "edge",
        listener.local_addr().expect("an address"),
        &addresses,
    );
    let mut unresponsive = Head::accept(&listener);
    program.wait_for_log("connected to the head");
    assert!(matches!(unresponsive.next(), Frame::Call(sent) if sent.path.is_empty()));
    program.wait_for_log("connection to the head lost");
    assert_eq!(call(frontend, "GET /q/ HTTP/1.1", "").0, 503);
    let _other = Head::accept(&listener);
    program.wait_for_log("connected to the head");
    assert_eq!(call(readiness, "GET /readiness HTTP/1.1", "").0, 200);
}

#[test]
fn a_node_agent_forwards_a_start_to_its_worker() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let control = local(free_port());
    let address = format!("control_plane = \"{control}\"");
    let mut program = Program::start("side", listener.local_addr().expect("an address"), &address);
    let mut head = Head::accept(&listener);
    program.wait_for_log("connected to the head");
    let send_heartbeat = |seq_no: u64| {
        let body = format!(
            r#"{{"backend":"s","address":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready","capacity":{{"cpu":1000,"mem_mb":100}},"seq_no":{seq_no}}}"#
        );
        call(control, "PUT /instances/i-1 HTTP/1.1", &body)
    };
    assert_eq!(
        send_heartbeat(1),
        (200, r#"{"retry_delay_ms":20}"#.to_owned())
    );
    let report =
        std::iter::repeat_with(|| head.next_report()).find(|report| report.instance.is_some());
    let run = RunId {
        task: TaskName {
            job: JobId(7),
            repeat: 0,
            step: 0,
            index: 0,
        },
        attempt: 1,
    };
    let resources = Resources {
        cpu: 100,
        mem_mb: 10,
        gpu: 0,
    };
    let start = StartOrder {
        run,
        resources,
        spec: "t".to_owned(),
        checkpoint: String::new(),
    };
    head.send(&Frame::Orders(AgentOrders {
        epoch: 4,
        echo_sent_ms: report.map(|report| report.sent_ms),
        instance: "i-1".to_owned(),
        start: vec![start],
        stop: Vec::new(),
        acknowledged_end: None,
    }));
    let mut answers = (2..).map(send_heartbeat);
    let (status, body) = answers
        .find(|(_, body)| body.contains("start"))
        .expect("an answer");
    assert_eq!(status, 200);
    let expected = r#"{"hold_ms":4500,"fence_token":4,"start":[["0000000000000007.0.0.0",1,"t",""]],"retry_delay_ms":20}"#;
    assert_eq!(body, expected);
    assert_eq!(call(control, "PUT /instances/i-1 HTTP/1.1", "{").0, 400);
    assert_eq!(call(control, "DELETE /instances/i-1 HTTP/1.1", "").0, 200);
    let report = std::iter::repeat_with(|| head.next_report())
        .find(|report| !report.ended_instances.is_empty());
    assert_eq!(report.expect("a report").ended_instances, ["i-1"]);
    program.terminate();
    assert!(program.child.wait().expect("an end").success());
}

fn run_with(settings: &str) -> Output {
    let file = tempfile::NamedTempFile::new().expect("a file");
    fs::write(file.path(), settings).expect("written");
    Program::command(file.path().as_os_str())
        .output()
        .expect("the program")
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
            .expect("the program");
        assert!(output.status.success());
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    assert!(run("--help").contains("--log-level"));
    assert!(run("--version").starts_with("indigofold-data "));
}
