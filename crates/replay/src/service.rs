//! The service figure and what stands behind it, counted as jobs end.
//!
//! A job's worth counts in full if its answer came within its aim and `stretch` times its own running time, in part if it
//! came later, and not at all otherwise; from the first try's intended send on, with all retries. The figure is 45% the
//! whole run, 15% its worst 10 s, 30% its worst class, 10% its worst parish (within its share), less the prices.

use crate::scenario::{Micros, Scenario};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Seconds of the worst stretch.
const STRETCH: usize = 10;
/// Weights of whole run, worst stretch, worst class, worst parish.
const WEIGHTS: [f64; 4] = [0.45, 0.15, 0.30, 0.10];

/// How a job ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Served at this time.
    Served(Micros),
    /// Refused for the last time.
    Refused(Micros),
    /// Failed.
    Failed(Micros),
    /// The client's time was up.
    Late(Micros),
}

/// Counts of one second (of first tries that were to be sent in it).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// First tries.
    pub first: u32,
    /// Retries.
    pub retries: u32,
    /// Jobs served in time, late, refused, failed.
    pub ends: [u32; 4],
    /// Worth asked for.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
    /// Attempts sent to job workers (in this second).
    pub attempts: u32,
    /// Jobs that began at each job worker (in this second).
    pub begun: Vec<u32>,
    /// Times of served jobs: their sum in milliseconds.
    pub took_ms: f64,
}

/// Worth asked for and earned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worth {
    /// Asked for.
    pub asked: f64,
    /// Earned.
    pub earned: f64,
}

impl Worth {
    fn share(self) -> f64 {
        if self.asked > 0.0 {
            (self.earned / self.asked).clamp(0.0, 1.0)
        } else {
            1.0
        }
    }
}

/// What the counts come to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The service figure.
    pub figure: f64,
    /// Share of worth earned over the whole run.
    pub whole: f64,
    /// ... in the worst 10 s, and at which second that began.
    pub worst_stretch: (f64, usize),
    /// ... of the worst class.
    pub worst_class: (f64, String),
    /// ... of the worst parish, within its share.
    pub worst_parish: (f64, String),
    /// By class.
    pub classes: BTreeMap<String, f64>,
    /// By parish.
    pub parishes: BTreeMap<String, f64>,
    /// Points taken off: crossings, waste, probes, late failures.
    pub prices: [f64; 4],
    /// First tries, retries, attempts, probes.
    pub counts: [u64; 4],
    /// Jobs served in time, late, refused, failed.
    pub ends: [u64; 4],
    /// Times from the first try's intended send to the answer, by class and parish: p50, p90, p99, p99.9 and the most, in
    /// milliseconds, and how many.
    pub latency: BTreeMap<String, [f64; 6]>,
    /// Second by second.
    pub seconds: Vec<Second>,
    /// How late the generator sent, at the 99th percentile and the most, in milliseconds.
    pub lateness: [f64; 2],
}

/// Counts as jobs end.
pub struct Service {
    from: Micros,
    classes: Vec<(String, Worth)>,
    parishes: Vec<(String, Worth)>,
    quota: Vec<(f64, f64, Micros)>, // a second, tokens, when
    seconds: Vec<Second>,
    workers: usize,
    histograms: Vec<Histogram<u64>>, // classes, then parishes
    late: Histogram<u64>,
    counts: [u64; 4],
    ends: [u64; 4],
    crossed: u64,
    work: [f64; 3], // asked for, run, answered
    late_value: f64,
    prices: [f64; 4],
    over: f64,
}

/// A job as the figures need it.
#[derive(Clone, Copy, Debug)]
pub struct Counted {
    /// Class.
    pub class: u32,
    /// Parish, if the scenario knows it.
    pub parish: Option<u32>,
    /// When it was to be sent.
    pub at: Micros,
    /// Its running time at speed 1, times its slots.
    pub work: Micros,
    /// It came beyond its parish's share.
    pub over: bool,
}

fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, 3_600_000_000, 3);
    made.unwrap_or_else(|_| unreachable!("the bounds are right"))
}

impl Service {
    /// Nothing counted yet.
    pub fn new(scenario: &Scenario) -> Self {
        let capacity = scenario.capacity();
        let named = |names: Vec<&str>| {
            names
                .into_iter()
                .map(|n| (n.to_string(), Worth::default()))
                .collect()
        };
        Service {
            from: scenario.from(),
            classes: named(scenario.classes.iter().map(|c| c.name.as_str()).collect()),
            parishes: named(scenario.parishes.iter().map(|p| p.name.as_str()).collect()),
            quota: scenario
                .parishes
                .iter()
                .map(|p| (p.share * capacity, p.share * capacity, 0))
                .collect(),
            seconds: Vec::new(),
            workers: scenario.workers() as usize,
            histograms: (0..scenario.classes.len() + scenario.parishes.len())
                .map(|_| histogram())
                .collect(),
            late: histogram(),
            counts: [0; 4],
            ends: [0; 4],
            crossed: 0,
            work: [0.0; 3],
            late_value: 0.0,
            prices: [
                scenario.prices.cross_zone,
                scenario.prices.waste,
                scenario.prices.probe,
                scenario.prices.late_fail,
            ],
            over: scenario.over_quota_value,
        }
    }

    fn second(&mut self, at: Micros) -> &mut Second {
        let n = (at.saturating_sub(self.from) / 1_000_000).min(100_000) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(
                n + 1,
                Second {
                    begun: vec![0; self.workers],
                    ..Second::default()
                },
            );
        }
        &mut self.seconds[n]
    }

    /// A first try is to be sent. Is it beyond its parish's share? A second's worth may be saved up.
    pub fn arrives(&mut self, at: Micros, parish: Option<u32>) -> bool {
        self.counts[0] += 1;
        self.second(at).first += 1;
        let Some((rate, tokens, when)) = parish.and_then(|p| self.quota.get_mut(p as usize)) else {
            return false;
        };
        let passed = at.saturating_sub(*when) as f64 / 1e6;
        *tokens = (*tokens + passed * *rate).min(rate.max(1.0));
        *when = at;
        let over = *tokens < 1.0;
        if !over {
            *tokens -= 1.0;
        }
        over
    }

    /// A try was sent so much later than it was to be.
    pub fn sent_late(&mut self, by: Micros) {
        self.late.saturating_record(by.max(1));
    }

    /// A retry of a job that was to be sent then.
    pub fn retried(&mut self, at: Micros) {
        self.counts[1] += 1;
        self.second(at).retries += 1;
    }

    /// An attempt went out.
    pub fn attempt(&mut self, at: Micros, crosses: bool) {
        self.counts[2] += 1;
        self.crossed += u64::from(crosses);
        self.second(at).attempts += 1;
    }

    /// A probe went out.
    pub fn probe(&mut self) {
        self.counts[3] += 1;
    }

    /// A job began at a job worker.
    pub fn begun(&mut self, at: Micros, worker: u32) {
        if let Some(count) = self.second(at).begun.get_mut(worker as usize) {
            *count += 1;
        }
    }

    /// A job worker has run a job to its end.
    pub fn ran(&mut self, work: Micros) {
        self.work[1] += work as f64;
    }

    /// A job has ended.
    pub fn ended(&mut self, scenario: &Scenario, job: Counted, end: End, own_work: Micros) {
        let class = &scenario.classes[job.class as usize];
        let value = class.value * if job.over { self.over } else { 1.0 };
        let latency_target = class.aim_ms as f64 * 1e3 + class.stretch * own_work as f64;
        self.work[0] += job.work as f64;
        let (which, earned) = match end {
            End::Served(at) => {
                self.work[2] += job.work as f64;
                let took = at.saturating_sub(job.at);
                for n in [
                    Some(job.class as usize),
                    job.parish.map(|p| self.classes.len() + p as usize),
                ] {
                    if let Some(h) = n.and_then(|n| self.histograms.get_mut(n)) {
                        h.saturating_record(took.max(1));
                    }
                }
                self.second(job.at).took_ms += took as f64 / 1e3;
                let in_time = took as f64 <= latency_target;
                (
                    usize::from(!in_time),
                    value * if in_time { 1.0 } else { class.late_value },
                )
            }
            End::Refused(at) | End::Failed(at) | End::Late(at) => {
                if at.saturating_sub(job.at) as f64 > latency_target {
                    self.late_value += value;
                }
                (if matches!(end, End::Refused(_)) { 2 } else { 3 }, 0.0)
            }
        };
        self.ends[which] += 1;
        let second = self.second(job.at);
        second.ends[which] += 1;
        second.asked += value;
        second.earned += earned;
        let add = |w: &mut Worth| (w.asked, w.earned) = (w.asked + value, w.earned + earned);
        add(&mut self.classes[job.class as usize].1);
        if let Some((_, w)) = job
            .parish
            .filter(|_| !job.over)
            .and_then(|p| self.parishes.get_mut(p as usize))
        {
            add(w);
        }
    }

    /// What it all comes to.
    pub fn outcome(mut self) -> Outcome {
        let sum = |part: &[Second]| Worth {
            asked: part.iter().map(|s| s.asked).sum(),
            earned: part.iter().map(|s| s.earned).sum(),
        };
        // The last seconds hold what ends after the last arrival, and no arrivals.
        let last = self
            .seconds
            .iter()
            .rposition(|s| s.first > 0)
            .map_or(0, |n| n + 1);
        self.seconds.truncate(last.max(1).min(self.seconds.len()));
        let whole = sum(&self.seconds).share();
        let stretches = self
            .seconds
            .windows(STRETCH.min(self.seconds.len()).max(1))
            .map(|w| sum(w).share());
        let worst_stretch = stretches
            .enumerate()
            .map(|(n, s)| (s, n))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let worst_stretch = worst_stretch.unwrap_or((1.0, 0));
        let worst = |of: &[(String, Worth)]| {
            let asked = of
                .iter()
                .filter(|(_, w)| w.asked > 0.0)
                .map(|(n, w)| (w.share(), n.clone()));
            asked
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .unwrap_or((1.0, String::new()))
        };
        let (worst_class, worst_parish) = (worst(&self.classes), worst(&self.parishes));
        let first = self.counts[0].max(1) as f64;
        let all: f64 = self.seconds.iter().map(|s| s.asked).sum();
        let per = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let prices = [
            self.prices[0] * self.crossed as f64 / first,
            self.prices[1] * per((self.work[1] - self.work[2]).max(0.0), self.work[0]),
            self.prices[2] * self.counts[3] as f64 / first,
            self.prices[3] * per(self.late_value, all),
        ];
        let parts = [whole, worst_stretch.0, worst_class.0, worst_parish.0];
        let figure =
            parts.iter().zip(WEIGHTS).map(|(p, w)| p * w).sum::<f64>() - prices.iter().sum::<f64>();
        let shares = |of: &[(String, Worth)]| {
            of.iter()
                .filter(|(_, w)| w.asked > 0.0)
                .map(|(n, w)| (n.clone(), w.share()))
                .collect()
        };
        let names = self.classes.iter().map(|c| format!("class {}", c.0));
        let names = names.chain(self.parishes.iter().map(|p| format!("parish {}", p.0)));
        let ms = |v: u64| v as f64 / 1e3;
        let row = |h: &Histogram<u64>| {
            let q = [0.5, 0.9, 0.99, 0.999].map(|q| ms(h.value_at_quantile(q)));
            [q[0], q[1], q[2], q[3], ms(h.max()), h.len() as f64]
        };
        let latency = names
            .zip(&self.histograms)
            .filter(|(_, h)| !h.is_empty())
            .map(|(n, h)| (n, row(h)))
            .collect();
        Outcome {
            figure,
            whole,
            worst_stretch,
            worst_class,
            worst_parish,
            classes: shares(&self.classes),
            parishes: shares(&self.parishes),
            prices,
            counts: self.counts,
            ends: self.ends,
            latency,
            lateness: [ms(self.late.value_at_quantile(0.99)), ms(self.late.max())],
            seconds: self.seconds,
        }
    }
}
