//! Tests of how the time of an ended run is attributed to causes.

use super::*;
use rstest::rstest;

const PLACED_MS: u64 = 1_000;
const SENT_MS: u64 = PLACED_MS + 20;
const ENDED_MS: u64 = SENT_MS + 20_000;

/// A run whose start order was sent if `is_sent`, and whose stop was decided if `is_stopped`.
fn run(is_sent: bool, is_stopped: bool) -> Run {
    let placement = Placement {
        worker: WorkerId(1),
        bound: false,
        remote_factor: 1.0,
    };
    let mut run = Run::placed(1, &placement, false, PLACED_MS);
    if is_sent {
        run.record_sent(SENT_MS);
    }
    if is_stopped {
        run.record_stop(StopOrder {
            sent_to: None,
            sent_ms: SENT_MS,
        });
    }
    run
}

/// The latency breakdown of a run that never started.
fn latency_of_unstarted(run: &Run) -> LatencyBreakdown {
    let mut breakdown = LatencyBreakdown::default();
    run.add_latency(&mut breakdown, RunResult::NotStarted, ENDED_MS);
    breakdown
}

#[test]
fn time_of_a_run_whose_order_was_lost_counts_as_dispatch() {
    let breakdown = latency_of_unstarted(&run(true, false));
    assert_eq!(breakdown.get(Cause::Commit), SENT_MS - PLACED_MS);
    assert_eq!(breakdown.get(Cause::Dispatch), ENDED_MS - SENT_MS);
    assert_eq!(breakdown.get(Cause::Stopped), 0);
}

#[rstest]
#[case::before_its_order_left(run(false, false))]
#[case::on_its_way(run(true, true))]
fn time_of_a_run_that_was_stopped_before_it_began_counts_as_stopped(#[case] run: Run) {
    let breakdown = latency_of_unstarted(&run);
    assert_eq!(breakdown.get(Cause::Stopped), ENDED_MS - PLACED_MS);
    assert_eq!(breakdown.get(Cause::Dispatch), 0);
}
