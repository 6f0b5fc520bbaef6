//! What a dispatcher tells of itself, and takes in of what another one has learned: the process that it replaces, or
//! its own former life. What restricts is taken as it stands, what is measured counts by its age, and what permits (a
//! cold worker's budget, the list's word that a worker may get work) is neither told nor taken.

use super::*;
use crate::carried::Carried;
use crate::learned::{self, Learned, Pace, aged};

/// Run times, speeds and fetches are those of programs and machines: they are true for minutes.
const RUNS_LAST: Time = 600_000_000;
/// Arrivals, queues and late starts change within seconds, as the memory of the arrivals.
const PACE_LASTS: Time = 5_000_000;

impl Dispatcher {
    /// Machines that the list holds, and how many of them get nothing now, or only a try, after failures.
    pub fn pool(&self, now: Time) -> (u64, u64) {
        let listed = self
            .workers
            .iter()
            .filter(|w| w.listed.state != WorkerState::Left);
        let avoided = |w: &&Worker| w.active && (now < w.aside_until || w.failure > SUSPECT);
        (
            listed.clone().count() as u64,
            listed.filter(avoided).count() as u64,
        )
    }

    /// What it has learned until now, of workers that the list still names.
    pub fn learned(&self, now: Time) -> Learned<u32> {
        let kind = |(id, k): (usize, &Kind)| {
            let draw = self
                .subject_draw
                .0
                .get(id)
                .copied()
                .unwrap_or(0.0)
                .clamp(0.0, 1.0);
            let (slots, reported, run) = (k.slots, k.reported, k.run.clone());
            (
                id as u32,
                learned::Kind {
                    slots,
                    reported,
                    run,
                    draw,
                },
            )
        };
        let class = |(id, i): (usize, &usize)| {
            let ClassStat { run, longest } = self.classes[*i].clone();
            (id as u32, learned::Class { run, longest })
        };
        let worker = |w: &Worker| {
            let (born, quick, foreign, news_at) =
                (w.listed.ready_at, w.quick, w.foreign, w.news_at);
            let (failure, aside_until, silences) = (w.failure, w.aside_until, w.silences);
            let of = learned::Worker {
                born,
                quick,
                foreign,
                news_at,
                failure,
                aside_until,
                silences,
            };
            (w.listed.worker, of)
        };
        let tenants = (0..).map_while(|tenant| Some((tenant, self.arrivals.share(tenant)?)));
        let latest = self.resent.len().saturating_sub(learned::RESENT_MOST);
        Learned {
            at: now,
            kinds: self.kinds.iter().enumerate().map(kind).collect(),
            classes: self.class_of.iter().enumerate().map(class).collect(),
            tenants: tenants
                .map(|(tenant, share)| (tenant, share.clamp(0.0, 1.0)))
                .collect(),
            workers: self
                .workers
                .iter()
                .filter(|w| w.listed.state != WorkerState::Left)
                .map(worker)
                .collect(),
            held: self.held_slots(),
            resent: self.resent.iter().skip(latest).copied().collect(),
            pace: Some(Pace {
                run: self.run,
                fetches: self.fetches,
                arrivals: self.arrivals.rates(now),
                stay: self.stay,
                late_share: self.late_share,
                window: self.window.min(learned::UNLIMITED),
                idle_most: self.idle_most.min(learned::UNLIMITED),
                asked: self.asked,
                full_share: self.full_share,
            }),
        }
    }

    /// Slots that its jobs hold at workers now.
    pub fn held_slots(&self) -> Vec<(WorkerId, f64)> {
        self.busy
            .iter()
            .map(|i| (self.workers[*i].listed.worker, self.workers[*i].own))
            .collect()
    }

    /// Gives a request away to the process that takes over, with all that is out: it is not known here any more.
    /// `None` where there is no such request, nothing more is owed for it, or the settings have changed the rules that it
    /// came with: it stays.
    pub fn release(&mut self, now: Time, id: RequestId) -> Option<Carried<u32>> {
        let rules = self.open.get(&id).filter(|open| !open.closed)?.class;
        let class = self.class_of.iter().position(|i| *i == rules)? as u32;
        let open = self.open.remove(&id)?;
        self.due.retain(|due| due.1 != id);
        if let Some(q) = open.held {
            self.held[q].retain(|other| *other != id);
        }
        for (n, t) in open.tries.iter().enumerate().filter(|(_, t)| !t.done) {
            self.leave(
                now,
                t.worker,
                (id, n as AttemptNo),
                if t.silent { 0.0 } else { open.slots },
            );
        }
        let worker = |i: usize| self.workers[i].listed.worker;
        Some(Carried {
            class,
            late_from: open.late_from,
            deadline: open.deadline,
            estimate: open.estimate,
            subject: open.subject,
            slots: open.slots,
            attempts: open.attempts,
            over: open.over,
            tries: open.tries.into_iter().map(|t| t.at(worker)).collect(),
        })
    }

    /// Goes on with a request that another process has begun.
    pub(super) fn adopt(
        &mut self,
        now: Time,
        id: RequestId,
        of: Carried<u32>,
        out: &mut Vec<Action>,
    ) {
        let Some(class) = self.class_of.get(of.class as usize).copied() else {
            return;
        };
        let mut open = Open {
            class,
            late_from: of.late_from,
            deadline: of.deadline,
            ..Open::default()
        };
        (open.estimate, open.subject, open.slots) = (of.estimate, of.subject, of.slots);
        (open.attempts, open.over) = (of.attempts, of.over);
        for (n, t) in of.tries.into_iter().enumerate() {
            let next = self.workers.len();
            let i = *self.index.entry(t.worker).or_insert(next);
            if i == next {
                // The list of this process has not named it: nothing new goes there.
                let listed = Entry {
                    worker: t.worker,
                    ..Entry::default()
                };
                self.workers.push(Worker {
                    listed,
                    quick: QUICK_FIRST,
                    ..Worker::default()
                });
                self.kinds.resize(self.kinds.len().max(1), Kind::default());
                self.solve_draw(now);
            }
            open.tries.push(t.at(|_| i));
            let t = &open.tries[n];
            if !t.done && !t.silent {
                let w = &mut self.workers[i];
                w.running(now);
                w.own += of.slots;
                self.busy.insert(i);
                if t.started.is_none() && self.settings.tells_start {
                    w.unstarted.push((t.sent, id, n as AttemptNo, of.slots));
                    self.waiting += 1;
                    let moves = t.sent + (MOVE_FETCHES * self.fetches.cost()) as Time + MOVE_WAIT;
                    self.due
                        .extend(self.settings.limits.moves().then_some((moves, id)));
                }
            }
            if !t.done && t.started.is_some() {
                self.due.insert((self.overdue_at(t), id));
            }
        }
        if self.settings.classes[class].late_worth <= 0.0 {
            self.due.insert((open.late_from + 1, id));
        }
        self.open.insert(id, open);
        self.place_or_hold(now, id, out);
    }

    /// Takes in what another one has learned. Of what both know, the one that has seen more is believed.
    pub(super) fn take_in(&mut self, now: Time, other: Learned<u32>) {
        let age = now.saturating_sub(other.at);
        let (runs, pace) = (aged(age, RUNS_LAST), aged(age, PACE_LASTS));
        for (id, of) in other.kinds {
            let id = (id as usize).min(KINDS_MOST);
            self.kinds
                .resize(self.kinds.len().max(id + 1), Kind::default());
            let kind = &mut self.kinds[id];
            // Without reports slots are what was seen, the most counts; a report tells them for good.
            match (kind.reported, of.reported) {
                (true, false) => {}
                (false, true) => (kind.slots, kind.reported) = (of.slots, true),
                _ => kind.slots = kind.slots.max(of.slots),
            }
            if of.run.weight() * runs > kind.run.weight() {
                kind.run = of.run.faded(runs);
            }
            self.subject_draw.0.resize(self.kinds.len(), 0.0);
            self.subject_draw.0[id] = of.draw;
        }
        for (id, of) in other.classes {
            let Some(class) = self
                .class_of
                .get(id as usize)
                .map(|i| &mut self.classes[*i])
            else {
                continue;
            };
            class.longest = class.longest.max(of.longest);
            if of.run.weight() * runs > class.run.weight() {
                class.run = of.run.faded(runs);
            }
        }
        for (id, of) in other.workers {
            let Some(w) = self.index.get(&id).map(|i| &mut self.workers[*i]) else {
                continue;
            };
            // Another start of it is another worker.
            if w.listed.ready_at != of.born {
                continue;
            }
            w.quick = w.quick.min(of.quick);
            w.failure = w.failure.max(of.failure * pace);
            w.aside_until = w.aside_until.max(of.aside_until.min(now + ASIDE.1 as Time));
            w.silences = w.silences.max(of.silences);
            // News from the future would stay for good.
            if of.news_at.filter(|at| *at <= now) > w.news_at {
                (w.foreign, w.news_at) = (of.foreign, of.news_at);
            }
        }
        let slots = |(id, slots): &(u32, f64)| (*id, slots.round().min(255.0) as u8);
        let held: Vec<_> = other.held.iter().map(slots).collect();
        self.hear(other.at.min(now), self.settings.me, &held);
        if self.settings.rules.resends.is_some() {
            // It may be told twice: what is known counts once.
            let new = |at: &Time| *at <= now && self.resent.binary_search(at).is_err();
            let new: Vec<Time> = other.resent.into_iter().filter(new).collect();
            self.resent.extend(new);
            self.resent.make_contiguous().sort_unstable();
        }
        if let Some(of) = other.pace.filter(|of| of.run.0 * runs > self.run.0) {
            self.run = (of.run.0 * runs, of.run.1 * runs);
            self.fetches = of.fetches.faded(runs);
            self.arrivals.resume(now, of.arrivals, pace);
            other
                .tenants
                .iter()
                .for_each(|(tenant, share)| self.arrivals.set_share(*tenant, *share));
            self.stay = 1.0 - (1.0 - of.stay) * pace;
            self.late_share = of.late_share.map(|share| share * pace);
            self.full_share = of.full_share * pace;
            self.asked = of.asked;
            self.idle_most = self.idle_most.min(of.idle_most);
            if age < PACE_LASTS {
                self.window = self.window.min(of.window);
            }
        }
        self.solve_draw(now);
    }
}
