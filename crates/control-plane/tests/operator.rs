//! The operator's calls as HTTP requests and responses.

use indigofold_control_plane::config_authority::{Answer, OrderKind};
use indigofold_control_plane::operator::{OperatorAnswer, OperatorCall, read_call, write_answer};
use indigofold_net::http::{HeaderMap, HttpRequest, Method, header};
use rstest::rstest;
use std::net::SocketAddr;

fn request(method: Method, path: &str) -> HttpRequest {
    let mut headers = HeaderMap::new();
    headers.insert(header::IF_MATCH, "5".parse().expect("a header's value"));
    let peer = SocketAddr::from(([10, 0, 0, 1], 40_000));
    HttpRequest {
        method,
        path: path.to_owned(),
        host: String::new(),
        headers,
        body: b"{}".to_vec(),
        peer,
    }
}

#[rstest]
#[case(Method::PUT, OrderKind::Put)]
#[case(Method::PATCH, OrderKind::Patch)]
fn orders_are_read(#[case] method: Method, #[case] kind: OrderKind) {
    let call = read_call(request(method, "/config"));
    let Ok(OperatorCall::Change(order)) = call else {
        panic!("{call:?}")
    };
    assert_eq!(
        (order.kind, order.if_match.as_deref(), order.body.as_slice()),
        (kind, Some("5"), b"{}".as_slice())
    );
}

#[test]
fn reading_is_read() {
    assert!(matches!(
        read_call(request(Method::GET, "/config")),
        Ok(OperatorCall::Read)
    ));
}

#[rstest]
#[case(Method::GET, "/other", 404)]
#[case(Method::DELETE, "/config", 405)]
fn other_calls_are_answered_at_once(
    #[case] method: Method,
    #[case] path: &str,
    #[case] status: u16,
) {
    assert_eq!(
        read_call(request(method, path))
            .expect_err("no call of the operator")
            .status,
        status
    );
}

#[rstest]
#[case(OperatorAnswer::Order(Answer::Taken { version: 7 }), 200)]
#[case(OperatorAnswer::Order(Answer::Invalid { reason: "x".to_owned() }), 400)]
#[case(OperatorAnswer::Order(Answer::OtherVersion { current: 7 }), 412)]
#[case(OperatorAnswer::Order(Answer::Unclear), 503)]
#[case(OperatorAnswer::NoConfig, 503)]
#[case(OperatorAnswer::NoHead, 503)]
fn answers_have_their_status(#[case] answer: OperatorAnswer, #[case] status: u16) {
    assert_eq!(write_answer(answer).status, status);
}

#[test]
fn the_configuration_goes_out_as_it_is() {
    let response = write_answer(OperatorAnswer::Config(b"{\"version\": 7}".to_vec()));
    assert_eq!(
        (response.status, response.body.as_slice()),
        (200, b"{\"version\": 7}".as_slice())
    );
}

#[test]
fn a_member_that_is_not_the_head_names_it() {
    let head = SocketAddr::from(([10, 0, 0, 4], 8080));
    let response = write_answer(OperatorAnswer::AskHead(head));
    let location = response
        .headers
        .iter()
        .find(|(name, _)| *name == header::LOCATION);
    let location = location.and_then(|(_, value)| value.to_str().ok());
    assert_eq!(
        (response.status, location),
        (307, Some("http://10.0.0.4:8080/config"))
    );
}

#[test]
fn a_reason_with_quotes_stays_json() {
    let reason = "`a\"b\\c`\n".to_owned();
    let response = write_answer(OperatorAnswer::Order(Answer::Invalid { reason }));
    assert_eq!(response.body, br#"{"error":"`a\"b\\c` "}"#);
}
