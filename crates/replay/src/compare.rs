//! Computes the differences between the metrics of two runs, with a confidence interval for the value earned.

use crate::sampling::{draw, unit};
use crate::service::{Outcome, Second};
use crate::virtual_time::Run;
use serde::{Deserialize, Serialize};

/// Block length of the bootstrap in seconds: neighbouring seconds are correlated, so they are resampled together.
const BLOCK: usize = 10;
/// Number of bootstrap resamples.
const DRAWS: u64 = 2_000;

/// The values of a metric in two runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Name of the metric.
    pub name: String,
    /// Value in run A.
    pub a: f64,
    /// Value in run B.
    pub b: f64,
    /// Difference: B minus A.
    pub by: f64,
    /// The 95% confidence interval of the difference; `None` if it is not computed for this metric or the runs are too short.
    pub interval: Option<[f64; 2]>,
}

/// The comparison of two runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// All compared metrics.
    #[serde(rename = "figures")]
    pub metrics: Vec<Difference>,
    /// Whether B earns more or less value than A, and which run breaks rules, in words.
    pub verdict: String,
}

/// Returns the 95% confidence interval of the difference in the fraction of value earned, by resampling blocks of paired
/// seconds (moving block bootstrap, Kuensch 1989). `None` if there are fewer than three blocks.
fn bootstrap_interval(a: &[Second], b: &[Second], seed: u64) -> Option<[f64; 2]> {
    let n = a.len().min(b.len());
    if n < 3 * BLOCK {
        return None;
    }
    // Prefix sums, so that the sum over a block is one subtraction.
    let sums = |of: &[Second]| {
        let mut sum = (0.0, 0.0);
        let mut all = vec![sum];
        all.extend(of[..n].iter().map(|s| {
            sum = (sum.0 + s.offered, sum.1 + s.earned);
            sum
        }));
        all
    };
    let (a, b) = (sums(a), sums(b));
    let mut rng = draw(seed, 0, 0xb007);
    let mut differences: Vec<f64> = (0..DRAWS)
        .map(|_| {
            let mut sums = [0.0; 4];
            for _ in 0..n.div_ceil(BLOCK) {
                let at = (unit(&mut rng) * (n - BLOCK + 1) as f64) as usize;
                let end = at + BLOCK;
                let block = [
                    a[end].0 - a[at].0,
                    a[end].1 - a[at].1,
                    b[end].0 - b[at].0,
                    b[end].1 - b[at].1,
                ];
                sums.iter_mut().zip(block).for_each(|(s, p)| *s += p);
            }
            let fraction =
                |offered: f64, earned: f64| if offered > 0.0 { earned / offered } else { 1.0 };
            fraction(sums[2], sums[3]) - fraction(sums[0], sums[1])
        })
        .collect();
    differences.sort_by(f64::total_cmp);
    let at = |q: f64| differences[(q * (differences.len() - 1) as f64) as usize];
    Some([at(0.025), at(0.975)])
}

/// Collects the compared metrics.
struct Differences(Vec<Difference>);

impl Differences {
    fn add(&mut self, name: impl Into<String>, a: f64, b: f64) {
        self.add_with_interval(name, a, b, None);
    }

    fn add_with_interval(
        &mut self,
        name: impl Into<String>,
        a: f64,
        b: f64,
        interval: Option<[f64; 2]>,
    ) {
        self.0.push(Difference {
            name: name.into(),
            a,
            b,
            by: b - a,
            interval,
        });
    }

    fn add_values(&mut self, a: &Outcome, b: &Outcome, interval: Option<[f64; 2]>) {
        self.add("service figure", a.service_metric, b.service_metric);
        self.add_with_interval("worth earned, whole run", a.overall, b.overall, interval);
        let (window_a, window_b) = (a.worst_window.0, b.worst_window.0);
        self.add("worth earned, worst 10 s", window_a, window_b);
        self.add(
            "worth earned, worst class",
            a.worst_class.0,
            b.worst_class.0,
        );
        let (parish_a, parish_b) = (a.worst_parish.0, b.worst_parish.0);
        self.add("worth earned, worst parish", parish_a, parish_b);
        for (name, in_a) in &a.classes {
            let in_b = b.classes.get(name).copied().unwrap_or(0.0);
            self.add(format!("worth earned, class {name}"), *in_a, in_b);
        }
    }

    fn add_ends(&mut self, a: &Outcome, b: &Outcome) {
        let fraction =
            |ends: [u64; 4], n: usize| ends[n] as f64 / ends.iter().sum::<u64>().max(1) as f64;
        for (n, name) in ["in time", "late", "refused", "failed"].iter().enumerate() {
            let name = format!("share of jobs {name}");
            self.add(name, fraction(a.ends, n), fraction(b.ends, n));
        }
    }

    fn add_latencies(&mut self, a: &Outcome, b: &Outcome) {
        for (name, in_a) in &a.latency {
            let in_b = b.latency.get(name).copied().unwrap_or_default();
            self.add(format!("{name}: 50th percentile, ms"), in_a[0], in_b[0]);
            self.add(format!("{name}: 99th percentile, ms"), in_a[2], in_b[2]);
        }
    }

    fn add_counts(&mut self, a: &Outcome, b: &Outcome) {
        let per_first_try = |counts: [u64; 4], n: usize| counts[n] as f64 / counts[0].max(1) as f64;
        for (n, name) in [(1, "retries"), (2, "attempts"), (3, "probes")] {
            let name = format!("{name} per first try");
            self.add(name, per_first_try(a.counts, n), per_first_try(b.counts, n));
        }
    }
}

/// Describes the comparison in words.
fn verdict(a: &Run, b: &Run, interval: Option<[f64; 2]>) -> String {
    let verdict = match interval {
        Some([low, high]) if low > 0.0 => {
            format!("B earns more of the worth: by {low:.4} to {high:.4} (95%).")
        }
        Some([low, high]) if high < 0.0 => {
            format!(
                "B earns less of the worth: by {:.4} to {:.4} (95%).",
                -high, -low
            )
        }
        Some([low, high]) => {
            format!("No difference is shown: B less A lies between {low:+.4} and {high:+.4} (95%).")
        }
        None => "The runs are too short for an interval.".into(),
    };
    match (a.verdict.kept(), b.verdict.kept()) {
        (true, false) => format!("{verdict} B breaks rules that A keeps."),
        (false, true) => format!("{verdict} A breaks rules that B keeps."),
        (false, false) => format!("{verdict} Both break rules."),
        (true, true) => verdict,
    }
}

/// Compares two runs.
pub fn compare(a: &Run, b: &Run) -> Comparison {
    let interval = bootstrap_interval(&a.outcome.seconds, &b.outcome.seconds, 1);
    let mut differences = Differences(Vec::new());
    differences.add_values(&a.outcome, &b.outcome, interval);
    differences.add_ends(&a.outcome, &b.outcome);
    differences.add_latencies(&a.outcome, &b.outcome);
    differences.add_counts(&a.outcome, &b.outcome);
    Comparison {
        metrics: differences.0,
        verdict: verdict(a, b, interval),
    }
}
