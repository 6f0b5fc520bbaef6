//! The text protocol of the simulator's adapter: translates lines to [`Event`]s, [`Action`]s to lines and names to ids. It
//! makes no decisions.
//!
//! A [`Session`] hosts any number of independent instances. Pass it lines with [`Session::feed`]; at the end
//! of each batch it returns the reply. Unknown messages, fields and settings are skipped, the first
//! of each kind with a warning ([`Session::take_warnings`]); a known message that is malformed is a [`WireError`].

use crate::api::{Action, Entry, Event, Scope, Time};
use crate::config::Site;
use error::{
    EndInBatchSnafu, NoInstanceSnafu, OutOfRangeSnafu, OutsideBatchSnafu, RowExpectedSnafu,
    RowOutsideListSnafu, SettingsSnafu, TickInBatchSnafu, WireSnafu,
};
pub use error::{LineError, WireError};
use fields::{Fields, Parse, excerpt};
use instance::Instance;
use snafu::{OptionExt, ResultExt, ensure};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

mod error;
mod fields;
mod instance;

/// A membership whose rows are still being read.
struct PendingMembership {
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
    current_instance: Option<u32>,
    pending_membership: Option<PendingMembership>,
    reply: String,
    reply_for: Option<u32>,
    actions: Vec<Action>,
    warnings: Vec<String>,
    warned: BTreeSet<String>,
}

/// The known messages, each with its known fields.
const MESSAGES: &[(&str, &[&str])] = &[
    ("TICK", &["wall"]),
    ("EOB", &[]),
    ("INSTANCE", &["who"]),
    ("BOOT", &["randomSeed", "env"]),
    ("CRASH_NOW", &[]),
    ("REGISTRY", &["scope", "index", "hosts"]),
    (
        "ROW",
        &[
            "worker",
            "dc",
            "machine",
            "stripe",
            "stageState",
            "powerHint",
            "readyAt",
        ],
    ),
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
    (
        "HEAD_RECEIVED",
        &["requestId", "trial", "worker", "timeTaken"],
    ),
    (
        "HINT_UPDATE",
        &["requestId", "trial", "worker", "what", "level"],
    ),
    (
        "RESOLVED",
        &[
            "requestId",
            "trial",
            "worker",
            "result",
            "timeTaken",
            "over",
            "info",
            "feedback",
        ],
    ),
    ("DROPPED", &["requestId"]),
    ("DUE", &["name"]),
    ("ECHO", &["worker", "result", "timeTaken", "feedback"]),
    ("MAIL", &["originPeer", "content"]),
];

impl Session {
    /// Creates a session without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the warnings since the last call, about input that was skipped.
    pub fn take_warnings(&mut self) -> Vec<String> {
        std::mem::take(&mut self.warnings)
    }

    /// Checks at the end of the input that no batch is incomplete.
    ///
    /// # Errors
    ///
    /// The input ended inside a batch.
    pub fn finish(&self) -> Result<(), WireError> {
        let end = if self.in_batch {
            EndInBatchSnafu.fail()
        } else {
            Ok(())
        };
        end.context(WireSnafu { line: self.line })
    }

    /// Handles one line, without its line feed. Returns the reply if the line ends a batch.
    ///
    /// # Errors
    ///
    /// The line is malformed, or its message is not allowed at this point.
    pub fn feed(&mut self, text: &str) -> Result<Option<String>, WireError> {
        self.line += 1;
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.is_empty() {
            return Ok(None);
        }
        let reply = self.message(text);
        reply.context(WireSnafu { line: self.line })
    }

    fn warn(&mut self, about: String) {
        if self.warned.len() < 200 && self.warned.insert(about.clone()) {
            self.warnings.push(format!("line {}: {about}", self.line));
        }
    }

    fn message(&mut self, text: &str) -> Parse<Option<String>> {
        let name = text.split(' ').next().unwrap_or("");
        let Some((_, known)) = MESSAGES.iter().find(|(m, _)| *m == name) else {
            self.warn(format!("unknown message '{}' skipped", excerpt(name)));
            return Ok(None);
        };
        let fields = Fields::new(text)?;
        if let Some(field) = fields.skip_unknown(known) {
            self.warn(format!(
                "{name}: unknown field '{}' skipped",
                excerpt(field)
            ));
        }
        if name == "TICK" {
            self.begin_batch(&fields)?;
            return Ok(None);
        }
        ensure!(self.in_batch, OutsideBatchSnafu { message: name });
        ensure!(
            self.pending_membership.is_none() || name == "ROW",
            RowExpectedSnafu { message: name }
        );
        match name {
            "EOB" => {
                self.in_batch = false;
                self.reply.push_str("OK\n");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "INSTANCE" => self.current_instance = Some(fields.required_u32("who")?),
            _ => self.instance_message(&fields)?,
        }
        Ok(None)
    }

    fn begin_batch(&mut self, fields: &Fields) -> Parse<()> {
        ensure!(!self.in_batch, TickInBatchSnafu);
        let now = u64::try_from(fields.required_integer("wall")?).ok();
        let now = now.context(OutOfRangeSnafu {
            message: fields.message,
            field: "wall",
            allowed: "0 to 2^63 - 1",
        })?;
        self.now = self.now.max(now);
        self.in_batch = true;
        self.current_instance = None;
        self.reply_for = None;
        Ok(())
    }

    /// Handles a message for the instance that the batch named last.
    fn instance_message(&mut self, fields: &Fields) -> Parse<()> {
        let name = fields.message;
        let who = self
            .current_instance
            .context(NoInstanceSnafu { message: name })?;
        match name {
            "BOOT" => return self.boot(who, fields),
            "CRASH_NOW" => {
                self.instances.remove(&who);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&who) else {
            self.warn(format!(
                "{name} for an instance that was not started, skipped"
            ));
            return Ok(());
        };
        let event = match name {
            "REGISTRY" => self.begin_membership(fields)?,
            "ROW" => {
                let entry = instance.entry(fields)?;
                self.add_row(entry)?
            }
            _ => instance.event(fields)?,
        };
        if let Some(event) = event {
            self.handle_event(who, event);
        }
        Ok(())
    }

    fn boot(&mut self, who: u32, fields: &Fields) -> Parse<()> {
        let seed = fields.required("randomSeed")?;
        let seed =
            seed.parse::<i128>()
                .map_err(|_| fields.invalid("randomSeed", "an integer", seed))? as u64;
        let env = fields.required("env")?.as_bytes().to_vec();
        let site = Site::read(env).context(SettingsSnafu)?;
        self.instances
            .insert(who, Instance::new(site, seed, self.now));
        Ok(())
    }

    /// Begins a membership; if it has no rows, returns its event at once.
    fn begin_membership(&mut self, fields: &Fields) -> Parse<Option<Event>> {
        let scope = match fields.required("scope")? {
            "D" => Scope::Delta,
            "F" => Scope::Full,
            "C" => Scope::Cached,
            "X" => Scope::Failed,
            other => {
                return Err(fields.invalid("scope", "D, F, C or X", other));
            }
        };
        let (left, entries) = (fields.time("hosts")?, Vec::new());
        if left > 0 {
            self.pending_membership = Some(PendingMembership {
                scope,
                left,
                entries,
            });
            return Ok(None);
        }
        Ok(Some(Event::Membership { scope, entries }))
    }

    /// Adds a row; the last row completes the membership and returns its event.
    fn add_row(&mut self, entry: Entry) -> Parse<Option<Event>> {
        let pending = self
            .pending_membership
            .as_mut()
            .context(RowOutsideListSnafu)?;
        pending.entries.push(entry);
        pending.left -= 1;
        if pending.left > 0 {
            return Ok(None);
        }
        Ok(self.pending_membership.take().map(|l| Event::Membership {
            scope: l.scope,
            entries: l.entries,
        }))
    }

    /// Passes an event to an instance's module and appends its actions to the reply.
    fn handle_event(&mut self, who: u32, event: Event) {
        let Some(instance) = self.instances.get_mut(&who) else {
            return;
        };
        self.actions.clear();
        if let Err(text) = instance.module.handle(self.now, event, &mut self.actions) {
            let _ = writeln!(self.reply, "FOR who={who}\nFAULT noteText={text}");
            self.reply_for = Some(who);
            return;
        }
        if !self.actions.is_empty() && self.reply_for != Some(who) {
            let _ = writeln!(self.reply, "FOR who={who}");
            self.reply_for = Some(who);
        }
        for action in self.actions.drain(..) {
            instance.write_action(&action, &mut self.reply);
        }
    }
}
