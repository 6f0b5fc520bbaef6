//! Configuration authority of the head: decides which changes (`PUT /config`, `PATCH /config`) are accepted.
//!
//! Changes are decided one at a time, in the order of their arrival: while one is being written, the others are queued. This
//! way a change is never compared with a version whose write may still be lost, and a repeated request is decided only after
//! the write of the original.
//!
//! Accepted changes are remembered by digest, so that a repeated request is acknowledged again, even if the version has
//! changed since. A change that may have been accepted and then forgotten is never rejected: its result is reported as
//! undetermined.

mod remembered;

pub use remembered::REMEMBERED_CHANGES_MAX;

use indigofold_protocol::config::Config;
use indigofold_protocol::config_check::{CheckedConfig, ConfigError, parse_config, parse_if_match};
use indigofold_protocol::config_patch::apply_patch;
use indigofold_protocol::request_digest::RequestDigest;
use indigofold_replication::RowChange;
use remembered::RememberedChanges;
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::VecDeque;
use std::sync::Arc;

/// Key of the row that holds the newest configuration, as JSON.
pub const CONFIG_KEY: &str = "config";
/// Prefix of the keys of the rows that remember accepted changes; the digest of the change follows. The value is the version
/// that the change made: 8 bytes, big-endian.
pub const CHANGE_KEY_PREFIX: &str = "order/";

/// HTTP method of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigMethod {
    /// Replaces the whole configuration.
    Put,
    /// Changes only the items that the body names.
    Patch,
}

impl ConfigMethod {
    /// Returns the method's name in HTTP.
    pub fn name(self) -> &'static str {
        match self {
            ConfigMethod::Put => "PUT",
            ConfigMethod::Patch => "PATCH",
        }
    }
}

/// The operator's request to change the configuration, not validated yet.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// HTTP method of the request.
    pub method: ConfigMethod,
    /// Value of the `If-Match` header, if there is one.
    pub if_match: Option<String>,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Identifies an operator request until it is answered; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OperatorCallId(pub u64);

/// Response to a configuration change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResponse {
    /// 200: the change is accepted, and the configuration of this version is committed.
    Accepted {
        /// Version of the accepted configuration.
        version: u64,
    },
    /// 400: the request is not valid.
    Invalid {
        /// The field, its value and the allowed values, for the operator.
        reason: String,
    },
    /// 412: the version in the `If-Match` header is not the current one.
    VersionConflict {
        /// Version of the configuration in force.
        current: u64,
    },
    /// 503: it is not known whether the change was accepted, because the head's role was lost.
    Undetermined,
    /// 503: the change may have been accepted, because the changes to a version this old are not all remembered
    /// any more.
    Forgotten {
        /// The oldest version whose change is remembered.
        remembered_from: u64,
    },
}

/// An action that the caller has to take. Actions are to be taken in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEffect {
    /// Write these rows atomically, then call [`ConfigAuthority::committed`] or [`ConfigAuthority::aborted`].
    Write(Vec<RowChange>),
    /// This configuration is in force from now on.
    Activated(Arc<Config>),
    /// Send this response to the request.
    Respond(OperatorCallId, ChangeResponse),
}

/// A row on disk is not in the format that this program writes.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The stored configuration is not valid.
    #[snafu(display("the row `{CONFIG_KEY}` holds no valid configuration: {source}"))]
    Config {
        /// What is wrong with the configuration.
        source: ConfigError,
    },
    /// The row of a remembered change does not hold a version.
    #[snafu(display("the row `{key}` holds no version: exactly 8 bytes are expected"))]
    RememberedChange {
        /// Key of that row.
        key: String,
    },
}

/// A configuration with its JSON text, and in the form that is shared with the scheduler.
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

/// A change that has not been decided yet.
struct QueuedChange {
    call: OperatorCallId,
    change: ConfigChange,
}

/// Digest of a valid change, and the configuration that the change makes.
struct ValidChange {
    digest: String,
    next: ActiveConfig,
}

/// The change that is being written.
struct PendingChange {
    call: OperatorCallId,
    change: ValidChange,
    /// Version of the remembered change whose row the same write deletes; `None` if the limit is not reached.
    forgotten: Option<u64>,
}

/// Decides configuration changes; see the module documentation.
#[derive(Default)]
pub struct ConfigAuthority {
    /// The newest committed configuration.
    active: Option<ActiveConfig>,
    /// Accepted changes. A change is added once its write is committed.
    remembered: RememberedChanges,
    /// The change whose write was requested and has no result yet.
    pending: Option<PendingChange>,
    /// Changes to decide once no write is pending, oldest first.
    queue: VecDeque<QueuedChange>,
}

impl ConfigAuthority {
    /// Returns the authority of a new head, loaded from the stored rows. Rows of other components are skipped.
    ///
    /// # Errors
    ///
    /// A row is not in the format that this program writes.
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

    /// Returns the newest committed configuration; `None` before the first.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.active.as_ref().map(|active| &active.config)
    }

    /// Returns the newest committed configuration as JSON; `None` before the first.
    pub fn text(&self) -> Option<&[u8]> {
        self.active
            .as_ref()
            .map(|active| active.checked.json().as_bytes())
    }

    /// Returns the version of the newest committed configuration; 0 before the first.
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

    /// Puts the pending change into force: its write is on the disks of the whole chain.
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

    /// Responds [`ChangeResponse::Undetermined`] to the pending change and all queued ones: this member is no longer the head,
    /// so the result of the requested write is unknown.
    pub fn aborted(&mut self, effects: &mut Vec<ConfigEffect>) {
        let pending = self.pending.take().map(|pending| pending.call);
        let queued = self.queue.drain(..).map(|queued| queued.call);
        let calls = pending.into_iter().chain(queued);
        effects.extend(calls.map(|call| ConfigEffect::Respond(call, ChangeResponse::Undetermined)));
    }

    /// Decides queued changes up to and including the first that has to be written.
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

    /// Returns the valid change to write, or as an error the response to a change that is not to be written.
    fn decide(&self, change: &ConfigChange) -> Result<ValidChange, ChangeResponse> {
        let base_version = parse_if_match(change.if_match.as_deref()).map_err(invalid)?;
        // The digest is taken of the parsed version, so that quotes and spaces in the header do not change it.
        let if_match = base_version.to_string();
        let digest =
            RequestDigest::of(change.method.name(), Some(&if_match), &change.body).to_string();
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

    /// Applies a change to the active configuration. Without one, the body of a `PATCH` must be a complete configuration.
    fn apply(&self, change: &ConfigChange) -> Result<CheckedConfig, ConfigError> {
        match (change.method, &self.active) {
            (ConfigMethod::Patch, Some(active)) => apply_patch(&active.checked, &change.body),
            (ConfigMethod::Patch, None) | (ConfigMethod::Put, _) => parse_config(&change.body),
        }
    }

    /// Requests the write of a new configuration and of the change that made it. If the limit of remembered changes is reached,
    /// the same write deletes the oldest.
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

/// Returns the response to a change that is not valid.
fn invalid(error: ConfigError) -> ChangeResponse {
    ChangeResponse::Invalid {
        reason: error.to_string(),
    }
}

/// Returns the key of the row that remembers an accepted change.
fn change_key(digest: &str) -> Vec<u8> {
    format!("{CHANGE_KEY_PREFIX}{digest}").into_bytes()
}
