//! One answer each, in time.

use super::*;
use crate::api::Request;
use async_channel::{Receiver, bounded};
use std::cell::RefCell;

/// A front that takes every claim, and notes what it is asked.
#[derive(Default)]
struct Noted(RefCell<Vec<String>>);

impl Floor for Noted {
    fn claim(&self, claim: Claim) -> bool {
        self.0.borrow_mut().push(format!("claim {} at {}", claim.id.attempt, claim.machine));
        claim.machine != 9
    }
    fn give_up(&self, claim: ClaimId, _: WorkerId) -> GivenUp {
        self.0.borrow_mut().push(format!("give up {}", claim.attempt));
        if claim.attempt == 3 { GivenUp::Asked } else { GivenUp::Done }
    }
    fn probe(&self, _: WorkerId) -> bool {
        false
    }
    fn hang_up(&self, _: WorkerId) {}
    fn ask(&self, _: Ask) -> bool {
        false
    }
    fn forget(&self, job: JobId) {
        self.0.borrow_mut().push(format!("forget {job}"));
    }
    fn note(&self, _: &str) {}
}

fn job(book: &mut Book, floor: &Noted) -> Receiver<Answer> {
    let (to, from) = bounded(1);
    let (left, slots, memory) = (1_000_000, 1.0, 0.0);
    let (estimate, subject) = (None, None);
    let request = Request { id: 1, class: 0, tenant: 0, left, estimate, slots, memory, subject };
    book.told(0, Told::Job(request, 1_000_000, Reply::To(to)), floor);
    from
}

fn claim(book: &mut Book, floor: &Noted, worker: WorkerId) {
    book.act(Action::Send { request: 1, worker, timeout: 0, by: Time::MAX }, floor);
}

fn ended(attempt: u32, status: Status) -> Told {
    Told::Ended(ClaimId { job: 1, attempt }, status, None)
}

/// Guards against a job without an answer where the module gives none.
#[test]
fn a_job_that_the_module_forgets_fails_just_after_its_last_moment() {
    let (mut book, floor) = (Book::new(40_000, Rc::default()), Noted::default());
    let answer = job(&mut book, &floor);
    claim(&mut book, &floor, 5);
    book.expire(960_000, &floor);
    let events = format!("{:?}", book.take_events());
    assert!(events.contains("status: Timeout, closed: false"), "{events}");
    assert!(answer.try_recv().is_err(), "the module is asked first");
    book.expire(970_000, &floor);
    assert_eq!(answer.try_recv(), Ok(Answer::Failed));
    assert_eq!(floor.0.take(), ["claim 0 at 5", "give up 0", "forget 1"]);
    assert!(book.jobs() == 0 && book.next_due().is_none());
}

/// Guards against two answers, and against one lost: a claim taken for lost that is done yet serves its job.
#[test]
fn a_job_is_served_once_also_by_a_claim_taken_for_lost() {
    let (mut book, floor) = (Book::new(0, Rc::default()), Noted::default());
    let answer = job(&mut book, &floor);
    claim(&mut book, &floor, 5);
    book.told(10, ended(0, Status::Reset), &floor);
    claim(&mut book, &floor, 6);
    book.told(20, ended(0, Status::Ok), &floor);
    assert_eq!(answer.try_recv(), Ok(Answer::Served));
    let events = format!("{:?}", book.take_events());
    assert!(events.ends_with("Gone(1)]"), "the module learns that it is closed: {events}");
    book.told(30, ended(1, Status::Ok), &floor);
    book.act(Action::Fail { request: 1 }, &floor);
    assert!(answer.try_recv().is_err());
    assert_eq!(floor.0.take().last().map(String::as_str), Some("forget 1"));
}

/// Guards against a claim that stays out for ever in the module's count, and blocks its machine: one made for
/// a job whose submitter has left, or that was served, when the module had not heard of it yet.
#[test]
fn a_claim_for_a_job_that_has_just_closed_ends_at_once() {
    let (mut book, floor) = (Book::new(0, Rc::default()), Noted::default());
    let _left = job(&mut book, &floor);
    book.told(5, Told::Gone(1), &floor);
    assert_eq!(book.take_events().len(), 2);
    claim(&mut book, &floor, 5);
    assert!(format!("{:?}", book.take_events()).contains("attempt: 0, status: Moot, closed: true"));
    book.events_done(Vec::new());

    let answer = job(&mut book, &floor);
    claim(&mut book, &floor, 5);
    book.told(10, ended(0, Status::Ok), &floor);
    assert_eq!(answer.try_recv(), Ok(Answer::Served));
    book.take_events();
    claim(&mut book, &floor, 6);
    assert!(format!("{:?}", book.take_events()).contains("attempt: 1, status: Moot, closed: true"));
    assert_eq!(floor.0.take(), ["forget 1", "claim 0 at 5", "forget 1"], "nothing more goes out");
}

/// Guards against a claim that nobody will end: one that the front did not take has failed at once.
#[test]
fn a_claim_that_is_not_taken_or_comes_too_late_ends_at_once() {
    let (mut book, floor) = (Book::new(0, Rc::default()), Noted::default());
    let answer = job(&mut book, &floor);
    claim(&mut book, &floor, 9);
    assert!(format!("{:?}", book.take_events()).contains("ConnectFailed, closed: false"));
    claim(&mut book, &floor, 5);
    book.act(Action::Refuse { request: 1, retry_after: 7 }, &floor);
    assert_eq!(answer.try_recv(), Ok(Answer::Requeue(7)));
    claim(&mut book, &floor, 6);
    assert!(format!("{:?}", book.take_events()).contains("Moot, closed: true"));
    book.told(40, ended(1, Status::Error), &floor);
    assert_eq!(floor.0.take(), ["claim 0 at 9", "claim 1 at 5", "forget 1"]);
}

/// Guards against a second copy: the module sends a job anew as soon as it hears that a claim is given up, and that is not
/// before its machine has heard of it. What the machine says meanwhile counts.
#[test]
fn a_claim_that_is_being_given_up_is_out_until_its_machine_has_heard() {
    for done in [false, true] {
        let (mut book, floor) = (Book::new(0, Rc::default()), Noted::default());
        let answer = job(&mut book, &floor);
        [9, 9, 9, 5].into_iter().for_each(|worker| claim(&mut book, &floor, worker));
        book.take_events();
        for _ in 0..2 {
            book.act(Action::Cancel { request: 1, attempt: 3 }, &floor);
        }
        assert!(!book.has_events(), "its machine is being told");
        assert_eq!(floor.0.borrow().last().map(String::as_str), Some("give up 3"));
        if done {
            book.told(10, ended(3, Status::Ok), &floor);
            assert_eq!(answer.try_recv(), Ok(Answer::Served));
            book.take_events();
        }
        book.told(20, ended(3, Status::Cancelled), &floor);
        let events = format!("{:?}", book.take_events());
        assert_eq!(events.contains("attempt: 3, status: Cancelled, closed: false"), !done, "{events}");
        assert_eq!(floor.0.take().iter().filter(|asked| asked.starts_with("give up")).count(), 1);
    }
}
