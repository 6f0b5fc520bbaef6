//! What a dispatcher has learned, as a value that another dispatcher can merge: that of the process which takes over,
//! or its own after a restart. It grants nothing: neither a worker's place in the membership list, nor a warm-up
//! budget, nor a job's right to another attempt is part of it. Kinds, classes, tenants and workers are ids inside a
//! process and names between processes. Times are microseconds of Unix time, durations and work microseconds.
//!
//! The written form is [`MAGIC`], the version, the length of the value and a checksum (little-endian), then the value
//! as postcard serializes it, field by field: the order and the types of the fields must stay as they are.

use crate::affinity::Fetches;
use crate::arrivals::Rates;
use crate::ids::Time;
use crate::runs::{Speed, WeightedSum, Work};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::ops::RangeInclusive;

/// The first bytes of the written form.
pub const MAGIC: &[u8; 4] = b"IFLR";
/// The version that is written.
pub const VERSION: u16 = 1;
/// The longest written form that is read, in bytes: room for about 1,500 workers.
pub const LENGTH_MAX_BYTES: usize = 128 * 1024;
/// Bytes before the value: magic, version, length, checksum.
const HEADER_BYTES: usize = 4 + 2 + 4 + 8;
/// Most retries that are listed: the latest ones.
pub const RETRIED_MAX: usize = 4096;
/// Stands for no limit: finite, so that a value read back can be calculated with.
pub const UNLIMITED: f64 = 1e18;

/// No duration that is learned is longer, in microseconds: an hour.
const DURATION_MAX: f64 = 3.6e9;
/// Most slots, and the greatest weight of measurements or rate of arrival.
const COUNT_MAX: f64 = 1e6;
/// Ranges of the numbers that are read.
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
const COUNT: RangeInclusive<f64> = 0.0..=COUNT_MAX;
const DURATION: RangeInclusive<f64> = 0.0..=DURATION_MAX;
const SPEED: RangeInclusive<f64> = 1e-4..=1e4;
const RUN_TIME: RangeInclusive<f64> = 1e-6..=DURATION_MAX;
const ANY_AMOUNT: RangeInclusive<f64> = 0.0..=UNLIMITED;
const WINDOW: RangeInclusive<f64> = 1.0..=UNLIMITED;

/// What a dispatcher has learned; `N` identifies kinds, classes, tenants and workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Statistics<N> {
    /// When it was true.
    pub at: Time,
    /// Kinds of workers.
    pub kinds: Vec<(N, Kind)>,
    /// Classes of jobs.
    pub classes: Vec<(N, Class)>,
    /// Each tenant's fraction of the arrivals, 0 to 1.
    pub tenants: Vec<(N, f64)>,
    /// Workers.
    pub workers: Vec<(N, Worker)>,
    /// Slots that the writer's jobs occupy at each worker.
    pub in_flight: Vec<(N, f64)>,
    /// When retries were made, where a budget limits them.
    pub retried_at: Vec<Time>,
    /// The state of the whole fleet and its traffic.
    pub pace: Option<Pace>,
}

/// What is known of a kind of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Slots of a worker.
    pub slots: f64,
    /// Whether load reports gave the slots; else they are the most observed at once.
    pub slots_reported: bool,
    /// Speed of its workers, relative to the mean.
    pub speed: Speed,
    /// The recent probability of drawing this kind.
    pub weight: f64,
}

/// What is known of a class of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Run time of its jobs.
    pub run_time: Work,
    /// The longest time that a client gave one request.
    pub longest_patience: Time,
}

/// What is known of one instance of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// When the instance started, by the membership list.
    pub started_at: Time,
    /// Shortest recent time from send to start.
    pub start_delay: f64,
    /// Slots that other dispatchers' jobs occupy.
    pub others_slots: f64,
    /// When that was last updated.
    pub load_updated_at: Option<Time>,
    /// Recent fraction of failures, 0 to 1.
    pub failure_rate: f64,
    /// It is ejected until this time.
    pub ejected_until: Time,
    /// Times found unresponsive since it last made progress.
    pub timeouts_in_a_row: u32,
}

/// State of the whole fleet and its traffic, which changes within seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// Weight and sum of run times at mean speed.
    pub run_times: WeightedSum,
    /// Cost of fetches.
    pub fetches: Fetches,
    /// Rates of arrival.
    pub arrivals: Rates,
    /// Fraction of requests that prefer workers of the own zone.
    pub home_preference: f64,
    /// Recent fractions of late starts.
    pub late_start_rate: LateStartRate,
    /// Own jobs that may wait in workers' queues.
    pub wait_window: f64,
    /// Connections idle for longer are not trusted.
    pub trusted_idle: f64,
    /// Recent value and work of the requests.
    pub demand: Demand,
    /// Recent fraction of attempts that workers rejected for lack of capacity.
    pub rejection_rate: f64,
}

/// Fractions of starts that came late, by the zone of the worker; 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LateStartRate {
    /// In other zones.
    pub away: f64,
    /// In the own zone.
    pub home: f64,
}

impl LateStartRate {
    /// The rate of the own zone, or of all others.
    pub fn of_zone(&mut self, is_home: bool) -> &mut f64 {
        if is_home {
            &mut self.home
        } else {
            &mut self.away
        }
    }

    /// The same rates with this fraction of their weight.
    pub fn faded(self, keep: f64) -> Self {
        LateStartRate {
            away: self.away * keep,
            home: self.home * keep,
        }
    }
}

/// Moving sums over recent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Their value.
    pub value: f64,
    /// Their work, times the slots that they take.
    pub work: f64,
}

/// Why a written form is not read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadError {
    /// Its length, in bytes, differs from the one that it states, or is more than is read.
    Length(usize),
    /// It does not begin with [`MAGIC`].
    Magic,
    /// It has this version, which cannot be read.
    Version(u16),
    /// The checksum does not match, or the value cannot be decoded.
    Checksum,
    /// It is complete, but a number in it is out of its range.
    OutOfRange {
        /// Which number.
        what: &'static str,
        /// Its value.
        value: f64,
        /// The least value that is allowed.
        from: f64,
        /// The greatest value that is allowed.
        to: f64,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Length(length) => write!(
                f,
                "{length} bytes, from {HEADER_BYTES} to {LENGTH_MAX_BYTES} and as many as it says are allowed"
            ),
            ReadError::Magic => {
                let magic = String::from_utf8_lossy(MAGIC);
                write!(f, "it does not begin with {magic:?}")
            }
            ReadError::Version(version) => {
                write!(f, "its version is {version}, 1 to {VERSION} can be read")
            }
            ReadError::Checksum => write!(f, "its checksum does not fit"),
            ReadError::OutOfRange {
                what,
                value,
                from,
                to,
            } => write!(f, "{what} is {value}, {from} to {to} is allowed"),
        }
    }
}

impl std::error::Error for ReadError {}

fn within(what: &'static str, value: f64, range: RangeInclusive<f64>) -> Result<(), ReadError> {
    if range.contains(&value) {
        return Ok(());
    }
    let (from, to) = range.into_inner();
    Err(ReadError::OutOfRange {
        what,
        value,
        from,
        to,
    })
}

/// Weight that is left of a measurement of this age, with the time constant `lasts`.
pub fn aged(age: Time, lasts: Time) -> f64 {
    (-(age as f64) / lasts.max(1) as f64).exp()
}

impl<N> Statistics<N> {
    /// The same with other identifiers; entries without one are left out.
    pub fn renamed<M>(
        self,
        mut kind: impl FnMut(&N) -> Option<M>,
        mut class: impl FnMut(&N) -> Option<M>,
        mut tenant: impl FnMut(&N) -> Option<M>,
        mut worker: impl FnMut(&N) -> Option<M>,
    ) -> Statistics<M> {
        fn map<N, M, T>(
            entries: Vec<(N, T)>,
            name: &mut impl FnMut(&N) -> Option<M>,
        ) -> Vec<(M, T)> {
            entries
                .into_iter()
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

    /// Checks numbers that another process has written.
    ///
    /// # Errors
    /// The first number that is out of its range.
    pub fn check(&self) -> Result<(), ReadError> {
        self.kinds.iter().try_for_each(|(_, kind)| kind.check())?;
        let mut classes = self.classes.iter();
        classes.try_for_each(|(_, class)| class.check())?;
        for (_, fraction) in &self.tenants {
            within("share of a tenant", *fraction, FRACTION)?;
        }
        let mut workers = self.workers.iter();
        workers.try_for_each(|(_, worker)| worker.check())?;
        for (_, slots) in &self.in_flight {
            within("slots held", *slots, COUNT)?;
        }
        within(
            "number of further attempts",
            self.retried_at.len() as f64,
            0.0..=RETRIED_MAX as f64,
        )?;
        self.pace.as_ref().map_or(Ok(()), Pace::check)
    }
}

impl Kind {
    fn check(&self) -> Result<(), ReadError> {
        within("slots of a kind", self.slots, COUNT)?;
        within("part of the draws", self.weight, FRACTION)?;
        within("speed of a kind", self.speed.speed, SPEED)?;
        within("weight of a kind's runs", self.speed.weight(), COUNT)
    }
}

impl Class {
    fn check(&self) -> Result<(), ReadError> {
        within("mean run of a class", self.run_time.mean(None), RUN_TIME)?;
        within("weight of a class's runs", self.run_time.weight(), COUNT)
    }
}

impl Worker {
    fn check(&self) -> Result<(), ReadError> {
        within("time to a start", self.start_delay, DURATION)?;
        within("slots held by others", self.others_slots, COUNT)?;
        within("share of failures", self.failure_rate, FRACTION)
    }
}

impl Pace {
    fn check(&self) -> Result<(), ReadError> {
        let WeightedSum { weight, sum } = self.run_times;
        within("weight of all runs", weight, COUNT)?;
        within("sum of all runs", sum, 0.0..=COUNT_MAX * DURATION_MAX)?;
        within("cost of a fetch", self.fetches.cost(), DURATION)?;
        within("work arriving", self.arrivals.work, COUNT)?;
        within("work of any kind arriving", self.arrivals.unbound, COUNT)?;
        within("jobs arriving", self.arrivals.per_s, COUNT)?;
        within("share at home first", self.home_preference, FRACTION)?;
        within("late starts away", self.late_start_rate.away, FRACTION)?;
        within("late starts at home", self.late_start_rate.home, FRACTION)?;
        within("window", self.wait_window, WINDOW)?;
        within("trusted idle time", self.trusted_idle, ANY_AMOUNT)?;
        within("worth of late", self.demand.value, ANY_AMOUNT)?;
        within("work of late", self.demand.work, ANY_AMOUNT)?;
        within("share turned away", self.rejection_rate, FRACTION)
    }
}

impl Statistics<String> {
    /// The written form; `None` if it would be longer than [`LENGTH_MAX_BYTES`].
    pub fn write(&self) -> Option<Vec<u8>> {
        let value = postcard::to_allocvec(self).ok()?;
        let mut form = Vec::with_capacity(HEADER_BYTES + value.len());
        form.extend(MAGIC);
        form.extend(VERSION.to_le_bytes());
        form.extend((value.len() as u32).to_le_bytes());
        form.extend(&Sha256::digest(&value)[..8]);
        form.extend(value);
        (form.len() <= LENGTH_MAX_BYTES).then_some(form)
    }

    /// Reads a written form; all of it is checked before any of it is used.
    ///
    /// # Errors
    /// What is wrong with the form: its length, magic, version or checksum, or a number out of its range.
    pub fn read(form: &[u8]) -> Result<Self, ReadError> {
        if !(HEADER_BYTES..=LENGTH_MAX_BYTES).contains(&form.len()) {
            return Err(ReadError::Length(form.len()));
        }
        let (header, value) = form.split_at(HEADER_BYTES);
        if &header[..4] != MAGIC {
            return Err(ReadError::Magic);
        }
        let version = u16::from_le_bytes([header[4], header[5]]);
        if version == 0 || version > VERSION {
            return Err(ReadError::Version(version));
        }
        let length = u32::from_le_bytes([header[6], header[7], header[8], header[9]]);
        if length as usize != value.len() {
            return Err(ReadError::Length(form.len()));
        }
        if header[10..] != Sha256::digest(value)[..8] {
            return Err(ReadError::Checksum);
        }
        let (statistics, rest) =
            postcard::take_from_bytes::<Self>(value).map_err(|_| ReadError::Checksum)?;
        if !rest.is_empty() {
            return Err(ReadError::Checksum);
        }
        statistics.check()?;
        Ok(statistics)
    }
}
