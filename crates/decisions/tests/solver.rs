//! Tests of the solver of problem (1) of hybrid SQ(d) (Van Spilbeeck and Van Houdt), which gives the probabilities by
//! which kinds are drawn.

use indigofold_decisions::dispatcher::solve;

/// The objective of problem (1) for the draw probabilities `p`; infinite if a kind is overloaded.
fn mean_queue_length(
    p: &[f64],
    capacity_fraction: &[f64],
    speed: &[f64],
    load: f64,
    d: f64,
) -> f64 {
    let total: f64 = capacity_fraction.iter().sum();
    let mean: f64 = capacity_fraction
        .iter()
        .zip(speed)
        .map(|(g, m)| g / total * m)
        .sum();
    let mut sum = 0.0;
    for k in 0..p.len() {
        let rho = load * p[k] / (capacity_fraction[k] / total * speed[k] / mean);
        if rho >= 1.0 {
            return f64::INFINITY;
        }
        if d == 1.0 {
            sum += capacity_fraction[k] / total * rho / (1.0 - rho);
            continue;
        }
        let (mut exponent, mut term) = (1.0f64, rho);
        while term > 1e-14 && exponent < 1e9 {
            sum += capacity_fraction[k] / total * term;
            exponent = exponent * d + 1.0;
            term = rho.powf(exponent);
        }
    }
    sum
}

#[test]
fn optimum_matches_brute_force() {
    for (capacity_fraction, speed) in [
        ([2.0, 3.0, 3.0], [2.0, 1.2, 0.8]),
        ([1.0, 1.0, 6.0], [1.5, 1.4, 0.4]),
    ] {
        for load in [0.15, 0.5, 0.8, 0.93] {
            for d in [1u32, 2, 3, 5] {
                let p = solve(&capacity_fraction, &speed, load, d);
                let found = mean_queue_length(&p, &capacity_fraction, &speed, load, f64::from(d));
                let mut best = f64::INFINITY;
                for i in 0..=200 {
                    for j in 0..=200 - i {
                        let q = [
                            i as f64 / 200.0,
                            j as f64 / 200.0,
                            (200 - i - j) as f64 / 200.0,
                        ];
                        best = best.min(mean_queue_length(
                            &q,
                            &capacity_fraction,
                            &speed,
                            load,
                            f64::from(d),
                        ));
                    }
                }
                assert!(
                    found <= best * 1.0005,
                    "load {load} d {d}: {found} against {best}, p {p:?}"
                );
            }
        }
    }
}

#[test]
fn optimum_for_one_sampled_worker_matches_the_closed_form() {
    // d = 1 is random routing to M/M/1 queues. There mu_k - lambda_k is proportional to sqrt(mu_k) for the kinds in
    // use.
    let (capacity_fraction, speed, load) = ([0.5, 0.5], [1.5, 0.5], 0.6);
    let p = solve(&capacity_fraction, &speed, load, 1);
    let roots: f64 = (0..2)
        .map(|k: usize| capacity_fraction[k] * f64::sqrt(speed[k]))
        .sum();
    for k in 0..2 {
        let flow = capacity_fraction[k] * (speed[k] - speed[k].sqrt() * (1.0 - load) / roots);
        assert!((p[k] - flow / load).abs() < 1e-6, "{p:?}");
    }
}

#[test]
fn zero_full_and_unknown_load_give_defined_probabilities() {
    let is_close = |a: f64, b: f64| (a - b).abs() < 1e-9;
    // At a very low load only the fastest kind is used. At full or unknown load, kinds are used by capacity.
    let p = solve(&[1.0, 1.0], &[3.0, 1.0], 0.0, 2);
    assert!(p[0] > 0.999, "{p:?}");
    for load in [1.0, 5.0, f64::NAN, f64::INFINITY] {
        let p = solve(&[1.0, 1.0], &[3.0, 1.0], load, 2);
        assert!((p[0] - 0.75).abs() < 0.02, "{load}: {p:?}");
    }
    assert!(is_close(solve(&[2.0], &[0.7], 0.5, 3)[0], 1.0));
    let p = solve(&[0.0, 2.0], &[9.0, 1.0], 0.5, 3);
    assert!(is_close(p[0], 0.0) && is_close(p[1], 1.0));
    assert_eq!(solve(&[0.0, 0.0], &[1.0, 1.0], 0.5, 3), vec![0.0, 0.0]);
    assert!(solve(&[], &[], 0.5, 3).is_empty());
}

#[test]
fn probabilities_sum_to_one_and_favour_faster_kinds() {
    for i in 1..50 {
        for d in [1u32, 2, 4] {
            let p = solve(&[2.0, 3.0, 3.0], &[2.0, 1.2, 0.8], i as f64 / 50.0, d);
            assert!((p.iter().sum::<f64>() - 1.0).abs() < 1e-9);
            // A slot of a faster kind gets at least as much work as a slot of a slower kind.
            assert!(
                p[0] / 2.0 >= p[1] / 3.0 - 1e-6 && p[1] >= p[2] - 1e-6,
                "{p:?}"
            );
        }
    }
}
