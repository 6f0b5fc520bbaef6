//! Tests for new settings while requests are open.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

fn reconfigured(change: impl Fn(&mut Settings)) -> Event {
    let mut settings = settings();
    change(&mut settings);
    Event::Settings(Box::new(settings))
}

/// An open request must neither run twice because its class becomes safe, nor be lost because its class becomes unsafe.
/// It keeps the rules that were in force when it arrived; later requests get the new rules.
#[test]
fn open_request_keeps_the_rules_of_its_class() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (unsafe_request, safe_request) = (harness.submit(2).0, harness.submit(0).0);
    harness.handle(reconfigured(|settings| {
        (settings.classes[2].effect, settings.classes[0].effect) = (Effect::Safe, Effect::Unsafe);
    }));
    harness.end(unsafe_request, 0, Status::Reset);
    assert!(harness.is_failed(unsafe_request) && harness.sent_to(unsafe_request).is_none());
    harness.end(safe_request, 0, Status::Reset);
    assert!(harness.sent_to(safe_request).is_some());
    for (class, is_retried) in [(2, true), (0, false)] {
        let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
        harness.handle(reconfigured(|settings| {
            (settings.classes[2].effect, settings.classes[0].effect) =
                (Effect::Safe, Effect::Unsafe);
        }));
        let id = harness.submit(class).0;
        harness.end(id, 0, Status::Reset);
        assert_eq!(
            (harness.sent_to(id).is_some(), harness.is_failed(id)),
            (is_retried, !is_retried),
            "class {class}"
        );
    }
}

/// An added class must have its own rules, and must not be confused with another class or with the fallback for unknown
/// classes. The tables must not grow with each change of settings.
#[test]
fn added_class_has_its_own_rules_and_an_unknown_class_stays_unknown() {
    let mut harness = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    for n in 0..50 {
        let latency_target = 300 * MS + n;
        harness.handle(reconfigured(|settings| {
            settings.classes[0].latency_target = latency_target;
            settings.classes.push(Class {
                effect: Effect::Safe,
                latency_target,
                ..settings.classes[2].clone()
            });
        }));
    }
    for (class, is_retried) in [(4, true), (2, false), (9, false)] {
        let id = harness.submit(class).0;
        harness.end(id, 0, Status::Reset);
        assert_eq!(
            (harness.sent_to(id).is_some(), harness.is_failed(id)),
            (is_retried, !is_retried),
            "class {class}"
        );
        harness.end(id, 1, Status::Ok);
        harness.advance(7 * SEC);
    }
}

/// A request must have no more attempts than allowed by the settings at its arrival or by the current settings.
#[test]
fn open_request_is_limited_by_the_lower_attempt_limit_of_both_settings() {
    for (before, after) in [(1, 4), (4, 1)] {
        let mut first = settings();
        first.limits.attempts = before;
        let mut harness = Harness::new(first, &[entry(1, 0), entry(2, 0)]);
        let id = harness.submit(0).0;
        harness.handle(reconfigured(|settings| settings.limits.attempts = after));
        harness.end(id, 0, Status::Reset);
        assert!(
            harness.sent_to(id).is_none() && harness.is_refused(id),
            "{before} to {after}"
        );
    }
}
