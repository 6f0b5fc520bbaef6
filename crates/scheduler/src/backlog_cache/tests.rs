//! Test of the age limit of estimates.

use super::*;

#[test]
fn an_estimate_is_valid_for_a_short_time() {
    let mut cache = BacklogCache::default();
    assert_eq!(cache.get(1_000), None);
    cache.set(700, 1_000);
    assert_eq!(cache.get(1_000 + BACKLOG_CACHE_MS - 1), Some(700));
    assert_eq!(cache.get(1_000 + BACKLOG_CACHE_MS), None);
}
