//! Checks a run against the platform's rules, in virtual time and on sockets alike. The checker sees only observations of
//! what happened, not how a scheduler decided.

mod warm_up;

use crate::scenario::{Effect, Micros, Scenario};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use warm_up::WarmUpLoad;

/// Number of breaches that are described; further ones are only counted.
const MAX_EXAMPLES: usize = 20;
/// Number of jobs beyond which the state of old answered jobs is dropped: no further attempt of them is expected.
const MAX_JOBS: usize = 400_000;
/// Beyond [`MAX_JOBS`], old jobs are dropped whenever the number of jobs is a multiple of this.
const DROP_INTERVAL: usize = 1024;

/// Identifies a job at one scheduler, which is one request of a client.
pub type Job = u64;

#[allow(missing_docs, reason = "the variants' comments describe the fields")]
/// An event of a run. Events that one rule relates to each other arrive in order of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A scheduler has accepted a request of this class and owes a response by `until`.
    RequestAccepted {
        job: Job,
        class: u32,
        at: Micros,
        until: Micros,
    },
    /// The scheduler has sent its response to the client.
    RequestAnswered {
        job: Job,
        served: bool,
        refused: bool,
        at: Micros,
    },
    /// The client has stopped waiting: no response is owed.
    ClientLeft { job: Job },
    /// A scheduler has begun to send an attempt to a worker; `work` is the job's running time at speed 1 times its slots.
    AttemptSent {
        job: Job,
        scheduler: u32,
        worker: u32,
        at: Micros,
        work: Micros,
    },
    /// A worker has accepted an attempt, which it starts now or later.
    AttemptAccepted { job: Job, worker: u32, at: Micros },
    /// The worker has returned an accepted attempt without running it.
    AttemptReturned { job: Job },
    /// A worker has produced the job's result.
    ResultProduced { job: Job },
    /// A scheduler has learned how an attempt ended.
    AttemptEnded { job: Job },
    /// A scheduler has cancelled an attempt.
    AttemptCancelled { job: Job },
    /// A scheduler has learned whether a worker takes new attempts.
    AvailabilityReported {
        scheduler: u32,
        worker: u32,
        available: bool,
        at: Micros,
    },
    /// A worker is warming up; `capacity` is the work that it does per microsecond from now on.
    WarmingUp {
        worker: u32,
        at: Micros,
        capacity: f64,
    },
    /// A scheduler has learned that a worker has restarted and is warming up.
    RestartReported { scheduler: u32, worker: u32 },
    /// The worker has finished warming up or has ended.
    WarmedUp { worker: u32 },
}

/// A rule of the platform. Stored results hold its serialised names and its `Display` texts, so neither may change.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each job gets one final response, in time.
    OneAnswer,
    /// A served response is a result that a worker produced for that job.
    #[serde(rename = "made")]
    ResultProduced,
    /// An unsafe job runs at most once; a keyed job repeats only within its deduplication window.
    Repeats,
    /// A job is refused only if it had no effect or if a repeat is harmless.
    Refusal,
    /// A job has no more attempts than the scenario allows.
    Attempts,
    /// A job has one attempt at a time unless the scenario allows speculative runs.
    #[serde(rename = "copies")]
    SpeculativeRuns,
    /// No attempt is sent to a worker that is draining or has ended.
    Drain,
    /// The schedulers together do not overload a worker that is warming up.
    #[serde(rename = "cold")]
    WarmUp,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "OneAnswer",
            Rule::ResultProduced => "Made",
            Rule::Repeats => "Repeats",
            Rule::Refusal => "Refusal",
            Rule::Attempts => "Attempts",
            Rule::SpeculativeRuns => "Copies",
            Rule::Drain => "Drain",
            Rule::WarmUp => "Cold",
        })
    }
}

impl fmt::Debug for Rule {
    /// Writes the same text as `Display`: the command line prints the map of breaches with `{:?}`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The result of the checks. Stored results hold its serialised names, so they may not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Number of breaches by rule; rules without a breach are absent.
    pub breaches: BTreeMap<Rule, u64>,
    /// Descriptions of the first breaches, at most 20.
    pub examples: Vec<String>,
    /// The greatest load on a worker that was warming up, over a sliding window of `tip-window-ms`, in multiples of the
    /// worker's capacity.
    #[serde(rename = "most_on_cold")]
    pub peak_warm_up_load: f64,
    /// The longest time between a scheduler learning that a worker takes no new attempts and sending it one, in milliseconds.
    #[serde(rename = "latest_after_told_ms")]
    pub latest_send_after_drain_ms: f64,
}

impl Verdict {
    /// Whether all rules were kept.
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// State of a job, from the observations so far.
#[derive(Clone, Debug)]
struct JobState {
    class: u32,
    answer_due: Micros,
    answered: bool,
    client_left: bool,
    result_produced: bool,
    attempts_sent: u32,
    /// Attempts that have neither ended nor been cancelled.
    attempts_open: u32,
    /// Accepted attempts that were not returned.
    runs: u32,
    /// When the first of `runs` was accepted.
    first_run: Option<Micros>,
}

impl JobState {
    fn new(class: u32, answer_due: Micros) -> Self {
        JobState {
            class,
            answer_due,
            answered: false,
            client_left: false,
            result_produced: false,
            attempts_sent: 0,
            attempts_open: 0,
            runs: 0,
            first_run: None,
        }
    }

    fn response_owed(&self) -> bool {
        !self.answered && !self.client_left
    }
}

/// Checks observations against the rules of a scenario.
pub struct Checker<'a> {
    scenario: &'a Scenario,
    jobs: FxHashMap<Job, JobState>,
    /// When a scheduler learned that a worker takes no new attempts, by (scheduler, worker).
    draining_since: FxHashMap<(u32, u32), Micros>,
    warm_up: WarmUpLoad,
    verdict: Verdict,
}

impl<'a> Checker<'a> {
    /// Creates a checker that has no observations yet.
    pub fn new(scenario: &'a Scenario) -> Self {
        Checker {
            scenario,
            jobs: FxHashMap::default(),
            draining_since: FxHashMap::default(),
            warm_up: WarmUpLoad::new(scenario),
            verdict: Verdict::default(),
        }
    }

    fn record_breach(&mut self, rule: Rule, at: Micros, text: String) {
        *self.verdict.breaches.entry(rule).or_default() += 1;
        if self.verdict.examples.len() < MAX_EXAMPLES {
            let second = at.saturating_sub(self.scenario.from()) as f64 / 1e6;
            let example = format!("{rule} at {second:.3} s: {text}");
            self.verdict.examples.push(example);
        }
    }

    /// Tolerance added to each time limit, in microseconds.
    fn slack(&self) -> Micros {
        self.scenario.rules.slack_ms * 1000
    }

    fn effect(&self, class: u32) -> Effect {
        self.scenario.classes[class as usize].effect
    }

    /// Updates the state and records each breach that the observation shows.
    #[allow(clippy::too_many_lines, reason = "an arm for each kind of observation")]
    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::RequestAccepted {
                job, class, until, ..
            } => _ = self.jobs.insert(job, JobState::new(class, until)),
            Observation::RequestAnswered {
                job,
                served,
                refused,
                at,
            } => self.check_answer(job, served, refused, at),
            Observation::ClientLeft { job } => {
                self.update_job(job, |state| state.client_left = true);
                self.drop_old_jobs(job);
            }
            Observation::AttemptSent {
                job,
                scheduler,
                worker,
                at,
                work,
            } => {
                self.check_drain(scheduler, worker, at);
                self.check_warm_up(scheduler, worker, at, work);
                self.check_attempt(job, at);
            }
            Observation::AttemptAccepted { job, at, .. } => self.check_run(job, at),
            Observation::AttemptReturned { job } => self.update_job(job, |state| {
                state.runs = state.runs.saturating_sub(1);
                if state.runs == 0 {
                    state.first_run = None;
                }
            }),
            Observation::AttemptEnded { job } | Observation::AttemptCancelled { job } => {
                self.update_job(job, |state| {
                    state.attempts_open = state.attempts_open.saturating_sub(1);
                });
            }
            Observation::ResultProduced { job } => {
                self.update_job(job, |state| state.result_produced = true);
            }
            Observation::AvailabilityReported {
                scheduler,
                worker,
                available,
                at,
            } => self.record_availability((scheduler, worker), available, at),
            Observation::WarmingUp {
                worker, capacity, ..
            } => self.warm_up.set_capacity(worker, capacity),
            Observation::RestartReported { scheduler, worker } => {
                self.warm_up.add_informed_scheduler(worker, scheduler);
            }
            Observation::WarmedUp { worker } => self.warm_up.remove(worker),
        }
    }

    fn update_job(&mut self, job: Job, update: impl FnOnce(&mut JobState)) {
        if let Some(state) = self.jobs.get_mut(&job) {
            update(state);
        }
    }

    fn record_availability(&mut self, pair: (u32, u32), available: bool, at: Micros) {
        if available {
            self.draining_since.remove(&pair);
        } else {
            self.draining_since.entry(pair).or_insert(at);
        }
    }

    fn check_answer(&mut self, job: Job, served: bool, refused: bool, at: Micros) {
        let Some(state) = self.jobs.get_mut(&job) else {
            let text = format!("job {job} was answered and never accepted");
            return self.record_breach(Rule::OneAnswer, at, text);
        };
        let answered_before = std::mem::replace(&mut state.answered, true);
        let state = state.clone();
        if answered_before {
            let text = format!("job {job} has a second answer");
            self.record_breach(Rule::OneAnswer, at, text);
        }
        let allowed = self.scenario.rules.answer_slack_ms * 1000 + self.slack();
        if !state.client_left && at > state.answer_due + allowed {
            let late = (at - state.answer_due) as f64 / 1e3;
            let text = format!("job {job} was answered {late:.1} ms too late");
            self.record_breach(Rule::OneAnswer, at, text);
        }
        if served && !state.result_produced {
            let text = format!("job {job} was served a result that no job worker produced");
            self.record_breach(Rule::ResultProduced, at, text);
        }
        if refused && state.runs > 0 && self.effect(state.class) == Effect::Unsafe {
            let text = format!("job {job} was refused although it may have run");
            self.record_breach(Rule::Refusal, at, text);
        }
        self.drop_old_jobs(job);
    }

    fn check_drain(&mut self, scheduler: u32, worker: u32, at: Micros) {
        let Some(since) = self.draining_since.get(&(scheduler, worker)).copied() else {
            return;
        };
        let after = at.saturating_sub(since);
        let ms = after as f64 / 1e3;
        let latest = &mut self.verdict.latest_send_after_drain_ms;
        *latest = latest.max(ms);
        if after > self.scenario.rules.drain_grace_ms * 1000 + self.slack() {
            let text = format!(
                "scheduler {scheduler} sent to job worker {worker} {ms:.0} ms after it learned of the drain or end"
            );
            self.record_breach(Rule::Drain, at, text);
        }
    }

    fn check_warm_up(&mut self, scheduler: u32, worker: u32, at: Micros, work: Micros) {
        let Some(load) = self.warm_up.record_send(scheduler, worker, at, work) else {
            return;
        };
        let peak = &mut self.verdict.peak_warm_up_load;
        *peak = peak.max(load.multiple);
        if load.overloaded {
            let text = format!(
                "job worker {worker} is warming up and was sent {:.2} times its capacity",
                load.multiple
            );
            self.record_breach(Rule::WarmUp, at, text);
        }
    }

    fn check_attempt(&mut self, job: Job, at: Micros) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        let others_open = state.attempts_open;
        state.attempts_sent += 1;
        state.attempts_open += 1;
        let state = state.clone();
        if others_open > 0 && !self.scenario.machines.speculative_runs {
            let text = format!("job {job} was sent while another attempt was open");
            self.record_breach(Rule::SpeculativeRuns, at, text);
        }
        if state.attempts_sent > self.scenario.rules.attempts {
            let text = format!("job {job} was sent {} times", state.attempts_sent);
            self.record_breach(Rule::Attempts, at, text);
        }
        match self.effect(state.class) {
            Effect::Unsafe if state.runs > 0 => {
                let text = format!("job {job} must not repeat, and was sent again");
                self.record_breach(Rule::Repeats, at, text);
            }
            Effect::Keyed(window_ms) => {
                let window = window_ms * 1000 + self.slack();
                if state.first_run.is_some_and(|first| at > first + window) {
                    let text = format!("job {job} was repeated outside its window");
                    self.record_breach(Rule::Repeats, at, text);
                }
            }
            Effect::Safe | Effect::Unsafe => {}
        }
    }

    fn check_run(&mut self, job: Job, at: Micros) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.runs += 1;
        state.first_run.get_or_insert(at);
        let (runs, class) = (state.runs, state.class);
        if runs > 1 && self.effect(class) == Effect::Unsafe {
            let text = format!("job {job} must not repeat, and ran twice");
            self.record_breach(Rule::Repeats, at, text);
        }
    }

    /// Drops the state of old jobs that are owed no response. Newer jobs are kept after their response, as a further attempt
    /// may still break a rule.
    fn drop_old_jobs(&mut self, newest: Job) {
        if self.jobs.len() > MAX_JOBS && self.jobs.len().is_multiple_of(DROP_INTERVAL) {
            self.jobs
                .retain(|job, state| *job + MAX_JOBS as u64 > newest || state.response_owed());
        }
    }

    /// Ends the run at `now` and returns the verdict. Each job that is still owed a response is a breach.
    pub fn finish(mut self, now: Micros) -> Verdict {
        let owed = self.jobs.iter().filter(|(_, state)| state.response_owed());
        let mut lost: Vec<(Job, Micros)> =
            owed.map(|(job, state)| (*job, state.answer_due)).collect();
        lost.sort_unstable();
        for (job, answer_due) in lost {
            let text = format!("job {job} was never answered");
            self.record_breach(Rule::OneAnswer, answer_due.min(now), text);
        }
        self.verdict
    }
}
