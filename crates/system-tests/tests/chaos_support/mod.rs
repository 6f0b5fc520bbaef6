//! Runs one seed: clients submit jobs while faults are injected one after another.

mod faults;
mod jobs;
mod lease_expiry;
mod leaving_workers;
mod seeded_random;

pub(crate) use faults::{FAULTS, Fault, LATE_CONNECTION_FAULTS, LATE_MESSAGE_FAULTS};
pub(crate) use lease_expiry::run_seed_around_lease_expiry;
pub(crate) use leaving_workers::run_seed_with_leaving_workers;

use faults::FaultInjector;
use indigofold_system_tests::checks::Exemptions;
use indigofold_system_tests::cluster::Cluster;
use indigofold_system_tests::relay::Relay;
use indigofold_system_tests::system::{MachineCounts, Programs};
use seeded_random::SeededRandom;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of clients that submit jobs concurrently.
const CLIENTS: u64 = 3;
/// Number of faults that are injected in one run.
const FAULT_COUNT: usize = 12;

/// Number of machines in a run.
const MACHINES: MachineCounts = MachineCounts {
    cores: 3,
    edges: 2,
    sides: 4,
};

/// Runs a seed with faults out of `faults`; panics if a rule is broken or an accepted job does not end in time.
pub(crate) fn run_seed(programs: Programs, faults: &'static [Fault], seed: u64) {
    let cluster = Cluster::start(programs, MACHINES);
    inject_faults(cluster, faults, seed, Vec::new());
}

/// The same with relays between the core members and all other machines.
pub(crate) fn run_seed_behind_relays(programs: Programs, faults: &'static [Fault], seed: u64) {
    let mut cluster = Cluster::prepare(programs, MACHINES);
    let system = &mut cluster.system;
    let (cores, callers) = (system.cores(), [system.edges(), system.sides()].concat());
    let relays = system
        .relays(&cores, &callers)
        .expect("the relays should listen");
    cluster.start_with_workers(&[cores, callers].concat());
    inject_faults(cluster, faults, seed, relays);
}

fn inject_faults(mut cluster: Cluster, faults: &'static [Fault], seed: u64, relays: Vec<Relay>) {
    cluster.exempt(Exemptions {
        gangs: true,
        late_stops: true,
    });
    let stopping = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (client, configuration) = (cluster.client.clone(), cluster.configuration.clone());
            let (stopping, random) = (stopping.clone(), SeededRandom::new(seed * 100 + number));
            std::thread::spawn(move || {
                jobs::submit_until(&stopping, &client, &configuration, random);
            })
        })
        .collect();
    let mut injector = FaultInjector::new(SeededRandom::new(seed), faults, relays);
    (0..FAULT_COUNT).for_each(|_| injector.inject_next(&mut cluster));
    injector.repair_all(&mut cluster);
    stopping.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("the client's thread should not panic"));
    cluster.finish();
}
