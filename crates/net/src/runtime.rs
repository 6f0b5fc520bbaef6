//! The single-threaded runtime: its event loop, tasks and timers.

use crate::error::{NetError, RuntimeSnafu};
use compio::runtime::{ResumeUnwind, Runtime};
use snafu::ResultExt;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Maximum number of passes over the ready tasks before sockets are polled again. A pass runs the tasks that were ready
/// at its start.
const PASSES_MAX: usize = 16;

/// Handle of a task, which can be awaited for the result. Dropping the handle cancels the task.
pub type Task<T> = compio::runtime::JoinHandle<T>;

/// Runs `main` and the tasks that it spawns until `main` ends.
///
/// The library's own event loop polls the system twice whenever a task has woken another one: once without waiting, and
/// once to wait. This loop first runs all ready tasks and then waits, which halves the system calls of a request.
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
            // Clears the wake-up flag. If it was set, another thread may have woken a task since the tasks ran, so they
            // run once more. A wake-up from here on ends the wait below.
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
    // This function owns the only handle, so the task cannot have been cancelled.
    Ok(output
        .resume_unwind()
        .expect("the main task is not cancelled"))
}

/// Runs the ready tasks. Returns true if some are still ready after [`PASSES_MAX`] passes.
fn run_ready(runtime: &Runtime) -> bool {
    (0..PASSES_MAX).all(|_| runtime.run())
}

/// Starts a detached task, which runs until it ends.
pub fn spawn<F: Future<Output = ()> + 'static>(task: F) {
    compio::runtime::spawn(task).detach();
}

/// Starts a task that is cancelled when its handle is dropped.
pub fn spawn_scoped<F: Future + 'static>(task: F) -> Task<F::Output> {
    compio::runtime::spawn(task)
}

/// Waits for `duration`.
pub async fn sleep(duration: Duration) {
    compio::time::sleep(duration).await;
}

/// Waits for the result of `task`; `None` if the task takes longer than `duration` and is dropped.
pub async fn timeout<F: Future>(duration: Duration, task: F) -> Option<F::Output> {
    compio::time::timeout(duration, task).await.ok()
}
