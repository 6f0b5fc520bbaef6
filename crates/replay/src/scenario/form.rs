//! The types of the scenario file, with their defaults. Where a name in the file differs from the field's name, a `serde`
//! attribute states it. The doc comments here are the descriptions of the published schema.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A replay scenario. The suffix of a field's name gives its unit (`-s` or `-ms`); points in time count from the start.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Version of the file format; must be 1.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    /// Name of the scenario in reports; empty by default.
    #[serde(default)]
    pub name: String,
    /// Unix time, in seconds, at which the scenario starts. Default: 1795978800.
    #[serde(default = "default_start")]
    pub start: u64,
    /// Seed of the random draws of a run, unless the command line gives another one. Default: 1.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Seed of the job workers' speeds. It is independent of the run's seed, so all runs have the same fleet. Default: 1.
    #[serde(default = "default_seed")]
    pub fleet_seed: u64,
    /// Number of schedulers, 1 to 256. Default: 3.
    #[serde(default = "default_schedulers")]
    #[schemars(range(min = 1, max = 256))]
    pub schedulers: u32,
    /// Names of the zones, at least one. Schedulers and job workers are assigned to them round-robin.
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// Job classes, at least one; their names are unique.
    #[schemars(length(min = 1))]
    pub classes: Vec<Class>,
    /// Parishes (the tenants that submit jobs), at least one; their names are unique.
    #[schemars(length(min = 1))]
    pub parishes: Vec<Parish>,
    /// Machine kinds, each with its number of job workers. Workers are numbered from 0, kind after kind.
    #[schemars(length(min = 1))]
    pub kinds: Vec<Kind>,
    /// Network delays.
    #[serde(default)]
    pub network: Network,
    /// Behaviour of the clients.
    #[serde(default)]
    pub clients: Clients,
    /// Behaviour of the job workers.
    #[serde(default)]
    pub machines: Machines,
    /// Delays of service discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Generated load; not used if the load comes from a recording.
    #[serde(default)]
    pub load: Load,
    /// Faults to inject; none by default.
    #[serde(default)]
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Limits of the rules that a run is checked against.
    #[serde(default)]
    pub rules: Rules,
    /// Prices that are deducted from the service metric (at most 1), each for one unit of cost.
    #[serde(default)]
    pub prices: Prices,
    /// Factor applied to the value of a job that exceeds its parish's quota. Default: 0.2.
    #[serde(default = "default_over_quota_value")]
    #[serde(rename = "over-share-worth")]
    pub over_quota_value: f64,
    /// Resource limits of each scheduler.
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

/// Whether the jobs of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// A job may run any number of times.
    Safe,
    /// Repeats of a job are deduplicated across all job workers within this window, in milliseconds.
    Keyed(u64),
    /// A job must run at most once.
    Unsafe,
}

/// Distribution of the running times around their mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Lognormal distribution with the class's `cv`.
    #[default]
    Lognormal,
    /// Exponential distribution; `cv` is ignored.
    Exponential,
}

/// Which waiting job a job worker starts next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The oldest waiting job; it blocks the others until it fits into the free slots.
    #[default]
    InOrder,
    /// The oldest waiting job that fits into the free slots.
    WhateverFits,
    /// The oldest waiting job of the highest priority; it blocks the others until it fits into the free slots.
    Priority,
}

/// Behaviour of the job workers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Machines {
    /// Order in which waiting jobs start. Default: `in-order`.
    pub order: Order,
    /// Whether an attempt that a scheduler cancels stops at the job worker; otherwise it runs on. Default: false.
    pub cancel: bool,
    /// Whether two attempts of one job may be open at the same time. Default: true.
    #[serde(rename = "copies")]
    pub speculative_runs: bool,
    /// Whether job workers answer probes with their load. Default: true.
    pub reports: bool,
    /// Objects that jobs need and job workers cache. If absent, jobs need no objects.
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

/// Cache of the objects that jobs need: a job worker fetches a missing object from a shared store.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Things {
    /// Number of objects that each job worker caches, at least 1. The least recently used one is evicted.
    #[schemars(range(min = 1))]
    pub kept: u32,
    /// Duration of a fetch at full speed, 0 to 100, as a multiple of the mean running time of all jobs at speed 1.
    pub fetch: f64,
    /// Number of concurrent fetches that the store serves at full speed, over 0; with more, fetches slow down in proportion.
    pub at_once: f64,
}

/// A job class.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Name of the class, unique among the classes.
    pub name: String,
    /// Weight of the class in generated load, relative to the sum over all classes.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Whether a job of the class may run more than once.
    pub effect: Effect,
    /// Mean running time at speed 1, in milliseconds, at least 0.001.
    #[schemars(range(min = 0.001))]
    pub work_ms: f64,
    /// Distribution of the running times. Default: `lognormal`.
    #[serde(default)]
    pub spread: Spread,
    /// Coefficient of variation of a lognormal distribution; an exponential one always has 1. Default: 0.5.
    #[serde(default = "default_cv")]
    pub cv: f64,
    /// Priority of the jobs: workers with the order `priority` start higher values first. Default: 0.
    #[serde(default)]
    pub priority: i32,
    /// Relative weights of the jobs that occupy 1, 2, 4 and so on slots, in this order. Default: all jobs occupy 1 slot.
    #[serde(default = "default_slots")]
    pub slots: Vec<f64>,
    /// Fixed part of the latency target, in milliseconds. The target is `aim-ms` plus `stretch` times the job's running time at speed 1.
    #[serde(rename = "aim-ms")]
    pub latency_target_ms: u64,
    /// Multiple of the job's running time at speed 1 that is added to `aim-ms` to give the latency target.
    pub stretch: f64,
    /// How long a client waits for a job over all its tries, in milliseconds, at least 1.
    #[schemars(range(min = 1))]
    pub deadline_ms: u64,
    /// Value of a job that is answered within its latency target.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Fraction of `worth` that an answer after the latency target earns.
    #[serde(rename = "late-worth")]
    pub late_value: f64,
}

fn default_cv() -> f64 {
    0.5
}
fn default_slots() -> Vec<f64> {
    vec![1.0]
}

/// A parish: a tenant that submits jobs and has a quota.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Parish {
    /// Name of the parish, unique among the parishes.
    pub name: String,
    /// Quota of the parish, as a fraction of the capacity of the warm fleet.
    #[serde(rename = "share")]
    pub quota: f64,
    /// Demand relative to the quota: in generated load, the weight of a parish is `share` times `usage`. Default: 1.
    #[serde(default = "default_usage")]
    pub usage: f64,
    /// Zone whose schedulers the parish calls. If absent, parishes are assigned to the zones round-robin.
    pub zone: Option<String>,
}

fn default_usage() -> f64 {
    1.0
}

/// A machine kind.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    /// Name of the machine kind.
    pub name: String,
    /// Number of job workers on machines of this kind.
    pub count: u32,
    /// Cores of each machine, 1 to 1024; each core is one slot.
    #[schemars(range(min = 1, max = 1024))]
    pub cores: u32,
    /// Lower and upper bound, both over 0, between which a worker's speed is drawn uniformly; 1 is the reference speed.
    pub speed: [f64; 2],
    /// Queue capacity of a worker, in jobs per core. Default: 14.
    #[serde(default = "default_queue_per_core")]
    pub queue_per_core: f64,
    /// Fraction of its capacity with which a restarted worker begins, over 0 and up to 1. Default: 0.4.
    #[serde(default = "default_initial_capacity")]
    #[serde(rename = "cold-from")]
    pub initial_capacity: f64,
    /// Longest warm-up of a restarted worker, in seconds; completed work shortens it. 0: no warm-up. Default: 6.
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

/// One-way network delays.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Network {
    /// Delay within a zone, in milliseconds. Default: 0.2.
    pub same_ms: f64,
    /// Delay between two zones, in milliseconds. Default: 2.5.
    pub cross_ms: f64,
    /// Delay between clients and schedulers, in milliseconds. Default: 0.5.
    pub client_ms: f64,
    /// Largest deviation of a delay from its configured value, as a fraction of it; drawn uniformly. Default: 0.2.
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

/// Behaviour of the clients.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Clients {
    /// Maximum number of retries of a job; 0: none. Default: 3.
    pub retries: u32,
    /// Wait before a retry, in milliseconds, unless the client follows Retry-After. Default: 50.
    pub backoff_ms: f64,
    /// Probability, drawn for each retry, that a client follows the Retry-After of a refusal. Default: 0.5.
    pub honour: f64,
    /// Upper limit of the Retry-After wait, in milliseconds, for clients and schedulers. Default: 2000.
    pub max_retry_after_ms: u64,
    /// Whether retries are marked as such in exported logs. Default: true.
    #[serde(rename = "mark")]
    pub retries_marked: bool,
    /// Whether clients also retry failed jobs, except those of `unsafe` classes. Default: true.
    pub after_failure: bool,
    /// Number of clients (addresses) of each parish; 0 counts as 1. Default: 12.
    pub offices: u32,
    /// Number of distinct objects in generated load; 0 counts as 1. Default: 20000.
    pub subjects: u32,
    /// Exponent of the Zipf distribution by which jobs choose their objects. Default: 0.8.
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

/// Delays of service discovery.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Discovery {
    /// Delay until discovery learns of the start, drain or end of a worker, in milliseconds. Default: 1500.
    pub notice_ms: u64,
    /// Delay until discovery learns that a machine has vanished, in milliseconds; no fault uses it at present. Default: 8000.
    #[serde(rename = "silent-notice-ms")]
    pub unresponsive_notice_ms: u64,
    /// Duration of a call to discovery, in milliseconds. Default: 30.
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

/// Generated load: a Poisson process whose rate varies over time.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Load {
    /// Duration of the load, in seconds. With the default 0, no load can be generated.
    pub seconds: f64,
    /// Base rate, in first tries per second, before `swing` and `jumps` apply. With the default 0, no load can be generated.
    pub rate: f64,
    /// Amplitude of the sinusoidal variation of the rate, as a fraction of `rate`. Default: 0.
    pub swing: f64,
    /// Period of the sinusoidal variation, in seconds. Default: 0, which means no variation.
    pub swing_s: f64,
    /// Temporary changes of the rate; where several overlap, their factors multiply. None by default.
    pub jumps: Vec<Jump>,
}

/// A temporary change of the rate.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Jump {
    /// Start, in seconds after the start of the scenario.
    pub at_s: f64,
    /// Duration in seconds, including both edges.
    pub for_s: f64,
    /// Factor by which the rate is multiplied.
    pub times: f64,
    /// Duration of the linear rise and of the linear fall, in seconds each. Default: 0, an immediate change.
    #[serde(default)]
    pub edge_s: f64,
}

/// An injected fault.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Trouble")]
pub struct Fault {
    /// Start, in seconds after the start of the scenario.
    pub at_s: f64,
    /// Duration in seconds. Default: 0.
    #[serde(default)]
    pub for_s: f64,
    /// Numbers of the affected job workers, from 0.
    pub workers: Vec<u32>,
    /// Kind of the fault.
    pub what: FaultKind,
}

/// Kind of a fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "What")]
pub enum FaultKind {
    /// The workers accept jobs without responding, and resume where they stopped when the fault ends.
    Hang,
    /// The workers stall repeatedly.
    #[serde(rename_all = "kebab-case")]
    Pauses {
        /// Duration of each stall, in milliseconds.
        ms: f64,
        /// Time from the start of one stall to the start of the next, in milliseconds; less than 1 counts as 1.
        every_ms: f64,
    },
    /// The workers crash and lose their jobs; they restart cold when the fault ends.
    Crash,
    /// The workers drain; they restart cold when the fault ends, and lose jobs that still run then.
    Drain,
    /// Jobs on the workers take longer.
    #[serde(rename_all = "kebab-case")]
    Slow {
        /// Factor on the running times, over 1 and up to 1000.
        times: f64,
    },
    /// A few objects are needed by a fraction of all generated jobs; the job workers are not affected.
    #[serde(rename_all = "kebab-case")]
    HotThings {
        /// Fraction of the jobs that need one of the hot objects, 0 to 1.
        #[serde(rename = "share")]
        fraction: f64,
        /// Number of hot objects; 0 counts as 1.
        things: u32,
    },
}

/// Limits of the rules that a run is checked against.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Rules {
    /// Time after a scheduler learns of a worker's drain or end until it must send no more jobs there, in milliseconds. Default: 300.
    pub drain_grace_ms: u64,
    /// Work that may be sent to a warming worker within `tip-window-ms`, as a multiple of its capacity, plus an allowance for chance. Default: 3.
    pub tip_multiple: f64,
    /// Length of the sliding window for `tip-multiple`, in milliseconds. Default: 2000.
    pub tip_window_ms: u64,
    /// Time after the client's deadline within which a final answer is still allowed, in milliseconds. Default: 16.
    pub answer_slack_ms: u64,
    /// Time after a restart by which every job worker counts as warm, in seconds; part of the schedulers' settings. Default: 9.
    pub warm_after_s: f64,
    /// Maximum number of attempts of a job. Default: 4.
    pub attempts: u32,
    /// Tolerance that is added to the time limits of the checks, in milliseconds. Default: 50.
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

/// Prices that are deducted from the service metric (at most 1), each for one unit of cost.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Prices {
    /// Price of one attempt that crosses zones per first try. Default: 0.03.
    pub cross_zone: f64,
    /// Price of completed work that yields no answer, relative to the work requested. Default: 0.023.
    pub waste: f64,
    /// Price of one probe per first try. Default: 0.0025.
    pub probe: f64,
    /// Price of the value of jobs that end unserved after their latency target, relative to the value requested. Default: 0.072.
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

/// Resource limits of each scheduler.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Maximum number of open file descriptors; a quarter of it limits the open requests. Default: 1024.
    pub sockets: u32,
    /// Memory limit in megabytes, as stated in the scheduler's settings. Default: 192.
    pub memory_mb: u32,
    /// Minimum interval between two decisions of a scheduler, in milliseconds. Default: 2.
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
