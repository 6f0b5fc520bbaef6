//! The rules, checked on what happened: one set of checkers for both grounds. They know nothing of how a decision was made.

use crate::scenario::{Effect, Micros, Scenario};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Breaches that are kept as text; more are only counted.
const KEPT: usize = 20;

/// A job at one scheduler: one try of a client.
pub type Job = u64;

#[allow(missing_docs)] // the fields say what they are
/// Something that was seen. Each thing is told in the order of time, as far as one rule needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// A scheduler has taken a job of this class; an answer is owed until then.
    Taken {
        job: Job,
        class: u32,
        at: Micros,
        until: Micros,
    },
    /// Its one answer came: served or not.
    Answered {
        job: Job,
        served: bool,
        refused: bool,
        at: Micros,
    },
    /// Its client left: no answer is owed.
    Gone { job: Job },
    /// A scheduler began to send an attempt to a job worker; `work` is the job's at speed 1 times its slots.
    Sent {
        job: Job,
        scheduler: u32,
        worker: u32,
        at: Micros,
        work: Micros,
    },
    /// A job worker has the job and runs it, now or later.
    Runs { job: Job, worker: u32, at: Micros },
    /// It did not, and never will: it was turned away or handed back.
    NeverRan { job: Job },
    /// It has made the answer.
    Made { job: Job },
    /// A scheduler has heard how an attempt ended.
    Over { job: Job },
    /// A scheduler gives an attempt up, and its job worker will hear of it.
    GivenUp { job: Job },
    /// A scheduler was told that a job worker takes work, or takes none.
    Told {
        scheduler: u32,
        worker: u32,
        takes: bool,
        at: Micros,
    },
    /// A job worker is cold: what it can do in a microsecond, from now on.
    Cold {
        worker: u32,
        at: Micros,
        capacity: f64,
    },
    /// A scheduler was told of the start from which a job worker is cold.
    Aware { scheduler: u32, worker: u32 },
    /// It is warm.
    Warm { worker: u32 },
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each job gets one final answer, in time.
    OneAnswer,
    /// What is served was made by a job worker for that job.
    Made,
    /// A job that must not repeat runs once; a keyed one repeats in its window only.
    Repeats,
    /// A refusal says that nothing took effect, or that a repeat does no harm.
    Refusal,
    /// No more attempts than allowed.
    Attempts,
    /// No two attempts of a job at once, where that is not allowed.
    Copies,
    /// Nothing new goes to a job worker that drains or is gone.
    Drain,
    /// Cold job workers are not overrun by all schedulers together.
    Cold,
}

#[derive(Clone, Debug)]
struct Known {
    class: u32,
    until: Micros,
    answered: bool,
    gone: bool,
    made: bool,
    sends: u32,
    out: u32,
    first_run: Option<Micros>,
    runs: u32,
}

/// What the checkers have found.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Breaches by rule.
    pub breaches: std::collections::BTreeMap<Rule, u64>,
    /// The first of them.
    pub examples: Vec<String>,
    /// The most that was sent to a cold job worker in the stated window, in multiples of what it could do.
    pub most_on_cold: f64,
    /// The latest that something new went to a job worker after a scheduler had been told that it takes none.
    pub latest_after_told_ms: f64,
}

impl Verdict {
    /// Was no rule broken?
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }
}

struct ColdWorker {
    capacity: f64,
    sent: VecDeque<(Micros, f64, f64)>, // when, work, and that of it sent by schedulers that knew of the start
    sums: (f64, f64),
    aware: BTreeSet<u32>,
}

/// The checkers.
pub struct Checker<'a> {
    scenario: &'a Scenario,
    jobs: FxHashMap<Job, Known>,
    told: FxHashMap<(u32, u32), Micros>, // that it takes none, since
    cold: FxHashMap<u32, ColdWorker>,
    verdict: Verdict,
}

impl<'a> Checker<'a> {
    /// Nothing seen yet.
    pub fn new(scenario: &'a Scenario) -> Self {
        let (jobs, told, cold, verdict) = Default::default();
        Checker {
            scenario,
            jobs,
            told,
            cold,
            verdict,
        }
    }

    fn breach(&mut self, rule: Rule, at: Micros, text: String) {
        *self.verdict.breaches.entry(rule).or_default() += 1;
        if self.verdict.examples.len() < KEPT {
            let second = at.saturating_sub(self.scenario.from()) as f64 / 1e6;
            self.verdict
                .examples
                .push(format!("{rule:?} at {second:.3} s: {text}"));
        }
    }

    /// Takes what was seen.
    pub fn see(&mut self, seen: Seen) {
        let rules = &self.scenario.rules;
        let slack = rules.slack_ms * 1000;
        match seen {
            Seen::Taken {
                job, class, until, ..
            } => {
                let known = Known {
                    class,
                    until,
                    answered: false,
                    gone: false,
                    made: false,
                    sends: 0,
                    out: 0,
                    first_run: None,
                    runs: 0,
                };
                self.jobs.insert(job, known);
            }
            Seen::Answered {
                job,
                served,
                refused,
                at,
            } => {
                let Some(known) = self.jobs.get_mut(&job) else {
                    return self.breach(
                        Rule::OneAnswer,
                        at,
                        format!("job {job} has an answer and was never taken"),
                    );
                };
                let before = std::mem::replace(&mut known.answered, true);
                let (class, until, made, ran, gone) = (
                    known.class,
                    known.until,
                    known.made,
                    known.runs > 0,
                    known.gone,
                );
                if before {
                    self.breach(
                        Rule::OneAnswer,
                        at,
                        format!("job {job} has a second answer"),
                    );
                }
                if !gone && at > until + rules.answer_slack_ms * 1000 + slack {
                    let late = (at - until) as f64 / 1e3;
                    self.breach(
                        Rule::OneAnswer,
                        at,
                        format!("job {job} was answered {late:.1} ms too late"),
                    );
                }
                if served && !made {
                    self.breach(
                        Rule::Made,
                        at,
                        format!("job {job} was served with what no job worker made"),
                    );
                }
                let effect = self.scenario.classes[class as usize].effect;
                if refused && ran && effect == Effect::Unsafe {
                    self.breach(
                        Rule::Refusal,
                        at,
                        format!("job {job} was refused, and may have run"),
                    );
                }
                self.forget(job);
            }
            Seen::Gone { job } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.gone = true;
                }
                self.forget(job);
            }
            Seen::Sent {
                job,
                scheduler,
                worker,
                at,
                work,
            } => {
                if let Some(since) = self.told.get(&(scheduler, worker)).copied() {
                    let after = at.saturating_sub(since);
                    let ms = after as f64 / 1e3;
                    self.verdict.latest_after_told_ms = self.verdict.latest_after_told_ms.max(ms);
                    if after > rules.drain_grace_ms * 1000 + slack {
                        let text = format!(
                            "scheduler {scheduler} sent to job worker {worker} {ms:.0} ms after it was told"
                        );
                        self.breach(Rule::Drain, at, text);
                    }
                }
                self.sent_to_cold(scheduler, worker, at, work);
                let Some(known) = self.jobs.get_mut(&job) else {
                    return;
                };
                known.sends += 1;
                let beside = known.out;
                known.out += 1;
                let (sends, class, runs, first) =
                    (known.sends, known.class, known.runs, known.first_run);
                if beside > 0 && !self.scenario.machines.copies {
                    self.breach(
                        Rule::Copies,
                        at,
                        format!("job {job} was sent while it was out"),
                    );
                }
                if sends > rules.attempts {
                    self.breach(
                        Rule::Attempts,
                        at,
                        format!("job {job} was sent {sends} times"),
                    );
                }
                match self.scenario.classes[class as usize].effect {
                    Effect::Safe => {}
                    Effect::Unsafe if runs > 0 => {
                        self.breach(
                            Rule::Repeats,
                            at,
                            format!("job {job} must not repeat, and was sent again"),
                        );
                    }
                    Effect::Keyed(ms) if first.is_some_and(|f| at > f + ms * 1000 + slack) => {
                        self.breach(
                            Rule::Repeats,
                            at,
                            format!("job {job} was repeated outside its window"),
                        );
                    }
                    _ => {}
                }
            }
            Seen::Runs { job, at, .. } => {
                let Some(known) = self.jobs.get_mut(&job) else {
                    return;
                };
                known.runs += 1;
                known.first_run.get_or_insert(at);
                let (runs, class) = (known.runs, known.class);
                if runs > 1 && self.scenario.classes[class as usize].effect == Effect::Unsafe {
                    self.breach(
                        Rule::Repeats,
                        at,
                        format!("job {job} must not repeat, and ran twice"),
                    );
                }
            }
            Seen::NeverRan { job } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.runs = known.runs.saturating_sub(1);
                    if known.runs == 0 {
                        known.first_run = None;
                    }
                }
            }
            Seen::Over { job } | Seen::GivenUp { job } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.out = known.out.saturating_sub(1);
                }
            }
            Seen::Made { job } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.made = true;
                }
            }
            Seen::Told {
                scheduler,
                worker,
                takes,
                at,
            } => {
                match takes {
                    true => _ = self.told.remove(&(scheduler, worker)),
                    false => _ = self.told.entry((scheduler, worker)).or_insert(at),
                };
            }
            Seen::Cold {
                worker, capacity, ..
            } => {
                let (sent, sums, aware) = Default::default();
                let cold = ColdWorker {
                    capacity,
                    sent,
                    sums,
                    aware,
                };
                self.cold.entry(worker).or_insert(cold).capacity = capacity;
            }
            Seen::Aware { scheduler, worker } => {
                if let Some(cold) = self.cold.get_mut(&worker) {
                    cold.aware.insert(scheduler);
                }
            }
            Seen::Warm { worker } => _ = self.cold.remove(&worker),
        }
    }

    /// A cold job worker falls at N + 3 roots of N + 3 jobs of mean work in the window, N being what the rule allows it
    /// then; the rule is broken where over two thirds of that came from schedulers that had been told of the start.
    fn sent_to_cold(&mut self, scheduler: u32, worker: u32, at: Micros, work: Micros) {
        let rules = &self.scenario.rules;
        let window = rules.tip_window_ms * 1000;
        let Some(cold) = self.cold.get_mut(&worker) else {
            return;
        };
        let knew = if cold.aware.contains(&scheduler) {
            work as f64
        } else {
            0.0
        };
        cold.sent.push_back((at, work as f64, knew));
        cold.sums = (cold.sums.0 + work as f64, cold.sums.1 + knew);
        while cold.sent.front().is_some_and(|(t, ..)| t + window < at) {
            let (_, all, knew) = cold.sent.pop_front().unwrap_or_default();
            cold.sums = (cold.sums.0 - all, cold.sums.1 - knew);
        }
        let allowed = rules.tip_multiple * cold.capacity * window as f64;
        let mean = self.scenario.mean_total_work().max(1.0);
        let n = allowed / mean;
        let falls = cold.sums.0 > (n + 3.0 * n.sqrt() + 3.0) * mean
            && 3.0 * cold.sums.1 > 2.0 * cold.sums.0;
        let multiple = cold.sums.0 / (cold.capacity * window as f64).max(1e-9);
        self.verdict.most_on_cold = self.verdict.most_on_cold.max(multiple);
        if falls {
            self.breach(
                Rule::Cold,
                at,
                format!(
                    "job worker {worker} is cold and was sent {multiple:.2} times what it can do"
                ),
            );
        }
    }

    /// A job that is answered is looked at no more once it cannot run again: those that may are kept.
    fn forget(&mut self, job: Job) {
        // A retry by the scheduler after the answer would be a breach, and is looked for: all are kept for a while.
        const ROOM: usize = 400_000;
        if self.jobs.len() > ROOM && self.jobs.len().is_multiple_of(1024) {
            self.jobs
                .retain(|n, k| *n + ROOM as u64 > job || !(k.answered || k.gone));
        }
    }

    /// All is over: what has no answer was lost.
    pub fn finish(mut self, now: Micros) -> Verdict {
        let open = |(job, k): (&Job, &Known)| (!k.answered && !k.gone).then_some((*job, k.until));
        let mut lost: Vec<(Job, Micros)> = self.jobs.iter().filter_map(open).collect();
        lost.sort_unstable();
        for (job, until) in lost {
            self.breach(
                Rule::OneAnswer,
                until.min(now),
                format!("job {job} was never answered"),
            );
        }
        self.verdict
    }
}
