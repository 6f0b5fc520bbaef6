//! A survey draws deployments at random, plays the module and the baseline policies on each, and reports where the module is
//! behind.
//!
//! All policies of one deployment get the same arrivals, running times, faults and clients (common random numbers), so that
//! differences between policies are not due to the draw. The network jitter is the exception: it depends on the actions of the
//! policy. Each deployment is played several times with different seeds, and the interval of a difference is Student's
//! t interval over these runs.

pub mod draw;
pub mod page;

use crate::baseline::Policy;
use crate::error::{
    DeploymentSnafu, FileSnafu, NoComparisonSnafu, NoSurveySnafu, OtherSurveySnafu, ReplayError,
    RowSnafu, RunsSnafu,
};
use crate::load::Made;
use crate::virtual_time::{Retries, Run, Simulation};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The version of the draw ranges and of the row format. Rows of another version belong to another survey.
pub const VERSION: u32 = 1;
/// Minimum and maximum number of runs of each deployment.
pub const RUNS: (u32, u32) = (2, 16);

/// Maximum number of threads of a survey.
const MAX_THREADS: usize = 256;

/// The 97.5% quantile of Student's t distribution for 1 to 15 degrees of freedom.
const STUDENT_T_975: [f64; 15] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131,
];

/// The parameters of a survey.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The [`VERSION`] of the program that wrote the plan.
    pub version: u32,
    /// The seed from which deployments are drawn.
    pub seed: u64,
    /// Number of runs of each deployment; see [`RUNS`].
    pub runs: u32,
    /// The policies to play, including the module.
    pub policies: Vec<Policy>,
}

/// The results of one policy on one deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyResult {
    /// The service metric of each run.
    #[serde(rename = "figures")]
    pub metrics: Vec<f64>,
    /// Number of breaches by rule, over all runs.
    pub breaches: BTreeMap<String, u64>,
    /// Means over the runs: the shares of jobs served in time, served late, refused and failed, then fetches and attempts per job.
    pub shares: [f64; 6],
}

impl PolicyResult {
    /// The mean service metric over all runs; 0 without runs.
    pub fn mean(&self) -> f64 {
        self.metrics.iter().sum::<f64>() / self.metrics.len().max(1) as f64
    }
}

/// The results of all policies on one deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The number of the deployment.
    pub number: u64,
    /// The traits of the deployment, by which the summary groups.
    pub traits: Vec<String>,
    /// The results by policy.
    pub played: BTreeMap<Policy, PolicyResult>,
}

/// The module compared with the best baseline policy that does not see the true state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BestComparison {
    /// The best baseline policy.
    pub best: Policy,
    /// The mean service metric of the module minus that of the best policy.
    #[serde(rename = "by")]
    pub difference: f64,
    /// The 95% confidence interval of the difference.
    pub interval: [f64; 2],
}

/// Mean and 95% confidence interval of the paired differences `a - b`.
fn paired_difference(a: &[f64], b: &[f64]) -> (f64, [f64; 2]) {
    let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| a - b).collect();
    let n = differences.len().max(1) as f64;
    let mean = differences.iter().sum::<f64>() / n;
    let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    let quantile = STUDENT_T_975
        .get(differences.len().saturating_sub(2))
        .copied()
        .unwrap_or(1.96);
    let half = quantile * (variance / n).sqrt();
    (mean, [mean - half, mean + half])
}

impl Row {
    /// Compares the module with the best baseline policy; `None` if the module or every such policy is missing.
    pub fn compare_with_best(&self) -> Option<BestComparison> {
        let module = self.played.get(&Policy::Module)?;
        let baselines = self
            .played
            .iter()
            .filter(|(p, _)| **p != Policy::Module && !p.knows_all());
        let (best, best_result) = baselines.max_by(|a, b| a.1.mean().total_cmp(&b.1.mean()))?;
        let (difference, interval) = paired_difference(&module.metrics, &best_result.metrics);
        Some(BestComparison {
            best: *best,
            difference,
            interval,
        })
    }
}

fn play(
    scenario: &crate::scenario::Scenario,
    policy: Policy,
    seed: u64,
) -> Result<Run, ReplayError> {
    let simulation = Simulation::with_policy(scenario, seed, Retries::Model, policy)?;
    simulation.play(Made::new(scenario, seed)?, |_| {}, |_| {})
}

/// Plays all policies of the plan on one deployment.
///
/// # Errors
/// The scenario cannot be played.
pub fn play_deployment(plan: &Plan, number: u64) -> Result<Row, ReplayError> {
    let scenario = draw::deployment(plan.seed, number);
    let mut played = BTreeMap::new();
    for policy in &plan.policies {
        let mut result = PolicyResult::default();
        let mut sums = [0.0; 6];
        for n in 0..plan.runs {
            let run = play(
                &scenario,
                *policy,
                plan.seed ^ (number << 8) ^ u64::from(n) << 56,
            )
            .map_err(Box::new)
            .context(DeploymentSnafu {
                number,
                policy: policy.name(),
            })?;
            result.metrics.push(run.outcome.service_metric);
            for (rule, count) in &run.verdict.breaches {
                *result.breaches.entry(format!("{rule:?}")).or_default() += count;
            }
            let jobs = run.outcome.counts[0].max(1) as f64;
            let parts = run.outcome.ends.map(|e| e as f64 / jobs);
            let [in_time, late, refused, failed] = parts;
            let all = [
                in_time,
                late,
                refused,
                failed,
                run.fetches as f64 / jobs,
                run.outcome.counts[2] as f64 / jobs,
            ];
            sums.iter_mut()
                .zip(all)
                .for_each(|(s, a)| *s += a / f64::from(plan.runs));
        }
        result.shares = sums;
        played.insert(*policy, result);
    }
    Ok(Row {
        number,
        traits: draw::traits(&scenario),
        played,
    })
}

/// Checks that the first line of a survey file contains the same plan.
fn check_first_line(path: &Path, plan: &Plan, line: &[u8]) -> Result<(), ReplayError> {
    let other: Plan = serde_json::from_slice(line)
        .ok()
        .context(NoSurveySnafu { path })?;
    ensure!(
        other == *plan,
        OtherSurveySnafu {
            path,
            seed: other.seed,
            runs: other.runs,
            version: other.version,
        }
    );
    Ok(())
}

/// Opens a survey file and reads its rows, or writes the plan to a new file. Returns the rows, and the file positioned at its
/// end. An incomplete last line, as an interrupted survey leaves it, is truncated.
fn resume(path: &Path, plan: &Plan) -> Result<(BTreeMap<u64, Row>, File), ReplayError> {
    let mut file = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .context(FileSnafu { path })?;
    let (mut rows, mut complete_bytes, mut first) = (BTreeMap::new(), 0, true);
    for line in BufReader::new(&file).split(b'\n') {
        let line = line.context(FileSnafu { path })?;
        if first {
            first = false;
            check_first_line(path, plan, &line)?;
        } else {
            let Ok(row) = serde_json::from_slice::<Row>(&line) else {
                break;
            };
            rows.insert(row.number, row);
        }
        complete_bytes += line.len() as u64 + 1;
    }
    if first {
        let mut line = serde_json::to_vec(plan).context(RowSnafu)?;
        line.push(b'\n');
        file.write_all(&line).context(FileSnafu { path })?;
    } else {
        file.set_len(complete_bytes).context(FileSnafu { path })?;
        file.seek(SeekFrom::End(0)).context(FileSnafu { path })?;
    }
    Ok((rows, file))
}

/// Plays those of the deployments 0 to `count` (exclusive) that the file does not contain yet, and appends each row to the file
/// when it is complete. Returns all rows by number. The rows depend neither on the number of threads nor on interruptions.
///
/// # Errors
/// The plan is invalid, the file cannot be used, or a deployment cannot be played.
pub fn survey(
    plan: &Plan,
    count: u64,
    threads: usize,
    path: &Path,
    progress: impl Fn(u64) + Sync,
) -> Result<Vec<Row>, ReplayError> {
    plan.check()?;
    let (rows, file) = resume(path, plan)?;
    let done = AtomicU64::new(rows.len() as u64);
    let missing: Vec<u64> = (0..count).filter(|n| !rows.contains_key(n)).collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Results {
        path,
        file,
        rows,
        error: None,
    });
    let results_lock = || results.lock().unwrap_or_else(PoisonError::into_inner);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| {
                while let Some(number) = missing.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let row = play_deployment(plan, *number);
                    if !results_lock().add(row) {
                        next.store(missing.len(), Ordering::Relaxed);
                        return;
                    }
                    progress(done.fetch_add(1, Ordering::Relaxed) + 1);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    match results.error {
        Some(error) => Err(error),
        None => Ok(results
            .rows
            .into_values()
            .filter(|row| row.number < count)
            .collect()),
    }
}

impl Plan {
    fn check(&self) -> Result<(), ReplayError> {
        let (fewest, most) = RUNS;
        if !(fewest..=most).contains(&self.runs) {
            let runs = self.runs;
            return RunsSnafu { runs, fewest, most }.fail();
        }
        let only_module = self.policies.iter().all(|p| *p == Policy::Module);
        if !self.policies.contains(&Policy::Module) || only_module {
            return NoComparisonSnafu.fail();
        }
        Ok(())
    }
}

/// The rows so far, and the file to which new rows are appended.
struct Results<'a> {
    path: &'a Path,
    file: File,
    rows: BTreeMap<u64, Row>,
    /// The first error, which stops the survey.
    error: Option<ReplayError>,
}

impl Results<'_> {
    /// Writes a row, or stores its error. Returns false if the survey must stop.
    fn add(&mut self, row: Result<Row, ReplayError>) -> bool {
        match row.and_then(|row| self.write(row)) {
            Ok(()) => true,
            Err(error) => {
                self.error.get_or_insert(error);
                false
            }
        }
    }

    fn write(&mut self, row: Row) -> Result<(), ReplayError> {
        let mut line = serde_json::to_vec(&row).context(RowSnafu)?;
        line.push(b'\n');
        let written = self.file.write_all(&line);
        written.context(FileSnafu { path: self.path })?;
        self.rows.insert(row.number, row);
        Ok(())
    }
}

/// The summary of a survey.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of deployments.
    pub count: usize,
    /// Number of deployments on which the module is ahead of every policy that does not see the true state, and of those on which
    /// the whole interval is above 0.
    pub ahead: [usize; 2],
    /// Number of deployments on which the module is behind, and of those on which the whole interval is below 0.
    pub behind: [usize; 2],
    /// Number of deployments on which each policy broke a rule.
    pub broke: BTreeMap<Policy, usize>,
    /// Mean service metric of each policy.
    pub means: BTreeMap<Policy, f64>,
    /// By trait: the number of deployments, the mean difference, and the number on which the module is behind.
    pub traits: BTreeMap<String, (usize, f64, usize)>,
    /// Numbers of the deployments with the lowest differences, the worst first.
    pub worst: Vec<u64>,
}

/// Summarises rows; `worst` is the maximum number of deployments listed in [`Summary::worst`].
pub fn summarise(rows: &[Row], worst: usize) -> Summary {
    let mut s = Summary {
        count: rows.len(),
        ..Summary::default()
    };
    let mut differences: Vec<(f64, u64)> = Vec::new();
    for row in rows {
        for (policy, result) in &row.played {
            *s.broke.entry(*policy).or_default() += usize::from(!result.breaches.is_empty());
            *s.means.entry(*policy).or_default() += result.mean() / rows.len() as f64;
        }
        let Some(comparison) = row.compare_with_best() else {
            continue;
        };
        s.ahead[0] += usize::from(comparison.difference > 0.0);
        s.ahead[1] += usize::from(comparison.interval[0] > 0.0);
        s.behind[0] += usize::from(comparison.difference < 0.0);
        s.behind[1] += usize::from(comparison.interval[1] < 0.0);
        differences.push((comparison.difference, row.number));
        for name in &row.traits {
            let group = s.traits.entry(name.clone()).or_default();
            (group.0, group.1) = (group.0 + 1, group.1 + comparison.difference);
            group.2 += usize::from(comparison.difference < 0.0);
        }
    }
    s.traits
        .values_mut()
        .for_each(|group| group.1 /= group.0.max(1) as f64);
    differences.sort_by(|a, b| a.0.total_cmp(&b.0));
    s.worst = differences
        .iter()
        .take(worst)
        .map(|(_, number)| *number)
        .collect();
    s
}

#[cfg(test)]
mod tests;
