//! Jobs that may still get a retry, by the order of their first attempts and by what a retry shares with them.

use crate::job::{Job, Micros};
use rustc_hash::{FxHashMap, FxHasher};
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// What an attempt may share with the job that it is a retry of.
#[derive(Clone, Copy)]
pub(super) enum KeyKind {
    /// Class and idempotency key.
    Idempotency = 0,
    /// The request id.
    RequestId = 1,
    /// Client, class, parish and subject.
    Subject = 2,
    /// Client, class and parish.
    Client = 3,
}

/// Hashes of an attempt, by [`KeyKind`]; `None`: it has nothing of the kind.
#[derive(Clone, Copy)]
pub(super) struct MatchKeys([Option<u64>; 4]);

impl MatchKeys {
    /// The keys of an attempt whose request has this id, where clients keep ids.
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

    /// Is there an idempotency key or a request id, so that a retry is known for certain?
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

/// When an attempt ended. Logs without durations leave much time between the two.
#[derive(Clone, Copy)]
pub(super) struct EndTime {
    /// It had ended, or its client had stopped waiting, no earlier than this.
    pub earliest: Micros,
    /// ... and no later than this.
    pub latest: Micros,
}

/// A job that may still get a retry. All but the job and its keys speak of its last attempt.
pub(super) struct OpenJob {
    pub job: Job,
    pub end: EndTime,
    /// How exactly the end is known.
    pub resolution: Micros,
    pub served: bool,
    /// The last time at which a retry can begin.
    pub closes: Micros,
    pub keys: MatchKeys,
}

/// Open jobs, numbered in the order of their first attempts.
#[derive(Default)]
pub(super) struct OpenJobs {
    jobs: VecDeque<OpenJob>,
    /// Number of the first in `jobs`.
    first: u64,
    /// Numbers by each kind of key; the newest last.
    by_key: [FxHashMap<u64, SmallVec<[u64; 2]>>; 4],
}

impl OpenJobs {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn oldest(&self) -> Option<&OpenJob> {
        self.jobs.front()
    }

    /// The job of a number that [`Self::matching`] gave.
    pub(super) fn get(&self, number: u64) -> &OpenJob {
        &self.jobs[(number - self.first) as usize]
    }

    /// The same, to be changed.
    pub(super) fn get_mut(&mut self, number: u64) -> &mut OpenJob {
        &mut self.jobs[(number - self.first) as usize]
    }

    /// Numbers of the jobs that share a key of this kind, the newest first.
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
        let number = self.first + self.jobs.len() as u64;
        for (by_key, key) in self.by_key.iter_mut().zip(open.keys.0) {
            if let Some(key) = key {
                by_key.entry(key).or_default().push(number);
            }
        }
        self.jobs.push_back(open);
    }

    /// Takes out the oldest.
    pub(super) fn pop_oldest(&mut self) -> Option<Job> {
        let open = self.jobs.pop_front()?;
        for (by_key, key) in self.by_key.iter_mut().zip(open.keys.0) {
            let Some(key) = key else { continue };
            if let Some(numbers) = by_key.get_mut(&key) {
                numbers.retain(|number| *number != self.first);
                if numbers.is_empty() {
                    by_key.remove(&key);
                }
            }
        }
        self.first += 1;
        Some(open.job)
    }
}
