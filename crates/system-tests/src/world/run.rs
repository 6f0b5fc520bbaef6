//! One run of a task on a worker.

use super::record::Moment;
use crate::job::Step;
use crate::settings::Bounds;
use crate::task::{RunName, TaskName};
use crate::wire::How;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Hexadecimal digits of the progress at the front of a saved text.
const PROGRESS_DIGITS: usize = 8;

/// How a run will end if nothing comes between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// With its work done.
    Done,
    /// Halfway, by failing.
    Fails,
    /// Never; it makes no progress.
    Hangs,
    /// Never; it is at work until it is stopped.
    Lasts,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// For the other members of its gang.
    Waiting { until: Moment },
    /// `before` had been done at `from`.
    Working { from: Moment, before: Duration },
}

/// A run that is present on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its name.
    pub name: RunName,
    /// Its step is a gang.
    pub gang: bool,
    fate: Fate,
    work: Duration,
    checkpoints: bool,
    phase: Phase,
    stop_at: Option<Moment>,
    saved: String,
    save_every: Duration,
}

impl Run {
    /// A run that has just been started, with the progress that its order carried. A member of a gang waits.
    pub fn new(
        name: RunName,
        step: &Step,
        fate: Fate,
        saved: String,
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
            saved,
            save_every: bounds.save,
        };
        if !step.gang {
            run.begin(bounds, now);
        }
        run
    }

    /// Begins its work.
    pub fn begin(&mut self, bounds: &Bounds, now: Moment) {
        let before = progress_of(&self.saved);
        let from = if before.is_zero() {
            now
        } else {
            now + bounds.restore
        };
        self.phase = Phase::Working { from, before };
    }

    /// Whether it waits for the other members of its gang.
    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. })
    }

    /// It has been told to stop.
    pub fn stop(&mut self, bounds: &Bounds, now: Moment) {
        self.stop_at.get_or_insert(now + bounds.stop);
    }

    /// When and how it ends, as things stand.
    pub fn due(&self) -> Option<(Moment, How)> {
        let own = match self.phase {
            Phase::Waiting { until } => Some((until, How::Alone)),
            Phase::Working { from, before } => match self.fate {
                Fate::Done => Some((from + self.work.saturating_sub(before), How::Done)),
                Fate::Fails => Some((from + (self.work / 2).saturating_sub(before), How::Failed)),
                Fate::Hangs | Fate::Lasts => None,
            },
        };
        let stop = self.stop_at.map(|at| (at, How::Stopped));
        [own, stop].into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    fn progress(&self, now: Moment) -> Duration {
        match self.phase {
            Phase::Working { from, before } if self.fate != Fate::Hangs => {
                (before + now.saturating_sub(from)).min(self.work)
            }
            Phase::Working { before, .. } => before,
            Phase::Waiting { .. } => progress_of(&self.saved),
        }
    }

    /// Its progress in percent.
    pub fn percent(&self, now: Moment) -> u32 {
        (self.progress(now).as_millis() * 100 / self.work.as_millis().max(1)) as u32
    }

    /// Its saved progress: renewed with every so much work.
    pub fn saved(&mut self, now: Moment) -> String {
        let every = self.save_every.as_millis().max(1);
        let whole = self.progress(now).as_millis() / every * every;
        self.save(Duration::from_millis(whole as u64));
        self.saved.clone()
    }

    /// Its saved progress at its end; a stop saves all of it.
    pub fn saved_at_end(&mut self, how: How, now: Moment) -> String {
        if how == How::Stopped {
            self.save(self.progress(now));
            return self.saved.clone();
        }
        self.saved(now)
    }

    fn save(&mut self, progress: Duration) {
        if self.checkpoints && progress > progress_of(&self.saved) {
            let tag = tag_of(&self.name.task, self.gang);
            self.saved = format!("{:0PROGRESS_DIGITS$x}{tag:016x}", progress.as_millis());
        }
    }
}

/// The part of a saved text that tells whose it is: a task's, or a gang's.
fn tag_of(task: &TaskName, gang: bool) -> u64 {
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

/// Whether a saved text names this task, or its gang.
pub fn is_saved_by(saved: &str, task: &TaskName, gang: bool) -> bool {
    saved.get(PROGRESS_DIGITS..) == Some(&format!("{:016x}", tag_of(task, gang)))
}

fn progress_of(saved: &str) -> Duration {
    let digits = saved.get(..PROGRESS_DIGITS);
    Duration::from_millis(
        digits
            .and_then(|digits| u64::from_str_radix(digits, 16).ok())
            .unwrap_or(0),
    )
}
