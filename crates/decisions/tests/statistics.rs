//! Tests for merging the statistics of another dispatcher, and for their serialized form.

use indigofold_decisions::api::*;
use indigofold_decisions::dispatcher::WorkerCounts;
use indigofold_decisions::statistics::{
    LENGTH_MAX_BYTES, MAGIC, ReadError, Statistics, UNLIMITED, VERSION,
};
use indigofold_decisions_testing::*;
use proptest::prelude::*;

fn counts(listed: u64, avoided: u64) -> WorkerCounts {
    WorkerCounts { listed, avoided }
}

fn merge(to: &mut Harness, statistics: Statistics<u32>) {
    to.handle(Event::Statistics(Box::new(statistics)));
}

/// A dispatcher that has served 300 requests; workers with even ids, of kind 0, are three times as fast as the others.
fn with_history(workers: &[Entry]) -> Harness {
    let mut old = Harness::new(settings(), workers);
    for _ in 0..300 {
        old.serve(0, |w| if w % 2 == 0 { 100 * MS } else { 300 * MS })
            .expect("an idle worker takes every request");
    }
    old
}

fn count_fast_of_thirty(harness: &mut Harness) -> usize {
    let run = |w: WorkerId| if w % 2 == 0 { 100 * MS } else { 300 * MS };
    (0..30)
        .filter(|_| {
            harness
                .serve(0, run)
                .expect("an idle worker takes every request")
                % 2
                == 0
        })
        .count()
}

#[test]
fn merged_statistics_give_the_kind_weights_of_the_former_process() {
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let old = with_history(&workers);
    let mut without = old.successor(settings(), &workers);
    let mut with = old.successor(settings(), &workers);
    merge(&mut with, old.dispatcher.statistics(old.now));
    let (without, with) = (
        count_fast_of_thirty(&mut without),
        count_fast_of_thirty(&mut with),
    );
    assert!(
        with >= 27 && without < with,
        "requests of 30 to the fast kind: {with} with the statistics, {without} without"
    );
}

/// Guards against statistics that change each time they are passed on.
#[test]
fn statistics_that_are_merged_and_read_at_once_stay_the_same() {
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let old = with_history(&workers);
    let statistics = old.dispatcher.statistics(old.now);
    let mut new = old.successor(settings(), &workers);
    merge(&mut new, statistics.clone());
    merge(&mut new, statistics.clone());
    let passed_on = new.dispatcher.statistics(new.now);
    assert_eq!(
        (&statistics.classes, &statistics.workers),
        (&passed_on.classes, &passed_on.workers)
    );
    for ((_, was), (_, is)) in statistics.kinds.iter().zip(&passed_on.kinds) {
        assert_eq!(
            (was.slots, was.slots_reported, &was.speed),
            (is.slots, is.slots_reported, &is.speed)
        );
        assert!(
            (was.weight - is.weight).abs() < 0.02,
            "the kind weight changes only by the latest solutions: {} before, {} after",
            was.weight,
            is.weight
        );
    }
    assert_eq!(statistics.fleet, passed_on.fleet);
}

/// The process that takes over must also eject a failing worker, unless that worker has restarted meanwhile.
#[test]
fn ejection_is_merged_only_for_the_same_instance_of_a_worker() {
    let mut old = Harness::new(settings(), &[entry(1, 0)]);
    for _ in 0..2 {
        let (id, worker) = old.submit(2);
        assert_eq!(worker, Some(1));
        old.end(id, 0, Status::Error);
        old.advance(20 * MS);
    }
    assert_eq!(
        old.dispatcher.worker_counts(old.now),
        counts(1, 1),
        "the ejected worker counts as avoided"
    );
    let statistics = old.dispatcher.statistics(old.now);
    let mut same = old.successor(settings(), &[entry(1, 0)]);
    merge(&mut same, statistics.clone());
    assert_eq!(
        (same.dispatcher.worker_counts(same.now), same.submit(0).1),
        (counts(1, 1), None)
    );
    let restarted = Entry {
        ready_at: 99 * SEC,
        ..entry(1, 0)
    };
    let mut other = old.successor(settings(), &[restarted]);
    merge(&mut other, statistics);
    assert_eq!(other.dispatcher.worker_counts(other.now), counts(1, 0));
}

/// Statistics must grant no permission: neither a state of the membership list nor a warm-up budget.
#[test]
fn membership_and_warm_up_budgets_are_not_merged() {
    let rules = Rules {
        initial_capacity: 0.32,
        warm_after: 8 * SEC,
        ..settings().rules
    };
    let settings = Settings {
        rules,
        dispatchers: 1,
        ..settings()
    };
    let mut old = Harness::new(settings.clone(), &[entry(1, 0), entry(2, 0)]);
    for _ in 0..100 {
        old.serve(0, |_| 100 * MS);
    }
    let statistics = old.dispatcher.statistics(old.now);
    assert!(statistics.workers.len() == 2 && statistics.kinds[0].1.speed.weight() > 50.0);
    // The membership list has one draining worker and one that has just started.
    let draining = Entry {
        state: WorkerState::Draining,
        ..entry(1, 0)
    };
    let warming = Entry {
        ready_at: old.now,
        ..entry(2, 0)
    };
    let sent = |statistics: Option<Statistics<u32>>| {
        let mut new = old.successor(settings.clone(), &[draining.clone(), warming.clone()]);
        statistics.into_iter().for_each(|l| merge(&mut new, l));
        let to: Vec<WorkerId> = (0..40).filter_map(|_| new.submit(0).1).collect();
        assert!(!to.contains(&1), "a draining worker gets no request");
        to.len()
    };
    let (with, without) = (sent(Some(statistics)), sent(None));
    assert!(
        with <= without.max(1),
        "requests sent to a worker in warm-up: {with} with statistics, {without} without"
    );
}

#[test]
fn slots_in_flight_of_the_other_process_count_until_its_next_update() {
    let mut new = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let elsewhere = Statistics {
        at: new.now,
        in_flight: vec![(1, 3.0), (77, 2.0)],
        ..Statistics::default()
    };
    merge(&mut new, elsewhere);
    let (id, to) = new.submit(0);
    assert_eq!(to, Some(2), "worker 1 counts as full");
    new.handle(Event::RequestClosed(id));
    new.end(id, 0, Status::Cancelled);
    let at = new.now;
    merge(
        &mut new,
        Statistics {
            at,
            ..Statistics::default()
        },
    );
    let sent: Vec<_> = (0..2).filter_map(|_| new.submit(0).1).collect();
    assert!(
        sent.contains(&1),
        "no slots are in flight at worker 1 any more: {sent:?}"
    );
}

/// Retries of the former process use the retry budget of the new one; they count once even if merged twice.
#[test]
fn merged_retries_count_once_in_the_retry_budget() {
    let budget = RetryBudget {
        free: 1.0,
        ratio: 0.0,
        window: Some(10 * SEC),
    };
    let settings = Settings {
        rules: Rules {
            retry_budget: Some(budget),
            ..settings().rules
        },
        ..settings()
    };
    let workers = [entry(1, 0), entry(2, 0), entry(3, 0)];
    let mut old = Harness::new(settings.clone(), &workers);
    let (id, _) = old.submit(0);
    old.end(id, 0, Status::Error);
    assert!(old.sent_to(id).is_some(), "the budget allows one retry");
    let mut new = old.successor(settings, &workers);
    let statistics = old.dispatcher.statistics(old.now);
    assert_eq!(statistics.retried_at.len(), 1);
    merge(&mut new, statistics.clone());
    merge(&mut new, statistics);
    assert_eq!(new.dispatcher.statistics(new.now).retried_at.len(), 1);
    let (id, _) = new.submit(0);
    new.end(id, 0, Status::Error);
    assert!(
        new.is_refused(id) && new.sent_to(id).is_none(),
        "the merged retry has used up the budget: {:?}",
        new.actions
    );
}

/// Run times, which are learned over minutes, stay valid after a break of one minute; arrival rates do not.
#[test]
fn merged_statistics_are_weighted_by_their_age() {
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let old = with_history(&workers);
    let statistics = old.dispatcher.statistics(old.now);
    let after = |delay: Time| {
        let mut new = Harness::starting_at(settings(), &workers, old.now + delay);
        merge(&mut new, statistics.clone());
        new.dispatcher.statistics(new.now)
    };
    let (now, minute, day) = (after(0), after(60 * SEC), after(86_400 * SEC));
    let weight = |l: &Statistics<u32>| l.kinds[0].1.speed.weight();
    assert!(weight(&minute) > 0.85 * weight(&now) && weight(&day) < 0.01 * weight(&now));
    assert!((minute.kinds[0].1.speed.speed - now.kinds[0].1.speed.speed).abs() < 1e-9);
    let arrivals = |l: &Statistics<u32>| l.fleet.as_ref().map_or(0.0, |p| p.arrivals.per_s);
    assert!(arrivals(&now) > 1.0 && arrivals(&minute) < 1e-4 * arrivals(&now));
    // Statistics of a clock that runs ahead count as current, and no ejection lasts longer than the maximum.
    let mut ahead = statistics.clone();
    ahead.at += 3600 * SEC;
    ahead.workers[0].1.ejected_until = Time::MAX;
    ahead.workers[0].1.load_updated_at = Some(Time::MAX);
    let mut new = Harness::starting_at(settings(), &workers, old.now);
    merge(&mut new, ahead);
    let known = new.dispatcher.statistics(new.now);
    assert!(
        known.workers[0].1.ejected_until <= new.now + 6 * SEC
            && known.workers[0].1.load_updated_at.is_none()
    );
}

fn with_names(statistics: Statistics<u32>) -> Statistics<String> {
    let name = |n: &u32| Some(format!("n{n}"));
    statistics.renamed(name, name, name, |n| Some(format!("s-{n:08x}")))
}

#[test]
fn written_statistics_are_read_back_unchanged() {
    let workers: Vec<_> = (0..200).map(|i| entry(i, i % 2)).collect();
    let statistics = with_names(with_history(&workers).dispatcher.statistics(130 * SEC));
    let form = statistics.write().expect("200 workers fit");
    assert_eq!(Statistics::read(&form), Ok(statistics.clone()));
    assert!(form.len() < 20_000, "{} bytes for 200 workers", form.len());
    // Too many workers for the maximum length.
    let mut large = statistics;
    large.workers = (0..4000)
        .map(|n| (format!("s-{n:08x}"), large.workers[0].1.clone()))
        .collect();
    assert_eq!(large.write(), None);
}

/// Version 1 as first released must stay readable.
#[test]
fn version_one_stays_readable() {
    let empty = "49464c52010009000000d4751b05cb136975ac0200000000000000";
    let form: Vec<u8> = (0..empty.len() / 2)
        .map(|n| u8::from_str_radix(&empty[2 * n..2 * n + 2], 16).expect("hex"))
        .collect();
    match Statistics::read(&form) {
        Ok(statistics) => assert_eq!(
            statistics,
            Statistics {
                at: 300,
                ..Statistics::default()
            }
        ),
        Err(why) => {
            let now = Statistics::<String> {
                at: 300,
                ..Statistics::default()
            }
            .write()
            .expect("few workers fit");
            let hex: String = now.iter().map(|b| format!("{b:02x}")).collect();
            panic!("version 1 is not readable: {why}; the current serialized form is {hex}");
        }
    }
}

fn known_statistics() -> Statistics<String> {
    let known = with_history(&[entry(1, 0), entry(2, 1)]);
    with_names(known.dispatcher.statistics(130 * SEC))
}

#[test]
fn unreadable_statistics_are_rejected_with_a_reason() {
    let form = known_statistics().write().expect("few workers fit");
    let with = |at: usize, byte: u8| {
        let mut other = form.clone();
        other[at] = byte;
        Statistics::read(&other)
            .expect_err("a changed form is rejected")
            .to_string()
    };
    assert_eq!(
        with(0, b'X'),
        format!(
            "the statistics do not begin with {:?}",
            String::from_utf8_lossy(MAGIC)
        )
    );
    assert_eq!(
        with(4, VERSION as u8 + 1),
        format!(
            "the statistics have version {}: 1 to {VERSION} are supported",
            VERSION + 1
        )
    );
    assert_eq!(
        with(form.len() - 1, !form[form.len() - 1]),
        "the checksum of the statistics does not match, or they cannot be decoded"
    );
    assert!(matches!(
        Statistics::read(&form[..form.len() - 1]),
        Err(ReadError::Length(_))
    ));
    assert!(matches!(
        Statistics::read(&vec![0; LENGTH_MAX_BYTES + 1]),
        Err(ReadError::Length(_))
    ));
}

/// Statistics with an impossible number must be rejected although they are complete and have the right checksum.
#[test]
fn statistics_with_an_impossible_number_are_rejected_with_a_reason() {
    let statistics = known_statistics();
    let rejection = |change: &dyn Fn(&mut Statistics<String>)| {
        let mut other = statistics.clone();
        change(&mut other);
        let form = other.write().expect("few workers fit");
        Statistics::read(&form)
            .expect_err("an impossible number is rejected")
            .to_string()
    };
    assert_eq!(
        rejection(&|l| l.kinds[0].1.slots = -2.0),
        "number of slots of a kind is -2: 0 to 1000000 is allowed"
    );
    assert_eq!(
        rejection(&|l| l.workers[0].1.failure_rate = f64::NAN),
        "failure rate of a worker is NaN: 0 to 1 is allowed"
    );
    assert!(
        rejection(&|l| l.kinds[0].1.weight = 1.5).starts_with("draw probability of a kind is 1.5")
    );
    assert!(
        rejection(&|l| l
            .fleet
            .as_mut()
            .expect("the statistics of the fleet are present")
            .wait_window = 0.0)
        .starts_with("wait window is 0")
    );
    assert!(
        rejection(&|l| l
            .fleet
            .as_mut()
            .expect("the statistics of the fleet are present")
            .trusted_idle = 2.0 * UNLIMITED)
        .contains("trusted idle time")
    );
}

proptest! {
    /// Changed or missing bytes must be detected and must not cause a panic.
    #[test]
    fn damaged_statistics_are_rejected(at in 0usize..400, bit in 0u8..8, length in 0usize..400) {
        let statistics = with_names(with_history(&[entry(1, 0), entry(2, 1)]).dispatcher.statistics(130 * SEC));
        let form = statistics.write().expect("few workers fit");
        let mut flipped = form.clone();
        let at = at % form.len();
        flipped[at] ^= 1 << bit;
        prop_assert!(Statistics::read(&flipped).is_err());
        prop_assert!(Statistics::read(&form[..length % form.len()]).is_err());
    }

    /// A valid checksum does not make the numbers plausible. Whatever valid numbers are merged, the dispatcher must
    /// still send requests.
    #[test]
    fn dispatcher_keeps_working_with_any_statistics_that_pass_the_check(
        slots in prop_oneof![Just(0.0), Just(1e6), 0.0..20.0], failure in 0.0..=1.0, start_delay in 0.0..=3.6e9,
        ejected_until in any::<u64>(), at in any::<u64>(), window in prop_oneof![Just(1.0), Just(UNLIMITED), 1.0..1e3],
    ) {
        let workers = [entry(1, 0), entry(2, 1)];
        let old = with_history(&workers);
        let mut statistics = old.dispatcher.statistics(old.now);
        statistics.at = at;
        statistics.kinds[0].1.slots = slots;
        let w = &mut statistics.workers[0].1;
        (w.failure_rate, w.start_delay, w.ejected_until) = (failure, start_delay, ejected_until);
        statistics.fleet.as_mut().expect("the statistics of the fleet are present").wait_window = window;
        prop_assert_eq!(statistics.check(), Ok(()));
        let mut new = old.successor(settings(), &workers);
        merge(&mut new, statistics);
        for _ in 0..5 {
            let (id, to) = new.submit(0);
            if to.is_some() {
                new.start(id, 0);
                new.advance(50 * MS);
                new.end(id, 0, Status::Ok);
            }
            new.advance(2 * SEC);
        }
        prop_assert!(new.submit(0).1.is_some(), "a worker gets requests again");
    }
}
