//! A worker is lost for good, and many steps wait for a worker of its kind. Jobs behind them, which any other worker
//! could run, must not stand still.

use crate::Outcome;
use crate::record::Record;
use crate::setup::{Queue, Site, job_id};
use std::time::{Duration, Instant};

const WORKERS: usize = 7;
/// Length of the traffic.
const TRAFFIC_S: u64 = 48;
/// `finish_s`: when jobs are asked for after the end of the traffic.
const FINISH_S: u64 = 14;
/// Steps of a job that needs a worker of kind `b`.
const STEPS: usize = 5;

const QUICK: Queue = Queue {
    name: "r-i9n73hh",
    prefix: "/lohu930/",
    priority: 0,
    stretch: 1.5,
    target_latency_ms: 800,
};
const BOUND: Queue = Queue {
    name: "r-2ctnfzs",
    prefix: "/puxa403/",
    priority: 1,
    stretch: 4.0,
    target_latency_ms: 4_000,
};
const PLAIN: Queue = Queue {
    name: "r-2b9wu3f",
    prefix: "/pufi791/",
    priority: 2,
    stretch: 4.0,
    target_latency_ms: 4_000,
};

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let mut site = match Site::start(&[QUICK, BOUND, PLAIN], WORKERS, record) {
        Ok(site) => site,
        Err(why) => return Outcome::NotRun(why),
    };
    let began = Instant::now();
    let elapsed_ms = || began.elapsed().as_millis() as u64;
    // Steps that need kind `b` come at 10 a second; quick jobs, which any worker may run, once a second.
    let stage =
        "{\"count\":1,\"cpu\":200,\"mem_mb\":256,\"estimate_ms\":5600,\"requirements\":\"b\"}";
    let bound_job = format!(
        "{{\"spec\":\"5600\",\"stages\":[{}]}}",
        [stage; STEPS].join(",")
    );
    let quick_job = "{\"spec\":\"700\",\"stages\":[{\"count\":1,\"cpu\":240,\"mem_mb\":256,\"estimate_ms\":700}]}";
    let (mut number, mut bound, mut plain) = (1, Vec::new(), Vec::new());
    let mut is_lost = false;
    let mut turn = 0;
    while elapsed_ms() < TRAFFIC_S * 1_000 {
        if has_trouble && !is_lost && elapsed_ms() >= 2_000 {
            let worker = &mut site.workers[WORKERS - 1];
            record.write(&format!(
                "worker {} is lost for good",
                worker.profile.instance
            ));
            worker.crash();
            is_lost = true;
        }
        let id = job_id(number);
        number += 1;
        if site.submit(turn, BOUND.prefix, &id, &bound_job) {
            bound.push(id);
        }
        if turn % 2 == 0 {
            site.submit(turn, QUICK.prefix, &job_id(number), quick_job);
            number += 1;
        }
        // The jobs behind: one that ends by itself and one that lasts.
        if plain.is_empty() && elapsed_ms() >= (TRAFFIC_S - 2) * 1_000 {
            for (spec, extra) in [("700", ""), ("forever", ",\"long_running\":true")] {
                let id = job_id(number);
                number += 1;
                let body = format!(
                    "{{\"spec\":\"{spec}\",\"stages\":[{{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":700{extra}}}]}}"
                );
                if site.submit(turn, PLAIN.prefix, &id, &body) {
                    plain.push(id);
                }
            }
        }
        turn += 1;
        let next = Duration::from_millis(500 * turn as u64);
        std::thread::sleep(next.saturating_sub(began.elapsed()));
    }
    record.write(&format!(
        "end of the traffic: {} jobs for kind b with {} steps, {} others accepted",
        bound.len(),
        bound.len() * STEPS,
        plain.len()
    ));
    if plain.len() < 2 {
        return Outcome::NotRun("the jobs behind were not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_secs(FINISH_S));
    if !site.cluster.all_run() {
        return Outcome::NotRun("a process has ended".to_owned());
    }
    let mut still = Vec::new();
    for id in &plain {
        let state = site.state(0, PLAIN.prefix, id);
        let starts = site.starts(id).len();
        record.write(&format!(
            "job {id}: state {state:?}, {starts} tasks started"
        ));
        if starts == 0 {
            still.push(id.clone());
        }
    }
    if still.is_empty() {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "{} of 2 jobs have nothing running {FINISH_S} s after the end of the traffic, though 6 workers are idle: {}",
        still.len(),
        still.join(", ")
    ))
}
