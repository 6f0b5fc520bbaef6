//! Checks the record of a test against the rules that the cluster must keep.

mod case;
mod jobs;
mod placement;
mod presence;
mod runs;

pub use case::{Exemptions, Rule, Violation};

use crate::environment::{Moment, Record};
use crate::settings::Bounds;
use case::Case;

/// Returns every violation of a rule up to `now`; empty if all rules were kept.
pub fn violations(
    record: &Record,
    bounds: &Bounds,
    exemptions: Exemptions,
    now: Moment,
) -> Vec<Violation> {
    let mut case = Case::new(record, bounds, now);
    placement::limit(&mut case);
    placement::route(&mut case);
    placement::drain(&mut case);
    runs::twice(&mut case);
    runs::order(&mut case);
    runs::attempts(&mut case);
    runs::budget(&mut case);
    if !exemptions.gangs {
        runs::gangs(&mut case);
    }
    jobs::unasked(&mut case);
    if !exemptions.late_stops {
        jobs::cancelled(&mut case);
    }
    jobs::shown(&mut case);
    jobs::unreadable(&mut case);
    case.into_violations()
}
