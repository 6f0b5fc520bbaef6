//! The edge: parsing of requests, calls to the head and to later heads, HTTP answers, and readiness.

use indigofold_data_plane::edge::{
    Answer, BegunCall, Body, CallEffect, CallLimits, Calls, ClientCallId, HEAD_LOSS_GRACE_MS,
    Method, NewCall, ParsedRequest, Readiness, liveness_probe, parse_request,
};
use indigofold_protocol::internal::{ClientOperation, ClientOutcome, ClientReply, Frame};
use indigofold_protocol::job::{JobSpec, JobState};
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;
const CLIENT_TIMEOUT_MS: u64 = 3_000;
const LIMITS: CallLimits = CallLimits {
    answer_margin_ms: 100,
    orphan_timeout_ms: 1_200,
    calls_max: 3,
};

fn calls() -> Calls {
    let mut calls = Calls::new(LIMITS);
    assert!(calls.handle_attached().is_empty());
    calls
}

fn begin(calls: &mut Calls, operation: ClientOperation) -> BegunCall {
    let call = NewCall {
        host: "host".to_owned(),
        path: "/queue/0000000000000007".to_owned(),
        request: ParsedRequest {
            operation,
            client_timeout_ms: CLIENT_TIMEOUT_MS,
        },
    };
    calls.begin(NOW_MS, call)
}

fn submit() -> ClientOperation {
    ClientOperation::Submit(JobSpec::default())
}

fn answer_of(effect: CallEffect) -> Answer {
    match effect {
        CallEffect::Answer(_, answer) => answer,
        CallEffect::Send(frame) => panic!("expected an answer, got {frame:?}"),
    }
}

fn reply(calls: &mut Calls, id: ClientCallId, outcome: ClientOutcome) -> Option<Answer> {
    calls
        .handle_reply(ClientReply {
            call: id.0,
            outcome,
        })
        .map(answer_of)
}

#[rstest]
#[case(ClientOutcome::Accepted, 200, None, "{}")]
#[case(ClientOutcome::Cancelled, 200, None, "{}")]
#[case(
    ClientOutcome::State(JobState::Running),
    200,
    None,
    r#"{"state":"running"}"#
)]
#[case(
    ClientOutcome::State(JobState::Cancelled),
    200,
    None,
    r#"{"state":"cancelled"}"#
)]
#[case(ClientOutcome::Pending(12), 200, None, r#"{"pending":12}"#)]
#[case(ClientOutcome::NoSuchJob, 410, None, r#"{"error":"no such job"}"#)]
#[case(
    ClientOutcome::UnknownRoute,
    404,
    None,
    r#"{"error":"no route leads there"}"#
)]
#[case(ClientOutcome::Invalid { reason: "a \"b\"".to_owned() }, 400, None, r#"{"error":"a \"b\""}"#)]
#[case(ClientOutcome::TooMany { retry_after_ms: 2_100 }, 429, Some(3), r#"{"error":"too many jobs wait"}"#)]
#[case(ClientOutcome::Unavailable { retry_after_ms: 0 }, 503, Some(1), r#"{"error":"the scheduler takes no calls yet"}"#)]
fn outcomes_map_to_http_answers(
    #[case] outcome: ClientOutcome,
    #[case] status: u16,
    #[case] retry: Option<u64>,
    #[case] body: &str,
) {
    let answer = Answer::from(outcome);
    assert_eq!(
        (answer.status, answer.retry_after_s, answer.json().as_str()),
        (status, retry, body)
    );
}

#[rstest]
#[case(None, 3_000)]
#[case(Some("1500"), 1_500)]
#[case(Some("0"), 3_000)]
#[case(Some("soon"), 3_000)]
fn the_deadline_header_sets_the_client_timeout(
    #[case] header: Option<&str>,
    #[case] client_timeout_ms: u64,
) {
    let parsed_request = parse_request(Method::Get, header, b"").expect("the request is valid");
    assert_eq!(
        (parsed_request.operation, parsed_request.client_timeout_ms),
        (ClientOperation::Get, client_timeout_ms)
    );
}

#[test]
fn a_valid_job_is_parsed_and_an_invalid_one_rejected() {
    let body = br#"{"spec":"text","stages":[{"count":4,"cpu":500,"mem_mb":256}]}"#;
    let parsed_request = parse_request(Method::Post, None, body).expect("the job is valid");
    assert!(
        matches!(parsed_request.operation, ClientOperation::Submit(job) if job.stages[0].count == 4)
    );
    assert_eq!(
        parse_request(Method::Post, None, b"{")
            .expect_err("an invalid job is rejected")
            .status,
        400
    );
    assert_eq!(
        parse_request(Method::Other, None, b"")
            .expect_err("another method is rejected")
            .status,
        405
    );
    let parsed_request = parse_request(Method::Delete, None, b"").expect("the request is valid");
    assert_eq!(parsed_request.operation, ClientOperation::Cancel);
}

#[test]
fn without_a_head_a_call_is_rejected_at_once() {
    let mut calls = Calls::new(LIMITS);
    let answer = answer_of(begin(&mut calls, submit()).effect);
    assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
    assert!(calls.is_empty());
}

#[test]
fn a_call_is_sent_and_its_reply_is_the_answer() {
    let mut calls = calls();
    let BegunCall { id, effect } = begin(&mut calls, submit());
    assert!(
        matches!(&effect, CallEffect::Send(frame) if matches!(&**frame, Frame::Call(sent) if sent.call == id.0))
    );
    assert_eq!(
        reply(&mut calls, id, ClientOutcome::Accepted),
        Some(Answer::success(Body::Empty))
    );
    assert_eq!(reply(&mut calls, id, ClientOutcome::Accepted), None);
}

#[test]
fn calls_beyond_the_limit_are_rejected() {
    let mut calls = calls();
    for _ in 0..LIMITS.calls_max {
        assert!(matches!(
            begin(&mut calls, submit()).effect,
            CallEffect::Send(_)
        ));
    }
    assert_eq!(answer_of(begin(&mut calls, submit()).effect).status, 503);
}

#[rstest]
#[case(submit(), 504)]
#[case(ClientOperation::Cancel, 504)]
#[case(ClientOperation::Get, 503)]
fn a_call_without_reply_times_out_before_its_client(
    #[case] operation: ClientOperation,
    #[case] status: u16,
) {
    let mut calls = calls();
    begin(&mut calls, operation);
    let deadline_ms = NOW_MS + CLIENT_TIMEOUT_MS - LIMITS.answer_margin_ms;
    assert_eq!(calls.next_timeout_ms(), Some(deadline_ms));
    assert!(calls.handle_timeout(deadline_ms - 1).is_empty());
    let effects = calls.handle_timeout(deadline_ms);
    assert_eq!(
        answer_of(effects.into_iter().next().expect("the call is answered")).status,
        status
    );
    assert!(calls.is_empty());
}

#[test]
fn an_orphaned_call_times_out_without_a_successor() {
    let mut calls = calls();
    begin(&mut calls, submit());
    calls.handle_detached(NOW_MS + 50);
    calls.handle_detached(NOW_MS + 500);
    assert_eq!(
        calls.next_timeout_ms(),
        Some(NOW_MS + 50 + LIMITS.orphan_timeout_ms)
    );
    let effects = calls.handle_timeout(NOW_MS + 50 + LIMITS.orphan_timeout_ms);
    assert_eq!(
        answer_of(effects.into_iter().next().expect("the call is answered")).status,
        504
    );
}

#[test]
fn a_call_is_resent_to_the_successor() {
    let mut calls = calls();
    let BegunCall { id, effect } = begin(&mut calls, submit());
    calls.handle_detached(NOW_MS + 50);
    assert_eq!(calls.handle_attached(), [effect]);
    assert_eq!(
        calls.next_timeout_ms(),
        Some(NOW_MS + CLIENT_TIMEOUT_MS - LIMITS.answer_margin_ms)
    );
    assert_eq!(
        reply(&mut calls, id, ClientOutcome::Accepted).map(|a| a.status),
        Some(200)
    );
}

#[rstest]
#[case(submit(), ClientOutcome::TooMany { retry_after_ms: 1 }, 504)]
#[case(submit(), ClientOutcome::Unavailable { retry_after_ms: 1 }, 504)]
#[case(submit(), ClientOutcome::UnknownRoute, 504)]
#[case(ClientOperation::Cancel, ClientOutcome::NoSuchJob, 410)]
#[case(ClientOperation::Get, ClientOutcome::Unavailable { retry_after_ms: 1 }, 503)]
fn rejection_of_a_resent_call_is_reported_as_unknown_outcome(
    #[case] operation: ClientOperation,
    #[case] outcome: ClientOutcome,
    #[case] status: u16,
) {
    let mut calls = calls();
    let id = begin(&mut calls, operation).id;
    calls.handle_detached(NOW_MS);
    calls.handle_attached();
    assert_eq!(
        reply(&mut calls, id, outcome).map(|answer| answer.status),
        Some(status)
    );
}

#[test]
fn an_abandoned_call_is_removed() {
    let mut calls = calls();
    let id = begin(&mut calls, submit()).id;
    calls.abandon(id);
    assert!(calls.is_empty());
    assert_eq!(reply(&mut calls, id, ClientOutcome::Accepted), None);
}

#[test]
fn the_edge_stays_ready_through_a_brief_loss_of_a_configured_head() {
    let mut readiness = Readiness::default();
    readiness.handle_head_status(NOW_MS, 0);
    assert!(!readiness.is_ready(NOW_MS));
    readiness.handle_head_status(NOW_MS, 5);
    readiness.handle_head_status(NOW_MS + 10, 0);
    assert!(readiness.is_ready(NOW_MS + HEAD_LOSS_GRACE_MS - 1));
    assert!(!readiness.is_ready(NOW_MS + HEAD_LOSS_GRACE_MS));
    readiness.handle_head_status(NOW_MS + HEAD_LOSS_GRACE_MS, 5);
    readiness.stop();
    assert!(!readiness.is_ready(NOW_MS + HEAD_LOSS_GRACE_MS));
}

#[test]
fn a_long_unresponsive_head_makes_the_edge_unready() {
    let mut readiness = Readiness::default();
    let owed_since_ms = NOW_MS + 300;
    for now_ms in [
        NOW_MS,
        owed_since_ms,
        owed_since_ms + HEAD_LOSS_GRACE_MS - 1,
    ] {
        readiness.handle_head_status(owed_since_ms.min(now_ms), 5);
        assert!(readiness.is_ready(now_ms));
    }
    readiness.handle_head_status(owed_since_ms, 5);
    assert!(!readiness.is_ready(owed_since_ms + HEAD_LOSS_GRACE_MS));
    readiness.handle_head_status(owed_since_ms + HEAD_LOSS_GRACE_MS + 9, 5);
    assert!(readiness.is_ready(owed_since_ms + HEAD_LOSS_GRACE_MS + 9));
}

#[test]
fn the_reply_to_a_liveness_probe_answers_no_call() {
    let mut calls = calls();
    let Frame::Call(probe) = liveness_probe() else {
        panic!("the liveness probe must be a call")
    };
    let id = begin(&mut calls, submit()).id;
    assert_ne!(probe.call, id.0);
    assert_eq!(
        reply(
            &mut calls,
            ClientCallId(probe.call),
            ClientOutcome::UnknownRoute
        ),
        None
    );
    assert!(!calls.is_empty());
}
