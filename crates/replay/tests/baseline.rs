//! Baseline schedulers: to which workers they send attempts, and when they answer jobs.

use indigofold::api::{Effect, Entry, Request, Scope, Settings, Status, WorkerId, WorkerState};
use indigofold_core::{
    Answer, Attempt, AttemptId, CoreInput, GivenUp, JobId, MembershipRequest, Reply, Transport,
};
use indigofold_replay::baseline::{BaselineScheduler, Policy};
use std::cell::RefCell;

#[derive(Default)]
struct RecordedCalls(RefCell<Vec<String>>);

impl Transport for RecordedCalls {
    fn send(&self, attempt: Attempt) -> bool {
        self.0.borrow_mut().push(format!(
            "{}.{} at {}",
            attempt.id.job, attempt.id.number, attempt.machine
        ));
        true
    }
    fn give_up(&self, attempt: AttemptId, _: WorkerId) -> GivenUp {
        self.0
            .borrow_mut()
            .push(format!("give up {}.{}", attempt.job, attempt.number));
        GivenUp::Done
    }
    fn probe(&self, _: WorkerId) -> bool {
        false
    }
    fn hang_up(&self, _: WorkerId) {}
    fn request_membership(&self, _: MembershipRequest) -> bool {
        false
    }
    fn answer(&self, job: JobId, answer: Answer) {
        self.0.borrow_mut().push(format!("{job}: {answer:?}"));
    }
    fn forget(&self, _: JobId) {}
    fn log_event(&self, _: &str) {}
}

fn scheduler_of(
    policy: Policy,
    effect: Effect,
    workers: u32,
) -> (BaselineScheduler, RecordedCalls) {
    let mut settings = Settings {
        dispatchers: 1,
        ..Settings::default()
    };
    settings.classes = vec![indigofold::api::Class {
        effect,
        ..indigofold::api::Class::UNKNOWN
    }];
    (settings.limits.attempts, settings.limits.cancel) = (3, true);
    let (mut p, transport) = (
        BaselineScheduler::new(policy, settings, 1, 0),
        RecordedCalls::default(),
    );
    let active = |worker| Entry {
        worker,
        state: WorkerState::Active,
        ..Entry::default()
    };
    p.handle(
        0,
        CoreInput::Membership(Scope::Full, (1..=workers).map(active).collect()),
        &transport,
    );
    (p, transport)
}

fn submit_job(p: &mut BaselineScheduler, transport: &RecordedCalls, id: JobId, subject: u64) {
    let (left, slots, memory, estimate) = (1_000, 1.0, 0.0, None);
    let subject = Some(subject);
    let request = Request {
        id,
        class: 0,
        tenant: 0,
        left,
        estimate,
        slots,
        memory,
        subject,
    };
    p.handle(
        0,
        CoreInput::Job(request, 1_000, Reply::Transport),
        transport,
    );
}

fn end(
    p: &mut BaselineScheduler,
    transport: &RecordedCalls,
    job: JobId,
    attempt: u32,
    status: Status,
) {
    p.handle(
        10,
        CoreInput::Ended(
            AttemptId {
                job,
                number: attempt,
            },
            status,
            None,
        ),
        transport,
    );
}

#[test]
fn an_attempt_is_retried_on_another_worker_only_if_the_class_allows_it() {
    let (mut p, transport) = scheduler_of(Policy::RoundRobin, Effect::Unsafe, 3);
    submit_job(&mut p, &transport, 1, 0);
    end(&mut p, &transport, 1, 0, Status::Full);
    end(&mut p, &transport, 1, 1, Status::Reset);
    assert_eq!(transport.0.take(), ["1.0 at 2", "1.1 at 1", "1: Failed"]);
    let (mut p, transport) = scheduler_of(Policy::RoundRobin, Effect::Safe, 3);
    submit_job(&mut p, &transport, 1, 0);
    (0..3).for_each(|n| end(&mut p, &transport, 1, n, Status::Reset));
    assert_eq!(
        transport.0.take().last().map(String::as_str),
        Some("1: Rejected(0)"),
        "the job is rejected after the limit of three attempts"
    );
    submit_job(&mut p, &transport, 2, 0);
    transport.0.take();
    p.step(1_000, &transport);
    assert_eq!(transport.0.take(), ["2: Failed", "give up 2.0"]);
    assert!(p.due().is_none());
}

#[test]
fn each_policy_chooses_by_its_own_criterion() {
    let at = |policy: Policy, subjects: [u64; 6]| {
        let (mut p, transport) = scheduler_of(policy, Effect::Safe, 3);
        subjects
            .iter()
            .enumerate()
            .for_each(|(n, s)| submit_job(&mut p, &transport, n as u64, *s));
        let attempts = transport.0.take();
        attempts
            .iter()
            .map(|c| {
                c.rsplit(' ')
                    .next()
                    .expect("a recorded call that ends with a worker")
                    .to_string()
            })
            .collect::<Vec<_>>()
    };
    let count = |workers: &[String], worker: &str| workers.iter().filter(|w| *w == worker).count();
    let least = at(Policy::LeastOwn, [0; 6]);
    assert!(
        ["1", "2", "3"].iter().all(|w| count(&least, w) == 2),
        "{least:?}"
    );
    let keyed = at(Policy::ByKey, [5; 6]);
    assert!(
        keyed[0] == keyed[1] || count(&keyed, &keyed[0]) >= 2,
        "{keyed:?}"
    );
    assert!(
        ["1", "2", "3"].iter().all(|w| count(&keyed, w) <= 4),
        "the load bound spreads a hot subject over other workers: {keyed:?}"
    );
    let (mut p, transport) = scheduler_of(Policy::AllKnowing, Effect::Safe, 3);
    p.best = Some(3);
    submit_job(&mut p, &transport, 1, 0);
    assert_eq!(transport.0.take(), ["1.0 at 3"]);
}
