//! Tests of the values of jobs and of cost classes.

use super::*;

#[test]
fn the_first_job_of_a_route_has_the_mean_value() {
    let mut values = QueueValues::default();
    assert_eq!(values.value("quick", 5_000.0), VALUE_BASE + VALUE_BY_WORK);
}

#[test]
fn value_is_limited_in_relation_to_the_mean() {
    let mut values = QueueValues::default();
    for _ in 0..100 {
        values.value("quick", 1.0);
    }
    assert_eq!(values.value("quick", 1e12), VALUE_MAX);
    assert_eq!(values.value("bulk", 1e12), VALUE_BASE + VALUE_BY_WORK);
}

#[test]
fn late_work_costs_one_class_more() {
    let in_time = cost_class(8_000.0, 1.0, Prospect::InTime);
    assert_eq!(cost_class(8_000.0, 1.0, Prospect::Late), in_time + 1);
    assert_eq!(cost_class(16_000.0, 1.0, Prospect::InTime), in_time + 1);
}

#[test]
fn without_work_there_is_no_cost() {
    assert_eq!(cost_class(0.0, 1.0, Prospect::InTime), i16::MIN);
    assert_eq!(cost_class(1.0, 0.0, Prospect::InTime), i16::MIN);
}
