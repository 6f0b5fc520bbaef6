//! The commands that show, transform and merge recordings.

use crate::Bad;
use crate::cli::{Files, Jump};
use crate::files::{create_temporary, first_time, open_recording, read_text};
use indigofold_traffic::Job;
use indigofold_traffic::ops::{self, Factor, Merged, Scaled, Summary};
use indigofold_traffic::recording::{Header, Writer};
use serde_json::json;
use std::cell::RefCell;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The greatest factor by which a rate can be scaled.
const MAX_FACTOR: f64 = 1_000.0;
/// Length of the time spans within which the added jobs of a jump are shifted, in microseconds.
const JUMP_STRETCH_US: i64 = 100_000;
/// The shortest accepted secret for pseudonyms, in bytes.
const MIN_SECRET_LENGTH: usize = 16;

pub(crate) fn show(path: &Path, json: bool) -> Result<(), Bad> {
    let mut reader = open_recording(path)?;
    let mut summary = Summary::default();
    for job in &mut reader {
        summary.add(&job?);
    }
    let s = summary.finish();
    if json {
        say!(
            "{}",
            json!({"header": reader.header, "end": reader.end, "summary": s})
        );
        return Ok(());
    }
    let seconds = s.per_second.len();
    let rate = s.jobs as f64 / seconds.max(1) as f64;
    let most = s.per_second.iter().max().copied().unwrap_or(0);
    say!("made of {}", reader.header.made_of.join(", "));
    say!(
        "{} first tries with {} retries in {seconds} s",
        s.jobs,
        s.retries
    );
    say!(
        "{rate:.1} first tries a second, {most} at the most; variance over mean {:.2}",
        s.dispersion
    );
    say!(
        "mean recorded time of an answer {:.1} ms",
        s.mean_took / 1e3
    );
    for (of, counts) in [("class", &s.classes), ("parish", &s.parishes)] {
        for (name, count) in counts {
            say!(
                "{of} {name:24} {count:10} {:6.2}%",
                100.0 * *count as f64 / s.jobs.max(1) as f64
            );
        }
    }
    for (status, count) in &s.statuses {
        say!("last status {status:3}  {count:10}");
    }
    Ok(())
}

type Jobs<'a> = Box<dyn Iterator<Item = Job> + 'a>;

/// Returns the header and the jobs of a recording. The first read error ends the iterator and is stored in `read_error`,
/// which the caller checks after the last job.
fn read_jobs(
    path: &Path,
    read_error: &Rc<RefCell<Option<String>>>,
) -> Result<(Header, Jobs<'static>), Bad> {
    let reader = open_recording(path)?;
    let (header, read_error) = (reader.header.clone(), read_error.clone());
    let jobs = reader.map_while(move |job| match job {
        Ok(job) => Some(job),
        Err(e) => {
            *read_error.borrow_mut() = Some(e.to_string());
            None
        }
    });
    Ok((header, Box::new(jobs)))
}

fn write_recording(
    header: Header,
    jobs: Jobs<'_>,
    to: &Path,
    read_error: &Rc<RefCell<Option<String>>>,
    json: bool,
) -> Result<(), Bad> {
    let (out, unfinished) = create_temporary(to)?;
    let mut writer = Writer::new(out, &header)?;
    for job in jobs {
        writer.write(&job)?;
    }
    if let Some(error) = read_error.take() {
        drop(writer);
        let _ = std::fs::remove_file(&unfinished);
        return Err(error.into());
    }
    let (out, end) = writer.finish(None)?;
    drop(out);
    std::fs::rename(&unfinished, to)?;
    match json {
        true => say!("{}", serde_json::to_string(&end)?),
        false => say!("{} first tries, {} retries", end.jobs, end.retries),
    }
    Ok(())
}

pub(crate) fn transform(
    files: &Files,
    json: bool,
    operation: impl FnOnce(Jobs<'static>) -> Jobs<'static>,
) -> Result<(), Bad> {
    let read_error = Rc::new(RefCell::new(None));
    let (header, jobs) = read_jobs(&files.recording, &read_error)?;
    write_recording(header, operation(jobs), &files.out, &read_error, json)
}

pub(crate) fn merge(recordings: &[PathBuf], out: &Path, json: bool) -> Result<(), Bad> {
    let read_error = Rc::new(RefCell::new(None));
    let mut all = Vec::new();
    let mut made_of = Vec::new();
    for path in recordings {
        let (header, jobs) = read_jobs(path, &read_error)?;
        made_of.extend(header.made_of);
        all.push(jobs);
    }
    write_recording(
        Header::new(made_of, 0),
        Box::new(Merged::new(all)),
        out,
        &read_error,
        json,
    )
}

/// Keeps the jobs sent between two times, in seconds after the first job.
pub(crate) fn keep_time_span(files: &Files, from: f64, to: f64, json: bool) -> Result<(), Bad> {
    let first = first_time(&files.recording)?;
    let at = |seconds: f64| first + microseconds(seconds);
    transform(files, json, |jobs| {
        Box::new(ops::time_range(jobs, at(from), at(to)))
    })
}

/// Scales the rate by a factor; added jobs are shifted within spans of `stretch_ms`.
pub(crate) fn scale(
    files: &Files,
    factor: f64,
    stretch_ms: i64,
    seed: u64,
    json: bool,
) -> Result<(), Bad> {
    if !(factor > 0.0 && factor <= MAX_FACTOR) {
        return Err("--by must be over 0 and up to 1000".into());
    }
    let stretch_us = stretch_ms.max(1) * 1000;
    transform(files, json, |jobs| {
        Box::new(Scaled::new(jobs, Factor::Always(factor), stretch_us, seed))
    })
}

/// Multiplies the rate during a time span.
pub(crate) fn jump(args: &Jump, json: bool) -> Result<(), Bad> {
    if !(args.times > 0.0 && args.times <= MAX_FACTOR) {
        return Err("--times must be over 0 and up to 1000".into());
    }
    let from = first_time(&args.files.recording)? + microseconds(args.at);
    let factor = Factor::Jump {
        from,
        to: from + microseconds(args.duration),
        edge: microseconds(args.edge),
        times: args.times,
    };
    transform(&args.files, json, |jobs| {
        Box::new(Scaled::new(jobs, factor, JUMP_STRETCH_US, args.seed))
    })
}

/// Replaces identifiers of people and objects by keyed hashes.
pub(crate) fn pseudonymise(
    files: &Files,
    secret: &Path,
    parishes: bool,
    json: bool,
) -> Result<(), Bad> {
    let secret = read_text(secret)?;
    if secret.trim().len() < MIN_SECRET_LENGTH {
        return Err("the secret is too short: at least 16 characters are required".into());
    }
    transform(files, json, |jobs| {
        Box::new(ops::pseudonymise(jobs, secret.trim(), parishes))
    })
}

fn microseconds(seconds: f64) -> i64 {
    (seconds * 1e6) as i64
}
