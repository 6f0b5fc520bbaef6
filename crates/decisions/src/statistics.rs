//! What a module has learned, as a value that can be written, read and taken in by another one. It says nothing of what
//! a dispatcher may do: a cold worker's budget, a worker's right to get work and a job's right to be sent are never in
//! it. Names are numbers inside a process and texts between processes.
//!
//! The written form is [`MAGIC`], the version, the length of the rest and a checksum (each with the least byte first),
//! then the value as postcard writes it.

use crate::affinity::Fetches;
use crate::ids::Time;
use crate::runs::{Speed, Sum, Work};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The first bytes of the written form.
pub const MAGIC: &[u8; 4] = b"IFLR";
/// The version that is written.
pub const VERSION: u16 = 1;
/// The longest written form that is read, in bytes: some 1,500 workers.
pub const LONGEST: usize = 128 * 1024;
/// Bytes before the value: the magic, the version, the length, the checksum.
const HEAD: usize = 4 + 2 + 4 + 8;
/// Attempts that may be named as made beyond the first of their jobs.
pub const RETRIED_MAX: usize = 4096;
/// What has no limit is written as this.
pub const UNLIMITED: f64 = 1e18;
/// No time that is learned is longer, in microseconds: an hour.
const TIME_MOST: f64 = 3.6e9;

/// What a module has learned; `N` is what names kinds, classes, tenants and workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Statistics<N> {
    /// When it was true, in microseconds of Unix time.
    pub at: Time,
    /// Kinds of workers.
    pub kinds: Vec<(N, Kind)>,
    /// Classes of jobs.
    pub classes: Vec<(N, Class)>,
    /// Tenants' shares of the arrivals, 0 to 1.
    pub tenants: Vec<(N, f64)>,
    /// Workers.
    pub workers: Vec<(N, Worker)>,
    /// Slots held at workers by jobs of whoever wrote this.
    pub in_flight: Vec<(N, f64)>,
    /// When attempts beyond their job's first were made, where these are counted.
    pub retried_at: Vec<Time>,
    /// What is learned of the whole.
    pub pace: Option<Pace>,
}

/// What is known of a kind of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Slots of a worker.
    pub slots: f64,
    /// ... and whether reports have told them.
    pub slots_reported: bool,
    /// How fast it is.
    pub speed: Speed,
    /// Its part of the draws, of late.
    pub weight: f64,
}

/// What is known of a class of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// How long its jobs run.
    pub run_time: Work,
    /// The longest that a client gave a try.
    pub longest_patience: Time,
}

/// What is known of a worker, and of which start of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// When its process had last started, as the list says.
    pub started_at: Time,
    /// Shortest recent time from send to start.
    pub start_delay: f64,
    /// Slots held there by other dispatchers.
    pub others_slots: f64,
    /// ... and when that was news.
    pub load_updated_at: Option<Time>,
    /// Recent share of failures.
    pub failure_rate: f64,
    /// It gets nothing before this.
    pub ejected_until: Time,
    /// How often in a row it was found silent.
    pub timeouts_in_a_row: u32,
}

/// What is known of the fleet and its traffic together. It changes in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// Weight and sum of run times at mean speed.
    pub run_times: Sum,
    /// What fetches cost.
    pub fetches: Fetches,
    /// Work arriving a microsecond, that of it which any kind may do, and jobs a second.
    pub arrivals: (f64, f64, f64),
    /// Share of jobs that look at home first.
    pub home_preference: f64,
    /// Shares of late starts away and at home.
    pub late_start_rate: [f64; 2],
    /// Jobs that may wait in workers' queues.
    pub wait_window: f64,
    /// Connections unused for longer are not trusted.
    pub trusted_idle: f64,
    /// Worth and work of late.
    pub demand: (f64, f64),
    /// Recent share of attempts turned away.
    pub rejection_rate: f64,
}

/// Why a written form is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is shorter than it says, or longer than any that is read.
    Length(usize),
    /// It does not begin as one does.
    Foreign,
    /// A later version of the program wrote it.
    Newer(u16),
    /// The checksum does not fit.
    Damaged,
    /// It is whole, but a figure in it cannot be one: which, and what is allowed.
    Value(String),
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::Length(n) => {
                write!(
                    f,
                    "{n} bytes, from {HEAD} to {LONGEST} and as many as it says are allowed"
                )
            }
            Refused::Foreign => write!(
                f,
                "it does not begin with {:?}",
                String::from_utf8_lossy(MAGIC)
            ),
            Refused::Newer(v) => write!(f, "its version is {v}, 1 to {VERSION} can be read"),
            Refused::Damaged => write!(f, "its checksum does not fit"),
            Refused::Value(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for Refused {}

/// Weight that is left of something learned so long ago, where it is true for about `lasts`.
pub fn aged(age: Time, lasts: Time) -> f64 {
    (-(age as f64) / lasts.max(1) as f64).exp()
}

impl<N> Statistics<N> {
    /// The same under other names; what has none there is left out.
    pub fn renamed<M>(
        self,
        mut kind: impl FnMut(&N) -> Option<M>,
        mut class: impl FnMut(&N) -> Option<M>,
        mut tenant: impl FnMut(&N) -> Option<M>,
        mut worker: impl FnMut(&N) -> Option<M>,
    ) -> Statistics<M> {
        fn map<N, M, T>(list: Vec<(N, T)>, name: &mut impl FnMut(&N) -> Option<M>) -> Vec<(M, T)> {
            list.into_iter()
                .filter_map(|(n, value)| Some((name(&n)?, value)))
                .collect()
        }
        Statistics {
            at: self.at,
            kinds: map(self.kinds, &mut kind),
            classes: map(self.classes, &mut class),
            tenants: map(self.tenants, &mut tenant),
            workers: map(self.workers, &mut worker),
            in_flight: map(self.in_flight, &mut worker),
            retried_at: self.retried_at,
            pace: self.pace,
        }
    }

    /// Is every figure one that can be? An error names the first that is not.
    pub fn check(&self) -> Result<(), Refused> {
        let within = |what: &str, value: f64, from: f64, to: f64| match (from..=to).contains(&value)
        {
            true => Ok(()),
            false => Err(Refused::Value(format!(
                "{what} is {value}, {from} to {to} is allowed"
            ))),
        };
        for (_, kind) in &self.kinds {
            within("slots of a kind", kind.slots, 0.0, 1e6)?;
            within("part of the draws", kind.weight, 0.0, 1.0)?;
            within("speed of a kind", kind.speed.speed, 1e-4, 1e4)?;
            within("weight of a kind's runs", kind.speed.weight(), 0.0, 1e6)?;
        }
        for (_, class) in &self.classes {
            within(
                "mean run of a class",
                class.run_time.mean(None),
                1e-6,
                TIME_MOST,
            )?;
            within(
                "weight of a class's runs",
                class.run_time.weight(),
                0.0,
                1e6,
            )?;
        }
        for (_, fraction) in &self.tenants {
            within("share of a tenant", *fraction, 0.0, 1.0)?;
        }
        for (_, w) in &self.workers {
            within("time to a start", w.start_delay, 0.0, TIME_MOST)?;
            within("slots held by others", w.others_slots, 0.0, 1e6)?;
            within("share of failures", w.failure_rate, 0.0, 1.0)?;
        }
        for (_, slots) in &self.in_flight {
            within("slots held", *slots, 0.0, 1e6)?;
        }
        within(
            "number of further attempts",
            self.retried_at.len() as f64,
            0.0,
            RETRIED_MAX as f64,
        )?;
        if let Some(pace) = &self.pace {
            within("weight of all runs", pace.run_times.0, 0.0, 1e6)?;
            within("sum of all runs", pace.run_times.1, 0.0, 1e6 * TIME_MOST)?;
            within("cost of a fetch", pace.fetches.cost(), 0.0, TIME_MOST)?;
            let (work, unbound, per_s) = pace.arrivals;
            within("work arriving", work, 0.0, 1e6)?;
            within("work of any kind arriving", unbound, 0.0, 1e6)?;
            within("jobs arriving", per_s, 0.0, 1e6)?;
            within("share at home first", pace.home_preference, 0.0, 1.0)?;
            within("late starts away", pace.late_start_rate[0], 0.0, 1.0)?;
            within("late starts at home", pace.late_start_rate[1], 0.0, 1.0)?;
            within("window", pace.wait_window, 1.0, UNLIMITED)?;
            within("trusted idle time", pace.trusted_idle, 0.0, UNLIMITED)?;
            within("worth of late", pace.demand.0, 0.0, UNLIMITED)?;
            within("work of late", pace.demand.1, 0.0, UNLIMITED)?;
            within("share turned away", pace.rejection_rate, 0.0, 1.0)?;
        }
        Ok(())
    }
}

impl Statistics<String> {
    /// The written form. `None` where it would be longer than any that is read.
    pub fn write(&self) -> Option<Vec<u8>> {
        let value = postcard::to_allocvec(self).ok()?;
        let mut form = Vec::with_capacity(HEAD + value.len());
        form.extend(MAGIC);
        form.extend(VERSION.to_le_bytes());
        form.extend((value.len() as u32).to_le_bytes());
        form.extend(&Sha256::digest(&value)[..8]);
        form.extend(value);
        (form.len() <= LONGEST).then_some(form)
    }

    /// Reads a written form; all of it is checked before anything of it is used.
    pub fn read(form: &[u8]) -> Result<Self, Refused> {
        if !(HEAD..=LONGEST).contains(&form.len()) {
            return Err(Refused::Length(form.len()));
        }
        let (head, value) = form.split_at(HEAD);
        if &head[..4] != MAGIC {
            return Err(Refused::Foreign);
        }
        let version = u16::from_le_bytes([head[4], head[5]]);
        if version == 0 || version > VERSION {
            return Err(Refused::Newer(version));
        }
        if u32::from_le_bytes([head[6], head[7], head[8], head[9]]) as usize != value.len() {
            return Err(Refused::Length(form.len()));
        }
        if head[10..] != Sha256::digest(value)[..8] {
            return Err(Refused::Damaged);
        }
        let (statistics, rest) =
            postcard::take_from_bytes::<Self>(value).map_err(|_| Refused::Damaged)?;
        if !rest.is_empty() {
            return Err(Refused::Damaged);
        }
        statistics.check()?;
        Ok(statistics)
    }
}
