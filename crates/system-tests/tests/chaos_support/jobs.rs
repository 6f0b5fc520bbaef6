//! Clients that submit random jobs of all kinds.

use super::seeded_random::SeededRandom;
use indigofold_system_tests::client::{Client, SubmittedJob};
use indigofold_system_tests::cluster::JOB_TIMEOUT;
use indigofold_system_tests::configuration::{BATCH, Configuration, QUICK};
use indigofold_system_tests::job::{Job, Step};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Number of open jobs at which a client waits for the oldest one to end.
const OPEN_JOBS_MAX: usize = 10;

/// Submits jobs, and cancels some, until `stopping` is set.
pub(super) fn submit_until(
    stopping: &AtomicBool,
    client: &Client,
    configuration: &Configuration,
    mut random: SeededRandom,
) {
    let mut open: VecDeque<SubmittedJob> = VecDeque::new();
    while !stopping.load(Ordering::Relaxed) {
        let queue = configuration
            .queue(random.choose(&[QUICK, BATCH]))
            .expect("the configuration should have this queue");
        let (job, cancels) = random_job(&mut random);
        let submitted = client
            .submit(queue, &job)
            .expect("the job should be accepted");
        if cancels {
            client
                .state(&submitted)
                .expect("an edge should return the job's state");
            client
                .cancel(&submitted)
                .expect("the cancellation should be acknowledged");
        } else {
            open.push_back(submitted);
        }
        if open.len() >= OPEN_JOBS_MAX
            && let Some(oldest) = open.pop_front()
        {
            client
                .wait_end(&oldest, JOB_TIMEOUT)
                .expect("the job should end in time");
        }
    }
}

/// Creates a random job, and decides whether it is cancelled right after its submission.
fn random_job(random: &mut SeededRandom) -> (Job, bool) {
    let work = 50 + random.below(800);
    let step = Step::new(1 + random.below(4) as u32, work).cpu(random.choose(&[200, 500, 1_500]));
    let job = match random.below(12) {
        0 | 1 => Job::new(vec![step.checkpoints(), Step::new(2, work).after(&[0])]),
        2 => Job::new(vec![
            Step::new(2, work)
                .cpu(2_500)
                .gang()
                .checkpoints()
                .anti_affinity(1),
        ]),
        3 => Job::new(vec![Step::new(3, work).gang(), step.after(&[0])]),
        4 => {
            Job::new(vec![step]).repeated(2, Duration::from_millis(200), Duration::from_millis(300))
        }
        5 => Job::new(vec![step.failures(1)]),
        6 => Job::new(vec![Step::new(3, 3_000).cpu(200).checkpoints()]),
        7 => Job::new(vec![Step::new(4, 2_500).cpu(200)]),
        8 => return (Job::new(vec![Step::new(2, 400).long_running()]), true),
        9 => return (Job::new(vec![step]), random.below(2) == 0),
        _ => Job::new(vec![
            step,
            Step::new(1, work),
            Step::new(2, work).after(&[0, 1]),
        ]),
    };
    (job, false)
}
