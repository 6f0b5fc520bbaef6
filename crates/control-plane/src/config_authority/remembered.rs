//! Accepted changes of the configuration, remembered by digest so that a repeated request is acknowledged once more.

use std::collections::BTreeMap;

/// Number of accepted changes that are remembered, the newest ones.
pub const REMEMBERED_CHANGES_MAX: usize = 2_000;

/// Digests of accepted changes, by the configuration version that each one made.
#[derive(Debug, Default)]
pub(super) struct RememberedChanges {
    digests: BTreeMap<u64, String>,
}

impl RememberedChanges {
    /// Adds a change that made `version`.
    pub(super) fn insert(&mut self, version: u64, digest: String) {
        self.digests.insert(version, digest);
    }

    /// Forgets the change that made `version`.
    pub(super) fn remove(&mut self, version: u64) {
        self.digests.remove(&version);
    }

    /// The version that a change with this digest made.
    pub(super) fn version_of(&self, digest: &str) -> Option<u64> {
        self.digests
            .iter()
            .find(|(_, accepted)| *accepted == digest)
            .map(|(version, _)| *version)
    }

    /// The oldest remembered version and its digest, once the number of changes has reached its limit: older ones may
    /// have been forgotten, and this one is the next to go.
    pub(super) fn oldest_if_full(&self) -> Option<(u64, &str)> {
        self.digests
            .first_key_value()
            .filter(|_| self.digests.len() >= REMEMBERED_CHANGES_MAX)
            .map(|(version, digest)| (*version, digest.as_str()))
    }
}
