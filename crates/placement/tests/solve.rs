//! Tests of properties of the solution of problem (1).

use indigofold_placement::solve::solve;

/// Number of workers sampled for each job: d.
const SAMPLES: u32 = 2;
/// Tolerated numerical error of the solution.
const TOLERANCE: f64 = 1e-6;

fn assert_close(found: &[f64], expected: &[f64]) {
    assert_eq!(found.len(), expected.len());
    for (found, expected) in found.iter().zip(expected) {
        assert!(
            (found - expected).abs() < TOLERANCE,
            "{found} found, {expected} expected"
        );
    }
}

#[test]
fn probabilities_sum_to_one() {
    for load in [0.0, 0.1, 0.5, 0.9, 1.0, 2.0] {
        let probabilities = solve(&[0.2, 0.5, 0.3], &[1.0, 0.7, 2.0], load, SAMPLES);
        assert_close(&[probabilities.iter().sum()], &[1.0]);
    }
}

#[test]
fn kinds_of_equal_speed_receive_their_fraction() {
    let probabilities = solve(&[1.0, 3.0], &[1.0, 1.0], 0.5, SAMPLES);
    assert_close(&probabilities, &[0.25, 0.75]);
}

#[test]
fn a_low_load_is_served_by_the_fastest_kind_alone() {
    let probabilities = solve(&[0.5, 0.5], &[1.0, 4.0], 0.1, SAMPLES);
    assert_close(&probabilities, &[0.0, 1.0]);
}

#[test]
fn a_full_load_is_spread_nearly_by_capacity() {
    let probabilities = solve(&[0.5, 0.5], &[1.0, 4.0], 1.0, SAMPLES);
    assert!((probabilities[1] - 0.8).abs() < 0.02, "{probabilities:?}");
}

#[test]
fn loads_outside_the_range_are_moved_to_its_bounds() {
    let solution = |load| solve(&[0.5, 0.5], &[1.0, 4.0], load, SAMPLES);
    assert_eq!(solution(f64::NAN), solution(0.98));
    assert_eq!(solution(f64::INFINITY), solution(0.98));
    assert_eq!(solution(7.0), solution(0.98));
    assert_eq!(solution(-1.0), solution(0.02));
}

#[test]
fn a_kind_without_workers_receives_nothing() {
    let probabilities = solve(&[0.0, 1.0], &[5.0, 1.0], 0.5, SAMPLES);
    assert_close(&probabilities, &[0.0, 1.0]);
}

#[test]
fn without_capacity_all_probabilities_are_zero() {
    assert_eq!(solve(&[0.0, 0.0], &[1.0, 1.0], 0.5, SAMPLES), [0.0, 0.0]);
    assert_eq!(solve(&[1.0, 1.0], &[0.0, 0.0], 0.5, SAMPLES), [0.0, 0.0]);
    assert!(solve(&[], &[], 0.5, SAMPLES).is_empty());
}
