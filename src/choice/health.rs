//! What comes back from a worker, or does not: who is set aside, who is tried again, which attempts hang.

use super::*;

impl Dispatcher {
    pub(super) fn judge(&mut self, now: Time, i: usize, status: Status) {
        let w = &mut self.workers[i];
        match status {
            Status::Ok => {
                w.failure -= FAILURE_STEP.0 * w.failure;
                self.alive(now, i);
            }
            // An error at once leaves the worker with few jobs in flight: unguarded it would win every draw.
            Status::Error | Status::Reset | Status::ConnectFailed | Status::Timeout => {
                let step = if status == Status::Timeout {
                    FAILURE_STEP.1
                } else {
                    FAILURE_STEP.0
                };
                w.failure += step * (1.0 - w.failure);
                let aside = (ASIDE.0 / (1.0 - w.failure).powi(2)).min(ASIDE.1);
                // One failure alone may be the way's, and would leave half the fleet out; two in a row are not.
                if status == Status::Timeout || w.failure > SUSPECT {
                    w.aside_until = w.aside_until.max(now + aside as Time);
                }
            }
            Status::Full => {
                // A slot frees within about a run time.
                w.aside_until = w
                    .aside_until
                    .max(now + (self.run.1 / self.run.0).min(ASIDE_FULL) as Time);
                self.count_start(i, true);
                self.full_share += LATE_STEP * (1.0 - self.full_share);
            }
            Status::Cancelled | Status::Moot => {}
        }
    }

    /// It gets on with a job: whatever silence was held against it is over.
    pub(super) fn alive(&mut self, now: Time, i: usize) {
        let w = &mut self.workers[i];
        if std::mem::take(&mut w.silences) > 0 {
            w.aside_until = w.aside_until.min(now);
        }
    }

    /// A worker under suspicion gets one request at a time, whose failure can be made good elsewhere.
    pub(super) fn may_try(&self, w: &Worker, open: &Open) -> bool {
        w.own == 0.0 && self.settings.classes[open.class].effect != Effect::Unsafe
    }

    /// Suspicion fades by itself: where no class may be repeated, nothing else would ever end it.
    pub(super) fn forgive(&mut self, now: Time) {
        self.workers
            .iter_mut()
            .filter(|w| w.aside_until <= now)
            .for_each(|w| w.failure *= FORGIVE);
    }

    /// An attempt that the worker has not taken is no queue there; where the class allows, another goes beside.
    pub(super) fn unheard(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptNo,
        out: &mut Vec<Action>,
    ) {
        let t = self
            .open
            .get_mut(&id)
            .and_then(|o| o.tries.get_mut(attempt as usize));
        if let Some(t) = t.filter(|t| !t.done && t.started.is_none()) {
            t.unheard = true;
            self.pass_over_silent(now, id, out);
        }
    }

    /// A job that has waited long at a worker moves to one that looks free; one attempt is kept for failures.
    fn move_on(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let long =
            |t: &&Try| !t.done && !t.silent && t.started.is_none() && now >= t.sent + MOVE_WAIT;
        let Some(from) = open.tries.last().filter(long).map(|t| t.worker) else {
            return;
        };
        let (n, most) = (
            open.tries.len(),
            open.attempts.min(self.settings.limits.attempts as usize),
        );
        if n + 1 < most && self.settings.classes[open.class].effect != Effect::Unsafe {
            let sample = self.sample(now, id);
            if sample
                .iter()
                .any(|i| *i != from && !self.crowded(now, &self.workers[*i], 0.0))
            {
                out.push(Action::Cancel {
                    request: id,
                    attempt: n as AttemptNo - 1,
                });
            } else {
                self.due.insert((now + 5 * self.tick(), id));
            }
        }
    }

    /// When the next share done of a job is overdue; where none are told, a long job looks the same.
    pub(super) fn overdue_at(&self, t: &Try) -> Time {
        let every =
            if t.sign.1 > 0.0 { OVERDUE.0 } else { OVERDUE.1 } * self.settings.progress as f64;
        let known = t
            .started
            .filter(|_| self.settings.tells_start && every > 0.0);
        let unheard = if t.unheard && t.started.is_none() {
            0
        } else {
            Time::MAX
        };
        known.map_or(unheard, |_| {
            t.sign
                .0
                .saturating_add(every as Time + 4 * self.settings.granularity)
        })
    }

    /// Where a sign is overdue, slots count as free; where the class allows, another attempt goes beside.
    pub(super) fn pass_over_silent(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let resends = self.resends_left(now);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let again = resends >= 1.0 && now < self.sendable_until(open);
        let overdue = |t: &Try| !t.done && !t.silent && now >= self.overdue_at(t);
        if let Some(n) = open.tries.iter().position(overdue) {
            let (t, slots) = (&open.tries[n], open.slots);
            let (i, waited) = (t.worker, now - t.sent.max(t.sign.0));
            self.leave(now, i, (id, n as AttemptNo), slots);
            let w = &mut self.workers[i];
            if self.settings.limits.moves() {
                // Given up, it will not tell when the worker is back: no new try sooner than it took to notice.
                w.silences += u32::from(now >= w.aside_until);
                let aside = waited
                    .saturating_mul(w.silences.into())
                    .min(ASIDE.1 as Time);
                w.aside_until = w.aside_until.max(now + aside);
            }
            self.judge(now, i, Status::Timeout);
            self.open
                .get_mut(&id)
                .into_iter()
                .for_each(|o| o.tries[n].silent = true);
            if again && self.settings.limits.moves() {
                out.push(Action::Cancel {
                    request: id,
                    attempt: n as AttemptNo,
                }); // its end sends the next
            }
        }
        if again && self.settings.limits.moves() {
            self.move_on(now, id, out);
        }
        let silent = self
            .open
            .get(&id)
            .is_some_and(|o| o.tries.iter().all(|t| t.done || t.silent));
        if silent && again && self.settings.limits.duplicates && !self.place(now, id, out) {
            self.due.insert((now + 5 * self.tick(), id));
        }
    }
}
