//! Events that no caller should send must not stop the dispatcher.

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
    let odd = |v: f64| Load {
        inflight: Some(v),
        free_slots: Some(v),
        ..Load::default()
    };
    harness.update_membership(
        Scope::Delta,
        &[Entry {
            kind: u32::MAX,
            power: f64::NAN,
            ready_at: u64::MAX,
            ..entry(1, 0)
        }],
    );
    for v in [f64::NAN, f64::INFINITY, -5.0, 1e300] {
        for worker in [1, 99] {
            harness.handle(Event::Probed {
                worker,
                status: Status::Ok,
                load: Some(odd(v)),
            });
        }
        let r = Request {
            class: 77,
            tenant: 0,
            slots: v,
            memory: v,
            left: u64::MAX,
            ..request(v.to_bits(), 0)
        };
        harness.handle(Event::Request(r.clone()));
        harness.handle(Event::Request(r));
        harness.handle(Event::Progress {
            request: v.to_bits(),
            attempt: 0,
            done: v,
        });
    }
    for id in [0, 12345] {
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
        "no attempt is allowed here"
    );
}
