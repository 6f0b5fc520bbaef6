use super::*;

#[test]
fn the_store_slows_down_once_it_is_crowded() {
    let mut store = Store::new(2.0);
    assert_eq!(
        [0, 0, 0, 0].map(|at| store.begin(at, 100)),
        [100, 100, 150, 200]
    );
    assert_eq!(store.begin(100, 100), 150, "two are still under way");
    assert_eq!((store.begin(1_000, 100), store.fetches()), (100, 6));
}

#[test]
fn a_worker_keeps_what_was_used_last_and_waits_for_what_is_on_its_way() {
    let mut shelf = Shelf::new(Arc::new(Mutex::new(Store::new(10.0))), 2);
    assert_eq!((shelf.need(0, 1, 100), shelf.need(40, 1, 100)), (100, 60));
    assert_eq!((shelf.need(500, 2, 100), shelf.need(700, 1, 100)), (100, 0));
    assert_eq!(
        shelf.need(800, 3, 100),
        100,
        "in place of 2, which was used before 1"
    );
    assert!(shelf.has(1) && !shelf.has(2) && shelf.has(3));
    shelf.clear();
    assert_eq!(shelf.need(900, 1, 100), 100);
}
