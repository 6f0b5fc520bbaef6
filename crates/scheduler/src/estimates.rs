//! Estimates of the total and remaining run times of outstanding runs.

use crate::cluster_view::ClusterView;
use crate::jobs::Run;
use crate::queue::StepRef;
use crate::services::ServiceState;
use crate::worker::WorkerId;
use indigofold_protocol::task::TaskName;

/// Minimum progress, in percent, from which a run's total time is projected.
const CONCLUSIVE_PERCENT: u32 = 10;

impl ClusterView<'_> {
    /// Expected time until a run ends, in milliseconds; 0 if there is no such run. For a run that is being stopped it
    /// is the rest of the time limit for stops.
    pub(crate) fn remaining_ms(&self, id: WorkerId, task: &TaskName) -> u64 {
        let Some(run) = self.run_at(id, task) else {
            return 0;
        };
        if let Some(stop) = run.stop() {
            let stopping_ms = self.now_ms.saturating_sub(stop.sent_ms);
            return self.bounds.stop_ms.saturating_sub(stopping_ms);
        }
        let elapsed_ms = self.now_ms.saturating_sub(run.placed_ms());
        let expected_ms = self.expected_run_ms(id, task);
        if let Some(total_ms) = projected_total_ms(run) {
            return total_ms.saturating_sub(elapsed_ms);
        }
        let remaining_work_ms = expected_ms * f64::from(100 - run.percent().min(100)) / 100.0;
        let unreported_ms = if run.percent() == 0 { elapsed_ms } else { 0 };
        (remaining_work_ms as u64).saturating_sub(unreported_ms)
    }

    /// Expected total run time of the task on this worker, in milliseconds, including the slowdown of a remote run; 0
    /// if the task's step is unknown.
    pub(crate) fn expected_run_ms(&self, id: WorkerId, task: &TaskName) -> f64 {
        let step_ref = StepRef::of(task);
        let Some(traits) = self.jobs.traits(step_ref) else {
            return 0.0;
        };
        let remote_factor = self.run_at(id, task).map_or(1.0, Run::remote_factor);
        let kinds = self.services.get(&traits.service).map(ServiceState::kinds);
        kinds.map_or(0.0, |kinds| {
            kinds.expected_ms(id, &traits.class, traits.estimate_ms)
        }) * remote_factor
    }
}

/// Total run time projected from the progress so far, in milliseconds. `None` while the progress is below
/// [`CONCLUSIVE_PERCENT`], and for runs that resumed from a checkpoint or were placed by a predecessor, as their
/// progress says nothing about their time since placement.
pub(crate) fn projected_total_ms(run: &Run) -> Option<u64> {
    let is_conclusive = (CONCLUSIVE_PERCENT..100).contains(&run.percent()) && !run.is_resumed();
    let elapsed_ms = run.percent_changed_at_ms().saturating_sub(run.placed_ms());
    is_conclusive.then(|| elapsed_ms * 100 / u64::from(run.percent()))
}
