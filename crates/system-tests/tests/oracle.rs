//! Tests of the simulated environment and of the checks, without the programs: violations are found, and a correct
//! record has none.

mod oracle_support;

use indigofold_system_tests::checks::Rule;
use indigofold_system_tests::configuration::VISION;
use indigofold_system_tests::environment::{JobState, WorkerSetup};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::wire::{EndReason, HeartbeatResponse};
use oracle_support::{Fixture, JOB, long_step, queue, setup, start_order};
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn a_correct_run_breaks_no_rule() {
    let fixture = Fixture::new(&Job::new(vec![
        Step::new(2, 10),
        Step::new(1, 10).after(&[0]),
    ]));
    fixture.start(0, "0.0.0", 1);
    fixture.start(1, "0.0.1", 1);
    fixture.wait_ends(EndReason::Done, 2);
    fixture.acknowledge_ends(0, 1);
    fixture.acknowledge_ends(1, 1);
    fixture.start(0, "0.1.0", 1);
    fixture.wait_ends(EndReason::Done, 3);
    fixture
        .environment
        .job_shown(JOB, fixture.environment.now(), Some(JobState::Completed));
    assert_eq!(fixture.broken_rules(), []);
}

#[rstest]
fn exceeded_capacity_is_found() {
    let fixture = Fixture::new(&Job::new(vec![long_step(3)]));
    for task in ["0.0.0", "0.0.1", "0.0.2"] {
        fixture.start(0, task, 1);
    }
    assert_eq!(fixture.broken_rules(), [Rule::Limit]);
}

#[rstest]
fn a_run_being_stopped_still_uses_capacity() {
    let fixture = Fixture::new(&Job::new(vec![long_step(3)]));
    fixture.start(0, "0.0.0", 1);
    fixture.start(0, "0.0.1", 1);
    fixture.stop(0, "0.0.1", 1);
    fixture.start(0, "0.0.2", 1);
    assert_eq!(fixture.broken_rules(), [Rule::Limit]);
}

#[rstest]
fn a_task_on_two_workers_is_found() {
    let fixture = Fixture::new(&Job::new(vec![long_step(1)]));
    fixture.start(0, "0.0.0", 1);
    fixture.start(1, "0.0.0", 2);
    assert_eq!(fixture.broken_rules(), [Rule::Twice]);
}

#[rstest]
fn a_crash_ends_the_worker_s_runs() {
    let fixture = Fixture::new(&Job::new(vec![long_step(1)]));
    fixture.start(0, "0.0.0", 1);
    fixture.environment.end_instance(fixture.instances[0]);
    fixture.start(1, "0.0.0", 2);
    assert_eq!(fixture.broken_rules(), []);
}

#[rstest]
fn a_start_after_an_acknowledged_end_is_found() {
    let fixture = Fixture::new(&Job::new(vec![Step::new(1, 10)]));
    fixture.start(0, "0.0.0", 1);
    fixture.wait_ends(EndReason::Done, 1);
    fixture.start(1, "0.0.0", 2);
    assert_eq!(
        fixture.broken_rules(),
        [],
        "the end has not been acknowledged yet"
    );
    fixture.acknowledge_ends(0, 1);
    assert_eq!(fixture.broken_rules(), [Rule::Twice]);
}

#[rstest]
fn a_start_before_dependencies_or_due_time_is_found() {
    let early = Fixture::new(&Job::new(vec![long_step(1), long_step(1).after(&[0])]));
    early.start(0, "0.1.0", 1);
    assert_eq!(early.broken_rules(), [Rule::Order]);
    let times = Job::new(vec![long_step(1)]).repeated(
        2,
        Duration::from_millis(100),
        Duration::from_secs(60),
    );
    let repeated = Fixture::new(&times);
    repeated.start(0, "0.0.0", 1);
    assert_eq!(repeated.broken_rules(), [], "within the bound");
    repeated.start(1, "1.0.0", 1);
    assert_eq!(repeated.broken_rules(), [Rule::Order]);
}

#[rstest]
fn an_attempt_number_that_does_not_increase_is_found() {
    let fixture = Fixture::new(&Job::new(vec![long_step(1)]));
    fixture.start(0, "0.0.0", 2);
    fixture.environment.end_instance(fixture.instances[0]);
    fixture.start(1, "0.0.0", 1);
    assert_eq!(fixture.broken_rules(), [Rule::Attempt]);
}

#[rstest]
fn a_start_beyond_the_retry_budget_is_found() {
    let fixture = Fixture::new(&Job::new(vec![Step::new(1, 10).failures(9)]));
    for run in 1..=4 {
        fixture.start(0, "0.0.0", run);
        fixture.wait_ends(EndReason::Failed, run as usize);
        fixture.acknowledge_ends(0, u64::from(run));
    }
    assert_eq!(fixture.broken_rules(), [Rule::Budget]);
}

#[rstest]
#[case::label(long_step(1).requires("only-1"))]
#[case::spread(long_step(2).anti_affinity(1))]
fn a_misplaced_task_is_found(#[case] step: Step) {
    let count = step.count;
    let fixture = Fixture::new(&Job::new(vec![step]));
    (0..count).for_each(|index| fixture.start(0, &format!("0.0.{index}"), 1));
    assert_eq!(fixture.broken_rules(), [Rule::Route]);
}

#[rstest]
fn a_task_on_a_worker_of_another_service_is_found() {
    let mut fixture = Fixture::new(&Job::new(vec![long_step(1)]));
    fixture.instances[0] = fixture.environment.start_instance(&WorkerSetup {
        service: VISION.to_owned(),
        ..setup(2)
    });
    fixture.start(0, "0.0.0", 1);
    assert_eq!(fixture.broken_rules(), [Rule::Route]);
}

#[rstest]
fn a_gang_begins_together_and_ends_together() {
    let fixture = Fixture::new(&Job::new(vec![Step::new(2, 50).gang()]));
    fixture.start(0, "0.0.0", 1);
    fixture.start(1, "0.0.1", 1);
    fixture.wait_ends(EndReason::Done, 2);
    assert_eq!(fixture.broken_rules(), []);
}

#[rstest]
fn a_gang_ends_with_its_first_stopped_member() {
    let fixture = Fixture::new(&Job::new(vec![long_step(2).gang()]));
    fixture.start(0, "0.0.0", 1);
    fixture.start(1, "0.0.1", 1);
    fixture.stop(0, "0.0.0", 1);
    fixture.wait_ends(EndReason::Broken, 1);
    assert_eq!(fixture.ends(), [EndReason::Stopped, EndReason::Broken]);
}

#[rstest]
fn a_gang_member_that_waits_too_long_is_found() {
    let fixture = Fixture::new(&Job::new(vec![long_step(2).gang()]));
    fixture.start(0, "0.0.0", 1);
    fixture.wait_ends(EndReason::Alone, 1);
    assert_eq!(fixture.broken_rules(), [Rule::Gang]);
}

#[rstest]
fn a_start_that_was_not_submitted_is_found() {
    let fixture = Fixture::new(&Job::new(vec![long_step(1)]));
    fixture.start(0, "0.0.7", 1);
    fixture.send_start_order(0, start_order(JOB, "0.0.0", 1, "another text", ""));
    fixture.send_start_order(1, start_order(JOB, "1.0.0", 1, "text", ""));
    assert_eq!(
        fixture.broken_rules(),
        [Rule::Unasked, Rule::Unasked, Rule::Unasked]
    );
}

#[rstest]
fn a_run_may_resume_only_from_its_own_checkpoint() {
    let fixture = Fixture::new(&Job::new(vec![
        long_step(1).checkpoints(),
        long_step(1).checkpoints(),
    ]));
    fixture.start(0, "0.0.0", 1);
    fixture.sleep(Duration::from_millis(30));
    let heartbeat = fixture.heartbeat(0);
    let checkpoint = heartbeat.running[0].checkpoint.clone();
    assert!(!checkpoint.is_empty());
    fixture.environment.end_instance(fixture.instances[0]);
    let spec = fixture.spec();
    fixture.send_start_order(1, start_order(JOB, "0.0.0", 2, &spec, &checkpoint));
    assert_eq!(fixture.broken_rules(), []);
    let heartbeat = fixture.heartbeat(1);
    assert!(
        heartbeat.running[0].checkpoint >= checkpoint,
        "{} after {checkpoint}",
        heartbeat.running[0].checkpoint
    );
    fixture.send_start_order(1, start_order(JOB, "0.1.0", 1, &spec, &checkpoint));
    assert_eq!(fixture.broken_rules(), [Rule::Unasked]);
}

#[rstest]
fn a_start_of_a_refused_job_is_found() {
    let fixture = Fixture::new(&Job::single(60_000));
    let other = "00000000000000bb";
    let job = Job::single(60_000);
    fixture.environment.job_sent(other, &job, &queue());
    fixture.environment.job_responded(other, Some(503));
    fixture.send_start_order(0, start_order(other, "0.0.0", 1, &job.spec, ""));
    assert_eq!(fixture.broken_rules(), [Rule::Refused]);
}

#[rstest]
fn runs_and_starts_after_a_cancellation_are_found() {
    let fixture = Fixture::new(&Job::new(vec![long_step(2)]));
    fixture.start(0, "0.0.0", 1);
    fixture.environment.cancel_sent(JOB);
    fixture.environment.cancel_acknowledged(JOB);
    assert_eq!(
        fixture.broken_rules(),
        [],
        "within the time allowed after a cancellation"
    );
    fixture.sleep(Duration::from_millis(40));
    fixture.start(1, "0.0.1", 1);
    assert_eq!(
        fixture.broken_rules(),
        [Rule::Unasked, Rule::Unasked, Rule::Unasked]
    );
}

#[rstest]
fn a_start_on_a_draining_worker_is_found() {
    let fixture = Fixture::new(&Job::new(vec![long_step(1)]));
    fixture
        .environment
        .drain(fixture.instances[0], Duration::from_secs(60));
    fixture.respond(0, HeartbeatResponse::default());
    fixture.sleep(Duration::from_millis(20));
    fixture.start(0, "0.0.0", 1);
    assert_eq!(fixture.broken_rules(), [Rule::Drain]);
}

#[rstest]
#[case::completed(Some(JobState::Completed), Rule::Mixed)]
#[case::failed(Some(JobState::Failed), Rule::Lost)]
#[case::cancelled(Some(JobState::Cancelled), Rule::Lost)]
fn a_state_shown_without_cause_is_found(#[case] state: Option<JobState>, #[case] rule: Rule) {
    let fixture = Fixture::new(&Job::single(60_000));
    fixture
        .environment
        .job_shown(JOB, fixture.environment.now(), state);
    assert_eq!(fixture.broken_rules(), [rule]);
}

#[rstest]
fn an_accepted_job_shown_as_unknown_is_found() {
    let fixture = Fixture::new(&Job::single(60_000));
    fixture
        .environment
        .job_shown(JOB, fixture.environment.now(), None);
    assert_eq!(fixture.broken_rules(), [], "it may not be visible yet");
    fixture.environment.job_shown(
        JOB,
        fixture.environment.now() + fixture.environment.bounds().visible * 2,
        None,
    );
    assert_eq!(fixture.broken_rules(), [Rule::Lost]);
}

#[rstest]
fn a_worker_respects_leases_fencing_tokens_and_repeated_orders() {
    let fixture = Fixture::new(&Job::new(vec![long_step(1).checkpoints(), long_step(1)]));
    fixture.respond(
        0,
        HeartbeatResponse {
            fencing_token: 5,
            ..HeartbeatResponse::default()
        },
    );
    fixture.start(0, "0.0.0", 1);
    assert_eq!(fixture.count_starts(), 0, "a lower token");
    let spec = fixture.spec();
    let order = |task: &str, run_lease_ms| HeartbeatResponse {
        fencing_token: 5,
        run_lease_ms: Some(run_lease_ms),
        start: vec![start_order(JOB, task, 1, &spec, "")],
        ..HeartbeatResponse::default()
    };
    fixture.respond(0, order("0.0.0", 5_000));
    fixture.respond(0, order("0.0.0", 5_000));
    assert_eq!(fixture.count_starts(), 1, "a repeated order");
    fixture.respond(1, order("0.1.0", 30));
    fixture.wait_ends(EndReason::Expired, 1);
    fixture.respond(1, order("0.1.0", 5_000));
    assert_eq!(
        fixture.ends(),
        [EndReason::Expired, EndReason::Refused],
        "a run that has ended there"
    );
    assert_eq!(fixture.broken_rules(), []);
}

#[rstest]
fn a_stop_refuses_a_later_start_of_its_run() {
    let fixture = Fixture::new(&Job::new(vec![long_step(1)]));
    fixture.stop(0, "0.0.0", 2);
    fixture.start(0, "0.0.0", 2);
    assert_eq!(fixture.ends(), [EndReason::Refused]);
    fixture.start(0, "0.0.0", 3);
    assert_eq!(fixture.count_starts(), 1);
}
