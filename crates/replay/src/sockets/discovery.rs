//! Discovery: the whole list, and a watch on what changes.

use super::http::Link;
use super::{Stage, locked};
use crate::check::Seen;
use crate::scenario::Scenario;
use serde_json::{Value, json};
use smol::Timer;
use smol::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often a watch is looked at.
const LOOK: Duration = Duration::from_millis(5);

struct Host {
    kind: String,
    zone: String,
    health: &'static str,
    born: u64,
    version: u64,
    dial: Vec<SocketAddr>, // by scheduler
}

/// The discovery list.
pub struct List {
    version: u64,
    hosts: Vec<Host>,
}

/// A job worker's name.
pub fn name(worker: u32) -> String {
    format!("s-{:08x}", crate::worker::id(worker))
}

impl List {
    /// All job workers, ready since long.
    pub fn new(scenario: &Scenario) -> Self {
        let host = |w: u32| Host {
            kind: scenario.kinds[scenario.kind_of(w)].name.clone(),
            zone: scenario.zones[scenario.zone_of(w) as usize].clone(),
            health: "Ready",
            born: 0,
            version: 1,
            dial: Vec::new(),
        };
        List {
            version: 1,
            hosts: (0..scenario.workers()).map(host).collect(),
        }
    }

    /// Where the schedulers reach a job worker.
    pub fn reached_at(&mut self, worker: u32, dial: Vec<SocketAddr>) {
        self.hosts[worker as usize].dial = dial;
    }

    /// Discovery learns of a change.
    pub fn change(&mut self, worker: u32, health: &'static str, born: u64) {
        self.version += 1;
        let host = &mut self.hosts[worker as usize];
        (host.health, host.born, host.version) = (health, born, self.version);
    }

    /// What is newer than a version (0: all), for a scheduler; and whom it tells of.
    pub fn since(&self, version: u64, scheduler: u32) -> (Value, Vec<(u32, bool)>) {
        let newer = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, h)| h.version > version);
        let newer = newer.filter(|(_, h)| version > 0 || h.health != "Gone");
        let (mut hosts, mut told) = (Vec::new(), Vec::new());
        for (w, h) in newer {
            hosts.push(
                json!({"host": name(w as u32), "dial": h.dial[scheduler as usize].to_string(), "site": h.zone,
                "class": h.kind, "block": 0, "health": h.health, "share": 1.0, "born_ms": h.born}),
            );
            told.push((w as u32, h.health == "Ready"));
        }
        (
            json!({"seq": self.version, "whole": version == 0, "hosts": hosts}),
            told,
        )
    }
}

/// Listens, at an address for each scheduler.
pub async fn open(stage: &Arc<Stage>) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for scheduler in 0..stage.scenario.schedulers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        let stage = stage.clone();
        stage.clone().start(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let stage = stage.clone();
                stage.clone().start(async move {
                    let mut link = Link::new(stream);
                    while serve(&stage, scheduler, &mut link).await.is_ok() {}
                });
            }
        });
    }
    Ok(addresses)
}

async fn serve(stage: &Stage, scheduler: u32, link: &mut Link) -> io::Result<()> {
    let message = link.read(false).await?;
    let query = message
        .start
        .1
        .split_once('?')
        .map_or("", |(_, q)| q)
        .to_string();
    let number = |name: &str| {
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .filter(|(n, _)| *n == name)
            .find_map(|(_, v)| v.parse::<u64>().ok())
    };
    let (index, wait) = (
        number("index").unwrap_or(0),
        number("wait").unwrap_or(0).min(60_000),
    );
    Timer::after(Duration::from_millis(stage.scenario.discovery.call_ms)).await;
    let until = Instant::now() + Duration::from_millis(wait);
    while index > 0 && locked(&stage.list).version <= index && Instant::now() < until {
        Timer::after(LOOK).await;
    }
    let (list, told) = locked(&stage.list).since(index, scheduler);
    let body = list.to_string();
    link.write(
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .as_bytes(),
    )
    .await?;
    let at = stage.now();
    for (worker, takes) in told {
        stage.see(Seen::Told {
            scheduler,
            worker,
            takes,
            at,
        });
        if takes {
            stage.see(Seen::Aware { scheduler, worker });
        }
    }
    Ok(())
}
