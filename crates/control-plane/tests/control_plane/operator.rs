//! Tests of the HTTP form of the operator's requests and responses.

use indigofold_control_plane::config_authority::{ChangeResponse, ConfigMethod};
use indigofold_control_plane::operator::{
    OperatorRequest, OperatorResponse, parse_request, write_response,
};
use indigofold_net::http::{HeaderMap, HttpConnectionId, HttpRequest, Method, header};
use rstest::rstest;
use std::net::SocketAddr;

fn request(method: Method, path: &str) -> HttpRequest {
    let mut headers = HeaderMap::new();
    headers.insert(header::IF_MATCH, "5".parse().expect("a valid header value"));
    let peer = SocketAddr::from(([10, 0, 0, 1], 40_000));
    HttpRequest {
        method,
        path: path.to_owned(),
        host: String::new(),
        headers,
        body: b"{}".to_vec(),
        peer,
        connection: HttpConnectionId(0),
    }
}

#[rstest]
#[case(Method::PUT, ConfigMethod::Put)]
#[case(Method::PATCH, ConfigMethod::Patch)]
fn parses_changes(#[case] method: Method, #[case] expected: ConfigMethod) {
    let parsed = parse_request(request(method, "/config"));
    let Ok(OperatorRequest::Change(change)) = parsed else {
        panic!("expected a change, got {parsed:?}")
    };
    assert_eq!(
        (
            change.method,
            change.if_match.as_deref(),
            change.body.as_slice()
        ),
        (expected, Some("5"), b"{}".as_slice())
    );
}

#[test]
fn parses_reads() {
    assert!(matches!(
        parse_request(request(Method::GET, "/config")),
        Ok(OperatorRequest::Read)
    ));
}

#[rstest]
#[case(Method::GET, "/other", 404)]
#[case(Method::DELETE, "/config", 405)]
fn other_requests_get_an_error_response(
    #[case] method: Method,
    #[case] path: &str,
    #[case] status: u16,
) {
    assert_eq!(
        parse_request(request(method, path))
            .expect_err("the API does not serve the request")
            .status,
        status
    );
}

#[rstest]
#[case(OperatorResponse::Change(ChangeResponse::Accepted { version: 7 }), 200)]
#[case(OperatorResponse::Change(ChangeResponse::Invalid { reason: "x".to_owned() }), 400)]
#[case(OperatorResponse::Change(ChangeResponse::VersionConflict { current: 7 }), 412)]
#[case(OperatorResponse::Change(ChangeResponse::Undetermined), 503)]
#[case(OperatorResponse::NoConfig, 503)]
#[case(OperatorResponse::NoHead, 503)]
fn responses_have_their_status(#[case] response: OperatorResponse, #[case] status: u16) {
    assert_eq!(write_response(response).status, status);
}

#[test]
fn configuration_is_sent_verbatim() {
    let response = write_response(OperatorResponse::Config(b"{\"version\": 7}".to_vec()));
    assert_eq!(
        (response.status, response.body.as_slice()),
        (200, b"{\"version\": 7}".as_slice())
    );
}

#[test]
fn follower_redirects_to_the_head() {
    let head = SocketAddr::from(([10, 0, 0, 4], 8080));
    let response = write_response(OperatorResponse::RedirectToHead(head));
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
fn reason_with_quotes_is_escaped() {
    let reason = "`a\"b\\c`\n".to_owned();
    let response = write_response(OperatorResponse::Change(ChangeResponse::Invalid { reason }));
    assert_eq!(response.body, br#"{"error":"`a\"b\\c` "}"#);
}
