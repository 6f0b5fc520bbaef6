//! The head freezes. Meanwhile a run ends `done`, and its worker leaves: it sends `DELETE` first, serves on and goes on
//! listing the end. The task must not be started again.

use crate::Outcome;
use crate::cluster::{SIGCONT, SIGSTOP};
use crate::record::Record;
use crate::setup::{Queue, Site, job_id};
use std::time::{Duration, Instant};

const WORKERS: usize = 7;
/// Length of the run.
const RUN_MS: u64 = 3_000;
/// The head freezes this long before the run ends.
const FROZEN_BEFORE_MS: u64 = 100;
/// With planned work, the worker's node agent gets SIGTERM this long after the end.
const ROLLED_AFTER_MS: u64 = 1_100;
/// Length of the freeze.
const FROZEN_MS: u64 = 5_000;
/// The worker leaves this long after the end.
const LEAVES_AFTER_MS: u64 = 300;
/// `liveness_ms`: the core is stable that long after the freeze began, until it ends: more than half of it runs.
const LIVENESS_MS: u64 = 3_000;
/// How long the worker serves on.
const SERVES_ON_MS: u64 = 10_000;

const QUEUE: Queue = Queue {
    name: "r-2b9wu3f",
    prefix: "/pufi791/",
    priority: 2,
    stretch: 4.0,
    target_latency_ms: 4_000,
};

/// The case is played twice: once with the freeze alone, and once with planned work besides, a SIGTERM of the node agent
/// of that worker, with the freeze or without.
pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let mut broken = Vec::new();
    for has_roll in [false, true] {
        record.write(&format!(
            "-- played with planned work {has_roll}, trouble {has_trouble}"
        ));
        match play(record, has_trouble, has_roll) {
            Outcome::Held => record.write("-- held"),
            Outcome::Broken(what) => {
                record.write(&format!("-- broken: {what}"));
                broken.push(what);
            }
            Outcome::NotRun(why) => return Outcome::NotRun(why),
        }
    }
    if broken.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken(broken.join("; "))
    }
}

fn play(record: &Record, has_trouble: bool, has_roll: bool) -> Outcome {
    let mut site = match Site::start(&[QUEUE], WORKERS, record) {
        Ok(site) => site,
        Err(why) => return Outcome::NotRun(why),
    };
    let Some(head) = site.cluster.head() else {
        return Outcome::NotRun("no core machine answers the operator".to_owned());
    };
    let id = job_id(1);
    let body = format!(
        "{{\"spec\":\"{RUN_MS}\",\"stages\":[{{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":{RUN_MS}}}]}}"
    );
    if !site.submit(0, QUEUE.prefix, &id, &body) {
        return Outcome::NotRun("the job was not accepted".to_owned());
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    let started = loop {
        if let Some(start) = site.starts(&id).first().cloned() {
            break start;
        }
        if Instant::now() > deadline {
            return Outcome::NotRun("the job did not start".to_owned());
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let wait_until = |at_ms: u64| {
        let left_ms = at_ms.saturating_sub(record.now_ms());
        std::thread::sleep(Duration::from_millis(left_ms));
    };
    let frozen_ms = started.at_ms + RUN_MS - FROZEN_BEFORE_MS;
    wait_until(frozen_ms);
    if has_trouble {
        site.cluster.signal(&head, SIGSTOP);
        record.write(&format!("{head}, the head, is frozen"));
    }
    wait_until(started.at_ms + RUN_MS + LEAVES_AFTER_MS);
    let worker = site
        .workers
        .iter()
        .position(|worker| worker.profile.instance == started.worker);
    let Some(worker) = worker else {
        return Outcome::NotRun("the worker is unknown".to_owned());
    };
    record.write(&format!("worker {} leaves", started.worker));
    site.workers[worker].leave();
    if has_roll {
        wait_until(started.at_ms + RUN_MS + ROLLED_AFTER_MS);
        let agent = format!("side-{}", worker + 1);
        if site.cluster.roll(&agent, record).is_err() {
            return Outcome::NotRun("the node agent could not be started again".to_owned());
        }
    }
    wait_until(frozen_ms + FROZEN_MS);
    if has_trouble {
        site.cluster.signal(&head, SIGCONT);
        record.write(&format!("{head} runs again"));
    }
    wait_until(started.at_ms + RUN_MS + LEAVES_AFTER_MS + SERVES_ON_MS);
    site.workers[worker].crash();
    record.write(&format!("worker {} has ended", started.worker));
    std::thread::sleep(Duration::from_secs(4));
    let state = site.state(0, QUEUE.prefix, &id);
    record.write(&format!("job {id}: state {state:?}"));
    if !site.cluster.all_run() {
        return Outcome::NotRun("a process has ended".to_owned());
    }
    let again: Vec<_> = site
        .starts(&id)
        .into_iter()
        .filter(|start| start.attempt > started.attempt)
        .collect();
    // The end is taken note of when last_seen reaches it, or 100 ms after it was listed with no trouble near, unless the
    // hold lapsed before.
    let seen = site
        .events_of(&id, "noted done")
        .into_iter()
        .find(|event| event.worker == started.worker);
    let is_calm = |at_ms: u64| (frozen_ms + LIVENESS_MS..frozen_ms + FROZEN_MS).contains(&at_ms);
    let listed = site.workers[worker]
        .listed()
        .into_iter()
        .filter(|end| end.how == "done" && end.task == started.task && end.is_held)
        .find(|end| is_calm(end.at_ms));
    record.write(&format!(
        "{} more starts; last_seen reached the first end at {:?}; listed in calm before the hold lapsed at {:?}",
        again.len(),
        seen.as_ref().map(|event| event.at_ms),
        listed.as_ref().map(|end| end.at_ms)
    ));
    match again.first() {
        Some(start) if seen.is_some() || listed.is_some() => Outcome::Broken(format!(
            "the run of {} ended done on {}, and the task was started again on {} {} ms later",
            started.task,
            started.worker,
            start.worker,
            start.at_ms - started.at_ms - RUN_MS
        )),
        _ => Outcome::Held,
    }
}
