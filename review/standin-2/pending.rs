//! A worker is lost for good, and jobs come that only it could run. `GET PREFIX` must count them while none has begun.

use crate::Outcome;
use crate::record::Record;
use crate::setup::{Queue, Site, job_id};
use std::time::{Duration, Instant};

const WORKERS: usize = 7;
const JOBS: u64 = 4;
/// `visible_ms` + 2 s: jobs accepted longer ago count if they haven't begun.
const COUNTED_AFTER_MS: u128 = 5_000;

const QUEUE: Queue = Queue {
    name: "r-2b9wu3f",
    prefix: "/pufi791/",
    priority: 2,
    stretch: 4.0,
    target_latency_ms: 4_000,
};

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let mut site = match Site::start(&[QUEUE], WORKERS, record) {
        Ok(site) => site,
        Err(why) => return Outcome::NotRun(why),
    };
    if has_trouble {
        let worker = &mut site.workers[WORKERS - 1];
        record.write(&format!(
            "worker {} is lost for good",
            worker.profile.instance
        ));
        worker.crash();
    }
    let body = "{\"spec\":\"20000\",\"stages\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":20000,\"requirements\":\"b\"}]}";
    let mut accepted = Vec::new();
    for number in 1..=JOBS {
        let id = job_id(number);
        if site.submit(number as usize, QUEUE.prefix, &id, body) {
            accepted.push((id, Instant::now()));
        }
    }
    if accepted.len() < JOBS as usize {
        return Outcome::NotRun("not all jobs were accepted".to_owned());
    }
    let (mut asked, mut low) = (0, Vec::new());
    for turn in 0..30 {
        std::thread::sleep(Duration::from_millis(500));
        let waiting = accepted.iter().filter(|(id, at)| {
            at.elapsed().as_millis() > COUNTED_AFTER_MS && site.starts(id).is_empty()
        });
        let waiting = waiting.count() as u64;
        let old_enough = accepted
            .iter()
            .all(|(_, at)| at.elapsed().as_millis() > COUNTED_AFTER_MS);
        let Some(pending) = site.pending(turn, QUEUE.prefix) else {
            continue;
        };
        if !old_enough {
            continue;
        }
        asked += 1;
        record.write(&format!(
            "{waiting} jobs have not begun, pending is {pending}"
        ));
        if pending * 2 < waiting {
            low.push((waiting, pending));
        }
    }
    if !site.cluster.all_run() {
        return Outcome::NotRun("a process has ended".to_owned());
    }
    if asked == 0 {
        return Outcome::NotRun("no count was answered".to_owned());
    }
    match low.first() {
        None => Outcome::Held,
        Some((waiting, pending)) => Outcome::Broken(format!(
            "{} of {asked} counts are under half: {waiting} jobs accepted over 5 s before have not begun, pending {pending}",
            low.len()
        )),
    }
}
