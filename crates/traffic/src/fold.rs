//! Folding: assigns each client retry to the job of its first attempt, by idempotency key or request id, by the client's
//! retry marker, or, if there is neither, by client and subject.
//!
//! Attempts arrive ordered by time. A job stays open while a retry can still belong to it; jobs are emitted in the order
//! of their first attempts. [`Retry::confidence`] is the probability that the assignment is right. For a key or an id it
//! is the probability that no other client uses the same value. For a marker or a guess, several jobs can be candidates:
//! the distribution of client wait times is learned from retries that have a single candidate, and the candidate with the
//! most likely wait is chosen. A guess is also weighed against the probability that the attempt is another job of the
//! same client about the same subject, which is estimated from the rate of such jobs seen so far.

mod open_jobs;
mod waits;

use crate::job::{Evidence, Job, Micros, Retry, is_success};
use crate::order::Attempt;
use crate::tally::{Remark, Tally};
use open_jobs::{EndTime, KeyKind, MatchKeys, OpenJob, OpenJobs};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use waits::WaitHistogram;

/// Maximum time between the end of an attempt and a retry with the same key or id.
const KEYED_RETRY_WINDOW: Micros = 15_000_000;
/// Maximum time between the end of an attempt and a retry with a retry marker.
const MARKED_RETRY_WINDOW: Micros = 5_000_000;
/// Minimum time for which a failed job stays open if clients do not mark their retries.
const MIN_GUESS_WINDOW: Micros = 2_500_000;
/// Maximum time by which a retry may be logged before the end of the attempt that it follows.
const REORDERING_TOLERANCE: Micros = 2_000;
/// Assumed client timeout if the job has no deadline.
const DEFAULT_CLIENT_WAIT: Micros = 10_000_000;
/// Maximum number of open jobs; beyond it the oldest are closed. Bounds the memory.
const MAX_OPEN_JOBS: usize = 100_000;
/// Maximum number of client and subject pairs counted; beyond it the counts restart at zero. Bounds the memory.
const MAX_COUNTED_SUBJECTS: usize = 4 * MAX_OPEN_JOBS;
/// Prior probability that a failed attempt is followed by a retry.
const RETRY_PROBABILITY: f64 = 0.7;
/// Lower bound of the wait used to compute the probability of an unrelated job.
const MIN_GUESS_WAIT: Micros = 50_000;
/// Confidence that two attempts with the same key or id belong to one job.
const KEY_CONFIDENCE: f32 = 0.999;
/// Minimum confidence of a guess.
const MIN_GUESS_CONFIDENCE: f32 = 0.5;
/// The wait time before a guessed retry is added to the histogram only above this confidence.
const LEARNING_CONFIDENCE: f32 = 0.95;

/// How retries are recognised.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Maximum time between the end of an attempt and a retry without key or marker; 0: no retries are guessed.
    pub guess_within: Micros,
    /// Maximum number of attempts of one job, including the first.
    pub max_attempts: u32,
    /// Whether clients send the same request id with their retries.
    pub id_kept: bool,
    /// Whether clients mark their retries; then an attempt without a marker is a retry only by its key or id.
    pub marks: bool,
}

/// The job that an attempt is a retry of.
struct Match {
    /// Number of the job in [`OpenJobs`].
    number: u64,
    evidence: Evidence,
    confidence: f32,
    /// Whether the assignment is sure enough to add the wait before the retry to the histogram.
    learn_wait: bool,
}

/// The most likely of several candidate jobs.
struct LikeliestJob {
    /// Number of the job in [`OpenJobs`].
    number: u64,
    /// Its probability relative to the other candidates, 0 to 1.
    probability: f32,
    /// Whether it is the only candidate.
    only_candidate: bool,
}

/// Assigns attempts to jobs and emits each job with its retries.
pub struct Folder {
    rules: Rules,
    open: OpenJobs,
    /// Number of first attempts since `counting_since`, by the hash of [`KeyKind::Subject`].
    jobs_of_subject: FxHashMap<u64, u32>,
    /// Time of the first attempt, or of the last reset of `jobs_of_subject`.
    counting_since: Option<Micros>,
    /// Latest time of an attempt so far.
    now: Micros,
    waits: WaitHistogram,
}

impl Folder {
    /// Creates a folder without open jobs.
    pub fn new(rules: Rules) -> Self {
        Folder {
            rules,
            open: OpenJobs::default(),
            jobs_of_subject: FxHashMap::default(),
            counting_since: None,
            now: Micros::MIN,
            waits: WaitHistogram::default(),
        }
    }

    /// Processes the next attempt and passes the jobs that are closed by its time to `out`.
    pub fn push(&mut self, attempt: Attempt, tally: &mut Tally, mut out: impl FnMut(Job)) {
        self.now = self.now.max(attempt.job.at);
        self.counting_since.get_or_insert(attempt.job.at);
        let request_id = (self.rules.id_kept && attempt.id != 0).then_some(attempt.id);
        let keys = MatchKeys::new(&attempt.job, request_id);
        match self.find_job(&attempt, &keys) {
            Some(job_match) => {
                if job_match.learn_wait {
                    let end = self.open.get(job_match.number).end;
                    self.waits.learn(attempt.job.at - end.earliest);
                }
                tally.folded += 1;
                self.add_retry(&job_match, &attempt);
            }
            None => {
                tally.taken += 1;
                if attempt.marked {
                    tally.remark_count(Remark::Orphan, 1);
                }
                self.open_job(attempt, keys);
            }
        }
        self.close_jobs(false, &mut out);
    }

    /// Closes all open jobs and passes them to `out`.
    pub fn finish(mut self, mut out: impl FnMut(Job)) {
        self.close_jobs(true, &mut out);
    }

    /// Opens a job with its first attempt.
    fn open_job(&mut self, attempt: Attempt, keys: MatchKeys) {
        if let Some(subject) = keys.get(KeyKind::Subject) {
            if self.jobs_of_subject.len() > MAX_COUNTED_SUBJECTS {
                self.jobs_of_subject.clear();
                self.counting_since = Some(self.now);
            }
            *self.jobs_of_subject.entry(subject).or_default() += 1;
        }
        let end = end_of(&attempt.job, attempt.job.deadline);
        let succeeded = is_success(attempt.job.status);
        let closes_at = end.latest + self.retry_window(succeeded, &keys);
        self.open.push(OpenJob {
            job: attempt.job,
            end,
            resolution: attempt.resolution,
            succeeded,
            closes_at,
            keys,
        });
    }

    /// Adds a retry to its job.
    fn add_retry(&mut self, job_match: &Match, attempt: &Attempt) {
        let open = self.open.get(job_match.number);
        let end = end_of(&attempt.job, attempt.job.deadline.or(open.job.deadline));
        let succeeded = is_success(attempt.job.status);
        let window = self.retry_window(succeeded, &open.keys);
        let open = self.open.get_mut(job_match.number);
        open.job.retries.push(Retry {
            at: attempt.job.at,
            status: attempt.job.status,
            took: attempt.job.took,
            evidence: job_match.evidence,
            confidence: job_match.confidence,
        });
        (open.end, open.resolution) = (end, attempt.resolution);
        (open.succeeded, open.closes_at) = (succeeded, end.latest + window);
    }

    /// Returns how long after the end of its last attempt a job may still get a retry.
    fn retry_window(&self, succeeded: bool, keys: &MatchKeys) -> Micros {
        match (keys.has_exact(), succeeded) {
            // A retry may follow a success too: the response may have been logged as sent without reaching the client.
            (true, _) => KEYED_RETRY_WINDOW,
            (false, true) => 0,
            (false, false) if self.rules.marks => MARKED_RETRY_WINDOW,
            (false, false) => self.rules.guess_within.max(MIN_GUESS_WINDOW),
        }
    }

    /// Finds the job that an attempt is a retry of; `None`: it is a first attempt.
    fn find_job(&self, attempt: &Attempt, keys: &MatchKeys) -> Option<Match> {
        if let Some(job_match) = self.find_by_key(attempt, keys) {
            return Some(job_match);
        }
        if attempt.marked {
            return self.find_by_marker(attempt, keys);
        }
        self.guess(attempt, keys)
    }

    /// Finds a job with the same key or id, whether or not its earlier attempts succeeded.
    fn find_by_key(&self, attempt: &Attempt, keys: &MatchKeys) -> Option<Match> {
        let number = [KeyKind::Idempotency, KeyKind::RequestId]
            .into_iter()
            .find_map(|kind| {
                self.open.matching(keys, kind).find(|number| {
                    let open = self.open.get(*number);
                    open.closes_at >= attempt.job.at && self.may_retry(open)
                })
            })?;
        Some(Match {
            number,
            evidence: Evidence::Key,
            confidence: KEY_CONFIDENCE,
            learn_wait: false,
        })
    }

    /// Finds the job of a marked retry among the client's failed jobs about the same subject, or else about any subject.
    fn find_by_marker(&self, attempt: &Attempt, keys: &MatchKeys) -> Option<Match> {
        for (kind, may_learn) in [(KeyKind::Subject, true), (KeyKind::Client, false)] {
            let candidates = self.failed_jobs(attempt, keys, kind, MARKED_RETRY_WINDOW);
            if let Some(likeliest_job) = self.likeliest(attempt.job.at, &candidates) {
                return Some(Match {
                    number: likeliest_job.number,
                    evidence: Evidence::Marker,
                    confidence: likeliest_job.probability,
                    learn_wait: likeliest_job.only_candidate && may_learn,
                });
            }
        }
        None
    }

    /// Guesses the job of an attempt without key or marker among the client's failed jobs about the same subject.
    fn guess(&self, attempt: &Attempt, keys: &MatchKeys) -> Option<Match> {
        let window = self.rules.guess_within;
        if window == 0 || attempt.job.key.is_some() || self.rules.marks {
            return None;
        }
        let candidates = self.failed_jobs(attempt, keys, KeyKind::Subject, window);
        let likeliest_job = self.likeliest(attempt.job.at, &candidates)?;
        let wait = attempt.job.at - self.open.get(likeliest_job.number).end.earliest;
        let confidence = self.retry_probability(keys.get(KeyKind::Subject)?, wait);
        (confidence >= MIN_GUESS_CONFIDENCE).then_some(Match {
            number: likeliest_job.number,
            evidence: Evidence::Guess,
            confidence: confidence * likeliest_job.probability,
            learn_wait: likeliest_job.only_candidate && confidence > LEARNING_CONFIDENCE,
        })
    }

    /// Returns true if the job has fewer than the maximum number of attempts.
    fn may_retry(&self, open: &OpenJob) -> bool {
        (open.job.retries.len() as u32) + 1 < self.rules.max_attempts
    }

    /// Returns the failed jobs that share a key of this kind with an attempt and whose last attempt ended at most
    /// `window` before it, within the resolution of the two timestamps.
    fn failed_jobs(
        &self,
        attempt: &Attempt,
        keys: &MatchKeys,
        kind: KeyKind,
        window: Micros,
    ) -> SmallVec<[u64; 4]> {
        let attempt_at = attempt.job.at;
        let may_precede = |open: &OpenJob| {
            let tolerance = open.resolution + attempt.resolution + REORDERING_TOLERANCE;
            // The keys differ if both exist: `find_by_key` has already matched equal ones.
            let has_other_key = open.job.key.is_some() && attempt.job.key.is_some();
            !open.succeeded
                && !has_other_key
                && self.may_retry(open)
                && open.end.earliest <= attempt_at + tolerance
                && attempt_at <= open.end.latest + window + tolerance
        };
        self.open
            .matching(keys, kind)
            .filter(|number| may_precede(self.open.get(*number)))
            .collect()
    }

    /// Returns the candidate for which the wait until `retry_at` is the most likely one.
    fn likeliest(&self, retry_at: Micros, candidates: &[u64]) -> Option<LikeliestJob> {
        let density = |number: u64| {
            self.waits
                .density(retry_at - self.open.get(number).end.earliest)
        };
        let total: f64 = candidates.iter().map(|number| density(*number)).sum();
        let number = candidates
            .iter()
            .copied()
            .max_by(|a, b| density(*a).total_cmp(&density(*b)))?;
        Some(LikeliestJob {
            number,
            probability: (density(number) / total) as f32,
            only_candidate: candidates.len() == 1,
        })
    }

    /// Returns the probability that an attempt made `wait` after the end of a failed one is its retry and not another job
    /// of the same client about the same subject.
    fn retry_probability(&self, subject: u64, wait: Micros) -> f32 {
        let counting_time = (self.now - self.counting_since.unwrap_or(self.now)).max(1) as f64;
        let jobs = self.jobs_of_subject.get(&subject).copied().unwrap_or(1);
        let other_jobs = jobs.saturating_sub(1) as f64 + 0.1;
        let chance_probability =
            1.0 - (-other_jobs / counting_time * wait.max(MIN_GUESS_WAIT) as f64).exp();
        (RETRY_PROBABILITY / (RETRY_PROBABILITY + chance_probability)) as f32
    }

    /// Passes the jobs that can get no more retries to `out`, oldest first; every open job if `all` is set.
    fn close_jobs(&mut self, all: bool, out: &mut impl FnMut(Job)) {
        while let Some(oldest) = self.open.oldest() {
            if !all && oldest.closes_at >= self.now && self.open.len() <= MAX_OPEN_JOBS {
                break;
            }
            let Some(job) = self.open.pop_oldest() else {
                break;
            };
            out(job);
        }
    }
}

/// Returns when an attempt ended: exactly if its duration is known, or else between its start and the client's timeout.
fn end_of(attempt: &Job, deadline: Option<Micros>) -> EndTime {
    match attempt.took {
        Some(duration) => EndTime {
            earliest: attempt.at + duration,
            latest: attempt.at + duration,
        },
        None => EndTime {
            earliest: attempt.at,
            latest: attempt.at + deadline.unwrap_or(DEFAULT_CLIENT_WAIT),
        },
    }
}
