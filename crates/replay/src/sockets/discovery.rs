//! Simulated service discovery on sockets: serves the full membership, and long-poll watches of its changes.

use super::http::HttpConnection;
use super::{Environment, lock};
use crate::check::Observation;
use crate::scenario::Scenario;
use serde_json::{Value, json};
use smol::Timer;
use smol::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which a watch looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time that a watch waits for a change, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Health of a worker as the platform's discovery reports it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// The worker accepts jobs.
    Ready,
    /// The worker drains.
    Terminating,
    /// The process has ended.
    Ended,
}

impl Health {
    fn name(self) -> &'static str {
        match self {
            Health::Ready => "Ready",
            Health::Terminating => "Terminating",
            Health::Ended => "Gone",
        }
    }
}

struct Host {
    kind: String,
    zone: String,
    health: Health,
    /// Unix time at which the process started, in milliseconds; 0: before the replay.
    started_ms: u64,
    /// The version of the membership at the last change of this host.
    version: u64,
    /// Addresses of the worker, one for each scheduler.
    addresses: Vec<SocketAddr>,
}

/// All workers, with a version that increases with each change.
pub(crate) struct Membership {
    version: u64,
    hosts: Vec<Host>,
}

/// A response to a scheduler: the full membership or the changes since a version.
pub(crate) struct MembershipUpdate {
    /// The JSON body in the form of the platform's protocol.
    pub body: Value,
    /// The workers in the body, each with whether it accepts jobs.
    pub availability: Vec<(u32, bool)>,
}

/// The host name of a worker in the platform's protocol.
pub(crate) fn name(worker: u32) -> String {
    format!("s-{:08x}", crate::worker::worker_id(worker))
}

impl Membership {
    /// Creates a membership in which all workers have been ready since before the replay.
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let host = |w: u32| Host {
            kind: scenario.kinds[scenario.kind_of(w)].name.clone(),
            zone: scenario.zones[scenario.zone_of(w) as usize].clone(),
            health: Health::Ready,
            started_ms: 0,
            version: 1,
            addresses: Vec::new(),
        };
        Membership {
            version: 1,
            hosts: (0..scenario.workers()).map(host).collect(),
        }
    }

    /// Sets the addresses at which the schedulers reach a worker, one for each scheduler.
    pub(crate) fn set_addresses(&mut self, worker: u32, addresses: Vec<SocketAddr>) {
        self.hosts[worker as usize].addresses = addresses;
    }

    /// Records a change of a worker, under a new version.
    pub(crate) fn change(&mut self, worker: u32, health: Health, started_ms: u64) {
        self.version += 1;
        let host = &mut self.hosts[worker as usize];
        (host.health, host.started_ms, host.version) = (health, started_ms, self.version);
    }

    /// The changes after a version, with the addresses for one scheduler. Version 0 returns the full membership without ended
    /// workers.
    pub(crate) fn since(&self, version: u64, scheduler: u32) -> MembershipUpdate {
        let complete = version == 0;
        let (mut hosts, mut availability) = (Vec::new(), Vec::new());
        for (w, host) in self.hosts.iter().enumerate() {
            if host.version <= version || (complete && host.health == Health::Ended) {
                continue;
            }
            let address = host.addresses[scheduler as usize].to_string();
            hosts.push(
                json!({"host": name(w as u32), "dial": address, "site": host.zone, "class": host.kind, "block": 0,
                "health": host.health.name(), "share": 1.0, "born_ms": host.started_ms}),
            );
            availability.push((w as u32, host.health == Health::Ready));
        }
        MembershipUpdate {
            body: json!({"seq": self.version, "whole": complete, "hosts": hosts}),
            availability,
        }
    }
}

/// Opens a listener for each scheduler, and returns their addresses.
pub(crate) async fn listen(environment: &Arc<Environment>) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for scheduler in 0..environment.scenario.schedulers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        let environment = environment.clone();
        environment.clone().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let environment = environment.clone();
                environment.clone().spawn(async move {
                    let mut connection = HttpConnection::new(stream);
                    while serve(&environment, scheduler, &mut connection)
                        .await
                        .is_ok()
                    {}
                });
            }
        });
    }
    Ok(addresses)
}

/// Parses a number from the query string of a request target; `None` if it is missing or not a number.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(n, _)| *n == name)
        .find_map(|(_, value)| value.parse().ok())
}

/// Serves one request of a scheduler for the membership.
async fn serve(
    environment: &Environment,
    scheduler: u32,
    connection: &mut HttpConnection,
) -> io::Result<()> {
    let message = connection.read(false).await?;
    let target = &message.target;
    let index = query_number(target, "index").unwrap_or(0);
    let wait_ms = query_number(target, "wait").unwrap_or(0).min(MAX_WAIT_MS);
    Timer::after(Duration::from_millis(
        environment.scenario.discovery.call_ms,
    ))
    .await;
    let until = Instant::now() + Duration::from_millis(wait_ms);
    while index > 0 && lock(&environment.membership).version <= index && Instant::now() < until {
        Timer::after(POLL_INTERVAL).await;
    }
    let update = lock(&environment.membership).since(index, scheduler);
    let body = update.body.to_string();
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write(response.as_bytes()).await?;
    let at = environment.now();
    for (worker, available) in update.availability {
        environment.observe(Observation::AvailabilityReported {
            scheduler,
            worker,
            available,
            at,
        });
        if available {
            environment.observe(Observation::RestartReported { scheduler, worker });
        }
    }
    Ok(())
}
