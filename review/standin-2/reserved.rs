//! A worker is lost for good, so that two gangs can't be placed any more. They must not keep the idle workers for
//! themselves for ever: a task that lasts and that has room there has to be started.

use crate::Outcome;
use crate::record::Record;
use crate::setup::{Queue, Site, job_id};
use std::time::{Duration, Instant};

const WORKERS: usize = 7;
/// How long the task that lasts is watched; the rule allows it 6 s and 3 s more.
const WATCHED_S: u64 = 30;

const GANGS: Queue = Queue {
    name: "r-exd9dnn",
    prefix: "/pule252/",
    priority: 1,
    stretch: 2.2,
    target_latency_ms: 1_500,
};
const LASTING: Queue = Queue {
    name: "r-2ctnfzs",
    prefix: "/puxa403/",
    priority: 1,
    stretch: 2.2,
    target_latency_ms: 3_000,
};

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let mut site = match Site::start(&[GANGS, LASTING], WORKERS, record) {
        Ok(site) => site,
        Err(why) => return Outcome::NotRun(why),
    };
    // Four tasks that last, on four workers: three workers stay idle.
    let first = job_id(1);
    let body = "{\"spec\":\"forever\",\"stages\":[{\"count\":4,\"cpu\":14000,\"mem_mb\":2048,\"estimate_ms\":1000,\"anti_affinity\":1,\"long_running\":true}]}";
    if !site.submit(0, LASTING.prefix, &first, body) {
        return Outcome::NotRun("the first lasting job was not accepted".to_owned());
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while site.starts(&first).len() < 4 {
        if Instant::now() > deadline {
            return Outcome::NotRun("the first lasting job did not start".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(2));
    if has_trouble {
        let used: Vec<String> = site
            .starts(&first)
            .into_iter()
            .map(|event| event.worker)
            .collect();
        let idle = site
            .workers
            .iter_mut()
            .find(|worker| !used.contains(&worker.profile.instance));
        let Some(worker) = idle else {
            return Outcome::NotRun("no worker is idle".to_owned());
        };
        record.write(&format!(
            "worker {} is lost for good",
            worker.profile.instance
        ));
        worker.crash();
    }
    std::thread::sleep(Duration::from_secs(8));
    let gang = "{\"spec\":\"5600\",\"stages\":[{\"count\":3,\"cpu\":15000,\"mem_mb\":8192,\"estimate_ms\":5600,\"gang\":true}]}";
    for number in 2..4 {
        if !site.submit(number as usize, GANGS.prefix, &job_id(number), gang) {
            return Outcome::NotRun("a gang was not accepted".to_owned());
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let last = job_id(4);
    let body = "{\"spec\":\"forever\",\"stages\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":2048,\"estimate_ms\":1000,\"long_running\":true}]}";
    if !site.submit(0, LASTING.prefix, &last, body) {
        return Outcome::NotRun("the second lasting job was not accepted".to_owned());
    }
    let accepted = Instant::now();
    let mut waited = None;
    while accepted.elapsed() < Duration::from_secs(WATCHED_S) {
        if !site.starts(&last).is_empty() {
            waited = Some(accepted.elapsed());
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let state = site.state(1, LASTING.prefix, &last);
    record.write(&format!(
        "the second lasting job: state {state:?}, started after {waited:?}"
    ));
    if !site.cluster.all_run() {
        return Outcome::NotRun("a process has ended".to_owned());
    }
    match waited {
        Some(waited) if waited < Duration::from_secs(9) => Outcome::Held,
        Some(waited) => Outcome::Broken(format!(
            "the lasting task was started only after {} ms, though two workers were idle",
            waited.as_millis()
        )),
        None => Outcome::Broken(format!(
            "the lasting task was not started for {WATCHED_S} s, though two workers are idle"
        )),
    }
}
