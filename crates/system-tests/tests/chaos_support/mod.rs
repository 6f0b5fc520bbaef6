//! Runs one seed: clients submit jobs while faults are injected one after another.

mod faults;
mod jobs;
mod seeded_random;

pub(crate) use faults::{FAULTS, Fault, LATE_MESSAGE_FAULTS};

use faults::FaultInjector;
use indigofold_system_tests::checks::Exemptions;
use indigofold_system_tests::cluster::Cluster;
use indigofold_system_tests::system::{MachineCounts, Programs};
use seeded_random::SeededRandom;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of clients that submit jobs concurrently.
const CLIENTS: u64 = 3;
/// Number of faults that are injected in one run.
const FAULT_COUNT: usize = 12;

/// Runs a seed with faults out of `faults`; panics if a rule is broken or an accepted job does not end in time.
pub(crate) fn run_seed(programs: Programs, faults: &'static [Fault], seed: u64) {
    let mut cluster = Cluster::start(
        programs,
        MachineCounts {
            cores: 3,
            edges: 2,
            sides: 4,
        },
    );
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
    let mut injector = FaultInjector::new(SeededRandom::new(seed), faults);
    (0..FAULT_COUNT).for_each(|_| injector.inject_next(&mut cluster));
    injector.repair_all(&mut cluster);
    stopping.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("the client's thread should not panic"));
    cluster.finish();
}
