//! Who goes first, and who stays.

use super::*;

/// Guards against a flood of connections that ask once and stay: they go before a newcomer whose message is on
/// its way, and that one before any that is in use.
#[test]
fn the_least_missed_goes_first_and_within_a_rank_the_oldest() {
    let set = Set::new(64);
    let ranks = [
        Rank::Used,
        Rank::Fresh,
        Rank::Once,
        Rank::Part,
        Rank::Once,
        Rank::Silent,
    ];
    let offers = ranks.map(|rank| set.offer(rank, false));
    let mut gone: Vec<usize> = Vec::new();
    while set.shed() {
        let asked = |n: &usize| !gone.contains(n) && offers[*n].asked.len() == 1;
        gone.push((0..offers.len()).find(asked).expect("one was asked"));
    }
    assert_eq!(gone, [5, 3, 2, 4, 1, 0]);
    let _used = set.offer(Rank::Used, false);
    assert!(!set.shed_up_to(Rank::Part));
}

/// Guards against clients that keep idle connections and so keep others from connecting.
#[test]
fn idle_connections_are_thinned_out_before_clients_hold_their_third() {
    let set = Set::new(120);
    let seats: Vec<Seat> = (0..30).filter_map(|_| set.seat(Way::In)).collect();
    let _dialled: Vec<Seat> = (0..30).filter_map(|_| set.seat(Way::Out)).collect();
    let offers =
        [Rank::Fresh, Rank::Used, Rank::Used, Rank::Once].map(|rank| set.offer(rank, false));
    let asked = || offers.each_ref().map(|o| o.asked.len());
    let later = Instant::now() + SETTLED;
    set.thin_out(later);
    assert_eq!(
        (seats.len(), asked()),
        (30, [0; 4]),
        "30 of 40 are no reason"
    );
    let more = set.seat(Way::In);
    // Guards against a job that meets a close as it comes right behind the answer to the one before.
    set.thin_out(Instant::now());
    assert_eq!(asked(), [0; 4], "they have only just become idle");
    set.thin_out(later);
    set.thin_out(later);
    assert_eq!(asked(), [0, 1, 0, 1]);
    drop(more);
    set.thin_out(later);
    assert_eq!(asked(), [0, 1, 0, 1]);
}

/// Guards against a drain that closes the connections of news and probes, or one that a job may be on its way on.
#[test]
fn a_drain_asks_clients_that_have_stood_idle() {
    let set = Set::new(64);
    let offers = [false, true].map(|client| set.offer(Rank::Used, client));
    set.shed_clients(Duration::from_secs(60));
    assert_eq!(offers.each_ref().map(|o| o.asked.len()), [0, 0]);
    set.shed_clients(Duration::ZERO);
    assert_eq!(offers.each_ref().map(|o| o.asked.len()), [0, 1]);
}
