//! The stand-in workers and the checks themselves, without any program: what they must find, and what they must not.

use indigofold_system_tests::checks::{Excuses, Rule, violations};
use indigofold_system_tests::configuration::{Configuration, PLANNING, QUICK, Queue, VISION};
use indigofold_system_tests::job::{Job, Step};
use indigofold_system_tests::settings::Bounds;
use indigofold_system_tests::wait::Signal;
use indigofold_system_tests::wire::{Capacity, HeartbeatAnswer, How};
use indigofold_system_tests::world::{JobState, LifeId, WorkerSetup, World};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000aa";
const TIME: Duration = Duration::from_secs(5);

/// A world with one job that was accepted and two workers.
struct Stage {
    world: Arc<World>,
    lives: [LifeId; 2],
}

fn queue() -> Queue {
    Configuration::standard(1)
        .queue(QUICK)
        .expect("a queue")
        .clone()
}

fn setup(number: usize) -> WorkerSetup {
    WorkerSetup {
        name: format!("worker-{number}"),
        service: PLANNING.to_owned(),
        zone: "zone-a".to_owned(),
        capacity: Capacity {
            cpu: 1_000,
            mem_mb: 1_024,
            gpu: 0,
        },
        labels: vec![format!("only-{number}")],
        address: "127.0.0.1:1".to_owned(),
    }
}

fn stage(job: &Job) -> Stage {
    let bounds = Bounds {
        gang: Duration::from_millis(200),
        drain: Duration::from_millis(10),
        cancel: Duration::from_millis(10),
        stop: Duration::from_millis(20),
        save: Duration::from_millis(10),
        restore: Duration::from_millis(1),
        ..Bounds::default()
    };
    let world = World::new(bounds, Arc::new(Signal::default()));
    world.job_sent(JOB, job, &queue());
    world.job_answered(JOB, Some(200));
    let lives = [world.begin_life(&setup(0)), world.begin_life(&setup(1))];
    Stage { world, lives }
}

/// Tasks that outlast the test.
fn long(count: u32) -> Step {
    Step::new(count, 60_000)
}

impl Stage {
    fn answer(&self, worker: usize, answer: HeartbeatAnswer) {
        let answer = HeartbeatAnswer {
            hold_ms: answer.hold_ms.or(Some(5_000)),
            ..answer
        };
        self.world
            .answered(self.lives[worker], self.world.now(), &answer);
    }

    fn start_with(&self, worker: usize, task: &str, run: u32, spec: &str, saved: &str) {
        let start = vec![(
            format!("{JOB}.{task}"),
            run,
            spec.to_owned(),
            saved.to_owned(),
        )];
        self.answer(
            worker,
            HeartbeatAnswer {
                start,
                ..HeartbeatAnswer::default()
            },
        );
    }

    fn start(&self, worker: usize, task: &str, run: u32) {
        let spec = self.world.read(|record| record.jobs[JOB].job.spec.clone());
        self.start_with(worker, task, run, &spec, "");
    }

    fn stop(&self, worker: usize, task: &str, run: u32) {
        let stop = vec![(format!("{JOB}.{task}"), run)];
        self.answer(
            worker,
            HeartbeatAnswer {
                stop,
                ..HeartbeatAnswer::default()
            },
        );
    }

    fn note(&self, worker: usize, last_seen: u64) {
        self.answer(
            worker,
            HeartbeatAnswer {
                last_seen: Some(last_seen),
                ..HeartbeatAnswer::default()
            },
        );
    }

    fn wait_ends(&self, how: How, count: usize) {
        let ended = self.world.until("ends", TIME, |record| {
            (record.count_ends(JOB, how) >= count).then_some(())
        });
        ended.expect("ends");
    }

    fn ends(&self) -> Vec<How> {
        self.world
            .read(|record| record.ends(JOB).map(|(_, _, how)| how).collect())
    }

    fn broken(&self) -> Vec<Rule> {
        let (bounds, now) = (self.world.bounds(), self.world.now());
        let found = self
            .world
            .read(|record| violations(record, &bounds, Excuses::default(), now));
        found.into_iter().map(|violation| violation.rule).collect()
    }

    fn pass(&self, span: Duration) {
        let until = self.world.now() + span;
        let passed = self
            .world
            .until("time", TIME, |_| (self.world.now() > until).then_some(()));
        passed.expect("time passes");
    }
}

#[rstest]
fn an_orderly_run_breaks_no_rule() {
    let stage = stage(&Job::new(vec![
        Step::new(2, 10),
        Step::new(1, 10).after(&[0]),
    ]));
    stage.start(0, "0.0.0", 1);
    stage.start(1, "0.0.1", 1);
    stage.wait_ends(How::Done, 2);
    stage.note(0, 1);
    stage.note(1, 1);
    stage.start(0, "0.1.0", 1);
    stage.wait_ends(How::Done, 3);
    stage
        .world
        .job_shown(JOB, stage.world.now(), Some(JobState::Completed));
    assert_eq!(stage.broken(), []);
}

#[rstest]
fn too_much_on_one_worker_is_found() {
    let stage = stage(&Job::new(vec![long(3)]));
    for task in ["0.0.0", "0.0.1", "0.0.2"] {
        stage.start(0, task, 1);
    }
    assert_eq!(stage.broken(), [Rule::Limit]);
}

#[rstest]
fn what_is_being_stopped_still_counts() {
    let stage = stage(&Job::new(vec![long(3)]));
    stage.start(0, "0.0.0", 1);
    stage.start(0, "0.0.1", 1);
    stage.stop(0, "0.0.1", 1);
    stage.start(0, "0.0.2", 1);
    assert_eq!(stage.broken(), [Rule::Limit]);
}

#[rstest]
fn a_task_on_two_workers_is_found() {
    let stage = stage(&Job::new(vec![long(1)]));
    stage.start(0, "0.0.0", 1);
    stage.start(1, "0.0.0", 2);
    assert_eq!(stage.broken(), [Rule::Twice]);
}

#[rstest]
fn a_crash_ends_the_runs_there() {
    let stage = stage(&Job::new(vec![long(1)]));
    stage.start(0, "0.0.0", 1);
    stage.world.end_life(stage.lives[0]);
    stage.start(1, "0.0.0", 2);
    assert_eq!(stage.broken(), []);
}

#[rstest]
fn a_start_after_a_noted_end_is_found() {
    let stage = stage(&Job::new(vec![Step::new(1, 10)]));
    stage.start(0, "0.0.0", 1);
    stage.wait_ends(How::Done, 1);
    stage.start(1, "0.0.0", 2);
    assert_eq!(stage.broken(), [], "nobody has heard of the end");
    stage.note(0, 1);
    assert_eq!(stage.broken(), [Rule::Twice]);
}

#[rstest]
fn a_step_before_its_turn_and_a_repetition_before_its_time_are_found() {
    let early = stage(&Job::new(vec![long(1), long(1).after(&[0])]));
    early.start(0, "0.1.0", 1);
    assert_eq!(early.broken(), [Rule::Order]);
    let times =
        Job::new(vec![long(1)]).repeated(2, Duration::from_millis(100), Duration::from_secs(60));
    let repeated = stage(&times);
    repeated.start(0, "0.0.0", 1);
    assert_eq!(repeated.broken(), [], "within the bound");
    repeated.start(1, "1.0.0", 1);
    assert_eq!(repeated.broken(), [Rule::Order]);
}

#[rstest]
fn run_numbers_must_rise() {
    let stage = stage(&Job::new(vec![long(1)]));
    stage.start(0, "0.0.0", 2);
    stage.world.end_life(stage.lives[0]);
    stage.start(1, "0.0.0", 1);
    assert_eq!(stage.broken(), [Rule::Attempt]);
}

#[rstest]
fn a_start_beyond_the_budget_is_found() {
    let stage = stage(&Job::new(vec![Step::new(1, 10).failures(9)]));
    for run in 1..=4 {
        stage.start(0, "0.0.0", run);
        stage.wait_ends(How::Failed, run as usize);
        stage.note(0, u64::from(run));
    }
    assert_eq!(stage.broken(), [Rule::Budget]);
}

#[rstest]
#[case::label(long(1).requires("only-1"))]
#[case::spread(long(2).anti_affinity(1))]
fn a_task_in_a_wrong_place_is_found(#[case] step: Step) {
    let count = step.count;
    let stage = stage(&Job::new(vec![step]));
    (0..count).for_each(|index| stage.start(0, &format!("0.0.{index}"), 1));
    assert_eq!(stage.broken(), [Rule::Route]);
}

#[rstest]
fn a_worker_of_another_service_is_found() {
    let mut stage = stage(&Job::new(vec![long(1)]));
    stage.lives[0] = stage.world.begin_life(&WorkerSetup {
        service: VISION.to_owned(),
        ..setup(2)
    });
    stage.start(0, "0.0.0", 1);
    assert_eq!(stage.broken(), [Rule::Route]);
}

#[rstest]
fn a_gang_begins_together_and_ends_together() {
    let stage = stage(&Job::new(vec![Step::new(2, 50).gang()]));
    stage.start(0, "0.0.0", 1);
    stage.start(1, "0.0.1", 1);
    stage.wait_ends(How::Done, 2);
    assert_eq!(stage.broken(), []);
}

#[rstest]
fn a_gang_breaks_with_one_member() {
    let stage = stage(&Job::new(vec![long(2).gang()]));
    stage.start(0, "0.0.0", 1);
    stage.start(1, "0.0.1", 1);
    stage.stop(0, "0.0.0", 1);
    stage.wait_ends(How::Broken, 1);
    assert_eq!(stage.ends(), [How::Stopped, How::Broken]);
}

#[rstest]
fn a_member_that_waits_in_vain_is_found() {
    let stage = stage(&Job::new(vec![long(2).gang()]));
    stage.start(0, "0.0.0", 1);
    stage.wait_ends(How::Alone, 1);
    assert_eq!(stage.broken(), [Rule::Gang]);
}

#[rstest]
fn what_nobody_sent_is_found() {
    let stage = stage(&Job::new(vec![long(1)]));
    stage.start(0, "0.0.7", 1);
    stage.start_with(0, "0.0.0", 1, "another text", "");
    stage.start_with(1, "1.0.0", 1, "text", "");
    assert_eq!(
        stage.broken(),
        [Rule::Unasked, Rule::Unasked, Rule::Unasked]
    );
}

#[rstest]
fn progress_goes_on_and_only_its_own_is_taken() {
    let stage = stage(&Job::new(vec![
        long(1).checkpoints(),
        long(1).checkpoints(),
    ]));
    stage.start(0, "0.0.0", 1);
    stage.pass(Duration::from_millis(30));
    let (_, heartbeat) = stage.world.heartbeat(stage.lives[0]).expect("a heartbeat");
    let saved = heartbeat.running[0].2.clone();
    assert!(!saved.is_empty());
    stage.world.end_life(stage.lives[0]);
    let spec = stage.world.read(|record| record.jobs[JOB].job.spec.clone());
    stage.start_with(1, "0.0.0", 2, &spec, &saved);
    assert_eq!(stage.broken(), []);
    let (_, heartbeat) = stage.world.heartbeat(stage.lives[1]).expect("a heartbeat");
    assert!(
        heartbeat.running[0].2 >= saved,
        "{} after {saved}",
        heartbeat.running[0].2
    );
    stage.start_with(1, "0.1.0", 1, &spec, &saved);
    assert_eq!(stage.broken(), [Rule::Unasked]);
}

#[rstest]
fn a_start_of_a_refused_job_is_found() {
    let stage = stage(&Job::single(60_000));
    let other = "00000000000000bb";
    let job = Job::single(60_000);
    stage.world.job_sent(other, &job, &queue());
    stage.world.job_answered(other, Some(503));
    let start = vec![(format!("{other}.0.0.0"), 1, job.spec.clone(), String::new())];
    stage.answer(
        0,
        HeartbeatAnswer {
            start,
            ..HeartbeatAnswer::default()
        },
    );
    assert_eq!(stage.broken(), [Rule::Refused]);
}

#[rstest]
fn what_runs_on_or_starts_after_a_cancelling_is_found() {
    let stage = stage(&Job::new(vec![long(2)]));
    stage.start(0, "0.0.0", 1);
    stage.world.cancel_sent(JOB);
    stage.world.cancel_acknowledged(JOB);
    assert_eq!(stage.broken(), [], "there is time for it");
    stage.pass(Duration::from_millis(40));
    stage.start(1, "0.0.1", 1);
    assert_eq!(
        stage.broken(),
        [Rule::Unasked, Rule::Unasked, Rule::Unasked]
    );
}

#[rstest]
fn a_start_on_a_draining_worker_is_found() {
    let stage = stage(&Job::new(vec![long(1)]));
    stage.world.drain(stage.lives[0], Duration::from_secs(60));
    stage.answer(0, HeartbeatAnswer::default());
    stage.pass(Duration::from_millis(20));
    stage.start(0, "0.0.0", 1);
    assert_eq!(stage.broken(), [Rule::Drain]);
}

#[rstest]
#[case::completed(Some(JobState::Completed), Rule::Mixed)]
#[case::failed(Some(JobState::Failed), Rule::Lost)]
#[case::cancelled(Some(JobState::Cancelled), Rule::Lost)]
fn a_state_without_cause_is_found(#[case] state: Option<JobState>, #[case] rule: Rule) {
    let stage = stage(&Job::single(60_000));
    stage.world.job_shown(JOB, stage.world.now(), state);
    assert_eq!(stage.broken(), [rule]);
}

#[rstest]
fn an_accepted_job_that_does_not_exist_is_found() {
    let stage = stage(&Job::single(60_000));
    stage.world.job_shown(JOB, stage.world.now(), None);
    assert_eq!(stage.broken(), [], "it may not be visible yet");
    stage.world.job_shown(
        JOB,
        stage.world.now() + stage.world.bounds().visible * 2,
        None,
    );
    assert_eq!(stage.broken(), [Rule::Lost]);
}

#[rstest]
fn a_worker_goes_by_holds_fences_and_repeated_orders() {
    let stage = stage(&Job::new(vec![long(1).checkpoints(), long(1)]));
    stage.answer(
        0,
        HeartbeatAnswer {
            fence_token: 5,
            ..HeartbeatAnswer::default()
        },
    );
    stage.start(0, "0.0.0", 1);
    assert_eq!(
        stage.world.read(|record| record.starts(JOB).count()),
        0,
        "a lower token"
    );
    let spec = stage.world.read(|record| record.jobs[JOB].job.spec.clone());
    let order = |task: &str, hold_ms| HeartbeatAnswer {
        fence_token: 5,
        hold_ms: Some(hold_ms),
        start: vec![(format!("{JOB}.{task}"), 1, spec.clone(), String::new())],
        ..HeartbeatAnswer::default()
    };
    stage.answer(0, order("0.0.0", 5_000));
    stage.answer(0, order("0.0.0", 5_000));
    assert_eq!(
        stage.world.read(|record| record.starts(JOB).count()),
        1,
        "a repeated order"
    );
    stage.answer(1, order("0.1.0", 30));
    stage.wait_ends(How::Lapsed, 1);
    stage.answer(1, order("0.1.0", 5_000));
    assert_eq!(
        stage.ends(),
        [How::Lapsed, How::Refused],
        "a run that has ended there"
    );
    assert_eq!(stage.broken(), []);
}

#[rstest]
fn a_stop_bars_a_run_that_has_not_come_yet() {
    let stage = stage(&Job::new(vec![long(1)]));
    stage.stop(0, "0.0.0", 2);
    stage.start(0, "0.0.0", 2);
    assert_eq!(stage.ends(), [How::Refused]);
    stage.start(0, "0.0.0", 3);
    assert_eq!(stage.world.read(|record| record.starts(JOB).count()), 1);
}
