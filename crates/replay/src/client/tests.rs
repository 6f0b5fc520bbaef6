use super::*;

#[test]
fn clients_retry_as_often_and_as_late_as_they_may() {
    let clients = Clients {
        honour: 1.0,
        ..Clients::default()
    };
    let next =
        |effect, said, tried, until| again(&clients, effect, said, (1, 1), tried, 1000, until);
    let keyed = Effect::Keyed(1);
    assert_eq!(next(keyed, Said::Served, 0, 9_000_000), None);
    assert_eq!(
        next(Effect::Unsafe, Said::Refused(0), 0, 9_000_000),
        Some(51_000)
    );
    assert_eq!(
        next(Effect::Unsafe, Said::Refused(700_000), 0, 9_000_000),
        Some(701_000)
    );
    assert_eq!(
        next(Effect::Unsafe, Said::Refused(60_000_000), 0, 9_000_000),
        Some(2_001_000)
    );
    assert_eq!(
        next(Effect::Unsafe, Said::Refused(700_000), 0, 600_000),
        None,
        "its time is up before"
    );
    assert_eq!(next(Effect::Unsafe, Said::Refused(0), 3, 9_000_000), None);
    assert_eq!(next(Effect::Unsafe, Said::Failed, 0, 9_000_000), None);
    assert_eq!(next(keyed, Said::Failed, 0, 9_000_000), Some(51_000));
}
