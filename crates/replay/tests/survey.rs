//! The survey gives the same rows on any number of threads and after an interruption, and policies rank as expected on scenarios
//! whose ranking is known.

use indigofold_replay::baseline::Policy;
use indigofold_replay::load::Made;
use indigofold_replay::scenario::{self, Fault, FaultKind, Order, Scenario, Things};
use indigofold_replay::survey::{self, Plan, VERSION, draw, page};
use indigofold_replay::virtual_time::{Retries, Run, Simulation};

fn plan(policies: &[Policy]) -> Plan {
    Plan {
        version: VERSION,
        seed: 3,
        runs: 2,
        policies: policies.to_vec(),
    }
}

const COMPARED_POLICIES: [Policy; 3] = [Policy::Module, Policy::Random, Policy::ByKey];

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn rows_are_the_same_on_any_number_of_threads_and_after_an_interruption() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = |name: &str| dir.path().join(name);
    let plan = plan(&COMPARED_POLICIES);
    let complete = survey::survey(&plan, 5, 1, &path("one"), |_| {}).expect("played");
    assert_eq!(
        complete,
        survey::survey(&plan, 5, 4, &path("four"), |_| {}).expect("played")
    );
    // An interruption in the middle of a line: complete rows are kept, and not played a second time.
    let text = std::fs::read_to_string(path("one")).expect("rows");
    let end = text.match_indices('\n').nth(3).expect("four lines").0;
    std::fs::write(path("torn"), &text[..end + 40]).expect("written");
    let played = std::sync::atomic::AtomicU64::new(0);
    let count = |_| _ = played.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    assert_eq!(
        complete,
        survey::survey(&plan, 5, 2, &path("torn"), count).expect("played")
    );
    assert_eq!(played.into_inner(), 2, "three of five rows were complete");
    assert_eq!(
        survey::survey(&plan, 3, 2, &path("torn"), |_| {})
            .expect("there")
            .len(),
        3
    );
    // A file of another survey is rejected, and a file that is no survey is rejected and left unchanged.
    let other = Plan {
        seed: 4,
        ..plan.clone()
    };
    let error = survey::survey(&other, 5, 1, &path("one"), |_| {})
        .expect_err("another")
        .to_string();
    assert!(
        error.contains("it holds another survey (seed 3, 2 runs, version 1)"),
        "{error}"
    );
    std::fs::write(path("notes"), "my notes\n").expect("written");
    let error = survey::survey(&plan, 5, 1, &path("notes"), |_| {})
        .expect_err("no survey")
        .to_string();
    assert!(error.contains("it is no survey"), "{error}");
    assert_eq!(
        std::fs::read_to_string(path("notes")).expect("there"),
        "my notes\n"
    );
    let error = survey::survey(&Plan { runs: 1, ..plan }, 5, 1, &path("x"), |_| {})
        .expect_err("too few")
        .to_string();
    assert_eq!(error, "1 runs given, 2 to 16 are allowed");
    // The summary, the HTML page and the text show the survey.
    let summary = survey::summarise(&complete, 2);
    assert_eq!((summary.count, summary.worst.len()), (5, 2));
    let html = page::render_html("A survey", &complete, &summary).expect("a page");
    assert!(html.contains("<svg") && html.contains(&format!("Deployment {}", summary.worst[0])));
    assert!(page::render_text(&complete, &summary).contains("5 deployments"));
}

fn play(s: &Scenario, policy: Policy, seed: u64) -> Run {
    let simulation =
        Simulation::with_policy(s, seed, Retries::Model, policy).expect("a simulation");
    simulation
        .play(Made::new(s, seed).expect("load"), |_| {}, |_| {})
        .expect("a run")
}

/// One class and equal workers at 60% load, without object caches and faults.
fn simple_scenario() -> Scenario {
    let mut s = scenario::read(include_str!("../../../examples/replay/ten-minutes.json"))
        .expect("the example");
    s.classes.truncate(1);
    s.classes[0].slots = vec![1.0];
    s.kinds.truncate(1);
    s.kinds[0].speed = [1.0, 1.0];
    s.load = scenario::Load {
        seconds: 20.0,
        rate: s.capacity() * 0.6,
        ..scenario::Load::default()
    };
    s.faults.clear();
    s
}

#[test]
fn the_all_knowing_policy_is_ahead_of_the_random_one() {
    let mut s = simple_scenario();
    s.load.rate = s.capacity() * 0.85;
    for seed in 1..4 {
        let service_metric = |policy| play(&s, policy, seed).outcome.service_metric;
        let (all, two, any) = (
            service_metric(Policy::AllKnowing),
            service_metric(Policy::TwoChoices),
            service_metric(Policy::Random),
        );
        assert!(
            all > any + 0.02 && two > any,
            "seed {seed}: {all:.3}, {two:.3}, {any:.3}"
        );
    }
}

/// With object caches on the workers, policies that choose by subject need fewer fetches, and so does the module.
#[test]
fn policies_that_choose_by_subject_fetch_less() {
    let mut s = simple_scenario();
    s.classes[0].work_ms = 300.0;
    s.classes[0].latency_target_ms = 600;
    s.schedulers = 2;
    s.clients.subjects = 60;
    s.load.rate = s.capacity() * 0.5;
    s.machines.things = Some(Things {
        kept: 4,
        fetch: 0.6,
        at_once: 20.0,
    });
    s.machines.reports = false;
    let fetches =
        |policy| play(&s, policy, 5).fetches as f64 / play(&s, policy, 5).outcome.counts[0] as f64;
    let (random, by_key, module) = (
        fetches(Policy::Random),
        fetches(Policy::ByKey),
        fetches(Policy::Module),
    );
    assert!(
        by_key < 0.75 * random && module < 0.75 * random,
        "{random:.2}, {by_key:.2}, {module:.2}"
    );
    s.machines.things = None;
    assert_eq!(play(&s, Policy::Random, 5).fetches, 0);
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn faults_lower_the_service_metric() {
    let calm = simple_scenario();
    let base = play(&calm, Policy::Random, 2).outcome;
    let all = (0..calm.workers()).collect::<Vec<_>>();
    let with = |what: FaultKind| {
        let mut s = calm.clone();
        s.faults = vec![Fault {
            at_s: 5.0,
            for_s: 8.0,
            workers: all.clone(),
            what,
        }];
        play(&s, Policy::Random, 2).outcome
    };
    let slow = with(FaultKind::Slow { times: 3.0 });
    assert!(
        slow.overall < base.overall - 0.1,
        "{:.3} of {:.3}",
        slow.overall,
        base.overall
    );
    let late = slow.seconds[18..].iter().map(|s| s.earned).sum::<f64>();
    let offered = slow.seconds[18..].iter().map(|s| s.offered).sum::<f64>();
    assert!(
        late > 0.8 * offered,
        "the service recovers once the fault has ended: {late:.0} of {offered:.0} earned"
    );
    // Hot objects change only the subjects of jobs; without object caches, the outcome stays the same.
    let mut hot = calm.clone();
    let what = FaultKind::HotThings {
        fraction: 0.5,
        things: 2,
    };
    hot.faults = vec![Fault {
        at_s: 0.0,
        for_s: 20.0,
        workers: Vec::new(),
        what,
    }];
    let subjects = |s: &Scenario| -> Vec<String> {
        Made::new(s, 2)
            .expect("load")
            .map(|a| a.expect("an arrival").subject)
            .collect()
    };
    let hot_fraction = |s: &Scenario| {
        let subjects = subjects(s);
        subjects.iter().filter(|s| s.starts_with("hot-")).count() as f64 / subjects.len() as f64
    };
    assert!((hot_fraction(&hot) - 0.5).abs() < 0.05 && hot_fraction(&calm) == 0.0);
    assert_eq!(play(&hot, Policy::Random, 2).outcome, base);
}

#[test]
fn cancelled_jobs_stop_only_where_workers_stop_them() {
    let mut s = simple_scenario();
    s.classes[0].deadline_ms = 300; // many jobs miss this deadline and are cancelled
    s.classes[0].latency_target_ms = 100;
    s.load.rate = s.capacity() * 1.4;
    let served = |cancel: bool| {
        let mut s = s.clone();
        s.machines.cancel = cancel;
        play(&s, Policy::TwoChoices, 2).outcome.ends[0]
    };
    let (stops, goes_on) = (served(true), served(false));
    assert!(
        stops as f64 > 1.05 * goes_on as f64,
        "served in time: {stops} if cancelled jobs stop, {goes_on} if they go on"
    );
}

/// The module breaks no rule on 24 randomly drawn deployments.
#[test]
fn the_module_keeps_the_rules_on_drawn_deployments() {
    for number in 0..24 {
        let s = draw::deployment(11, number);
        let run = play(&s, Policy::Module, number);
        assert!(
            run.verdict.kept(),
            "deployment {number}: {:?}",
            run.verdict.examples
        );
    }
}

#[test]
fn valid_scenarios_are_read_and_invalid_ones_rejected() {
    let mut s = simple_scenario();
    s.machines.order = Order::WhateverFits;
    s.machines.things = Some(Things {
        kept: 3,
        fetch: 0.5,
        at_once: 4.0,
    });
    let text = serde_json::to_string(&s).expect("JSON");
    assert_eq!(
        scenario::read(&text).expect("whole").machines.order,
        Order::WhateverFits
    );
    let wrong = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        scenario::read(&text.replace(from, to))
            .expect_err("wrong")
            .to_string()
    };
    assert!(wrong("\"at-once\":4.0", "\"at-once\":0.0").contains("at /machines/things"));
    assert!(wrong("\"whatever-fits\"", "\"any\"").contains("/machines/order"));
    s.faults = vec![Fault {
        at_s: 1.0,
        for_s: 1.0,
        workers: vec![0],
        what: FaultKind::Slow { times: 0.5 },
    }];
    let error = scenario::read(&serde_json::to_string(&s).expect("JSON"))
        .expect_err("faster")
        .to_string();
    assert!(
        error.contains("at /troubles/0/what/slow/times: 0.5 given, over 1 and up to 1000"),
        "{error}"
    );
}

/// On the example scenario of the second deployment, the module keeps the rules and is ahead of the random policy.
#[test]
fn the_example_of_the_second_deployment_is_played() {
    let mut s =
        scenario::read(include_str!("../../../examples/replay/tolls.json")).expect("the example");
    s.load.seconds = 60.0;
    s.load.jumps.clear();
    s.faults.retain(|t| t.at_s + t.for_s < 55.0);
    let (module, random) = (play(&s, Policy::Module, 1), play(&s, Policy::Random, 1));
    assert!(module.verdict.kept(), "{:?}", module.verdict.examples);
    assert!(
        module.outcome.service_metric > random.outcome.service_metric,
        "{} {}",
        module.outcome.service_metric,
        random.outcome.service_metric
    );
}
