//! Tests of the eviction order.

use super::*;

/// Guards against a flood of connections that send one request and stay open: they are evicted before a new connection whose
/// message is on its way, and that one before any connection in use.
#[test]
fn the_lowest_rank_is_evicted_first_and_within_a_rank_the_oldest() {
    let set = Set::new(64);
    let ranks = [
        Rank::Used,
        Rank::Fresh,
        Rank::AnsweredOnce,
        Rank::PartialMessage,
        Rank::AnsweredOnce,
        Rank::NothingSent,
    ];
    let offers = ranks.map(|rank| set.register_evictable(rank, false));
    let mut evicted_order: Vec<usize> = Vec::new();
    while set.evict_one() {
        let evicted = |n: &usize| !evicted_order.contains(n) && offers[*n].evicted.len() == 1;
        evicted_order.push(
            (0..offers.len())
                .find(evicted)
                .expect("evict_one returned true, so one connection must be notified"),
        );
    }
    assert_eq!(evicted_order, [5, 3, 2, 4, 1, 0]);
    let _used = set.register_evictable(Rank::Used, false);
    assert!(!set.evict_up_to(Rank::PartialMessage));
}

/// Guards against clients whose idle connections keep other clients from connecting.
#[test]
fn idle_connections_are_evicted_before_clients_reach_their_limit() {
    let set = Set::new(120);
    let permits: Vec<ConnectionPermit> = (0..30)
        .filter_map(|_| set.reserve(Direction::Inbound))
        .collect();
    let _dialled: Vec<ConnectionPermit> = (0..30)
        .filter_map(|_| set.reserve(Direction::Outbound))
        .collect();
    let offers = [Rank::Fresh, Rank::Used, Rank::Used, Rank::AnsweredOnce]
        .map(|rank| set.register_evictable(rank, false));
    let evicted = || offers.each_ref().map(|o| o.evicted.len());
    let later = Instant::now() + IDLE_BEFORE_EVICTION;
    set.evict_if_crowded(later);
    assert_eq!(
        (permits.len(), evicted()),
        (30, [0; 4]),
        "30 of 40 connections must not cause an eviction"
    );
    let more = set.reserve(Direction::Inbound);
    // Guards against a job that is lost because the connection is closed right after the answer to the previous job.
    set.evict_if_crowded(Instant::now());
    assert_eq!(
        evicted(),
        [0; 4],
        "connections that have just become idle must stay"
    );
    set.evict_if_crowded(later);
    set.evict_if_crowded(later);
    assert_eq!(evicted(), [0, 1, 0, 1]);
    drop(more);
    set.evict_if_crowded(later);
    assert_eq!(evicted(), [0, 1, 0, 1]);
}

/// Guards against a drain that closes connections for reports and probes, or one on which a job may be on its way.
#[test]
fn a_drain_evicts_idle_clients() {
    let set = Set::new(64);
    let offers = [false, true].map(|client| set.register_evictable(Rank::Used, client));
    set.evict_idle_clients(Duration::from_secs(60));
    assert_eq!(offers.each_ref().map(|o| o.evicted.len()), [0, 0]);
    set.evict_idle_clients(Duration::ZERO);
    assert_eq!(offers.each_ref().map(|o| o.evicted.len()), [0, 1]);
}
