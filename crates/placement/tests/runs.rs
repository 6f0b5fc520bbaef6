//! Tests of the estimators of run times.

use indigofold_placement::runs::{Speed, WeightedSum, Work, freshness, record_run};

/// Number of runs recorded in a test.
const RUNS: usize = 400;
/// Run time on a worker of mean speed, in microseconds.
const RUN_US: u64 = 10_000;

#[test]
fn the_mean_of_a_class_starts_at_its_prior() {
    let class = Work::of(RUN_US);
    assert_eq!(class.mean(None), RUN_US as f64);
    assert_eq!(class.weight(), 0.0);
}

#[test]
fn an_estimate_is_the_mean_until_a_run_is_known() {
    assert_eq!(Work::of(RUN_US).mean(Some(70)), 70.0);
}

#[test]
fn the_mean_of_a_class_follows_its_runs() {
    let (mut kind, mut class, mut all) = (Speed::default(), Work::of(1), WeightedSum::default());
    for _ in 0..RUNS {
        record_run(&mut kind, &mut class, &mut all, None, RUN_US);
    }
    assert!((class.mean(None) / RUN_US as f64 - 1.0).abs() < 1e-9);
    assert!((all.sum / all.weight / RUN_US as f64 - 1.0).abs() < 1e-9);
    assert!((kind.speed - 1.0).abs() < 1e-9);
}

#[test]
fn a_kind_that_runs_faster_has_a_higher_speed() {
    let (mut fast, mut slow) = (Speed::default(), Speed::default());
    let (mut class, mut all) = (Work::of(RUN_US), WeightedSum::default());
    for _ in 0..RUNS {
        record_run(&mut fast, &mut class, &mut all, None, RUN_US / 2);
        record_run(&mut slow, &mut class, &mut all, None, RUN_US * 2);
    }
    assert!((fast.speed / slow.speed - 4.0).abs() < 0.4);
}

#[test]
fn fading_scales_the_weight_and_keeps_the_estimates() {
    let (mut kind, mut class, mut all) = (Speed::default(), Work::of(1), WeightedSum::default());
    for _ in 0..RUNS {
        record_run(&mut kind, &mut class, &mut all, Some(RUN_US / 2), RUN_US);
    }
    let (faded_kind, faded_class) = (kind.clone().faded(0.5), class.clone().faded(0.5));
    assert_eq!(faded_kind.weight(), kind.weight() * 0.5);
    assert_eq!(faded_kind.speed, kind.speed);
    assert_eq!(faded_class.weight(), class.weight() * 0.5);
    assert_eq!(faded_class.mean(Some(5)), class.mean(Some(5)));
}

#[test]
fn older_values_of_a_sum_weigh_less() {
    let mut sum = WeightedSum::default();
    sum.add(0.5, 8.0);
    sum.add(0.5, 2.0);
    assert_eq!(sum, WeightedSum::from((1.5, 6.0)));
}

#[test]
fn an_update_loses_its_weight_within_two_seconds() {
    assert_eq!(freshness(5, 5), 1.0);
    assert_eq!(freshness(1_000_000, 0), 0.5);
    assert_eq!(freshness(2_000_000, 0), 0.0);
    assert_eq!(freshness(9_000_000, 0), 0.0);
    assert_eq!(freshness(0, 9), 1.0);
}
