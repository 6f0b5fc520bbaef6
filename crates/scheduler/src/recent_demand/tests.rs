//! Tests of the times for which tasks count as recent.

use super::*;

#[test]
fn the_highest_recent_priority_counts() {
    let mut recent = RecentDemand::default();
    recent.observe_urgent(1, 1_000);
    recent.observe_urgent(2, 2_000);
    assert_eq!(recent.urgent_priority(3_000), Some(1));
    assert_eq!(recent.urgent_priority(1_000 + URGENT_RECENT_MS), None);
    recent.observe_urgent(2, 1_000 + URGENT_RECENT_MS);
    assert_eq!(recent.urgent_priority(1_000 + URGENT_RECENT_MS), Some(2));
}

#[test]
fn large_tasks_count_for_a_while() {
    let mut recent = RecentDemand::default();
    assert!(!recent.has_large_tasks(1_000));
    recent.observe_large_task(1_000);
    assert!(recent.has_large_tasks(1_000 + LARGE_TASK_RECENT_MS - 1));
    assert!(!recent.has_large_tasks(1_000 + LARGE_TASK_RECENT_MS));
}
