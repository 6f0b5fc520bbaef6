//! Tests for the ejection and probation of failing workers.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

/// Guards against a worker that fails immediately attracting all traffic, because it has the fewest requests in flight.
#[test]
fn immediately_failing_worker_is_ejected_and_rarely_tried() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    let mut to_failing = 0;
    for _ in 0..200 {
        let (id, worker) = harness.submit(0);
        let mut worker = worker;
        let mut attempt = 0;
        while worker == Some(1) {
            to_failing += 1;
            harness.advance(2 * MS);
            harness.end(id, attempt, Status::Error);
            worker = harness.sent_to(id);
            attempt += 1;
        }
        assert!(
            worker.is_some(),
            "after an error a safe request is retried on another worker"
        );
        harness.advance(20 * MS);
        harness.start(id, attempt);
        harness.advance(30 * MS);
        harness.end(id, attempt, Status::Ok);
    }
    assert!(
        (1..=12).contains(&to_failing),
        "{to_failing} of 200 requests went to the failing worker: 1 to 12 expected"
    );
}

/// Guards against a worker that stays excluded for good. On probation it gets only retryable requests, one at a time;
/// if there are none, the decay of its failure rate must end the probation.
#[test]
fn worker_on_probation_gets_retryable_requests_until_its_failure_rate_decays() {
    let after_two_errors = || {
        let mut harness = Harness::new(settings(), &[entry(1, 0)]);
        for _ in 0..2 {
            let (id, _) = harness.submit(2);
            harness.end(id, 0, Status::Error);
        }
        harness.advance(700 * MS);
        harness
    };
    let mut harness = after_two_errors();
    assert_eq!(
        harness.submit(2).1,
        None,
        "an unsafe request is not retryable"
    );
    let mut harness = after_two_errors();
    assert_eq!(harness.submit(3).1, Some(1), "a keyed request is retryable");
    assert_eq!(
        harness.submit(3).1,
        None,
        "a worker on probation gets one request at a time"
    );
    let mut harness = after_two_errors();
    harness.advance(2 * SEC);
    assert_eq!(harness.submit(2).1, Some(1), "the failure rate has decayed");
}

/// Guards against dispatchers that keep sending requests to a full worker, which rejects them.
#[test]
fn worker_that_rejects_for_lack_of_capacity_is_ejected_briefly() {
    let mut harness = Harness::new(settings(), &[entry(1, 0)]);
    let (id, _) = harness.submit(0);
    harness.advance(MS);
    harness.end(id, 0, Status::Full);
    assert!(
        harness
            .advance(1900 * MS)
            .iter()
            .all(|a| !matches!(a, Action::Send { .. }))
    );
    let later = harness.advance(200 * MS);
    assert!(
        later
            .iter()
            .any(|a| matches!(a, Action::Send { request, .. } if *request == id)),
        "{later:?}"
    );
}
