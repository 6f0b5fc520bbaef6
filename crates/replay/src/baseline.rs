//! Plain schedulers to measure against: one rule for where a job goes, an attempt elsewhere when one fails and the class
//! allows it, and an answer in time. They guard nothing: not cold job workers, not tenants' shares, not late jobs.
//!
//! Definitions: *random*; *round robin*; *least own* (fewest of this scheduler's slots in flight); *two choices* (the fewer
//! of two drawn); *by key* (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam 2018: the first
//! worker in the subject's order whose own slots are under 1.25 times the mean); *all-knowing* (the worker where the job
//! would end first, by the true state of all: no real one can).

use crate::sampling::{draw, unit};
use crate::scenario::Micros;
use indigofold::affinity;
use indigofold::api::{Effect, Entry, Request, Scope, Settings, Status, WorkerId, WorkerState};
use indigofold::core::{Answer, Attempt, AttemptId, CoreInput, JobId, Transport};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Own slots that a worker may hold over the mean, where jobs go by key.
const BOUND: f64 = 1.25;

/// Which rule.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    clap::ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The scheduler's own module.
    Module,
    /// Any worker.
    Random,
    /// One after another.
    RoundRobin,
    /// The fewest own slots in flight.
    LeastOwn,
    /// The fewer own slots of two drawn.
    TwoChoices,
    /// By what the job is about, with a bound.
    ByKey,
    /// Where it would end first, by the true state.
    AllKnowing,
}

impl Policy {
    /// All of them, the module first.
    pub const ALL: [Policy; 7] = [
        Policy::Module,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOwn,
        Policy::TwoChoices,
        Policy::ByKey,
        Policy::AllKnowing,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastOwn => "least own",
            Policy::TwoChoices => "two choices",
            Policy::ByKey => "by key",
            Policy::AllKnowing => "all-knowing",
        }
    }

    /// Does it know what no scheduler can?
    pub fn knows_all(self) -> bool {
        self == Policy::AllKnowing
    }
}

struct Job {
    request: Request,
    until: Micros,
    tries: Vec<(WorkerId, bool)>, // where, and whether it is out
    may_have_run: bool,
    first_sent: Micros,
}

/// One plain scheduler.
pub struct Plain {
    policy: Policy,
    settings: Settings,
    early: Micros,
    rng: Pcg64Mcg,
    list: BTreeMap<WorkerId, Entry>,
    own: FxHashMap<WorkerId, f64>,
    jobs: FxHashMap<JobId, Job>,
    due: BTreeSet<(Micros, JobId)>,
    turn: usize,
    /// Where the job that is told next would end first, for who knows all.
    pub best: Option<WorkerId>,
}

impl Plain {
    /// One that goes by this rule; jobs are answered so long before their clients' time is up.
    pub fn new(policy: Policy, settings: Settings, seed: u64, early: Micros) -> Self {
        Plain {
            policy,
            settings,
            early,
            rng: draw(seed, 0, 0x91a1),
            list: BTreeMap::new(),
            own: FxHashMap::default(),
            jobs: FxHashMap::default(),
            due: BTreeSet::new(),
            turn: 0,
            best: None,
        }
    }

    /// When it must be stepped next.
    pub fn due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Takes what it is told, and acts on it at once.
    pub fn told(&mut self, now: Micros, told: CoreInput, transport: &dyn Transport) {
        match told {
            CoreInput::Job(request, until, _) => {
                let (id, until) = (request.id, until.saturating_sub(self.early).max(now));
                let job = Job {
                    request,
                    until,
                    tries: Vec::new(),
                    may_have_run: false,
                    first_sent: now,
                };
                self.jobs.insert(id, job);
                self.due.insert((until, id));
                self.place(now, id, transport);
            }
            CoreInput::ClientLeft(id) => self.close(id, transport),
            CoreInput::Ended(attempt, status, _) => self.ended(now, attempt, status, transport),
            CoreInput::Membership(Scope::Failed, _) => {}
            CoreInput::Membership(scope, entries) => {
                if scope != Scope::Delta {
                    self.list.clear();
                }
                self.list.extend(entries.into_iter().map(|e| (e.worker, e)));
            }
            _ => {}
        }
    }

    /// Does what is due: jobs whose time is up have failed.
    pub fn step(&mut self, now: Micros, transport: &dyn Transport) {
        while let Some((_, id)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.answer(id, Answer::Failed, transport);
        }
    }

    fn ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        status: Status,
        transport: &dyn Transport,
    ) {
        let Some(job) = self.jobs.get_mut(&attempt.job) else {
            return;
        };
        let Some(t) = job.tries.get_mut(attempt.number as usize).filter(|t| t.1) else {
            return;
        };
        t.1 = false;
        let (worker, slots) = (t.0, job.request.slots);
        job.may_have_run |= !matches!(status, Status::Full | Status::ConnectFailed | Status::Moot);
        *self.own.entry(worker).or_default() -= slots;
        match status {
            Status::Ok => self.answer(attempt.job, Answer::Served, transport),
            _ => self.place(now, attempt.job, transport),
        }
    }

    /// Sends the job where the rule says, if its class and the settings allow one more attempt; else answers it.
    fn place(&mut self, now: Micros, id: JobId, transport: &dyn Transport) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let may_have_run = job.may_have_run;
        let class = self.settings.classes.get(job.request.class as usize);
        let effect = class.map_or(Effect::Unsafe, |c| c.effect);
        let repeats = match effect {
            Effect::Safe => true,
            Effect::Keyed { ttl, .. } => !job.may_have_run || now < job.first_sent + ttl,
            Effect::Unsafe => !job.may_have_run,
        };
        let left = job.tries.len() < self.settings.limits.attempts as usize && now < job.until;
        let to = if repeats && left {
            self.choose(id)
        } else {
            None
        };
        let Some(to) = to else {
            let harmless = !may_have_run || !matches!(effect, Effect::Unsafe);
            return self.answer(
                id,
                if harmless {
                    Answer::Rejected(0)
                } else {
                    Answer::Failed
                },
                transport,
            );
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.tries.is_empty() {
            job.first_sent = now;
        }
        let attempt = job.tries.len() as u32;
        job.tries.push((to, true));
        *self.own.entry(to).or_default() += job.request.slots;
        transport.send(Attempt {
            id: AttemptId {
                job: id,
                number: attempt,
            },
            machine: to,
            until: job.until,
            by: job.until,
        });
    }

    fn choose(&mut self, id: JobId) -> Option<WorkerId> {
        let job = self.jobs.get(&id)?;
        let bound = self
            .settings
            .classes
            .get(job.request.class as usize)
            .and_then(|c| c.kind);
        let may = |e: &&Entry| {
            let tried = job.tries.iter().any(|t| t.0 == e.worker);
            e.state == WorkerState::Active && !tried && bound.is_none_or(|kind| e.kind == kind)
        };
        let free: Vec<WorkerId> = self.list.values().filter(may).map(|e| e.worker).collect();
        if free.is_empty() {
            return None;
        }
        let own = |w: &WorkerId| self.own.get(w).copied().unwrap_or(0.0);
        let any = |rng: &mut Pcg64Mcg| free[(unit(rng) * free.len() as f64) as usize];
        Some(match self.policy {
            Policy::Module | Policy::Random => any(&mut self.rng),
            Policy::RoundRobin => {
                self.turn += 1;
                free[self.turn % free.len()]
            }
            Policy::LeastOwn => {
                // The first after a random place, so that ties do not all fall to one.
                let from = (unit(&mut self.rng) * free.len() as f64) as usize;
                let turned = free[from..].iter().chain(&free[..from]);
                *turned.min_by(|a, b| own(a).total_cmp(&own(b)))?
            }
            Policy::TwoChoices => {
                let (a, b) = (any(&mut self.rng), any(&mut self.rng));
                if own(&b) < own(&a) { b } else { a }
            }
            Policy::ByKey => {
                let subject = job.request.subject.unwrap_or(id);
                let most = BOUND * (free.iter().map(own).sum::<f64>() + 1.0) / free.len() as f64;
                let rank = |w: &WorkerId| affinity::rank(subject, *w);
                let mut order = free.clone();
                order.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
                let fits = order.iter().find(|w| own(w) + 1.0 <= most.ceil());
                *fits.unwrap_or(&order[0])
            }
            Policy::AllKnowing => self
                .best
                .filter(|w| free.contains(w))
                .unwrap_or_else(|| any(&mut self.rng)),
        })
    }

    fn answer(&mut self, id: JobId, answer: Answer, transport: &dyn Transport) {
        if self.jobs.contains_key(&id) {
            transport.answer(id, answer);
        }
        self.close(id, transport);
    }

    /// Forgets a job; what is out is given up where that can be said.
    fn close(&mut self, id: JobId, transport: &dyn Transport) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.due.remove(&(job.until, id));
        for (n, (worker, _)) in job.tries.iter().enumerate().filter(|(_, t)| t.1) {
            *self.own.entry(*worker).or_default() -= job.request.slots;
            if self.settings.limits.cancel {
                transport.give_up(
                    AttemptId {
                        job: id,
                        number: n as u32,
                    },
                    *worker,
                );
            }
        }
        transport.forget(id);
    }
}

#[cfg(test)]
mod tests;
