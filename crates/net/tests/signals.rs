//! Test of signal handling, with signals that the process sends to itself.

use indigofold_net::runtime;
use indigofold_net::signals::{Signal, Signals};
use rustix::process::{Signal as Number, getpid, kill_process};

#[test]
fn signals_are_received_in_order() {
    runtime::run(async {
        let mut signals = Signals::register().expect("the signal handlers are installed");
        kill_process(getpid(), Number::HUP).expect("the process may signal itself");
        assert_eq!(signals.next().await, Signal::Reload);
        let waiting = runtime::spawn_scoped(async move { signals.next().await });
        kill_process(getpid(), Number::TERM).expect("the process may signal itself");
        assert_eq!(
            waiting.await.expect("the task does not panic"),
            Signal::Terminate
        );
    })
    .expect("the runtime starts");
}
