//! Client retries become one job: by key, by marker, and, where there is neither, by which client sent what.
//!
//! Attempts come in the order in which they were made. A job stays open until no retry can belong to it any more; jobs come
//! out in the order of their first attempts. [`Retry::confidence`] says how sure a fold is: by key or id, that two clients
//! do not draw the same one. By marker and by guess several jobs may fit; how long clients wait before they come back is
//! learned from those retries that fit one job alone, and the job whose wait is the likeliest is taken. A guess is also
//! weighed against another job of that client about the same subject, whose rate is counted as the log goes on.

mod open_jobs;
mod waits;

use crate::job::{Evidence, Job, Micros, Retry, done};
use crate::order::Attempt;
use crate::tally::{Remark, Tally};
use open_jobs::{EndTime, KeyKind, MatchKeys, OpenJob, OpenJobs};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use waits::WaitHistogram;

/// A retry of the same key or id begins so long after the last attempt's end, at the latest.
const KEYED_RETRY_WINDOW: Micros = 15_000_000;
/// A marked retry begins so long after the last attempt's end, at the latest.
const MARKED_RETRY_WINDOW: Micros = 5_000_000;
/// A job that was not served stays open for so long at least, where retries are guessed.
const MIN_GUESS_WINDOW: Micros = 2_500_000;
/// A response and the retry that follows it may be logged in the wrong order by so much.
const REORDERING_TOLERANCE: Micros = 2_000;
/// How long a client waits where nothing says it.
const DEFAULT_CLIENT_WAIT: Micros = 10_000_000;
/// Beyond so many open jobs the oldest are closed; bounds the memory.
const MAX_OPEN_JOBS: usize = 100_000;
/// Beyond so many clients and subjects their counts begin anew; bounds the memory.
const MAX_COUNTED_SUBJECTS: usize = 4 * MAX_OPEN_JOBS;
/// How often an attempt that was not served is followed by a retry, as far as nothing else is known.
const RETRY_PROBABILITY: f64 = 0.7;
/// The shortest wait for which the probability of another job is reckoned.
const MIN_GUESS_WAIT: Micros = 50_000;
/// How sure two attempts with the same key belong together.
const KEY_CONFIDENCE: f32 = 0.999;
/// A guess of less confidence is not made.
const MIN_GUESS_CONFIDENCE: f32 = 0.5;
/// The wait before a guessed retry is learned from beyond this confidence.
const LEARNING_CONFIDENCE: f32 = 0.95;

/// How retries are known.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A retry without key or marker begins so long after the end of the attempt before, at the latest; 0: none is guessed.
    pub guess_within: Micros,
    /// Attempts of one job, the first included.
    pub max_attempts: u32,
    /// Clients keep the request id.
    pub id_kept: bool,
    /// Clients mark their retries: what has no marker is no retry, unless its key says so.
    pub marks: bool,
}

/// The job that an attempt is a retry of.
struct Match {
    /// Its number among the open jobs.
    number: u64,
    evidence: Evidence,
    confidence: f32,
    /// The wait before the retry is one to learn from.
    learn: bool,
}

/// The likeliest of several jobs.
struct Likeliest {
    number: u64,
    /// Its probability among them.
    probability: f32,
    /// There is no other.
    alone: bool,
}

/// Folds retries into jobs.
pub struct Folder {
    rules: Rules,
    open: OpenJobs,
    /// Jobs by client and subject, since `counting_since`.
    jobs_of_subject: FxHashMap<u64, u32>,
    counting_since: Option<Micros>,
    /// The latest time of an attempt.
    now: Micros,
    waits: WaitHistogram,
}

impl Folder {
    /// A folder by these rules.
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

    /// Takes the next attempt and hands out the jobs that are closed by then.
    pub fn push(&mut self, attempt: Attempt, tally: &mut Tally, mut out: impl FnMut(Job)) {
        self.now = self.now.max(attempt.job.at);
        self.counting_since.get_or_insert(attempt.job.at);
        let request_id = (self.rules.id_kept && attempt.id != 0).then_some(attempt.id);
        let keys = MatchKeys::new(&attempt.job, request_id);
        match self.find_job(&attempt, &keys) {
            Some(found) => {
                if found.learn {
                    let end = self.open.get(found.number).end;
                    self.waits.learn(attempt.job.at - end.earliest);
                }
                tally.folded += 1;
                self.add_retry(&found, &attempt);
            }
            None => {
                tally.taken += 1;
                if attempt.marked {
                    tally.remark_only(Remark::Orphan, 1);
                }
                self.begin(attempt, keys);
            }
        }
        self.close_jobs(false, &mut out);
    }

    /// Hands out the rest.
    pub fn finish(mut self, mut out: impl FnMut(Job)) {
        self.close_jobs(true, &mut out);
    }

    /// Opens a job with its first attempt.
    fn begin(&mut self, attempt: Attempt, keys: MatchKeys) {
        if let Some(subject) = keys.get(KeyKind::Subject) {
            if self.jobs_of_subject.len() > MAX_COUNTED_SUBJECTS {
                self.jobs_of_subject.clear();
                self.counting_since = Some(self.now);
            }
            *self.jobs_of_subject.entry(subject).or_default() += 1;
        }
        let end = end_of(&attempt.job, attempt.job.deadline);
        let served = done(attempt.job.status);
        let closes = end.latest + self.retry_window(served, &keys);
        self.open.push(OpenJob {
            job: attempt.job,
            end,
            resolution: attempt.resolution,
            served,
            closes,
            keys,
        });
    }

    /// Adds a retry to its job.
    fn add_retry(&mut self, found: &Match, attempt: &Attempt) {
        let open = self.open.get(found.number);
        let end = end_of(&attempt.job, attempt.job.deadline.or(open.job.deadline));
        let served = done(attempt.job.status);
        let window = self.retry_window(served, &open.keys);
        let open = self.open.get_mut(found.number);
        open.job.retries.push(Retry {
            at: attempt.job.at,
            status: attempt.job.status,
            took: attempt.job.took,
            evidence: found.evidence,
            confidence: found.confidence,
        });
        (open.end, open.resolution) = (end, attempt.resolution);
        (open.served, open.closes) = (served, end.latest + window);
    }

    /// How long after its end a job may still get a retry.
    fn retry_window(&self, served: bool, keys: &MatchKeys) -> Micros {
        match (keys.has_exact(), served) {
            (true, _) => KEYED_RETRY_WINDOW,
            // Its response may have been logged as sent and not have come.
            (false, true) => 0,
            (false, false) if self.rules.marks => MARKED_RETRY_WINDOW,
            (false, false) => self.rules.guess_within.max(MIN_GUESS_WINDOW),
        }
    }

    /// The job that an attempt is a retry of; `None`: it is a first attempt.
    fn find_job(&self, attempt: &Attempt, keys: &MatchKeys) -> Option<Match> {
        if let Some(found) = self.find_by_key(attempt, keys) {
            return Some(found);
        }
        if attempt.marked {
            return self.find_by_marker(attempt, keys);
        }
        self.guess(attempt, keys)
    }

    /// By the same key or id, whatever became of the attempts before.
    fn find_by_key(&self, attempt: &Attempt, keys: &MatchKeys) -> Option<Match> {
        let number = [KeyKind::Idempotency, KeyKind::RequestId]
            .into_iter()
            .find_map(|kind| {
                self.open.matching(keys, kind).find(|number| {
                    let open = self.open.get(*number);
                    open.closes >= attempt.job.at && self.may_retry(open)
                })
            })?;
        Some(Match {
            number,
            evidence: Evidence::Key,
            confidence: KEY_CONFIDENCE,
            learn: false,
        })
    }

    /// By the client's marker: of its failed jobs about the same subject, or else about any.
    fn find_by_marker(&self, attempt: &Attempt, keys: &MatchKeys) -> Option<Match> {
        for (kind, learn) in [(KeyKind::Subject, true), (KeyKind::Client, false)] {
            let fitting = self.failed_jobs(attempt, keys, kind, MARKED_RETRY_WINDOW);
            if let Some(found) = self.likeliest(attempt.job.at, &fitting) {
                return Some(Match {
                    number: found.number,
                    evidence: Evidence::Marker,
                    confidence: found.probability,
                    learn: found.alone && learn,
                });
            }
        }
        None
    }

    /// By a failed job of the same client about the same subject.
    fn guess(&self, attempt: &Attempt, keys: &MatchKeys) -> Option<Match> {
        let within = self.rules.guess_within;
        if within == 0 || attempt.job.key.is_some() || self.rules.marks {
            return None;
        }
        let fitting = self.failed_jobs(attempt, keys, KeyKind::Subject, within);
        let found = self.likeliest(attempt.job.at, &fitting)?;
        let wait = attempt.job.at - self.open.get(found.number).end.earliest;
        let confidence = self.retry_probability(keys.get(KeyKind::Subject)?, wait);
        (confidence >= MIN_GUESS_CONFIDENCE).then_some(Match {
            number: found.number,
            evidence: Evidence::Guess,
            confidence: confidence * found.probability,
            learn: found.alone && confidence > LEARNING_CONFIDENCE,
        })
    }

    /// May the job get one more attempt?
    fn may_retry(&self, open: &OpenJob) -> bool {
        (open.job.retries.len() as u32) + 1 < self.rules.max_attempts
    }

    /// Jobs of a shared key that were not served, and ended before this attempt began, as far as that is known.
    fn failed_jobs(
        &self,
        attempt: &Attempt,
        keys: &MatchKeys,
        kind: KeyKind,
        within: Micros,
    ) -> SmallVec<[u64; 4]> {
        let at = attempt.job.at;
        let fits = |open: &OpenJob| {
            let tolerance = open.resolution + attempt.resolution + REORDERING_TOLERANCE;
            // Equal keys have been found before.
            let other_key = open.job.key.is_some() && attempt.job.key.is_some();
            !open.served
                && !other_key
                && self.may_retry(open)
                && open.end.earliest <= at + tolerance
                && at <= open.end.latest + within + tolerance
        };
        self.open
            .matching(keys, kind)
            .filter(|number| fits(self.open.get(*number)))
            .collect()
    }

    /// The job of which the wait before `at` is the likeliest.
    fn likeliest(&self, at: Micros, fitting: &[u64]) -> Option<Likeliest> {
        let density = |number: u64| self.waits.density(at - self.open.get(number).end.earliest);
        let all: f64 = fitting.iter().map(|number| density(*number)).sum();
        let number = fitting
            .iter()
            .copied()
            .max_by(|a, b| density(*a).total_cmp(&density(*b)))?;
        Some(Likeliest {
            number,
            probability: (density(number) / all) as f32,
            alone: fitting.len() == 1,
        })
    }

    /// How likely an attempt so long after a failed one is its retry, and not another job about the same subject.
    fn retry_probability(&self, subject: u64, wait: Micros) -> f32 {
        let counted_for = (self.now - self.counting_since.unwrap_or(self.now)).max(1) as f64;
        let jobs = self.jobs_of_subject.get(&subject).copied().unwrap_or(1);
        let others = jobs.saturating_sub(1) as f64 + 0.1;
        let by_chance = 1.0 - (-others / counted_for * wait.max(MIN_GUESS_WAIT) as f64).exp();
        (RETRY_PROBABILITY / (RETRY_PROBABILITY + by_chance)) as f32
    }

    /// Hands out the jobs that can get no retry any more, or all.
    fn close_jobs(&mut self, all: bool, out: &mut impl FnMut(Job)) {
        while let Some(oldest) = self.open.oldest() {
            if !all && oldest.closes >= self.now && self.open.len() <= MAX_OPEN_JOBS {
                break;
            }
            let Some(job) = self.open.pop_oldest() else {
                break;
            };
            out(job);
        }
    }
}

/// When an attempt ended whose client waits for `deadline`.
fn end_of(attempt: &Job, deadline: Option<Micros>) -> EndTime {
    match attempt.took {
        Some(took) => EndTime {
            earliest: attempt.at + took,
            latest: attempt.at + took,
        },
        None => EndTime {
            earliest: attempt.at,
            latest: attempt.at + deadline.unwrap_or(DEFAULT_CLIENT_WAIT),
        },
    }
}
