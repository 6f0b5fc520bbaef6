//! The types of the scenario file, with their defaults. Where a name in the file differs from the field's name, a `serde`
//! attribute states it. The doc comments here are the descriptions of the published schema.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A scenario. Times are seconds or milliseconds as their names say, counted from its start.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// The form of this file: 1.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    /// A name, for reports.
    #[serde(default)]
    pub name: String,
    /// Unix time, in seconds, at which it starts.
    #[serde(default = "default_start")]
    pub start: u64,
    /// Random numbers begin here.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Job workers' speeds are drawn from this, whatever a run's seed: the fleet is the same in all runs.
    #[serde(default = "default_seed")]
    pub fleet_seed: u64,
    /// Schedulers.
    #[serde(default = "default_schedulers")]
    #[schemars(range(min = 1, max = 256))]
    pub schedulers: u32,
    /// Kitchens (zones); schedulers and job workers are dealt out to them in turn.
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// Classes of jobs.
    #[schemars(length(min = 1))]
    pub classes: Vec<Class>,
    /// Parishes.
    #[schemars(length(min = 1))]
    pub parishes: Vec<Parish>,
    /// Kinds of machines, and how many job workers are on each.
    #[schemars(length(min = 1))]
    pub kinds: Vec<Kind>,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// The clients.
    #[serde(default)]
    pub clients: Clients,
    /// How job workers serve.
    #[serde(default)]
    pub machines: Machines,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Load that is made; a replay has its own.
    #[serde(default)]
    pub load: Load,
    /// What goes wrong.
    #[serde(default)]
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// The rules' figures.
    #[serde(default)]
    pub rules: Rules,
    /// Prices: points of the figure for each unit.
    #[serde(default)]
    pub prices: Prices,
    /// Worth of a job beyond its parish's share.
    #[serde(default = "default_over_quota_value")]
    #[serde(rename = "over-share-worth")]
    pub over_quota_value: f64,
    /// What each scheduler may hold.
    #[serde(default)]
    pub limits: Limits,
}

fn default_start() -> u64 {
    1_795_978_800 // a Sunday, 19:00 UTC
}
fn default_seed() -> u64 {
    1
}
fn default_schedulers() -> u32 {
    3
}
fn default_over_quota_value() -> f64 {
    0.2
}

/// Whether a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// All job workers drop a repeat for so many milliseconds.
    Keyed(u64),
    /// It must never run twice.
    Unsafe,
}

/// How running times spread round their mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Lognormal, with the class's `cv`.
    #[default]
    Lognormal,
    /// Exponential.
    Exponential,
}

/// Which waiting job a job worker starts next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The first one, which waits until it fits.
    #[default]
    InOrder,
    /// The first one that fits.
    WhateverFits,
    /// The first of the highest priority, which waits until it fits.
    Priority,
}

/// How job workers serve.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Machines {
    /// Which waiting job starts next.
    pub order: Order,
    /// A job that is given up stops.
    pub cancel: bool,
    /// Two attempts of one job may be out at once.
    #[serde(rename = "copies")]
    pub speculative_runs: bool,
    /// They answer probes with their load.
    pub reports: bool,
    /// What jobs need and job workers keep; without it, nothing.
    pub things: Option<Things>,
}

impl Default for Machines {
    fn default() -> Self {
        Machines {
            order: Order::InOrder,
            cancel: false,
            speculative_runs: true,
            reports: true,
            things: None,
        }
    }
}

/// What jobs are about, as far as a job worker must have it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Things {
    /// How many a job worker keeps.
    #[schemars(range(min = 1))]
    pub kept: u32,
    /// A fetch takes so many times a mean job, where the store is not crowded.
    pub fetch: f64,
    /// Fetches at once that the store serves at full speed.
    pub at_once: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the jobs that are made.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// Its mean running time at speed 1.
    #[schemars(range(min = 0.001))]
    pub work_ms: f64,
    /// How running times spread.
    #[serde(default)]
    pub spread: Spread,
    /// The coefficient of variation (of a lognormal; an exponential's is 1).
    #[serde(default = "default_cv")]
    pub cv: f64,
    /// Job workers that order by priority serve higher ones first.
    #[serde(default)]
    pub priority: i32,
    /// Shares of jobs with 1, 2, 4 ... slots.
    #[serde(default = "default_slots")]
    pub slots: Vec<f64>,
    /// An answer within this time, and `stretch` times the job's own running time at speed 1, is in time.
    #[serde(rename = "aim-ms")]
    pub latency_target_ms: u64,
    /// See `aim-ms`.
    pub stretch: f64,
    /// A client waits so long over all its tries.
    #[schemars(range(min = 1))]
    pub deadline_ms: u64,
    /// Worth of a job in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of the worth that a late answer earns.
    #[serde(rename = "late-worth")]
    pub late_value: f64,
}

fn default_cv() -> f64 {
    0.5
}
fn default_slots() -> Vec<f64> {
    vec![1.0]
}

/// A parish.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Parish {
    /// Its name.
    pub name: String,
    /// Its share of what the fleet can do.
    #[serde(rename = "share")]
    pub quota: f64,
    /// How much of its share it asks for in made load.
    #[serde(default = "default_usage")]
    pub usage: f64,
    /// Its kitchen, whose schedulers it calls; without one, in turn.
    pub zone: Option<String>,
}

fn default_usage() -> f64 {
    1.0
}

/// A kind of machines.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Job workers on such machines.
    pub count: u32,
    /// Cores; one slot each.
    #[schemars(range(min = 1, max = 1024))]
    pub cores: u32,
    /// Speeds are drawn between these; 1 is the yardstick.
    pub speed: [f64; 2],
    /// Jobs that may wait for each core.
    #[serde(default = "default_queue_per_core")]
    pub queue_per_core: f64,
    /// Share of its capacity that a cold one starts with.
    #[serde(default = "default_initial_capacity")]
    #[serde(rename = "cold-from")]
    pub initial_capacity: f64,
    /// It is warm after so long.
    #[serde(default = "default_warm_up_s")]
    pub warm_s: f64,
}

fn default_queue_per_core() -> f64 {
    14.0
}
fn default_initial_capacity() -> f64 {
    0.4
}
fn default_warm_up_s() -> f64 {
    6.0
}

/// The network, one way.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Network {
    /// Within a kitchen.
    pub same_ms: f64,
    /// Between two.
    pub cross_ms: f64,
    /// Between clients and schedulers.
    pub client_ms: f64,
    /// Each delay is drawn up to this share above and below.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same_ms: 0.2,
            cross_ms: 2.5,
            client_ms: 0.5,
            jitter: 0.2,
        }
    }
}

/// The clients.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Clients {
    /// Retries after a refusal.
    pub retries: u32,
    /// Wait before a retry.
    pub backoff_ms: f64,
    /// Share of clients that wait as Retry-After says.
    pub honour: f64,
    /// ... for so long at the most.
    pub max_retry_after_ms: u64,
    /// Clients mark their retries.
    #[serde(rename = "mark")]
    pub retries_marked: bool,
    /// Clients retry jobs that failed, too, where a repeat does no harm.
    pub after_failure: bool,
    /// Clients (addresses) of each parish.
    pub offices: u32,
    /// Things that a parish's jobs are about, and the exponent of their popularity (Zipf).
    pub subjects: u32,
    /// See `subjects`.
    pub zipf: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: 3,
            backoff_ms: 50.0,
            honour: 0.5,
            max_retry_after_ms: 2_000,
            retries_marked: true,
            after_failure: true,
            offices: 12,
            subjects: 20_000,
            zipf: 0.8,
        }
    }
}

/// Discovery.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Discovery {
    /// It learns of a start, a drain or an end after so long.
    pub notice_ms: u64,
    /// It learns that a machine has vanished after so long.
    #[serde(rename = "silent-notice-ms")]
    pub unresponsive_notice_ms: u64,
    /// A call takes so long.
    pub call_ms: u64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            notice_ms: 1_500,
            unresponsive_notice_ms: 8_000,
            call_ms: 30,
        }
    }
}

/// Load that is made: a Poisson process whose rate follows a course.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Load {
    /// How long.
    pub seconds: f64,
    /// First tries a second, on the mean.
    pub rate: f64,
    /// The rate swings by this share above and below ...
    pub swing: f64,
    /// ... once in so many seconds.
    pub swing_s: f64,
    /// Jumps.
    pub jumps: Vec<Jump>,
}

/// A jump of the rate.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Jump {
    /// When.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
    /// To so many times the usual.
    pub times: f64,
    /// Rise and fall, each.
    #[serde(default)]
    pub edge_s: f64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Trouble")]
pub struct Fault {
    /// When.
    pub at_s: f64,
    /// For how long.
    #[serde(default)]
    pub for_s: f64,
    /// Which job workers, by number from 0.
    pub workers: Vec<u32>,
    /// What.
    pub what: FaultKind,
}

/// What goes wrong with job workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "What")]
pub enum FaultKind {
    /// They take jobs and say nothing, and go on where they were once it is over.
    Hang,
    /// They stand still for a while, again and again.
    #[serde(rename_all = "kebab-case")]
    Pauses {
        /// For so long each time ...
        ms: f64,
        /// ... so often.
        every_ms: f64,
    },
    /// They crash, and are back, cold, once it is over. What they had is lost.
    Crash,
    /// They drain, and are back, cold, once it is over.
    Drain,
    /// Jobs run so many times as long.
    #[serde(rename_all = "kebab-case")]
    Slow {
        /// Over 1.
        times: f64,
    },
    /// A few things draw a share of all jobs; no job worker is touched.
    #[serde(rename_all = "kebab-case")]
    HotThings {
        /// Their share of the jobs.
        #[serde(rename = "share")]
        fraction: f64,
        /// How many they are.
        things: u32,
    },
}

/// The rules' figures.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Rules {
    /// A draining or gone job worker gets nothing new so long after the scheduler was told.
    pub drain_grace_ms: u64,
    /// A cold one falls if sent more than so many times what it can do ...
    pub tip_multiple: f64,
    /// ... for so long.
    pub tip_window_ms: u64,
    /// A final answer may come so long after the client's time is up.
    pub answer_slack_ms: u64,
    /// All job workers are warm after so long.
    pub warm_after_s: f64,
    /// Attempts a job may have.
    pub attempts: u32,
    /// Each limit is longer by this.
    pub slack_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 300,
            tip_multiple: 3.0,
            tip_window_ms: 2_000,
            answer_slack_ms: 16,
            warm_after_s: 9.0,
            attempts: 4,
            slack_ms: 50,
        }
    }
}

/// Prices: points of the figure (as a fraction) for each unit.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Prices {
    /// Attempts that cross kitchens, per first try.
    pub cross_zone: f64,
    /// Work without an answer, per work asked for.
    pub waste: f64,
    /// Probes, per first try.
    pub probe: f64,
    /// Worth that ends unserved after its aim, per worth asked for.
    pub late_fail: f64,
}

impl Default for Prices {
    fn default() -> Self {
        Prices {
            cross_zone: 0.03,
            waste: 0.023,
            probe: 0.0025,
            late_fail: 0.072,
        }
    }
}

/// What each scheduler may hold.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Descriptors.
    pub sockets: u32,
    /// Memory.
    pub memory_mb: u32,
    /// Schedulers decide so often at the most.
    pub tick_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1_024,
            memory_mb: 192,
            tick_ms: 2.0,
        }
    }
}
