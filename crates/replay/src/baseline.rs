//! Baseline schedulers that the module is compared with. Each follows one placement policy, retries a failed attempt on
//! another worker if the class allows it, and answers before the client's deadline. They protect neither workers that are
//! warming up nor tenants' quotas nor late jobs.
//!
//! The policies are *random*; *round robin*; *least own* (the worker with the fewest of this scheduler's slots in flight);
//! *two choices* (the less loaded of two random workers); *by key* (consistent hashing with bounded loads, Mirrokni, Thorup
//! and Zadimoghaddam 2018: the first worker in the subject's order whose own slots are under 1.25 times the mean);
//! *all-knowing* (the worker on which the job would end first, by the true state of all workers, which no real scheduler
//! can know).

use crate::sampling::{draw, unit};
use crate::scenario::Micros;
use indigofold::affinity;
use indigofold::api::{Effect, Entry, Request, Scope, Settings, Status, WorkerId, WorkerState};
use indigofold_core::{Answer, Attempt, AttemptId, CoreInput, JobId, Transport};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The greatest allowed ratio of a worker's own slots to the mean under [`Policy::ByKey`].
const LOAD_BOUND: f64 = 1.25;

/// A policy for choosing the worker of an attempt.
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
    /// The scheduler's own decision module.
    Module,
    /// A worker at random.
    Random,
    /// Each worker in turn.
    RoundRobin,
    /// The worker with the fewest slots of this scheduler in flight.
    LeastOwn,
    /// Of two random workers, the one with fewer slots of this scheduler in flight.
    TwoChoices,
    /// Consistent hashing of the job's subject, with bounded loads.
    ByKey,
    /// The worker on which the job would end first, by the true state of all workers.
    AllKnowing,
}

impl Policy {
    /// All policies, the module first.
    pub const ALL: [Policy; 7] = [
        Policy::Module,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOwn,
        Policy::TwoChoices,
        Policy::ByKey,
        Policy::AllKnowing,
    ];

    /// Name of the policy in reports.
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

    /// Whether the policy uses the true state of all workers, which no real scheduler knows.
    pub fn knows_all(self) -> bool {
        self == Policy::AllKnowing
    }
}

/// An attempt of a job.
struct SentAttempt {
    worker: WorkerId,
    /// Whether the attempt has not ended.
    open: bool,
}

struct Job {
    request: Request,
    answer_by: Micros,
    attempts: Vec<SentAttempt>,
    may_have_run: bool,
    first_sent: Micros,
}

/// A scheduler that follows one baseline policy.
pub struct BaselineScheduler {
    policy: Policy,
    settings: Settings,
    /// Jobs are answered this long before their clients' deadlines.
    answer_margin: Micros,
    rng: Pcg64Mcg,
    workers: BTreeMap<WorkerId, Entry>,
    /// Slots of this scheduler's attempts in flight, by worker.
    own_slots: FxHashMap<WorkerId, f64>,
    jobs: FxHashMap<JobId, Job>,
    deadlines: BTreeSet<(Micros, JobId)>,
    turn: usize,
    /// The worker on which the job of the next input would end first, by the true state. The caller sets it before each input
    /// for [`Policy::AllKnowing`]; `None` otherwise.
    pub best: Option<WorkerId>,
}

impl BaselineScheduler {
    /// Creates a scheduler that answers jobs `answer_margin` microseconds before their clients' deadlines.
    pub fn new(policy: Policy, settings: Settings, seed: u64, answer_margin: Micros) -> Self {
        BaselineScheduler {
            policy,
            settings,
            answer_margin,
            rng: draw(seed, 0, 0x91a1),
            workers: BTreeMap::new(),
            own_slots: FxHashMap::default(),
            jobs: FxHashMap::default(),
            deadlines: BTreeSet::new(),
            turn: 0,
            best: None,
        }
    }

    /// When [`Self::step`] is due next; `None` without an open job.
    pub fn due(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Handles an input and sends the resulting attempts and answers at once.
    pub fn handle(&mut self, now: Micros, input: CoreInput, transport: &dyn Transport) {
        match input {
            CoreInput::Job(request, until, _) => self.handle_job(now, request, until, transport),
            CoreInput::ClientLeft(id) => self.close(id, transport),
            CoreInput::Ended(attempt, status, _) => {
                self.handle_end(now, attempt, status, transport);
            }
            CoreInput::Membership(Scope::Failed, _) => {}
            CoreInput::Membership(scope, entries) => {
                if scope != Scope::Delta {
                    self.workers.clear();
                }
                self.workers
                    .extend(entries.into_iter().map(|entry| (entry.worker, entry)));
            }
            _ => {}
        }
    }

    /// Fails the jobs whose answer is due.
    pub fn step(&mut self, now: Micros, transport: &dyn Transport) {
        while let Some((_, id)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.answer(id, Answer::Failed, transport);
        }
    }

    fn handle_job(
        &mut self,
        now: Micros,
        request: Request,
        until: Micros,
        transport: &dyn Transport,
    ) {
        let id = request.id;
        let answer_by = until.saturating_sub(self.answer_margin).max(now);
        let job = Job {
            request,
            answer_by,
            attempts: Vec::new(),
            may_have_run: false,
            first_sent: now,
        };
        self.jobs.insert(id, job);
        self.deadlines.insert((answer_by, id));
        self.send_or_answer(now, id, transport);
    }

    fn handle_end(
        &mut self,
        now: Micros,
        id: AttemptId,
        status: Status,
        transport: &dyn Transport,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let attempt = job.attempts.get_mut(id.number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.open) else {
            return;
        };
        attempt.open = false;
        let worker = attempt.worker;
        job.may_have_run |= !matches!(status, Status::Full | Status::ConnectFailed | Status::Moot);
        *self.own_slots.entry(worker).or_default() -= job.request.slots;
        match status {
            Status::Ok => self.answer(id.job, Answer::Served, transport),
            _ => self.send_or_answer(now, id.job, transport),
        }
    }

    fn effect(&self, job: &Job) -> Effect {
        let class = self.settings.classes.get(job.request.class as usize);
        class.map_or(Effect::Unsafe, |class| class.effect)
    }

    /// Whether the job's class and the settings allow one more attempt.
    fn may_send(&self, now: Micros, job: &Job) -> bool {
        let may_repeat = match self.effect(job) {
            Effect::Safe => true,
            Effect::Keyed { ttl, .. } => !job.may_have_run || now < job.first_sent + ttl,
            Effect::Unsafe => !job.may_have_run,
        };
        let limit = self.settings.limits.attempts as usize;
        may_repeat && job.attempts.len() < limit && now < job.answer_by
    }

    /// Sends an attempt to the worker that the policy chooses. If no attempt is allowed or no worker is left, answers the job.
    fn send_or_answer(&mut self, now: Micros, id: JobId, transport: &dyn Transport) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let may_have_effect = job.may_have_run && matches!(self.effect(job), Effect::Unsafe);
        let worker = if self.may_send(now, job) {
            self.choose(id)
        } else {
            None
        };
        match worker {
            Some(worker) => self.send(now, id, worker, transport),
            None if may_have_effect => self.answer(id, Answer::Failed, transport),
            None => self.answer(id, Answer::Rejected(0), transport),
        }
    }

    fn send(&mut self, now: Micros, id: JobId, worker: WorkerId, transport: &dyn Transport) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.attempts.is_empty() {
            job.first_sent = now;
        }
        let number = job.attempts.len() as u32;
        job.attempts.push(SentAttempt { worker, open: true });
        *self.own_slots.entry(worker).or_default() += job.request.slots;
        transport.send(Attempt {
            id: AttemptId { job: id, number },
            machine: worker,
            until: job.answer_by,
            by: job.answer_by,
        });
    }

    /// Returns the active workers of the kind that the job's class requires, except those that already had an attempt of it.
    fn candidates(&self, job: &Job) -> Vec<WorkerId> {
        let class = self.settings.classes.get(job.request.class as usize);
        let required_kind = class.and_then(|class| class.kind);
        let eligible = |entry: &&Entry| {
            let used = job.attempts.iter().any(|a| a.worker == entry.worker);
            entry.state == WorkerState::Active
                && !used
                && required_kind.is_none_or(|kind| entry.kind == kind)
        };
        let entries = self.workers.values().filter(eligible);
        entries.map(|entry| entry.worker).collect()
    }

    fn choose(&mut self, id: JobId) -> Option<WorkerId> {
        let job = self.jobs.get(&id)?;
        let candidates = self.candidates(job);
        if candidates.is_empty() {
            return None;
        }
        let own = |w: &WorkerId| self.own_slots.get(w).copied().unwrap_or(0.0);
        let count = candidates.len();
        let random_index = |rng: &mut Pcg64Mcg| (unit(rng) * count as f64) as usize;
        Some(match self.policy {
            Policy::Module | Policy::Random => candidates[random_index(&mut self.rng)],
            Policy::RoundRobin => {
                self.turn += 1;
                candidates[self.turn % count]
            }
            Policy::LeastOwn => {
                // Starts at a random position, so that ties do not always go to the same worker.
                let start = random_index(&mut self.rng);
                let rotated = candidates[start..].iter().chain(&candidates[..start]);
                *rotated.min_by(|a, b| own(a).total_cmp(&own(b)))?
            }
            Policy::TwoChoices => {
                let a = candidates[random_index(&mut self.rng)];
                let b = candidates[random_index(&mut self.rng)];
                if own(&b) < own(&a) { b } else { a }
            }
            Policy::ByKey => {
                let subject = job.request.subject.unwrap_or(id);
                let total = candidates.iter().map(own).sum::<f64>() + 1.0;
                bounded_load_choice(&candidates, subject, LOAD_BOUND * total / count as f64, own)
            }
            Policy::AllKnowing => {
                let best = self.best.filter(|worker| candidates.contains(worker));
                best.unwrap_or_else(|| candidates[random_index(&mut self.rng)])
            }
        })
    }

    fn answer(&mut self, id: JobId, answer: Answer, transport: &dyn Transport) {
        if self.jobs.contains_key(&id) {
            transport.answer(id, answer);
        }
        self.close(id, transport);
    }

    /// Removes a job and cancels its open attempts if the settings allow it.
    fn close(&mut self, id: JobId, transport: &dyn Transport) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(job.answer_by, id));
        for (number, attempt) in job.attempts.iter().enumerate() {
            if !attempt.open {
                continue;
            }
            *self.own_slots.entry(attempt.worker).or_default() -= job.request.slots;
            if self.settings.limits.cancel {
                let number = number as u32;
                transport.give_up(AttemptId { job: id, number }, attempt.worker);
            }
        }
        transport.forget(id);
    }
}

/// Returns the first worker in the subject's order that stays within the load limit, or the first of all if none does.
fn bounded_load_choice(
    candidates: &[WorkerId],
    subject: u64,
    load_limit: f64,
    load: impl Fn(&WorkerId) -> f64,
) -> WorkerId {
    let rank = |worker: &WorkerId| affinity::rank(subject, *worker);
    let mut order = candidates.to_vec();
    order.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
    let fits = order.iter().find(|w| load(w) + 1.0 <= load_limit.ceil());
    *fits.unwrap_or(&order[0])
}
