//! Recordings shown and changed.

use crate::Bad;
use crate::cli::Files;
use crate::files::{create, open};
use indigofold_traffic::Job;
use indigofold_traffic::ops::{Merged, Summary};
use indigofold_traffic::recording::{Header, Writer};
use serde_json::json;
use std::cell::RefCell;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;

pub fn show(path: &Path, json: bool) -> Result<(), Bad> {
    let mut reader = open(path)?;
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

pub type Jobs<'a> = Box<dyn Iterator<Item = Job> + 'a>;

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
    header: Header,
    jobs: Jobs<'_>,
    to: &Path,
    failed: &Rc<RefCell<Option<String>>>,
    json: bool,
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
        false => say!("{} first tries, {} retries", end.jobs, end.retries),
    }
    Ok(())
}

pub fn change(
    files: &Files,
    json: bool,
    by: impl FnOnce(Jobs<'static>) -> Jobs<'static>,
) -> Result<(), Bad> {
    let failed = Rc::new(RefCell::new(None));
    let (header, jobs) = jobs(&files.recording, &failed)?;
    write(header, by(jobs), &files.out, &failed, json)
}

pub fn merge(recordings: &[PathBuf], out: &Path, json: bool) -> Result<(), Bad> {
    let failed = Rc::new(RefCell::new(None));
    let mut all = Vec::new();
    let mut made_of = Vec::new();
    for path in recordings {
        let (header, jobs) = jobs(path, &failed)?;
        made_of.extend(header.made_of);
        all.push(jobs);
    }
    write(
        Header::new(made_of, 0),
        Box::new(Merged::new(all)),
        out,
        &failed,
        json,
    )
}
