//! The client model: whether and when a client sends its next retry.

use indigofold_replay::client::{ClientResponse, next_retry};
use indigofold_replay::scenario::{Clients, Effect};

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn clients_retry_within_their_limit_and_deadline() {
    let clients = Clients {
        honour: 1.0,
        ..Clients::default()
    };
    let next = |effect, response, retry, until| {
        next_retry(&clients, effect, response, (1, 1), retry, 1000, until)
    };
    let keyed = Effect::Keyed(1);
    assert_eq!(next(keyed, ClientResponse::Served, 0, 9_000_000), None);
    assert_eq!(
        next(Effect::Unsafe, ClientResponse::Refused(0), 0, 9_000_000),
        Some(51_000)
    );
    assert_eq!(
        next(
            Effect::Unsafe,
            ClientResponse::Refused(700_000),
            0,
            9_000_000
        ),
        Some(701_000)
    );
    assert_eq!(
        next(
            Effect::Unsafe,
            ClientResponse::Refused(60_000_000),
            0,
            9_000_000
        ),
        Some(2_001_000)
    );
    assert_eq!(
        next(Effect::Unsafe, ClientResponse::Refused(700_000), 0, 600_000),
        None,
        "the deadline passes before the retry would be sent"
    );
    assert_eq!(
        next(Effect::Unsafe, ClientResponse::Refused(0), 3, 9_000_000),
        None
    );
    assert_eq!(
        next(Effect::Unsafe, ClientResponse::Failed, 0, 9_000_000),
        None
    );
    assert_eq!(
        next(keyed, ClientResponse::Failed, 0, 9_000_000),
        Some(51_000)
    );
}
