//! The object store, and the object caches of workers.

use indigofold_replay::object_store::{ObjectCache, ObjectStore};
use std::sync::{Arc, Mutex};

#[test]
fn fetches_beyond_the_concurrency_take_longer() {
    let mut store = ObjectStore::new(2.0);
    assert_eq!(
        [0, 0, 0, 0].map(|at| store.begin_fetch(at, 100)),
        [100, 100, 150, 200]
    );
    assert_eq!(
        store.begin_fetch(100, 100),
        150,
        "two fetches are still in progress"
    );
    assert_eq!((store.begin_fetch(1_000, 100), store.fetches()), (100, 6));
}

#[test]
fn the_cache_evicts_the_least_recently_used_and_waits_for_fetches_in_flight() {
    let mut cache = ObjectCache::new(Arc::new(Mutex::new(ObjectStore::new(10.0))), 2);
    assert_eq!(
        (cache.access(0, 1, 100), cache.access(40, 1, 100)),
        (100, 60)
    );
    assert_eq!(
        (cache.access(500, 2, 100), cache.access(700, 1, 100)),
        (100, 0)
    );
    assert_eq!(
        cache.access(800, 3, 100),
        100,
        "object 3 replaces object 2, the least recently used"
    );
    assert!(cache.contains(1) && !cache.contains(2) && cache.contains(3));
    cache.clear();
    assert_eq!(cache.access(900, 1, 100), 100);
}
