//! Jobs of all kinds are submitted while machines, workers and the core are killed, frozen and restarted in an order
//! that is derived from a seed. At the end all accepted jobs must have ended, and no rule may be broken.

mod chaos_support;

use chaos_support::run_seed;
use indigofold_system_tests::programs;
use rstest::rstest;

/// Environment variable with the seeds of [`run_seeds_of_variable`], as `FIRST..LAST`; LAST is excluded.
const SEEDS_VARIABLE: &str = "CHAOS_SEEDS";

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
fn accepted_jobs_end_and_no_rule_is_broken_under_faults(#[case] seed: u64) {
    run_seed(programs!(), seed);
}

/// Runs a range of seeds, for more coverage than the regular suite has time for:
/// `CHAOS_SEEDS=100..140 cargo test --test chaos -- --ignored --nocapture`.
#[rstest]
#[ignore = "takes as long as its seeds do"]
fn run_seeds_of_variable() {
    let seeds =
        std::env::var(SEEDS_VARIABLE).expect("CHAOS_SEEDS should hold the seeds as FIRST..LAST");
    let (first, last) = seeds
        .split_once("..")
        .expect("CHAOS_SEEDS should hold the seeds as FIRST..LAST");
    for seed in first
        .parse::<u64>()
        .expect("FIRST and LAST of CHAOS_SEEDS should be numbers")
        ..last
            .parse()
            .expect("FIRST and LAST of CHAOS_SEEDS should be numbers")
    {
        eprintln!("seed {seed}");
        run_seed(programs!(), seed);
    }
}
