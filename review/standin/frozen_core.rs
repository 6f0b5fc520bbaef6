//! Core machines freeze for less than half a second, one after the other, while a node agent reports that its worker is
//! lost for good.

use crate::cluster::{Class, Cluster, SIGCONT, SIGSTOP, wait_for};
use crate::worker::{Life, Runs};
use crate::{Outcome, Setup, record};
use std::time::{Duration, Instant};

/// Workers that are lost, each with a freeze of its own.
const ATTEMPTS: usize = 5;
/// The node agent counts a worker's hold as lapsed so long after its last answer.
const LAPSE: Duration = Duration::from_millis(4_835);
/// `recovery_s` and `finish_s`.
const WAIT_AT_END: Duration = Duration::from_secs(12 + 14);
/// A job is lost that has nothing running for so long.
const IDLE_MS: f64 = 3_000.0;

struct Attempt {
    path: String,
    task: String,
    spare: Life,
}

pub fn run(setup: &Setup) -> Outcome {
    let fail = |error: std::io::Error| error.to_string();
    let mut cluster = Cluster::new(&setup.folder, &setup.binaries, 2 * ATTEMPTS).map_err(fail)?;
    cluster.start_all().map_err(fail)?;
    cluster.configure(ATTEMPTS)?;
    cluster.wait_ready()?;
    std::thread::sleep(Duration::from_secs(3));
    let runs = Runs::default();
    let mut attempts = Vec::new();
    for number in 0..ATTEMPTS {
        attempts.push(attempt(setup, &cluster, &runs, number)?);
    }

    let until = Instant::now() + WAIT_AT_END;
    let mut open: Vec<&Attempt> = attempts.iter().collect();
    while Instant::now() < until && !open.is_empty() {
        std::thread::sleep(Duration::from_secs(2));
        open.retain(|attempt| cluster.state(&attempt.path).as_deref() != Some("completed"));
    }
    let mut broken = false;
    for attempt in open {
        let state = cluster.state(&attempt.path);
        let of_task: Vec<_> = runs
            .all()
            .into_iter()
            .filter(|run| run.task == attempt.task)
            .collect();
        let is_running = of_task.iter().any(|run| run.ended.is_none());
        let last_end = of_task
            .iter()
            .filter_map(|run| run.ended.as_ref())
            .map(|(at, _)| *at)
            .fold(0.0, f64::max);
        let idle_ms = record::now_ms() - last_end;
        let has_spare = attempt.spare.is_up() && attempt.spare.answers_without_hold() == 0;
        record::line(&format!(
            "job {}: state {state:?}, running {is_running}, nothing ran for {idle_ms:.0} ms, an idle worker of its service \
             is up and holds: {has_spare}",
            attempt.path
        ));
        if !is_running && idle_ms > IDLE_MS && has_spare {
            record::line(&format!(
                "LOST: job {} was accepted and is not run any more",
                attempt.path
            ));
            broken = true;
        }
    }
    Ok(broken)
}

/// A job runs on a worker that is lost for good; another worker of its service stands idle.
fn attempt(
    setup: &Setup,
    cluster: &Cluster,
    runs: &Runs,
    number: usize,
) -> Result<Attempt, String> {
    let agent = |side: usize| cluster.control(cluster.index(&format!("side-{side}")));
    let service = format!("svc-{number}");
    let (lost_id, spare_id) = (format!("i-{number}-lost"), format!("i-{number}-spare"));
    let (first, second) = (agent(2 * number), agent(2 * number + 1));
    let lost = Life::start(&lost_id, &service, &["a", "r1-1"], first, first, runs);
    wait_for(
        "the hold of the first worker",
        Duration::from_secs(10),
        || lost.holds() > 0,
    )?;
    let id = format!("5c0e7a21d94b360{number:x}");
    let path = format!("/q{number}/{id}");
    let body = "{\"spec\":\"ms=6000\",\"stages\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":6000}]}";
    cluster.submit(&path, body)?;
    let task = format!("{id}.0.0.0");
    wait_for(
        "the start on the first worker",
        Duration::from_secs(10),
        || runs.runs_on(&task, &lost_id),
    )?;
    let spare = Life::start(&spare_id, &service, &["a", "r1-2"], second, second, runs);
    wait_for(
        "the hold of the second worker",
        Duration::from_secs(10),
        || spare.holds() > 0,
    )?;
    std::thread::sleep(Duration::from_millis(300));

    let lapse = lost.lose_after_answer() + LAPSE;
    sleep_until(lapse - Duration::from_millis(700));
    if setup.trouble {
        freeze_core(cluster, lapse)?;
    }
    sleep_until(lapse + Duration::from_millis(1_500));
    Ok(Attempt { path, task, spare })
}

/// The followers stand still for 360 ms, the head for 365 ms, begun 230 ms later.
fn freeze_core(cluster: &Cluster, lapse: Instant) -> Result<(), String> {
    let mut head = None;
    wait_for("a head", Duration::from_millis(300), || {
        head = cluster.head();
        head.is_some()
    })?;
    let head = head.unwrap_or(0);
    let followers: Vec<usize> = cluster
        .of_class(Class::Core)
        .into_iter()
        .filter(|&core| core != head)
        .collect();
    sleep_until(lapse - Duration::from_millis(330));
    followers
        .iter()
        .for_each(|&core| cluster.signal(core, SIGSTOP));
    sleep_until(lapse - Duration::from_millis(100));
    cluster.signal(head, SIGSTOP);
    sleep_until(lapse + Duration::from_millis(30));
    followers
        .iter()
        .for_each(|&core| cluster.signal(core, SIGCONT));
    sleep_until(lapse + Duration::from_millis(265));
    cluster.signal(head, SIGCONT);
    Ok(())
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
