//! What differs between two runs, and how sure that is.

use crate::sampling::{draw, unit};
use crate::service::Second;
use crate::virtual_time::Run;
use serde::{Deserialize, Serialize};

/// Seconds that are drawn together: neighbouring ones depend on each other.
const BLOCK: usize = 10;
/// Draws of the bootstrap.
const DRAWS: u64 = 2_000;

/// A figure of two runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Its name.
    pub name: String,
    /// In run A.
    pub a: f64,
    /// In run B.
    pub b: f64,
    /// B less A.
    pub by: f64,
    /// An interval that holds the difference with 95%, where one can be given.
    pub interval: Option<[f64; 2]>,
}

/// All that differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The figures.
    #[serde(rename = "figures")]
    pub metrics: Vec<Difference>,
    /// In plain words.
    pub verdict: String,
}

/// The difference of the shares of worth earned, with an interval: seconds are paired, and blocks of them drawn anew
/// (moving block bootstrap, Kuensch 1989).
fn paired(a: &[Second], b: &[Second], seed: u64) -> Option<[f64; 2]> {
    let n = a.len().min(b.len());
    if n < 3 * BLOCK {
        return None;
    }
    // Sums up to each second, so that a block's sum is one difference.
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
    let mut found: Vec<f64> = (0..DRAWS)
        .map(|_| {
            let mut sums = [0.0; 4];
            for _ in 0..n.div_ceil(BLOCK) {
                let at = (unit(&mut rng) * (n - BLOCK + 1) as f64) as usize;
                let end = at + BLOCK;
                let parts = [
                    a[end].0 - a[at].0,
                    a[end].1 - a[at].1,
                    b[end].0 - b[at].0,
                    b[end].1 - b[at].1,
                ];
                sums.iter_mut().zip(parts).for_each(|(s, p)| *s += p);
            }
            let fraction =
                |offered: f64, earned: f64| if offered > 0.0 { earned / offered } else { 1.0 };
            fraction(sums[2], sums[3]) - fraction(sums[0], sums[1])
        })
        .collect();
    found.sort_by(f64::total_cmp);
    let at = |q: f64| found[(q * (found.len() - 1) as f64) as usize];
    Some([at(0.025), at(0.975)])
}

/// Compares two runs.
pub fn compare(a: &Run, b: &Run) -> Comparison {
    let (x, y) = (&a.outcome, &b.outcome);
    let mut metrics = Vec::new();
    let mut add = |name: &str, a: f64, b: f64, interval| {
        metrics.push(Difference {
            name: name.into(),
            a,
            b,
            by: b - a,
            interval,
        });
    };
    let interval = paired(&x.seconds, &y.seconds, 1);
    add("service figure", x.service_metric, y.service_metric, None);
    add("worth earned, whole run", x.overall, y.overall, interval);
    add(
        "worth earned, worst 10 s",
        x.worst_window.0,
        y.worst_window.0,
        None,
    );
    add(
        "worth earned, worst class",
        x.worst_class.0,
        y.worst_class.0,
        None,
    );
    add(
        "worth earned, worst parish",
        x.worst_parish.0,
        y.worst_parish.0,
        None,
    );
    for (name, a) in &x.classes {
        add(
            &format!("worth earned, class {name}"),
            *a,
            y.classes.get(name).copied().unwrap_or(0.0),
            None,
        );
    }
    let fraction =
        |ends: [u64; 4], n: usize| ends[n] as f64 / ends.iter().sum::<u64>().max(1) as f64;
    for (n, name) in ["in time", "late", "refused", "failed"].iter().enumerate() {
        add(
            &format!("share of jobs {name}"),
            fraction(x.ends, n),
            fraction(y.ends, n),
            None,
        );
    }
    for (name, a) in &x.latency {
        let b = y.latency.get(name).copied().unwrap_or_default();
        add(&format!("{name}: 50th percentile, ms"), a[0], b[0], None);
        add(&format!("{name}: 99th percentile, ms"), a[2], b[2], None);
    }
    let per = |c: [u64; 4], n: usize| c[n] as f64 / c[0].max(1) as f64;
    for (n, name) in [(1, "retries"), (2, "attempts"), (3, "probes")] {
        add(
            &format!("{name} per first try"),
            per(x.counts, n),
            per(y.counts, n),
            None,
        );
    }
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
    let verdict = match (a.verdict.kept(), b.verdict.kept()) {
        (true, false) => format!("{verdict} B breaks rules that A keeps."),
        (false, true) => format!("{verdict} A breaks rules that B keeps."),
        (false, false) => format!("{verdict} Both break rules."),
        (true, true) => verdict,
    };
    Comparison { metrics, verdict }
}
