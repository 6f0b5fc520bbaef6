//! Clients that hand in jobs of all kinds.

use super::draw::Draw;
use indigofold_system_tests::client::{Client, Handed};
use indigofold_system_tests::cluster::JOB_TIME;
use indigofold_system_tests::configuration::{BATCH, Configuration, QUICK};
use indigofold_system_tests::job::{Job, Step};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A client waits for its oldest job once so many are open.
const OPEN_MAX: usize = 10;

/// Hands in jobs, and cancels some, until told to stop.
pub fn hand_in_until(
    over: &AtomicBool,
    client: &Client,
    configuration: &Configuration,
    mut draw: Draw,
) {
    let mut open: VecDeque<Handed> = VecDeque::new();
    while !over.load(Ordering::Relaxed) {
        let queue = configuration
            .queue(draw.of(&[QUICK, BATCH]))
            .expect("a queue");
        let (job, cancels) = draw_job(&mut draw);
        let handed = client.submit(queue, &job).expect("an accepted job");
        if cancels {
            client.state(&handed).expect("a state");
            client.cancel(&handed).expect("cancelled");
        } else {
            open.push_back(handed);
        }
        if open.len() >= OPEN_MAX
            && let Some(oldest) = open.pop_front()
        {
            client.wait_end(&oldest, JOB_TIME).expect("an end");
        }
    }
}

/// A job, and whether it is to be cancelled at once.
fn draw_job(draw: &mut Draw) -> (Job, bool) {
    let work = 50 + draw.below(800);
    let step = Step::new(1 + draw.below(4) as u32, work).cpu(draw.of(&[200, 500, 1_500]));
    let job = match draw.below(12) {
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
        9 => return (Job::new(vec![step]), draw.below(2) == 0),
        _ => Job::new(vec![
            step,
            Step::new(1, work),
            Step::new(2, work).after(&[0, 1]),
        ]),
    };
    (job, false)
}
