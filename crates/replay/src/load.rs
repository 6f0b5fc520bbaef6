//! Arrivals: made by a process, or out of a recording.

use crate::sampling::{draw, unit};
use crate::scenario::{FaultKind, Micros, Scenario, Spread};
use indigofold_traffic::recording;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use std::io::BufRead;

/// A first try that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its number, from 0.
    pub number: u64,
    /// When it is to be sent, in microseconds since 1970.
    pub at: Micros,
    /// Index into the scenario's classes.
    pub class: u32,
    /// Index into the scenario's parishes; `None`: one that the scenario does not know.
    pub parish: Option<u32>,
    /// Slots that it takes.
    pub slots: u32,
    /// Its running time at speed 1.
    pub work: Micros,
    /// How long its client waits.
    pub deadline: Micros,
    /// What it is about.
    pub subject: String,
    /// Which of its parish's clients sends it.
    pub office: u32,
    /// Recorded retries: how long after the first try each was sent.
    pub retries: Vec<Micros>,
}

/// A class's running times.
enum Times {
    Lognormal(LogNormal<f64>),
    Exponential(Exp<f64>),
}

impl Times {
    fn new(class: &crate::scenario::Class) -> Result<Self, String> {
        // The mean of a lognormal is exp(mu + sigma^2 / 2), its coefficient of variation sqrt(exp(sigma^2) - 1).
        let (mean, sigma) = (class.work_ms * 1e3, (1.0 + class.cv * class.cv).ln().sqrt());
        let bad = |e: String| format!("class {:?}: {e}", class.name);
        Ok(match class.spread {
            Spread::Lognormal => {
                let made = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma);
                Times::Lognormal(made.map_err(|e| bad(e.to_string()))?)
            }
            Spread::Exponential => {
                Times::Exponential(Exp::new(1.0 / mean).map_err(|e| bad(e.to_string()))?)
            }
        })
    }

    fn sample(&self, rng: &mut Pcg64Mcg) -> f64 {
        match self {
            Times::Lognormal(of) => of.sample(rng),
            Times::Exponential(of) => of.sample(rng),
        }
    }
}

/// Draws what no recording holds: running time, slots where unknown.
pub struct Draws {
    work: Vec<Times>,
    seed: u64,
}

impl Draws {
    /// For a scenario; `seed` is the run's.
    ///
    /// # Errors
    /// A class's running times cannot be drawn.
    pub fn new(scenario: &Scenario, seed: u64) -> Result<Self, String> {
        let work = scenario
            .classes
            .iter()
            .map(Times::new)
            .collect::<Result<_, _>>()?;
        Ok(Draws { work, seed })
    }

    /// Running time and slots of a job.
    pub fn job(
        &self,
        scenario: &Scenario,
        number: u64,
        class: u32,
        slots: Option<u32>,
    ) -> (Micros, u32) {
        let mut rng = draw(self.seed, number, 0x3017);
        let work = self.work[class as usize]
            .sample(&mut rng)
            .clamp(100.0, 60e6) as Micros;
        let shares = &scenario.classes[class as usize].slots;
        let drawn = 1 << pick(shares, unit(&mut rng));
        (work, slots.unwrap_or(drawn))
    }
}

/// The index that a uniform draw picks among weights.
pub fn pick(weights: &[f64], draw: f64) -> usize {
    let all: f64 = weights.iter().sum();
    let mut left = draw * all;
    for (n, w) in weights.iter().enumerate() {
        left -= w;
        if left < 0.0 {
            return n;
        }
    }
    weights.len().saturating_sub(1)
}

/// Load as the scenario says.
pub struct Made<'a> {
    scenario: &'a Scenario,
    draws: Draws,
    rng: Pcg64Mcg,
    at: f64, // seconds
    most: f64,
    number: u64,
    zipf: Zipf<f64>,
    classes: Vec<f64>,
    parishes: Vec<f64>,
}

impl<'a> Made<'a> {
    /// Made anew from a seed.
    ///
    /// # Errors
    /// What in the scenario cannot be drawn from.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Result<Self, String> {
        let load = &scenario.load;
        if !(load.rate > 0.0 && load.seconds > 0.0) {
            return Err(
                "at /load: 'rate' and 'seconds' must be over 0 for load that is made".into(),
            );
        }
        let jumps = load.jumps.iter().map(|j| j.times.max(1.0)).product::<f64>();
        let zipf = Zipf::new(
            f64::from(scenario.clients.subjects.max(1)),
            scenario.clients.zipf,
        );
        Ok(Made {
            scenario,
            draws: Draws::new(scenario, seed)?,
            rng: draw(seed, u64::MAX, 0x10ad),
            at: 0.0,
            most: load.rate * (1.0 + load.swing) * jumps,
            number: 0,
            zipf: zipf.map_err(|e| format!("at /clients/zipf: {e}"))?,
            classes: scenario.classes.iter().map(|c| c.weight).collect(),
            parishes: scenario
                .parishes
                .iter()
                .map(|p| p.quota * p.usage)
                .collect(),
        })
    }

    /// The hot thing that this job is about, if any: its draws are its own, so that others stay as they are.
    fn hot(&self) -> Option<u32> {
        let mut rng = draw(self.draws.seed, self.number, 0x407);
        self.scenario.faults.iter().find_map(|t| match t.what {
            FaultKind::HotThings { fraction, things }
                if (t.at_s..t.at_s + t.for_s).contains(&self.at) && unit(&mut rng) < fraction =>
            {
                Some((unit(&mut rng) * f64::from(things.max(1))) as u32)
            }
            _ => None,
        })
    }

    /// First tries a second at a moment.
    fn rate(&self, t: f64) -> f64 {
        let load = &self.scenario.load;
        let swing = match load.swing_s > 0.0 {
            true => 1.0 + load.swing * (std::f64::consts::TAU * t / load.swing_s).sin(),
            false => 1.0,
        };
        let jump = |j: &crate::scenario::Jump| {
            let (since, left) = (t - j.at_s, j.at_s + j.for_s - t);
            if since < 0.0 || left <= 0.0 {
                return 1.0;
            }
            let up = |d: f64| {
                if j.edge_s > 0.0 {
                    (d / j.edge_s).min(1.0)
                } else {
                    1.0
                }
            };
            1.0 + (j.times - 1.0) * up(since).min(up(left))
        };
        load.rate * swing * load.jumps.iter().map(jump).product::<f64>()
    }
}

impl Iterator for Made<'_> {
    type Item = Result<Arrival, String>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            // Thinning (Lewis and Shedler 1979).
            self.at += -(1.0 - unit(&mut self.rng)).ln() / self.most;
            if self.at >= self.scenario.load.seconds {
                return None;
            }
            if unit(&mut self.rng) * self.most < self.rate(self.at) {
                break;
            }
        }
        let class = pick(&self.classes, unit(&mut self.rng)) as u32;
        let parish = pick(&self.parishes, unit(&mut self.rng)) as u32;
        let (work, slots) = self.draws.job(self.scenario, self.number, class, None);
        let about = self.zipf.sample(&mut self.rng) as u64;
        let subject = match self.hot() {
            Some(n) => format!("hot-{n}"),
            None => format!("kit-{about}"),
        };
        let offices = f64::from(self.scenario.clients.offices.max(1));
        let arrival = Arrival {
            number: self.number,
            at: self.scenario.from() + (self.at * 1e6) as Micros,
            class,
            parish: Some(parish),
            slots,
            work,
            deadline: self.scenario.classes[class as usize].deadline(),
            subject,
            office: (unit(&mut self.rng) * offices) as u32,
            retries: Vec::new(),
        };
        self.number += 1;
        Some(Ok(arrival))
    }
}

/// Load out of a recording. What the recording does not hold (running times) is drawn as the scenario says.
pub struct Recorded<'a, R> {
    scenario: &'a Scenario,
    draws: Draws,
    from: recording::Reader<R>,
    number: u64,
}

impl<'a, R: BufRead> Recorded<'a, R> {
    /// From a recording.
    ///
    /// # Errors
    /// What in the scenario cannot be drawn from.
    pub fn new(
        scenario: &'a Scenario,
        from: recording::Reader<R>,
        seed: u64,
    ) -> Result<Self, String> {
        Ok(Recorded {
            scenario,
            draws: Draws::new(scenario, seed)?,
            from,
            number: 0,
        })
    }
}

impl<R> Recorded<'_, R> {
    fn class_named(&self, name: &str) -> Result<u32, String> {
        let classes = &self.scenario.classes;
        let position = classes.iter().position(|class| class.name == name);
        position.map(|n| n as u32).ok_or_else(|| {
            let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
            let allowed = names.join(", ");
            format!("class {name:?} of the recording is none of the scenario's: {allowed}")
        })
    }
}

impl<R: BufRead> Iterator for Recorded<'_, R> {
    type Item = Result<Arrival, String>;

    fn next(&mut self) -> Option<Self::Item> {
        let job = match self.from.next()? {
            Ok(job) => job,
            Err(e) => return Some(Err(e.to_string())),
        };
        let class = match self.class_named(&job.class) {
            Ok(class) => class,
            Err(e) => return Some(Err(e)),
        };
        let slots = job.slots.map(|s| (s.ceil() as u32).max(1));
        let (work, slots) = self.draws.job(self.scenario, self.number, class, slots);
        let deadline = job
            .deadline
            .map_or(self.scenario.classes[class as usize].deadline(), |d| {
                d.max(1) as Micros
            });
        let arrival = Arrival {
            number: self.number,
            at: job.at.max(0) as Micros,
            class,
            parish: self
                .scenario
                .parishes
                .iter()
                .position(|p| p.name == *job.parish)
                .map(|p| p as u32),
            slots,
            work,
            deadline,
            subject: job.subject,
            office: (job.client % 65_536) as u32,
            retries: job
                .tries
                .iter()
                .map(|a| (a.at - job.at).max(0) as Micros)
                .collect(),
        };
        self.number += 1;
        Some(Ok(arrival))
    }
}
