use super::*;

#[test]
fn every_drawn_deployment_is_a_scenario_and_the_same_each_time() {
    let mut seen = std::collections::BTreeSet::new();
    for n in 0..300 {
        let drawn = deployment(7, n);
        let text = serde_json::to_string(&drawn).expect("JSON");
        let read = crate::scenario::read(&text).unwrap_or_else(|wrong| panic!("{n}: {wrong}"));
        assert_eq!(text, serde_json::to_string(&read).expect("JSON"));
        assert_eq!(
            text,
            serde_json::to_string(&deployment(7, n)).expect("JSON")
        );
        seen.extend(traits(&drawn));
    }
    for word in [
        "hang",
        "release",
        "slow",
        "hot things",
        "pauses",
        "crash",
        "no trouble",
        "jump",
    ] {
        assert!(seen.contains(word), "{word} is never drawn: {seen:?}");
    }
    assert!(
        seen.contains("load under 0.55") && seen.contains("schedulers from 10 on"),
        "{seen:?}"
    );
}
