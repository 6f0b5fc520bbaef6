//! Recorded byte exchanges, played against the program. Each file in `tests/exchanges` is one exchange. Its lines are steps:
//!
//!     NAME listen                  opens a listener of a simulated peer; `$NAME` is its address from then on
//!     known HOSTS                  sets the machine list in the configuration (hosts in discovery's JSON form)
//!     set OLD => NEW               replaces a text in the settings
//!     start platform|faktory|both [sockets=N] [ulimit=N] [unread=1] [tmpdir=no]   starts the program with these front
//!                                  ends; `$gw` is its address; with `unread` its log isn't read after the line of the
//!                                  start, and with `tmpdir=no` it has no $TMPDIR
//!     replace                      starts a second process of the program; the running one is `old` from then on
//!     stale                        leaves a socket file in the program's $TMPDIR on which no process listens
//!     NAME dial [door|faktory]     connects to the program's front end, to its admin endpoint, or, if both front ends run,
//!                                  to the Faktory one
//!     NAME full                    fills the listener's queue: connections to it hang until it is `open`
//!     NAME quiet                   checks that no connection waits to be accepted by the listener
//!     NAME dialled                 waits until a connection to the full listener hangs
//!     NAME open                    ends `full`: hanging connections are established at their next retransmission
//!     NAME deaf                    closes the listener
//!     NAME accept LISTENER         accepts a connection made by the program
//!     crowd N BYTES                opens N connections c0, c1 ... and sends the bytes on each; `$n` is the number
//!     pushers N BYTES              the same to the Faktory front end: reads the greeting, sends, reads the first +OK
//!     visits N BYTES               opens N connections one after another, each until the program has closed it
//!     scatter                      closes all connections whose names begin with c
//!     NAME > BYTES                 sends; `\r` and `\n` are escapes, `$L` is the length of the body after the head,
//!                                  `$deep` is 30,000 nested pairs of brackets
//!     NAME < PATTERN               waits for bytes that match from the first one on; `*` matches any bytes, `{3-40}` a
//!                                  whole number from 3 to 40
//!     NAME close / NAME eof        closes the connection / waits for the program to close it, with or without a reset
//!     NAME leave                   closes, and waits until the program's side has acknowledged the close
//!     NAME unread                  waits until bytes have arrived, and leaves them unread
//!     NAME end                     waits for the program to close without a reset
//!     NAME reset                   closes with a reset
//!     NAME fill COUNT              sends this number of bytes that are no valid message
//!     pause MS                     waits for at least this time
//!     log TEXT                     waits until the log has a line that contains the text
//!     config ADDRESS               changes discovery's address in the configuration file; without one, empties the file
//!     edit OLD => NEW              replaces a text in the configuration file
//!     broken OLD => NEW            the same, but the next `edit` or `broken` starts from the file before this change
//!     hup / term / exit [old]      sends SIGHUP / SIGTERM / waits for the program to exit with success
//!     stop / cont                  sends SIGSTOP / SIGCONT
//!     kill [old]                   kills the program and continues with the old process; or kills the old process
//!     was TEXT                     waits until the log of the old process has a line that contains the text
//!     runs JOB N                   checks that job workers (names that begin with w) received the job N times in total
//!
//! Steps wait for events, except for `pause`; an event that doesn't occur within `LIMIT` fails the test.

use rstest::rstest;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(20);
const SETTINGS: &str = include_str!("exchanges/settings.json");

struct Program {
    child: Child,
    log_output: Receiver<String>,
    log: Vec<String>,
}

impl Program {
    fn wait_for_log(&mut self, text: &str) -> String {
        let until = Instant::now() + LIMIT;
        loop {
            if let Some(entry) = self.log.iter().find(|l| l.contains(text)) {
                return entry.clone();
            }
            match self
                .log_output
                .recv_timeout(until.saturating_duration_since(Instant::now()))
            {
                Ok(entry) => self.log.push(entry),
                Err(_) => panic!("no log line with {text:?} in {:#?}", self.log),
            }
        }
    }
}

#[derive(Default)]
struct Harness {
    program: Option<Program>,
    old: Option<Program>,
    dir: PathBuf,
    front: String,
    file: (PathBuf, String),
    known: String,
    settings: String,
    listeners: HashMap<String, TcpListener>,
    fillers: HashMap<String, TcpStream>,
    links: HashMap<String, (TcpStream, Vec<u8>)>,
    vars: HashMap<String, String>,
    received_by_workers: HashMap<String, Vec<u8>>,
}

impl Drop for Harness {
    fn drop(&mut self) {
        for program in self.old.iter_mut().chain(&mut self.program) {
            if std::thread::panicking() {
                program.log.extend(program.log_output.try_iter());
                eprintln!("log of the program: {:#?}", program.log);
            }
            let _ = program.child.kill();
            let _ = program.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Matches the start of `text` against a pattern. Returns the length of the match, `None` if more bytes may complete it, or
/// an error if no further bytes can.
fn match_prefix(text: &str, pattern: &str) -> Result<Option<usize>, ()> {
    let mut literals = pattern.split('*');
    let Some(mut at) = match_literal(text, literals.next().unwrap_or(""))? else {
        return Ok(None);
    };
    for literal in literals {
        // `*` ends at the first position where the next literal matches completely.
        let ends = (at..=text.len())
            .filter(|n| text.is_char_boundary(*n))
            .find_map(|n| {
                let end = match_literal(&text[n..], literal).ok().flatten()?;
                Some(n + end)
            });
        let Some(end) = ends else { return Ok(None) };
        at = end;
    }
    Ok(Some(at))
}

/// Matches a part of a pattern without `*`; returns the same as `match_prefix`.
fn match_literal(text: &str, literal: &str) -> Result<Option<usize>, ()> {
    let number = literal.split_once('{').and_then(|(before, rest)| {
        let (range, after) = rest.split_once('}')?;
        let (least, most) = range.split_once('-')?;
        Some((
            before,
            least.parse::<u64>().ok()?..=most.parse::<u64>().ok()?,
            after,
        ))
    });
    let Some((before, range, after)) = number else {
        return match text.starts_with(literal) {
            true => Ok(Some(literal.len())),
            false if literal.starts_with(text) => Ok(None),
            false => Err(()),
        };
    };
    let Some(at) = match_literal(text, before)? else {
        return Ok(None);
    };
    let digits = text[at..].bytes().take_while(u8::is_ascii_digit).count();
    if at + digits == text.len() {
        return Ok(None); // more digits may follow
    }
    if !text[at..at + digits]
        .parse()
        .is_ok_and(|number| range.contains(&number))
    {
        return Err(());
    }
    let end = at + digits;
    Ok(match_literal(&text[end..], after)?.map(|length| end + length))
}

impl Harness {
    fn expand(&self, text: &str) -> String {
        let mut text = text.replace("\\r", "\r").replace("\\n", "\n");
        for (name, value) in &self.vars {
            text = text.replace(&format!("${name}"), value);
        }
        let body = text.find("\r\n\r\n").map_or(0, |end| text.len() - end - 4);
        // Replacing `$L` changes the length of the head, but not that of the body.
        text.replace("$L", &body.to_string())
    }

    fn start(&mut self, front: &str, args: &str) {
        let opt = |name: &str| {
            args.split(' ')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
        };
        let sockets = opt("sockets").unwrap_or("256");
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let name = format!(
            "{}-{:?}.json",
            std::process::id(),
            std::thread::current().id()
        );
        let path = dir.join(name.replace(['(', ')'], ""));
        // A descriptor limit below the one in the configuration, as on a machine shared with other programs.
        let limit = opt("ulimit").map_or(String::new(), |n| format!("ulimit -n {n}; "));
        // The path of a Unix socket is limited in length, so the folder is directly below the temporary one.
        if self.dir.as_os_str().is_empty() {
            self.dir = std::env::temp_dir().join(name.replace(['(', ')'], "").replace("json", "d"));
        }
        std::fs::create_dir_all(&self.dir).expect("cannot create the program's folder");
        let (settings, known) = (&self.settings, self.expand(&self.known));
        let faktory = format!(
            r#"{{"listen":"127.0.0.1:0","password":"sesame","iterations":3,"settings":{settings},
            "reconnect_within_ms":100,"machines":[
            {{"machine":"m1","wids":["w-one","w-two"],"zone":"north","kind":"big"}}]}}"#
        );
        let text = if front == "faktory" {
            faktory.clone()
        } else {
            let discovery = &self.vars["disc"];
            format!(
                r#"{{"name":"n0","listen":"127.0.0.1:0","management":"127.0.0.1:0","discovery":"{discovery}","seed":"5","limits":{{"sockets":{sockets}}},
                "known":{{"seq":1,"whole":true,"hosts":[{known}]}},"settings":{settings}}}"#
            )
        };
        if front == "both" {
            std::fs::write(path.with_extension("faktory"), faktory)
                .expect("Faktory file not written");
        }
        std::fs::write(&path, &text).expect("cannot write the configuration file");
        self.file = (path, text);
        let unset = if opt("tmpdir") == Some("no") {
            "unset TMPDIR; "
        } else {
            ""
        };
        self.spawn(front, &format!("{unset}{limit}"), opt("unread").is_some());
    }

    #[allow(
        clippy::too_many_lines,
        reason = "one sequence: start the program, then read its addresses from the log"
    )]
    fn spawn(&mut self, front: &str, before: &str, unread: bool) {
        let mut command = Command::new("/bin/sh");
        command.args([
            "-c",
            &format!("{before}exec {}", env!("CARGO_BIN_EXE_indigofold")),
        ]);
        command
            .env_remove("GW_CONFIG")
            .env_remove("INDIGOFOLD_FAKTORY")
            .env("TMPDIR", &self.dir);
        command.env(
            if front == "faktory" {
                "INDIGOFOLD_FAKTORY"
            } else {
                "GW_CONFIG"
            },
            &self.file.0,
        );
        if front == "both" {
            command.env("INDIGOFOLD_FAKTORY", self.file.0.with_extension("faktory"));
        }
        self.front = front.into();
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("cannot start the program");
        let (log_output, log) = channel();
        let reader = BufReader::new(
            child
                .stderr
                .take()
                .expect("the program's stderr must be piped"),
        );
        std::thread::spawn(move || {
            for entry in reader.lines().map_while(Result::ok) {
                let last = unread && entry.contains("start front=");
                let _ = log_output.send(entry);
                if last {
                    loop {
                        std::thread::park(); // keeps the pipe open without reading it
                    }
                }
            }
        });
        self.program = Some(Program {
            child,
            log_output: log,
            log: Vec::new(),
        });
        let log_markers = [
            ("gw", "start front="),
            ("door", "door listen="),
            ("faktory", "start front=faktory"),
        ];
        let is_expected = |name: &&(&str, &str)| {
            name.0 == "gw" || (name.0 == "door" && front != "faktory") || front == "both"
        };
        for (name, text) in log_markers.iter().filter(is_expected).copied() {
            let entry = self.wait_for_log(text);
            let address = entry
                .rsplit("listen=")
                .next()
                .expect("the log line must end with listen=ADDRESS")
                .to_string();
            self.vars.insert(name.into(), address);
        }
    }

    fn wait_for_log(&mut self, text: &str) -> String {
        self.program
            .as_mut()
            .expect("process not started")
            .wait_for_log(text)
    }

    fn process(&mut self, name: &str) -> &mut Program {
        if name == "old" {
            &mut self.old
        } else {
            &mut self.program
        }
        .as_mut()
        .expect("process not started")
    }

    fn add_connection(&mut self, name: &str, stream: TcpStream) {
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("cannot set the read timeout");
        stream.set_nodelay(true).expect("cannot set TCP_NODELAY");
        self.links.insert(name.into(), (stream, Vec::new()));
    }

    fn expect(&mut self, name: &str, pattern: &str) {
        let pattern = self.expand(pattern);
        let (stream, received) = self
            .links
            .get_mut(name)
            .expect("no open connection has this name");
        loop {
            let text = String::from_utf8_lossy(received).into_owned();
            match match_prefix(&text, &pattern) {
                Ok(Some(count)) => {
                    received.drain(..count);
                    break;
                }
                Ok(None) => {}
                Err(()) => panic!("{name}: expected {pattern:?}, received {text:?}"),
            }
            let mut bytes = [0; 4096];
            match stream.read(&mut bytes) {
                Ok(count @ 1..) => {
                    received.extend(&bytes[..count]);
                    if name.starts_with('w') {
                        self.received_by_workers
                            .entry(name.into())
                            .or_default()
                            .extend(&bytes[..count]);
                    }
                }
                other => panic!("{name}: expected {pattern:?}, received {text:?}, then {other:?}"),
            }
        }
        if let Some(salt) = pattern
            .starts_with("+HI")
            .then(|| self.salt(name))
            .flatten()
        {
            let hash = indigofold::front::faktory::codec::hashed("sesame", &salt, 3);
            self.vars.insert("hash".into(), hash);
        }
    }

    /// Reads the rest of a greeting, after the pattern `+HI ` has matched, and returns its salt; `None` if there is none.
    fn salt(&mut self, name: &str) -> Option<String> {
        let (_, received) = self.links.get_mut(name)?;
        let text = String::from_utf8_lossy(received).into_owned();
        let end = text.find("\r\n")? + 2;
        received.drain(..end);
        text.split("\"s\":\"")
            .nth(1)?
            .split('"')
            .next()
            .map(str::to_string)
    }

    fn execute(&mut self, step: &str) {
        let (name, rest) = step.split_once(' ').unwrap_or((step, ""));
        let (verb, args) = rest.split_once(' ').unwrap_or((rest, ""));
        match (name, verb) {
            ("known" | "set" | "stale" | "config" | "edit" | "broken", _) => {
                self.change_files((name, verb), rest);
            }
            ("crowd" | "pushers" | "visits" | "scatter", _) => self.open_many((name, verb), args),
            (
                "start" | "replace" | "kill" | "was" | "log" | "runs" | "exit" | "pause" | "term"
                | "hup" | "stop" | "cont",
                _,
            ) => {
                self.control_program((name, verb), rest, args);
            }
            (_, "listen" | "full" | "quiet" | "dialled" | "open" | "deaf") => {
                self.use_listener(name, verb);
            }
            _ => self.use_connection((name, verb), args),
        }
    }

    /// Executes a step that changes the configuration or the program's temporary folder.
    fn change_files(&mut self, (name, verb): (&str, &str), rest: &str) {
        match (name, verb) {
            ("known", _) => self.known = rest.into(),
            ("set", _) => {
                let (old, new) = rest
                    .split_once(" => ")
                    .expect("the step must have the form OLD => NEW");
                assert!(self.settings.contains(old), "{old} is not in the settings");
                self.settings = self.settings.replace(old, new);
            }
            ("stale", _) => {
                let hash = indigofold::config::hash("127.0.0.1:0");
                self.dir = std::env::temp_dir().join(format!("stale-{}", std::process::id()));
                std::fs::create_dir_all(&self.dir).expect("cannot create the program's folder");
                let path = self.dir.join(format!("indigofold-{hash:016x}.sock"));
                drop(
                    std::os::unix::net::UnixListener::bind(path)
                        .expect("cannot bind the stale socket"),
                );
            }
            ("config", _) => {
                let (path, old) = &self.file;
                let new = old.replace(&self.vars["disc"], &self.expand(rest));
                std::fs::write(path, if rest.is_empty() { "" } else { &new })
                    .expect("cannot write the configuration file");
            }
            ("edit" | "broken", _) => {
                let (old, new) = rest
                    .split_once(" => ")
                    .expect("the step must have the form OLD => NEW");
                assert!(self.file.1.contains(old), "{old} is not in the file");
                let text = self.file.1.replace(old, new);
                std::fs::write(&self.file.0, &text).expect("cannot write the configuration file");
                if name == "edit" {
                    self.file.1 = text;
                }
            }
            _ => panic!("unknown step: {name} {verb}"),
        }
    }

    /// Executes a step that opens or closes many connections.
    fn open_many(&mut self, (name, verb): (&str, &str), args: &str) {
        match (name, verb) {
            ("crowd", count) => {
                for n in 0..count.parse().expect("the step needs a number") {
                    self.execute(&format!("c{n} dial"));
                    self.execute(&format!("c{n} > {}", args.replace("$n", &n.to_string())));
                }
            }
            ("pushers", count) => {
                for n in 0..count.parse().expect("the step needs a number") {
                    self.execute(&format!("c{n} dial faktory"));
                    self.execute(&format!("c{n} < +HI "));
                    self.execute(&format!("c{n} > {}", args.replace("$n", &n.to_string())));
                    self.execute(&format!("c{n} < +OK\\r\\n"));
                }
            }
            ("visits", count) => {
                for _ in 0..count.parse().expect("the step needs a number") {
                    self.execute("visit dial");
                    self.execute(&format!("visit > {args}"));
                    let (stream, received) = self
                        .links
                        .get_mut("visit")
                        .expect("no open connection has this name");
                    assert!(
                        stream
                            .read_to_end(received)
                            .expect("cannot read an answer up to the end")
                            > 0
                    );
                }
            }
            ("scatter", _) => self.links.retain(|name, _| !name.starts_with('c')),
            _ => panic!("unknown step: {name} {verb}"),
        }
    }

    /// Executes a step that starts, signals or observes the program.
    #[allow(clippy::too_many_lines, reason = "one arm for each step")]
    fn control_program(&mut self, (name, verb): (&str, &str), rest: &str, args: &str) {
        match (name, verb) {
            ("start", front) => self.start(front, args),
            ("replace", _) => {
                self.old = self.program.take();
                self.spawn(&self.front.clone(), "", false);
            }
            ("kill", _) => {
                let program = self.process(rest);
                program
                    .child
                    .kill()
                    .and_then(|()| program.child.wait())
                    .expect("cannot wait for the program's end");
                let old = self.old.take();
                if rest != "old" {
                    self.program = old;
                }
            }
            ("was", _) => {
                _ = self
                    .old
                    .as_mut()
                    .expect("process not started")
                    .wait_for_log(rest);
            }
            ("log", _) => _ = self.wait_for_log(&self.expand(rest)),
            ("runs", job) => {
                let (id, trace) = (
                    format!("\"jid\":\"{job}\""),
                    format!("X-Trace-Id: {job}\r\n"),
                );
                let text = |bytes: &Vec<u8>| String::from_utf8_lossy(bytes).into_owned();
                let count = |text: String| text.matches(&id).count() + text.matches(&trace).count();
                let runs: usize = self.received_by_workers.values().map(text).map(count).sum();
                assert_eq!(runs.to_string(), args, "runs of {job}");
            }
            ("term" | "hup" | "stop" | "cont", _) => {
                let (id, signal) = (self.process(rest).child.id(), name.to_uppercase());
                let kill = Command::new("kill")
                    .args([format!("-{signal}"), id.to_string()])
                    .status();
                assert!(kill.expect("cannot run kill").success());
            }
            ("exit", _) => {
                let program = self.process(rest);
                let status = program
                    .child
                    .wait()
                    .expect("cannot wait for the program's end");
                assert!(status.success(), "{status}, {:#?}", program.log);
            }
            ("pause", ms) => {
                std::thread::sleep(Duration::from_millis(
                    ms.parse().expect("the step needs a number"),
                ));
            }
            _ => panic!("unknown step: {name} {verb}"),
        }
    }

    /// Executes a step on a listener of a simulated peer.
    #[allow(clippy::too_many_lines, reason = "one arm for each step")]
    fn use_listener(&mut self, name: &str, verb: &str) {
        match (name, verb) {
            (_, "listen") => {
                let listener =
                    TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
                let address = listener
                    .local_addr()
                    .expect("the listener must have an address")
                    .to_string();
                self.vars.insert(name.into(), address);
                self.listeners.insert(name.into(), listener);
            }
            (_, "full") => {
                let listener = &self.listeners[name];
                // A queue of length 0 still holds one connection. Further connections get no reply, and the kernel retries
                // them one, three and seven seconds after the first try.
                rustix::net::listen(listener, 0).expect("cannot shorten the queue");
                let filler = TcpStream::connect(
                    listener
                        .local_addr()
                        .expect("the listener must have an address"),
                );
                self.fillers.insert(
                    name.into(),
                    filler.expect("cannot connect to fill the queue"),
                );
            }
            (_, "quiet") => {
                let listener = &self.listeners[name];
                listener
                    .set_nonblocking(true)
                    .expect("cannot set the listener's blocking mode");
                let came = listener.accept().map_err(|e| e.kind());
                listener
                    .set_nonblocking(false)
                    .expect("cannot set the listener's blocking mode");
                assert_eq!(
                    came.err(),
                    Some(std::io::ErrorKind::WouldBlock),
                    "a connection to {name} waits, none is expected"
                );
            }
            (_, "dialled") => {
                let port = self.listeners[name]
                    .local_addr()
                    .expect("the listener must have an address")
                    .port();
                let (to, until) = (format!(":{port:04X} 02 "), Instant::now() + LIMIT);
                while !std::fs::read_to_string("/proc/net/tcp")
                    .expect("cannot read /proc/net/tcp")
                    .contains(&to)
                {
                    assert!(
                        Instant::now() < until,
                        "no connection to {name} hangs after {LIMIT:?}"
                    );
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            (_, "open") => {
                let listener = &self.listeners[name];
                drop(
                    listener
                        .accept()
                        .expect("cannot accept the connection that filled the queue"),
                );
                rustix::net::listen(listener, 128).expect("cannot restore the queue length");
                self.fillers.remove(name);
            }
            (_, "deaf") => _ = self.listeners.remove(name),
            _ => panic!("unknown step: {name} {verb}"),
        }
    }

    /// Executes a step on one connection.
    #[allow(clippy::too_many_lines, reason = "one arm for each step")]
    fn use_connection(&mut self, (name, verb): (&str, &str), args: &str) {
        match (name, verb) {
            (_, "reset") => {
                let (stream, _) = self
                    .links
                    .remove(name)
                    .expect("no open connection has this name");
                rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO))
                    .expect("cannot set SO_LINGER");
            }
            (_, "leave") => {
                let (stream, _) = self
                    .links
                    .remove(name)
                    .expect("no open connection has this name");
                // With SO_LINGER, closing the socket waits until the peer has acknowledged the close.
                rustix::net::sockopt::set_socket_linger(&stream, Some(LIMIT))
                    .expect("cannot set SO_LINGER");
            }
            (_, "unread") => {
                let (stream, received) = self
                    .links
                    .get_mut(name)
                    .expect("no open connection has this name");
                assert!(
                    received.is_empty(),
                    "{name}: bytes beyond the expected ones have been read"
                );
                let count = stream
                    .peek(&mut [0])
                    .expect("no bytes to be read have arrived");
                assert_eq!(count, 1, "{name} was closed");
            }
            (_, "fill") => {
                let (stream, _) = self
                    .links
                    .get_mut(name)
                    .expect("no open connection has this name");
                stream
                    .write_all(&vec![b'x'; args.parse().expect("the step needs a number")])
                    .expect("cannot send");
            }
            (_, "end") => {
                let (stream, received) = self
                    .links
                    .get_mut(name)
                    .expect("no open connection has this name");
                stream
                    .read_to_end(received)
                    .expect("the program must close without a reset");
                assert!(
                    received.is_empty(),
                    "{name}: unexpected bytes {:?} before the end of the connection",
                    String::from_utf8_lossy(received)
                );
            }
            (_, "dial") => {
                let stream =
                    TcpStream::connect(&self.vars[if args.is_empty() { "gw" } else { args }])
                        .expect("cannot connect to the program");
                self.add_connection(name, stream);
            }
            (_, "accept") => {
                let listener = self.listeners[args]
                    .try_clone()
                    .expect("cannot clone the listener");
                let (to, from) = channel();
                std::thread::spawn(move || to.send(listener.accept()));
                let accepted = from
                    .recv_timeout(LIMIT)
                    .unwrap_or_else(|_| panic!("no connection to {args} within {LIMIT:?}"));
                let stream = accepted.expect("cannot accept a connection").0;
                self.add_connection(name, stream);
            }
            (_, ">") => {
                let text = self.expand(args);
                let (stream, _) = self
                    .links
                    .get_mut(name)
                    .expect("no open connection has this name");
                stream.write_all(text.as_bytes()).expect("cannot send");
            }
            (_, "<") => self.expect(name, args),
            (_, "close") => _ = self.links.remove(name),
            (_, "eof") => {
                let (stream, received) = self
                    .links
                    .get_mut(name)
                    .expect("no open connection has this name");
                let end = stream.read_to_end(received);
                let reset = |e: std::io::Error| e.kind() == std::io::ErrorKind::ConnectionReset;
                assert!(
                    end.is_ok() || end.is_err_and(reset),
                    "{name}: expected the end of the connection or a reset"
                );
                assert!(
                    received.is_empty(),
                    "{name}: unexpected bytes {:?} before the end of the connection",
                    String::from_utf8_lossy(received)
                );
            }
            _ => panic!("unknown step: {name} {verb}"),
        }
    }
}

#[rstest]
fn recorded_exchange(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("cannot read the exchange file");
    let mut harness = Harness::default();
    harness.settings = SETTINGS.into();
    harness.vars.insert(
        "deep".into(),
        ["[".repeat(30_000), "]".repeat(30_000)].concat(),
    );
    for step in text
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'))
    {
        harness.execute(step);
    }
}

#[test]
fn patterns_match_from_the_first_byte_on() {
    assert_eq!(
        match_prefix("HTTP/1.1 200 OK\r\n\r\nab", "HTTP/1.1 200 *\r\n\r\na"),
        Ok(Some(20))
    );
    assert_eq!(
        match_prefix("HTTP/1.1 200 OK", "HTTP/1.1 200 *\r\n"),
        Ok(None)
    );
    assert_eq!(match_prefix("HT", "HTTP"), Ok(None));
    assert_eq!(match_prefix("HTTP/1.1 500", "HTTP/1.1 200"), Err(()));
    let matches = |text| match_prefix(text, "w={3-40} *;");
    assert_eq!(matches("w=40 a;b"), Ok(Some(7)));
    assert_eq!(
        (matches("w=4"), matches("w=41 a;"), matches("w= a;")),
        (Ok(None), Err(()), Err(()))
    );
}
