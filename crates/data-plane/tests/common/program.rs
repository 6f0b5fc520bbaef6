//! The program as a child process, HTTP clients, and a simulated head.

use indigofold_protocol::codec;
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::{
    AgentOrders, AgentReport, ClientCall, ClientOutcome, ClientReply, Frame, MemberAddress, Welcome,
};
use std::fs;
use std::hash::{BuildHasher, RandomState};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout of each blocking read.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a random loopback address with a port that was free at the time of the call. A port of 127.0.0.1 may be taken by
/// an outgoing connection of another process before the program listens there.
pub(crate) fn free_address() -> SocketAddr {
    let [.., second, third, fourth] = RandomState::new().hash_one("address").to_be_bytes();
    let ip = Ipv4Addr::new(127, second.max(1), third, fourth.clamp(1, 254));
    let listener = TcpListener::bind((ip, 0)).expect("a loopback port is free");
    listener.local_addr().expect("the listener has an address")
}

/// The program as a child process, which is killed when dropped.
pub(crate) struct Program {
    child: Child,
    /// The program's log, from the first entry that no test has waited for.
    log: BufReader<ChildStderr>,
    settings: tempfile::NamedTempFile,
}

impl Program {
    /// Starts the program and waits until it serves. `serves`: `edge` or `side`; `addresses`: the lines of
    /// `bind_addrs`.
    pub(crate) fn start(serves: &str, head: SocketAddr, addresses: &str) -> Program {
        let text = format!(
            "node_name = \"n-1\"\nrole = \"r\"\nmachine_class = \"{serves}\"\nserves = [\"{serves}\"]\n\
             ip = \"127.0.0.1\"\nzone = \"a\"\nport_range = [{port}, {port}]\nseed_nodes = [\"127.0.0.1:1\"]\n\
             [bind_addrs]\n{addresses}\n[bounds]\ngrace_s = 2\nmax_hold_ms = 6000\n",
            port = head.port()
        );
        let settings = tempfile::NamedTempFile::new().expect("a temporary file is created");
        fs::write(settings.path(), text).expect("the settings are written");
        let mut child = Program::command(settings.path().as_os_str())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let mut program = Program {
            child,
            log,
            settings,
        };
        program.wait_for_log("serving");
        program
    }

    pub(crate) fn command(settings: &std::ffi::OsStr) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_indigofold-data"));
        command
            .env("INDIGOFOLD_CONFIG", settings)
            .stderr(Stdio::piped())
            .stdout(Stdio::piped());
        command
    }

    pub(crate) fn terminate(&self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("SIGTERM is sent");
    }

    /// Waits for the program to exit, and asserts that it succeeded.
    pub(crate) fn assert_success(&mut self) {
        assert!(self.child.wait().expect("the program exits").success());
    }

    /// Reads the log until an entry contains this text.
    pub(crate) fn wait_for_log(&mut self, text: &str) {
        let mut entries = Vec::new();
        loop {
            let mut entry = String::new();
            let length = self.log.read_line(&mut entry);
            let length = length.expect("the log is readable");
            assert!(
                length > 0,
                "the program exited without logging `{text}`: {entries:?}"
            );
            if entry.contains(text) {
                return;
            }
            entries.push(entry);
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

/// An edge that runs as a child process, and the addresses of its sockets.
pub(crate) struct EdgeProgram {
    pub program: Program,
    /// Listener of the simulated head.
    pub listener: TcpListener,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
}

impl EdgeProgram {
    pub(crate) fn start() -> EdgeProgram {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let (frontend, readiness) = (free_address(), free_address());
        let addresses = format!("frontend = \"{frontend}\"\nreadiness = \"{readiness}\"");
        let head = listener.local_addr().expect("the listener has an address");
        EdgeProgram {
            program: Program::start("edge", head, &addresses),
            listener,
            frontend,
            readiness,
        }
    }

    pub(crate) fn readiness_status(&self) -> u16 {
        call(self.readiness, "GET /readiness HTTP/1.1", "").0
    }
}

/// The simulated head's side of a connection.
pub(crate) struct Head {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Head {
    /// Accepts the program's connection and sends the welcome of an acting head.
    pub(crate) fn accept(listener: &TcpListener) -> Head {
        let (stream, _) = listener.accept().expect("a connection is accepted");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("the read timeout is set");
        let mut head = Head {
            stream,
            bytes: Vec::new(),
        };
        assert!(matches!(head.next(), Frame::Hello(hello) if hello.node_name == "n-1"));
        let address = listener.local_addr().expect("the listener has an address");
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

    /// Returns the next call of a client, after answering the liveness probes before it.
    pub(crate) fn next_call(&mut self) -> ClientCall {
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
                other => panic!("expected a call, got {other:?}"),
            }
        }
    }

    pub(crate) fn next(&mut self) -> Frame {
        loop {
            if let Some((frame, length)) =
                codec::decode(&self.bytes).expect("received bytes are valid frames")
            {
                self.bytes.drain(..length);
                return frame;
            }
            let mut buffer = [0; 4_096];
            let count = self
                .stream
                .read(&mut buffer)
                .expect("the connection is readable");
            assert!(count > 0, "the program has closed the connection");
            self.bytes.extend_from_slice(&buffer[..count]);
        }
    }

    /// Returns the next report that satisfies the condition, skipping other reports.
    pub(crate) fn next_report_with(
        &mut self,
        condition: impl Fn(&AgentReport) -> bool,
    ) -> AgentReport {
        loop {
            match self.next() {
                Frame::Report(report) if condition(&report) => return report,
                Frame::Report(_) => {}
                other => panic!("expected a report, got {other:?}"),
            }
        }
    }

    /// Like [`Head::next_report_with`], but answers the skipped reports, as a head does; an agent leaves one that does not.
    pub(crate) fn next_unanswered_report_with(
        &mut self,
        condition: impl Fn(&AgentReport) -> bool,
    ) -> AgentReport {
        loop {
            let report = self.next_report_with(|_| true);
            if condition(&report) {
                return report;
            }
            let instance = report.instance.map(|instance| instance.id);
            self.send(&Frame::Orders(AgentOrders {
                epoch: 4,
                echo_sent_ms: Some(report.sent_ms),
                instance: instance.unwrap_or_default(),
                start: Vec::new(),
                stop: Vec::new(),
                acknowledged_end: None,
                acknowledged_update: None,
            }));
        }
    }

    /// Reads without answering until the program closes the connection, and asserts that it does so within `limit`.
    pub(crate) fn wait_until_closed(&mut self, limit: Duration) {
        let started = Instant::now();
        let mut buffer = [0; 4_096];
        while self.stream.read(&mut buffer).is_ok_and(|count| count > 0) {
            assert!(
                started.elapsed() < limit,
                "the connection is open after {limit:?}"
            );
        }
    }

    pub(crate) fn send(&mut self, frame: &Frame) {
        self.stream
            .write_all(&codec::encode(frame))
            .expect("the frame is sent");
    }
}

/// A client's connection that stays open between requests.
pub(crate) struct KeptConnection {
    stream: TcpStream,
}

impl KeptConnection {
    pub(crate) fn open(address: SocketAddr) -> KeptConnection {
        let stream = TcpStream::connect(address).expect("the address accepts connections");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("the read timeout is set");
        KeptConnection { stream }
    }

    /// Sends a request and reads its response. `head`: the request line.
    pub(crate) fn call(&mut self, head: &str, body: &str) -> (u16, String) {
        let length = body.len();
        let text = format!("{head}\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}");
        self.stream
            .write_all(text.as_bytes())
            .expect("the request is sent");
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.stream
                .read_exact(&mut byte)
                .expect("the response is readable");
            received.push(byte[0]);
        }
        let head = String::from_utf8(received).expect("the head is text");
        let mut body = vec![0; content_length(&head)];
        self.stream
            .read_exact(&mut body)
            .expect("the body is readable");
        (
            status(&head),
            String::from_utf8(body).expect("the body is text"),
        )
    }
}

fn content_length(head: &str) -> usize {
    let mut fields = head.lines();
    fields
        .find_map(|field| {
            let (name, value) = field.split_once(':')?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.trim().parse().ok())?
        })
        .expect("the response has a length")
}

fn status(response: &str) -> u16 {
    response
        .get(9..12)
        .and_then(|digits| digits.parse().ok())
        .expect("the response has a status")
}

/// Sends a request on a new connection. `head`: the request line.
pub(crate) fn request(address: SocketAddr, head: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the address accepts connections");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read timeout is set");
    let text = format!(
        "{head}\r\nHost: h\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    stream
}

pub(crate) fn response(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("the response is readable");
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status(&text), body.to_owned())
}

pub(crate) fn call(address: SocketAddr, head: &str, body: &str) -> (u16, String) {
    response(request(address, head, body))
}
