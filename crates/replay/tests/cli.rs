//! The command line, from importing a log to writing a report.

use std::path::Path;
use std::process::{Command, Output};

fn call(args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_indigofold-replay"))
        .args(args)
        .current_dir(root)
        .output()
        .expect("indigofold-replay must start")
}

#[track_caller]
fn json(args: &[&str]) -> serde_json::Value {
    let out = call(&[&["--json", "--log", "error"], args].concat());
    assert!(
        out.status.success(),
        "{args:?}: {}",
        String::from_utf8_lossy(&out.stderr)
    );
    serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{args:?}: {e}"))
}

/// Runs the worked example of `docs/replay.md`, with every operation on recordings.
#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn the_worked_example_goes_from_logs_to_a_report() {
    let dir = tempfile::tempdir().expect("a folder");
    let at = |name: &str| dir.path().join(name).display().to_string();
    let (rec, out) = (at("evening.rec.zst"), at("x.rec"));
    let import = [
        "import",
        "examples/replay/evening.log.gz",
        "--mapping",
        "examples/replay/mapping.json",
        "-o",
        &rec,
    ];
    let tally = json(&import);
    let count = |name: &str| tally[name].as_u64().expect("a count");
    let reasons = tally["rejected"].as_object().expect("reasons");
    let rejected: u64 = reasons
        .values()
        .map(|c| c["count"].as_u64().expect("n"))
        .sum();
    assert_eq!(count("read"), count("taken") + count("folded") + rejected);
    assert!(
        count("taken") > 1000 && count("folded") > 0 && rejected > 0,
        "{tally}"
    );
    let jobs = |path: &str| {
        json(&["show", path])["summary"]["jobs"]
            .as_u64()
            .expect("jobs") as f64
    };
    let all = jobs(&rec);
    assert_eq!(all as u64, count("taken"));
    json(&["cut", &rec, "-o", &out, "--from", "2", "--to", "7"]);
    assert!(jobs(&out) < all / 2.0);
    json(&[
        "filter",
        &rec,
        "-o",
        &out,
        "--class",
        "book-delivery",
        "--parish",
        "gualtar",
    ]);
    assert!(jobs(&out) < all / 4.0 && jobs(&out) > 0.0);
    json(&["scale", &rec, "-o", &out, "--by", "1.5"]);
    assert!((jobs(&out) / all - 1.5).abs() < 0.05);
    json(&["scale", &rec, "-o", &out, "--by", "0.5"]);
    assert!((jobs(&out) / all - 0.5).abs() < 0.05);
    json(&[
        "jump", &rec, "-o", &out, "--at", "3", "--for", "4", "--times", "2.5",
    ]);
    assert!(jobs(&out) > all * 1.1);
    json(&["merge", &rec, &rec, "-o", &out]);
    assert_eq!(jobs(&out), 2.0 * all);
    std::fs::write(at("secret"), "a secret that is long enough").expect("a file");
    json(&["pseudonymise", &rec, "-o", &out, "--secret", &at("secret")]);
    let text = std::fs::read_to_string(&out).expect("a recording");
    assert!(!text.contains("kit-") && text.contains("gualtar"));
    let (page, a, b) = (at("page.html"), at("a.json"), at("b.json"));
    let scenario = "examples/replay/ten-minutes.json";
    let run = json(&[
        "replay",
        scenario,
        &rec,
        "--json-out",
        &a,
        "--report",
        &page,
    ]);
    assert!(run["run"]["outcome"]["figure"].as_f64().expect("a figure") > 0.5);
    json(&["replay", scenario, &rec, "--json-out", &b, "--seed", "2"]);
    let found = json(&["compare", "--scenario", scenario, &a, &b, "--report", &page]);
    assert!(found["figures"].as_array().is_some_and(|f| f.len() > 10));
    assert!(
        std::fs::read_to_string(&page)
            .expect("a page")
            .contains("</html>")
    );
}

#[test]
fn published_schemas_match_the_output_of_the_program() {
    for (of, file) in [
        ("mapping", "mapping.schema.json"),
        ("scenario", "scenario.schema.json"),
    ] {
        let out = call(&["schema", of]);
        let published = std::fs::read(
            Path::new(env!("CARGO_MANIFEST_DIR"))
                .join("../../docs")
                .join(file),
        );
        assert!(
            published.expect("a schema") == out.stdout,
            "docs/{file} is out of date: replace it by the output of `indigofold-replay schema {of}`"
        );
    }
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn errors_name_the_input_and_set_the_exit_code() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = |name: &str| dir.path().join(name).display().to_string();
    std::fs::write(path("bad.json"), r#"{"version":1,"classes":[]}"#).expect("a file");
    std::fs::write(
        path("cut.rec"),
        "{\"format\":\"indigofold-recording\",\"version\":1}\n",
    )
    .expect("a file");
    std::fs::write(
        path("new.rec"),
        "{\"format\":\"indigofold-recording\",\"version\":9}\n",
    )
    .expect("a file");
    for (args, code, message) in [
        (vec!["replay", &path("bad.json")], 1, "zones"),
        (vec!["replay", &path("none.json")], 1, "none.json"),
        (vec!["show", &path("cut.rec")], 1, "cut off after line 1"),
        (
            vec!["show", &path("new.rec")],
            1,
            "version 9; versions 1 to 1 can be read",
        ),
        (vec!["show", &path("bad.json")], 1, "no recording"),
        (vec!["schema", "other"], 2, "possible values"),
        (
            vec![
                "import",
                "x",
                "--mapping",
                &path("bad.json"),
                "-o",
                &path("o"),
            ],
            1,
            "bad.json",
        ),
    ] {
        let out = call(&args);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(code), "{args:?}: {text}");
        assert!(text.contains(message), "{args:?}: {text}");
    }
    assert!(
        !dir.path().join("o").exists(),
        "a failed import must not leave an output file"
    );
}

#[test]
fn a_survey_is_played_and_resumed_and_rejects_another_plan() {
    let dir = tempfile::tempdir().expect("a folder");
    let at = |name: &str| dir.path().join(name).display().to_string();
    let (rows, page) = (at("rows.jsonl"), at("page.html"));
    let call_of = |count: &'static str| {
        [
            "survey", "--count", count, "--runs", "2", "--policy", "random",
        ]
    };
    let first = json(&[&call_of("2")[..], &["-o", &rows]].concat());
    assert_eq!(first["count"], 2);
    let more = json(&[&call_of("3")[..], &["-o", &rows, "--report", &page]].concat());
    assert_eq!(more["count"], 3);
    assert!(
        std::fs::read_to_string(&page)
            .expect("a page")
            .contains("Survey 1 of 3 deployments")
    );
    let drawn = json(&["survey", "--scenario", "2"]);
    assert_eq!(drawn["name"], "survey 1, deployment 2");
    let wrong = call(&["survey", "--count", "2", "--seed", "9", "-o", &rows]);
    let message = String::from_utf8_lossy(&wrong.stderr).into_owned();
    assert!(
        wrong.status.code() == Some(1) && message.contains("it holds another survey (seed 1"),
        "{message}"
    );
    assert_eq!(call(&["survey", "--count", "0"]).status.code(), Some(2));
}
