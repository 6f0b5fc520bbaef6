//! Configuration authority of the head: decides which changes (`PUT /config`, `PATCH /config`) are accepted.
//!
//! Changes are decided one at a time, in the order in which they came in: while one is being written, the others are
//! queued. So a change is never compared with a version that may still be lost, and a repeated request is decided only
//! after the write of the first. An accepted change is remembered by its digest and acknowledged once more whatever the
//! version is by then. A change that may have been accepted and forgotten is never rejected: its result is reported as
//! undetermined.

mod remembered;

pub use remembered::REMEMBERED_CHANGES_MAX;

use indigofold_protocol::config::Config;
use indigofold_protocol::config_check::{CheckedConfig, ConfigError, parse_config, parse_if_match};
use indigofold_protocol::config_patch::apply_patch;
use indigofold_protocol::order_digest::OrderDigest;
use indigofold_replication::RowChange;
use remembered::RememberedChanges;
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::VecDeque;
use std::sync::Arc;

/// Key of the row that holds the newest configuration, as text.
pub const CONFIG_KEY: &str = "config";
/// Start of the keys of the rows that remember accepted changes; the digest follows.
pub const CHANGE_KEY_PREFIX: &str = "order/";

/// HTTP method of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigMethod {
    /// Replaces the whole configuration.
    Put,
    /// Changes the items that it names.
    Patch,
}

impl ConfigMethod {
    /// Name of the method in HTTP.
    pub fn name(self) -> &'static str {
        match self {
            ConfigMethod::Put => "PUT",
            ConfigMethod::Patch => "PATCH",
        }
    }
}

/// The operator's request to change the configuration, as it came in.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Its method.
    pub method: ConfigMethod,
    /// Value of the `If-Match` header, if there is one.
    pub if_match: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Identifies a request of the operator until it is answered; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OperatorCallId(pub u64);

/// Response to a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResponse {
    /// 200: the change is accepted, and the configuration of this version is committed.
    Accepted {
        /// The version.
        version: u64,
    },
    /// 400: the request is not valid.
    Invalid {
        /// What is wrong, where, and what is allowed.
        reason: String,
    },
    /// 412: the change builds on a version that is not current.
    VersionConflict {
        /// The current version.
        current: u64,
    },
    /// 503: it is not known whether the change is accepted.
    Undetermined,
    /// 503: changes of a version this old are no longer remembered, so that this one may have been accepted.
    Forgotten {
        /// Changes that made this version or a later one are remembered.
        remembered_from: u64,
    },
}

/// What the caller has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEffect {
    /// Write these rows atomically, then report [`ConfigAuthority::committed`] or [`ConfigAuthority::aborted`].
    Write(Vec<RowChange>),
    /// This configuration is in force from now on.
    Activated(Arc<Config>),
    /// Answer this request.
    Respond(OperatorCallId, ChangeResponse),
}

/// A row on disk that has another form than this program writes.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The configuration on disk is not valid.
    #[snafu(display("the row `{CONFIG_KEY}` holds no valid configuration: {source}"))]
    Config {
        /// Why.
        source: ConfigError,
    },
    /// A remembered change has no version.
    #[snafu(display("the row `{key}` holds no version: exactly 8 bytes are expected"))]
    RememberedChange {
        /// Key of the row.
        key: String,
    },
}

/// A configuration: its text, and the form that the scheduler uses.
struct ActiveConfig {
    checked: CheckedConfig,
    config: Arc<Config>,
}

impl From<CheckedConfig> for ActiveConfig {
    fn from(checked: CheckedConfig) -> Self {
        ActiveConfig {
            config: Arc::new(checked.config().clone()),
            checked,
        }
    }
}

/// A change that has not been decided.
struct QueuedChange {
    call: OperatorCallId,
    change: ConfigChange,
}

/// A valid change, and the configuration that it makes.
struct ValidChange {
    digest: String,
    next: ActiveConfig,
}

/// The change that is being written.
struct PendingChange {
    call: OperatorCallId,
    change: ValidChange,
    /// Version of the remembered change that the same write removes.
    forgotten: Option<u64>,
}

/// Decides changes of the configuration; see the module.
#[derive(Default)]
pub struct ConfigAuthority {
    /// The newest committed configuration.
    active: Option<ActiveConfig>,
    /// Accepted changes; a change is added at its commit.
    remembered: RememberedChanges,
    /// Set by the request of a write, cleared by its result.
    pending: Option<PendingChange>,
    /// Changes to decide once no write is pending.
    queue: VecDeque<QueuedChange>,
}

impl ConfigAuthority {
    /// The authority of a new head, from the rows on disk. Rows of others are skipped.
    ///
    /// # Errors
    ///
    /// A row has another form than this program writes.
    pub fn load<'a>(
        rows: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) -> Result<Self, LoadError> {
        let mut authority = ConfigAuthority::default();
        for (key, value) in rows {
            if key == CONFIG_KEY {
                authority.active = Some(parse_config(value).context(ConfigSnafu)?.into());
            } else if let Some(digest) = key.strip_prefix(CHANGE_KEY_PREFIX) {
                let bytes = value
                    .try_into()
                    .ok()
                    .context(RememberedChangeSnafu { key })?;
                let version = u64::from_be_bytes(bytes);
                authority.remembered.insert(version, digest.to_owned());
            }
        }
        Ok(authority)
    }

    /// The newest committed configuration.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.active.as_ref().map(|active| &active.config)
    }

    /// The newest committed configuration as text.
    pub fn text(&self) -> Option<&[u8]> {
        self.active
            .as_ref()
            .map(|active| active.checked.json().as_bytes())
    }

    /// Version of the newest committed configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }

    /// Queues a change, and decides it unless another one is being written.
    pub fn handle_change(
        &mut self,
        call: OperatorCallId,
        change: ConfigChange,
        effects: &mut Vec<ConfigEffect>,
    ) {
        self.queue.push_back(QueuedChange { call, change });
        self.decide_queued(effects);
    }

    /// The requested write is on the disks of the whole chain.
    pub fn committed(&mut self, effects: &mut Vec<ConfigEffect>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if let Some(oldest) = pending.forgotten {
            self.remembered.remove(oldest);
        }
        let ValidChange { digest, next } = pending.change;
        let version = next.config.version;
        self.remembered.insert(version, digest);
        effects.push(ConfigEffect::Activated(Arc::clone(&next.config)));
        self.active = Some(next);
        let response = ChangeResponse::Accepted { version };
        effects.push(ConfigEffect::Respond(pending.call, response));
        self.decide_queued(effects);
    }

    /// It is unknown whether the requested write holds: this member is no longer the head.
    pub fn aborted(&mut self, effects: &mut Vec<ConfigEffect>) {
        let pending = self.pending.take().map(|pending| pending.call);
        let queued = self.queue.drain(..).map(|queued| queued.call);
        let calls = pending.into_iter().chain(queued);
        effects.extend(calls.map(|call| ConfigEffect::Respond(call, ChangeResponse::Undetermined)));
    }

    /// Decides queued changes, up to the first that has to be written.
    fn decide_queued(&mut self, effects: &mut Vec<ConfigEffect>) {
        while self.pending.is_none() {
            let Some(QueuedChange { call, change }) = self.queue.pop_front() else {
                return;
            };
            match self.decide(&change) {
                Ok(valid) => self.write(call, valid, effects),
                Err(response) => effects.push(ConfigEffect::Respond(call, response)),
            }
        }
    }

    /// The configuration that a change makes, or the response if there is nothing to write.
    fn decide(&self, change: &ConfigChange) -> Result<ValidChange, ChangeResponse> {
        let base_version = parse_if_match(change.if_match.as_deref()).map_err(invalid)?;
        // The parsed version: quotes and spaces in the header do not make another change of it.
        let if_match = base_version.to_string();
        let digest =
            OrderDigest::of(change.method.name(), Some(&if_match), &change.body).to_string();
        if let Some(version) = self.remembered.version_of(&digest) {
            return Err(ChangeResponse::Accepted { version });
        }
        if let Some((oldest, _)) = self.remembered.oldest_if_full()
            && base_version < oldest
        {
            return Err(ChangeResponse::Forgotten {
                remembered_from: oldest,
            });
        }
        let current = self.version();
        if base_version != current {
            return Err(ChangeResponse::VersionConflict { current });
        }
        let next = self.apply(change).map_err(invalid)?;
        next.ensure_newer_than(current).map_err(invalid)?;
        Ok(ValidChange {
            digest,
            next: next.into(),
        })
    }

    /// The configuration that a change makes of the active one.
    fn apply(&self, change: &ConfigChange) -> Result<CheckedConfig, ConfigError> {
        match (change.method, &self.active) {
            (ConfigMethod::Patch, Some(active)) => apply_patch(&active.checked, &change.body),
            (ConfigMethod::Patch, None) | (ConfigMethod::Put, _) => parse_config(&change.body),
        }
    }

    /// Requests the write of a configuration and of the change that made it.
    fn write(
        &mut self,
        call: OperatorCallId,
        change: ValidChange,
        effects: &mut Vec<ConfigEffect>,
    ) {
        let version = change.next.config.version.to_be_bytes().to_vec();
        let mut rows = vec![
            RowChange {
                key: CONFIG_KEY.as_bytes().to_vec(),
                value: Some(change.next.checked.json().as_bytes().to_vec()),
            },
            RowChange {
                key: change_key(&change.digest),
                value: Some(version),
            },
        ];
        let oldest = self.remembered.oldest_if_full();
        rows.extend(oldest.map(|(_, digest)| RowChange {
            key: change_key(digest),
            value: None,
        }));
        let forgotten = oldest.map(|(version, _)| version);
        self.pending = Some(PendingChange {
            call,
            change,
            forgotten,
        });
        effects.push(ConfigEffect::Write(rows));
    }
}

/// The response to a change that is not valid.
fn invalid(error: ConfigError) -> ChangeResponse {
    ChangeResponse::Invalid {
        reason: error.to_string(),
    }
}

/// Key of the row that remembers an accepted change.
fn change_key(digest: &str) -> Vec<u8> {
    format!("{CHANGE_KEY_PREFIX}{digest}").into_bytes()
}
