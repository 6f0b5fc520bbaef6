//! Every checker reports breaches of its rule, and reports nothing when the rule is kept.

use indigofold_replay::check::{Checker, Observation, Rule, Verdict};
use indigofold_replay::scenario::{self, Scenario};

fn scenario() -> Scenario {
    scenario::read(include_str!("../../../examples/replay/ten-minutes.json")).expect("the example")
}

const UNSAFE: u32 = 0;
const KEYED: u32 = 1;

fn verdict(observations: impl Fn(u64) -> Vec<Observation>) -> Verdict {
    let scenario = scenario();
    let mut checker = Checker::new(&scenario);
    observations(scenario.from())
        .into_iter()
        .for_each(|observation| checker.observe(observation));
    checker.finish(scenario.from() + 60_000_000)
}

fn accepted(job: u64, class: u32, at: u64) -> Observation {
    Observation::RequestAccepted {
        job,
        class,
        at,
        until: at + 5_000_000,
    }
}

fn sent(job: u64, worker: u32, at: u64) -> Observation {
    Observation::AttemptSent {
        job,
        scheduler: 0,
        worker,
        at,
        work: 200_000,
    }
}

fn answered(job: u64, served: bool, at: u64) -> Observation {
    Observation::RequestAnswered {
        job,
        served,
        refused: false,
        at,
    }
}

/// The observations of a job that is served without a breach.
fn served(job: u64, class: u32, t: u64) -> Vec<Observation> {
    vec![
        accepted(job, class, t),
        sent(job, 3, t + 1_000),
        Observation::AttemptAccepted {
            job,
            worker: 3,
            at: t + 2_000,
        },
        Observation::ResultProduced { job },
        answered(job, true, t + 200_000),
    ]
}

#[track_caller]
fn assert_breaks(rule: Rule, observations: impl Fn(u64) -> Vec<Observation>) {
    let found = verdict(observations);
    assert_eq!(
        found.breaches.keys().copied().collect::<Vec<_>>(),
        [rule],
        "{:?}",
        found.examples
    );
}

#[track_caller]
fn assert_keeps(observations: impl Fn(u64) -> Vec<Observation>) {
    let found = verdict(observations);
    assert!(found.kept(), "{:?}", found.examples);
}

#[test]
fn each_job_gets_one_answer_by_its_deadline() {
    assert_keeps(|t| served(1, UNSAFE, t));
    assert_breaks(Rule::OneAnswer, |t| served(1, UNSAFE, t)[..4].to_vec());
    assert_breaks(Rule::OneAnswer, |t| {
        [served(1, UNSAFE, t), vec![answered(1, true, t + 300_000)]].concat()
    });
    assert_breaks(Rule::OneAnswer, |t| {
        vec![accepted(1, UNSAFE, t), answered(1, false, t + 5_100_000)]
    });
    assert_breaks(Rule::OneAnswer, |t| vec![answered(1, false, t)]);
    assert_keeps(|t| vec![accepted(1, UNSAFE, t), answered(1, false, t + 5_060_000)]);
    assert_keeps(|t| vec![accepted(1, UNSAFE, t), Observation::ClientLeft { job: 1 }]);
}

#[test]
fn served_results_were_produced_by_a_worker() {
    assert_breaks(Rule::ResultProduced, |t| {
        vec![
            accepted(1, UNSAFE, t),
            sent(1, 3, t),
            answered(1, true, t + 1_000),
        ]
    });
}

#[test]
fn unsafe_jobs_run_once_and_keyed_jobs_repeat_only_within_their_window() {
    let twice = |class: u32, after: u64| {
        move |t: u64| {
            let mut all = vec![
                Observation::RequestAccepted {
                    job: 1,
                    class,
                    at: t,
                    until: t + 20_000_000,
                },
                sent(1, 3, t),
            ];
            all.extend([
                Observation::AttemptAccepted {
                    job: 1,
                    worker: 3,
                    at: t + 1_000,
                },
                sent(1, 4, t + after),
            ]);
            all.extend([
                Observation::AttemptAccepted {
                    job: 1,
                    worker: 4,
                    at: t + after + 1_000,
                },
                Observation::ResultProduced { job: 1 },
            ]);
            all.push(answered(1, true, t + after + 100_000));
            all
        }
    };
    assert_breaks(Rule::Repeats, twice(UNSAFE, 400_000));
    assert_keeps(twice(KEYED, 7_000_000));
    assert_breaks(Rule::Repeats, twice(KEYED, 7_700_000));
    // An attempt that the worker returned before it started does not count as a run.
    assert_keeps(|t| {
        let mut all = twice(UNSAFE, 400_000)(t);
        all.insert(3, Observation::AttemptReturned { job: 1 });
        all
    });
}

#[test]
fn refused_unsafe_jobs_never_ran() {
    let refused = |t: u64, class: u32, runs: bool| {
        let mut all = vec![accepted(1, class, t), sent(1, 3, t)];
        all.extend(runs.then_some(Observation::AttemptAccepted {
            job: 1,
            worker: 3,
            at: t,
        }));
        all.push(Observation::RequestAnswered {
            job: 1,
            served: false,
            refused: true,
            at: t + 100_000,
        });
        all
    };
    assert_breaks(Rule::Refusal, |t| refused(t, UNSAFE, true));
    assert_keeps(|t| refused(t, UNSAFE, false));
    assert_keeps(|t| refused(t, KEYED, true));
}

#[test]
fn attempts_are_limited() {
    let attempts = |t: u64, count: u64| {
        let mut all = vec![accepted(1, KEYED, t)];
        all.extend((0..count).map(|n| sent(1, n as u32, t + n)));
        all.push(answered(1, false, t + 100_000));
        all
    };
    assert_keeps(|t| attempts(t, 4));
    assert_breaks(Rule::Attempts, |t| attempts(t, 5));
}

#[test]
fn draining_workers_get_no_new_attempts() {
    let after = |ms: u64, scheduler: u32, back: bool| {
        move |t: u64| {
            let mut all = vec![Observation::AvailabilityReported {
                scheduler,
                worker: 3,
                available: false,
                at: t,
            }];
            all.extend(back.then_some(Observation::AvailabilityReported {
                scheduler,
                worker: 3,
                available: true,
                at: t + 10_000,
            }));
            // A second report changes nothing: the grace period counts from the first one.
            all.push(Observation::AvailabilityReported {
                scheduler,
                worker: 3,
                available: false,
                at: t + ms * 1_000 - 1,
            });
            all.extend(served(1, UNSAFE, t + ms * 1_000));
            all
        }
    };
    // The attempt is sent 1 ms after the job was accepted.
    assert_keeps(after(340, 0, false));
    assert_breaks(Rule::Drain, after(360, 0, false));
    assert_keeps(after(360, 1, false));
    assert_keeps(after(360, 0, true));
}

#[test]
fn warming_workers_are_not_overloaded_by_all_schedulers_together() {
    // The worker has a capacity of 1 core: three times that over 2 s is 6 s of work. The limit adds a margin for random
    // variation.
    let mean = scenario().mean_total_work();
    let n = 6e6 / mean;
    let most = ((n + 3.0 * n.sqrt() + 3.0) * mean / 200_000.0) as u64;
    let burst_of = |count: u64, interval: u64, informed: u32| {
        move |t: u64| {
            let mut all = vec![Observation::WarmingUp {
                worker: 3,
                at: t,
                capacity: 1.0,
            }];
            all.extend((0..informed).map(|scheduler| Observation::RestartReported {
                scheduler,
                worker: 3,
            }));
            for n in 0..count {
                let at = t + n * interval;
                all.extend([accepted(n, KEYED, at), answered(n, false, at + 1)]);
                let scheduler = (n % 3) as u32;
                all.push(Observation::AttemptSent {
                    job: n,
                    scheduler,
                    worker: 3,
                    at,
                    work: 200_000,
                });
            }
            all
        }
    };
    let burst = |count, interval| burst_of(count, interval, 3);
    assert_keeps(burst(most, 1_000));
    assert_breaks(Rule::WarmUp, burst(most + 1, 1_000));
    // Only a third of the work comes from a scheduler that knew of the restart, which is no breach.
    assert_keeps(burst_of(most + 6, 1_000, 1));
    assert_keeps(burst(300, 100_000));
    let found = verdict(burst(30, 1_000));
    assert!(
        (found.peak_warm_up_load - 3.0).abs() < 1e-9,
        "{}",
        found.peak_warm_up_load
    );
    assert_keeps(|t| {
        let mut all = burst(40, 1_000)(t);
        all.insert(4, Observation::WarmedUp { worker: 3 });
        all
    });
}

/// Two concurrent attempts are a breach where speculative runs are not allowed. A second attempt after the first has ended or
/// was cancelled is not.
#[test]
fn no_speculative_runs_where_they_are_not_allowed() {
    let mut scenario = scenario();
    scenario.machines.speculative_runs = false;
    let found = |observations: &[Observation]| {
        let mut checker = Checker::new(&scenario);
        let t = scenario.from();
        checker.observe(accepted(1, KEYED, t));
        observations
            .iter()
            .for_each(|observation| checker.observe(*observation));
        checker.observe(Observation::ResultProduced { job: 1 });
        checker.observe(answered(1, true, t + 900_000));
        checker
            .finish(t + 60_000_000)
            .breaches
            .keys()
            .copied()
            .collect::<Vec<_>>()
    };
    let t = scenario.from();
    let (first, second) = (sent(1, 2, t), sent(1, 3, t + 500_000));
    assert_eq!(found(&[first, second]), [Rule::SpeculativeRuns]);
    assert_eq!(
        found(&[first, Observation::AttemptEnded { job: 1 }, second]),
        []
    );
    assert_eq!(
        found(&[first, Observation::AttemptCancelled { job: 1 }, second]),
        []
    );
}
