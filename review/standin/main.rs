//! Stand-ins for the review's scripts: operator, clients, workers and a delaying proxy, and the project's own programs as
//! separate processes on loopback addresses. Only the standard library is used.
//!
//! Usage: standin CASE RECORD BINARIES   (environment: TROUBLE=0 leaves the disruption out)
//! Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

mod cluster;
mod http;
mod json;
mod record;
mod worker;

mod frozen_core;
mod late_beat;
mod late_greeting;

use std::path::PathBuf;
use std::time::Duration;

/// A case that takes longer is given up.
const LONGEST: Duration = Duration::from_secs(112);

/// Why a case could not run.
pub type Outcome = Result<bool, String>;

/// What a case needs.
pub struct Setup {
    pub binaries: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path, binaries] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD BINARIES");
        std::process::exit(2);
    };
    let folder = std::env::temp_dir().join(format!("indigofold-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("no temporary folder: {error}");
        std::process::exit(2);
    }
    if let Err(error) = record::open(record_path) {
        eprintln!("no record: {error}");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setup = Setup {
        binaries: PathBuf::from(binaries),
        folder: folder.clone(),
        trouble,
    };
    record::line(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    record::line(
        "(heartbeats are listed only where they begin or end something, or are answered without a hold)",
    );
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        record::line("RESULT: the case could not run: it took too long");
        cluster::kill_all();
        std::process::exit(2);
    });
    let outcome = match case.as_str() {
        "late-beat" => late_beat::run(&setup),
        "frozen-core" => frozen_core::run(&setup),
        "late-greeting" => late_greeting::run(&setup),
        _ => Err(format!("unknown case {case}")),
    };
    cluster::kill_all();
    let keep = std::env::var("KEEP_LOGS").is_ok();
    if keep {
        println!("logs kept in {}", folder.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (code, text) = match outcome {
        Ok(true) => (1, "RESULT: the rule was broken".to_owned()),
        Ok(false) => (0, "RESULT: the rule held".to_owned()),
        Err(why) => (2, format!("RESULT: the case could not run: {why}")),
    };
    record::line(&text);
    println!("{text}");
    std::process::exit(code);
}
