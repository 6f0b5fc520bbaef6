//! Other settings while requests are open: these keep their class, and what was learned stays.

use super::*;

impl Dispatcher {
    /// A class whose rules change gets a place in the tables that no open request is of: they stay small.
    pub(super) fn retune(&mut self, mut settings: Settings) {
        let wanted = std::mem::replace(
            &mut settings.classes,
            std::mem::take(&mut self.settings.classes),
        );
        self.arrivals
            .tenants(settings.tenants.iter().map(|t| t.fraction));
        self.settings = settings;
        for (id, class) in wanted.into_iter().enumerate() {
            let known = self.class_of.get(id).copied();
            if known.is_some_and(|i| self.settings.classes[i] == class) {
                continue;
            }
            let stat = known.map_or_else(|| ClassStat::of(&class), |i| self.classes[i].clone());
            let used =
                |i: &usize| self.class_of.contains(i) || self.open.values().any(|o| o.class == *i);
            let spare = |i: &usize| !used(i) && self.settings.classes[*i] != Class::UNKNOWN;
            let i = (0..self.classes.len())
                .find(spare)
                .unwrap_or(self.classes.len());
            self.classes
                .resize(self.classes.len().max(i + 1), ClassStat::default());
            self.settings
                .classes
                .resize(self.classes.len(), Class::UNKNOWN);
            self.held.resize(4 * self.classes.len(), VecDeque::new());
            self.class_of.resize(self.class_of.len().max(id + 1), i);
            (self.classes[i], self.settings.classes[i], self.class_of[id]) = (stat, class, i);
        }
    }
}
