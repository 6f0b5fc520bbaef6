//! The scenario file: schedulers, workers, clients, load and faults.

mod form;
mod settings;
mod validation;

use crate::error::{DocumentSnafu, ReplayError, ScenarioSnafu};
pub use form::*;
use indigofold_traffic::document;
use snafu::ResultExt;

/// A time since 1970 or a duration, in microseconds.
pub type Micros = u64;

/// Returns the published JSON schema of the scenario file.
pub fn schema() -> serde_json::Value {
    document::schema::<Scenario>()
}

/// Parses a scenario. It is validated against its schema first, so that all schema errors are reported at once.
///
/// # Errors
/// All errors, each with its place in the file.
pub fn read(text: &str) -> Result<Scenario, ReplayError> {
    let scenario: Scenario = document::read("scenario", text).context(DocumentSnafu)?;
    let errors = scenario.validation_errors();
    if errors.is_empty() {
        Ok(scenario)
    } else {
        ScenarioSnafu { errors }.fail()
    }
}

impl Scenario {
    /// Total number of job workers of all kinds.
    pub fn workers(&self) -> u32 {
        self.kinds.iter().map(|k| k.count).sum()
    }

    /// Returns the index of a worker's kind: workers are numbered kind after kind.
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

    /// Returns the zone of the scheduler or worker with this number; zones are assigned round-robin.
    pub fn zone_of(&self, number: u32) -> u32 {
        number % self.zones.len() as u32
    }

    /// Returns a worker's speed, drawn from its kind's range by `fleet_seed`: the same in every run.
    pub fn speed_of(&self, worker: u32) -> f64 {
        let [low, high] = self.kinds[self.kind_of(worker)].speed;
        low + (high - low)
            * crate::sampling::unit(&mut crate::sampling::draw(
                self.fleet_seed,
                worker.into(),
                0x59eed,
            ))
    }

    /// Returns the zone whose schedulers a job's client calls: the parish's configured zone, otherwise one derived from the
    /// index of the parish, or from the job's `number` if the parish is unknown.
    pub fn home(&self, parish: Option<u32>, number: u64) -> u32 {
        let zones = self.zones.len() as u32;
        let of = parish.map(|p| {
            let named = self.parishes[p as usize].zone.as_ref();
            named
                .and_then(|z| self.zones.iter().position(|o| o == z))
                .map_or(p % zones, |z| z as u32)
        });
        of.unwrap_or((number % u64::from(zones)) as u32)
    }

    /// Returns the scheduler for request number `turn` of a zone: round-robin over the schedulers of the zone, or over all
    /// schedulers if the zone has none.
    pub fn scheduler_of(&self, zone: u32, turn: u32) -> u32 {
        let (zones, all) = (self.zones.len() as u32, self.schedulers);
        let own = (all + zones - 1 - zone) / zones;
        if own == 0 {
            turn % all
        } else {
            zone + zones * (turn % own)
        }
    }

    /// Start of the scenario, in microseconds since 1970.
    pub fn from(&self) -> Micros {
        self.start * 1_000_000
    }

    /// First tries per second that the warm fleet can serve. The quota of each parish is a fraction of it.
    pub fn capacity(&self) -> f64 {
        let cores: f64 = self
            .kinds
            .iter()
            .map(|k| f64::from(k.count * k.cores) * (k.speed[0] + k.speed[1]) / 2.0)
            .sum();
        let weights: f64 = self.classes.iter().map(|c| c.weight).sum();
        let work: f64 = self
            .classes
            .iter()
            .map(|c| c.weight / weights * c.work_ms / 1e3 * c.mean_slots())
            .sum();
        cores / work
    }

    /// Mean running time of a job at speed 1 over all classes, in microseconds.
    pub fn mean_work(&self) -> Micros {
        let weights: f64 = self.classes.iter().map(|c| c.weight).sum();
        (self
            .classes
            .iter()
            .map(|c| c.weight / weights * c.work_ms * 1e3)
            .sum::<f64>()) as Micros
    }

    /// Mean of running time times slots over all classes, in microseconds at speed 1.
    pub fn mean_total_work(&self) -> f64 {
        let weights: f64 = self.classes.iter().map(|c| c.weight).sum();
        self.classes
            .iter()
            .map(|c| c.weight / weights * c.work_ms * 1e3 * c.mean_slots())
            .sum()
    }
}

impl Class {
    /// Mean number of slots of a job.
    pub fn mean_slots(&self) -> f64 {
        let all: f64 = self.slots.iter().sum();
        self.slots
            .iter()
            .enumerate()
            .map(|(n, s)| s / all * f64::from(1u32 << n.min(16)))
            .sum()
    }

    /// How long a client waits over all its tries, in microseconds.
    pub fn deadline(&self) -> Micros {
        self.deadline_ms * 1000
    }
}
