//! A node agent starts while its link to the core is bad: what it sends on its first connection to the head is held up,
//! and arrives when the agent has given that connection up and is at work on another one. The seeds that name the other
//! two core machines lead nowhere, so that the agent's first connections all go to the head, at one address.

use crate::cluster::{Cluster, wait_for};
use crate::worker::{Life, Runs};
use crate::{Outcome, Setup, record};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const JOB: &str = "5c0e7a21d94b36f8";
/// `recovery_s` and `finish_s`.
const WAIT_AT_END: Duration = Duration::from_secs(12 + 14);
/// A job is lost that has nothing running for so long.
const IDLE_MS: f64 = 3_000.0;

/// The link to the head. What comes in on its first connection is held up until `released`; it is not lost, as its
/// sender has closed the connection and not reset it.
fn link(
    name: String,
    at: SocketAddr,
    to: SocketAddr,
    released: Arc<AtomicBool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    let connections = AtomicUsize::new(0);
    std::thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let number = connections.fetch_add(1, Ordering::Relaxed) + 1;
            let (name, released) = (name.clone(), released.clone());
            std::thread::spawn(move || carry(&name, number, caller, to, &released));
        }
    });
    Ok(())
}

fn carry(name: &str, number: usize, mut caller: TcpStream, to: SocketAddr, released: &AtomicBool) {
    let opened = Instant::now();
    let Ok(mut onward) = TcpStream::connect(to) else {
        return;
    };
    let _ = (caller.set_nodelay(true), onward.set_nodelay(true));
    record::line(&format!(
        "link to {name}: connection {number} of the node agent opens"
    ));
    if let (Ok(back_from), Ok(back_to)) = (onward.try_clone(), caller.try_clone()) {
        std::thread::spawn(move || copy(back_from, back_to));
    }
    if number > 1 || released.load(Ordering::Relaxed) {
        return copy(caller, onward);
    }
    let mut held = Vec::new();
    let mut has_ended = false;
    let _ = caller.set_read_timeout(Some(Duration::from_millis(1)));
    while !released.load(Ordering::Relaxed) {
        let mut chunk = [0u8; 16_384];
        match caller.read(&mut chunk) {
            Ok(0) => {
                if !has_ended {
                    record::line(&format!(
                        "link to {name}: the node agent has closed connection {number}"
                    ));
                }
                has_ended = true;
                std::thread::sleep(Duration::from_millis(1));
            }
            Ok(count) => held.extend_from_slice(&chunk[..count]),
            Err(_) => {}
        }
    }
    let (bytes, age_ms) = (held.len(), opened.elapsed().as_millis());
    if onward.write_all(&held).is_err() {
        return;
    }
    if has_ended {
        let _ = onward.shutdown(Shutdown::Write);
        record::line(&format!(
            "link to {name}: {bytes} bytes of connection {number} arrive, and its end, {age_ms} ms after it opened"
        ));
    } else {
        let _ = caller.set_read_timeout(None);
        copy(caller, onward);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0u8; 65_536];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

pub fn run(setup: &Setup) -> Outcome {
    let fail = |error: std::io::Error| error.to_string();
    let mut cluster = Cluster::new(&setup.folder, &setup.binaries, 1).map_err(fail)?;
    cluster.start_core_and_edge().map_err(fail)?;
    cluster.configure(1)?;
    cluster.wait_ready()?;
    std::thread::sleep(Duration::from_secs(2));

    // The seeds that the node agent is given lead to the core machines through links; only that to the head works.
    let proxies = cluster.proxy_addresses();
    let head = cluster.head().ok_or("no head")?;
    let released = Arc::new(AtomicBool::new(!setup.trouble));
    let (at, to) = (
        cluster.internal(proxies[head]),
        cluster.internal(cluster.machines[head].ip),
    );
    link(
        cluster.machines[head].name.clone(),
        at,
        to,
        released.clone(),
    )
    .map_err(fail)?;
    cluster.seeds_of_sides = proxies;

    let side = cluster.index("side-0");
    cluster.start(side, true).map_err(fail)?;
    let (runs, agent) = (Runs::default(), cluster.control(side));
    std::thread::sleep(Duration::from_millis(300));
    let worker = Life::start("i-a1", "svc-0", &["a", "r1-1"], agent, agent, &runs);
    wait_for("the first hold", Duration::from_secs(10), || {
        worker.holds() > 0
    })?;
    record::line("worker i-a1: its heartbeats are answered with a hold");
    std::thread::sleep(Duration::from_millis(500));
    released.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(500));

    let path = format!("/q0/{JOB}");
    let body = "{\"spec\":\"ms=1000\",\"stages\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":1000}]}";
    cluster.submit(&path, body)?;
    let accepted_ms = record::now_ms();
    let until = Instant::now() + WAIT_AT_END;
    let mut state = None;
    while Instant::now() < until && state.as_deref() != Some("completed") {
        std::thread::sleep(Duration::from_secs(2));
        state = cluster.state(&path);
    }
    let of_task = runs.all();
    let is_running = of_task.iter().any(|run| run.ended.is_none());
    let last_end = of_task
        .iter()
        .filter_map(|run| run.ended.as_ref())
        .map(|(at, _)| *at)
        .fold(accepted_ms, f64::max);
    let idle_ms = record::now_ms() - last_end;
    record::line(&format!(
        "job {path}: state {state:?}, runs begun {}, nothing ran for {idle_ms:.0} ms; worker i-a1: up {}, {} heartbeats \
         answered without a hold since the last with one",
        of_task.len(),
        worker.is_up(),
        worker.answers_without_hold()
    ));
    let broken =
        state.as_deref() != Some("completed") && !is_running && idle_ms > IDLE_MS && worker.is_up();
    if broken {
        record::line(&format!(
            "LOST: job {path} was accepted and is not run, though a worker of its service stands idle"
        ));
    }
    Ok(broken)
}
