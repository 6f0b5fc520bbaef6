//! Compiles and runs the `in_process` example, which the README shows.

#[path = "../examples/in_process.rs"]
mod in_process;

#[test]
fn the_example_sends_each_request_and_retries_the_failed_one_on_another_worker() {
    let sent = in_process::run();
    in_process::main();
    let requests: Vec<_> = sent.iter().map(|s| s.0).collect();
    assert_eq!(requests, [1, 2, 2]);
    assert_ne!(
        sent[1].1, sent[2].1,
        "the retry of a failed attempt must go to another worker"
    );
}
