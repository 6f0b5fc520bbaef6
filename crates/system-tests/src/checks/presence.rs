//! Which runs are present on which instance, event by event.

use crate::environment::{Event, InstanceIndex};
use crate::task::RunName;
use std::collections::BTreeMap;

/// The present runs of each instance after the events that were applied.
#[derive(Default)]
pub(super) struct Presence {
    runs: BTreeMap<InstanceIndex, Vec<RunName>>,
}

impl Presence {
    /// Applies the next event of a record.
    pub(super) fn apply(&mut self, event: &Event) {
        match event {
            Event::Started { instance, run, .. } => {
                self.runs.entry(*instance).or_default().push(run.clone());
            }
            Event::Ended { instance, run, .. } => {
                let present = self.runs.entry(*instance).or_default();
                present.retain(|other| other != run);
            }
            Event::InstanceEnded { instance } => _ = self.runs.remove(instance),
            _ => {}
        }
    }

    /// The runs of one instance.
    pub(super) fn on(&self, instance: InstanceIndex) -> &[RunName] {
        self.runs.get(&instance).map_or(&[], Vec::as_slice)
    }

    /// The runs of all instances.
    pub(super) fn everywhere(&self) -> impl Iterator<Item = (InstanceIndex, &RunName)> {
        self.runs
            .iter()
            .flat_map(|(instance, runs)| runs.iter().map(|run| (*instance, run)))
    }
}
