//! Scales the request rate of a recording.

use crate::job::{Job, Micros};
use crate::order::unit;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// The factor by which the rate is multiplied, as a function of time.
#[derive(Clone, Copy, Debug)]
pub enum Factor {
    /// A constant factor.
    Always(f64),
    /// A temporary change: linear from 1 to `times` in the first `edge` after `from`, and back to 1 in the last `edge`
    /// before `to`; 1 outside.
    Jump {
        /// Start of the change.
        from: Micros,
        /// End of the change (exclusive).
        to: Micros,
        /// Duration of each of the two ramps; 0: the factor changes at once.
        edge: Micros,
        /// The factor between the ramps.
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
                let ramp = |d: Micros| {
                    if edge <= 0 {
                        1.0
                    } else {
                        (d as f64 / edge as f64).min(1.0)
                    }
                };
                1.0 + (times - 1.0) * ramp(t - from).min(ramp(to - t))
            }
        }
    }
}

/// Scales the rate of a recording, block by block. Below a factor of 1, each job is kept or dropped at random together
/// with its retries. Above 1, copies of each block are added, each rotated within the block by a random offset: the
/// copies keep the burstiness of the original and the rate profile from block to block, without additional Poisson noise.
/// Each copy gets its own subject and idempotency key.
pub struct Scaled<I: Iterator<Item = Job>> {
    input: std::iter::Peekable<I>,
    factor: Factor,
    /// Length of a block.
    block: Micros,
    rng: Pcg64Mcg,
    /// Scaled jobs of the current block that are not yet returned.
    ready_jobs: VecDeque<Job>,
    /// Copies made so far; makes their subjects and keys unique.
    clone_count: u64,
}

impl<I: Iterator<Item = Job>> Scaled<I> {
    /// Scales `input` in blocks of the duration `block`; `seed` initialises the random number generator.
    pub fn new(input: I, factor: Factor, block: Micros, seed: u64) -> Self {
        let (rng, ready_jobs) = (Pcg64Mcg::seed_from_u64(seed), VecDeque::new());
        Scaled {
            input: input.peekable(),
            factor,
            block: block.max(1),
            rng,
            ready_jobs,
            clone_count: 0,
        }
    }

    /// Scales the next block into `ready_jobs`; `None`: the input has ended.
    fn scale_next_block(&mut self) -> Option<()> {
        let start = self.input.peek()?.at.div_euclid(self.block) * self.block;
        let end = start + self.block;
        let mut block_jobs = Vec::new();
        while let Some(job) = self.input.next_if(|j| j.at < end) {
            block_jobs.push(job);
        }
        let times = self.factor.at(start + self.block / 2).max(0.0);
        let mut scaled_jobs = Vec::new();
        for clone_number in 0..times.ceil() as u64 {
            let probability = (times - clone_number as f64).min(1.0);
            let rotation = if clone_number == 0 {
                0
            } else {
                (unit(&mut self.rng) * self.block as f64) as Micros
            };
            for job in &block_jobs {
                if probability < 1.0 && unit(&mut self.rng) >= probability {
                    continue;
                }
                if clone_number == 0 {
                    scaled_jobs.push(job.clone());
                    continue;
                }
                self.clone_count += 1;
                let rotated_at = start + (job.at - start + rotation) % self.block;
                scaled_jobs.push(clone_at(job, rotated_at, self.clone_count));
            }
        }
        scaled_jobs.sort_by_key(|j| j.at);
        self.ready_jobs.extend(scaled_jobs);
        Some(())
    }
}

/// Returns a copy of a job whose first attempt is at `at`, with its retries moved along. `number` is appended to the
/// subject and the key, so that they differ from those of the original and of other copies.
fn clone_at(job: &Job, at: Micros, number: u64) -> Job {
    let mut job = job.clone();
    let offset = at - job.at;
    job.at = at;
    job.retries.iter_mut().for_each(|retry| retry.at += offset);
    let numbered = |text: &str| format!("{text}~{number}");
    job.key = job.key.as_deref().map(numbered);
    if !job.subject.is_empty() {
        job.subject = numbered(&job.subject);
    }
    job
}

impl<I: Iterator<Item = Job>> Iterator for Scaled<I> {
    type Item = Job;

    fn next(&mut self) -> Option<Job> {
        while self.ready_jobs.is_empty() {
            self.scale_next_block()?;
        }
        self.ready_jobs.pop_front()
    }
}
