//! A worker crashes right after its start; its first heartbeat comes seconds late, when its next life is at work.

use crate::cluster::{Cluster, wait_for};
use crate::http::read_message;
use crate::worker::{Life, Runs, SeenRun};
use crate::{Outcome, Setup, record};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const JOB: &str = "5c0e7a21d94b36f8";
/// Two runs count as at the same time if they overlap by more than this (the record's own precision).
const OVERLAP_MIN_MS: f64 = 50.0;

/// A proxy that holds one request back until `released`, then passes it on.
fn delaying_proxy(to: SocketAddr, released: Arc<AtomicBool>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        let Ok((mut caller, _)) = listener.accept() else {
            return;
        };
        let Ok((head, body)) = read_message(&mut caller, Instant::now() + Duration::from_secs(1))
        else {
            return;
        };
        let sent = Instant::now();
        while !released.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let Ok(mut onward) = TcpStream::connect(to) else {
            return;
        };
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(b"\r\n\r\n");
        bytes.extend_from_slice(&body);
        if onward.write_all(&bytes).is_err() {
            return;
        }
        record::line(&format!(
            "network: the heartbeat arrives {} ms after it was sent",
            sent.elapsed().as_millis()
        ));
        let _ = onward.set_read_timeout(Some(Duration::from_secs(1)));
        let mut answer = vec![0u8; 65_536];
        let count = onward.read(&mut answer).unwrap_or(0);
        let text = String::from_utf8_lossy(&answer[..count]).into_owned();
        let status = text.lines().next().unwrap_or("no answer").to_owned();
        record::line(&format!("network: it is answered: {status}"));
        let _ = caller.write_all(&answer[..count]);
    });
    Ok(address)
}

pub fn run(setup: &Setup) -> Outcome {
    let fail = |error: std::io::Error| error.to_string();
    let mut cluster = Cluster::new(&setup.folder, &setup.binaries, 2).map_err(fail)?;
    cluster.start_all().map_err(fail)?;
    cluster.configure(1)?;
    cluster.wait_ready()?;
    let (agent_a, agent_b) = (
        cluster.control(cluster.index("side-0")),
        cluster.control(cluster.index("side-1")),
    );
    let runs = Runs::default();

    // Without the disruption the first heartbeat is passed on at once.
    let released = Arc::new(AtomicBool::new(!setup.trouble));
    let proxy = delaying_proxy(agent_a, released.clone()).map_err(fail)?;
    let first = Life::start("i-a1", "svc-0", &["a", "r1-1"], agent_a, proxy, &runs);
    std::thread::sleep(Duration::from_millis(700));
    first.crash();
    std::thread::sleep(Duration::from_millis(600));
    let second = Life::start("i-a2", "svc-0", &["a", "r1-1"], agent_a, agent_a, &runs);
    wait_for("the hold of i-a2", Duration::from_secs(8), || {
        second.holds() > 0
    })?;

    let path = format!("/q0/{JOB}");
    let body = "{\"spec\":\"ms=8000\",\"stages\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":8000}]}";
    cluster.submit(&path, body)?;
    let task = format!("{JOB}.0.0.0");
    wait_for("the start on i-a2", Duration::from_secs(8), || {
        runs.runs_on(&task, "i-a2")
    })?;
    let other = Life::start("i-b1", "svc-0", &["a", "r1-2"], agent_b, agent_b, &runs);
    wait_for("the hold of i-b1", Duration::from_secs(8), || {
        other.holds() > 0
    })?;
    std::thread::sleep(Duration::from_millis(600));
    released.store(true, Ordering::Relaxed);

    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until && cluster.state(&path).as_deref() != Some("completed") {
        std::thread::sleep(Duration::from_secs(1));
    }
    std::thread::sleep(Duration::from_secs(3));
    record::line(&format!(
        "worker i-a2: up {}, {} heartbeats answered without a hold since the last with one",
        second.is_up(),
        second.answers_without_hold()
    ));
    Ok(has_overlap(&runs.all()))
}

/// Whether two runs of one task were at work at the same time.
fn has_overlap(runs: &[SeenRun]) -> bool {
    let end = |run: &SeenRun| run.ended.as_ref().map_or(record::now_ms(), |(at, _)| *at);
    let mut found = false;
    for (index, one) in runs.iter().enumerate() {
        for other in runs[index + 1..]
            .iter()
            .filter(|other| other.task == one.task && other.life != one.life)
        {
            let overlap_ms = end(one).min(end(other)) - one.began_ms.max(other.began_ms);
            if overlap_ms > OVERLAP_MIN_MS {
                record::line(&format!(
                    "TWICE: {} attempt {} on {} and attempt {} on {} ran at the same time for {overlap_ms:.0} ms",
                    one.task, one.attempt, one.life, other.attempt, other.life
                ));
                found = true;
            }
        }
    }
    found
}
