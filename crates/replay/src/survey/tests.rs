use super::*;

fn row(number: u64, module: [f64; 3], random: [f64; 3], by_key: [f64; 3]) -> Row {
    let of = |metrics: [f64; 3]| Played {
        metrics: metrics.to_vec(),
        ..Played::default()
    };
    let played = [
        (Policy::Module, module),
        (Policy::Random, random),
        (Policy::ByKey, by_key),
    ];
    let knows = (Policy::AllKnowing, of([1.0; 3]));
    let played = played
        .into_iter()
        .map(|(p, f)| (p, of(f)))
        .chain([knows])
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
    let against = rows[1]
        .against()
        .expect("the module and a baseline policy were played");
    assert_eq!(against.best, Policy::ByKey);
    assert!((against.by + 0.1).abs() < 1e-12 && (against.interval[0] + 0.1).abs() < 1e-9);
    let s = summary(&rows, 2);
    assert_eq!((s.ahead, s.behind, s.worst), ([1, 1], [2, 1], vec![1, 2]));
    assert_eq!(s.traits["jump"].0, 3);
    // Computed by hand: the differences 0.2, -0.35, 0.1 have the mean -0.0167 and the standard deviation 0.2930; times
    // 4.303 / sqrt(3) that is 0.728.
    let (mean, [low, high]) = paired(&[0.7, 0.2, 0.6], &[0.5, 0.55, 0.5]);
    assert!(
        (mean + 1.0 / 60.0).abs() < 1e-9 && (high - low - 2.0 * 0.7279).abs() < 1e-3,
        "the interval is {low} to {high}"
    );
}
