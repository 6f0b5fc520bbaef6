//! One run of a task on a worker: its progress, its checkpoints, and when and how it ends.

use super::record::Moment;
use crate::job::Step;
use crate::settings::Bounds;
use crate::task::{RunName, TaskName};
use crate::wire::EndReason;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Number of hexadecimal digits at the start of a checkpoint that hold the progress in milliseconds.
const PROGRESS_DIGITS: usize = 8;

/// How a run ends unless an order or a fault ends it earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlannedEnd {
    /// Ends `done` once its work is done.
    Done,
    /// Fails halfway through its work.
    Fails,
    /// Makes no progress and does not end.
    Hangs,
    /// Makes progress and does not end until it is stopped.
    RunsUntilStopped,
}

/// Present phase of a run.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Waits until `until` for the other members of its gang.
    Waiting { until: Moment },
    /// Works since `from`, when `before` of the work had already been done.
    Working { from: Moment, before: Duration },
}

/// A run that is present on an instance.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The run's name.
    pub name: RunName,
    /// Whether its step is a gang.
    pub gang: bool,
    planned_end: PlannedEnd,
    /// Total work; progress grows from zero to this.
    work: Duration,
    /// Whether it writes checkpoints.
    checkpoints: bool,
    phase: Phase,
    /// When the run ends by a stop order; `None` if it has received none.
    stop_at: Option<Moment>,
    /// The newest checkpoint, initially that of the start order.
    checkpoint: String,
    /// Work between two checkpoints.
    checkpoint_interval: Duration,
}

impl Run {
    /// Creates a run that starts from the checkpoint of its order. A member of a gang waits for the others first.
    pub(super) fn new(
        name: RunName,
        step: &Step,
        planned_end: PlannedEnd,
        checkpoint: String,
        bounds: &Bounds,
        now: Moment,
    ) -> Self {
        let mut run = Run {
            name,
            gang: step.gang,
            planned_end,
            work: step.behaviour.work,
            checkpoints: step.checkpoints,
            phase: Phase::Waiting {
                until: now + bounds.gang,
            },
            stop_at: None,
            checkpoint,
            checkpoint_interval: bounds.checkpoint_interval,
        };
        if !step.gang {
            run.begin(bounds, now);
        }
        run
    }

    /// Begins the work, after the restore time if it resumes from a checkpoint.
    pub(super) fn begin(&mut self, bounds: &Bounds, now: Moment) {
        let before = progress_of(&self.checkpoint);
        let from = if before.is_zero() {
            now
        } else {
            now + bounds.restore
        };
        self.phase = Phase::Working { from, before };
    }

    /// Whether the run waits for the other members of its gang.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. })
    }

    /// Schedules the end by a stop order, after the stop bound.
    pub(super) fn stop(&mut self, bounds: &Bounds, now: Moment) {
        self.stop_at.get_or_insert(now + bounds.stop);
    }

    /// When and why the run ends in its present state; `None` if it does not end without an order.
    pub(super) fn due(&self) -> Option<(Moment, EndReason)> {
        let own = match self.phase {
            Phase::Waiting { until } => Some((until, EndReason::Alone)),
            Phase::Working { from, before } => match self.planned_end {
                PlannedEnd::Done => {
                    Some((from + self.work.saturating_sub(before), EndReason::Done))
                }
                PlannedEnd::Fails => Some((
                    from + (self.work / 2).saturating_sub(before),
                    EndReason::Failed,
                )),
                PlannedEnd::Hangs | PlannedEnd::RunsUntilStopped => None,
            },
        };
        let stop = self.stop_at.map(|at| (at, EndReason::Stopped));
        [own, stop].into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    fn progress(&self, now: Moment) -> Duration {
        match self.phase {
            Phase::Working { from, before } if self.planned_end != PlannedEnd::Hangs => {
                (before + now.saturating_sub(from)).min(self.work)
            }
            Phase::Working { before, .. } => before,
            Phase::Waiting { .. } => progress_of(&self.checkpoint),
        }
    }

    /// The progress in percent of the work.
    pub(super) fn percent(&self, now: Moment) -> u32 {
        (self.progress(now).as_millis() * 100 / self.work.as_millis().max(1)) as u32
    }

    /// The newest checkpoint; a new one is written after each interval of work.
    pub(super) fn checkpoint(&mut self, now: Moment) -> String {
        let interval_ms = self.checkpoint_interval.as_millis().max(1);
        let checkpoint_ms = self.progress(now).as_millis() / interval_ms * interval_ms;
        self.update_checkpoint(Duration::from_millis(checkpoint_ms as u64));
        self.checkpoint.clone()
    }

    /// The checkpoint at the run's end. A stopped run saves all of its progress.
    pub(super) fn final_checkpoint(&mut self, reason: EndReason, now: Moment) -> String {
        if reason == EndReason::Stopped {
            self.update_checkpoint(self.progress(now));
            return self.checkpoint.clone();
        }
        self.checkpoint(now)
    }

    fn update_checkpoint(&mut self, progress: Duration) {
        if self.checkpoints && progress > progress_of(&self.checkpoint) {
            let tag = owner_tag(&self.name.task, self.gang);
            self.checkpoint = format!("{:0PROGRESS_DIGITS$x}{tag:016x}", progress.as_millis());
        }
    }
}

/// The part of a checkpoint that identifies its owner, a task or a gang.
fn owner_tag(task: &TaskName, gang: bool) -> u64 {
    let mut hasher = DefaultHasher::new();
    (
        &task.job,
        task.repeat,
        task.step,
        if gang { u32::MAX } else { task.index },
    )
        .hash(&mut hasher);
    hasher.finish()
}

/// Whether a checkpoint was written by this task, or by its gang.
pub(super) fn is_checkpoint_of(checkpoint: &str, task: &TaskName, gang: bool) -> bool {
    checkpoint.get(PROGRESS_DIGITS..) == Some(&format!("{:016x}", owner_tag(task, gang)))
}

fn progress_of(checkpoint: &str) -> Duration {
    let digits = checkpoint.get(..PROGRESS_DIGITS);
    Duration::from_millis(
        digits
            .and_then(|digits| u64::from_str_radix(digits, 16).ok())
            .unwrap_or(0),
    )
}
