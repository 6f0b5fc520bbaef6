//! Client retries become one first try: by key, by mark, and, where there is neither, by who asked for what.
//!
//! Tries come in the order in which they were made. A first try stays open until no retry can belong to it any more; jobs
//! come out in the order of their first tries. How sure a fold is says [`Retry::confidence`](crate::Retry): by key or id, that
//! two clients do not draw the same one. By mark and by guess several jobs may fit; how long clients wait before they come
//! back is learned from those retries that fit one job alone, and the job whose wait is the likeliest is taken. A guess is
//! also weighed against another job of that client about the same subject, whose rate is counted as the log goes on.

use crate::job::{Evidence, Job, Micros, Retry, done};
use crate::order::Attempt;
use crate::tally::{Remark, Tally};
use rustc_hash::{FxHashMap, FxHasher};
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// A key or an id counts for so long after the last try's end.
const KEYED_RETRY_WINDOW: Micros = 15_000_000;
/// A marked retry comes so long after the last try's end, at the latest.
const MARKED_RETRY_WINDOW: Micros = 5_000_000;
/// An answer and the retry that follows it may be logged in the wrong order by so much.
const REORDERING_TOLERANCE: Micros = 2_000;
/// Where nobody says how long a client waits, it is taken to be this.
const DEFAULT_CLIENT_WAIT: Micros = 10_000_000;
/// Open first tries at the most; beyond that the oldest are closed.
const MAX_OPEN_JOBS: usize = 100_000;
/// How often a try that was not served is followed by a retry, as far as nothing else is known.
const RETRY_PROBABILITY: f64 = 0.7;
/// How sure two tries with the same key belong together.
const KEY_CONFIDENCE: f32 = 0.999;

/// How retries are known.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A retry without key or mark comes so long after the end of the try before, at the latest; 0: none is guessed.
    pub guess_within: Micros,
    /// Tries of one job, the first included.
    pub max_attempts: u32,
    /// Clients keep the request id.
    pub id_kept: bool,
    /// Clients mark their retries: what has no mark is no retry, unless its key says so.
    pub marks: bool,
}

/// How long clients wait between the end of a try and the next, in bins of a quarter of an octave.
struct Waits([f64; Waits::BINS]);

impl Waits {
    const BINS: usize = 64;

    fn bin(wait: Micros) -> usize {
        // From 1 ms on; what is less, or seems negative, falls into the first bin.
        let quarters = (wait.max(1_000) as f64 / 1_000.0).log2() * 4.0;
        (quarters as usize).min(Self::BINS - 1)
    }

    fn learn(&mut self, wait: Micros) {
        self.0[Self::bin(wait)] += 1.0;
    }

    /// How likely such a wait is, for each microsecond of its bin, up to a factor.
    fn density(&self, wait: Micros) -> f64 {
        let bin = Self::bin(wait);
        self.0[bin] / 2f64.powf(bin as f64 / 4.0)
    }
}

struct Open {
    job: Job,
    /// When the last try had ended, or its client had stopped waiting: no earlier than the first, no later than the
    /// second. Logs without durations leave much room between.
    ended: Micros,
    end: Micros,
    /// The end is known no better than this.
    within: Micros,
    served: bool,
    closes: Micros,
    keys: [Option<u64>; 4], // by key, id, who and what, who alone
}

/// Folds tries.
pub struct Folder {
    rules: Rules,
    open: VecDeque<Open>,
    first: u64, // number of the first in `open`
    /// Open first tries by key, id, who and what, who alone; the newest last.
    by: [FxHashMap<u64, SmallVec<[u64; 2]>>; 4],
    /// Jobs of one client about one thing.
    jobs_of_client: FxHashMap<u64, u32>,
    began: Option<Micros>,
    now: Micros,
    waits: Waits,
}

fn mixed(parts: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    parts.hash(&mut hasher);
    hasher.finish()
}

impl Folder {
    /// A folder by these rules.
    pub fn new(rules: Rules) -> Self {
        let (open, by, jobs_of_client) = Default::default();
        let waits = Waits([0.02; Waits::BINS]);
        Folder {
            rules,
            open,
            first: 0,
            by,
            jobs_of_client,
            began: None,
            now: Micros::MIN,
            waits,
        }
    }

    /// Takes the next try and hands out the jobs that are closed by then.
    pub fn push(&mut self, t: Attempt, tally: &mut Tally, mut out: impl FnMut(Job)) {
        self.now = self.now.max(t.job.at);
        self.began.get_or_insert(t.job.at);
        let job = &t.job;
        let keys = [
            job.key.as_ref().map(|key| mixed((&job.class, key))),
            (self.rules.id_kept && t.id != 0).then_some(t.id),
            (job.client != 0 || !job.subject.is_empty() || !job.parish.is_empty())
                .then(|| mixed((job.client, &job.class, &job.parish, &job.subject))),
            (job.client != 0 || !job.parish.is_empty())
                .then(|| mixed((job.client, &job.class, &job.parish, 0u8))),
        ];
        match self.find_first_attempt(&t, &keys) {
            Some((n, how, confidence, learn)) => {
                if learn {
                    let wait = t.job.at - self.open[self.index(n)].ended;
                    self.waits.learn(wait);
                }
                tally.folded += 1;
                self.join(n, &t, how, confidence);
            }
            None => {
                tally.taken += 1;
                if t.marked {
                    tally.remark_only(Remark::Orphan, 1);
                }
                self.begin(t, keys);
            }
        }
        self.close(false, &mut out);
    }

    /// Hands out the rest.
    pub fn finish(mut self, mut out: impl FnMut(Job)) {
        self.close(true, &mut out);
    }

    /// Between which times a try ended.
    fn end(at: Micros, took: Option<Micros>, deadline: Option<Micros>) -> (Micros, Micros) {
        match took {
            Some(took) => (at + took, at + took),
            None => (at, at + deadline.unwrap_or(DEFAULT_CLIENT_WAIT)),
        }
    }

    /// Where an open first try stands.
    fn index(&self, number: u64) -> usize {
        (number - self.first) as usize
    }

    fn begin(&mut self, t: Attempt, keys: [Option<u64>; 4]) {
        let number = self.first + self.open.len() as u64;
        for (by, key) in self.by.iter_mut().zip(keys) {
            if let Some(key) = key {
                by.entry(key).or_default().push(number);
            }
        }
        if let Some(what) = keys[2] {
            // Bounded: what was seen long ago says little of now.
            if self.jobs_of_client.len() > 4 * MAX_OPEN_JOBS {
                self.jobs_of_client.clear();
                self.began = Some(self.now);
            }
            *self.jobs_of_client.entry(what).or_default() += 1;
        }
        let (ended, end) = Self::end(t.job.at, t.job.took, t.job.deadline);
        let served = done(t.job.status);
        let closes = end + self.stays(served, &keys);
        self.open.push_back(Open {
            job: t.job,
            ended,
            end,
            within: t.within,
            served,
            closes,
            keys,
        });
    }

    /// How long after its end a job may still get a retry.
    fn stays(&self, served: bool, keys: &[Option<u64>; 4]) -> Micros {
        match (keys[0].or(keys[1]).is_some(), served) {
            (true, _) => KEYED_RETRY_WINDOW,
            // Its answer may have been logged as sent and not have come.
            (false, true) => 0,
            (false, false) if self.rules.marks => MARKED_RETRY_WINDOW,
            (false, false) => self.rules.guess_within.max(2_500_000),
        }
    }

    fn join(&mut self, number: u64, t: &Attempt, how: Evidence, confidence: f32) {
        let n = self.index(number);
        let (ended, end) = Self::end(
            t.job.at,
            t.job.took,
            t.job.deadline.or(self.open[n].job.deadline),
        );
        let served = done(t.job.status);
        let stays = self.stays(served, &self.open[n].keys);
        let open = &mut self.open[n];
        let (at, status, took) = (t.job.at, t.job.status, t.job.took);
        open.job.retries.push(Retry {
            at,
            status,
            took,
            evidence: how,
            confidence,
        });
        (open.ended, open.end, open.within) = (ended, end, t.within);
        (open.served, open.closes) = (served, end + stays);
    }

    /// The job that a try is a retry of, by what, how sure that is, and whether the wait before it is one to learn from.
    fn find_first_attempt(
        &self,
        t: &Attempt,
        keys: &[Option<u64>; 4],
    ) -> Option<(u64, Evidence, f32, bool)> {
        let at = t.job.at;
        let all = |n: usize| {
            let list = keys[n].and_then(|key| self.by[n].get(&key));
            list.into_iter().flatten().rev().copied()
        };
        let open = |number: u64| &self.open[self.index(number)];
        let more = |o: &Open| (o.job.retries.len() as u32) + 1 < self.rules.max_attempts;
        // The same key or id: whatever became of the tries before.
        for n in [0, 1] {
            if let Some(number) =
                all(n).find(|number| open(*number).closes >= at && more(open(*number)))
            {
                return Some((number, Evidence::Key, KEY_CONFIDENCE, false));
            }
        }
        // Ended before this one began, as far as that is known, and not served.
        let slack = |o: &Open| o.within + t.within + REORDERING_TOLERANCE;
        let failed = |number: &u64, within: Micros| {
            let o = open(*number);
            let differs = o.job.key.is_some() && t.job.key.is_some(); // equal keys were found above
            !o.served
                && !differs
                && more(o)
                && o.ended <= at + slack(o)
                && at <= o.end + within + slack(o)
        };
        // The likeliest of those that fit, and how sure that is among them.
        let likeliest = |fitting: &[u64]| {
            let density = |number: u64| self.waits.density(at - open(number).ended);
            let all: f64 = fitting.iter().map(|n| density(*n)).sum();
            let best = fitting
                .iter()
                .copied()
                .max_by(|a, b| density(*a).total_cmp(&density(*b)))?;
            Some((best, (density(best) / all) as f32, fitting.len() == 1))
        };
        if t.marked {
            for n in [2, 3] {
                let fitting: SmallVec<[u64; 4]> = all(n)
                    .filter(|number| failed(number, MARKED_RETRY_WINDOW))
                    .collect();
                if let Some((number, confidence, alone)) = likeliest(&fitting) {
                    return Some((number, Evidence::Marker, confidence, alone && n == 2));
                }
            }
            return None;
        }
        let within = self.rules.guess_within;
        if within == 0 || t.job.key.is_some() || self.rules.marks {
            return None;
        }
        let fitting: SmallVec<[u64; 4]> = all(2).filter(|number| failed(number, within)).collect();
        let (number, among, alone) = likeliest(&fitting)?;
        let confidence = self.likely(keys[2]?, at - open(number).ended);
        (confidence >= 0.5).then_some((
            number,
            Evidence::Guess,
            confidence * among,
            alone && confidence > 0.95,
        ))
    }

    /// How likely a try so long after a failed one is its retry, and not another job about the same.
    fn likely(&self, what: u64, gap: Micros) -> f32 {
        let observed_time = (self.now - self.began.unwrap_or(self.now)).max(1) as f64;
        let others = self
            .jobs_of_client
            .get(&what)
            .copied()
            .unwrap_or(1)
            .saturating_sub(1) as f64
            + 0.1;
        let by_chance = 1.0 - (-others / observed_time * gap.max(50_000) as f64).exp();
        (RETRY_PROBABILITY / (RETRY_PROBABILITY + by_chance)) as f32
    }

    fn close(&mut self, all: bool, out: &mut impl FnMut(Job)) {
        while let Some(first) = self.open.front() {
            if !all && first.closes >= self.now && self.open.len() <= MAX_OPEN_JOBS {
                break;
            }
            let Some(open) = self.open.pop_front() else {
                break;
            };
            for (by, key) in self.by.iter_mut().zip(open.keys) {
                let Some(key) = key else { continue };
                if let Some(list) = by.get_mut(&key) {
                    list.retain(|n| *n != self.first);
                    if list.is_empty() {
                        by.remove(&key);
                    }
                }
            }
            self.first += 1;
            out(open.job);
        }
    }
}
