//! The `live` and `replay` commands: play a scenario, and print and store the results.

use crate::Bad;
use crate::cli::{Live, Replay, Results};
use crate::files::{bar, open_recording, read_text};
use indigofold_replay::error::ReplayError;
use indigofold_replay::export::{self, Log, LogDamage};
use indigofold_replay::load::{Arrival, Made, Recorded};
use indigofold_replay::scenario::{self, Scenario};
use indigofold_replay::service::Outcome;
use indigofold_replay::virtual_time::{LoggedRequest, Retries, Run, Simulation};
use indigofold_replay::{report, sockets};
use serde_json::json;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

/// Exit code of a run that broke a rule.
const RULES_BROKEN: u8 = 3;

pub(crate) fn read_scenario(path: &Path) -> Result<Scenario, Bad> {
    let text = read_text(path)?;
    Ok(scenario::read(&text).map_err(|e| format!("{}:\n{e}", path.display()))?)
}

pub(crate) fn read_run(path: &Path) -> Result<Run, Bad> {
    let text = read_text(path)?;
    Ok(serde_json::from_str(&text).map_err(|e| {
        format!(
            "{}: not a result written by --json-out: {e}",
            path.display()
        )
    })?)
}

pub(crate) fn live(args: &Live, json: bool) -> Result<ExitCode, Bad> {
    let scenario = read_scenario(&args.scenario)?;
    let seed = args.seed.unwrap_or(scenario.seed);
    let mut logs: Vec<Log<BufWriter<File>>> = Vec::new();
    if let Some(dir) = &args.out {
        std::fs::create_dir_all(dir)?;
        let text = serde_json::to_string_pretty(&export::mapping(&scenario, args.form))?;
        std::fs::write(dir.join("mapping.json"), text)?;
        for s in 0..scenario.schedulers {
            let file = File::create(dir.join(format!("scheduler-{s}.{}", args.form.ending())))?;
            logs.push(Log::new(
                args.form,
                BufWriter::new(file),
                LogDamage {
                    lost: args.lose,
                    damaged: args.damage,
                },
                seed + u64::from(s),
            )?);
        }
    }
    let begin = Instant::now();
    let bar = bar(
        (scenario.load.rate * scenario.load.seconds) as u64,
        "playing",
    );
    let mut log_error = None;
    let log = |t: LoggedRequest<'_>| {
        if let Some(log) = logs.get_mut(t.scheduler as usize) {
            log_error = log_error.take().or(log.write(&scenario, &t).err());
        }
    };
    let simulation = Simulation::new(&scenario, seed, Retries::Model)?;
    let run = simulation.play(Made::new(&scenario, seed)?, log, |n| bar.set_position(n))?;
    bar.finish_and_clear();
    if let Some(e) = log_error {
        return Err(e.into());
    }
    for log in logs {
        log.finish()?;
    }
    store_and_print_results(&scenario, "Live", &run, begin, &args.results, json)
}

pub(crate) fn replay(args: &Replay, json: bool) -> Result<ExitCode, Bad> {
    let mut scenario = read_scenario(&args.scenario)?;
    let seed = args.seed.unwrap_or(scenario.seed);
    if let Some(seconds) = args.seconds {
        scenario.load.seconds = scenario.load.seconds.min(seconds);
    }
    let until = args.seconds.map(|s| scenario.from() + (s * 1e6) as u64);
    let begin = Instant::now();
    let before_end = move |a: &Result<Arrival, ReplayError>| {
        a.as_ref().is_ok_and(|a| until.is_none_or(|u| a.at < u)) || a.is_err()
    };
    let arrivals: Box<dyn Iterator<Item = Result<Arrival, ReplayError>> + '_> =
        match &args.recording {
            Some(path) => Box::new(
                Recorded::new(&scenario, open_recording(path)?, seed)?.take_while(before_end),
            ),
            None => Box::new(Made::new(&scenario, seed)?),
        };
    let bar = bar(
        (scenario.load.rate * scenario.load.seconds) as u64,
        "playing",
    );
    let run = if args.sockets {
        sockets::play(&scenario, seed, args.retries, &args.program, arrivals)?
    } else {
        Simulation::new(&scenario, seed, args.retries)?.play(
            arrivals,
            |_| {},
            |n| bar.set_position(n),
        )?
    };
    bar.finish_and_clear();
    store_and_print_results(&scenario, "Replay", &run, begin, &args.results, json)
}

fn store_and_print_results(
    scenario: &Scenario,
    title: &str,
    run: &Run,
    begin: Instant,
    to: &Results,
    json: bool,
) -> Result<ExitCode, Bad> {
    let seconds = begin.elapsed().as_secs_f64();
    let jobs = run.outcome.counts[0];
    tracing::info!(
        seconds,
        jobs,
        jobs_per_s = jobs as f64 / seconds,
        events = run.events,
        "played"
    );
    if let Some(path) = &to.json_out {
        std::fs::write(path, serde_json::to_string(run)?)?;
    }
    if let Some(path) = &to.report {
        std::fs::write(path, report::page(scenario, title, &[("run", run)], None)?)?;
    }
    if json {
        let mut short = run.clone();
        short.outcome.seconds.clear();
        say!("{}", json!({"run": short, "wall_seconds": seconds}));
    } else {
        print_outcome(&run.outcome);
        print_verdict(run);
        for (text, count) in &run.scheduler_messages {
            tracing::debug!(count, "noted: {text}");
        }
    }
    Ok(if run.verdict.kept() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(RULES_BROKEN)
    })
}

fn print_outcome(o: &Outcome) {
    say!("service figure {:.4}", o.service_metric);
    say!(
        "whole {:.4}, worst 10 s {:.4} (from {} s), worst class {:.4} ({}), worst parish {:.4} ({})",
        o.overall,
        o.worst_window.0,
        o.worst_window.1,
        o.worst_class.0,
        o.worst_class.1,
        o.worst_parish.0,
        o.worst_parish.1
    );
    for (name, fraction) in &o.classes {
        say!("class {name:20} {fraction:.4}");
    }
    say!("first tries, retries, attempts, probes: {:?}", o.counts);
    say!("in time, late, refused, failed: {:?}", o.ends);
}

/// Prints the verdict on the rules and the lateness of the load generator.
fn print_verdict(run: &Run) {
    say!(
        "most on a cold job worker: {:.2} times what it can do",
        run.verdict.peak_warm_up_load
    );
    let [p99, maximum] = run.outcome.lateness;
    if maximum > 0.0 {
        say!("generator late: {p99:.3} ms at the 99th percentile, {maximum:.3} ms at the most");
    }
    match run.verdict.kept() {
        true => say!("rules kept"),
        false => say!("RULES BROKEN: {:?}", run.verdict.breaches),
    }
    for text in &run.verdict.examples {
        say!("    {text}");
    }
}
