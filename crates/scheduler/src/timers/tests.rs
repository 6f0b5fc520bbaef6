//! Tests of the periodic timer.

use super::*;

#[test]
fn a_period_begins_when_the_former_one_was_taken() {
    let mut timer = Periodic::new(100, 1_000);
    assert!(timer.take_due(1_000));
    assert!(!timer.take_due(1_099));
    assert!(timer.take_due(1_150));
    assert!(!timer.take_due(1_249));
    assert!(timer.take_due(1_250));
}
