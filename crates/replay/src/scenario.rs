//! The scenario file: schedulers, workers, clients, load and faults.

mod form;
mod settings;
mod validation;

use crate::error::{DocumentSnafu, ReplayError, ScenarioSnafu};
pub use form::*;
use indigofold_traffic::document;
use snafu::ResultExt;

/// Microseconds.
pub type Micros = u64;

/// The published schema of the scenario file.
pub fn schema() -> serde_json::Value {
    document::schema::<Scenario>()
}

/// Reads a scenario: against its schema first, so that everything that is wrong is reported at once.
///
/// # Errors
/// Each thing that is wrong, with its place.
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
    /// Job workers in all.
    pub fn workers(&self) -> u32 {
        self.kinds.iter().map(|k| k.count).sum()
    }

    /// The kind of a worker: kinds are assigned in order.
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

    /// The zone of a scheduler or worker.
    pub fn zone_of(&self, number: u32) -> u32 {
        number % self.zones.len() as u32
    }

    /// A worker's speed.
    pub fn speed_of(&self, worker: u32) -> f64 {
        let [low, high] = self.kinds[self.kind_of(worker)].speed;
        low + (high - low)
            * crate::sampling::unit(&mut crate::sampling::draw(
                self.fleet_seed,
                worker.into(),
                0x59eed,
            ))
    }

    /// The kitchen whose schedulers a job's client calls.
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

    /// A kitchen's schedulers in turn; where it has none, all are.
    pub fn scheduler_of(&self, zone: u32, turn: u32) -> u32 {
        let (zones, all) = (self.zones.len() as u32, self.schedulers);
        let own = (all + zones - 1 - zone) / zones;
        if own == 0 {
            turn % all
        } else {
            zone + zones * (turn % own)
        }
    }

    /// When it starts, in microseconds since 1970.
    pub fn from(&self) -> Micros {
        self.start * 1_000_000
    }

    /// First tries a second that the fleet can do when warm, for the quota of each parish.
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

    /// Running time of a job at speed 1, on the mean over all classes.
    pub fn mean_work(&self) -> Micros {
        let weights: f64 = self.classes.iter().map(|c| c.weight).sum();
        (self
            .classes
            .iter()
            .map(|c| c.weight / weights * c.work_ms * 1e3)
            .sum::<f64>()) as Micros
    }

    /// The mean of running time times slots over all classes, in microseconds at speed 1.
    pub fn mean_total_work(&self) -> f64 {
        let weights: f64 = self.classes.iter().map(|c| c.weight).sum();
        self.classes
            .iter()
            .map(|c| c.weight / weights * c.work_ms * 1e3 * c.mean_slots())
            .sum()
    }
}

impl Class {
    /// Slots of a job on the mean.
    pub fn mean_slots(&self) -> f64 {
        let all: f64 = self.slots.iter().sum();
        self.slots
            .iter()
            .enumerate()
            .map(|(n, s)| s / all * f64::from(1u32 << n.min(16)))
            .sum()
    }

    /// How long a client waits.
    pub fn deadline(&self) -> Micros {
        self.deadline_ms * 1000
    }
}
