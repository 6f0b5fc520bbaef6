//! Operations on recordings: all are streams of jobs in, streams of jobs out, in order.

use crate::job::{Job, Micros};
use crate::order::unit;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a recording holds, in figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// First attempts.
    pub jobs: u64,
    /// Retries.
    pub retries: u64,
    /// Time of the first job, microseconds since 1970.
    pub from: Option<Micros>,
    /// Time of the last.
    pub to: Option<Micros>,
    /// Jobs by class, with shares.
    pub classes: BTreeMap<String, u64>,
    /// Jobs by parish.
    pub parishes: BTreeMap<String, u64>,
    /// Jobs by the status of the last response.
    pub statuses: BTreeMap<u16, u64>,
    /// First attempts in each second from the first job on.
    pub per_second: Vec<u32>,
    /// Variance over mean of the counts a second (index of dispersion): 1 for a Poisson process of one rate.
    pub dispersion: f64,
    /// Mean of the recorded response times, in microseconds, over attempts that have one.
    pub mean_took: f64,
    took: (f64, u64),
}

impl Summary {
    /// Counts a job.
    pub fn add(&mut self, job: &Job) {
        self.jobs += 1;
        self.retries += job.retries.len() as u64;
        let from = *self.from.get_or_insert(job.at);
        self.to = Some(job.at);
        *self.classes.entry(job.class.to_string()).or_default() += 1;
        *self.parishes.entry(job.parish.to_string()).or_default() += 1;
        let last = job.retries.last().map_or(job.status, |a| a.status);
        *self.statuses.entry(last).or_default() += 1;
        // A gap of months would make a allowed of millions: a year's seconds are the most.
        let second = ((job.at - from).max(0) / 1_000_000).min(31_622_400) as usize;
        if self.per_second.len() <= second {
            self.per_second.resize(second + 1, 0);
        }
        self.per_second[second] += 1;
        for took in job
            .took
            .into_iter()
            .chain(job.retries.iter().filter_map(|a| a.took))
        {
            self.took = (self.took.0 + took as f64, self.took.1 + 1);
        }
    }

    /// Works out what takes all jobs.
    pub fn finish(mut self) -> Self {
        let n = self.per_second.len().max(1) as f64;
        let mean = self.per_second.iter().map(|c| f64::from(*c)).sum::<f64>() / n;
        let var = self
            .per_second
            .iter()
            .map(|c| (f64::from(*c) - mean).powi(2))
            .sum::<f64>()
            / n;
        self.dispersion = if mean > 0.0 { var / mean } else { 0.0 };
        self.mean_took = self.took.0 / self.took.1.max(1) as f64;
        self
    }
}

/// Keeps jobs whose first attempt lies in `[from, to)`.
pub fn time_range(
    jobs: impl Iterator<Item = Job>,
    from: Micros,
    to: Micros,
) -> impl Iterator<Item = Job> {
    jobs.skip_while(move |j| j.at < from)
        .take_while(move |j| j.at < to)
}

/// Keeps jobs of these classes and parishes; an empty allowed keeps all.
pub fn filter(
    jobs: impl Iterator<Item = Job>,
    classes: Vec<String>,
    parishes: Vec<String>,
) -> impl Iterator<Item = Job> {
    let is_selected =
        |allowed: &[String], name: &str| allowed.is_empty() || allowed.iter().any(|n| n == name);
    jobs.filter(move |j| is_selected(&classes, &j.class) && is_selected(&parishes, &j.parish))
}

/// Several recordings as one, by time.
pub struct Merged<I: Iterator<Item = Job>>(Vec<std::iter::Peekable<I>>);

impl<I: Iterator<Item = Job>> Merged<I> {
    /// Of these.
    pub fn new(of: Vec<I>) -> Self {
        Merged(of.into_iter().map(Iterator::peekable).collect())
    }
}

impl<I: Iterator<Item = Job>> Iterator for Merged<I> {
    type Item = Job;

    fn next(&mut self) -> Option<Job> {
        let heads = self.0.iter_mut().enumerate();
        let first = heads
            .filter_map(|(n, i)| i.peek().map(|j| (j.at, n)))
            .min()?;
        self.0[first.1].next()
    }
}

/// How the rate changes over time.
#[derive(Clone, Copy, Debug)]
pub enum Factor {
    /// Everywhere the same.
    Always(f64),
    /// A jump: up to the factor from `from` on within `edge`, and back before `to`.
    Jump {
        /// When it begins.
        from: Micros,
        /// When it is over.
        to: Micros,
        /// How long the rise, and the fall, take.
        edge: Micros,
        /// The factor between.
        times: f64,
    },
}

impl Factor {
    fn at(&self, t: Micros) -> f64 {
        match *self {
            Factor::Always(times) => times,
            Factor::Jump { from, to, .. } if t < from || t >= to => 1.0,
            Factor::Jump {
                from,
                to,
                edge,
                times,
            } => {
                let up = |d: Micros| {
                    if edge <= 0 {
                        1.0
                    } else {
                        (d as f64 / edge as f64).min(1.0)
                    }
                };
                1.0 + (times - 1.0) * up(t - from).min(up(to - t))
            }
        }
    }
}

/// Scales the rate. Thinning keeps each first attempt with its retries, by chance. Scaling up adds copies of each short
/// stretch, each turned round within the stretch by a draw of its own: the copies have the burstiness of the original, and
/// the rate keeps its course from stretch to stretch; no Poisson noise comes on top. A copy's subject and key are its own.
pub struct Scaled<I: Iterator<Item = Job>> {
    from: std::iter::Peekable<I>,
    factor: Factor,
    block: Micros,
    rng: Pcg64Mcg,
    ready: VecDeque<Job>,
    clones: u64,
}

impl<I: Iterator<Item = Job>> Scaled<I> {
    /// In stretches of so long; draws begin at the seed.
    pub fn new(from: I, factor: Factor, block: Micros, seed: u64) -> Self {
        let (rng, ready) = (Pcg64Mcg::seed_from_u64(seed), VecDeque::new());
        Scaled {
            from: from.peekable(),
            factor,
            block: block.max(1),
            rng,
            ready,
            clones: 0,
        }
    }

    fn stretch(&mut self) -> Option<()> {
        let start = self.from.peek()?.at.div_euclid(self.block) * self.block;
        let end = start + self.block;
        let mut own = Vec::new();
        while let Some(job) = self.from.next_if(|j| j.at < end) {
            own.push(job);
        }
        let times = self.factor.at(start + self.block / 2).max(0.0);
        let mut all = Vec::new();
        for clone_number in 0..times.ceil() as u64 {
            let probability = (times - clone_number as f64).min(1.0);
            let turn = if clone_number == 0 {
                0
            } else {
                (unit(&mut self.rng) * self.block as f64) as Micros
            };
            for job in &own {
                if probability < 1.0 && unit(&mut self.rng) >= probability {
                    continue;
                }
                let mut job = job.clone();
                if clone_number > 0 {
                    self.clones += 1;
                    let moved = start + (job.at - start + turn) % self.block;
                    let by = moved - job.at;
                    job.at = moved;
                    job.retries.iter_mut().for_each(|a| a.at += by);
                    let own = |text: &str| format!("{text}~{}", self.clones);
                    job.key = job.key.as_deref().map(own);
                    if !job.subject.is_empty() {
                        job.subject = own(&job.subject);
                    }
                }
                all.push(job);
            }
        }
        all.sort_by_key(|j| j.at);
        self.ready.extend(all);
        Some(())
    }
}

impl<I: Iterator<Item = Job>> Iterator for Scaled<I> {
    type Item = Job;

    fn next(&mut self) -> Option<Job> {
        while self.ready.is_empty() {
            self.stretch()?;
        }
        self.ready.pop_front()
    }
}

/// Puts keyed hashes (BLAKE3) in place of what names people and things: subjects, keys and clients; parishes too if
/// wanted. The same key gives the same names again, so that recordings can still be compared.
pub fn pseudonymise<I: Iterator<Item = Job>>(
    jobs: I,
    secret: &str,
    parishes: bool,
) -> impl Iterator<Item = Job> + use<I> {
    let key = blake3::derive_key("indigofold recording pseudonyms 2026", secret.as_bytes());
    let mut names: FxHashMap<Arc<str>, Arc<str>> = FxHashMap::default();
    jobs.map(move |mut job| {
        let hash = |field: &str, text: &str| {
            let mut hasher = blake3::Hasher::new_keyed(&key);
            hasher
                .update(field.as_bytes())
                .update(&[0])
                .update(text.as_bytes());
            hasher.finalize()
        };
        let short = |field: &str, text: &str| hash(field, text).to_hex()[..16].to_string();
        if !job.subject.is_empty() {
            job.subject = short("subject", &job.subject);
        }
        job.key = job.key.as_deref().map(|k| short("key", k));
        if job.client != 0 {
            let bytes = hash("client", &job.client.to_string());
            let first = bytes.as_bytes()[..8]
                .iter()
                .fold(0, |n, b| n << 8 | u64::from(*b));
            job.client = first.max(1);
        }
        if parishes && !job.parish.is_empty() {
            let parish = names.entry(job.parish.clone());
            job.parish = parish
                .or_insert_with_key(|p| short("parish", p).into())
                .clone();
        }
        job
    })
}
