//! Jobs that may still get a retry, indexed by the order of their first attempts and by the keys that retries share with
//! them.

use crate::job::{Job, Micros};
use rustc_hash::{FxHashMap, FxHasher};
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// A kind of key that an attempt may share with the job that it is a retry of.
#[derive(Clone, Copy)]
pub(super) enum KeyKind {
    /// Class and idempotency key.
    Idempotency = 0,
    /// Request id.
    RequestId = 1,
    /// Client, class, parish and subject.
    Subject = 2,
    /// Client, class and parish.
    Client = 3,
}

/// Hashes of an attempt's keys, indexed by [`KeyKind`]; `None`: the attempt has no key of this kind.
#[derive(Clone, Copy)]
pub(super) struct MatchKeys([Option<u64>; 4]);

impl MatchKeys {
    /// Computes the keys of an attempt. `request_id` is `None` unless clients keep the id over retries.
    pub(super) fn new(job: &Job, request_id: Option<u64>) -> Self {
        MatchKeys([
            job.key.as_ref().map(|key| hash((&job.class, key))),
            request_id,
            (job.client != 0 || !job.subject.is_empty() || !job.parish.is_empty())
                .then(|| hash((job.client, &job.class, &job.parish, &job.subject))),
            (job.client != 0 || !job.parish.is_empty())
                .then(|| hash((job.client, &job.class, &job.parish, 0u8))),
        ])
    }

    pub(super) fn get(&self, kind: KeyKind) -> Option<u64> {
        self.0[kind as usize]
    }

    /// Returns true if there is an idempotency key or a request id, so that a retry can be matched without guessing.
    pub(super) fn has_exact(&self) -> bool {
        self.get(KeyKind::Idempotency)
            .or(self.get(KeyKind::RequestId))
            .is_some()
    }
}

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// Bounds of the time at which an attempt ended; they are equal if its duration was recorded.
#[derive(Clone, Copy)]
pub(super) struct EndTime {
    /// Earliest time at which the attempt ended or its client timed out.
    pub earliest: Micros,
    /// Latest time at which the attempt ended or its client timed out.
    pub latest: Micros,
}

/// A job that may still get a retry. The fields other than `job` and `keys` describe its last attempt so far.
pub(super) struct OpenJob {
    pub job: Job,
    pub end: EndTime,
    /// Resolution of the last attempt's timestamp.
    pub resolution: Micros,
    /// Whether the last attempt got a successful response.
    pub succeeded: bool,
    /// Latest time at which a retry can begin.
    pub closes_at: Micros,
    pub keys: MatchKeys,
}

/// Open jobs, numbered in the order of their first attempts.
#[derive(Default)]
pub(super) struct OpenJobs {
    jobs: VecDeque<OpenJob>,
    /// Number of the first entry of `jobs`.
    first_number: u64,
    /// Job numbers by key hash, for each kind of key; the newest job last.
    by_key: [FxHashMap<u64, SmallVec<[u64; 2]>>; 4],
}

impl OpenJobs {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn oldest(&self) -> Option<&OpenJob> {
        self.jobs.front()
    }

    /// Returns the open job of a number from [`Self::matching`].
    pub(super) fn get(&self, number: u64) -> &OpenJob {
        &self.jobs[(number - self.first_number) as usize]
    }

    /// Mutable variant of [`Self::get`].
    pub(super) fn get_mut(&mut self, number: u64) -> &mut OpenJob {
        &mut self.jobs[(number - self.first_number) as usize]
    }

    /// Returns the numbers of the jobs that share a key of this kind, newest first.
    pub(super) fn matching(
        &self,
        keys: &MatchKeys,
        kind: KeyKind,
    ) -> impl Iterator<Item = u64> + use<'_> {
        let numbers = keys
            .get(kind)
            .and_then(|key| self.by_key[kind as usize].get(&key));
        numbers.into_iter().flatten().rev().copied()
    }

    pub(super) fn push(&mut self, open: OpenJob) {
        let number = self.first_number + self.jobs.len() as u64;
        for (by_key, key) in self.by_key.iter_mut().zip(open.keys.0) {
            if let Some(key) = key {
                by_key.entry(key).or_default().push(number);
            }
        }
        self.jobs.push_back(open);
    }

    /// Removes the oldest job.
    pub(super) fn pop_oldest(&mut self) -> Option<Job> {
        let open = self.jobs.pop_front()?;
        for (by_key, key) in self.by_key.iter_mut().zip(open.keys.0) {
            let Some(key) = key else { continue };
            if let Some(numbers) = by_key.get_mut(&key) {
                numbers.retain(|number| *number != self.first_number);
                if numbers.is_empty() {
                    by_key.remove(&key);
                }
            }
        }
        self.first_number += 1;
        Some(open.job)
    }
}
