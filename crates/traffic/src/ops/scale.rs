//! Recordings at a higher or lower rate.

use crate::job::{Job, Micros};
use crate::order::unit;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

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
                if clone_number == 0 {
                    all.push(job.clone());
                    continue;
                }
                self.clones += 1;
                let at = start + (job.at - start + turn) % self.block;
                all.push(clone_at(job, at, self.clones));
            }
        }
        all.sort_by_key(|j| j.at);
        self.ready.extend(all);
        Some(())
    }
}

/// A copy of a job with its retries at another time, under a subject and key of its own.
fn clone_at(job: &Job, at: Micros, number: u64) -> Job {
    let mut job = job.clone();
    let by = at - job.at;
    job.at = at;
    job.retries.iter_mut().for_each(|retry| retry.at += by);
    let own = |text: &str| format!("{text}~{number}");
    job.key = job.key.as_deref().map(own);
    if !job.subject.is_empty() {
        job.subject = own(&job.subject);
    }
    job
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
