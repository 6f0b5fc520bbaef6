//! Checks of a scenario that a JSON schema cannot express.

use super::{Fault, FaultKind, Kind, Scenario};

impl Scenario {
    /// Returns all errors of the scenario, each with its place in the file.
    pub(super) fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if has_duplicates(self.classes.iter().map(|c| c.name.as_str())) {
            errors.push("at /classes: two have the same name".to_string());
        }
        if has_duplicates(self.parishes.iter().map(|p| p.name.as_str())) {
            errors.push("at /parishes: two have the same name".to_string());
        }
        for (n, parish) in self.parishes.iter().enumerate() {
            if let Some(zone) = parish.zone.as_ref().filter(|z| !self.zones.contains(z)) {
                errors.push(format!(
                    "at /parishes/{n}/zone: {zone:?} is none of the zones {:?}",
                    self.zones
                ));
            }
        }
        for (n, kind) in self.kinds.iter().enumerate() {
            check_kind(n, kind, &mut errors);
        }
        if let Some(things) = &self.machines.things
            && !(things.fetch >= 0.0 && things.fetch <= 100.0 && things.at_once > 0.0)
        {
            errors.push(
                "at /machines/things: 'fetch' must be 0 to 100, 'at-once' over 0".to_string(),
            );
        }
        if self.workers() == 0 {
            errors.push("at /kinds: there is no job worker".to_string());
        }
        for (n, fault) in self.faults.iter().enumerate() {
            check_fault(n, fault, self.workers(), &mut errors);
        }
        errors
    }
}

fn has_duplicates<'a>(names: impl Iterator<Item = &'a str>) -> bool {
    let names: Vec<&str> = names.collect();
    let mut earlier = names.iter().enumerate();
    earlier.any(|(n, name)| names[..n].contains(name))
}

fn check_kind(n: usize, kind: &Kind, errors: &mut Vec<String>) {
    let [low, high] = kind.speed;
    if !(low > 0.0 && low <= high) {
        errors.push(format!(
            "at /kinds/{n}/speed: two numbers over 0 are required, the lower first"
        ));
    }
    if !(kind.initial_capacity > 0.0 && kind.initial_capacity <= 1.0) {
        errors.push(format!(
            "at /kinds/{n}/cold-from: a fraction over 0 and up to 1 is required"
        ));
    }
}

fn check_fault(n: usize, fault: &Fault, workers: u32, errors: &mut Vec<String>) {
    match fault.what {
        FaultKind::Slow { times } if !(times > 1.0 && times <= 1e3) => {
            errors.push(format!(
                "at /troubles/{n}/what/slow/times: {times} given, over 1 and up to 1000 is allowed"
            ));
        }
        FaultKind::HotThings { fraction, .. } if !(0.0..=1.0).contains(&fraction) => {
            errors.push(format!(
                "at /troubles/{n}/what/hot-things/share: {fraction} given, 0 to 1 is allowed"
            ));
        }
        _ => {}
    }
    if let Some(worker) = fault.workers.iter().find(|worker| **worker >= workers) {
        errors.push(format!(
            "at /troubles/{n}/workers: there is no job worker {worker}; they are 0 to {}",
            workers - 1
        ));
    }
}
