//! What one dispatcher has learned, taken in by another, and open jobs that go over: by behaviour, without the bench.

use indigofold_decisions::api::*;
use indigofold_decisions::dispatcher::WorkerCounts;
use indigofold_decisions::statistics::{LONGEST, MAGIC, Refused, Statistics, UNLIMITED, VERSION};
use indigofold_decisions::transferred_job::TransferredJob;
use indigofold_decisions_testing::*;
use proptest::prelude::*;

/// The next process: what a dispatcher starts with, at the time of the one before.
fn next(old: &Harness, settings: Settings, workers: &[Entry]) -> Harness {
    Harness::starting_at(settings, workers, old.now)
}

fn counts(listed: u64, avoided: u64) -> WorkerCounts {
    WorkerCounts { listed, avoided }
}

fn take(to: &mut Harness, statistics: Statistics<u32>) {
    to.handle(Event::Statistics(Box::new(statistics)));
}

/// One whose fast kind (even numbers) runs three times as fast, after 300 jobs.
fn experienced(workers: &[Entry]) -> Harness {
    let mut old = Harness::new(settings(), workers);
    for _ in 0..300 {
        old.serve(0, |w| if w % 2 == 0 { 100 * MS } else { 300 * MS })
            .expect("idle workers take every job");
    }
    old
}

fn fast_of_thirty(s: &mut Harness) -> usize {
    let run = |w: WorkerId| if w % 2 == 0 { 100 * MS } else { 300 * MS };
    (0..30)
        .filter(|_| s.serve(0, run).expect("idle workers take every job") % 2 == 0)
        .count()
}

#[test]
fn the_next_process_draws_kinds_as_the_one_before_from_its_first_job_on() {
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let old = experienced(&workers);
    let mut without = next(&old, settings(), &workers);
    let mut with = next(&old, settings(), &workers);
    take(&mut with, old.dispatcher.statistics(old.now));
    let (without, with) = (fast_of_thirty(&mut without), fast_of_thirty(&mut with));
    assert!(
        with >= 27 && without < with,
        "fast of 30: {with} with what was learned, {without} without"
    );
}

/// Guards against a statement that grows or shifts each time it is handed on.
#[test]
fn handed_on_at_once_what_was_learned_stays_as_it_was() {
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let old = experienced(&workers);
    let statistics = old.dispatcher.statistics(old.now);
    let mut new = next(&old, settings(), &workers);
    take(&mut new, statistics.clone());
    take(&mut new, statistics.clone());
    let again = new.dispatcher.statistics(new.now);
    assert_eq!(
        (&statistics.classes, &statistics.workers),
        (&again.classes, &again.workers)
    );
    for ((_, was), (_, is)) in statistics.kinds.iter().zip(&again.kinds) {
        assert_eq!(
            (was.slots, was.slots_reported, &was.speed),
            (is.slots, is.slots_reported, &is.speed)
        );
        assert!(
            (was.weight - is.weight).abs() < 0.02,
            "it goes on following the solutions: {} {}",
            was.weight,
            is.weight
        );
    }
    assert_eq!(statistics.pace, again.pace);
}

/// A failing worker is set aside; the process that takes over leaves it alone, unless it has started anew.
#[test]
fn suspicion_goes_along_with_the_same_start_of_a_worker_only() {
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
        "it is avoided"
    );
    let statistics = old.dispatcher.statistics(old.now);
    let mut same = next(&old, settings(), &[entry(1, 0)]);
    take(&mut same, statistics.clone());
    assert_eq!(
        (same.dispatcher.worker_counts(same.now), same.submit(0).1),
        (counts(1, 1), None)
    );
    let anew = Entry {
        ready_at: 99 * SEC,
        ..entry(1, 0)
    };
    let mut other = next(&old, settings(), &[anew]);
    take(&mut other, statistics);
    assert_eq!(other.dispatcher.worker_counts(other.now), counts(1, 0));
}

/// Guards against a right that is taken from what was written: of the list's states, and of a cold worker's budget.
#[test]
fn nothing_that_permits_is_taken() {
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
    // The list says: one is leaving, one has just started. Nobody else is there.
    let leaving = Entry {
        state: WorkerState::Draining,
        ..entry(1, 0)
    };
    let cold = Entry {
        ready_at: old.now,
        ..entry(2, 0)
    };
    let sent = |statistics: Option<Statistics<u32>>| {
        let mut new = next(&old, settings.clone(), &[leaving.clone(), cold.clone()]);
        statistics.into_iter().for_each(|l| take(&mut new, l));
        let to: Vec<WorkerId> = (0..40).filter_map(|_| new.submit(0).1).collect();
        assert!(!to.contains(&1), "a leaving worker gets nothing");
        to.len()
    };
    let (with, without) = (sent(Some(statistics)), sent(None));
    assert!(
        with <= without.max(1),
        "at once to a cold worker: {with}, without {without}"
    );
}

#[test]
fn slots_that_the_other_process_holds_are_taken_ones_until_the_news_is_old() {
    let mut new = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let held = Statistics {
        at: new.now,
        in_flight: vec![(1, 3.0), (77, 2.0)],
        ..Statistics::default()
    };
    take(&mut new, held);
    let (id, to) = new.submit(0);
    assert_eq!(to, Some(2), "the first looks full");
    new.handle(Event::RequestClosed(id));
    new.end(id, 0, Status::Cancelled);
    let at = new.now;
    take(
        &mut new,
        Statistics {
            at,
            ..Statistics::default()
        },
    );
    let sent: Vec<_> = (0..2).filter_map(|_| new.submit(0).1).collect();
    assert!(sent.contains(&1), "held no longer: {sent:?}");
}

/// Attempts of the process before count as its own in a budget of attempts; told twice, they count once.
#[test]
fn further_attempts_made_before_count_in_the_budget() {
    let budget = ResendBudget {
        free: 1.0,
        ratio: 0.0,
        window: Some(10 * SEC),
    };
    let settings = Settings {
        rules: Rules {
            resends: Some(budget),
            ..settings().rules
        },
        ..settings()
    };
    let workers = [entry(1, 0), entry(2, 0), entry(3, 0)];
    let mut old = Harness::new(settings.clone(), &workers);
    let (id, _) = old.submit(0);
    old.end(id, 0, Status::Error);
    assert!(old.sent_to(id).is_some(), "one further attempt is free");
    let mut new = next(&old, settings, &workers);
    let statistics = old.dispatcher.statistics(old.now);
    assert_eq!(statistics.retried_at.len(), 1);
    take(&mut new, statistics.clone());
    take(&mut new, statistics);
    assert_eq!(new.dispatcher.statistics(new.now).retried_at.len(), 1);
    let (id, _) = new.submit(0);
    new.end(id, 0, Status::Error);
    assert!(
        new.is_refused(id) && new.sent_to(id).is_none(),
        "it was used up: {:?}",
        new.actions
    );
}

// ---- Age ----------------------------------------------------------------------------------------------------

/// What is learned in minutes outlives a pause of one; queues and arrivals do not.
#[test]
fn what_was_learned_counts_by_its_age() {
    let workers: Vec<_> = (0..8).map(|i| entry(i, i % 2)).collect();
    let old = experienced(&workers);
    let statistics = old.dispatcher.statistics(old.now);
    let after = |pause: Time| {
        let mut new = Harness::starting_at(settings(), &workers, old.now + pause);
        take(&mut new, statistics.clone());
        new.dispatcher.statistics(new.now)
    };
    let (now, minute, day) = (after(0), after(60 * SEC), after(86_400 * SEC));
    let weight = |l: &Statistics<u32>| l.kinds[0].1.speed.weight();
    assert!(weight(&minute) > 0.85 * weight(&now) && weight(&day) < 0.01 * weight(&now));
    assert!((minute.kinds[0].1.speed.speed - now.kinds[0].1.speed.speed).abs() < 1e-9);
    let arrivals = |l: &Statistics<u32>| l.pace.as_ref().map_or(0.0, |p| p.arrivals.2);
    assert!(arrivals(&now) > 1.0 && arrivals(&minute) < 1e-4 * arrivals(&now));
    // From a clock that runs ahead: as if it were of now, and no suspicion for longer than there ever is.
    let mut ahead = statistics.clone();
    ahead.at += 3600 * SEC;
    ahead.workers[0].1.ejected_until = Time::MAX;
    ahead.workers[0].1.load_updated_at = Some(Time::MAX);
    let mut new = Harness::starting_at(settings(), &workers, old.now);
    take(&mut new, ahead);
    let known = new.dispatcher.statistics(new.now);
    assert!(
        known.workers[0].1.ejected_until <= new.now + 6 * SEC
            && known.workers[0].1.load_updated_at.is_none()
    );
}

// ---- The written form ---------------------------------------------------------------------------------------

fn named(statistics: Statistics<u32>) -> Statistics<String> {
    let name = |n: &u32| Some(format!("n{n}"));
    statistics.renamed(name, name, name, |n| Some(format!("s-{n:08x}")))
}

#[test]
fn the_written_form_reads_as_it_was() {
    let workers: Vec<_> = (0..200).map(|i| entry(i, i % 2)).collect();
    let statistics = named(experienced(&workers).dispatcher.statistics(130 * SEC));
    let form = statistics.write().expect("200 workers fit");
    assert_eq!(Statistics::read(&form), Ok(statistics.clone()));
    assert!(form.len() < 20_000, "{} bytes for 200 workers", form.len());
    // Too many workers for one word.
    let mut large = statistics;
    large.workers = (0..4000)
        .map(|n| (format!("s-{n:08x}"), large.workers[0].1.clone()))
        .collect();
    assert_eq!(large.write(), None);
}

/// Version 1 as it was first written: it must be read for good.
#[test]
fn version_one_is_read() {
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
            .expect("short");
            let hex: String = now.iter().map(|b| format!("{b:02x}")).collect();
            panic!("{why}; it is written as {hex} now");
        }
    }
}

#[test]
fn what_cannot_be_read_is_refused_with_its_reason() {
    let statistics = named(
        experienced(&[entry(1, 0), entry(2, 1)])
            .dispatcher
            .statistics(130 * SEC),
    );
    let form = statistics.write().expect("short");
    let with = |at: usize, byte: u8| {
        let mut other = form.clone();
        other[at] = byte;
        Statistics::read(&other).expect_err("changed").to_string()
    };
    assert_eq!(
        with(0, b'X'),
        format!(
            "it does not begin with {:?}",
            String::from_utf8_lossy(MAGIC)
        )
    );
    assert_eq!(
        with(4, VERSION as u8 + 1),
        format!("its version is {}, 1 to {VERSION} can be read", VERSION + 1)
    );
    assert_eq!(
        with(form.len() - 1, !form[form.len() - 1]),
        "its checksum does not fit"
    );
    assert!(matches!(
        Statistics::read(&form[..form.len() - 1]),
        Err(Refused::Length(_))
    ));
    assert!(matches!(
        Statistics::read(&vec![0; LONGEST + 1]),
        Err(Refused::Length(_))
    ));
    // Whole, with the right checksum, and still not possible.
    let refused = |change: &dyn Fn(&mut Statistics<String>)| {
        let mut other = statistics.clone();
        change(&mut other);
        let form = other.write().expect("short");
        Statistics::read(&form)
            .expect_err("no such figure")
            .to_string()
    };
    assert_eq!(
        refused(&|l| l.kinds[0].1.slots = -2.0),
        "slots of a kind is -2, 0 to 1000000 is allowed"
    );
    assert_eq!(
        refused(&|l| l.workers[0].1.failure_rate = f64::NAN),
        "share of failures is NaN, 0 to 1 is allowed"
    );
    assert!(refused(&|l| l.kinds[0].1.weight = 1.5).starts_with("part of the draws is 1.5"));
    assert!(
        refused(&|l| l.pace.as_mut().expect("learned").wait_window = 0.0)
            .starts_with("window is 0")
    );
    assert!(
        refused(&|l| l.pace.as_mut().expect("learned").trusted_idle = 2.0 * UNLIMITED)
            .contains("trusted")
    );
}

proptest! {
    /// Guards against a form that ends the program, or is taken although a byte of it has changed.
    #[test]
    fn no_damaged_form_is_taken(at in 0usize..400, bit in 0u8..8, cut in 0usize..400) {
        let statistics = named(experienced(&[entry(1, 0), entry(2, 1)]).dispatcher.statistics(130 * SEC));
        let form = statistics.write().expect("short");
        let mut flipped = form.clone();
        let at = at % form.len();
        flipped[at] ^= 1 << bit;
        prop_assert!(Statistics::read(&flipped).is_err());
        prop_assert!(Statistics::read(&form[..cut % form.len()]).is_err());
    }

    /// Guards against figures that a checksum makes look right: whatever they are, the dispatcher goes on.
    #[test]
    fn any_figures_that_pass_the_check_can_be_lived_with(
        slots in prop_oneof![Just(0.0), Just(1e6), 0.0..20.0], failure in 0.0..=1.0, quick in 0.0..=3.6e9,
        aside in any::<u64>(), at in any::<u64>(), window in prop_oneof![Just(1.0), Just(UNLIMITED), 1.0..1e3],
    ) {
        let workers = [entry(1, 0), entry(2, 1)];
        let old = experienced(&workers);
        let mut statistics = old.dispatcher.statistics(old.now);
        statistics.at = at;
        statistics.kinds[0].1.slots = slots;
        let w = &mut statistics.workers[0].1;
        (w.failure_rate, w.start_delay, w.ejected_until) = (failure, quick, aside);
        statistics.pace.as_mut().expect("learned").wait_window = window;
        prop_assert_eq!(statistics.check(), Ok(()));
        let mut new = next(&old, settings(), &workers);
        take(&mut new, statistics);
        for _ in 0..5 {
            let (id, to) = new.submit(0);
            if to.is_some() {
                new.start(id, 0);
                new.advance(50 * MS);
                new.end(id, 0, Status::Ok);
            }
            new.advance(2 * SEC);
        }
        prop_assert!(new.submit(0).1.is_some(), "a worker gets jobs again");
    }
}

// ---- Jobs that go over --------------------------------------------------------------------------------------

fn go_over(
    old: &mut Harness,
    id: RequestId,
    new: &mut Harness,
    as_id: RequestId,
) -> TransferredJob<u32> {
    let job = old.dispatcher.release(old.now, id).expect("it is open");
    new.handle(Event::Adopted(as_id, Box::new(job.clone())));
    job
}

const AS: RequestId = 1_000_000;

#[test]
fn a_job_that_goes_over_keeps_its_attempts_and_their_effect() {
    let workers = [entry(1, 0), entry(2, 0), entry(3, 0)];
    // It must never run twice: lost after it went over, it fails.
    let mut old = Harness::new(settings(), &workers);
    let mut new = next(&old, settings(), &workers);
    let (id, _) = old.submit(2);
    go_over(&mut old, id, &mut new, AS);
    assert!(new.sent_to(AS).is_none(), "it is out already");
    new.start(AS, 0);
    new.end(AS, 0, Status::Reset);
    assert!(new.is_failed(AS) && new.sent_to(AS).is_none());
    // Safe to repeat: of four attempts two were made before, so two are left.
    let (id, _) = old.submit(0);
    old.end(id, 0, Status::Error);
    let job = go_over(&mut old, id, &mut new, AS + 1);
    assert_eq!(
        job.attempts.iter().map(|t| t.done).collect::<Vec<_>>(),
        [true, false]
    );
    new.end(AS + 1, 1, Status::Error);
    let third = new.sent_to(AS + 1).expect("a third attempt");
    assert!(
        job.attempts.iter().all(|t| t.worker != third),
        "not where it has been"
    );
    // Keyed, dropped inside a cell for three seconds: another attempt only there, and not after that time.
    let (id, first) = old.submit(1);
    old.advance(SEC);
    new.advance(SEC);
    go_over(&mut old, id, &mut new, AS + 2);
    new.advance(1900 * MS);
    new.end(AS + 2, 0, Status::Reset);
    let again = new.sent_to(AS + 2);
    assert!(
        again.is_none_or(|w| w % 2 == first.expect("sent") % 2),
        "{first:?}, then {again:?}"
    );
    let (id, _) = old.submit(1);
    old.advance(SEC);
    go_over(&mut old, id, &mut new, AS + 3);
    new.advance(2100 * MS);
    new.end(AS + 3, 0, Status::Reset);
    assert!(
        new.is_failed(AS + 3) && new.sent_to(AS + 3).is_none(),
        "its window ran from the first send"
    );
}

/// Guards against slots that stay taken, or look free, in either process.
#[test]
fn slots_go_over_with_their_jobs() {
    let workers = [entry(1, 0), entry(2, 0)];
    let mut old = Harness::new(settings(), &workers);
    let mut new = next(&old, settings(), &workers);
    let ids: Vec<_> = (0..2).map(|_| old.submit(0)).collect();
    for (n, (id, worker)) in ids.iter().enumerate() {
        if n == 0 {
            old.start(*id, 0);
        }
        go_over(&mut old, *id, &mut new, AS + n as u64);
        assert!(
            new.dispatcher
                .slots_in_flight()
                .contains(&(worker.expect("sent"), 1.0))
        );
    }
    assert_eq!(
        (
            old.dispatcher.slots_in_flight().len(),
            new.dispatcher.slots_in_flight().len()
        ),
        (0, 2)
    );
    old.advance(SEC);
    new.start(AS + 1, 0);
    new.advance(300 * MS);
    new.end(AS, 0, Status::Ok);
    new.handle(Event::RequestClosed(AS + 1));
    assert!(
        new.actions.contains(&Action::Cancel {
            request: AS + 1,
            attempt: 0
        }),
        "{:?}",
        new.actions
    );
    new.end(AS + 1, 0, Status::Cancelled);
    assert!(new.dispatcher.slots_in_flight().is_empty());
    assert_eq!(old.dispatcher.release(old.now, 99), None, "no such job");
}

#[test]
fn a_held_job_goes_over_and_is_sent_there() {
    let mut old = Harness::new(settings(), &[]);
    let (id, to) = old.submit(0);
    assert_eq!(to, None);
    let mut new = next(&old, settings(), &[entry(1, 0)]);
    go_over(&mut old, id, &mut new, AS);
    assert_eq!(new.sent_to(AS), Some(1));
    assert!(
        old.advance(10 * SEC)
            .iter()
            .all(|a| matches!(a, Action::Timer { .. })),
        "nothing is owed there"
    );
    // Where nobody can take it there either, it is answered in time.
    let mut nobody = next(&old, settings(), &[]);
    let (id, _) = old.submit(0);
    go_over(&mut old, id, &mut nobody, AS);
    let ends = nobody.advance(6 * SEC);
    assert!(
        ends.iter()
            .any(|a| matches!(a, Action::Refuse { request: AS, .. })),
        "{ends:?}"
    );
}

/// A worker that the new process has not been told of keeps its job; nothing new goes there.
#[test]
fn a_job_at_a_worker_that_is_not_listed_goes_on() {
    let mut old = Harness::new(settings(), &[entry(9, 3)]);
    let (id, _) = old.submit(0);
    let mut new = next(&old, settings(), &[]);
    go_over(&mut old, id, &mut new, AS);
    let (held, to) = new.submit(0);
    assert_eq!(to, None);
    new.start(AS, 0);
    new.end(AS, 0, Status::Ok);
    assert!(new.dispatcher.slots_in_flight().is_empty());
    // Named by the list later, it is one more worker.
    new.update_membership(Scope::Full, &[entry(9, 3)]);
    assert_eq!(new.sent_to(held), Some(9));
}

/// A job whose next sign is overdue is found silent in the process that it went to.
#[test]
fn silence_is_noticed_across_a_replacement() {
    let settings = Settings {
        progress: SEC,
        ..settings()
    };
    let workers = [entry(1, 0), entry(2, 0)];
    let mut old = Harness::new(settings.clone(), &workers);
    let (id, first) = old.submit(0);
    old.advance(MS);
    old.start(id, 0);
    old.advance(800 * MS);
    let mut new = next(&old, settings, &workers);
    go_over(&mut old, id, &mut new, AS);
    let sent = new.advance(1500 * MS);
    let again = sent.iter().find_map(|a| match a {
        Action::Send {
            request: AS,
            worker,
            ..
        } => Some(*worker),
        _ => None,
    });
    assert!(
        again.is_some() && again != first,
        "beside the silent one: {sent:?}"
    );
}

/// A job keeps the rules that it came with; another process only knows those of now.
#[test]
fn a_job_whose_rules_have_changed_since_stays() {
    let mut old = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (id, _) = old.submit(2);
    let mut changed = settings();
    changed.classes[2].effect = Effect::Safe;
    old.handle(Event::Settings(Box::new(changed)));
    assert_eq!(old.dispatcher.release(old.now, id), None);
    old.end(id, 0, Status::Error);
    assert!(
        old.is_failed(id) && old.sent_to(id).is_none(),
        "it is still known, and never repeated"
    );
}
