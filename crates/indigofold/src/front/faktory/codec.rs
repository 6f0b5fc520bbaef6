//! Parsing and encoding of the Faktory work protocol, version 2: commands are lines, replies are RESP. Does no I/O.

use serde::Deserialize;
use sha2::{Digest, Sha256};
use simd_json::OwnedValue;
use std::fmt::Write;

/// The payload of HELLO.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Hello {
    /// Protocol version; only 2 is supported.
    pub v: u32,
    /// Name of a job worker; empty for a client that pushes jobs.
    pub wid: String,
    /// Host of the job worker. A different host or process id under the same `wid` means that the job worker was restarted.
    pub hostname: String,
    /// Process id of the job worker; see `hostname`.
    pub pid: u64,
    /// The password hashed with the salt of the greeting, in hexadecimal; see [`hashed`].
    pub pwdhash: String,
}

/// The fields of a pushed job that are interpreted. The job's text is passed on unchanged.
#[derive(Debug, Deserialize)]
pub struct Job {
    /// Job id, 8 to 128 bytes.
    pub jid: String,
    /// Name of the job's class in the settings.
    pub jobtype: String,
    /// Arguments; parsed only to check that they are present.
    pub args: Vec<OwnedValue>,
    /// Queue of the job; `default` if absent.
    #[serde(default = "default_queue")]
    pub queue: String,
    /// Scheduled start; jobs that set it are rejected, as all jobs run at once.
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
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Idempotency key, by which job workers detect repeated runs.
    pub key: Option<String>,
    /// How long the client waits, in milliseconds.
    pub deadline: Option<u64>,
    /// Slots that the job occupies; 1 if absent.
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

/// A command of a client or job worker.
#[derive(Debug)]
pub enum Command {
    /// HELLO: the first command on a connection.
    Hello(Hello),
    /// PUSH: run a job.
    Push(Box<Job>),
    /// FETCH: request a job of one of these queues, in order of preference.
    Fetch(Vec<String>),
    /// ACK: the job with this id has succeeded.
    Ack(String),
    /// FAIL: the job with this id has failed.
    Fail(String),
    /// BEAT: the heartbeat of the job worker with this `wid`; `true` if it accepts no new jobs.
    Heartbeat(String, bool),
    /// INFO: request statistics of the server.
    Info,
    /// END: close the connection.
    End,
}

impl Command {
    /// Parses a command without its line end.
    ///
    /// # Errors
    ///
    /// Describes what is wrong with the command, as text for the error reply.
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
    // The parser's error may quote the input, and a reply must stay on one line.
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

/// Reply to a command that succeeded.
pub const OK: &str = "+OK\r\n";
/// Reply to FETCH when there is no job: a null bulk string.
pub const NOTHING: &str = "$-1\r\n";

/// Encodes an error reply; `text` is put on one line and cut to 200 characters.
pub fn error(text: &str) -> String {
    format!("-ERR {}\r\n", single_line(text))
}

/// Encodes a bulk string.
pub fn bulk(text: &str) -> String {
    format!("${}\r\n{text}\r\n", text.len())
}

/// Encodes the server's greeting. `salt` gives the salt and the number of hash iterations if a password is required.
pub fn greeting(salt: Option<(&str, u32)>) -> String {
    match salt {
        Some((salt, times)) => format!("+HI {{\"v\":2,\"i\":{times},\"s\":\"{salt}\"}}\r\n"),
        None => "+HI {\"v\":2}\r\n".into(),
    }
}

/// Returns the password hash that a client must send: SHA-256 of password and salt, applied `times` times in total.
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

/// Compares two texts in a time that doesn't depend on where they differ.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    a.len() == b.len() && a.bytes().zip(b.bytes()).fold(0, |d, (a, b)| d | (a ^ b)) == 0
}
