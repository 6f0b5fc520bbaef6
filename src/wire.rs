//! The text protocol of the adapter: lines to [`Event`]s, [`Action`]s to lines, names to ids. No decisions.
//!
//! A [`Session`] hosts any number of instances that share nothing. Feed it lines with [`Session::line`]; at
//! the end of each batch it returns the reply. Unknown messages, fields and settings are skipped, the first
//! of each kind with a note ([`Session::take_notes`]); a known message that is malformed is a [`WireError`].

use crate::api::*;
use crate::config::{self, Site};
use crate::core::engine::Module;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// A line that could not be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// What was expected.
    pub message: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for WireError {}

struct KnownRequest {
    word: String,
    attempts_out: u32,
    closed: bool,
}

struct Instance {
    module: Module,
    site: Site,
    next_request: RequestId,
    ids: FxHashMap<String, RequestId>,
    requests: FxHashMap<RequestId, KnownRequest>,
}

struct PendingList {
    scope: Scope,
    left: u64,
    entries: Vec<Entry>,
}

/// All instances that one adapter process hosts, and the state of the line protocol.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<u32, Instance>,
    line: u64,
    in_batch: bool,
    now: Time,
    current: Option<u32>,
    list: Option<PendingList>,
    reply: String,
    reply_for: Option<u32>,
    actions: Vec<Action>,
    notes: Vec<String>,
    noted: BTreeSet<String>,
}

/// The fields of one line.
struct Fields<'a> {
    message: &'a str,
    pairs: SmallVec<[(&'a str, &'a str); 12]>,
}

type Parse<T> = Result<T, String>;

impl<'a> Fields<'a> {
    fn new(text: &'a str) -> Parse<Self> {
        let (message, mut rest) = match text.bytes().position(|b| b == b' ') {
            Some(n) => (&text[..n], &text[n + 1..]),
            None => (text, ""),
        };
        let mut pairs = SmallVec::new();
        while !rest.is_empty() {
            // The name ends at '='; a space before that, or no name at all, is malformed.
            let end = rest.bytes().position(|b| b == b'=' || b == b' ').unwrap_or(0);
            if end == 0 || rest.as_bytes()[end] != b'=' {
                return Err(format!("{message}: expected name=value, got '{}'", head(rest)));
            }
            let (name, after) = (&rest[..end], &rest[end + 1..]);
            // A text or object value runs to the end of the line.
            let runs_on = name == "env" || name == "noteText";
            let stop = if runs_on { None } else { after.bytes().position(|b| b == b' ') };
            let (value, next) = stop.map_or((after, ""), |n| (&after[..n], &after[n + 1..]));
            pairs.push((name, value));
            rest = next;
        }
        Ok(Fields { message, pairs })
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    fn need(&self, name: &str) -> Parse<&'a str> {
        self.text(name).ok_or_else(|| format!("{}: missing field '{name}'", self.message))
    }

    fn number(&self, name: &str) -> Parse<Option<f64>> {
        let Some(text) = self.text(name) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(v) if v.is_finite() => Ok(Some(v)),
            _ => Err(format!("{}: field '{name}' must be a number, got '{}'", self.message, head(text))),
        }
    }

    fn integer(&self, name: &str) -> Parse<Option<i64>> {
        let Some(text) = self.text(name) else { return Ok(None) };
        match text.parse::<i64>() {
            Ok(v) => Ok(Some(v)),
            Err(_) => {
                Err(format!("{}: field '{name}' must be an integer, got '{}'", self.message, head(text)))
            }
        }
    }

    fn need_integer(&self, name: &str) -> Parse<i64> {
        self.need(name)?;
        Ok(self.integer(name)?.unwrap_or(0))
    }

    fn small(&self, name: &str) -> Parse<u32> {
        u32::try_from(self.need_integer(name)?)
            .map_err(|_| format!("{}: field '{name}' must lie in 0 to 2^32 - 1", self.message))
    }

    fn time(&self, name: &str) -> Parse<Time> {
        Ok(self.integer(name)?.unwrap_or(0).max(0) as Time)
    }

    fn flag(&self, name: &str) -> bool {
        matches!(self.text(name), Some("1" | "true"))
    }

    fn skip_unknown(&self, known: &[&str]) -> Option<&'a str> {
        self.pairs.iter().map(|(n, _)| *n).find(|n| !known.contains(n))
    }
}

fn head(text: &str) -> String {
    text.chars().take(40).collect()
}

/// The known messages and their fields.
const MESSAGES: &[(&str, &[&str])] = &[
    ("TICK", &["wall"]),
    ("EOB", &[]),
    ("INSTANCE", &["who"]),
    ("BOOT", &["randomSeed", "env"]),
    ("CRASH_NOW", &[]),
    ("REGISTRY", &["scope", "index", "hosts"]),
    ("ROW", &["worker", "dc", "machine", "stripe", "stageState", "powerHint", "readyAt"]),
    (
        "ACCEPT",
        &[
            "requestId",
            "type",
            "realm",
            "subject",
            "left",
            "estimate",
            "needs",
            "mem",
            "resent",
            "isWrite",
            "reconnect",
        ],
    ),
    ("HEAD_RECEIVED", &["requestId", "trial", "worker", "timeTaken"]),
    ("HINT_UPDATE", &["requestId", "trial", "worker", "what", "level"]),
    ("RESOLVED", &["requestId", "trial", "worker", "result", "timeTaken", "over", "info", "feedback"]),
    ("DROPPED", &["requestId"]),
    ("DUE", &["name"]),
    ("ECHO", &["worker", "result", "timeTaken", "feedback"]),
    ("MAIL", &["originPeer", "content"]),
];

impl Session {
    /// A session without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes on what was skipped since the last call, for standard error.
    pub fn take_notes(&mut self) -> Vec<String> {
        std::mem::take(&mut self.notes)
    }

    /// Ends the session: input that stops inside a batch is an error.
    pub fn finish(&self) -> Result<(), WireError> {
        if self.in_batch {
            let message = "input ended inside a batch; expected EOB".to_string();
            return Err(WireError { line: self.line, message });
        }
        Ok(())
    }

    /// Takes one line (without its line break). Returns the reply when the line ends a batch.
    pub fn line(&mut self, text: &str) -> Result<Option<String>, WireError> {
        self.line += 1;
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.is_empty() {
            return Ok(None);
        }
        self.message(text).map_err(|message| WireError { line: self.line, message })
    }

    fn note(&mut self, about: String) {
        if self.noted.len() < 200 && self.noted.insert(about.clone()) {
            self.notes.push(format!("line {}: {about}", self.line));
        }
    }

    fn message(&mut self, text: &str) -> Parse<Option<String>> {
        let name = text.split(' ').next().unwrap_or("");
        let Some((_, known)) = MESSAGES.iter().find(|(m, _)| *m == name) else {
            self.note(format!("unknown message '{}' skipped", head(name)));
            return Ok(None);
        };
        let fields = Fields::new(text)?;
        if let Some(field) = fields.skip_unknown(known) {
            self.note(format!("{name}: unknown field '{}' skipped", head(field)));
        }
        match name {
            "TICK" => {
                if self.in_batch {
                    return Err("TICK inside a batch; expected EOB first".into());
                }
                let now = u64::try_from(fields.need_integer("wall")?)
                    .map_err(|_| "TICK: field 'wall' must not be negative".to_string())?;
                self.now = self.now.max(now);
                self.in_batch = true;
                self.current = None;
                self.reply_for = None;
                return Ok(None);
            }
            _ if !self.in_batch => return Err(format!("{name} outside a batch; expected TICK")),
            _ => {}
        }
        if self.list.is_some() && name != "ROW" {
            return Err(format!("{name} where a ROW of the list was expected"));
        }
        match name {
            "EOB" => {
                self.in_batch = false;
                self.reply.push_str("OK\n");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "INSTANCE" => {
                self.current = Some(fields.small("who")?);
                return Ok(None);
            }
            _ => {}
        }
        let who = self.current.ok_or_else(|| format!("{name} before any INSTANCE line of its batch"))?;
        match name {
            "BOOT" => {
                let seed = fields.need("randomSeed")?;
                let seed = seed.parse::<i128>().map_err(|_| {
                    format!("BOOT: field 'randomSeed' must be an integer, got '{}'", head(seed))
                })? as u64;
                let env = fields.need("env")?.as_bytes().to_vec();
                let site = Site::read(env).map_err(|e| format!("BOOT: {e}"))?;
                let instance = Instance::new(site, seed, self.now);
                self.instances.insert(who, instance);
                return Ok(None);
            }
            "CRASH_NOW" => {
                self.instances.remove(&who);
                return Ok(None);
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&who) else {
            self.note(format!("{name} for an instance that was not started, skipped"));
            return Ok(None);
        };
        let event = match name {
            "REGISTRY" => {
                let scope = match fields.need("scope")? {
                    "D" => Scope::Delta,
                    "F" => Scope::Full,
                    "C" => Scope::Cached,
                    "X" => Scope::Failed,
                    other => {
                        return Err(format!("REGISTRY: scope must be D, F, C or X, got '{}'", head(other)));
                    }
                };
                let left = fields.time("hosts")?;
                if left > 0 {
                    self.list = Some(PendingList { scope, left, entries: Vec::new() });
                    return Ok(None);
                }
                Some(Event::List { scope, entries: Vec::new() })
            }
            "ROW" => {
                let entry = instance.entry(&fields)?;
                let Some(list) = &mut self.list else { return Err("ROW outside a list".into()) };
                list.entries.push(entry);
                list.left -= 1;
                if list.left > 0 {
                    return Ok(None);
                }
                self.list.take().map(|l| Event::List { scope: l.scope, entries: l.entries })
            }
            _ => instance.event(&fields)?,
        };
        let Some(event) = event else { return Ok(None) };
        self.actions.clear();
        let (now, actions) = (self.now, &mut self.actions);
        if let Err(text) = instance.module.handle(now, event, actions) {
            let _ = writeln!(self.reply, "FOR who={who}\nFAULT noteText={text}");
            self.reply_for = Some(who);
            return Ok(None);
        }
        if !self.actions.is_empty() && self.reply_for != Some(who) {
            let _ = writeln!(self.reply, "FOR who={who}");
            self.reply_for = Some(who);
        }
        for action in self.actions.drain(..) {
            instance.write(&action, &mut self.reply);
        }
        Ok(None)
    }
}

impl Instance {
    fn new(site: Site, seed: u64, now: Time) -> Self {
        Instance {
            module: Module::new(site.settings.clone(), seed, now),
            site,
            next_request: 0,
            ids: FxHashMap::default(),
            requests: FxHashMap::default(),
        }
    }

    fn entry(&mut self, f: &Fields) -> Parse<Entry> {
        Ok(Entry {
            worker: f.small("worker")?,
            zone: self.site.zones.id(f.text("dc").unwrap_or("")),
            kind: self.site.kinds.id(f.text("machine").unwrap_or("")),
            cell: f.time("stripe")? as u32,
            state: match f.need("stageState")? {
                "active" => WorkerState::Active,
                "leaving" => WorkerState::Leaving,
                "left" => WorkerState::Left,
                o => {
                    return Err(format!(
                        "ROW: stageState must be active, leaving or left, got '{}'",
                        head(o)
                    ));
                }
            },
            power: f.number("powerHint")?.unwrap_or(1.0),
            ready_at: f.time("readyAt")?,
        })
    }

    fn load(&self, f: &Fields) -> Parse<Option<Load>> {
        let Some(text) = f.text("feedback") else { return Ok(None) };
        let mut load = Load::default();
        for pair in text.split(',').filter(|p| !p.is_empty() && *p != "-") {
            let bad = || format!("{}: feedback must be name:value pairs, got '{}'", f.message, head(pair));
            let (name, value) = pair.split_once(':').ok_or_else(bad)?;
            let value = value.parse::<f64>().ok().filter(|v| v.is_finite()).ok_or_else(bad)?;
            self.site.report(&mut load, name, value);
        }
        Ok(Some(load))
    }

    fn known(&self, f: &Fields) -> Parse<Option<RequestId>> {
        Ok(self.ids.get(f.need("requestId")?).copied())
    }

    fn event(&mut self, f: &Fields) -> Parse<Option<Event>> {
        Ok(match f.message {
            "ACCEPT" => {
                let word = f.need("requestId")?;
                let request = Request {
                    id: self.next_request,
                    class: self.site.classes.id(f.need("type")?),
                    tenant: match f.text("realm") {
                        Some(name) => self.site.tenants.id(name),
                        None => u32::MAX,
                    },
                    left: f.need_integer("left")?.max(0) as Time,
                    estimate: f.integer("estimate")?.map(|v| v.max(0) as Time),
                    slots: f.number("needs")?.unwrap_or(1.0),
                    memory: f.number("mem")?.unwrap_or(0.0),
                    subject: f.text("subject").and_then(config::subject),
                };
                if self.ids.contains_key(word) {
                    return Ok(None);
                }
                self.next_request += 1;
                self.ids.insert(word.to_string(), request.id);
                let known = KnownRequest { word: word.to_string(), attempts_out: 0, closed: false };
                self.requests.insert(request.id, known);
                Some(Event::Request(request))
            }
            "HEAD_RECEIVED" => {
                let attempt = f.small("trial")?;
                self.known(f)?.map(|request| Event::Streaming { request, attempt })
            }
            "HINT_UPDATE" => {
                let attempt = f.small("trial")?;
                let (what, level) = (f.need_integer("what")?, f.number("level")?);
                self.known(f)?.and_then(|request| match what {
                    1 => Some(Event::Started { request, attempt }),
                    2 => level.map(|done| Event::Progress { request, attempt, done }),
                    _ => None,
                })
            }
            "RESOLVED" => {
                let (attempt, status, closed) = (f.small("trial")?, status(f)?, f.flag("over"));
                let load = self.load(f)?;
                let known = self.known(f)?;
                if let Some(id) = known {
                    self.settle(id, closed, 1);
                }
                known.map(|request| Event::Outcome { request, attempt, status, closed, load })
            }
            "DROPPED" => {
                let known = self.known(f)?;
                if let Some(id) = known {
                    self.settle(id, true, 0);
                }
                known.map(Event::Gone)
            }
            "DUE" => {
                let text = f.need("name")?;
                let bad = || format!("DUE: field 'name' must be a whole number, got '{}'", head(text));
                Some(Event::Timer(text.parse::<u64>().map_err(|_| bad())?))
            }
            "ECHO" => {
                Some(Event::Probed { worker: f.small("worker")?, status: status(f)?, load: self.load(f)? })
            }
            "MAIL" => {
                let text = f.need("content")?;
                let bytes = if text == "-" { Ok(Vec::new()) } else { STANDARD.decode(text) };
                let bytes = bytes.map_err(|_| "MAIL: field 'content' must be base64".to_string())?;
                // Five bytes for each worker: its id, low byte first, and the slots held there.
                let line = |b: &[u8]| (u32::from_le_bytes([b[0], b[1], b[2], b[3]]), b[4]);
                let held = bytes.chunks_exact(5).map(line).collect();
                Some(Event::Peer { from: f.small("originPeer")?, held })
            }
            _ => None,
        })
    }

    /// Counts an outcome or a closing and forgets a request that can't be named again.
    fn settle(&mut self, id: RequestId, closed: bool, outcomes: u32) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.attempts_out = r.attempts_out.saturating_sub(outcomes);
        r.closed |= closed;
        if r.closed && r.attempts_out == 0 {
            let word = std::mem::take(&mut r.word);
            self.requests.remove(&id);
            self.ids.remove(&word);
        }
    }

    fn write(&mut self, action: &Action, out: &mut String) {
        let word = |id: &RequestId| self.requests.get(id).map_or("", |r| r.word.as_str());
        let _ = match action {
            Action::Send { request, worker, timeout: 0, .. } => {
                writeln!(out, "ASSIGN requestId={} worker={worker}", word(request))
            }
            Action::Send { request, worker, timeout, .. } => {
                writeln!(out, "ASSIGN requestId={} worker={worker} allowFor={timeout}", word(request))
            }
            Action::Cancel { request, attempt } => {
                writeln!(out, "UNDO_SEND requestId={} trial={attempt}", word(request))
            }
            Action::Refuse { request, retry_after: 0 } => {
                writeln!(out, "PUSH_BACK requestId={}", word(request))
            }
            Action::Refuse { request, retry_after } => {
                writeln!(out, "PUSH_BACK requestId={} holdOff={retry_after}", word(request))
            }
            Action::Fail { request } => writeln!(out, "SURRENDER requestId={}", word(request)),
            Action::Timer { at, name } => writeln!(out, "SET_TIMER when={at} name={name}"),
            Action::Probe { worker } => writeln!(out, "PING worker={worker}"),
            Action::Disconnect { worker } => writeln!(out, "DISCONNECT worker={worker}"),
            Action::Tell { held } => {
                let bytes: Vec<u8> = held
                    .iter()
                    .flat_map(|(id, slots)| id.to_le_bytes().into_iter().chain([*slots]))
                    .take(255)
                    .collect();
                let text = if bytes.is_empty() { "-".to_string() } else { STANDARD.encode(bytes) };
                writeln!(out, "SAY neighbourId=-1 content={text}")
            }
            Action::Watch(on) => writeln!(out, "KEEP_INFORMED enable={}", u8::from(*on)),
            Action::Fetch => writeln!(out, "RESOLVE"),
            Action::Log(text) => writeln!(out, "RECORD noteText={}", text.replace(['\n', '\r'], " ")),
        };
        match action {
            Action::Send { request, .. } => {
                if let Some(r) = self.requests.get_mut(request) {
                    r.attempts_out += 1;
                }
            }
            Action::Refuse { request, .. } | Action::Fail { request } => self.settle(*request, true, 0),
            _ => {}
        }
    }
}

fn status(f: &Fields) -> Parse<Status> {
    Ok(match f.need("result")? {
        "S" => Status::Ok,
        "E" => Status::Error,
        "F" => Status::Full,
        "T" => Status::Timeout,
        "C" => Status::ConnectFailed,
        "R" => Status::Reset,
        "X" => Status::Cancelled,
        "N" => Status::Moot,
        o => return Err(format!("{}: result must be one of S E F T C R X N, got '{}'", f.message, head(o))),
    })
}
