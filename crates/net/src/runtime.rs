//! The single-threaded runtime: starting it, tasks, timers.

use crate::error::{NetError, RuntimeSnafu};
use compio::runtime::{ResumeUnwind, Runtime};
use snafu::ResultExt;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Most passes over the ready tasks before sockets are polled again. A pass runs the tasks that were ready at its start.
const PASSES_MAX: usize = 16;

/// A task that ends when its handle is dropped; await it for its result.
pub type Task<T> = compio::runtime::JoinHandle<T>;

/// Runs `main` and the tasks that it spawns, until `main` ends.
///
/// The runtime's own loop asks the system for events once without waiting whenever a task has woken another one, and
/// again to wait. This one runs what is ready first and then waits, which halves the system calls of a request.
///
/// # Errors
///
/// [`NetError::Runtime`] if the poller cannot be set up.
///
/// # Panics
///
/// If `main` panics.
pub fn run<F: Future + 'static>(main: F) -> Result<F::Output, NetError> {
    let runtime = Runtime::new().context(RuntimeSnafu)?;
    let output = runtime.enter(|| {
        let waker = runtime.waker();
        let mut context = Context::from_waker(&waker);
        let mut main = pin!(runtime.spawn(main));
        loop {
            let busy = run_ready(&runtime);
            // Clears the flag that a wake-up came. One from another thread may have come since the tasks ran, so they
            // are run once more; one that comes from here on ends the wait below.
            let busy = if runtime.flush() {
                run_ready(&runtime)
            } else {
                busy
            };
            if let Poll::Ready(output) = main.as_mut().poll(&mut context) {
                return output;
            }
            if busy {
                runtime.poll_with(Some(Duration::ZERO));
            } else {
                runtime.poll();
            }
        }
    });
    // The only handle is here, so that the task has not been cancelled.
    Ok(output
        .resume_unwind()
        .expect("the main task is not cancelled"))
}

/// Runs the tasks that are ready. True if some still are, after [`PASSES_MAX`].
fn run_ready(runtime: &Runtime) -> bool {
    (0..PASSES_MAX).all(|_| runtime.run())
}

/// Starts a task that nobody waits for.
pub fn spawn<F: Future<Output = ()> + 'static>(task: F) {
    compio::runtime::spawn(task).detach();
}

/// Starts a task that ends with its handle.
pub fn spawn_scoped<F: Future + 'static>(task: F) -> Task<F::Output> {
    compio::runtime::spawn(task)
}

/// Waits for `duration`.
pub async fn sleep(duration: Duration) {
    compio::time::sleep(duration).await;
}

/// The result of `task`, or `None` if it takes longer than `duration`.
pub async fn timeout<F: Future>(duration: Duration, task: F) -> Option<F::Output> {
    compio::time::timeout(duration, task).await.ok()
}
