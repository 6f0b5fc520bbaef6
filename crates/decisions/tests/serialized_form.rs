//! Tests that the bytes of the serialized forms do not change, because other versions of the program read them.

use indigofold_decisions::affinity::Fetches;
use indigofold_decisions::arrivals::Rates;
use indigofold_decisions::runs::{Speed, Work};
use indigofold_decisions::statistics::{
    Class, Demand, FleetStatistics, Kind, LateStartRate, Statistics, Worker,
};
use indigofold_decisions::transferred_job::{Attempt, Progress, TransferredJob};

/// [`statistics`] as serialized by the release before the types were renamed.
const STATISTICS_HEX: &str = "\
49464c52010047010000e3431fffff23420b8080f9c0c1c482030104666173740000000000001c400100000000000000\
     000000000000000000000000000000f03f000000000000e83f010473616c650000000000000000000000000000000000\
     00000080840e41000000000000f03f809bee02010473686f70000000000000d03f010a732d3030303030303031c0bd9a\
     2f000000000088d340000000000000044001c0fbbbc0c1c48203000000000000c03fc084b6c1c1c4820303010a732d30\
     30303030303031000000000000f83f0280f7febfc1c48203e0bddac0c1c482030100000000000044400000000080845e\
     41ae47e17a14aeff3f00000000203b28410000000000000040000000000000f83f0000000000002440cdccccccccccec\
     3f000000000000b03f000000000000e03f00000000000029400000000080844e410000000000003e400000000060e356\
     41000000000000a03f";

/// [`transferred_job`] as serialized by the same release.
const TRANSFERRED_JOB_HEX: &str = "\
0473616c6580b591c1c1c48203809be7c3c1c482030190a10f012a000000000000f83f0401020a732d30303030303030\
     318080f9c0c1c48203f0a20401e887f9c0c1c48203c084b6c1c1c48203000000000000e03f01a0c297c1c1c482030000\
     00000000d03f01010000000a732d3030303030303032c084b6c1c1c482030000000000000000000000000000010101";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits"))
        .collect()
}

fn statistics() -> Statistics<String> {
    let worker = "s-00000001".to_string();
    let mut fetches = Fetches::default();
    fetches.record_fetch(300_000.0);
    fetches.record_fetch(500_000.0);
    Statistics {
        at: 1_700_000_000_000_000,
        kinds: vec![(
            "fast".to_string(),
            Kind {
                slots: 7.0,
                slots_reported: true,
                speed: Speed::default(),
                weight: 0.75,
            },
        )],
        classes: vec![(
            "sale".to_string(),
            Class {
                run_time: Work::of(250_000),
                longest_client_wait: 6_000_000,
            },
        )],
        tenants: vec![("shop".to_string(), 0.25)],
        workers: vec![(
            worker.clone(),
            Worker {
                started_at: 99_000_000,
                start_delay: 20_000.0,
                others_slots: 2.5,
                load_updated_at: Some(1_699_999_999_000_000),
                failure_rate: 0.125,
                ejected_until: 1_700_000_001_000_000,
                timeouts_in_a_row: 3,
            },
        )],
        in_flight: vec![(worker, 1.5)],
        retried_at: vec![1_699_999_998_000_000, 1_699_999_999_500_000],
        fleet: Some(fleet_statistics(fetches)),
    }
}

fn fleet_statistics(fetches: Fetches) -> FleetStatistics {
    FleetStatistics {
        run_times: (40.0, 8e6).into(),
        fetches,
        arrivals: Rates {
            work: 2.0,
            unbound: 1.5,
            per_s: 10.0,
        },
        home_preference: 0.9,
        late_start_rate: LateStartRate {
            away: 0.0625,
            home: 0.5,
        },
        wait_window: 12.5,
        trusted_idle: 4e6,
        demand: Demand {
            value: 30.0,
            work: 6e6,
        },
        rejection_rate: 0.03125,
    }
}

fn transferred_job() -> TransferredJob<String> {
    TransferredJob {
        class: "sale".to_string(),
        late_from: 1_700_000_000_400_000,
        deadline: 1_700_000_006_000_000,
        estimate: Some(250_000),
        affinity: Some(42),
        slots: 1.5,
        attempt_limit: 4,
        over_quota: true,
        attempts: vec![started_attempt(), ended_attempt()],
    }
}

fn started_attempt() -> Attempt<String> {
    Attempt {
        worker: "s-00000001".to_string(),
        sent: 1_700_000_000_000_000,
        connection_idle: 70_000,
        started: Some(1_700_000_000_001_000),
        last_progress: Progress {
            at: 1_700_000_001_000_000,
            done: 0.5,
        },
        first_progress: Some(Progress {
            at: 1_700_000_000_500_000,
            done: 0.25,
        }),
        away_from_home: true,
        timed_out: true,
        ..Attempt::default()
    }
}

fn ended_attempt() -> Attempt<String> {
    Attempt {
        worker: "s-00000002".to_string(),
        sent: 1_700_000_001_000_000,
        unacknowledged: true,
        done: true,
        never_ran: true,
        ..Attempt::default()
    }
}

#[test]
fn written_statistics_have_the_bytes_of_version_one() {
    let form = statistics().write().expect("one worker fits");
    assert_eq!(hex(&form), STATISTICS_HEX);
    assert_eq!(Statistics::read(&bytes(STATISTICS_HEX)), Ok(statistics()));
}

#[test]
fn transferred_job_has_the_bytes_of_the_former_release() {
    let form = postcard::to_allocvec(&transferred_job()).expect("a job can be serialized");
    assert_eq!(hex(&form), TRANSFERRED_JOB_HEX);
    let read: TransferredJob<String> = postcard::from_bytes(&bytes(TRANSFERRED_JOB_HEX))
        .expect("the bytes of the former release can be read");
    assert_eq!(read, transferred_job());
}
