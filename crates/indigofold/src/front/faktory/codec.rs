//! The Faktory work protocol, version 2: commands are lines, replies are RESP. No sockets.

use serde::Deserialize;
use sha2::{Digest, Sha256};
use simd_json::OwnedValue;
use std::fmt::Write;

/// The payload of HELLO.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Hello {
    /// The protocol's version.
    pub v: u32,
    /// A job worker's name; clients that hand in jobs have none.
    pub wid: String,
    /// Its host and process: another one under the same name is a new start.
    pub hostname: String,
    /// See `hostname`.
    pub pid: u64,
    /// The hashed password.
    pub pwdhash: String,
}

/// A job, as far as it is read; it is passed on as it came.
#[derive(Debug, Deserialize)]
pub struct Job {
    /// Its id.
    pub jid: String,
    /// Its class.
    pub jobtype: String,
    /// Its arguments: read only to see that they are there.
    pub args: Vec<OwnedValue>,
    /// Its queue.
    #[serde(default = "default_queue")]
    pub queue: String,
    /// When it is to be run, if not at once.
    #[serde(default)]
    pub at: Option<String>,
    /// Hints for the scheduler.
    #[serde(default)]
    pub custom: Option<Custom>,
}

/// A client's hints for the scheduler about a job.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Custom {
    /// The tenant.
    pub tenant: Option<String>,
    /// The key by which job workers drop repeats.
    pub key: Option<String>,
    /// How long the client waits, in milliseconds.
    pub deadline: Option<u64>,
    /// Slots that the job takes.
    pub slots: Option<f64>,
}

fn default_queue() -> String {
    "default".into()
}

#[derive(Deserialize)]
struct Jid {
    jid: String,
}

#[derive(Deserialize)]
struct HeartbeatBody {
    wid: String,
    #[serde(default)]
    current_state: String,
}

/// A command.
#[derive(Debug)]
pub enum Command {
    /// The first one on a connection.
    Hello(Hello),
    /// Run a job.
    Push(Box<Job>),
    /// Give me a job of one of these queues.
    Fetch(Vec<String>),
    /// The job is done.
    Ack(String),
    /// The job has failed.
    Fail(String),
    /// I am alive; `true`: I take nothing new.
    Heartbeat(String, bool),
    /// How are you?
    Info,
    /// Good-bye.
    End,
}

impl Command {
    /// Parses a command without its line end. An error says what is wrong with it.
    ///
    /// # Errors
    ///
    /// What is wrong with the command.
    pub fn parse(command: &[u8]) -> Result<Command, String> {
        let text = std::str::from_utf8(command).map_err(|_| "a command must be UTF-8")?;
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let rest = rest.trim();
        Ok(match verb {
            "HELLO" => Command::Hello(json("HELLO", rest)?),
            "PUSH" => Command::Push(Box::new(json::<Job>("PUSH", rest).and_then(checked)?)),
            "FETCH" => {
                let queues: Vec<String> = rest.split_whitespace().map(str::to_string).collect();
                Command::Fetch(if queues.is_empty() {
                    vec![default_queue()]
                } else {
                    queues
                })
            }
            "ACK" => Command::Ack(json::<Jid>("ACK", rest)?.jid),
            "FAIL" => Command::Fail(json::<Jid>("FAIL", rest)?.jid),
            "BEAT" => {
                let body: HeartbeatBody = json("BEAT", rest)?;
                Command::Heartbeat(
                    body.wid,
                    matches!(body.current_state.as_str(), "quiet" | "terminate"),
                )
            }
            "INFO" => Command::Info,
            "END" => Command::End,
            "FLUSH" => return Err("FLUSH is refused: jobs taken are not thrown away".into()),
            _ => {
                return Err(format!(
                    "unknown command {:?}",
                    verb.chars().take(20).collect::<String>()
                ));
            }
        })
    }
}

fn json<T: for<'a> Deserialize<'a>>(verb: &str, text: &str) -> Result<T, String> {
    let mut bytes = text.as_bytes().to_vec();
    // The library's error may quote the input; a reply must stay on one line.
    crate::config::decode(&mut bytes)
        .map_err(|e| single_line(&format!("{verb} needs a JSON object: {e}")))
}

fn checked(job: Job) -> Result<Job, String> {
    if job.jid.len() < 8 || job.jid.len() > 128 {
        return Err("jid must have 8 to 128 characters".into());
    }
    if job.at.as_ref().is_some_and(|at| !at.is_empty()) {
        return Err("at is not supported: jobs run at once".into());
    }
    Ok(job)
}

fn single_line(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { ' ' } else { c })
        .take(200)
        .collect()
}

/// `+OK`.
pub const OK: &str = "+OK\r\n";
/// No job.
pub const NOTHING: &str = "$-1\r\n";

/// An error reply.
pub fn error(text: &str) -> String {
    format!("-ERR {}\r\n", single_line(text))
}

/// A bulk string.
pub fn bulk(text: &str) -> String {
    format!("${}\r\n{text}\r\n", text.len())
}

/// The server's greeting; with a password, how to hash it.
pub fn greeting(salt: Option<(&str, u32)>) -> String {
    match salt {
        Some((salt, times)) => format!("+HI {{\"v\":2,\"i\":{times},\"s\":\"{salt}\"}}\r\n"),
        None => "+HI {\"v\":2}\r\n".into(),
    }
}

/// The password as a client must send it: hashed with the salt, and so many times in all.
pub fn hashed(password: &str, salt: &str, times: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}"));
    for _ in 1..times {
        hash = Sha256::digest(hash);
    }
    hash.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Compares without telling by its time where two texts differ.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    a.len() == b.len() && a.bytes().zip(b.bytes()).fold(0, |d, (a, b)| d | (a ^ b)) == 0
}
