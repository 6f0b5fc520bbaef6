//! Constants of the policy, with what bounds them. Times are microseconds unless a name says otherwise.

use crate::ids::Time;

/// Workers sampled within the drawn kind: the d of SQ(d).
pub(super) const SAMPLE_SIZE: usize = 3;
/// Time between two ticks, in multiples of the clock's granularity.
pub(super) const TICK_GRANULARITIES: Time = 5;
/// Shortest time between two ticks.
pub(super) const TICK_MIN: Time = 20_000;
/// Ticks between two solutions of problem (1).
pub(super) const SOLVE_TICKS: u64 = 40;
/// A tenant with less than this multiple of its fraction of the arrivals is never beyond its quota: its clients did not
/// crowd to this dispatcher.
pub(super) const CROWDING: f64 = 0.7;
/// Typical age of the load in a report.
pub(super) const REPORT_AGE: f64 = 3e5;
/// Time from send to start on a free slot before any has been measured.
pub(super) const FIRST_START_DELAY: f64 = 2e4;
/// Greatest index of a kind; ids past it count as this one.
pub(super) const KINDS_MAX: usize = 255;
/// Fraction by which the wait window shrinks at a late start.
pub(super) const WINDOW_DECREASE: f64 = 0.1;
/// A start is late after this many times the mean time between two slots becoming free.
pub(super) const LATE_START_WAIT: f64 = 0.5;
/// Own attempts that may wait at workers that look free, per unit of work arriving.
pub(super) const WAIT_LOAD: f64 = 0.5;
/// Part of the result that probes and peer updates may cost for each request.
pub(super) const OVERHEAD_PER_REQUEST: f64 = 0.004;
/// The most of it that may be saved up.
pub(super) const OVERHEAD_MAX: f64 = 0.02;
/// Workers named in one update to the peers.
pub(super) const PEER_UPDATE_MAX: usize = 51;
/// Load older than this is probed again; sooner where jobs run long (see `observations`).
pub(super) const PROBE_AGE: Time = 1_500_000;
/// Part of the latency target for which a request waits for probes.
pub(super) const PROBE_WAIT: f64 = 0.1;
/// Mean run times that must fit before the latency target or the deadline.
pub(super) const LATE_MARGIN: f64 = 1.5;
/// Part of the preferred workers that own traffic may fill.
pub(super) const PREFERRED_LOAD: f64 = 0.4;
/// Load of the zones until starts have been observed.
pub(super) const INITIAL_ZONE_LOAD: f64 = 0.7;
/// Step of the moving averages of late starts and rejections.
pub(super) const LATE_STEP: f64 = 0.1;
/// Late starts that are as bad as one crossing of zones at its price.
pub(super) const CROSSING_LATE_STARTS: f64 = 2.0;
/// Requests of one queue that may be skipped in one scan.
pub(super) const SCAN_MISSES_MAX: usize = 2;
/// The same where only the home worker of each is considered.
pub(super) const HOME_SCAN_MISSES_MAX: usize = 32;
/// Step of the failure rate at an error or a success.
pub(super) const FAILURE_STEP: f64 = 0.25;
/// The same at a time-out, which is weaker evidence.
pub(super) const TIMEOUT_STEP: f64 = 0.1;
/// A progress report is overdue after this many intervals.
pub(super) const OVERDUE_INTERVALS: f64 = 1.2;
/// The same for the first report of an attempt.
pub(super) const OVERDUE_FIRST_INTERVALS: f64 = 1.6;
/// Failure rate above which a worker is on probation: one retryable request at a time.
pub(super) const PROBATION_FAILURE_RATE: f64 = 0.3;
/// Factor on the failure rate at each solution once an ejection is over.
pub(super) const FAILURE_DECAY: f64 = 0.7;
/// An ejection lasts this over the square of the success rate ...
pub(super) const EJECTION_BASE: f64 = 2e5;
/// ... and this at most.
pub(super) const EJECTION_MAX: f64 = 6e6;
/// A worker that rejected for lack of capacity is ejected for a mean run time, at most this.
pub(super) const FULL_EJECTION_MAX: f64 = 2e6;
/// Part of the idle time of a broken connection that is trusted from then on.
pub(super) const IDLE_TRUSTED: f64 = 0.5;
/// Growth of the trusted idle time at each solution.
pub(super) const IDLE_GROWTH: f64 = 1.02;
/// A waiting job moves to a worker that looks free after this many mean fetches ...
pub(super) const MOVE_FETCHES: f64 = 2.0;
/// ... and this wait.
pub(super) const MOVE_WAIT: Time = 100_000;
/// Part of the budget of a worker that warms up which is used; with what is saved up, 0.75 in any window.
pub(super) const WARM_UP_USE: f64 = 0.6;
/// Mean jobs that a dispatcher's part of that budget pays for in a window; one may be saved up.
pub(super) const WARM_UP_JOBS: f64 = 4.0;
/// First wait between two requests for the membership list after a failure.
pub(super) const MEMBERSHIP_BACKOFF_FIRST: Time = 500_000;
/// Longest such wait.
pub(super) const MEMBERSHIP_BACKOFF_MAX: Time = 4_000_000;

/// A group of workers: by zone, and whether this dispatcher prefers them.
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

/// Groups that are sampled together.
pub(super) struct Tier {
    /// Which groups.
    pub groups: &'static [usize],
    /// They are not preferred: used only while little waits.
    pub is_fallback: bool,
}

const fn tier(groups: &'static [usize], is_fallback: bool) -> Tier {
    Tier {
        groups,
        is_fallback,
    }
}

/// Tiers in order for a request that prefers its own zone.
pub(super) const HOME_FIRST_TIERS: &[Tier] = &[
    tier(&[group::HOME_PREFERRED], false),
    tier(&[group::HOME_OTHER], true),
    tier(&[group::AWAY_PREFERRED], false),
    tier(&[group::AWAY_OTHER], true),
];
/// Tiers in order for a request that prefers no zone.
pub(super) const ANY_ZONE_TIERS: &[Tier] = &[
    tier(&[group::HOME_PREFERRED, group::AWAY_PREFERRED], false),
    tier(&[group::HOME_OTHER, group::AWAY_OTHER], true),
];
/// The one tier for a request with an affinity.
pub(super) const AFFINITY_TIERS: &[Tier] = &[tier(
    &[
        group::HOME_PREFERRED,
        group::HOME_OTHER,
        group::AWAY_PREFERRED,
        group::AWAY_OTHER,
    ],
    false,
)];
