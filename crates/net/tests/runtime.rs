//! Tests of the runtime's event loop: wake-ups are not lost, and timers are not delayed.

use futures_channel::mpsc;
use futures_util::StreamExt;
use indigofold_net::runtime;
use std::cell::Cell;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

/// Time limit that is reached only if a wake-up is lost.
const TIME_LIMIT: Duration = Duration::from_secs(60);

#[test]
fn wake_ups_from_another_thread_are_not_lost() {
    let (to_thread, mut from_runtime) = mpsc::unbounded::<u32>();
    let (to_runtime, mut from_thread) = mpsc::unbounded::<u32>();
    let thread = thread::spawn(move || {
        runtime::run(async move {
            while let Some(number) = from_runtime.next().await {
                to_runtime
                    .unbounded_send(number + 1)
                    .expect("the receiver is open");
            }
        })
    });
    let last = runtime::run(async move {
        let mut number = 0;
        while number < 20_000 {
            to_thread
                .unbounded_send(number)
                .expect("the receiver is open");
            number = runtime::timeout(TIME_LIMIT, from_thread.next())
                .await
                .expect("the reply is received in time")
                .expect("the channel is open");
        }
        number
    });
    assert_eq!(last.expect("the runtime starts"), 20_000);
    thread
        .join()
        .expect("the thread does not panic")
        .expect("the runtime starts");
}

/// Forwards each received message and counts it.
async fn forward(
    mut from: mpsc::UnboundedReceiver<()>,
    to: mpsc::UnboundedSender<()>,
    forwarded: Rc<Cell<u64>>,
) {
    while from.next().await.is_some() {
        forwarded.set(forwarded.get() + 1);
        to.unbounded_send(()).expect("the channel is open");
    }
}

#[test]
fn tasks_that_wake_each_other_do_not_delay_timers() {
    let forwarded = runtime::run(async {
        let forwarded = Rc::new(Cell::new(0_u64));
        let (to_first, from_second) = mpsc::unbounded::<()>();
        let (to_second, from_first) = mpsc::unbounded::<()>();
        to_first.unbounded_send(()).expect("the channel is open");
        runtime::spawn(forward(from_second, to_second, forwarded.clone()));
        runtime::spawn(forward(from_first, to_first, forwarded.clone()));
        runtime::sleep(Duration::from_millis(1)).await;
        forwarded.get()
    });
    assert!(forwarded.expect("the runtime starts") > 0);
}

#[test]
fn dropping_the_handle_cancels_a_task() {
    runtime::run(async {
        let (sender, mut receiver) = mpsc::unbounded::<()>();
        let task = runtime::spawn_scoped(async move {
            std::future::pending::<()>().await;
            drop(sender);
        });
        drop(task);
        assert_eq!(receiver.next().await, None);
    })
    .expect("the runtime starts");
}

#[test]
#[should_panic(expected = "panic of the main task")]
fn a_panic_of_the_main_task_is_propagated() {
    let _ = runtime::run(async { panic!("panic of the main task") });
}
