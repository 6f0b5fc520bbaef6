//! Spreads attempts with coarse timestamps over the interval that their timestamp covers.

use super::{Attempt, HeapEntry};
use crate::job::Micros;
use crate::timestamp::SECOND;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;

/// Spreads attempts with coarse timestamps. Attempts with the same timestamp get sorted uniform draws from the interval
/// that it covers, in the order in which their file logged them (the order statistics of a Poisson process given its
/// count). The input must be ordered by time, and so is the output.
pub struct Spread<I: Iterator> {
    input: std::iter::Peekable<I>,
    rng: Pcg64Mcg,
    /// Attempts that are spread but not yet returned.
    heap: BinaryHeap<Reverse<HeapEntry>>,
    /// Number of attempts that were spread over a second or more.
    pub spread: u64,
}

impl<I: Iterator<Item = io::Result<Attempt>>> Spread<I> {
    /// Spreads the attempts of `input`; `seed` initialises the random number generator.
    pub fn new(input: I, seed: u64) -> Self {
        Spread {
            input: input.peekable(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            spread: 0,
        }
    }

    /// Spreads `first_attempt` and all following attempts with the same timestamp.
    fn spread_next(&mut self, first_attempt: Attempt) {
        let (at, resolution) = (first_attempt.job.at, first_attempt.resolution.max(1));
        let has_same_time = |attempt: &io::Result<Attempt>| {
            attempt
                .as_ref()
                .is_ok_and(|a| a.job.at == at && a.resolution.max(1) == resolution)
        };
        let mut group: SmallVec<[Attempt; 1]> = SmallVec::from_buf([first_attempt]);
        while let Some(Ok(attempt)) = self.input.next_if(has_same_time) {
            group.push(attempt);
        }
        if resolution >= SECOND {
            self.spread += group.len() as u64;
        }
        // The order of records is meaningful within a file only: each file's attempts are spread on their own.
        group.sort_by_key(|attempt| attempt.file);
        if resolution > 1 {
            for file_attempts in group.chunk_by_mut(|a, b| a.file == b.file) {
                draw_times(file_attempts, resolution, &mut self.rng);
            }
        }
        for attempt in group {
            self.heap.push(Reverse(HeapEntry::new(0, attempt)));
        }
    }
}

/// Moves attempts of one timestamp and one file by sorted uniform draws from `[0, resolution)`.
fn draw_times(attempts: &mut [Attempt], resolution: Micros, rng: &mut Pcg64Mcg) {
    let draw = |_| (unit(rng) * resolution as f64) as Micros;
    let mut draws: SmallVec<[Micros; 4]> = (0..attempts.len()).map(draw).collect();
    draws.sort_unstable();
    for (attempt, offset) in attempts.iter_mut().zip(draws) {
        attempt.job.at += offset;
    }
}

impl<I: Iterator<Item = io::Result<Attempt>>> Iterator for Spread<I> {
    type Item = io::Result<Attempt>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            // Attempts still to be read are not earlier than the next timestamp, so all before it can be returned.
            let bound = match self.input.peek() {
                Some(Ok(attempt)) => Some(attempt.job.at),
                Some(Err(_)) => Some(Micros::MIN),
                None => None,
            };
            let head = self.heap.peek().map(|Reverse(entry)| entry.key.at);
            match (head, bound) {
                (Some(at), Some(bound)) if at < bound => break,
                (Some(_), None) => break,
                (None, None) => return None,
                _ => match self.input.next()? {
                    Ok(first) => self.spread_next(first),
                    Err(e) => return Some(Err(e)),
                },
            }
        }
        self.heap.pop().map(|Reverse(entry)| Ok(*entry.attempt))
    }
}

/// Returns a uniform random number from `[0, 1)`.
pub fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
