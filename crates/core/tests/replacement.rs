//! Simulated replacements of schedulers in virtual time: each scheduler's engine is replaced several times while jobs are
//! open, and workers fail, lose jobs or stop responding. The invariants are checked over all schedulers.

use indigofold_core::engine::Engine;
use indigofold_core::{
    Answer, Attempt, AttemptId, CoreInput, GivenUp, JobId, MembershipRequest, Reply, Settings,
    StatisticsScope, Transport,
};
use indigofold_decisions::api::*;
use proptest::prelude::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

const MS: Time = 1_000;
const SEC: Time = 1_000_000;
const WORKERS: u32 = 12;

/// The history of a job over all processes that had it.
#[derive(Default)]
struct JobHistory {
    class: ClassId,
    until: Time,
    answers: Vec<(Time, Answer)>,
    /// The workers of the attempts in flight, one entry per attempt.
    in_flight: Vec<WorkerId>,
    may_have_run: u32,
    attempts: u32,
    /// The job's id in the process that has it at present.
    id: JobId,
    migrations: u32,
}

/// The simulated environment of one scheduler: its jobs and the scheduled outcomes of their attempts.
#[derive(Default)]
struct World {
    jobs: BTreeMap<u64, JobHistory>, // by the client's id
    trace_by_id: BTreeMap<JobId, u64>,
    attempt_ends: BTreeMap<(Time, u64), (u64, u32, Status, WorkerId)>, // by time and sequence number
    starts: BTreeMap<(Time, u64), (u64, u32)>,
    now: Time,
    next: u64,
    violations: Vec<String>,
    duplicates: bool,
}

struct Simulation {
    world: RefCell<World>,
    rng: RefCell<Pcg64Mcg>,
}

impl Simulation {
    fn random(&self, most: u64) -> u64 {
        self.rng.borrow_mut().next_u64() % most
    }
}

impl Transport for Simulation {
    #[allow(
        clippy::too_many_lines,
        reason = "one scenario, in the order in which it happens"
    )]
    fn send(&self, attempt: Attempt) -> bool {
        let (fate, takes, wait) = (
            self.random(100),
            20 + self.random(400),
            1 + self.random(150),
        );
        let mut world = self.world.borrow_mut();
        let (now, duplicates) = (world.now, world.duplicates);
        let trace = world.trace_by_id[&attempt.id.job];
        world.next += 1;
        let next = world.next;
        let mut violations = Vec::new();
        let job = world
            .jobs
            .get_mut(&trace)
            .expect("the simulation has no such job");
        if !job.in_flight.is_empty() && !duplicates {
            violations.push(format!(
                "job {trace}: a second attempt is sent while one is in flight"
            ));
        }
        if job.in_flight.contains(&attempt.machine) {
            violations.push(format!(
                "job {trace}: two attempts at the same worker {}",
                attempt.machine
            ));
        }
        if attempt.id.number != job.attempts {
            violations.push(format!(
                "job {trace}: attempt number {} after {} attempts",
                attempt.id.number, job.attempts
            ));
        }
        if job.attempts >= 4 || (job.class == 2 && job.may_have_run > 0) || !job.answers.is_empty()
        {
            violations.push(format!(
                "job {trace}, class {}: attempt {} is not allowed",
                job.class, job.attempts
            ));
        }
        job.attempts += 1;
        if fate >= 97 {
            world.violations.extend(violations);
            return false; // the worker does not accept the attempt
        }
        job.in_flight.push(attempt.machine);
        job.may_have_run += 1;
        let end = now + (wait + takes) * MS;
        let (at, status) = match fate {
            0..75 => (end, Some(Status::Ok)),
            75..80 => (now + wait * MS, Some(Status::Full)),
            80..85 => (end, Some(Status::Error)),
            85..90 => (end, Some(Status::Reset)),
            90..93 => (now + wait * MS, Some(Status::ConnectFailed)),
            _ => (now, None), // the worker never responds
        };
        if matches!(status, Some(Status::Full | Status::ConnectFailed)) {
            job.may_have_run -= 1;
        }
        let number = attempt.id.number;
        if matches!(status, Some(Status::Ok | Status::Error | Status::Reset)) {
            world
                .starts
                .insert((now + wait * MS, next), (trace, number));
        }
        if let Some(status) = status {
            world
                .attempt_ends
                .insert((at, next), (trace, number, status, attempt.machine));
        }
        world.violations.extend(violations);
        true
    }

    fn give_up(&self, attempt: AttemptId, machine: WorkerId) -> GivenUp {
        let mut world = self.world.borrow_mut();
        let trace = world.trace_by_id[&attempt.job];
        world
            .jobs
            .get_mut(&trace)
            .expect("the simulation has no such job")
            .in_flight
            .retain(|w| *w != machine);
        world
            .attempt_ends
            .retain(|_, (t, number, _, _)| (*t, *number) != (trace, attempt.number));
        world
            .starts
            .retain(|_, (t, number)| (*t, *number) != (trace, attempt.number));
        GivenUp::Done
    }

    fn probe(&self, _: WorkerId) -> bool {
        false
    }
    fn hang_up(&self, _: WorkerId) {}
    fn request_membership(&self, _: MembershipRequest) -> bool {
        true
    }
    fn answer(&self, job: JobId, answer: Answer) {
        let mut world = self.world.borrow_mut();
        let (now, trace) = (world.now, world.trace_by_id[&job]);
        world
            .jobs
            .get_mut(&trace)
            .expect("the simulation has no such job")
            .answers
            .push((now, answer));
    }
    fn forget(&self, _: JobId) {}
    fn log_event(&self, _: &str) {}
}

fn engine(settings: &indigofold_decisions::api::Settings, now: Time, seed: u64) -> Engine {
    Engine::new(
        Settings {
            module: settings.clone(),
            seed,
            answer_margin: 40 * MS,
        },
        now,
        Rc::default(),
    )
}

fn membership(now: Time) -> CoreInput {
    let entries = (0..WORKERS).map(|n| Entry {
        zone: n % 2,
        cell: n % 4,
        // Some workers have always just started.
        ready_at: if n % 5 == 0 { now - SEC } else { 0 },
        ..indigofold_decisions_testing::entry(n, n % 3)
    });
    CoreInput::Membership(Scope::Full, entries.collect())
}

/// Simulates one scheduler for some seconds with this many replacements; returns its world and the number of jobs that
/// migrated.
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn simulate(seed: u64, duplicates: bool, replacements: u64) -> (World, u32) {
    let mut settings = indigofold_decisions_testing::settings();
    settings.dispatchers = 300;
    settings.limits.duplicates = duplicates;
    settings.progress = 200 * MS;
    let simulation = Simulation {
        world: RefCell::new(World {
            duplicates,
            ..World::default()
        }),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
    };
    let (begin, end, last) = (100 * SEC, 106 * SEC, 113 * SEC);
    let mut now = begin;
    let mut current_engine = engine(&settings, now, seed);
    current_engine.handle_input(now, membership(now), &simulation);
    let (mut next_job, mut arrival, mut trace, mut migrated) = (1u64, begin, 0u64, 0u32);
    let mut replaced = 0;
    while now < last {
        simulation.world.borrow_mut().now = now;
        while arrival <= now && arrival < end {
            let (class, left) = (
                simulation.random(4) as u32,
                (1 + simulation.random(5)) * SEC,
            );
            let request = Request {
                left,
                ..indigofold_decisions_testing::request(next_job, class)
            };
            let history = JobHistory {
                class,
                until: now + left,
                id: next_job,
                ..JobHistory::default()
            };
            trace += 1;
            simulation.world.borrow_mut().jobs.insert(trace, history);
            simulation
                .world
                .borrow_mut()
                .trace_by_id
                .insert(next_job, trace);
            current_engine.handle_input(
                now,
                CoreInput::Job(request, now + left, Reply::Transport),
                &simulation,
            );
            (next_job, arrival) = (next_job + 1, arrival + (1 + simulation.random(60)) * MS);
        }
        let starts: Vec<_> = {
            let mut world = simulation.world.borrow_mut();
            let later = world.starts.split_off(&(now + 1, 0));
            std::mem::replace(&mut world.starts, later)
                .into_values()
                .collect()
        };
        for (trace, attempt) in starts {
            let job = simulation.world.borrow().jobs[&trace].id;
            current_engine.handle_input(
                now,
                CoreInput::Started(AttemptId {
                    job,
                    number: attempt,
                }),
                &simulation,
            );
        }
        let ends: Vec<_> = {
            let mut world = simulation.world.borrow_mut();
            let later = world.attempt_ends.split_off(&(now + 1, 0));
            std::mem::replace(&mut world.attempt_ends, later)
                .into_values()
                .collect()
        };
        for (trace, attempt, status, worker) in ends {
            let job = {
                let mut world = simulation.world.borrow_mut();
                let job = world
                    .jobs
                    .get_mut(&trace)
                    .expect("the simulation has no such job");
                job.in_flight.retain(|w| *w != worker);
                job.id
            };
            current_engine.handle_input(
                now,
                CoreInput::Ended(
                    AttemptId {
                        job,
                        number: attempt,
                    },
                    status,
                    None,
                ),
                &simulation,
            );
        }
        current_engine.step(now, &simulation);
        // Starts the next process: it receives the statistics and every open job that can be released now, the rest later.
        if replaced < replacements
            && now >= begin + (replaced + 1) * (end - begin) / (replacements + 1)
        {
            replaced += 1;
            let mut new = engine(&settings, now, seed ^ replaced);
            new.handle_input(now, membership(now), &simulation);
            let (to, from) = async_channel::bounded(1);
            current_engine.handle_input(
                now,
                CoreInput::ReadStatistics(to, StatisticsScope::ExceptInFlight),
                &simulation,
            );
            new.handle_input(
                now,
                CoreInput::Statistics(Box::new(
                    from.try_recv().expect("the engine must reply at once"),
                )),
                &simulation,
            );
            let open: Vec<(u64, JobId)> = {
                let world = simulation.world.borrow();
                world
                    .jobs
                    .iter()
                    .filter(|j| j.1.answers.is_empty())
                    .map(|j| (*j.0, j.1.id))
                    .collect()
            };
            // Jobs migrate now if the module has no unhandled events; the others are retried later, as the front does.
            let mut unreleased = open;
            for _ in 0..10 {
                now += 2 * MS;
                simulation.world.borrow_mut().now = now;
                current_engine.step(now, &simulation);
                unreleased.retain(|(trace, id)| {
                    let (to, from) = async_channel::bounded(1);
                    current_engine.handle_input(now, CoreInput::Release(*id, to), &simulation);
                    let Some(released) = from.try_recv().expect("the engine must reply at once")
                    else {
                        return true;
                    };
                    {
                        let mut world = simulation.world.borrow_mut();
                        let job = world
                            .jobs
                            .get_mut(trace)
                            .expect("the simulation has no such job");
                        (job.id, job.migrations) = (next_job, job.migrations + 1);
                        world.trace_by_id.insert(next_job, *trace);
                    }
                    let job = Box::new(released.job);
                    new.handle_input(
                        now,
                        CoreInput::Adopted(next_job, job, released.until, Reply::Transport),
                        &simulation,
                    );
                    (next_job, migrated) = (next_job + 1, migrated + 1);
                    false
                });
            }
            assert_eq!(
                current_engine.jobs(),
                0,
                "the old process has nothing left to answer"
            );
            current_engine = new;
        }
        now += 2 * MS;
    }
    assert_eq!(
        current_engine.jobs(),
        0,
        "jobs are left unanswered at the end"
    );
    (simulation.world.into_inner(), migrated)
}

fn check(world: &World) -> Result<(), String> {
    if let Some(violation) = world.violations.first() {
        return Err(violation.clone());
    }
    for (trace, job) in &world.jobs {
        let [(at, answer)] = job.answers[..] else {
            return Err(format!(
                "job {trace}: {} answers after {} migrations",
                job.answers.len(),
                job.migrations
            ));
        };
        if at > job.until + 20 * MS {
            return Err(format!("job {trace}: answered {} us late", at - job.until));
        }
        if matches!(answer, Answer::Rejected(_)) && job.class == 2 && job.may_have_run > 0 {
            return Err(format!(
                "job {trace}: rejected although an attempt may have run"
            ));
        }
    }
    Ok(())
}

/// Replaces each of 300 schedulers three times in six seconds of traffic. Guards against jobs that are lost, answered
/// late or twice, rerun although their class forbids it, or in flight twice across processes.
#[test]
fn replacing_three_hundred_schedulers_loses_and_duplicates_no_job() {
    let (mut jobs, mut migrated, mut twice) = (0, 0, 0);
    for seed in 0..300 {
        let (world, went) = simulate(seed, seed % 2 == 0, 3);
        check(&world).unwrap_or_else(|violation| panic!("scheduler {seed}: {violation}"));
        (jobs, migrated) = (jobs + world.jobs.len(), migrated + went);
        twice += world.jobs.values().filter(|j| j.migrations > 1).count();
    }
    assert!(
        jobs > 40_000 && migrated > 3_000 && twice > 100,
        "{jobs} jobs, {migrated} moves, {twice} more than once"
    );
}

/// Guards against replacements that reduce the share of served jobs, compared with the same jobs without replacement.
#[test]
fn replacements_do_not_reduce_the_served_share() {
    let served = |replacements: u64| {
        let of = |seed: u64| {
            let (world, _) = simulate(seed, true, replacements);
            let served = |j: &&JobHistory| matches!(j.answers[..], [(_, Answer::Served)]);
            (world.jobs.values().filter(served).count(), world.jobs.len())
        };
        (1000..1040)
            .map(of)
            .fold((0, 0), |sum, n| (sum.0 + n.0, sum.1 + n.1))
    };
    let ((with, all), (without, of)) = (served(4), served(0));
    let (with, without) = (with as f64 / all as f64, without as f64 / of as f64);
    assert!(
        with > without - 0.01,
        "served {with:.3} with replacements, {without:.3} without"
    );
}

/// Guards against a lost job: the requester of a release drops its receiver before the release is handled.
#[test]
fn a_job_whose_requester_has_gone_is_not_released() {
    let simulation = Simulation {
        world: RefCell::new(World {
            now: SEC,
            ..World::default()
        }),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(1)),
    };
    let mut engine = engine(&indigofold_decisions_testing::settings(), SEC, 1);
    engine.handle_input(
        SEC,
        CoreInput::Job(
            indigofold_decisions_testing::request(1, 0),
            6 * SEC,
            Reply::Transport,
        ),
        &simulation,
    );
    engine.step(SEC, &simulation);
    let release = |engine: &mut Engine| {
        let (to, from) = async_channel::bounded(1);
        engine.handle_input(SEC, CoreInput::Release(1, to), &simulation);
        from.try_recv()
            .expect("the engine must reply at once")
            .is_some()
    };
    let (to, from) = async_channel::bounded(1);
    drop(from);
    engine.handle_input(SEC, CoreInput::Release(1, to), &simulation);
    assert_eq!(
        engine.jobs(),
        1,
        "the job must unreleased in the engine that was asked to release it"
    );
    assert!(release(&mut engine));
    assert_eq!(engine.jobs(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    /// Any number of replacements, at any interval.
    #[test]
    fn any_sequence_of_replacements_keeps_the_invariants(seed in any::<u64>(), duplicates: bool, replacements in 1u64..60) {
        let (world, _) = simulate(seed, duplicates, replacements);
        prop_assert_eq!(check(&world), Ok(()));
    }
}
