//! Counts and means of a recording.

use crate::job::{Job, Micros};
use crate::timestamp::SECOND;
use serde::Serialize;
use std::collections::BTreeMap;

/// Seconds of a year; later jobs count in the last. Bounds the list.
const MAX_SECONDS: i64 = 31_622_400;

/// Counts and means of a recording.
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
    /// Sum and count of the recorded response times.
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
