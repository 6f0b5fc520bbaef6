//! Statistics that a dispatcher has learned, as a value that another dispatcher can merge: the dispatcher of the
//! process that takes over, or of the same process after a restart. Statistics grant no permission: they contain
//! neither a worker's place in the membership list, nor a warm-up budget, nor a job's right to another attempt. Kinds,
//! classes, tenants and workers are identified by numbers inside a process and by names between processes. Times are
//! microseconds of Unix time; durations and work are microseconds.
//!
//! The serialized form consists of [`MAGIC`], the version and the length of the value (both little-endian), a checksum
//! (the first 8 bytes of the value's SHA-256) and the value as serialized by postcard, field by field: the order and
//! the types of the fields must not change.

use crate::affinity::Fetches;
use crate::arrivals::Rates;
use crate::ids::Time;
use crate::runs::{Speed, WeightedSum, Work};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::ops::RangeInclusive;

/// The first bytes of the serialized form.
pub const MAGIC: &[u8; 4] = b"IFLR";
/// The version of the serialized form that [`Statistics::write`] produces.
pub const VERSION: u16 = 1;
/// Maximum length of the serialized form, in bytes: room for about 1,500 workers.
pub const LENGTH_MAX_BYTES: usize = 128 * 1024;
/// Bytes before the value: magic (4), version (2), length (4) and checksum (8).
const HEADER_BYTES: usize = 4 + 2 + 4 + 8;
/// Maximum number of retries listed in [`Statistics::retried_at`]; the latest ones are kept.
pub const RETRIED_MAX: usize = 4096;
/// Represents the absence of a limit. The value is finite, so that calculations with a value read back stay finite.
pub const UNLIMITED: f64 = 1e18;

/// Maximum learned duration, in microseconds: one hour.
const DURATION_MAX: f64 = 3.6e9;
/// Maximum of a number of slots, of a weight of measurements and of an arrival rate.
const COUNT_MAX: f64 = 1e6;
/// Valid ranges of the numbers in a serialized form.
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
const COUNT: RangeInclusive<f64> = 0.0..=COUNT_MAX;
const DURATION: RangeInclusive<f64> = 0.0..=DURATION_MAX;
const SPEED: RangeInclusive<f64> = 1e-4..=1e4;
const RUN_TIME: RangeInclusive<f64> = 1e-6..=DURATION_MAX;
const ANY_AMOUNT: RangeInclusive<f64> = 0.0..=UNLIMITED;
const WINDOW: RangeInclusive<f64> = 1.0..=UNLIMITED;

/// Statistics that a dispatcher has learned; `N` identifies kinds, classes, tenants and workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Statistics<N> {
    /// When the statistics were taken.
    pub at: Time,
    /// Kinds of workers, each with its statistics.
    pub kinds: Vec<(N, Kind)>,
    /// Classes of jobs, each with its statistics.
    pub classes: Vec<(N, Class)>,
    /// Each tenant's fraction of the arrivals, 0 to 1.
    pub tenants: Vec<(N, f64)>,
    /// Workers of the membership list, each with its statistics.
    pub workers: Vec<(N, Worker)>,
    /// Slots that the jobs of the dispatcher that took the statistics occupy at each worker.
    pub in_flight: Vec<(N, f64)>,
    /// When retries were made, in ascending order. Empty if no budget limits retries.
    pub retried_at: Vec<Time>,
    /// Statistics of the whole fleet and its traffic; `None`: nothing is known.
    pub fleet: Option<FleetStatistics>,
}

/// Statistics of a kind of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Slots of a worker of the kind.
    pub slots: f64,
    /// Whether load reports gave the slots; otherwise they are the most slots observed in use at once.
    pub slots_reported: bool,
    /// Speed of the kind's workers, relative to the mean of all kinds.
    pub speed: Speed,
    /// Recent probability of drawing this kind, 0 to 1.
    pub weight: f64,
}

/// Statistics of a class of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Run time of the jobs of the class.
    pub run_time: Work,
    /// The longest time that a client has allowed for a request of the class.
    pub longest_client_wait: Time,
}

/// Statistics of one instance of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// When the instance started, according to the membership list. Statistics apply to this instance only.
    pub started_at: Time,
    /// Shortest recent time from send to start, in microseconds.
    pub start_delay: f64,
    /// Slots that other dispatchers' jobs occupy at the worker.
    pub others_slots: f64,
    /// When `others_slots` was last updated; `None`: never.
    pub load_updated_at: Option<Time>,
    /// Recent fraction of attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// The worker is ejected until this time.
    pub ejected_until: Time,
    /// How often the worker was found unresponsive since it last made progress.
    pub timeouts_in_a_row: u32,
}

/// Statistics of the whole fleet and its traffic, most of which change within seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatistics {
    /// Run times at mean speed over all classes, in microseconds.
    pub run_times: WeightedSum,
    /// Cost of fetching data on workers other than the home worker of an affinity.
    pub fetches: Fetches,
    /// Arrival rates.
    pub arrivals: Rates,
    /// Fraction of requests that prefer workers of the dispatcher's own zone, 0 to 1.
    pub home_preference: f64,
    /// Recent fractions of starts that came late.
    pub late_start_rate: LateStartRate,
    /// Number of the dispatcher's own jobs that may wait in workers' queues.
    pub wait_window: f64,
    /// Idle time, in microseconds, up to which a connection is reused; one that was idle for longer is closed instead.
    pub trusted_idle: f64,
    /// Recent value and work of the requests.
    pub demand: Demand,
    /// Recent fraction of attempts that workers rejected for lack of capacity, 0 to 1.
    pub rejection_rate: f64,
}

/// Fraction of starts that came late, by the zone of the worker; each 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LateStartRate {
    /// Fraction among workers of other zones.
    pub away: f64,
    /// Fraction among workers of the dispatcher's own zone.
    pub home: f64,
}

impl LateStartRate {
    /// The fraction for the own zone if `is_home`, otherwise that for all other zones.
    pub fn of_zone(&mut self, is_home: bool) -> &mut f64 {
        if is_home {
            &mut self.home
        } else {
            &mut self.away
        }
    }

    /// The same fractions multiplied by `keep`.
    pub fn faded(self, keep: f64) -> Self {
        LateStartRate {
            away: self.away * keep,
            home: self.home * keep,
        }
    }
}

/// Exponentially decaying sums over recent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Sum of the requests' values.
    pub value: f64,
    /// Sum of the requests' work, each multiplied by the slots that it takes.
    pub work: f64,
}

/// Why a serialized form is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadError {
    /// The form has this length, in bytes, which differs from the length in its header or is outside the valid range.
    Length(usize),
    /// The form does not begin with [`MAGIC`].
    Magic,
    /// The form has this version, which is not supported.
    Version(u16),
    /// The checksum does not match, or the value cannot be decoded.
    Checksum,
    /// The form is complete, but a number in it is out of range.
    OutOfRange {
        /// Description of the number.
        what: &'static str,
        /// Value of the number.
        value: f64,
        /// Least valid value.
        from: f64,
        /// Greatest valid value.
        to: f64,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Length(length) => write!(
                f,
                "the statistics have {length} bytes: {HEADER_BYTES} to {LENGTH_MAX_BYTES} are allowed, and as many as the header states"
            ),
            ReadError::Magic => {
                let magic = String::from_utf8_lossy(MAGIC);
                write!(f, "the statistics do not begin with {magic:?}")
            }
            ReadError::Version(version) => {
                write!(
                    f,
                    "the statistics have version {version}: 1 to {VERSION} are supported"
                )
            }
            ReadError::Checksum => write!(
                f,
                "the checksum of the statistics does not match, or they cannot be decoded"
            ),
            ReadError::OutOfRange {
                what,
                value,
                from,
                to,
            } => write!(f, "{what} is {value}: {from} to {to} is allowed"),
        }
    }
}

impl std::error::Error for ReadError {}

fn check_range(
    what: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
) -> Result<(), ReadError> {
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

/// Remaining weight of a measurement of this age under exponential decay with this time constant.
pub fn weight_at_age(age: Time, time_constant: Time) -> f64 {
    (-(age as f64) / time_constant.max(1) as f64).exp()
}

impl<N> Statistics<N> {
    /// The same statistics with their identifiers translated; an entry whose identifier maps to `None` is left out.
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
            fleet: self.fleet,
        }
    }

    /// Checks that all numbers are in their valid ranges, for statistics that another process has written.
    ///
    /// # Errors
    /// Returns the first number that is out of range.
    pub fn check(&self) -> Result<(), ReadError> {
        self.kinds.iter().try_for_each(|(_, kind)| kind.check())?;
        let mut classes = self.classes.iter();
        classes.try_for_each(|(_, class)| class.check())?;
        for (_, fraction) in &self.tenants {
            check_range("fraction of a tenant", *fraction, FRACTION)?;
        }
        let mut workers = self.workers.iter();
        workers.try_for_each(|(_, worker)| worker.check())?;
        for (_, slots) in &self.in_flight {
            check_range("slots in flight at a worker", *slots, COUNT)?;
        }
        check_range(
            "number of retries",
            self.retried_at.len() as f64,
            0.0..=RETRIED_MAX as f64,
        )?;
        self.fleet.as_ref().map_or(Ok(()), FleetStatistics::check)
    }
}

impl Kind {
    fn check(&self) -> Result<(), ReadError> {
        check_range("number of slots of a kind", self.slots, COUNT)?;
        check_range("draw probability of a kind", self.weight, FRACTION)?;
        check_range("speed of a kind", self.speed.speed, SPEED)?;
        check_range(
            "weight of the run times of a kind",
            self.speed.weight(),
            COUNT,
        )
    }
}

impl Class {
    fn check(&self) -> Result<(), ReadError> {
        check_range(
            "mean run time of a class",
            self.run_time.mean(None),
            RUN_TIME,
        )?;
        check_range(
            "weight of the run times of a class",
            self.run_time.weight(),
            COUNT,
        )
    }
}

impl Worker {
    fn check(&self) -> Result<(), ReadError> {
        check_range("start delay of a worker", self.start_delay, DURATION)?;
        check_range(
            "slots of other dispatchers at a worker",
            self.others_slots,
            COUNT,
        )?;
        check_range("failure rate of a worker", self.failure_rate, FRACTION)
    }
}

impl FleetStatistics {
    fn check(&self) -> Result<(), ReadError> {
        let WeightedSum { weight, sum } = self.run_times;
        check_range("weight of all run times", weight, COUNT)?;
        check_range("sum of all run times", sum, 0.0..=COUNT_MAX * DURATION_MAX)?;
        check_range("mean fetch time", self.fetches.cost(), DURATION)?;
        check_range("arrival rate of work", self.arrivals.work, COUNT)?;
        check_range("arrival rate of unbound work", self.arrivals.unbound, COUNT)?;
        check_range("arrival rate of jobs", self.arrivals.per_s, COUNT)?;
        check_range(
            "fraction of requests that prefer the own zone",
            self.home_preference,
            FRACTION,
        )?;
        check_range(
            "rate of late starts in other zones",
            self.late_start_rate.away,
            FRACTION,
        )?;
        check_range(
            "rate of late starts in the own zone",
            self.late_start_rate.home,
            FRACTION,
        )?;
        check_range("wait window", self.wait_window, WINDOW)?;
        check_range("trusted idle time", self.trusted_idle, ANY_AMOUNT)?;
        check_range("recent value of requests", self.demand.value, ANY_AMOUNT)?;
        check_range("recent work of requests", self.demand.work, ANY_AMOUNT)?;
        check_range("rejection rate", self.rejection_rate, FRACTION)
    }
}

impl Statistics<String> {
    /// Serializes the statistics; `None` if the result would be longer than [`LENGTH_MAX_BYTES`].
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

    /// Reads a serialized form. The whole form is checked before any of it is used.
    ///
    /// # Errors
    /// Returns an error if the length, magic, version or checksum of the form is wrong, or a number is out of range.
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
