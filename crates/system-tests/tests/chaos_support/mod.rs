//! The play of one seed: clients that hand in jobs, and troubles that follow one another.

mod draw;
mod jobs;
mod troubles;

use draw::Draw;
use indigofold_system_tests::checks::Excuses;
use indigofold_system_tests::cluster::Cluster;
use indigofold_system_tests::system::{Programs, Shape};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use troubles::Troubles;

/// Clients at work.
const CLIENTS: u64 = 3;
/// Troubles in one play.
const TROUBLES: usize = 12;

/// Plays a seed; panics if a rule was broken or an accepted job has not ended.
pub fn play(programs: Programs, seed: u64) {
    let mut cluster = Cluster::start(
        programs,
        Shape {
            cores: 3,
            edges: 2,
            sides: 4,
        },
    );
    cluster.excuse(Excuses {
        gangs: true,
        late_stops: true,
    });
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (client, configuration) = (cluster.client.clone(), cluster.configuration.clone());
            let (over, draw) = (over.clone(), Draw::new(seed * 100 + number));
            std::thread::spawn(move || jobs::hand_in_until(&over, &client, &configuration, draw))
        })
        .collect();
    let mut troubles = Troubles::new(Draw::new(seed));
    (0..TROUBLES).for_each(|_| troubles.next(&mut cluster));
    troubles.settle(&mut cluster);
    over.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client's jobs"));
    cluster.finish();
}
