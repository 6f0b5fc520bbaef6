//! Accepted configuration changes, remembered by digest so that a repeated request is acknowledged again.

use std::collections::BTreeMap;

/// Largest number of accepted changes that are remembered; older ones are forgotten first.
pub const REMEMBERED_CHANGES_MAX: usize = 2_000;

/// Digests of accepted changes, by the configuration version that each change made.
#[derive(Debug, Default)]
pub(super) struct RememberedChanges {
    digests: BTreeMap<u64, String>,
}

impl RememberedChanges {
    /// Remembers the change that made `version`.
    pub(super) fn insert(&mut self, version: u64, digest: String) {
        self.digests.insert(version, digest);
    }

    /// Forgets the change that made `version`.
    pub(super) fn remove(&mut self, version: u64) {
        self.digests.remove(&version);
    }

    /// Returns the version that the change with this digest made; `None` if no such change is remembered.
    pub(super) fn version_of(&self, digest: &str) -> Option<u64> {
        self.digests
            .iter()
            .find(|(_, accepted)| *accepted == digest)
            .map(|(version, _)| *version)
    }

    /// Returns the oldest remembered version and its digest if the number of changes has reached the limit; `None` otherwise.
    /// At the limit, older changes may have been forgotten, and the returned one is forgotten next.
    pub(super) fn oldest_if_full(&self) -> Option<(u64, &str)> {
        self.digests
            .first_key_value()
            .filter(|_| self.digests.len() >= REMEMBERED_CHANGES_MAX)
            .map(|(version, digest)| (*version, digest.as_str()))
    }
}
