//! Virtual time: the same seed gives the same run, and a replayed recording reaches nearly the same service metric as the
//! original run.

use indigofold_replay::compare::compare;
use indigofold_replay::export::{Form, Log, LogDamage, mapping};
use indigofold_replay::load::{Made, Recorded};
use indigofold_replay::scenario::{self, Fault, FaultKind, Jump, Scenario};
use indigofold_replay::virtual_time::{LoggedRequest, Retries, Run, Simulation};
use indigofold_replay::{report, retry_folding};
use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::detect::Kind;
use indigofold_traffic::import::{Imported, Options, import};
use indigofold_traffic::mapping::Mapping;
use indigofold_traffic::recording::Reader;
use std::sync::Arc;

/// A scenario of 90 s with a load jump, a hang, a crash and a drain.
fn scenario() -> Scenario {
    let mut s = scenario::read(include_str!("../../../examples/replay/ten-minutes.json"))
        .expect("the example");
    s.load.seconds = 90.0;
    s.load.jumps = vec![Jump {
        at_s: 40.0,
        for_s: 6.0,
        times: 2.2,
        edge_s: 0.5,
    }];
    let fault = |at_s, for_s, worker, what| Fault {
        at_s,
        for_s,
        workers: vec![worker],
        what,
    };
    s.faults = vec![
        fault(10.0, 12.0, 4, FaultKind::Hang),
        fault(30.0, 5.0, 7, FaultKind::Crash),
        fault(60.0, 5.0, 1, FaultKind::Drain),
    ];
    s
}

fn play_generated(s: &Scenario, seed: u64) -> Run {
    let simulation = Simulation::new(s, seed, Retries::Model).expect("a simulation");
    simulation
        .play(Made::new(s, seed).expect("load"), |_| {}, |_| {})
        .expect("a run")
}

/// Plays a generated load, writes access logs in this form, and imports a recording from these logs alone.
fn record_and_import(
    s: &Scenario,
    seed: u64,
    form: Form,
    damage: LogDamage,
) -> (Run, Imported, Vec<u8>) {
    let dir = tempfile::tempdir().expect("a folder");
    let paths: Vec<_> = (0..s.schedulers)
        .map(|n| dir.path().join(format!("{n}.log")))
        .collect();
    let file = |p| std::io::BufWriter::new(std::fs::File::create(p).expect("a file"));
    let mut logs: Vec<_> = paths
        .iter()
        .map(|p| Log::new(form, file(p), damage, seed).expect("a log"))
        .collect();
    let simulation = Simulation::new(s, seed, Retries::Model).expect("a simulation");
    let log = |t: LoggedRequest<'_>| logs[t.scheduler as usize].write(s, &t).expect("written");
    let run = simulation
        .play(Made::new(s, seed).expect("load"), log, |_| {})
        .expect("a run");
    logs.into_iter().for_each(|l| l.finish().expect("written"));
    let mapping = Mapping::read(&mapping(s, form).to_string()).expect("a mapping");
    let format = match form {
        Form::Har => Kind::Har,
        _ => Kind::AccessLog(LogFormat::named(&form.name()).expect("a format")),
    };
    let options = Options {
        format: Some(format),
        mapping,
        strict: false,
        max_bad: 1.0,
        seed,
    };
    let mut bytes = Vec::new();
    let imported = import(&paths, &options, &mut bytes, &Arc::default()).expect("a recording");
    (run, imported, bytes)
}

fn replay(s: &Scenario, bytes: &[u8], seed: u64, retries: Retries) -> Run {
    let reader = Reader::new(bytes).expect("a recording");
    let simulation = Simulation::new(s, seed, retries).expect("a simulation");
    simulation
        .play(
            Recorded::new(s, reader, seed).expect("load"),
            |_| {},
            |_| {},
        )
        .expect("a run")
}

#[test]
fn the_same_seed_gives_the_same_run_bit_for_bit() {
    let s = scenario();
    let (a, b) = (play_generated(&s, 5), play_generated(&s, 5));
    assert_eq!(a, b);
    assert_ne!(a.outcome, play_generated(&s, 6).outcome);
    assert!(a.verdict.kept(), "{:?}", a.verdict.examples);
    assert!(
        a.verdict.peak_warm_up_load > 0.0,
        "the restart after the crash must load a worker that warms up"
    );
    let ends: u64 = a.outcome.ends.iter().sum();
    assert_eq!(ends, a.outcome.counts[0], "each job must end exactly once");
    assert!(
        a.outcome.ends[0] > ends * 9 / 10 && a.outcome.ends[1] + a.outcome.ends[2] > 0,
        "{:?}",
        a.outcome.ends
    );
}

/// Losing five workers for 60 s must show in the service metric and in the comparison.
#[test]
fn losing_many_workers_lowers_the_service_metric() {
    let (s, mut bad) = (scenario(), scenario());
    bad.faults.push(Fault {
        at_s: 20.0,
        for_s: 60.0,
        workers: vec![0, 2, 3, 5, 6],
        what: FaultKind::Crash,
    });
    let (a, b) = (play_generated(&s, 5), play_generated(&bad, 5));
    assert!(
        b.outcome.service_metric < a.outcome.service_metric - 0.1,
        "{} {}",
        a.outcome.service_metric,
        b.outcome.service_metric
    );
    let found = compare(&a, &b);
    assert!(
        found.verdict.starts_with("B earns less"),
        "{}",
        found.verdict
    );
    assert!(compare(&a, &a).verdict.starts_with("No difference"));
    let page = report::page(&bad, "t", &[("A", &a), ("B", &b)], Some(&found)).expect("a page");
    assert!(page.contains("<svg") && page.contains("B earns less") && !page.contains("src="));
}

#[test]
fn a_replayed_recording_reaches_nearly_the_same_service_metric_in_every_log_format() {
    let s = scenario();
    for form in [
        Form::Combined,
        Form::Apache,
        Form::Nginx,
        Form::Envoy,
        Form::Har,
    ] {
        let (run, imported, bytes) = record_and_import(&s, 3, form, LogDamage::default());
        let tally = &imported.tally;
        assert!(
            tally.adds_up() && tally.rejected() == 0,
            "{form:?}: {tally:?}"
        );
        let requests = run.outcome.counts[0] + run.outcome.counts[1];
        assert_eq!(tally.read, requests, "{form:?}");
        let off = tally.taken as f64 / run.outcome.counts[0] as f64 - 1.0;
        assert!(
            off.abs() < 0.01,
            "{form:?}: {} first tries imported, {} were played",
            tally.taken,
            run.outcome.counts[0]
        );
        let replay = replay(&s, &bytes, 8, Retries::Model);
        let off = replay.outcome.service_metric / run.outcome.service_metric - 1.0;
        assert!(
            off.abs() < 0.05,
            "{form:?}: replayed service metric {}, original {}",
            replay.outcome.service_metric,
            run.outcome.service_metric
        );
    }
}

#[test]
fn damaged_logs_are_counted_and_cost_little() {
    let s = scenario();
    let damage = LogDamage {
        lost: 0.01,
        damaged: 0.01,
    };
    let (run, imported, bytes) = record_and_import(&s, 4, Form::Apache, damage);
    let tally = &imported.tally;
    assert!(tally.adds_up() && tally.rejected() > 0, "{tally:?}");
    let lost = 1.0 - tally.taken as f64 / run.outcome.counts[0] as f64;
    assert!((0.005..0.03).contains(&lost), "{lost}");
    let off = replay(&s, &bytes, 8, Retries::Model).outcome.service_metric
        / run.outcome.service_metric
        - 1.0;
    assert!(off.abs() < 0.05, "{off}");
}

#[test]
fn recorded_retries_are_replaced_replayed_or_left_out() {
    let s = scenario();
    let (_, imported, bytes) = record_and_import(&s, 4, Form::Apache, LogDamage::default());
    let folded = imported.tally.folded;
    assert!(folded > 20, "{folded}");
    let count = |retries| replay(&s, &bytes, 8, retries).outcome.counts[1];
    assert_eq!(count(Retries::None), 0);
    let sent = count(Retries::Recorded);
    assert!(
        sent > 0 && sent <= folded,
        "{sent} retries sent for {folded} recorded ones: served jobs must not retry"
    );
    assert!(count(Retries::Model) > 0);
}

#[test]
fn retries_are_folded_with_the_required_precision_and_recall() {
    let rows = retry_folding::check(&scenario(), 2).expect("rows");
    for row in &rows {
        let least = if row.by.starts_with("neither") {
            0.9
        } else {
            0.98
        };
        assert!(
            row.retries > 100 && row.precision >= least && row.recall >= least,
            "{rows:#?}"
        );
    }
}

#[test]
fn an_invalid_scenario_is_rejected_with_every_error() {
    let text = include_str!("../../../examples/replay/ten-minutes.json");
    let error = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        scenario::read(&text.replacen(from, to, 1))
            .expect_err(to)
            .to_string()
    };
    assert!(error("\"cores\": 7", "\"cores\": 0").contains("/kinds/0/cores"));
    assert!(error("\"cores\": 7", "\"core\": 7").contains("core"));
    assert!(error("\"reserve-stock\"", "\"book-delivery\"").contains("two have the same name"));
    assert!(error("\"version\": 1", "\"version\": 9").contains("/version"));
    assert!(
        error("\"share\": 0.18", "\"zone\": \"nowhere\", \"share\": 0.18")
            .contains("none of the zones")
    );
    assert!(error("\"what\": \"crash\"", "\"what\": \"sleep\"").contains("/troubles"));
}
