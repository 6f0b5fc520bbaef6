//! Tests of the estimators of arriving work and requests.

use indigofold_decisions::arrivals::Arrivals;

#[test]
fn rates_and_tenant_fractions_follow_the_arrivals() {
    let mut arrivals = Arrivals::new([0.5, 0.5].into_iter(), 0);
    // Ten requests a second for a minute, each with 200 ms of work. Every second one is bound to a kind, and every
    // fourth one belongs to tenant 1, the others to tenant 0.
    for n in 1..=600 {
        arrivals.count(n * 100_000, 200_000.0, n % 2 == 0, u32::from(n % 4 == 0));
    }
    assert!(
        (arrivals.latest().per_s - 10.0).abs() < 0.2,
        "{}",
        arrivals.latest().per_s
    );
    assert!(
        (arrivals.latest().work - 2.0).abs() < 0.04
            && (arrivals.latest().unbound - 1.0).abs() < 0.04,
        "{} {}",
        arrivals.latest().work,
        arrivals.latest().unbound
    );
    let fractions = [0, 1, 2].map(|tenant| arrivals.fraction(tenant));
    assert!(
        fractions[0].is_some_and(|fraction| (fraction - 0.75).abs() < 0.02)
            && fractions[1].is_some_and(|fraction| (fraction - 0.25).abs() < 0.02)
    );
    assert_eq!(fractions[2], None);
    arrivals.add_tenants([0.3, 0.3, 0.4].into_iter());
    assert_eq!(
        (arrivals.fraction(0), arrivals.fraction(2)),
        (fractions[0], Some(0.4))
    );
    // After a minute without arrivals, the old rates have decayed to nothing.
    arrivals.count(120_000_000, 0.0, false, 9);
    assert!(arrivals.latest().work < 1e-4 && arrivals.latest().per_s < 0.21);
}
