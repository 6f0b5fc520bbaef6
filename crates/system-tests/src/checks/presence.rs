//! Tracks which runs are present on each instance, event by event.

use crate::environment::{Event, InstanceIndex};
use crate::task::RunName;
use std::collections::BTreeMap;

/// The runs that are present on each instance after the events applied so far.
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

    /// The runs that are present on one instance.
    pub(super) fn on(&self, instance: InstanceIndex) -> &[RunName] {
        self.runs.get(&instance).map_or(&[], Vec::as_slice)
    }

    /// The present runs of all instances, each with its instance.
    pub(super) fn everywhere(&self) -> impl Iterator<Item = (InstanceIndex, &RunName)> {
        self.runs
            .iter()
            .flat_map(|(instance, runs)| runs.iter().map(|run| (*instance, run)))
    }
}
