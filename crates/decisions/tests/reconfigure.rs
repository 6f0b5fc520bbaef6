//! Other settings while requests are open.

use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;

fn retuned(change: impl Fn(&mut Settings)) -> Event {
    let mut settings = settings();
    change(&mut settings);
    Event::Settings(Box::new(settings))
}

/// While it is open, a request must neither run twice because its class becomes safe, nor be lost because its class
/// becomes unsafe: it keeps the rules that it came with. The next request has the new ones.
#[test]
fn open_request_keeps_the_rules_of_its_class() {
    let mut stage = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (delicate, harmless) = (stage.submit(2).0, stage.submit(0).0);
    stage.handle(retuned(|s| {
        (s.classes[2].effect, s.classes[0].effect) = (Effect::Safe, Effect::Unsafe)
    }));
    stage.end(delicate, 0, Status::Reset);
    assert!(stage.is_failed(delicate) && stage.sent_to(delicate).is_none());
    stage.end(harmless, 0, Status::Reset);
    assert!(stage.sent_to(harmless).is_some());
    for (class, again) in [(2, true), (0, false)] {
        let mut stage = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
        stage.handle(retuned(|s| {
            (s.classes[2].effect, s.classes[0].effect) = (Effect::Safe, Effect::Unsafe)
        }));
        let id = stage.submit(class).0;
        stage.end(id, 0, Status::Reset);
        assert_eq!(
            (stage.sent_to(id).is_some(), stage.is_failed(id)),
            (again, !again),
            "class {class}"
        );
    }
}

/// An added class must not be taken for the one that unknown classes count as, its requests not be judged by another
/// class's rules, and the tables must not grow with each change.
#[test]
fn added_class_has_its_own_rules_and_an_unknown_class_stays_unknown() {
    let mut stage = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    for n in 0..50 {
        let latency_target = 300 * MS + n;
        stage.handle(retuned(|s| {
            s.classes[0].latency_target = latency_target;
            s.classes.push(Class {
                effect: Effect::Safe,
                latency_target,
                ..s.classes[2].clone()
            });
        }));
    }
    for (class, again) in [(4, true), (2, false), (9, false)] {
        let id = stage.submit(class).0;
        stage.end(id, 0, Status::Reset);
        assert_eq!(
            (stage.sent_to(id).is_some(), stage.is_failed(id)),
            (again, !again),
            "class {class}"
        );
        stage.end(id, 1, Status::Ok);
        stage.advance(7 * SEC);
    }
}

/// No more attempts than allowed, by the settings of when a request came and by those that hold now.
#[test]
fn open_request_is_limited_by_the_lower_attempt_limit_of_both_settings() {
    for (before, after) in [(1, 4), (4, 1)] {
        let mut first = settings();
        first.limits.attempts = before;
        let mut stage = Harness::new(first, &[entry(1, 0), entry(2, 0)]);
        let id = stage.submit(0).0;
        stage.handle(retuned(|s| s.limits.attempts = after));
        stage.end(id, 0, Status::Reset);
        assert!(
            stage.sent_to(id).is_none() && stage.is_refused(id),
            "{before} to {after}"
        );
    }
}
