//! The stop after SIGTERM or SIGINT: when connections are closed, and when the program may end.

use super::{Fronts, Shared};
use crate::net::log;
use async_io::Timer;
use std::time::{Duration, Instant};

/// After a signal to stop, new connections come for so long at most, and clients use the connections that they have
/// for as long as these stay open: perhaps nobody else is there to serve them.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(500);
/// The program may be killed this long after the signal, and the longest deadline of its classes (counted as no more than
/// the second constant) later. What came after the signal is answered this long before that ...
const KILL_GRACE: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const ANSWER_BEFORE_KILL: Duration = Duration::from_millis(300);
/// ... and connections are closed from this long before it on: so long a job that has just come may take yet.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(1_300);
/// How long those may take to close whose clients have their last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The program stays until no job has come for this long.
const QUIET_FOR_US: u64 = 400_000;
/// How often the stop looks at what is open.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Answers what is open, closes connections, and returns once nothing is left to answer.
pub(super) async fn run(shared: &Shared, fronts: &Fronts) {
    let Shared {
        net,
        clock,
        lifecycle,
        ..
    } = shared;
    log_state("stop", shared, fronts);
    let (from, begin) = (clock.now(), Instant::now());
    let (close_after, answer_by) = moments(Duration::from_micros(fronts.longest_deadline()));
    lifecycle.stopping.set(true);
    lifecycle
        .answer_deadline
        .set(Some(from + answer_by.as_micros() as u64));
    lifecycle.last_job.set(from);
    let mut idle_since = None;
    loop {
        Timer::after(CHECK_INTERVAL).await;
        // Where a new process serves, this one waits only for its connections to end.
        let superseded = lifecycle.superseded.get();
        let since_job = || clock.now().saturating_sub(lifecycle.last_job.get());
        let quiet = !superseded && fronts.open_jobs() == 0 && since_job() > QUIET_FOR_US;
        if (begin.elapsed() > close_after || quiet) && !lifecycle.closing.replace(true) {
            log_state("closing", shared, fronts);
        }
        if lifecycle.closing.get() {
            net.set.evict_idle(fronts.open_jobs() > 0); // between two messages a connection may be closed
        } else if !superseded {
            continue;
        }
        // Only once no connection has a message under way: what was taken in has its answer, and it is on its way.
        let (accepted, closing) = (net.set.accepted(), net.set.closing());
        let may_wait = superseded || begin.elapsed() < answer_by + CLOSE_TIMEOUT;
        if fronts.open_jobs() > 0 || (accepted > closing && may_wait) {
            idle_since = None;
            continue;
        }
        let since = *idle_since.get_or_insert_with(Instant::now);
        if closing == 0 || since.elapsed() > CLOSE_TIMEOUT {
            return log("stopped: nothing is left to answer");
        }
    }
}

fn log_state(event: &str, shared: &Shared, fronts: &Fronts) {
    log(format_args!(
        "{event} jobs={} connections={}",
        fronts.open_jobs(),
        shared.net.set.open()
    ));
}

/// When connections are closed after a signal to stop, and by when what comes after it is answered.
fn moments(longest: Duration) -> (Duration, Duration) {
    let killed = longest.min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
    (
        killed
            .saturating_sub(CLOSE_BEFORE_KILL)
            .max(ACCEPT_AFTER_SIGNAL),
        killed.saturating_sub(ANSWER_BEFORE_KILL),
    )
}
