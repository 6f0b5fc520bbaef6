//! Tests that the dispatcher tolerates events that no correct caller sends.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

#[test]
fn malformed_events_are_harmless() {
    let mut settings = settings();
    settings.dispatchers = 0;
    settings.tenants = vec![Tenant {
        quota_per_s: 0.0,
        fraction: 0.0,
    }];
    settings.limits.attempts = 0;
    let mut harness = Harness::new(settings, &[]);
    harness.update_membership(
        Scope::Delta,
        &[Entry {
            kind: u32::MAX,
            power: f64::NAN,
            ready_at: u64::MAX,
            ..entry(1, 0)
        }],
    );
    for value in [f64::NAN, f64::INFINITY, -5.0, 1e300] {
        handle_impossible_number(&mut harness, value);
    }
    for id in [0, 12345] {
        handle_unknown_request(&mut harness, id);
    }
    harness.handle(Event::Timer(424242));
    harness.handle(Event::Peer {
        from: 9,
        in_flight: vec![(1, 255), (99, 7), (1, 3)],
    });
    harness.update_membership(Scope::Full, &[]);
    harness.advance(SEC);
    assert!(
        !harness
            .actions
            .iter()
            .any(|a| matches!(a, Action::Send { .. })),
        "the settings allow no attempt"
    );
}

/// Passes load reports, a request (twice) and a progress report with an impossible number.
fn handle_impossible_number(harness: &mut Harness, value: f64) {
    for worker in [1, 99] {
        harness.probed(worker, load(value, value));
    }
    let request = Request {
        class: 77,
        tenant: 0,
        slots: value,
        memory: value,
        left: u64::MAX,
        ..request(value.to_bits(), 0)
    };
    harness.handle(Event::Request(request.clone()));
    harness.handle(Event::Request(request));
    harness.handle(Event::Progress {
        request: value.to_bits(),
        attempt: 0,
        done: value,
    });
}

/// Passes events of attempts that do not exist.
fn handle_unknown_request(harness: &mut Harness, id: RequestId) {
    harness.handle(Event::Started {
        request: id,
        attempt: 9,
    });
    harness.handle(Event::Streaming {
        request: id,
        attempt: 9,
    });
    harness.end(id, 3, Status::Ok);
    harness.handle(Event::RequestClosed(id));
}
