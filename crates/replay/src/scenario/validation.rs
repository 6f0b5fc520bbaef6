//! What is wrong with a scenario that no schema can say.

use super::{FaultKind, Scenario};

impl Scenario {
    /// What no schema can say.
    pub(super) fn wrong(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        let workers = self.workers();
        let twice = |names: Vec<&str>| {
            names
                .iter()
                .enumerate()
                .any(|(n, name)| names[..n].contains(name))
        };
        if twice(self.classes.iter().map(|c| c.name.as_str()).collect()) {
            wrong.push("at /classes: two have the same name".to_string());
        }
        if twice(self.parishes.iter().map(|p| p.name.as_str()).collect()) {
            wrong.push("at /parishes: two have the same name".to_string());
        }
        for (n, p) in self.parishes.iter().enumerate() {
            if let Some(zone) = p.zone.as_ref().filter(|z| !self.zones.contains(z)) {
                wrong.push(format!(
                    "at /parishes/{n}/zone: {zone:?} is none of the zones {:?}",
                    self.zones
                ));
            }
        }
        for (n, k) in self.kinds.iter().enumerate() {
            if !(k.speed[0] > 0.0 && k.speed[0] <= k.speed[1]) {
                wrong.push(format!(
                    "at /kinds/{n}/speed: wanted are two numbers over 0, the lower first"
                ));
            }
            if !(k.initial_capacity > 0.0 && k.initial_capacity <= 1.0) {
                wrong.push(format!(
                    "at /kinds/{n}/cold-from: wanted is a share over 0 and up to 1"
                ));
            }
        }
        if let Some(things) = &self.machines.things
            && !(things.fetch >= 0.0 && things.fetch <= 100.0 && things.at_once > 0.0)
        {
            wrong.push(
                "at /machines/things: 'fetch' must be 0 to 100, 'at-once' over 0".to_string(),
            );
        }
        if workers == 0 {
            wrong.push("at /kinds: there is no job worker".to_string());
        }
        for (n, t) in self.faults.iter().enumerate() {
            match t.what {
                FaultKind::Slow { times } if !(times > 1.0 && times <= 1e3) => {
                    wrong.push(format!(
                        "at /troubles/{n}/what/slow/times: {times} given, over 1 and up to 1000 is allowed"
                    ));
                }
                FaultKind::HotThings { fraction, .. } if !(0.0..=1.0).contains(&fraction) => {
                    wrong.push(format!(
                        "at /troubles/{n}/what/hot-things/share: {fraction} given, 0 to 1 is allowed"
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
}
