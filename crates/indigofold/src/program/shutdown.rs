//! The shutdown after SIGTERM or SIGINT: when connections are closed, and when the program may end.

use super::{Fronts, Shared};
use crate::net::log;
use async_io::Timer;
use std::time::{Duration, Instant};

/// Minimum time between the signal and the closing of connections. New connections may arrive for up to this long, and
/// clients keep using their open ones, as there may be no other process to serve them.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(500);
/// The process must expect to be killed this long, plus the longest deadline of its classes, after the signal.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Upper limit on the deadline that counts towards the time of the kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Jobs that arrive after the signal are answered at least this long before the expected kill.
const ANSWER_BEFORE_KILL: Duration = Duration::from_millis(300);
/// Connections are closed from this long before the expected kill on, which leaves a job that has just arrived the time
/// between this and [`ANSWER_BEFORE_KILL`] to be answered.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(1_300);
/// How long connections may take to close once their clients have the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Connections are closed earlier if no job is open and none has arrived for this long, in microseconds.
const QUIET_FOR_US: u64 = 400_000;
/// Interval between two checks of the open jobs and connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Answers the open jobs, closes the connections, and returns once nothing is left to answer or the time is up.
pub(super) async fn run(shared: &Shared, fronts: &Fronts) {
    let Shared {
        net,
        clock,
        lifecycle,
        ..
    } = shared;
    log_state("stop", shared, fronts);
    let (from, signalled) = (clock.now(), Instant::now());
    let (close_after, answer_by) =
        close_and_answer_times(Duration::from_micros(fronts.longest_deadline()));
    lifecycle.stopping.set(true);
    lifecycle
        .answer_deadline
        .set(Some(from + answer_by.as_micros() as u64));
    lifecycle.last_job.set(from);
    let mut idle_since = None;
    loop {
        Timer::after(CHECK_INTERVAL).await;
        // If a new process serves, this one only waits for its connections to end.
        let superseded = lifecycle.superseded.get();
        let since_job = || clock.now().saturating_sub(lifecycle.last_job.get());
        let quiet = !superseded && fronts.open_jobs() == 0 && since_job() > QUIET_FOR_US;
        if (signalled.elapsed() > close_after || quiet) && !lifecycle.closing.replace(true) {
            log_state("closing", shared, fronts);
        }
        if lifecycle.closing.get() {
            net.set.evict_idle(fronts.open_jobs() > 0); // a connection may be closed between two messages
        } else if !superseded {
            continue;
        }
        // The program may end once no connection has a message in progress: every accepted job is then answered.
        let (accepted, closing) = (net.set.accepted(), net.set.closing());
        let may_wait = superseded || signalled.elapsed() < answer_by + CLOSE_TIMEOUT;
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

/// Computes, relative to the signal, when connections are closed and by when jobs that arrive later are answered.
fn close_and_answer_times(longest: Duration) -> (Duration, Duration) {
    let killed = longest.min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
    (
        killed
            .saturating_sub(CLOSE_BEFORE_KILL)
            .max(ACCEPT_AFTER_SIGNAL),
        killed.saturating_sub(ANSWER_BEFORE_KILL),
    )
}
