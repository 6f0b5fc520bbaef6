//! Tests of the job table: each job gets exactly one answer, in time.

use async_channel::{Receiver, bounded};
use indigofold_core::job_table::JobTable;
use indigofold_core::{
    Answer, Attempt, AttemptId, CoreInput, GivenUp, JobId, MembershipRequest, Reply, Transport,
};
use indigofold_decisions::api::Request;
use indigofold_decisions::api::{Action, Status, Time, WorkerId};
use std::cell::RefCell;
use std::rc::Rc;

/// A transport that accepts attempts and records the calls it receives.
#[derive(Default)]
struct RecordingTransport(RefCell<Vec<String>>);

impl Transport for RecordingTransport {
    fn send(&self, attempt: Attempt) -> bool {
        self.0.borrow_mut().push(format!(
            "attempt {} at {}",
            attempt.id.number, attempt.machine
        ));
        attempt.machine != 9
    }
    fn give_up(&self, attempt: AttemptId, _: WorkerId) -> GivenUp {
        self.0
            .borrow_mut()
            .push(format!("give up {}", attempt.number));
        if attempt.number == 3 {
            GivenUp::Pending
        } else {
            GivenUp::Done
        }
    }
    fn probe(&self, _: WorkerId) -> bool {
        false
    }
    fn hang_up(&self, _: WorkerId) {}
    fn request_membership(&self, _: MembershipRequest) -> bool {
        false
    }
    fn forget(&self, job: JobId) {
        self.0.borrow_mut().push(format!("forget {job}"));
    }
    fn log_event(&self, _: &str) {}
}

fn job(table: &mut JobTable, transport: &RecordingTransport) -> Receiver<Answer> {
    let (to, from) = bounded(1);
    let (left, slots, memory) = (1_000_000, 1.0, 0.0);
    let (estimate, subject) = (None, None);
    let request = Request {
        id: 1,
        class: 0,
        tenant: 0,
        left,
        estimate,
        slots,
        memory,
        subject,
    };
    table.handle_input(
        0,
        CoreInput::Job(request, 1_000_000, Reply::Channel(to)),
        transport,
    );
    from
}

fn attempt(table: &mut JobTable, transport: &RecordingTransport, worker: WorkerId) {
    table.act(
        Action::Send {
            request: 1,
            worker,
            timeout: 0,
            by: Time::MAX,
        },
        transport,
    );
}

fn ended(attempt: u32, status: Status) -> CoreInput {
    CoreInput::Ended(
        AttemptId {
            job: 1,
            number: attempt,
        },
        status,
        None,
    )
}

/// Guards against a job that is never answered because the module does not answer it.
#[test]
fn a_job_the_module_leaves_unanswered_fails_just_after_its_deadline() {
    let (mut table, transport) = (
        JobTable::new(40_000, Rc::default()),
        RecordingTransport::default(),
    );
    let answer = job(&mut table, &transport);
    attempt(&mut table, &transport, 5);
    table.expire(960_000, &transport);
    let events = format!("{:?}", table.take_events());
    assert!(
        events.contains("status: Timeout, closed: false"),
        "{events}"
    );
    assert!(
        answer.try_recv().is_err(),
        "the module may answer first, no answer is expected yet"
    );
    table.expire(970_000, &transport);
    assert_eq!(answer.try_recv(), Ok(Answer::Failed));
    assert_eq!(
        transport.0.take(),
        ["attempt 0 at 5", "give up 0", "forget 1"]
    );
    assert!(table.jobs() == 0 && table.next_due().is_none());
}

/// Guards against two answers to a job, and against a lost one: an attempt that was counted as lost but then succeeds
/// still answers its job.
#[test]
fn a_job_is_served_once_even_by_an_attempt_counted_as_lost() {
    let (mut table, transport) = (
        JobTable::new(0, Rc::default()),
        RecordingTransport::default(),
    );
    let answer = job(&mut table, &transport);
    attempt(&mut table, &transport, 5);
    table.handle_input(10, ended(0, Status::Reset), &transport);
    attempt(&mut table, &transport, 6);
    table.handle_input(20, ended(0, Status::Ok), &transport);
    assert_eq!(answer.try_recv(), Ok(Answer::Served));
    let events = format!("{:?}", table.take_events());
    assert!(
        events.ends_with("RequestClosed(1)]"),
        "the module learns that it is closed: {events}"
    );
    table.handle_input(30, ended(1, Status::Ok), &transport);
    table.act(Action::Fail { request: 1 }, &transport);
    assert!(answer.try_recv().is_err());
    assert_eq!(
        transport.0.take().last().map(String::as_str),
        Some("forget 1")
    );
}

/// Guards against an attempt that the module counts as in flight forever, which blocks its machine. This happens when the
/// module sends an attempt of a job before it has handled the event that the client has left or the job was served.
#[test]
fn an_attempt_of_a_job_just_closed_ends_at_once() {
    let (mut table, transport) = (
        JobTable::new(0, Rc::default()),
        RecordingTransport::default(),
    );
    let _left = job(&mut table, &transport);
    table.handle_input(5, CoreInput::ClientLeft(1), &transport);
    assert_eq!(table.take_events().len(), 2);
    attempt(&mut table, &transport, 5);
    assert!(
        format!("{:?}", table.take_events()).contains("attempt: 0, status: Moot, closed: true")
    );
    table.events_done(Vec::new());

    let answer = job(&mut table, &transport);
    attempt(&mut table, &transport, 5);
    table.handle_input(10, ended(0, Status::Ok), &transport);
    assert_eq!(answer.try_recv(), Ok(Answer::Served));
    table.take_events();
    attempt(&mut table, &transport, 6);
    assert!(
        format!("{:?}", table.take_events()).contains("attempt: 1, status: Moot, closed: true")
    );
    assert_eq!(
        transport.0.take(),
        ["forget 1", "attempt 0 at 5", "forget 1"],
        "nothing more goes out"
    );
}

/// Guards against an attempt that never ends: one that the transport does not accept must fail at once.
#[test]
fn an_attempt_rejected_by_the_transport_or_too_late_ends_at_once() {
    let (mut table, transport) = (
        JobTable::new(0, Rc::default()),
        RecordingTransport::default(),
    );
    let answer = job(&mut table, &transport);
    attempt(&mut table, &transport, 9);
    assert!(format!("{:?}", table.take_events()).contains("ConnectFailed, closed: false"));
    attempt(&mut table, &transport, 5);
    table.act(
        Action::Reject {
            request: 1,
            retry_after: 7,
        },
        &transport,
    );
    assert_eq!(answer.try_recv(), Ok(Answer::Rejected(7)));
    attempt(&mut table, &transport, 6);
    assert!(format!("{:?}", table.take_events()).contains("Moot, closed: true"));
    table.handle_input(40, ended(1, Status::Error), &transport);
    assert_eq!(
        transport.0.take(),
        ["attempt 0 at 9", "attempt 1 at 5", "forget 1"]
    );
}

/// Guards against a duplicate run: the module may send a new attempt as soon as the old one is reported as cancelled, so
/// that report must wait until the machine has acknowledged the cancellation. A result that arrives meanwhile counts.
#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn an_attempt_being_cancelled_stays_in_flight_until_its_machine_acknowledges() {
    for done in [false, true] {
        let (mut table, transport) = (
            JobTable::new(0, Rc::default()),
            RecordingTransport::default(),
        );
        let answer = job(&mut table, &transport);
        [9, 9, 9, 5]
            .into_iter()
            .for_each(|worker| attempt(&mut table, &transport, worker));
        table.take_events();
        for _ in 0..2 {
            table.act(
                Action::Cancel {
                    request: 1,
                    attempt: 3,
                },
                &transport,
            );
        }
        assert!(
            !table.has_events(),
            "the cancellation is not acknowledged yet, so no outcome is expected"
        );
        assert_eq!(
            transport.0.borrow().last().map(String::as_str),
            Some("give up 3")
        );
        if done {
            table.handle_input(10, ended(3, Status::Ok), &transport);
            assert_eq!(answer.try_recv(), Ok(Answer::Served));
            table.take_events();
        }
        table.handle_input(20, ended(3, Status::Cancelled), &transport);
        let events = format!("{:?}", table.take_events());
        assert_eq!(
            events.contains("attempt: 3, status: Cancelled, closed: false"),
            !done,
            "{events}"
        );
        assert_eq!(
            transport
                .0
                .take()
                .iter()
                .filter(|request| request.starts_with("give up"))
                .count(),
            1
        );
    }
}
