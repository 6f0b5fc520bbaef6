//! Summary statistics of a recording.

use crate::job::{Job, Micros};
use crate::timestamp::SECOND;
use serde::Serialize;
use std::collections::BTreeMap;

/// Longest span counted second by second: 366 days. Later jobs count in the last second; bounds [`Summary::per_second`].
const MAX_SECONDS: i64 = 31_622_400;

/// Summary statistics of a recording.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Number of jobs (first attempts).
    pub jobs: u64,
    /// Number of retries.
    pub retries: u64,
    /// Time of the first job, in microseconds since 1970; `None` if there are no jobs.
    pub from: Option<Micros>,
    /// Time of the last job's first attempt, in microseconds since 1970.
    pub to: Option<Micros>,
    /// Number of jobs by class.
    pub classes: BTreeMap<String, u64>,
    /// Number of jobs by parish (tenant); empty name: unknown.
    pub parishes: BTreeMap<String, u64>,
    /// Number of jobs by the HTTP status of the last attempt; 0: no response.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of first attempts in each second, starting with the first job.
    pub per_second: Vec<u32>,
    /// Variance divided by mean of `per_second` (index of dispersion): 1 for a Poisson process of constant rate.
    pub dispersion: f64,
    /// Mean recorded response time in microseconds, over the attempts that have one.
    pub mean_took: f64,
    /// Sum and count of the recorded response times.
    took: (f64, u64),
}

impl Summary {
    /// Adds a job. Jobs must be added in the order of their first attempts.
    pub fn add(&mut self, job: &Job) {
        self.jobs += 1;
        self.retries += job.retries.len() as u64;
        let from = *self.from.get_or_insert(job.at);
        self.to = Some(job.at);
        *self.classes.entry(job.class.to_string()).or_default() += 1;
        *self.parishes.entry(job.parish.to_string()).or_default() += 1;
        let last_status = job.retries.last().map_or(job.status, |a| a.status);
        *self.statuses.entry(last_status).or_default() += 1;
        let second = ((job.at - from).max(0) / SECOND).min(MAX_SECONDS) as usize;
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

    /// Computes the dispersion and the mean response time, which need all jobs.
    pub fn finish(mut self) -> Self {
        let second_count = self.per_second.len().max(1) as f64;
        let mean = self.per_second.iter().map(|c| f64::from(*c)).sum::<f64>() / second_count;
        let variance = self
            .per_second
            .iter()
            .map(|c| (f64::from(*c) - mean).powi(2))
            .sum::<f64>()
            / second_count;
        self.dispersion = if mean > 0.0 { variance / mean } else { 0.0 };
        self.mean_took = self.took.0 / self.took.1.max(1) as f64;
        self
    }
}
