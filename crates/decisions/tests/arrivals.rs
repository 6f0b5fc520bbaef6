//! Estimators of what arrives.

use indigofold_decisions::arrivals::Arrivals;

#[test]
fn rates_and_shares_follow_what_arrives() {
    let mut a = Arrivals::new([0.5, 0.5].into_iter(), 0);
    // Ten a second for a minute, each 200 ms of work, every second one bound; all but the last of one tenant.
    for n in 1..=600 {
        a.count(n * 100_000, 200_000.0, n % 2 == 0, u32::from(n % 4 == 0));
    }
    assert!((a.per_s - 10.0).abs() < 0.2, "{}", a.per_s);
    assert!(
        (a.work - 2.0).abs() < 0.04 && (a.unbound - 1.0).abs() < 0.04,
        "{} {}",
        a.work,
        a.unbound
    );
    let shares = [0, 1, 2].map(|t| a.fraction(t));
    assert!((shares[0].unwrap() - 0.75).abs() < 0.02 && (shares[1].unwrap() - 0.25).abs() < 0.02);
    assert_eq!(shares[2], None);
    a.tenants([0.3, 0.3, 0.4].into_iter());
    assert_eq!((a.fraction(0), a.fraction(2)), (shares[0], Some(0.4)));
    // Nothing for a minute: nothing is left.
    a.count(120_000_000, 0.0, false, 9);
    assert!(a.work < 1e-4 && a.per_s < 0.21);
}
