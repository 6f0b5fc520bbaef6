//! Constants of the placement policy. Times are microseconds unless stated otherwise.

use crate::ids::Time;

/// Number of workers sampled within the drawn kind: the d of SQ(d).
pub(super) const SAMPLE_SIZE: usize = 3;
/// Time between two ticks, in multiples of the clock's granularity.
pub(super) const TICK_GRANULARITIES: Time = 5;
/// Shortest time between two ticks.
pub(super) const TICK_MIN: Time = 20_000;
/// Number of ticks between two solutions of problem (1).
pub(super) const SOLVE_TICKS: u64 = 40;
/// A tenant is never beyond its quota while its measured fraction of the arrivals is below this multiple of its
/// expected fraction: the overload of this dispatcher then comes from other tenants.
pub(super) const WITHIN_QUOTA_FRACTION: f64 = 0.7;
/// Typical age of the load values in a report.
pub(super) const REPORT_AGE: f64 = 3e5;
/// Time from send to start on a free slot, assumed until one has been measured.
pub(super) const FIRST_START_DELAY: f64 = 2e4;
/// Greatest index of a kind; greater kind ids are treated as this one.
pub(super) const KINDS_MAX: usize = 255;
/// Fraction by which the wait window shrinks after a late start.
pub(super) const WINDOW_DECREASE: f64 = 0.1;
/// A start is late if the wait exceeds this multiple of the mean time between two slots becoming free.
pub(super) const LATE_START_WAIT: f64 = 0.5;
/// Number of own attempts that may wait at workers that appear free, per unit of arriving work.
pub(super) const WAIT_LOAD: f64 = 0.5;
/// Fraction of the result that probes and peer updates may cost per request.
pub(super) const OVERHEAD_PER_REQUEST: f64 = 0.004;
/// Maximum that may accumulate from [`OVERHEAD_PER_REQUEST`].
pub(super) const OVERHEAD_MAX: f64 = 0.02;
/// Maximum number of workers in one peer update.
pub(super) const PEER_UPDATE_MAX: usize = 51;
/// Maximum age of known load before a worker is probed again; shorter where jobs run long (see `observations`).
pub(super) const PROBE_AGE: Time = 1_500_000;
/// Fraction of the latency target for which a request waits for probe results.
pub(super) const PROBE_WAIT: f64 = 0.1;
/// Number of mean run times that must fit before the latency target or the deadline.
pub(super) const LATE_MARGIN: f64 = 1.5;
/// Fraction of the preferred workers' capacity that this dispatcher's traffic may use.
pub(super) const PREFERRED_LOAD: f64 = 0.4;
/// Load of the zones that is assumed until starts have been observed.
pub(super) const INITIAL_ZONE_LOAD: f64 = 0.7;
/// Step of the moving averages of late starts and rejections.
pub(super) const LATE_STEP: f64 = 0.1;
/// Difference between the rates of late starts that justifies crossing zones, per unit of the price of crossing.
pub(super) const CROSSING_LATE_STARTS: f64 = 2.0;
/// Number of requests in one queue that a scan may skip before it stops.
pub(super) const SCAN_MISSES_MAX: usize = 2;
/// Number of requests in one queue that a scan may skip if it considers only each request's home worker.
pub(super) const HOME_SCAN_MISSES_MAX: usize = 32;
/// Step of the failure rate after an error or a success.
pub(super) const FAILURE_STEP: f64 = 0.25;
/// Step of the failure rate after a time-out, which is weaker evidence.
pub(super) const TIMEOUT_STEP: f64 = 0.1;
/// Number of progress intervals after which the next progress report is overdue.
pub(super) const OVERDUE_INTERVALS: f64 = 1.2;
/// Number of progress intervals after which the first progress report of an attempt is overdue.
pub(super) const OVERDUE_FIRST_INTERVALS: f64 = 1.6;
/// Failure rate above which a worker is on probation: it gets one retryable request at a time.
pub(super) const PROBATION_FAILURE_RATE: f64 = 0.3;
/// Factor applied to the failure rate at each solution of problem (1) after an ejection has ended.
pub(super) const FAILURE_DECAY: f64 = 0.7;
/// An ejection lasts this time divided by the square of the success rate, up to [`EJECTION_MAX`].
pub(super) const EJECTION_BASE: f64 = 2e5;
/// Longest ejection.
pub(super) const EJECTION_MAX: f64 = 6e6;
/// Longest ejection of a worker that rejected an attempt for lack of capacity; it is ejected for a mean run time.
pub(super) const FULL_EJECTION_MAX: f64 = 2e6;
/// After a reset of an idle connection, connections idle for more than this fraction of its idle time are not trusted.
pub(super) const IDLE_TRUSTED: f64 = 0.5;
/// Growth factor of the trusted idle time at each solution of problem (1).
pub(super) const IDLE_GROWTH: f64 = 1.02;
/// A waiting job may move to a worker that appears free after this many mean fetch times plus [`MOVE_WAIT`].
pub(super) const MOVE_FETCHES: f64 = 2.0;
/// Constant part of the wait after which a waiting job may move, see [`MOVE_FETCHES`].
pub(super) const MOVE_WAIT: Time = 100_000;
/// Fraction of a worker's warm-up budget that is spent steadily. With the accumulated part, up to 0.75 of the budget is
/// spent in any window.
pub(super) const WARM_UP_USE: f64 = 0.6;
/// Number of mean jobs per window that a dispatcher's part of a warm-up budget must pay for; one may accumulate.
pub(super) const WARM_UP_JOBS: f64 = 4.0;
/// Delay before the membership list is requested again after a first failure.
pub(super) const MEMBERSHIP_BACKOFF_FIRST: Time = 500_000;
/// Longest delay before the membership list is requested again.
pub(super) const MEMBERSHIP_BACKOFF_MAX: Time = 4_000_000;

/// Groups of workers: by zone and by whether this dispatcher prefers them.
pub(super) mod group {
    /// Preferred workers of the own zone.
    pub(crate) const HOME_PREFERRED: usize = 0;
    /// Other workers of the own zone.
    pub(crate) const HOME_OTHER: usize = 1;
    /// Preferred workers of other zones.
    pub(crate) const AWAY_PREFERRED: usize = 2;
    /// Other workers of other zones.
    pub(crate) const AWAY_OTHER: usize = 3;
    /// Number of groups.
    pub(crate) const COUNT: usize = 4;
}

/// Groups of workers that are sampled together.
pub(super) struct Tier {
    /// Indices of the groups.
    pub groups: &'static [usize],
    /// Whether the groups are not preferred: they are used only while few own attempts wait.
    pub is_fallback: bool,
}

const fn tier(groups: &'static [usize], is_fallback: bool) -> Tier {
    Tier {
        groups,
        is_fallback,
    }
}

/// Tiers, in the order tried, for a request that prefers the dispatcher's own zone.
pub(super) const HOME_FIRST_TIERS: &[Tier] = &[
    tier(&[group::HOME_PREFERRED], false),
    tier(&[group::HOME_OTHER], true),
    tier(&[group::AWAY_PREFERRED], false),
    tier(&[group::AWAY_OTHER], true),
];
/// Tiers, in the order tried, for a request that prefers no zone.
pub(super) const ANY_ZONE_TIERS: &[Tier] = &[
    tier(&[group::HOME_PREFERRED, group::AWAY_PREFERRED], false),
    tier(&[group::HOME_OTHER, group::AWAY_OTHER], true),
];
/// The only tier for a request with an affinity: all workers.
pub(super) const AFFINITY_TIERS: &[Tier] = &[tier(
    &[
        group::HOME_PREFERRED,
        group::HOME_OTHER,
        group::AWAY_PREFERRED,
        group::AWAY_OTHER,
    ],
    false,
)];
