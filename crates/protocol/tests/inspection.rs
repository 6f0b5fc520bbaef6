//! Tests of the JSON form of the answers that the command line tool prints.

use indigofold_protocol::inspection::WaitReason;
use rstest::rstest;
use serde_json::{Value, json};

#[rstest]
#[case(WaitReason::Dependency(vec![0, 2]), json!({"dependency": [0, 2]}))]
#[case(WaitReason::NoWorkers, json!("no_workers"))]
#[case(WaitReason::NoWorkerFits, json!("no_worker_fits"))]
#[case(
    WaitReason::InsufficientCapacity { fitting_tasks: 2, needed: 3 },
    json!({"no_room": {"places": 2, "needed": 3}})
)]
#[case(WaitReason::Deferred { fitting_tasks: 4 }, json!({"held_back": {"places": 4}}))]
fn wait_reasons_are_encoded_unchanged(#[case] wait: WaitReason, #[case] expected: Value) {
    let encoded = serde_json::to_value(&wait).expect("a reason has a JSON form");
    assert_eq!(encoded, expected);
    let decoded: WaitReason = serde_json::from_value(expected).expect("a valid reason");
    assert_eq!(decoded, wait);
}
