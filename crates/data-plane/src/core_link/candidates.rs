//! The addresses to dial: known members and seeds in rotation, each no earlier than its backoff allows.

use fastrand::Rng;
use std::net::SocketAddr;

/// Minimum backoff of an address after a failure.
pub const BACKOFF_MIN_MS: u64 = 50;
/// Maximum backoff of an address after a failure.
pub const BACKOFF_MAX_MS: u64 = 200;

#[derive(Debug)]
struct Candidate {
    address: SocketAddr,
    /// Whether the settings list the address.
    is_seed: bool,
    /// End of the backoff; 0 without one.
    not_before_ms: u64,
}

/// Addresses of core members, dialled in rotation.
#[derive(Debug)]
pub(super) struct Candidates {
    entries: Vec<Candidate>,
    /// Index in `entries` at which the next search for an available address begins.
    next_index: usize,
    random: Rng,
}

impl Candidates {
    /// Starts with the seeds, at a random position in the rotation. `random_seed` varies by process, so that processes
    /// spread over the members.
    pub(super) fn new(seeds: &[SocketAddr], random_seed: u64) -> Self {
        let mut candidates = Candidates {
            entries: Vec::new(),
            next_index: 0,
            random: Rng::with_seed(random_seed),
        };
        candidates.set_seeds(seeds);
        candidates.next_index = candidates.random.usize(..candidates.entries.len().max(1));
        candidates
    }

    /// Replaces the seeds by those of reloaded settings. Former seeds stay until [`Candidates::set_members`] removes
    /// those that are not members.
    pub(super) fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.entries
            .iter_mut()
            .for_each(|candidate| candidate.is_seed = seeds.contains(&candidate.address));
        seeds.iter().for_each(|seed| self.add(*seed, true));
    }

    /// Replaces the members by those in a welcome; seeds stay. An empty list changes nothing.
    pub(super) fn set_members(&mut self, members: &[SocketAddr]) {
        if members.is_empty() {
            return;
        }
        self.entries
            .retain(|candidate| candidate.is_seed || members.contains(&candidate.address));
        members.iter().for_each(|member| self.add(*member, false));
    }

    /// Picks the next address in the rotation that may be dialled now and is not among `addresses_in_use`.
    pub(super) fn pick(
        &mut self,
        now_ms: u64,
        addresses_in_use: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let count = self.entries.len();
        for offset in 0..count {
            let index = (self.next_index + offset) % count;
            if self.is_available(index, now_ms, addresses_in_use) {
                self.next_index = index + 1;
                return Some(self.entries[index].address);
            }
        }
        None
    }

    /// Whether the backoff of this address is over; `true` for an unknown address.
    pub(super) fn may_dial(&self, address: SocketAddr, now_ms: u64) -> bool {
        let candidate = self
            .entries
            .iter()
            .find(|candidate| candidate.address == address);
        candidate.is_none_or(|candidate| candidate.not_before_ms <= now_ms)
    }

    /// Starts a random backoff of this address after a connection to it failed or was given up.
    pub(super) fn back_off(&mut self, address: SocketAddr, now_ms: u64) {
        let backoff_ms = self.random.u64(BACKOFF_MIN_MS..=BACKOFF_MAX_MS);
        if let Some(candidate) = self
            .entries
            .iter_mut()
            .find(|candidate| candidate.address == address)
        {
            candidate.not_before_ms = now_ms + backoff_ms;
        }
    }

    /// Ends the backoff of this address, because a member has named it as the address of a new view's head.
    pub(super) fn clear_backoff(&mut self, address: SocketAddr) {
        if let Some(candidate) = self
            .entries
            .iter_mut()
            .find(|candidate| candidate.address == address)
        {
            candidate.not_before_ms = 0;
        }
    }

    /// Earliest time at which an address that is not among `addresses_in_use` may be dialled; `None` if there is none.
    pub(super) fn next_attempt_ms(&self, addresses_in_use: &[SocketAddr]) -> Option<u64> {
        let unused_candidates = self
            .entries
            .iter()
            .filter(|candidate| !addresses_in_use.contains(&candidate.address));
        unused_candidates
            .map(|candidate| candidate.not_before_ms)
            .min()
    }

    fn is_available(&self, index: usize, now_ms: u64, addresses_in_use: &[SocketAddr]) -> bool {
        let candidate = &self.entries[index];
        candidate.not_before_ms <= now_ms && !addresses_in_use.contains(&candidate.address)
    }

    fn add(&mut self, address: SocketAddr, is_seed: bool) {
        if !self
            .entries
            .iter()
            .any(|candidate| candidate.address == address)
        {
            self.entries.push(Candidate {
                address,
                is_seed,
                not_before_ms: 0,
            });
        }
    }
}
