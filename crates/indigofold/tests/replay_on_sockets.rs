//! Runs a replay scenario against the program over real sockets: a load jump, a hang and a crash within twelve seconds. All
//! rules are checked, and the load is the same as in virtual time.

use indigofold_replay::load::Made;
use indigofold_replay::scenario::{self, Fault, FaultKind, Jump, Scenario};
use indigofold_replay::sockets;
use indigofold_replay::virtual_time::{Retries, Simulation};
use std::path::Path;

fn scenario() -> Scenario {
    let mut s = scenario::read(include_str!("../../../examples/replay/ten-minutes.json"))
        .expect("the example scenario must be valid");
    (s.load.seconds, s.load.rate) = (12.0, 60.0);
    s.load.jumps = vec![Jump {
        at_s: 5.0,
        for_s: 3.0,
        times: 2.0,
        edge_s: 0.2,
    }];
    // Few job workers with few cores, so that a low rate fills them, which a busy test machine can still generate.
    s.kinds.truncate(1);
    s.kinds[0].count = 6;
    s.kinds[0].cores = 4;
    let fault = |at_s, for_s, worker, what| Fault {
        at_s,
        for_s,
        workers: vec![worker],
        what,
    };
    s.faults = vec![
        fault(2.0, 3.0, 1, FaultKind::Hang),
        fault(4.0, 2.0, 2, FaultKind::Crash),
    ];
    s.discovery.notice_ms = 300;
    s
}

#[test]
fn the_program_keeps_all_rules_on_sockets() {
    let s = scenario();
    let program = Path::new(env!("CARGO_BIN_EXE_indigofold"));
    let load = Made::new(&s, 3).expect("cannot generate the load");
    let on_sockets =
        sockets::play(&s, 3, Retries::Model, program, load).expect("the run on sockets failed");
    let simulation = Simulation::new(&s, 3, Retries::Model).expect("cannot create the simulation");
    let in_virtual_time = simulation
        .play(
            Made::new(&s, 3).expect("cannot generate the load"),
            |_| {},
            |_| {},
        )
        .expect("the run in virtual time failed");
    assert!(
        in_virtual_time.verdict.kept(),
        "{:?}",
        in_virtual_time.verdict.examples
    );
    assert!(
        on_sockets.verdict.kept(),
        "{:?}",
        on_sockets.verdict.examples
    );
    assert_eq!(
        on_sockets.outcome.counts[0], in_virtual_time.outcome.counts[0],
        "the load on sockets and in virtual time must be the same"
    );
    let ends: u64 = on_sockets.outcome.ends.iter().sum();
    assert_eq!(
        ends, on_sockets.outcome.counts[0],
        "each first try must end once"
    );
    // The test doesn't depend on speed: most jobs are served, in time or late.
    assert!(
        on_sockets.outcome.ends[0] + on_sockets.outcome.ends[1] > ends * 8 / 10,
        "{:?}",
        on_sockets.outcome.ends
    );
}
