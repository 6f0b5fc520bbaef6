//! Invalid jobs are rejected with a reason that names the invalid field.

mod cluster;

use cluster::{Cluster, spec, step};
use indigofold_protocol::internal::ClientOutcome;
use indigofold_protocol::job::{JobSpec, Step};
use rstest::rstest;

#[rstest]
#[case::no_steps(spec(vec![]), "stages")]
#[case::no_tasks(spec(vec![step(0, 100, 100)]), "count")]
#[case::itself(spec(vec![Step { depends_on: vec![0], ..step(1, 100, 100) }]), "depends_on")]
#[case::later(spec(vec![step(1, 1, 1), Step { depends_on: vec![2], ..step(1, 1, 1) }, step(1, 1, 1)]), "depends_on")]
#[case::long(JobSpec { spec: "x".repeat(4_001), ..spec(vec![step(1, 1, 1)]) }, "spec")]
fn an_invalid_job_is_rejected(#[case] job: JobSpec, #[case] named_field: &str) {
    let mut cluster = Cluster::new(1);
    cluster.submit("quick", 1, job);
    let Some(ClientOutcome::Invalid { reason }) =
        cluster.replies.first().map(|reply| reply.outcome.clone())
    else {
        panic!("{:?}", cluster.replies);
    };
    assert!(reason.contains(named_field), "{reason}");
    cluster.run_for(1_000);
    let has_only_instance_rows = cluster.rows.keys().all(|key| key.starts_with(b"life/"));
    assert!(
        cluster.history.is_empty() && has_only_instance_rows,
        "a row or a run of the rejected job was found"
    );
}
