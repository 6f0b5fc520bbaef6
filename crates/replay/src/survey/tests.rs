use super::*;

fn row(number: u64, module: [f64; 3], random: [f64; 3], by_key: [f64; 3]) -> Row {
    let result = |metrics: [f64; 3]| PolicyResult {
        metrics: metrics.to_vec(),
        ..PolicyResult::default()
    };
    let played = [
        (Policy::Module, module),
        (Policy::Random, random),
        (Policy::ByKey, by_key),
    ];
    let all_knowing = (Policy::AllKnowing, result([1.0; 3]));
    let played = played
        .into_iter()
        .map(|(policy, metrics)| (policy, result(metrics)))
        .chain([all_knowing])
        .collect();
    Row {
        number,
        traits: vec!["jump".into()],
        played,
    }
}

#[test]
fn the_module_is_compared_with_the_best_policy_without_the_true_state() {
    let rows = [
        row(0, [0.9, 0.8, 0.85], [0.5; 3], [0.7, 0.6, 0.65]),
        row(1, [0.5, 0.6, 0.7], [0.9, 0.2, 0.4], [0.6, 0.7, 0.8]),
        row(2, [0.7, 0.2, 0.6], [0.1; 3], [0.5, 0.55, 0.5]),
    ];
    let comparison = rows[1]
        .compare_with_best()
        .expect("the module and a baseline policy were played");
    assert_eq!(comparison.best, Policy::ByKey);
    assert!(
        (comparison.difference + 0.1).abs() < 1e-12 && (comparison.interval[0] + 0.1).abs() < 1e-9
    );
    let s = summarise(&rows, 2);
    assert_eq!((s.ahead, s.behind, s.worst), ([1, 1], [2, 1], vec![1, 2]));
    assert_eq!(s.traits["jump"].0, 3);
    // Computed by hand: the differences 0.2, -0.35, 0.1 have the mean -0.0167 and the standard deviation 0.2930; times
    // 4.303 / sqrt(3) that is 0.728.
    let (mean, [low, high]) = paired_difference(&[0.7, 0.2, 0.6], &[0.5, 0.55, 0.5]);
    assert!(
        (mean + 1.0 / 60.0).abs() < 1e-9 && (high - low - 2.0 * 0.7279).abs() < 1e-3,
        "the interval is {low} to {high}"
    );
}
