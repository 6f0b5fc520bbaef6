//! The scenario file: schedulers, job workers, clients, load, and what goes wrong.

use indigofold::config::Site;
use indigofold_traffic::document;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Microseconds.
pub type Micros = u64;

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
    #[serde(default = "start")]
    pub start: u64,
    /// Random numbers begin here.
    #[serde(default = "one")]
    pub seed: u64,
    /// Job workers' speeds are drawn from this, whatever a run's seed: the fleet is the same in all runs.
    #[serde(default = "one")]
    pub fleet_seed: u64,
    /// Schedulers.
    #[serde(default = "three")]
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
    pub troubles: Vec<Trouble>,
    /// The rules' figures.
    #[serde(default)]
    pub rules: Rules,
    /// Prices: points of the figure for each unit.
    #[serde(default)]
    pub prices: Prices,
    /// Worth of a job beyond its parish's share.
    #[serde(default = "over")]
    pub over_share_worth: f64,
    /// What each scheduler may hold.
    #[serde(default)]
    pub limits: Limits,
}

fn start() -> u64 {
    1_795_978_800 // a Sunday, 19:00 UTC
}
fn one() -> u64 {
    1
}
fn three() -> u32 {
    3
}
fn over() -> f64 {
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
    pub copies: bool,
    /// They answer probes with their load.
    pub reports: bool,
    /// What jobs need and job workers keep; without it, nothing.
    pub things: Option<Things>,
}

impl Default for Machines {
    fn default() -> Self {
        Machines { order: Order::InOrder, cancel: false, copies: true, reports: true, things: None }
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
    pub share: f64,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// Its mean running time at speed 1.
    #[schemars(range(min = 0.001))]
    pub work_ms: f64,
    /// How running times spread.
    #[serde(default)]
    pub spread: Spread,
    /// The coefficient of variation (of a lognormal; an exponential's is 1).
    #[serde(default = "half")]
    pub cv: f64,
    /// Job workers that order by priority serve higher ones first.
    #[serde(default)]
    pub priority: i32,
    /// Shares of jobs with 1, 2, 4 ... slots.
    #[serde(default = "single")]
    pub slots: Vec<f64>,
    /// An answer within this time, and `stretch` times the job's own running time at speed 1, is in time.
    pub aim_ms: u64,
    /// See `aim-ms`.
    pub stretch: f64,
    /// A client waits so long over all its tries.
    #[schemars(range(min = 1))]
    pub deadline_ms: u64,
    /// Worth of a job in time.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
}

fn half() -> f64 {
    0.5
}
fn single() -> Vec<f64> {
    vec![1.0]
}

/// A parish.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Parish {
    /// Its name.
    pub name: String,
    /// Its share of what the fleet can do.
    pub share: f64,
    /// How much of its share it asks for in made load.
    #[serde(default = "whole")]
    pub usage: f64,
    /// Its kitchen, whose schedulers it calls; without one, in turn.
    pub zone: Option<String>,
}

fn whole() -> f64 {
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
    #[serde(default = "queue")]
    pub queue_per_core: f64,
    /// Share of its capacity that a cold one starts with.
    #[serde(default = "cold")]
    pub cold_from: f64,
    /// It is warm after so long.
    #[serde(default = "warm")]
    pub warm_s: f64,
}

fn queue() -> f64 {
    14.0
}
fn cold() -> f64 {
    0.4
}
fn warm() -> f64 {
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
        Network { same_ms: 0.2, cross_ms: 2.5, client_ms: 0.5, jitter: 0.2 }
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
    pub mark: bool,
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
            mark: true,
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
    pub silent_notice_ms: u64,
    /// A call takes so long.
    pub call_ms: u64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { notice_ms: 1_500, silent_notice_ms: 8_000, call_ms: 30 }
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
pub struct Trouble {
    /// When.
    pub at_s: f64,
    /// For how long.
    #[serde(default)]
    pub for_s: f64,
    /// Which job workers, by number from 0.
    pub workers: Vec<u32>,
    /// What.
    pub what: What,
}

/// What goes wrong with job workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum What {
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
        share: f64,
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
        Prices { cross_zone: 0.03, waste: 0.023, probe: 0.0025, late_fail: 0.072 }
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
        Limits { sockets: 1_024, memory_mb: 192, tick_ms: 2.0 }
    }
}

/// The published schema of the scenario file.
pub fn schema() -> serde_json::Value {
    document::schema::<Scenario>()
}

/// Reads a scenario: against its schema first, so that all that is wrong is told at once.
///
/// # Errors
/// Each thing that is wrong, with its place.
pub fn read(text: &str) -> Result<Scenario, String> {
    let scenario: Scenario = document::read("scenario", text).map_err(|wrong| wrong.join("\n"))?;
    let wrong = scenario.wrong();
    if wrong.is_empty() { Ok(scenario) } else { Err(wrong.join("\n")) }
}

impl Scenario {
    /// What no schema can say.
    fn wrong(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        let workers = self.workers();
        let twice = |names: Vec<&str>| names.iter().enumerate().any(|(n, name)| names[..n].contains(name));
        if twice(self.classes.iter().map(|c| c.name.as_str()).collect()) {
            wrong.push("at /classes: two have the same name".to_string());
        }
        if twice(self.parishes.iter().map(|p| p.name.as_str()).collect()) {
            wrong.push("at /parishes: two have the same name".to_string());
        }
        for (n, p) in self.parishes.iter().enumerate() {
            if let Some(zone) = p.zone.as_ref().filter(|z| !self.zones.contains(z)) {
                wrong.push(format!("at /parishes/{n}/zone: {zone:?} is none of the zones {:?}", self.zones));
            }
        }
        for (n, k) in self.kinds.iter().enumerate() {
            if !(k.speed[0] > 0.0 && k.speed[0] <= k.speed[1]) {
                wrong.push(format!("at /kinds/{n}/speed: wanted are two numbers over 0, the lower first"));
            }
            if !(k.cold_from > 0.0 && k.cold_from <= 1.0) {
                wrong.push(format!("at /kinds/{n}/cold-from: wanted is a share over 0 and up to 1"));
            }
        }
        if let Some(things) = &self.machines.things
            && !(things.fetch >= 0.0 && things.fetch <= 100.0 && things.at_once > 0.0)
        {
            wrong.push("at /machines/things: 'fetch' must be 0 to 100, 'at-once' over 0".to_string());
        }
        if workers == 0 {
            wrong.push("at /kinds: there is no job worker".to_string());
        }
        for (n, t) in self.troubles.iter().enumerate() {
            match t.what {
                What::Slow { times } if !(times > 1.0 && times <= 1e3) => {
                    wrong.push(format!(
                        "at /troubles/{n}/what/slow/times: {times} given, over 1 and up to 1000 is allowed"
                    ));
                }
                What::HotThings { share, .. } if !(0.0..=1.0).contains(&share) => {
                    wrong.push(format!(
                        "at /troubles/{n}/what/hot-things/share: {share} given, 0 to 1 is allowed"
                    ));
                }
                _ => {}
            }
            if let Some(w) = t.workers.iter().find(|w| **w >= workers) {
                wrong.push(format!(
                    "at /troubles/{n}/workers: there is no job worker {w}; they are 0 to {}",
                    workers - 1
                ));
            }
        }
        wrong
    }

    /// Job workers in all.
    pub fn workers(&self) -> u32 {
        self.kinds.iter().map(|k| k.count).sum()
    }

    /// The kind of a job worker: kinds are dealt out in order.
    pub fn kind_of(&self, worker: u32) -> usize {
        let mut before = 0;
        for (n, kind) in self.kinds.iter().enumerate() {
            before += kind.count;
            if worker < before {
                return n;
            }
        }
        self.kinds.len() - 1
    }

    /// The zone of a scheduler or job worker.
    pub fn zone_of(&self, number: u32) -> u32 {
        number % self.zones.len() as u32
    }

    /// A job worker's speed.
    pub fn speed_of(&self, worker: u32) -> f64 {
        let [low, high] = self.kinds[self.kind_of(worker)].speed;
        low + (high - low)
            * crate::random::unit(&mut crate::random::draw(self.fleet_seed, worker.into(), 0x59eed))
    }

    /// The kitchen whose schedulers a job's client calls.
    pub fn home(&self, parish: Option<u32>, number: u64) -> u32 {
        let zones = self.zones.len() as u32;
        let of = parish.map(|p| {
            let named = self.parishes[p as usize].zone.as_ref();
            named.and_then(|z| self.zones.iter().position(|o| o == z)).map_or(p % zones, |z| z as u32)
        });
        of.unwrap_or((number % u64::from(zones)) as u32)
    }

    /// A kitchen's schedulers in turn; where it has none, all are.
    pub fn scheduler_of(&self, zone: u32, turn: u32) -> u32 {
        let (zones, all) = (self.zones.len() as u32, self.schedulers);
        let own = (all + zones - 1 - zone) / zones;
        if own == 0 { turn % all } else { zone + zones * (turn % own) }
    }

    /// When it starts, in microseconds since 1970.
    pub fn from(&self) -> Micros {
        self.start * 1_000_000
    }

    /// First tries a second that the fleet can do when warm, for the quota of each parish.
    pub fn capacity(&self) -> f64 {
        let cores: f64 =
            self.kinds.iter().map(|k| f64::from(k.count * k.cores) * (k.speed[0] + k.speed[1]) / 2.0).sum();
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let work: f64 =
            self.classes.iter().map(|c| c.share / shares * c.work_ms / 1e3 * c.mean_slots()).sum();
        cores / work
    }

    /// Running time of a job at speed 1, on the mean over all classes.
    pub fn mean_work(&self) -> Micros {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        (self.classes.iter().map(|c| c.share / shares * c.work_ms * 1e3).sum::<f64>()) as Micros
    }

    /// The same times its slots: what a job takes of a job worker, on the mean, in microseconds at speed 1.
    pub fn mean_total_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share / shares * c.work_ms * 1e3 * c.mean_slots()).sum()
    }

    /// The settings of a scheduler in the platform's form.
    pub fn settings(&self, me: u32) -> serde_json::Value {
        let capacity = self.capacity();
        let us = |ms: f64| (ms * 1e3) as u64;
        let profiles: Vec<_> = self
            .classes
            .iter()
            .map(|c| {
                let mut p = json!({"name": c.name, "aim": c.aim_ms * 1000, "deadline": c.deadline_ms * 1000,
                    "worth": c.worth, "lateWorth": c.late_worth});
                match c.effect {
                    Effect::Safe => p["effect"] = "safe".into(),
                    Effect::Unsafe => p["effect"] = "unsafe".into(),
                    Effect::Keyed(ms) => {
                        p["effect"] = "keyed".into();
                        p["group"] = "all".into();
                        p["keyTtl"] = (ms * 1000).into();
                    }
                }
                p
            })
            .collect();
        let customers: Vec<_> = self
            .parishes
            .iter()
            .map(|p| json!({"name": p.name, "quotaPerS": p.share * capacity, "fraction": p.share}))
            .collect();
        let cold = self.kinds.iter().map(|k| k.cold_from).fold(1.0, f64::min);
        json!({
            "balancers": self.schedulers, "me": me, "zones": self.zones,
            "myZone": self.zones[self.zone_of(me) as usize],
            "kinds": self.kinds.iter().map(|k| k.name.as_str()).collect::<Vec<_>>(),
            "granularity": us(self.limits.tick_ms), "discovery": "on_request",
            "overShareWorth": self.over_share_worth, "worthBy": "request",
            "charges": {"crossZone": self.prices.cross_zone, "probe": self.prices.probe,
                "waste": self.prices.waste, "lateFail": self.prices.late_fail},
            "customers": customers,
            "domain": {"classKind": vec![-1; self.classes.len()],
                "classStretch": self.classes.iter().map(|c| c.stretch).collect::<Vec<_>>(),
                "classPriority": self.classes.iter().map(|c| c.priority).collect::<Vec<_>>(),
                "progress": 1_000_000, "tellsStart": true, "reportX0": "free slots"},
            "policyLimits": {"attemptsCap": self.rules.attempts, "cancel": true, "connIdle": 5_000_000,
                "dialTimeout": 200_000, "maxRetryAfter": self.clients.max_retry_after_ms * 1000,
                "mayDuplicate": self.machines.copies, "peers": false, "probes": self.machines.reports,
                "retryAfter": true},
            "profiles": profiles,
            "rules": {"answerSlack": self.rules.answer_slack_ms * 1000, "askWithin": 10_000_000, "coldFrom": cold,
                "drainGrace": self.rules.drain_grace_ms * 1000, "overloadFor": self.rules.tip_window_ms * 1000,
                "tipMultiple": self.rules.tip_multiple, "warmAfter": us(self.rules.warm_after_s * 1e3)},
            "telemetry": {"names": if self.machines.reports { vec!["queue", "inflight", "x0"] } else { vec![] },
                "source": if self.machines.reports { "on_probe" } else { "off" }},
        })
    }

    /// The same, as the scheduler reads it.
    ///
    /// # Errors
    /// What the scheduler does not take.
    pub fn site(&self, me: u32) -> Result<Site, String> {
        let mut site = Site::read(self.settings(me).to_string().into_bytes())?;
        // As the program does on sockets.
        site.settings.limits.open = Some(self.limits.sockets as usize / 4);
        Ok(site)
    }
}

impl Class {
    /// Slots of a job on the mean.
    pub fn mean_slots(&self) -> f64 {
        let all: f64 = self.slots.iter().sum();
        self.slots.iter().enumerate().map(|(n, s)| s / all * f64::from(1u32 << n.min(16))).sum()
    }

    /// How long a client waits.
    pub fn deadline(&self) -> Micros {
        self.deadline_ms * 1000
    }
}
