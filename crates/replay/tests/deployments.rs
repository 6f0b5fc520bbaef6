//! The deployments that the survey draws.

use indigofold_replay::scenario;
use indigofold_replay::survey::draw::{deployment, traits};

#[test]
fn drawn_deployments_are_valid_scenarios_and_reproducible() {
    let mut drawn_traits = std::collections::BTreeSet::new();
    for n in 0..300 {
        let drawn = deployment(7, n);
        let text = serde_json::to_string(&drawn).expect("JSON");
        let read = scenario::read(&text).unwrap_or_else(|error| panic!("deployment {n}: {error}"));
        assert_eq!(text, serde_json::to_string(&read).expect("JSON"));
        assert_eq!(
            text,
            serde_json::to_string(&deployment(7, n)).expect("JSON")
        );
        drawn_traits.extend(traits(&drawn));
    }
    for name in [
        "hang",
        "release",
        "slow",
        "hot things",
        "pauses",
        "crash",
        "no trouble",
        "jump",
    ] {
        assert!(
            drawn_traits.contains(name),
            "no deployment has the trait {name:?}; drawn: {drawn_traits:?}"
        );
    }
    assert!(
        drawn_traits.contains("load under 0.55") && drawn_traits.contains("schedulers from 10 on"),
        "{drawn_traits:?}"
    );
}
