//! Operations on recordings. Each consumes and produces a stream of jobs ordered by time; [`Summary`] counts them.

mod pseudonyms;
mod scale;
mod summary;

pub use pseudonyms::pseudonymise;
pub use scale::{Factor, Scaled};
pub use summary::Summary;

use crate::job::{Job, Micros};

/// Keeps jobs whose first attempt lies in `[from, to)`. The input must be ordered by time.
pub fn time_range(
    jobs: impl Iterator<Item = Job>,
    from: Micros,
    to: Micros,
) -> impl Iterator<Item = Job> {
    jobs.skip_while(move |j| j.at < from)
        .take_while(move |j| j.at < to)
}

/// Keeps jobs whose class and parish (tenant) are both listed; an empty list allows every value.
pub fn filter(
    jobs: impl Iterator<Item = Job>,
    classes: Vec<String>,
    parishes: Vec<String>,
) -> impl Iterator<Item = Job> {
    let is_selected =
        |allowed: &[String], name: &str| allowed.is_empty() || allowed.iter().any(|n| n == name);
    jobs.filter(move |j| is_selected(&classes, &j.class) && is_selected(&parishes, &j.parish))
}

/// Merges several recordings, each ordered by time, into one.
pub struct Merged<I: Iterator<Item = Job>>(Vec<std::iter::Peekable<I>>);

impl<I: Iterator<Item = Job>> Merged<I> {
    /// Creates the merged stream. Jobs of equal time keep the order of their recordings in the list.
    pub fn new(recordings: Vec<I>) -> Self {
        Merged(recordings.into_iter().map(Iterator::peekable).collect())
    }
}

impl<I: Iterator<Item = Job>> Iterator for Merged<I> {
    type Item = Job;

    fn next(&mut self) -> Option<Job> {
        let next_jobs = self.0.iter_mut().enumerate();
        let earliest = next_jobs
            .filter_map(|(n, i)| i.peek().map(|j| (j.at, n)))
            .min()?;
        self.0[earliest.1].next()
    }
}
