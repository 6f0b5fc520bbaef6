//! One run of a task on a worker: its progress, its checkpoints, and the end it comes to.

use super::record::Moment;
use crate::job::Step;
use crate::settings::Bounds;
use crate::task::{RunName, TaskName};
use crate::wire::EndReason;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Hexadecimal digits of the progress, in milliseconds, at the front of a checkpoint.
const PROGRESS_DIGITS: usize = 8;

/// The end a run comes to if neither an order nor a fault ends it before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// With its work done.
    Done,
    /// Halfway, by failing.
    Fails,
    /// Never; it makes no progress.
    Hangs,
    /// Never; it runs until it is stopped.
    RunsUntilStopped,
}

/// What a run does at present.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Waits for the other members of its gang, up to `until`.
    Waiting { until: Moment },
    /// Works; `before` had been done at `from`.
    Working { from: Moment, before: Duration },
}

/// A run that is present on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Its name.
    pub name: RunName,
    /// Its step is a gang.
    pub gang: bool,
    fate: Fate,
    /// All of its work; progress goes from zero to it.
    work: Duration,
    /// Whether it writes checkpoints.
    checkpoints: bool,
    phase: Phase,
    /// When it ends by a stop order.
    stop_at: Option<Moment>,
    /// The newest checkpoint, at first that of its order; progress is counted from it.
    checkpoint: String,
    /// Work between two checkpoints.
    checkpoint_interval: Duration,
}

impl Run {
    /// A run that has just been started, with the checkpoint of its order. A member of a gang waits for the others.
    pub(super) fn new(
        name: RunName,
        step: &Step,
        fate: Fate,
        checkpoint: String,
        bounds: &Bounds,
        now: Moment,
    ) -> Self {
        let mut run = Run {
            name,
            gang: step.gang,
            fate,
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

    /// Begins its work.
    pub(super) fn begin(&mut self, bounds: &Bounds, now: Moment) {
        let before = progress_of(&self.checkpoint);
        let from = if before.is_zero() {
            now
        } else {
            now + bounds.restore
        };
        self.phase = Phase::Working { from, before };
    }

    /// Whether it waits for the other members of its gang.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. })
    }

    /// Stops it within the bound.
    pub(super) fn stop(&mut self, bounds: &Bounds, now: Moment) {
        self.stop_at.get_or_insert(now + bounds.stop);
    }

    /// When and how it ends, as things stand.
    pub(super) fn due(&self) -> Option<(Moment, EndReason)> {
        let own = match self.phase {
            Phase::Waiting { until } => Some((until, EndReason::Alone)),
            Phase::Working { from, before } => match self.fate {
                Fate::Done => Some((from + self.work.saturating_sub(before), EndReason::Done)),
                Fate::Fails => Some((
                    from + (self.work / 2).saturating_sub(before),
                    EndReason::Failed,
                )),
                Fate::Hangs | Fate::RunsUntilStopped => None,
            },
        };
        let stop = self.stop_at.map(|at| (at, EndReason::Stopped));
        [own, stop].into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    fn progress(&self, now: Moment) -> Duration {
        match self.phase {
            Phase::Working { from, before } if self.fate != Fate::Hangs => {
                (before + now.saturating_sub(from)).min(self.work)
            }
            Phase::Working { before, .. } => before,
            Phase::Waiting { .. } => progress_of(&self.checkpoint),
        }
    }

    /// Its progress in percent.
    pub(super) fn percent(&self, now: Moment) -> u32 {
        (self.progress(now).as_millis() * 100 / self.work.as_millis().max(1)) as u32
    }

    /// Its checkpoint: a new one after each interval of work.
    pub(super) fn checkpoint(&mut self, now: Moment) -> String {
        let interval_ms = self.checkpoint_interval.as_millis().max(1);
        let checkpoint_ms = self.progress(now).as_millis() / interval_ms * interval_ms;
        self.update_checkpoint(Duration::from_millis(checkpoint_ms as u64));
        self.checkpoint.clone()
    }

    /// Its checkpoint at its end. A stopped run saves all of its progress.
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

/// The part of a checkpoint that identifies its owner: a task, or a gang.
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
