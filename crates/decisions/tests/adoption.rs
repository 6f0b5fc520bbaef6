//! Tests for the transfer of open jobs to the process that takes over.

use indigofold_decisions::api::*;
use indigofold_decisions::transferred_job::TransferredJob;
use indigofold_decisions_testing::*;

fn transfer(
    old: &mut Harness,
    id: RequestId,
    new: &mut Harness,
    adopted_as: RequestId,
) -> TransferredJob<u32> {
    let job = old
        .dispatcher
        .release(old.now, id)
        .expect("the request is open");
    new.handle(Event::Adopted(adopted_as, Box::new(job.clone())));
    job
}

/// Id of the first adopted job in the new process.
const ADOPTED: RequestId = 1_000_000;

#[test]
fn transferred_unsafe_job_that_is_lost_fails() {
    let workers = [entry(1, 0), entry(2, 0), entry(3, 0)];
    let mut old = Harness::new(settings(), &workers);
    let mut new = old.successor(settings(), &workers);
    let (id, _) = old.submit(2);
    transfer(&mut old, id, &mut new, ADOPTED);
    assert!(
        new.sent_to(ADOPTED).is_none(),
        "its attempt is in flight already"
    );
    new.start(ADOPTED, 0);
    new.end(ADOPTED, 0, Status::Reset);
    assert!(new.is_failed(ADOPTED) && new.sent_to(ADOPTED).is_none());
}

#[test]
fn transferred_safe_job_keeps_its_attempts() {
    let workers = [entry(1, 0), entry(2, 0), entry(3, 0)];
    let mut old = Harness::new(settings(), &workers);
    let mut new = old.successor(settings(), &workers);
    // Two of the four allowed attempts were made before the transfer, so two are left.
    let (id, _) = old.submit(0);
    old.end(id, 0, Status::Error);
    let job = transfer(&mut old, id, &mut new, ADOPTED + 1);
    assert_eq!(
        job.attempts.iter().map(|t| t.done).collect::<Vec<_>>(),
        [true, false]
    );
    new.end(ADOPTED + 1, 1, Status::Error);
    let third = new.sent_to(ADOPTED + 1).expect("a third attempt is sent");
    assert!(
        job.attempts.iter().all(|t| t.worker != third),
        "the third attempt goes to another worker"
    );
}

#[test]
fn transferred_keyed_job_keeps_its_cell_and_the_lifetime_of_its_key() {
    let workers = [entry(1, 0), entry(2, 0), entry(3, 0)];
    let mut old = Harness::new(settings(), &workers);
    let mut new = old.successor(settings(), &workers);
    // Workers of a cell drop repeats for three seconds after the first send: a retry is allowed only in that cell and
    // within that time.
    let (id, first) = old.submit(1);
    old.advance(SEC);
    new.advance(SEC);
    transfer(&mut old, id, &mut new, ADOPTED + 2);
    new.advance(1900 * MS);
    new.end(ADOPTED + 2, 0, Status::Reset);
    let retried = new.sent_to(ADOPTED + 2);
    assert!(
        retried.is_none_or(|w| w % 2 == first.expect("the request was sent") % 2),
        "{first:?}, then {retried:?}"
    );
    let (id, _) = old.submit(1);
    old.advance(SEC);
    transfer(&mut old, id, &mut new, ADOPTED + 3);
    new.advance(2100 * MS);
    new.end(ADOPTED + 3, 0, Status::Reset);
    assert!(
        new.is_failed(ADOPTED + 3) && new.sent_to(ADOPTED + 3).is_none(),
        "the lifetime of the key counts from the first send"
    );
}

/// Guards against slots that stay occupied in the old process, or look free in the new one, after a transfer.
#[test]
fn slots_are_transferred_with_their_jobs() {
    let workers = [entry(1, 0), entry(2, 0)];
    let mut old = Harness::new(settings(), &workers);
    let mut new = old.successor(settings(), &workers);
    let ids: Vec<_> = (0..2).map(|_| old.submit(0)).collect();
    for (n, (id, worker)) in ids.iter().enumerate() {
        if n == 0 {
            old.start(*id, 0);
        }
        transfer(&mut old, *id, &mut new, ADOPTED + n as u64);
        assert!(
            new.dispatcher
                .slots_in_flight()
                .contains(&(worker.expect("the request was sent"), 1.0))
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
    new.start(ADOPTED + 1, 0);
    new.advance(300 * MS);
    new.end(ADOPTED, 0, Status::Ok);
    new.handle(Event::RequestClosed(ADOPTED + 1));
    assert!(
        new.actions.contains(&Action::Cancel {
            request: ADOPTED + 1,
            attempt: 0
        }),
        "{:?}",
        new.actions
    );
    new.end(ADOPTED + 1, 0, Status::Cancelled);
    assert!(new.dispatcher.slots_in_flight().is_empty());
    assert_eq!(
        old.dispatcher.release(old.now, 99),
        None,
        "an unknown job cannot be released"
    );
}

#[test]
fn queued_job_is_transferred_and_sent_by_the_new_process() {
    let mut old = Harness::new(settings(), &[]);
    let (id, to) = old.submit(0);
    assert_eq!(to, None);
    let mut new = old.successor(settings(), &[entry(1, 0)]);
    transfer(&mut old, id, &mut new, ADOPTED);
    assert_eq!(new.sent_to(ADOPTED), Some(1));
    assert!(
        old.advance(10 * SEC)
            .iter()
            .all(|a| matches!(a, Action::Timer { .. })),
        "the old process owes no answer"
    );
    // If the new process has no worker either, it answers the job before its deadline.
    let mut without_workers = old.successor(settings(), &[]);
    let (id, _) = old.submit(0);
    transfer(&mut old, id, &mut without_workers, ADOPTED);
    let ends = without_workers.advance(6 * SEC);
    assert!(
        ends.iter().any(|a| matches!(
            a,
            Action::Reject {
                request: ADOPTED,
                ..
            }
        )),
        "{ends:?}"
    );
}

/// A worker that is missing from the new process's membership list keeps its job, but gets no new one.
#[test]
fn transferred_job_continues_at_a_worker_that_is_not_listed() {
    let mut old = Harness::new(settings(), &[entry(9, 3)]);
    let (id, _) = old.submit(0);
    let mut new = old.successor(settings(), &[]);
    transfer(&mut old, id, &mut new, ADOPTED);
    let (queued, to) = new.submit(0);
    assert_eq!(to, None);
    new.start(ADOPTED, 0);
    new.end(ADOPTED, 0, Status::Ok);
    assert!(new.dispatcher.slots_in_flight().is_empty());
    // Once the membership list names the worker, it gets requests like any other.
    new.update_membership(Scope::Full, &[entry(9, 3)]);
    assert_eq!(new.sent_to(queued), Some(9));
}

/// The process that has adopted a job must notice that its next progress report is overdue, and retry it on another
/// worker.
#[test]
fn overdue_progress_is_noticed_after_a_transfer() {
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
    let mut new = old.successor(settings, &workers);
    transfer(&mut old, id, &mut new, ADOPTED);
    let sent = new.advance(1500 * MS);
    let retried = sent.iter().find_map(|a| match a {
        Action::Send {
            request: ADOPTED,
            worker,
            ..
        } => Some(*worker),
        _ => None,
    });
    assert!(
        retried.is_some() && retried != first,
        "a retry goes to the worker that responds: {sent:?}"
    );
}

/// A job keeps the class rules that were in force when it arrived. Another process knows only the current rules, so the
/// job stays where it is.
#[test]
fn job_whose_class_rules_have_changed_is_not_transferred() {
    let mut old = Harness::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (id, _) = old.submit(2);
    let mut changed = settings();
    changed.classes[2].effect = Effect::Safe;
    old.handle(Event::Settings(Box::new(changed)));
    assert_eq!(old.dispatcher.release(old.now, id), None);
    old.end(id, 0, Status::Error);
    assert!(
        old.is_failed(id) && old.sent_to(id).is_none(),
        "the old process still knows the unsafe request and does not retry it"
    );
}
