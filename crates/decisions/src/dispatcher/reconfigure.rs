//! Application of new settings at run time: open requests keep the rules that their class had when they arrived, and
//! statistics stay.

use super::Dispatcher;
use super::state::ClassStats;
use crate::api::{Class, Settings};

impl Dispatcher {
    /// Applies new settings.
    pub(super) fn reconfigure(&mut self, mut settings: Settings) {
        let current_classes = std::mem::take(&mut self.settings.classes);
        let new_classes = std::mem::replace(&mut settings.classes, current_classes);
        self.arrivals
            .add_tenants(settings.tenants.iter().map(|tenant| tenant.fraction));
        self.settings = settings;
        for (id, class) in new_classes.into_iter().enumerate() {
            self.replace_class(id, class);
        }
    }

    /// Stores changed rules of a class at an index that no open request uses. Unused indices are reused, so that the
    /// tables stay small.
    fn replace_class(&mut self, id: usize, class: Class) {
        let current_index = self.class_of.get(id).copied();
        if current_index.is_some_and(|index| self.settings.classes[index] == class) {
            return;
        }
        let stats = current_index.map_or_else(
            || ClassStats::initial(&class),
            |index| self.classes[index].clone(),
        );
        let index = self.unused_class_index();
        let classes = self.classes.len().max(index + 1);
        self.classes.resize(classes, ClassStats::default());
        self.settings.classes.resize(classes, Class::UNKNOWN);
        self.queues.resize(classes);
        let ids = self.class_of.len().max(id + 1);
        self.class_of.resize(ids, index);
        self.classes[index] = stats;
        self.settings.classes[index] = class;
        self.class_of[id] = index;
    }

    /// The first index that no class and no open request uses, or the index past the end.
    fn unused_class_index(&self) -> usize {
        let is_used = |index: &usize| {
            self.class_of.contains(index) || self.open.values().any(|open| open.job.class == *index)
        };
        let is_unused =
            |index: &usize| !is_used(index) && self.settings.classes[*index] != Class::UNKNOWN;
        let count = self.classes.len();
        (0..count).find(is_unused).unwrap_or(count)
    }
}
