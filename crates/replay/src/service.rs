//! The service metric and its components, accumulated as jobs end.
//!
//! A job's value counts in full if its answer came within its latency target, in part if it came later, and not at all
//! otherwise. Time counts from the intended send of the first try, over all retries; the latency target is the class's plus
//! `stretch` times the job's own running time. The metric is the weighted sum of the fractions of value earned over the whole
//! run (45%), in its worst 10 s (15%), by its worst class (30%) and by its worst parish within quota (10%), less the prices.

use crate::load::Arrival;
use crate::scenario::{Class, Micros, Scenario};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length of the worst window in seconds.
const WORST_WINDOW_S: usize = 10;
/// Weights of the whole run, the worst window, the worst class and the worst parish.
const WEIGHTS: [f64; 4] = [0.45, 0.15, 0.30, 0.10];
/// Longest run in seconds; later events count in the last second.
const MAX_SECONDS: u64 = 100_000;
/// The greatest latency that the histograms record, in microseconds; greater ones are recorded as this.
const MAX_LATENCY: Micros = 3_600_000_000;

/// How a job ended for its client, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// Served, on time or late.
    Served(Micros),
    /// Refused, with no further retry.
    Refused(Micros),
    /// Failed, with no further retry.
    Failed(Micros),
    /// The client's deadline has passed without a final response.
    DeadlinePassed(Micros),
}

/// Index into the counts of ended jobs, in the order of stored results.
#[derive(Clone, Copy)]
enum EndKind {
    InTime,
    Late,
    Refused,
    Failed,
}

/// Counts of one second. Unless stated otherwise, they are of jobs whose first try was due in that second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Number of first tries.
    pub first: u32,
    /// Number of retries.
    pub retries: u32,
    /// Numbers of jobs served in time, served late, refused and failed.
    pub ends: [u32; 4],
    /// Value of all jobs, whether earned or not.
    #[serde(rename = "asked")]
    pub offered: f64,
    /// Value earned by served jobs.
    pub earned: f64,
    /// Attempts sent to workers in this second.
    pub attempts: u32,
    /// Jobs started by each worker in this second.
    pub begun: Vec<u32>,
    /// Sum of the latencies of served jobs, in milliseconds.
    pub took_ms: f64,
}

/// Value of the jobs of a group, and the part of it that was earned.
#[derive(Clone, Copy, Debug, Default)]
struct EarnedValue {
    offered: f64,
    earned: f64,
}

impl EarnedValue {
    fn add(&mut self, offered: f64, earned: f64) {
        self.offered += offered;
        self.earned += earned;
    }

    fn sum(seconds: &[Second]) -> Self {
        EarnedValue {
            offered: seconds.iter().map(|s| s.offered).sum(),
            earned: seconds.iter().map(|s| s.earned).sum(),
        }
    }

    fn fraction(self) -> f64 {
        if self.offered > 0.0 {
            (self.earned / self.offered).clamp(0.0, 1.0)
        } else {
            1.0
        }
    }
}

/// A class or a parish with the value of its jobs.
struct NamedValue {
    name: String,
    value: EarnedValue,
}

impl NamedValue {
    fn new(name: &str) -> Self {
        NamedValue {
            name: name.to_string(),
            value: EarnedValue::default(),
        }
    }

    /// Returns the least fraction of value earned and its name, of those with any value offered; (1, "") without any.
    fn worst(all: &[NamedValue]) -> (f64, String) {
        all.iter()
            .filter(|group| group.value.offered > 0.0)
            .map(|group| (group.value.fraction(), group.name.clone()))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .unwrap_or((1.0, String::new()))
    }

    fn fractions(all: &[NamedValue]) -> BTreeMap<String, f64> {
        all.iter()
            .filter(|group| group.value.offered > 0.0)
            .map(|group| (group.name.clone(), group.value.fraction()))
            .collect()
    }
}

/// The results of a run. Stored results hold its serialised names, so they may not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The service metric.
    #[serde(rename = "figure")]
    pub service_metric: f64,
    /// Fraction of the value earned over the whole run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Fraction of the value earned in the worst 10 s, and the second at which that window began.
    #[serde(rename = "worst_stretch")]
    pub worst_window: (f64, usize),
    /// Fraction of the value earned by the worst class, and its name.
    pub worst_class: (f64, String),
    /// Fraction of the value earned by the worst parish from jobs within its quota, and its name.
    pub worst_parish: (f64, String),
    /// Fraction of the value earned, by class.
    pub classes: BTreeMap<String, f64>,
    /// Fraction of the value earned within quota, by parish.
    pub parishes: BTreeMap<String, f64>,
    /// Deductions from the metric for zone crossings, wasted work, probes and late failures.
    pub prices: [f64; 4],
    /// Numbers of first tries, retries, attempts and probes.
    pub counts: [u64; 4],
    /// Numbers of jobs served in time, served late, refused and failed.
    pub ends: [u64; 4],
    /// Latency of served jobs from the intended send of the first try, by class and parish: p50, p90, p99, p99.9 and maximum
    /// in milliseconds, then the number of jobs.
    pub latency: BTreeMap<String, [f64; 6]>,
    /// Counts of each second of the run, up to the last first try.
    pub seconds: Vec<Second>,
    /// Delay of the load generator's sends behind schedule: p99 and maximum, in milliseconds.
    pub lateness: [f64; 2],
}

/// The quota of a parish: a token bucket that holds the tokens of one second.
struct Quota {
    /// Jobs per second.
    rate: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl Quota {
    /// Takes a token. Returns false if the job is over the quota.
    fn take(&mut self, now: Micros) -> bool {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + passed_s * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
        let within = self.tokens >= 1.0;
        if within {
            self.tokens -= 1.0;
        }
        within
    }
}

/// Sums of work (running time times slots), in microseconds at speed 1: of all ended jobs, of runs that workers completed,
/// and of served jobs.
#[derive(Default)]
struct WorkSums {
    offered: f64,
    completed: f64,
    answered: f64,
}

/// Event counts of a run.
#[derive(Default)]
struct Counts {
    arrivals: u64,
    retries: u64,
    attempts: u64,
    probes: u64,
    zone_crossings: u64,
}

/// What the service metric needs to know of a job when it ends.
#[derive(Clone, Copy, Debug)]
pub struct EndedJob {
    class: u32,
    /// `None` if the parish is not in the scenario.
    parish: Option<u32>,
    sent_at: Micros,
    /// Running time at speed 1.
    work: Micros,
    slots: u32,
    beyond_quota: bool,
}

impl EndedJob {
    /// Creates the entry of an arrival. `beyond_quota` is the result of [`Service::record_arrival`].
    pub fn new(arrival: &Arrival, beyond_quota: bool) -> Self {
        EndedJob {
            class: arrival.class,
            parish: arrival.parish,
            sent_at: arrival.at,
            work: arrival.work,
            slots: arrival.slots,
            beyond_quota,
        }
    }

    fn total_work(&self) -> f64 {
        (self.work * u64::from(self.slots)) as f64
    }

    /// Latency up to which the job counts as in time, in microseconds.
    fn latency_target(&self, class: &Class) -> f64 {
        class.latency_target_ms as f64 * 1e3 + class.stretch * self.work as f64
    }
}

/// Accumulates the results of a run.
pub struct Service {
    from: Micros,
    classes: Vec<NamedValue>,
    parishes: Vec<NamedValue>,
    quotas: Vec<Quota>,
    seconds: Vec<Second>,
    workers: usize,
    /// Latency histograms of the classes, followed by those of the parishes.
    latencies: Vec<Histogram<u64>>,
    lateness: Histogram<u64>,
    counts: Counts,
    ends: [u64; 4],
    work: WorkSums,
    /// Value of jobs that ended unserved after their latency target.
    late_failed_value: f64,
    prices: crate::scenario::Prices,
    over_quota_value: f64,
}

fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, MAX_LATENCY, 3);
    made.unwrap_or_else(|_| {
        unreachable!("histogram bounds 1 to {MAX_LATENCY} with 3 digits are valid")
    })
}

fn ms(us: u64) -> f64 {
    us as f64 / 1e3
}

/// Returns percentiles, maximum and count in the order of [`Outcome::latency`].
fn latency_row(histogram: &Histogram<u64>) -> [f64; 6] {
    let at = |quantile| ms(histogram.value_at_quantile(quantile));
    let maximum = ms(histogram.max());
    let count = histogram.len() as f64;
    [at(0.5), at(0.9), at(0.99), at(0.999), maximum, count]
}

impl Service {
    /// Creates empty counts for a scenario, with the quotas full.
    pub fn new(scenario: &Scenario) -> Self {
        let capacity = scenario.capacity();
        let quota = |fraction: f64| Quota {
            rate: fraction * capacity,
            tokens: fraction * capacity,
            refilled_at: 0,
        };
        let (classes, parishes) = (&scenario.classes, &scenario.parishes);
        Service {
            from: scenario.from(),
            classes: classes.iter().map(|c| NamedValue::new(&c.name)).collect(),
            parishes: parishes.iter().map(|p| NamedValue::new(&p.name)).collect(),
            quotas: parishes.iter().map(|p| quota(p.quota)).collect(),
            seconds: Vec::new(),
            workers: scenario.workers() as usize,
            latencies: vec![histogram(); classes.len() + parishes.len()],
            lateness: histogram(),
            counts: Counts::default(),
            ends: [0; 4],
            work: WorkSums::default(),
            late_failed_value: 0.0,
            prices: scenario.prices.clone(),
            over_quota_value: scenario.over_quota_value,
        }
    }

    fn second(&mut self, at: Micros) -> &mut Second {
        let n = (at.saturating_sub(self.from) / 1_000_000).min(MAX_SECONDS) as usize;
        if self.seconds.len() <= n {
            let empty = Second {
                begun: vec![0; self.workers],
                ..Second::default()
            };
            self.seconds.resize(n + 1, empty);
        }
        &mut self.seconds[n]
    }

    /// Counts a first try that is due. Returns true if it is over its parish's quota.
    pub fn record_arrival(&mut self, at: Micros, parish: Option<u32>) -> bool {
        self.counts.arrivals += 1;
        self.second(at).first += 1;
        let quota = parish.and_then(|p| self.quotas.get_mut(p as usize));
        quota.is_some_and(|quota| !quota.take(at))
    }

    /// Records the delay of a send behind its schedule, in microseconds.
    pub fn record_lateness(&mut self, by: Micros) {
        self.lateness.saturating_record(by.max(1));
    }

    /// Counts a retry of a job whose first try was due at `at`.
    pub fn record_retry(&mut self, at: Micros) {
        self.counts.retries += 1;
        self.second(at).retries += 1;
    }

    /// Counts an attempt that was sent to a worker.
    pub fn record_attempt(&mut self, at: Micros, crosses_zones: bool) {
        self.counts.attempts += 1;
        self.counts.zone_crossings += u64::from(crosses_zones);
        self.second(at).attempts += 1;
    }

    /// Counts a probe that was sent.
    pub fn record_probe(&mut self) {
        self.counts.probes += 1;
    }

    /// Counts a job that a worker started.
    pub fn record_start(&mut self, at: Micros, worker: u32) {
        if let Some(count) = self.second(at).begun.get_mut(worker as usize) {
            *count += 1;
        }
    }

    /// Counts a run that a worker completed; `work` is the running time at speed 1 times slots.
    pub fn record_completion(&mut self, work: Micros) {
        self.work.completed += work as f64;
    }

    /// Counts a job that ended, its value and what it earned.
    pub fn record_end(&mut self, scenario: &Scenario, job: EndedJob, end: JobEnd) {
        let class = &scenario.classes[job.class as usize];
        let weight = if job.beyond_quota {
            self.over_quota_value
        } else {
            1.0
        };
        let value = class.value * weight;
        self.work.offered += job.total_work();
        let (kind, earned) = match end {
            JobEnd::Served(at) => self.record_served(class, &job, at, value),
            JobEnd::Refused(at) => {
                self.record_unserved(class, &job, at, value);
                (EndKind::Refused, 0.0)
            }
            JobEnd::Failed(at) | JobEnd::DeadlinePassed(at) => {
                self.record_unserved(class, &job, at, value);
                (EndKind::Failed, 0.0)
            }
        };
        self.ends[kind as usize] += 1;
        let second = self.second(job.sent_at);
        second.ends[kind as usize] += 1;
        second.offered += value;
        second.earned += earned;
        self.classes[job.class as usize].value.add(value, earned);
        let parish = job.parish.filter(|_| !job.beyond_quota);
        if let Some(parish) = parish.and_then(|p| self.parishes.get_mut(p as usize)) {
            parish.value.add(value, earned);
        }
    }

    fn record_served(
        &mut self,
        class: &Class,
        job: &EndedJob,
        at: Micros,
        value: f64,
    ) -> (EndKind, f64) {
        self.work.answered += job.total_work();
        let took = at.saturating_sub(job.sent_at);
        let of_class = Some(job.class as usize);
        let of_parish = job.parish.map(|p| self.classes.len() + p as usize);
        for n in [of_class, of_parish].into_iter().flatten() {
            if let Some(histogram) = self.latencies.get_mut(n) {
                histogram.saturating_record(took.max(1));
            }
        }
        self.second(job.sent_at).took_ms += took as f64 / 1e3;
        if took as f64 <= job.latency_target(class) {
            (EndKind::InTime, value)
        } else {
            (EndKind::Late, value * class.late_value)
        }
    }

    fn record_unserved(&mut self, class: &Class, job: &EndedJob, at: Micros, value: f64) {
        if at.saturating_sub(job.sent_at) as f64 > job.latency_target(class) {
            self.late_failed_value += value;
        }
    }

    /// Computes the results of the run.
    pub fn outcome(mut self) -> Outcome {
        // Seconds after the last arrival hold only attempts and starts of earlier jobs, and are left out.
        let last = self.seconds.iter().rposition(|s| s.first > 0);
        let arrivals_end = last.map_or(0, |n| n + 1).max(1);
        self.seconds.truncate(arrivals_end.min(self.seconds.len()));
        let overall = EarnedValue::sum(&self.seconds).fraction();
        let worst_window = self.worst_window();
        let worst_class = NamedValue::worst(&self.classes);
        let worst_parish = NamedValue::worst(&self.parishes);
        let prices = self.price_points();
        let parts = [overall, worst_window.0, worst_class.0, worst_parish.0];
        let weighted = parts.iter().zip(WEIGHTS).map(|(p, w)| p * w).sum::<f64>();
        let counts = &self.counts;
        Outcome {
            service_metric: weighted - prices.iter().sum::<f64>(),
            overall,
            worst_window,
            worst_class,
            worst_parish,
            classes: NamedValue::fractions(&self.classes),
            parishes: NamedValue::fractions(&self.parishes),
            prices,
            counts: [
                counts.arrivals,
                counts.retries,
                counts.attempts,
                counts.probes,
            ],
            ends: self.ends,
            latency: self.latency_rows(),
            lateness: [
                ms(self.lateness.value_at_quantile(0.99)),
                ms(self.lateness.max()),
            ],
            seconds: self.seconds,
        }
    }

    /// Returns the least fraction of value earned in any window of [`WORST_WINDOW_S`], and the second at which it began.
    fn worst_window(&self) -> (f64, usize) {
        let size = WORST_WINDOW_S.min(self.seconds.len()).max(1);
        self.seconds
            .windows(size)
            .map(|window| EarnedValue::sum(window).fraction())
            .enumerate()
            .map(|(start, fraction)| (fraction, start))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .unwrap_or((1.0, 0))
    }

    /// Returns the deductions, in the order of [`Outcome::prices`].
    fn price_points(&self) -> [f64; 4] {
        let arrivals = self.counts.arrivals.max(1) as f64;
        let offered: f64 = self.seconds.iter().map(|s| s.offered).sum();
        let ratio = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let wasted = (self.work.completed - self.work.answered).max(0.0);
        [
            self.prices.cross_zone * self.counts.zone_crossings as f64 / arrivals,
            self.prices.waste * ratio(wasted, self.work.offered),
            self.prices.probe * self.counts.probes as f64 / arrivals,
            self.prices.late_fail * ratio(self.late_failed_value, offered),
        ]
    }

    fn latency_rows(&self) -> BTreeMap<String, [f64; 6]> {
        let classes = self.classes.iter().map(|c| format!("class {}", c.name));
        let parishes = self.parishes.iter().map(|p| format!("parish {}", p.name));
        classes
            .chain(parishes)
            .zip(&self.latencies)
            .filter(|(_, histogram)| !histogram.is_empty())
            .map(|(name, histogram)| (name, latency_row(histogram)))
            .collect()
    }
}
