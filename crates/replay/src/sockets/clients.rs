//! Clients: each arrival is sent at its time, whatever became of those before.

use super::http::Link;
use super::workers::Known;
use super::{Stage, locked};
use crate::check::Seen;
use crate::client::{Said, again};
use crate::load::Arrival;
use crate::scenario::{Effect, Micros};
use crate::service::{Counted, End};
use crate::virtual_time::Retries;
use smol::Timer;
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// After the last arrival, what is open has this long beyond its time.
const AFTER: Duration = Duration::from_millis(500);

/// Idle connections to each scheduler.
struct Pools {
    addresses: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<Link>>>,
    open: AtomicUsize,
    next: AtomicU64,
    turn: Mutex<Vec<u32>>,
}

/// Sends all arrivals, and waits for what becomes of them.
pub async fn send(
    stage: &Arc<Stage>,
    arrivals: impl Iterator<Item = Result<Arrival, String>>,
    addresses: &[SocketAddr],
    shift: Micros,
) -> Result<(), String> {
    let pools = Arc::new(Pools {
        addresses: addresses.to_vec(),
        idle: addresses.iter().map(|_| Mutex::default()).collect(),
        open: AtomicUsize::new(0),
        next: AtomicU64::new(1),
        turn: Mutex::new(vec![0; stage.scenario.zones.len()]),
    });
    for arrival in arrivals {
        let mut arrival = arrival?;
        arrival.at += shift;
        Timer::at(stage.instant(arrival.at)).await;
        let over = {
            let mut service = locked(&stage.service);
            service.sent_late(stage.now().saturating_sub(arrival.at));
            service.arrives(arrival.at, arrival.parish)
        };
        pools.open.fetch_add(1, Ordering::SeqCst);
        let (stage, pools) = (stage.clone(), pools.clone());
        stage.clone().start(async move {
            let end = trip(&stage, &pools, &arrival).await;
            let work = arrival.work * u64::from(arrival.slots);
            let job = Counted {
                class: arrival.class,
                parish: arrival.parish,
                at: arrival.at,
                work,
                over,
            };
            locked(&stage.service).ended(&stage.scenario, job, end, arrival.work);
            pools.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
    let longest = stage
        .scenario
        .classes
        .iter()
        .map(|c| c.deadline())
        .max()
        .unwrap_or(0);
    let until = stage.now() + longest + AFTER.as_micros() as Micros;
    while pools.open.load(Ordering::SeqCst) > 0 && stage.now() < until {
        Timer::after(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// A job, with all its tries.
async fn trip(stage: &Arc<Stage>, pools: &Arc<Pools>, a: &Arrival) -> End {
    let until = a.at + a.deadline;
    let effect = stage.scenario.classes[a.class as usize].effect;
    let (mut tried, mut recorded) = (0, a.retries.iter());
    loop {
        if tried > 0 {
            locked(&stage.service).retried(a.at);
        }
        let said = match one_try(stage, pools, a, tried, until).await {
            Some(Said::Served) => return End::Served(stage.now()),
            Some(said) => said,
            None => return End::Late(stage.now()),
        };
        let now = stage.now();
        let next = match stage.retries {
            Retries::Model => again(
                &stage.scenario.clients,
                effect,
                said,
                (stage.seed, a.number),
                tried,
                now,
                until,
            ),
            Retries::Recorded => recorded
                .next()
                .map(|after| a.at + after)
                .filter(|at| *at < until),
            Retries::None => None,
        };
        match next {
            Some(at) => Timer::at(stage.instant(at)).await,
            None if matches!(said, Said::Refused(_)) => return End::Refused(now),
            None => return End::Failed(now),
        };
        tried += 1;
    }
}

/// One try; `None`: the client's time was up.
async fn one_try(
    stage: &Arc<Stage>,
    pools: &Pools,
    a: &Arrival,
    tried: u32,
    until: Micros,
) -> Option<Said> {
    let zone = stage.scenario.home(a.parish, a.number);
    let scheduler = {
        let mut turns = locked(&pools.turn);
        turns[zone as usize] += 1;
        stage.scenario.scheduler_of(zone, turns[zone as usize])
    };
    let job = pools.next.fetch_add(1, Ordering::SeqCst);
    locked(&stage.known).insert(
        job,
        Known {
            work: a.work,
            slots: a.slots,
        },
    );
    let taken = AtomicBool::new(false);
    let ask = async { Some(ask(stage, pools, a, (job, tried, scheduler), until, &taken).await) };
    let up = async {
        Timer::at(stage.instant(until)).await;
        None
    };
    let said = smol::future::or(ask, up).await;
    match said {
        Some(Ok(said)) => {
            let (served, refused) = (said == Said::Served, matches!(said, Said::Refused(_)));
            stage.see(Seen::Answered {
                job,
                served,
                refused,
                at: stage.now(),
            });
            Some(said)
        }
        // Lost, if the scheduler had taken it: that is left without an answer, and the checkers see it.
        Some(Err(_)) => Some(Said::Failed),
        None => {
            if taken.load(Ordering::SeqCst) {
                stage.see(Seen::Gone { job });
            }
            None
        }
    }
}

async fn ask(
    stage: &Stage,
    pools: &Pools,
    a: &Arrival,
    (job, tried, scheduler): (u64, u32, u32),
    until: Micros,
    taken: &AtomicBool,
) -> io::Result<Said> {
    let class = &stage.scenario.classes[a.class as usize];
    let mut head = format!(
        "POST /{}/{} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {job:016x}\r\nX-Expires-In-Ms: {}\r\n",
        class.name,
        a.subject,
        until.saturating_sub(stage.now()) / 1000
    );
    let mut header = |name: &str, value: &str| {
        head.push_str(name);
        head.push_str(": ");
        head.push_str(value);
        head.push_str("\r\n");
    };
    if let Some(p) = a.parish {
        header("X-Customer", &stage.scenario.parishes[p as usize].name);
    }
    if matches!(class.effect, Effect::Keyed(_)) {
        header("Idempotency-Key", &format!("k{:016x}", a.number));
    }
    if stage.scenario.clients.mark && tried > 0 {
        header("X-Second-Try", "1");
    }
    header("X-Props", &format!("needs={}", a.slots));
    head.push_str("Content-Length: 2\r\n\r\n{}");
    let idle = locked(&pools.idle[scheduler as usize]).pop();
    let used = idle.is_some();
    let mut link = match idle {
        Some(link) => link,
        None => Link::new(TcpStream::connect(pools.addresses[scheduler as usize]).await?),
    };
    let is_taken = || {
        taken.store(true, Ordering::SeqCst);
        stage.see(Seen::Taken {
            job,
            class: a.class,
            at: stage.now(),
            until,
        });
    };
    let mut answer = match link.write(head.as_bytes()).await {
        Ok(()) => {
            is_taken();
            link.read(true).await
        }
        Err(e) => Err(e),
    };
    if used && answer.is_err() {
        // A scheduler may close a connection between two requests: the client sends once more, on a new one.
        link = Link::new(TcpStream::connect(pools.addresses[scheduler as usize]).await?);
        link.write(head.as_bytes()).await?;
        is_taken();
        answer = link.read(true).await;
    }
    let answer = answer?;
    let after = answer
        .header("retry-after")
        .and_then(|v| v.parse::<f64>().ok());
    let said = match answer.status {
        200 => Said::Served,
        429 | 503 => Said::Refused((after.unwrap_or(0.0) * 1e6) as Micros),
        _ => Said::Failed,
    };
    if !answer.close {
        locked(&pools.idle[scheduler as usize]).push(link);
    }
    Ok(said)
}
