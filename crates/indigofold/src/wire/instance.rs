//! One instance: translates lines to events and actions to lines, and maps request names to ids.

use super::fields::{Fields, Parse};
use crate::api::{
    Action, Entry, Event, Load, Request, RequestId, Status, Time, WorkerId, WorkerState,
};
use crate::config::{self, Site};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use indigofold_core::engine::Module;
use rustc_hash::FxHashMap;
use std::fmt::Write;

/// A request that the simulator or the module may still refer to.
struct KnownRequest {
    name: String,
    attempts_out: u32,
    closed: bool,
}

/// One scheduler that the adapter hosts: its decision module, its settings and its known requests.
pub(super) struct Instance {
    pub(super) module: Module,
    site: Site,
    next_request: RequestId,
    ids: FxHashMap<String, RequestId>,
    requests: FxHashMap<RequestId, KnownRequest>,
}

impl Instance {
    pub(super) fn new(site: Site, seed: u64, now: Time) -> Self {
        Instance {
            module: Module::new(site.settings.clone(), seed, now),
            site,
            next_request: 0,
            ids: FxHashMap::default(),
            requests: FxHashMap::default(),
        }
    }

    pub(super) fn entry(&mut self, f: &Fields) -> Parse<Entry> {
        Ok(Entry {
            worker: f.required_u32("worker")?,
            zone: self.site.zones.id(f.text("dc").unwrap_or("")),
            kind: self.site.kinds.id(f.text("machine").unwrap_or("")),
            cell: f.time("stripe")? as u32,
            state: match f.required("stageState")? {
                "active" => WorkerState::Active,
                "leaving" => WorkerState::Draining,
                "left" => WorkerState::Left,
                other => {
                    return Err(f.invalid("stageState", "active, leaving or left", other));
                }
            },
            power: f.number("powerHint")?.unwrap_or(1.0),
            ready_at: f.time("readyAt")?,
        })
    }

    fn load(&self, f: &Fields) -> Parse<Option<Load>> {
        let Some(text) = f.text("feedback") else {
            return Ok(None);
        };
        let mut load = Load::default();
        for pair in text.split(',').filter(|p| !p.is_empty() && *p != "-") {
            let bad = || f.invalid("feedback", "name:value pairs", pair);
            let (name, value) = pair.split_once(':').ok_or_else(bad)?;
            let value = value
                .parse::<f64>()
                .ok()
                .filter(|v| v.is_finite())
                .ok_or_else(bad)?;
            self.site.report(&mut load, name, value);
        }
        Ok(Some(load))
    }

    fn request_id(&self, f: &Fields) -> Parse<Option<RequestId>> {
        Ok(self.ids.get(f.required("requestId")?).copied())
    }

    /// Translates a message to an event; `None` if it has no event or refers to an unknown request.
    pub(super) fn event(&mut self, f: &Fields) -> Parse<Option<Event>> {
        Ok(match f.message {
            "ACCEPT" => self.accept(f)?,
            "HEAD_RECEIVED" => {
                let attempt = f.required_u32("trial")?;
                self.request_id(f)?
                    .map(|request| Event::Streaming { request, attempt })
            }
            "HINT_UPDATE" => self.hint(f)?,
            "RESOLVED" => self.resolved(f)?,
            "DROPPED" => {
                let known = self.request_id(f)?;
                if let Some(id) = known {
                    self.forget_if_closed(id, true, 0);
                }
                known.map(Event::RequestClosed)
            }
            "DUE" => {
                let text = f.required("name")?;
                let timer = text.parse::<u64>();
                Some(Event::Timer(
                    timer.map_err(|_| f.invalid("name", "a whole number", text))?,
                ))
            }
            "ECHO" => Some(Event::Probed {
                worker: f.required_u32("worker")?,
                status: status(f)?,
                load: self.load(f)?,
            }),
            "MAIL" => Some(peer_event(f)?),
            _ => None,
        })
    }

    fn accept(&mut self, f: &Fields) -> Parse<Option<Event>> {
        let name = f.required("requestId")?;
        let request = Request {
            id: self.next_request,
            class: self.site.classes.id(f.required("type")?),
            tenant: match f.text("realm") {
                Some(name) => self.site.tenants.id(name),
                None => u32::MAX,
            },
            left: f.required_integer("left")?.max(0) as Time,
            estimate: f.integer("estimate")?.map(|v| v.max(0) as Time),
            slots: f.number("needs")?.unwrap_or(1.0),
            memory: f.number("mem")?.unwrap_or(0.0),
            subject: f.text("subject").and_then(config::subject),
        };
        if self.ids.contains_key(name) {
            return Ok(None);
        }
        self.next_request += 1;
        self.ids.insert(name.to_string(), request.id);
        let known = KnownRequest {
            name: name.to_string(),
            attempts_out: 0,
            closed: false,
        };
        self.requests.insert(request.id, known);
        Ok(Some(Event::Request(request)))
    }

    fn hint(&self, f: &Fields) -> Parse<Option<Event>> {
        let attempt = f.required_u32("trial")?;
        let (what, level) = (f.required_integer("what")?, f.number("level")?);
        Ok(self.request_id(f)?.and_then(|request| match what {
            1 => Some(Event::Started { request, attempt }),
            2 => level.map(|done| Event::Progress {
                request,
                attempt,
                done,
            }),
            _ => None,
        }))
    }

    fn resolved(&mut self, f: &Fields) -> Parse<Option<Event>> {
        let (attempt, status, closed) = (f.required_u32("trial")?, status(f)?, f.flag("over"));
        let load = self.load(f)?;
        let known = self.request_id(f)?;
        if let Some(id) = known {
            self.forget_if_closed(id, closed, 1);
        }
        Ok(known.map(|request| Event::Outcome {
            request,
            attempt,
            status,
            closed,
            load,
        }))
    }

    /// Takes `results` attempts off the request, notes whether it is closed, and removes it once it is closed and has no
    /// attempts out, as no later message can name it.
    fn forget_if_closed(&mut self, id: RequestId, closed: bool, results: u32) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.attempts_out = r.attempts_out.saturating_sub(results);
        r.closed |= closed;
        if r.closed && r.attempts_out == 0 {
            let name = std::mem::take(&mut r.name);
            self.requests.remove(&id);
            self.ids.remove(&name);
        }
    }

    /// Appends an action of the module to the reply as a line of the protocol.
    #[allow(clippy::too_many_lines, reason = "an arm for each action")]
    pub(super) fn write_action(&mut self, action: &Action, out: &mut String) {
        let name = |id: &RequestId| self.requests.get(id).map_or("", |r| r.name.as_str());
        let _ = match action {
            Action::Send {
                request,
                worker,
                timeout: 0,
                ..
            } => {
                writeln!(out, "ASSIGN requestId={} worker={worker}", name(request))
            }
            Action::Send {
                request,
                worker,
                timeout,
                ..
            } => {
                writeln!(
                    out,
                    "ASSIGN requestId={} worker={worker} allowFor={timeout}",
                    name(request)
                )
            }
            Action::Cancel { request, attempt } => {
                writeln!(out, "UNDO_SEND requestId={} trial={attempt}", name(request))
            }
            Action::Reject {
                request,
                retry_after: 0,
            } => {
                writeln!(out, "PUSH_BACK requestId={}", name(request))
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                writeln!(
                    out,
                    "PUSH_BACK requestId={} holdOff={retry_after}",
                    name(request)
                )
            }
            Action::Fail { request } => writeln!(out, "SURRENDER requestId={}", name(request)),
            Action::Timer { at, name } => writeln!(out, "SET_TIMER when={at} name={name}"),
            Action::Probe { worker } => writeln!(out, "PING worker={worker}"),
            Action::Disconnect { worker } => writeln!(out, "DISCONNECT worker={worker}"),
            Action::UpdatePeers { in_flight } => {
                writeln!(out, "SAY neighbourId=-1 content={}", peer_text(in_flight))
            }
            Action::Watch(on) => writeln!(out, "KEEP_INFORMED enable={}", u8::from(*on)),
            Action::Fetch => writeln!(out, "RESOLVE"),
            Action::Log(text) => {
                writeln!(out, "RECORD noteText={}", text.replace(['\n', '\r'], " "))
            }
        };
        self.count_action(action);
    }

    /// Counts a sent attempt, or closes a request that the module has answered.
    fn count_action(&mut self, action: &Action) {
        match action {
            Action::Send { request, .. } => {
                if let Some(r) = self.requests.get_mut(request) {
                    r.attempts_out += 1;
                }
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.forget_if_closed(*request, true, 0);
            }
            _ => {}
        }
    }
}

/// Encodes slots in flight for other schedulers in the form that [`peer_event`] reads, cut to 255 bytes before base64.
fn peer_text(in_flight: &[(WorkerId, u8)]) -> String {
    let bytes: Vec<u8> = in_flight
        .iter()
        .flat_map(|(id, slots)| id.to_le_bytes().into_iter().chain([*slots]))
        .take(255)
        .collect();
    if bytes.is_empty() {
        "-".to_string()
    } else {
        STANDARD.encode(bytes)
    }
}

/// Decodes the slots in flight of another scheduler: five bytes per worker, its id (little-endian) and the slots.
fn peer_event(f: &Fields) -> Parse<Event> {
    let bytes = match f.required("content")? {
        "-" => Vec::new(),
        text => STANDARD
            .decode(text)
            .map_err(|_| f.invalid("content", "base64", text))?,
    };
    let entry = |b: &[u8]| (u32::from_le_bytes([b[0], b[1], b[2], b[3]]), b[4]);
    let in_flight = bytes.chunks_exact(5).map(entry).collect();
    Ok(Event::Peer {
        from: f.required_u32("originPeer")?,
        in_flight,
    })
}

fn status(f: &Fields) -> Parse<Status> {
    Ok(match f.required("result")? {
        "S" => Status::Ok,
        "E" => Status::Error,
        "F" => Status::Full,
        "T" => Status::Timeout,
        "C" => Status::ConnectFailed,
        "R" => Status::Reset,
        "X" => Status::Cancelled,
        "N" => Status::Moot,
        other => return Err(f.invalid("result", "one of S E F T C R X N", other)),
    })
}
