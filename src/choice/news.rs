//! News of workers: the list, reports, probes and what peers say.

use super::*;

impl Dispatcher {
    /// Probes sampled workers without news: the sooner, the longer jobs run and the less own jobs tell.
    pub(super) fn probe(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let (runs, own) = (
            self.run.0.max(1.0),
            D as f64 / self.settings.dispatchers as f64,
        );
        let age = (REPORT_AGE * runs / self.run.1.max(1.0)).max(own).min(1.0) * PROBE_AGE as f64;
        let sample = self.sample(now, id);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        for i in &sample {
            let w = &mut self.workers[*i];
            let known = w.news_at.unwrap_or(0).max(w.probed_at) + age as Time > now;
            if !known && self.credit >= self.settings.charges.probe {
                self.credit -= self.settings.charges.probe;
                self.probes_out += 1;
                w.probed_at = now;
                open.wait_until =
                    now + (self.settings.classes[open.class].aim as f64 * PROBE_WAIT) as Time;
                out.push(Action::Probe {
                    worker: w.listed.worker,
                });
            }
        }
        open.sample = sample;
    }

    /// Tells peers the slots held at each worker, as often as twice the price is a trifle.
    pub(super) fn tell(&mut self, out: &mut Vec<Action>) {
        let bytes = (5 * self.busy.len().min(TELL_MOST) + 1) as f64
            * (self.settings.dispatchers - 1) as f64;
        let price = 2.0 * self.settings.charges.peer * bytes / 256.0;
        if !self.settings.limits.peers || self.credit < price {
            return;
        }
        let held = self
            .busy
            .iter()
            .map(|i| &self.workers[*i])
            .filter(|w| w.active)
            .take(TELL_MOST);
        let held: Vec<(WorkerId, u8)> = held
            .map(|w| (w.listed.worker, w.own.round() as u8))
            .collect();
        if held != self.told {
            self.credit -= price;
            self.told.clone_from(&held);
            out.push(Action::Tell { held });
        }
    }

    pub(super) fn hear(&mut self, now: Time, from: u32, held: &[(WorkerId, u8)]) {
        let named = self.named.entry(from).or_default();
        named
            .drain(..)
            .for_each(|i| self.workers[i].peers.retain(|p| p.0 != from));
        let known = |(id, slots): &(WorkerId, u8)| Some((*self.index.get(id)?, f64::from(*slots)));
        for (i, slots) in held.iter().filter_map(known) {
            self.workers[i].peers.push((from, slots, now));
            named.push(i);
        }
    }

    pub(super) fn report(&mut self, now: Time, i: usize, load: &Load) {
        let w = &mut self.workers[i];
        let kind = &mut self.kinds[w.kind];
        let free = load
            .free_slots
            .filter(|f| *f >= 0.7 && load.queue.is_none_or(|q| q < 0.5));
        if let Some(free) = free {
            // Where nothing waits (it may beside a free slot, for two), held and free ones are all the slots.
            let first = load.inflight.is_some() && !kind.reported;
            kind.reported |= first;
            let known = if first { 1.0 } else { kind.slots };
            kind.slots = known.max((load.inflight.unwrap_or(0.0) + free - 0.3).round());
        }
        if let Some(held) = load
            .inflight
            .or(load.free_slots.map(|free| kind.slots - free))
        {
            // The report tells of a moment before this one: own jobs are taken as they stood around then.
            (w.foreign, w.news_at) = ((held - w.running(now)).max(0.0), Some(now));
        }
    }

    pub(super) fn follow_list(
        &mut self,
        now: Time,
        scope: Scope,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        if scope == Scope::Failed {
            let longer = (2 * self.ask.1)
                .min(ASK.1)
                .min(self.settings.rules.ask_within);
            self.ask = (now + self.ask.1, longer);
        } else if scope != Scope::Cached {
            self.ask = (Time::MAX, ASK.0);
        }
        if matches!(scope, Scope::Full | Scope::Cached) {
            self.workers
                .iter_mut()
                .for_each(|w| (w.active, w.listed.state) = (false, WorkerState::Left));
        }
        entries.into_iter().for_each(|e| self.learn_entry(now, e));
        let leaving = |i: &usize| !self.workers[*i].active && self.workers[*i].linked;
        let leaving: Vec<usize> = (0..self.workers.len()).filter(leaving).collect();
        leaving.into_iter().for_each(|i| self.let_go(i, out));
        self.solve_draw(now);
        self.ask_list(now, out);
    }

    /// Something ended at a worker: closes what is idle there if it leaves, where that is asked.
    pub(super) fn let_go(&mut self, i: usize, out: &mut Vec<Action>) {
        let w = &mut self.workers[i];
        w.linked = w.active || self.settings.rules.let_go_in.is_none();
        if !w.linked {
            w.idle.clear();
            out.push(Action::Disconnect {
                worker: w.listed.worker,
            });
        }
    }

    fn learn_entry(&mut self, now: Time, e: Entry) {
        let kind = (e.kind as usize).min(KINDS_MOST);
        self.kinds
            .resize(self.kinds.len().max(kind + 1), Kind::default());
        let next = self.workers.len();
        let i = *self.index.entry(e.worker).or_insert(next);
        if i == next {
            self.workers.push(Worker {
                quick: QUICK_FIRST,
                ..Default::default()
            });
        }
        // Dispatchers hear of a start together: each begins its saving at a point of its own.
        let owed = -unit(&mut self.rng) * self.run.1 / self.run.0.max(1.0);
        let w = &mut self.workers[i];
        if e.ready_at > w.listed.ready_at {
            w.allowance = (owed, now);
            // A new process under the old id: what was learned of the old one says nothing of it.
            (w.failure, w.aside_until) = (0.0, 0);
            (w.foreign, w.news_at) = (0.0, None);
        }
        (w.active, w.kind, w.listed) = (e.state == WorkerState::Active, kind, e);
    }

    /// Keeps a subscription where the list must be asked for; one event answers each call.
    pub(super) fn ask_list(&mut self, now: Time, out: &mut Vec<Action>) {
        if now >= self.ask.0 {
            self.ask.0 = now + self.settings.rules.ask_within;
            out.push(Action::Watch(true));
        }
    }
}
