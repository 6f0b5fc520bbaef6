//! Virtual time: the same seed gives the same run; a recorded run replayed comes to the same figure.

use indigofold_replay::compare::compare;
use indigofold_replay::export::{Form, Log, mapping};
use indigofold_replay::load::{Made, Recorded};
use indigofold_replay::scenario::{self, Jump, Scenario, Trouble, What};
use indigofold_replay::virtual_time::{Ground, Logged, Retries, Run};
use indigofold_replay::{report, retry_folding};
use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::detect::Kind;
use indigofold_traffic::import::{Imported, Options, import};
use indigofold_traffic::mapping::Mapping;
use indigofold_traffic::recording::Reader;
use std::sync::Arc;

/// A minute and a half with a jump, a hang, a crash and a drain.
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
    let trouble = |at_s, for_s, worker, what| Trouble {
        at_s,
        for_s,
        workers: vec![worker],
        what,
    };
    s.troubles = vec![
        trouble(10.0, 12.0, 4, What::Hang),
        trouble(30.0, 5.0, 7, What::Crash),
        trouble(60.0, 5.0, 1, What::Drain),
    ];
    s
}

fn live(s: &Scenario, seed: u64) -> Run {
    let ground = Ground::new(s, seed, Retries::Model).expect("a ground");
    ground
        .play(Made::new(s, seed).expect("load"), |_| {}, |_| {})
        .expect("a run")
}

/// Plays live, keeps nothing but logs in this form, and imports them.
fn recorded(s: &Scenario, seed: u64, form: Form, harm: (f64, f64)) -> (Run, Imported, Vec<u8>) {
    let dir = tempfile::tempdir().expect("a folder");
    let paths: Vec<_> = (0..s.schedulers)
        .map(|n| dir.path().join(format!("{n}.log")))
        .collect();
    let file = |p| std::io::BufWriter::new(std::fs::File::create(p).expect("a file"));
    let mut logs: Vec<_> = paths
        .iter()
        .map(|p| Log::new(form, file(p), harm, seed).expect("a log"))
        .collect();
    let ground = Ground::new(s, seed, Retries::Model).expect("a ground");
    let log = |t: Logged<'_>| logs[t.scheduler as usize].write(s, &t).expect("written");
    let run = ground
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

fn replayed(s: &Scenario, bytes: &[u8], seed: u64, retries: Retries) -> Run {
    let reader = Reader::new(bytes).expect("a recording");
    let ground = Ground::new(s, seed, retries).expect("a ground");
    ground
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
    let (a, b) = (live(&s, 5), live(&s, 5));
    assert_eq!(a, b);
    assert_ne!(a.outcome, live(&s, 6).outcome);
    assert!(a.verdict.kept(), "{:?}", a.verdict.examples);
    assert!(a.verdict.most_on_cold > 0.0, "the crash made one cold");
    let ends: u64 = a.outcome.ends.iter().sum();
    assert_eq!(ends, a.outcome.counts[0], "each first try ends once");
    assert!(
        a.outcome.ends[0] > ends * 9 / 10 && a.outcome.ends[1] + a.outcome.ends[2] > 0,
        "{:?}",
        a.outcome.ends
    );
}

/// The figure moves when the world does: a lost half of the fleet must show.
#[test]
fn half_the_fleet_lost_shows_in_the_figure() {
    let (s, mut bad) = (scenario(), scenario());
    bad.troubles.push(Trouble {
        at_s: 20.0,
        for_s: 60.0,
        workers: vec![0, 2, 3, 5, 6],
        what: What::Crash,
    });
    let (a, b) = (live(&s, 5), live(&bad, 5));
    assert!(
        b.outcome.figure < a.outcome.figure - 0.1,
        "{} {}",
        a.outcome.figure,
        b.outcome.figure
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
fn a_recorded_run_replayed_comes_to_the_same_figure_in_every_form() {
    let s = scenario();
    for form in [
        Form::Combined,
        Form::Apache,
        Form::Nginx,
        Form::Envoy,
        Form::Har,
    ] {
        let (run, imported, bytes) = recorded(&s, 3, form, (0.0, 0.0));
        let tally = &imported.tally;
        assert!(
            tally.adds_up() && tally.rejected() == 0,
            "{form:?}: {tally:?}"
        );
        let tries = run.outcome.counts[0] + run.outcome.counts[1];
        assert_eq!(tally.read, tries, "{form:?}");
        let off = tally.taken as f64 / run.outcome.counts[0] as f64 - 1.0;
        assert!(
            off.abs() < 0.01,
            "{form:?}: {} first tries for {}",
            tally.taken,
            run.outcome.counts[0]
        );
        let again = replayed(&s, &bytes, 8, Retries::Model);
        let off = again.outcome.figure / run.outcome.figure - 1.0;
        assert!(
            off.abs() < 0.05,
            "{form:?}: {} for {}",
            again.outcome.figure,
            run.outcome.figure
        );
    }
}

#[test]
fn damaged_logs_are_counted_and_cost_little() {
    let s = scenario();
    let (run, imported, bytes) = recorded(&s, 4, Form::Apache, (0.01, 0.01));
    let tally = &imported.tally;
    assert!(tally.adds_up() && tally.rejected() > 0, "{tally:?}");
    let lost = 1.0 - tally.taken as f64 / run.outcome.counts[0] as f64;
    assert!((0.005..0.03).contains(&lost), "{lost}");
    let off = replayed(&s, &bytes, 8, Retries::Model).outcome.figure / run.outcome.figure - 1.0;
    assert!(off.abs() < 0.05, "{off}");
}

#[test]
fn recorded_retries_are_replaced_replayed_or_left_out() {
    let s = scenario();
    let (_, imported, bytes) = recorded(&s, 4, Form::Apache, (0.0, 0.0));
    let tries = imported.tally.folded;
    assert!(tries > 20, "{tries}");
    let count = |retries| replayed(&s, &bytes, 8, retries).outcome.counts[1];
    assert_eq!(count(Retries::None), 0);
    let sent = count(Retries::Recorded);
    assert!(
        sent > 0 && sent <= tries,
        "{sent} of {tries}: none is sent for a job that is served by then"
    );
    assert!(count(Retries::Model) > 0);
}

#[test]
fn retries_are_folded_as_well_as_is_asked() {
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
fn a_scenario_that_cannot_be_played_is_turned_down_with_all_that_is_wrong() {
    let text = include_str!("../../../examples/replay/ten-minutes.json");
    let error = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        scenario::read(&text.replacen(from, to, 1)).expect_err(to)
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
