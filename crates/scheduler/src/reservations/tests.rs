//! Tests of replacing, retaining and aging reservations.

use super::*;
use indigofold_protocol::task::JobId;

fn step(job: u64) -> StepRef {
    StepRef {
        job: JobId(job),
        repeat: 0,
        step: 0,
    }
}

fn reservation(job: u64) -> Reservation {
    Reservation {
        step: step(job),
        priority: 1,
        resources: Resources::default(),
        free_at_ms: 5_000,
        patience_ms: 1_000,
    }
}

#[test]
fn replacing_releases_the_former_workers_of_the_step() {
    let mut reservations = Reservations::default();
    reservations.replace(step(1), [(WorkerId(1), reservation(1))], 0);
    reservations.replace(step(2), [(WorkerId(2), reservation(2))], 0);
    reservations.replace(step(1), [(WorkerId(3), reservation(1))], 0);
    assert!(reservations.get(WorkerId(1)).is_none());
    assert!(reservations.get(WorkerId(2)).is_some());
    assert!(reservations.get(WorkerId(3)).is_some());
}

#[test]
fn reservations_are_current_until_the_next_update() {
    let mut reservations = Reservations::default();
    assert!(!reservations.are_current(step(1), 0));
    reservations.replace(step(1), [(WorkerId(1), reservation(1))], 1_000);
    assert!(reservations.are_current(step(1), 1_000 + UPDATE_MS - 1));
    assert!(!reservations.are_current(step(1), 1_000 + UPDATE_MS));
    assert!(!reservations.are_current(step(2), 1_000));
}

#[test]
fn only_retained_steps_keep_reservations() {
    let mut reservations = Reservations::default();
    reservations.replace(step(1), [(WorkerId(1), reservation(1))], 0);
    reservations.replace(step(2), [(WorkerId(2), reservation(2))], 0);
    reservations.retain(&[step(2)]);
    assert!(reservations.get(WorkerId(1)).is_none());
    assert!(reservations.get(WorkerId(2)).is_some());
}

/// Failure: as long as one step's reservations were planned again on time, those of another never were.
#[test]
fn reservations_of_each_step_are_planned_again_on_their_own() {
    let mut reservations = Reservations::default();
    reservations.replace(step(1), [(WorkerId(1), reservation(1))], 1_000);
    reservations.replace(step(2), [(WorkerId(2), reservation(2))], 1_100);
    assert!(!reservations.are_current(step(1), 1_000 + UPDATE_MS));
    assert!(reservations.are_current(step(2), 1_000 + UPDATE_MS));
}
