//! Property test of the rules that every decision must obey: a dispatcher handles random legal events, and a checker
//! that shares no code with the decision module checks its actions.

mod checker;
mod steps;

use checker::Checker;
use indigofold_decisions::api::*;
use indigofold_decisions_testing::*;
use proptest::prelude::*;
use steps::step;

fn any_optional_rules() -> impl Strategy<Value = (Option<RetryBudget>, Option<Time>, bool)> {
    let window = prop_oneof![Just(None), (SEC..10 * SEC).prop_map(Some)];
    let budget = (0.0..4.0, 0.0..0.5, window);
    let budget = budget.prop_map(|(free, ratio, window)| RetryBudget {
        free,
        ratio,
        window,
    });
    (
        prop::option::of(budget),
        prop::option::of(0..SEC),
        any::<bool>(),
    )
}

fn any_settings() -> impl Strategy<Value = Settings> {
    (
        0u32..6,
        any::<bool>(),
        any::<bool>(),
        0u32..5,
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(
            |(dispatchers, duplicates, cancel, attempts, pushed, priced)| {
                let mut s = settings();
                // No dispatcher, a few, or more than there are workers; with different load reports, and with and
                // without peer updates, tenants and prices.
                s.dispatchers = if dispatchers == 5 { 60 } else { dispatchers };
                s.dispatcher_index = dispatchers;
                s.reports = if pushed {
                    Reports::OnProbe
                } else {
                    Reports::WithResults
                };
                s.limits.peers = priced;
                s.tenants = vec![
                    Tenant {
                        quota_per_s: 0.0,
                        fraction: 0.0
                    };
                    usize::from(priced)
                ];
                s.membership_pushed = pushed;
                s.charges.cross_zone = if priced { 0.1 } else { 0.0 };
                s.classes[0].late_value = if priced { 0.0 } else { 0.3 };
                (s.limits.duplicates, s.limits.cancel, s.limits.attempts) =
                    (duplicates, cancel, attempts);
                s
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn rules_are_kept_for_random_event_sequences(settings in any_settings(), optional_rules in any_optional_rules(), steps in prop::collection::vec(step(), 1..200)) {
        let mut settings = settings;
        (settings.rules.retry_budget, settings.rules.close_idle_within, settings.rules.full_may_have_run) = optional_rules;
        let mut checker = Checker::new(settings);
        checker.check();
        for step in steps {
            checker.run(step);
        }
        checker.finish();
    }
}
