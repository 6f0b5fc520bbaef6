//! The laboratory's command line.

#![forbid(unsafe_code)]

mod survey_call;

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use indigofold_lab::export::{self, Form, Log};
use indigofold_lab::load::{Made, Recorded};
use indigofold_lab::scenario::{self, Scenario};
use indigofold_lab::virt::{Ground, Logged, Retries, Run};
use indigofold_lab::{compare, foldcheck, report, sockets};
use indigofold_traffic::detect::Kind;
use indigofold_traffic::import::{Failed, Options, import};
use indigofold_traffic::line::LineFormat;
use indigofold_traffic::mapping::{self, Mapping};
use indigofold_traffic::ops::{self, Factor, Merged, Scaled, Summary};
use indigofold_traffic::recording::{Header, Reader, Writer};
use indigofold_traffic::{Job, Tally, source};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::fs::File;
use std::io::{BufRead, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

type Bad = Box<dyn std::error::Error>;

/// Prints a line; whoever reads may have left.
macro_rules! say {
    ($($text:tt)*) => {{ let _ = writeln!(std::io::stdout(), $($text)*); }};
}

/// Recorded traffic, and the laboratory to play it in.
///
/// Exit codes: 0 done; 1 it could not be done, and why is said; 2 the call was wrong; 3 a run broke a rule.
#[derive(Parser)]
#[command(name = "indigofold-lab", version)]
struct Cli {
    /// Print results as JSON.
    #[arg(long, global = true)]
    json: bool,
    /// What is logged to standard error: error, warn, info, debug.
    #[arg(long, global = true, default_value = "info")]
    log: tracing::Level,
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Make a recording of HAR files and access logs.
    Import(Import),
    /// Show what a recording holds.
    Show {
        /// The recording.
        recording: PathBuf,
    },
    /// Keep a stretch of time.
    Cut {
        #[command(flatten)]
        files: Files,
        /// Seconds after the first job.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        /// Seconds after the first job.
        #[arg(long)]
        to: f64,
    },
    /// Keep some classes and parishes.
    Filter {
        #[command(flatten)]
        files: Files,
        /// A class to keep; may be named several times.
        #[arg(long)]
        class: Vec<String>,
        /// A parish to keep; may be named several times.
        #[arg(long)]
        parish: Vec<String>,
    },
    /// Make one recording of several, by time.
    Merge {
        /// The recordings.
        #[arg(required = true)]
        recordings: Vec<PathBuf>,
        /// Where the result goes.
        #[arg(long, short)]
        out: PathBuf,
    },
    /// Scale the rate up or down.
    Scale {
        #[command(flatten)]
        files: Files,
        /// So many times as much.
        #[arg(long)]
        by: f64,
        /// Copies are turned round within stretches of so long.
        #[arg(long, default_value_t = 1_000)]
        stretch_ms: i64,
        /// Random numbers begin here.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Add a jump of the rate.
    Jump {
        #[command(flatten)]
        files: Files,
        /// Seconds after the first job.
        #[arg(long)]
        at: f64,
        /// For so many seconds.
        #[arg(long = "for")]
        long: f64,
        /// To so many times the usual.
        #[arg(long)]
        times: f64,
        /// Rise and fall, in seconds each.
        #[arg(long, default_value_t = 0.5)]
        edge: f64,
        /// Random numbers begin here.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Put keyed hashes in place of what names people and things.
    Pseudonymise {
        #[command(flatten)]
        files: Files,
        /// A file with the secret. The same secret gives the same names again.
        #[arg(long)]
        secret: PathBuf,
        /// Parishes too.
        #[arg(long)]
        parishes: bool,
    },
    /// Play the scenario's made load in virtual time, and keep the schedulers' access logs.
    Live(Live),
    /// Play a recording in virtual time, or on sockets.
    Replay(Replay),
    /// Compare two results that `replay` or `live` have written with --json-out.
    Compare {
        /// The scenario that both were played on.
        #[arg(long)]
        scenario: PathBuf,
        /// A result.
        a: PathBuf,
        /// Another.
        b: PathBuf,
        /// Write a report here.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// How well retries are folded, on traffic whose truth is known.
    FoldCheck {
        /// The scenario.
        scenario: PathBuf,
        /// Seeds, from 1 on.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Draw deployments at random, play the module and plain policies on each, and show where the module loses.
    Survey(survey_call::Survey),
    /// Print a published schema: of the mapping file or of the scenario file.
    Schema {
        /// Which.
        of: SchemaOf,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum SchemaOf {
    Mapping,
    Scenario,
}

#[derive(Args)]
struct Files {
    /// The recording.
    recording: PathBuf,
    /// Where the result goes; compressed if its name ends in .zst.
    #[arg(long, short)]
    out: PathBuf,
}

#[derive(Args)]
struct Import {
    /// HAR files, logs, recordings; plain, gzip or zstd. Rotated files may be named in any order.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The mapping file: what a record's class, parish, subject and key are.
    #[arg(long)]
    mapping: PathBuf,
    /// Where the recording goes; compressed if its name ends in .zst.
    #[arg(long, short)]
    out: PathBuf,
    /// common, combined, nginx, envoy, json, har, recording, or apache:FORMAT, nginx:FORMAT, envoy:FORMAT with the
    /// server's own format string. Without it each file's is found out.
    #[arg(long)]
    format: Option<String>,
    /// The first record that cannot be understood ends the import.
    #[arg(long)]
    strict: bool,
    /// A larger share of such records fails it.
    #[arg(long, default_value_t = 1.0)]
    max_bad: f64,
    /// Random numbers begin here.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Args)]
struct Live {
    /// The scenario.
    scenario: PathBuf,
    /// Random numbers begin here, in place of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Where the logs go: one for each scheduler, with the mapping file.
    #[arg(long, short)]
    out: Option<PathBuf>,
    /// The logs' format.
    #[arg(long, value_enum, default_value = "apache")]
    form: Form,
    /// Share of lines that are lost.
    #[arg(long, default_value_t = 0.0)]
    lose: f64,
    /// Share of lines that are damaged.
    #[arg(long, default_value_t = 0.0)]
    damage: f64,
    #[command(flatten)]
    results: Results,
}

#[derive(Args)]
struct Replay {
    /// The scenario: schedulers, job workers, troubles.
    scenario: PathBuf,
    /// The recording; without one, the scenario's made load.
    recording: Option<PathBuf>,
    /// Random numbers begin here, in place of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// What becomes of recorded retries.
    #[arg(long, value_enum, default_value = "model")]
    retries: Retries,
    /// On sockets, with the real program, in place of virtual time.
    #[arg(long)]
    sockets: bool,
    /// The program, for --sockets.
    #[arg(long, default_value = "target/release/indigofold")]
    program: PathBuf,
    /// Only so many seconds of it.
    #[arg(long)]
    seconds: Option<f64>,
    #[command(flatten)]
    results: Results,
}

#[derive(Args)]
struct Results {
    /// Write a report here.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Write the whole result here, for `compare`.
    #[arg(long)]
    json_out: Option<PathBuf>,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    tracing_subscriber::fmt().with_max_level(cli.log).with_writer(std::io::stderr).init();
    match call(&cli) {
        Ok(code) => code,
        Err(error) => {
            if cli.json {
                say!("{}", json!({"error": error.to_string()}));
            }
            eprintln!("indigofold-lab: {error}");
            ExitCode::from(1)
        }
    }
}

fn call(cli: &Cli) -> Result<ExitCode, Bad> {
    match &cli.call {
        Call::Import(args) => return import_files(args, cli.json),
        Call::Show { recording } => show(recording, cli.json)?,
        Call::Cut { files, from, to } => {
            let first = first_time(&files.recording)?;
            let at = |s: f64| first + (s * 1e6) as i64;
            change(files, cli.json, |jobs| Box::new(ops::cut(jobs, at(*from), at(*to))))?;
        }
        Call::Filter { files, class, parish } => {
            change(files, cli.json, |jobs| Box::new(ops::filter(jobs, class.clone(), parish.clone())))?;
        }
        Call::Merge { recordings, out } => merge(recordings, out, cli.json)?,
        Call::Scale { files, by, stretch_ms, seed } => {
            if !(*by > 0.0 && *by <= 1_000.0) {
                return Err("--by must be over 0 and up to 1000".into());
            }
            let (factor, stretch) = (Factor::Always(*by), stretch_ms.max(&1) * 1000);
            change(files, cli.json, |jobs| Box::new(Scaled::new(jobs, factor, stretch, *seed)))?;
        }
        Call::Jump { files, at, long, times, edge, seed } => {
            if !(*times > 0.0 && *times <= 1_000.0) {
                return Err("--times must be over 0 and up to 1000".into());
            }
            let first = first_time(&files.recording)?;
            let us = |s: f64| (s * 1e6) as i64;
            let from = first + us(*at);
            let factor = Factor::Jump { from, to: from + us(*long), edge: us(*edge), times: *times };
            change(files, cli.json, |jobs| Box::new(Scaled::new(jobs, factor, 100_000, *seed)))?;
        }
        Call::Pseudonymise { files, secret, parishes } => {
            let secret = text_of(secret)?;
            if secret.trim().len() < 16 {
                return Err("the secret is too short: 16 characters or more are wanted".into());
            }
            change(files, cli.json, |jobs| Box::new(ops::pseudonymise(jobs, secret.trim(), *parishes)))?;
        }
        Call::Live(args) => return live(args, cli.json),
        Call::Replay(args) => return replay(args, cli.json),
        Call::Compare { scenario, a, b, report } => {
            let scenario = read_scenario(scenario)?;
            let (a, b) = (read_run(a)?, read_run(b)?);
            let found = compare::compare(&a, &b);
            if let Some(path) = report {
                let page = report::page(&scenario, "Comparison", &[("A", &a), ("B", &b)], Some(&found))?;
                std::fs::write(path, page)?;
            }
            if cli.json {
                say!("{}", serde_json::to_string(&found)?);
            } else {
                say!("{}", found.verdict);
                for d in &found.figures {
                    let interval =
                        d.interval.map_or(String::new(), |[l, h]| format!("  ({l:+.4} to {h:+.4})"));
                    say!("{:44} {:10.4} {:10.4} {:+10.4}{interval}", d.name, d.a, d.b, d.by);
                }
            }
        }
        Call::FoldCheck { scenario, seeds } => {
            let scenario = read_scenario(scenario)?;
            let rows = foldcheck::check(&scenario, *seeds)?;
            if cli.json {
                say!("{}", serde_json::to_string(&rows)?);
            } else {
                say!(
                    "{:32} {:>10} {:>10} {:>10} {:>10}",
                    "known by",
                    "retries",
                    "folded",
                    "precision",
                    "recall"
                );
                for r in rows {
                    say!(
                        "{:32} {:10} {:10} {:10.4} {:10.4}",
                        r.by,
                        r.retries,
                        r.folded,
                        r.precision,
                        r.recall
                    );
                }
            }
        }
        Call::Survey(args) => survey_call::call(args, cli.json)?,
        Call::Schema { of } => {
            let schema = match of {
                SchemaOf::Mapping => mapping::schema(),
                SchemaOf::Scenario => scenario::schema(),
            };
            say!("{}", serde_json::to_string_pretty(&schema)?);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// A bar for long work, where somebody watches.
fn bar(length: u64, of: &'static str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length);
    let style = ProgressStyle::with_template("{msg} {wide_bar} {percent}% {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.with_message(of)
}

fn open(path: &Path) -> Result<Reader<Box<dyn BufRead>>, Bad> {
    let from = source::open(path, Arc::default()).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Reader::new(from).map_err(|e| format!("{}: {e}", path.display()))?)
}

fn text_of(path: &Path) -> Result<String, Bad> {
    Ok(std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?)
}

/// When a recording's first job was sent.
fn first_time(path: &Path) -> Result<i64, Bad> {
    Ok(open(path)?.next().transpose()?.ok_or("the recording is empty")?.at)
}

/// A file that appears under its name once it is whole.
fn create(path: &Path) -> Result<(Box<dyn Write>, PathBuf), Bad> {
    let part = path.with_extension(format!("part-{}", std::process::id()));
    let file = File::create(&part).map_err(|e| format!("{}: {e}", part.display()))?;
    let out = BufWriter::with_capacity(1 << 18, file);
    let out: Box<dyn Write> = match path.extension().is_some_and(|e| e == "zst") {
        true => Box::new(zstd::Encoder::new(out, 1)?.auto_finish()),
        false => Box::new(out),
    };
    Ok((out, part))
}

fn import_files(args: &Import, json: bool) -> Result<ExitCode, Bad> {
    let text = text_of(&args.mapping)?;
    let mapping = Mapping::read(&text).map_err(|e| format!("{}:\n{e}", args.mapping.display()))?;
    let format = match args.format.as_deref() {
        None => None,
        Some("har") => Some(Kind::Har),
        Some("recording") => Some(Kind::Recording),
        Some("json") => {
            let fields = mapping
                .file
                .json
                .clone()
                .ok_or("the mapping must say under 'json' where the fields stand")?;
            Some(Kind::Lines(LineFormat::Json(Box::new(fields))))
        }
        Some(name) => Some(Kind::Lines(LineFormat::named(name)?)),
    };
    let size: u64 = args.files.iter().filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum();
    let (read, done, bar) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), bar(size, "reading"));
    let watch = (!bar.is_hidden()).then(|| {
        let (read, done, bar) = (read.clone(), done.clone(), bar.clone());
        std::thread::spawn(move || {
            while done.load(Ordering::Relaxed) == 0 {
                bar.set_position(read.load(Ordering::Relaxed));
                std::thread::sleep(std::time::Duration::from_millis(100));
            }
        })
    });
    let options = Options { format, mapping, strict: args.strict, max_bad: args.max_bad, seed: args.seed };
    let (out, part) = create(&args.out)?;
    let begin = Instant::now();
    let imported = import(&args.files, &options, out, &read);
    done.store(1, Ordering::Relaxed);
    if let Some(watch) = watch {
        let _ = watch.join();
    }
    bar.finish_and_clear();
    let imported = match imported {
        Ok(imported) => imported,
        Err(error) => {
            let _ = std::fs::remove_file(&part);
            if let Failed::Nothing(_, tally) = &error {
                print_tally(tally, json)?;
            }
            return Err(error.into());
        }
    };
    std::fs::rename(&part, &args.out)?;
    let seconds = begin.elapsed().as_secs_f64();
    let bytes = read.load(Ordering::Relaxed) as f64;
    tracing::info!(seconds, mb_per_s = bytes / 1e6 / seconds, out = %args.out.display(), "imported");
    print_tally(&imported.tally, json)?;
    Ok(ExitCode::SUCCESS)
}

fn print_tally(tally: &Tally, json: bool) -> Result<(), Bad> {
    if json {
        say!("{}", serde_json::to_string(tally)?);
        return Ok(());
    }
    say!(
        "read {} = taken {} + folded {} + rejected {}",
        tally.read,
        tally.taken,
        tally.folded,
        tally.rejected()
    );
    let name = |v: Value| v.as_str().unwrap_or("").to_string();
    for (what, list) in [("rejected", json!(tally.rejected)), ("remarked", json!(tally.remarks))] {
        for (reason, count) in list.as_object().into_iter().flatten() {
            say!("{what} {reason}: {}", count["count"]);
            for e in count["examples"].as_array().into_iter().flatten() {
                say!("    {}:{}: {}", name(e["file"].clone()), e["line"], name(e["text"].clone()));
            }
        }
    }
    Ok(())
}

fn show(path: &Path, json: bool) -> Result<(), Bad> {
    let mut reader = open(path)?;
    let mut summary = Summary::default();
    for job in &mut reader {
        summary.add(&job?);
    }
    let s = summary.finish();
    if json {
        say!("{}", json!({"header": reader.header, "end": reader.end, "summary": s}));
        return Ok(());
    }
    let seconds = s.per_second.len();
    let rate = s.jobs as f64 / seconds.max(1) as f64;
    let most = s.per_second.iter().max().copied().unwrap_or(0);
    say!("made of {}", reader.header.made_of.join(", "));
    say!("{} first tries with {} retries in {seconds} s", s.jobs, s.retries);
    say!("{rate:.1} first tries a second, {most} at the most; variance over mean {:.2}", s.dispersion);
    say!("mean recorded time of an answer {:.1} ms", s.mean_took / 1e3);
    for (of, counts) in [("class", &s.classes), ("parish", &s.parishes)] {
        for (name, count) in counts {
            say!("{of} {name:24} {count:10} {:6.2}%", 100.0 * *count as f64 / s.jobs.max(1) as f64);
        }
    }
    for (status, count) in &s.statuses {
        say!("last status {status:3}  {count:10}");
    }
    Ok(())
}

type Jobs<'a> = Box<dyn Iterator<Item = Job> + 'a>;

/// Jobs of a recording; the first error ends them and is kept.
fn jobs(path: &Path, failed: &Rc<RefCell<Option<String>>>) -> Result<(Header, Jobs<'static>), Bad> {
    let reader = open(path)?;
    let (header, failed) = (reader.header.clone(), failed.clone());
    let jobs = reader.map_while(move |job| match job {
        Ok(job) => Some(job),
        Err(e) => {
            *failed.borrow_mut() = Some(e.to_string());
            None
        }
    });
    Ok((header, Box::new(jobs)))
}

fn write(
    header: Header, jobs: Jobs<'_>, to: &Path, failed: &Rc<RefCell<Option<String>>>, json: bool,
) -> Result<(), Bad> {
    let (out, part) = create(to)?;
    let mut writer = Writer::new(out, &header)?;
    for job in jobs {
        writer.write(&job)?;
    }
    if let Some(error) = failed.take() {
        drop(writer);
        let _ = std::fs::remove_file(&part);
        return Err(error.into());
    }
    let (out, end) = writer.finish(None)?;
    drop(out);
    std::fs::rename(&part, to)?;
    match json {
        true => say!("{}", serde_json::to_string(&end)?),
        false => say!("{} first tries, {} retries", end.jobs, end.tries),
    }
    Ok(())
}

fn change(files: &Files, json: bool, by: impl FnOnce(Jobs<'static>) -> Jobs<'static>) -> Result<(), Bad> {
    let failed = Rc::new(RefCell::new(None));
    let (header, jobs) = jobs(&files.recording, &failed)?;
    write(header, by(jobs), &files.out, &failed, json)
}

fn merge(recordings: &[PathBuf], out: &Path, json: bool) -> Result<(), Bad> {
    let failed = Rc::new(RefCell::new(None));
    let mut all = Vec::new();
    let mut made_of = Vec::new();
    for path in recordings {
        let (header, jobs) = jobs(path, &failed)?;
        made_of.extend(header.made_of);
        all.push(jobs);
    }
    write(Header::new(made_of, 0), Box::new(Merged::new(all)), out, &failed, json)
}

fn read_scenario(path: &Path) -> Result<Scenario, Bad> {
    let text = text_of(path)?;
    Ok(scenario::read(&text).map_err(|e| format!("{}:\n{e}", path.display()))?)
}

fn read_run(path: &Path) -> Result<Run, Bad> {
    let text = text_of(path)?;
    Ok(serde_json::from_str(&text).map_err(|e| format!("{}: this is no result: {e}", path.display()))?)
}

fn live(args: &Live, json: bool) -> Result<ExitCode, Bad> {
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
                (args.lose, args.damage),
                seed + u64::from(s),
            )?);
        }
    }
    let begin = Instant::now();
    let bar = bar((scenario.load.rate * scenario.load.seconds) as u64, "playing");
    let mut failed = None;
    let log = |t: Logged<'_>| {
        if let Some(log) = logs.get_mut(t.scheduler as usize) {
            failed = failed.take().or(log.write(&scenario, &t).err());
        }
    };
    let ground = Ground::new(&scenario, seed, Retries::Model)?;
    let run = ground.play(Made::new(&scenario, seed)?, log, |n| bar.set_position(n))?;
    bar.finish_and_clear();
    if let Some(e) = failed {
        return Err(e.into());
    }
    for log in logs {
        log.finish()?;
    }
    results(&scenario, "Live", &run, begin, &args.results, json)
}

fn replay(args: &Replay, json: bool) -> Result<ExitCode, Bad> {
    let mut scenario = read_scenario(&args.scenario)?;
    let seed = args.seed.unwrap_or(scenario.seed);
    if let Some(seconds) = args.seconds {
        scenario.load.seconds = scenario.load.seconds.min(seconds);
    }
    let until = args.seconds.map(|s| scenario.from() + (s * 1e6) as u64);
    let begin = Instant::now();
    let in_time = move |a: &Result<indigofold_lab::load::Arrival, String>| {
        a.as_ref().is_ok_and(|a| until.is_none_or(|u| a.at < u)) || a.is_err()
    };
    let arrivals: Box<dyn Iterator<Item = Result<indigofold_lab::load::Arrival, String>> + '_> =
        match &args.recording {
            Some(path) => Box::new(Recorded::new(&scenario, open(path)?, seed)?.take_while(in_time)),
            None => Box::new(Made::new(&scenario, seed)?),
        };
    let bar = bar((scenario.load.rate * scenario.load.seconds) as u64, "playing");
    let run = if args.sockets {
        sockets::play(&scenario, seed, args.retries, &args.program, arrivals)?
    } else {
        Ground::new(&scenario, seed, args.retries)?.play(arrivals, |_| {}, |n| bar.set_position(n))?
    };
    bar.finish_and_clear();
    results(&scenario, "Replay", &run, begin, &args.results, json)
}

fn results(
    scenario: &Scenario, title: &str, run: &Run, begin: Instant, to: &Results, json: bool,
) -> Result<ExitCode, Bad> {
    let seconds = begin.elapsed().as_secs_f64();
    let jobs = run.outcome.counts[0];
    tracing::info!(seconds, jobs, jobs_per_s = jobs as f64 / seconds, events = run.events, "played");
    if let Some(path) = &to.json_out {
        std::fs::write(path, serde_json::to_string(run)?)?;
    }
    if let Some(path) = &to.report {
        std::fs::write(path, report::page(scenario, title, &[("run", run)], None)?)?;
    }
    let o = &run.outcome;
    if json {
        let mut short = run.clone();
        short.outcome.seconds.clear();
        say!("{}", json!({"run": short, "wall_seconds": seconds}));
    } else {
        say!("service figure {:.4}", o.figure);
        say!(
            "whole {:.4}, worst 10 s {:.4} (from {} s), worst class {:.4} ({}), worst parish {:.4} ({})",
            o.whole,
            o.worst_stretch.0,
            o.worst_stretch.1,
            o.worst_class.0,
            o.worst_class.1,
            o.worst_parish.0,
            o.worst_parish.1
        );
        for (name, share) in &o.classes {
            say!("class {name:20} {share:.4}");
        }
        say!("first tries, retries, attempts, probes: {:?}", o.counts);
        say!("in time, late, refused, failed: {:?}", o.ends);
        say!("most on a cold job worker: {:.2} times what it can do", run.verdict.most_on_cold);
        if o.lateness[1] > 0.0 {
            say!(
                "generator late: {:.3} ms at the 99th percentile, {:.3} ms at the most",
                o.lateness[0],
                o.lateness[1]
            );
        }
        match run.verdict.kept() {
            true => say!("rules kept"),
            false => say!("RULES BROKEN: {:?}", run.verdict.breaches),
        }
        for text in &run.verdict.examples {
            say!("    {text}");
        }
        for (text, count) in &run.notes {
            tracing::debug!(count, "noted: {text}");
        }
    }
    Ok(if run.verdict.kept() { ExitCode::SUCCESS } else { ExitCode::from(3) })
}
