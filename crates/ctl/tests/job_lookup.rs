//! Tests of how `job` follows redirections to the head, over real sockets.

use indigofold_ctl::job::{REDIRECTIONS_MAX, find_job};
use indigofold_ctl::query::QueryError;
use indigofold_net::framed::{self, FrameListener};
use indigofold_net::runtime::{self, Task};
use indigofold_protocol::inspection::{InspectionAnswer, InspectionReply};
use indigofold_protocol::internal::{Frame, MemberAddress};
use indigofold_protocol::task::JobId;
use rstest::rstest;
use std::net::SocketAddr;

/// Serves as a member that answers each query with `answer`.
async fn serve(listener: FrameListener, answer: InspectionAnswer) {
    while let Ok(mut connection) = listener.accept().await {
        while let Ok(Some(frame)) = connection.reader.next().await {
            let Frame::Inspect(call) = frame else {
                continue;
            };
            let reply = InspectionReply {
                call: call.call,
                answer: answer.clone(),
            };
            let sent = connection.sender.send(&Frame::Inspected(reply));
            sent.expect("the client keeps the connection open until it has the answer");
        }
    }
}

/// Starts members of which each names the next one as the head. The last one is the acting head and knows no job.
/// Returns the first member's address and the tasks that serve.
async fn start_members(count: usize) -> (SocketAddr, Vec<Task<()>>) {
    let mut tasks = Vec::new();
    let mut answer = InspectionAnswer::Job(None);
    let mut first = SocketAddr::from(([127, 0, 0, 1], 0));
    for number in (0..count).rev() {
        let listener = framed::listen(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("loopback can be listened on");
        first = listener.local_address();
        tasks.push(runtime::spawn_scoped(serve(listener, answer)));
        answer = InspectionAnswer::NotHead {
            head: Some(MemberAddress {
                node_name: format!("core-{number}"),
                internal: first,
                control: first,
            }),
        };
    }
    (first, tasks)
}

#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::the_maximum(REDIRECTIONS_MAX)]
fn redirections_up_to_the_maximum_are_followed(#[case] redirections: usize) {
    let found = runtime::run(async move {
        let (first, _members) = start_members(redirections + 1).await;
        find_job(JobId(7), vec![first]).await
    });
    let found = found.expect("the runtime starts");
    assert_eq!(found.expect("the head has answered"), None);
}

#[test]
fn too_many_redirections_are_an_error_that_names_the_last_head() {
    let found = runtime::run(async {
        let (first, _members) = start_members(REDIRECTIONS_MAX + 2).await;
        find_job(JobId(7), vec![first]).await
    });
    let error = found
        .expect("the runtime starts")
        .expect_err("too many redirections");
    assert!(
        matches!(&error, QueryError::Redirected { heads } if heads.len() == 1),
        "{error}"
    );
    assert!(error.to_string().contains("try again"), "{error}");
}
