//! The admin endpoint: a separate listener with one request and one answer per connection. It shares neither descriptors
//! nor buffers with the fronts, so that load on the fronts does not delay its answers.

use crate::dispatcher::WorkerCounts;
use crate::front::Lifecycle;
use crate::net::{Net, log};
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use indigofold_core::metrics::Metrics;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of concurrent calls, for which descriptors are reserved. A further call makes the oldest one that is
/// still being read fail.
const MAX_CALLS: usize = 16;
/// Maximum length of a request, including the line end.
const MAX_CALL_BYTES: usize = 128;
/// A request must be complete within this time, and its answer must be written within the same time again.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// After the answer, the connection is closed when the caller has closed its side or this time has passed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// While the process is drained, idle connections of clients stay open for this long: until then the load balancer may not
/// have seen that the scheduler is not ready, and still sends jobs on them.
const KEEP_IDLE_AFTER_DRAIN: Duration = Duration::from_millis(1_000);
/// After that, connections that have been idle for this long are closed: on others a job may be on its way.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(300);
/// From this long after the start of the drain, all idle connections of clients are closed.
const CLOSE_ALL_IDLE_AFTER: Duration = Duration::from_millis(2_500);
/// Interval between two checks for idle connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The state that the admin endpoint reports and changes.
pub struct AdminEndpoint {
    /// Runs the endpoint's tasks and holds the set of connections that a drain closes.
    pub net: Net,
    /// The program's lifecycle, in which `standby` and `active` set and clear the drained state.
    pub lifecycle: Rc<Lifecycle>,
    /// The metrics that `stats` shows.
    pub metrics: Rc<Metrics>,
    /// Returns true if this process accepts clients' jobs; `status` reports it.
    pub serves: Box<dyn Fn() -> bool>,
    /// Returns the names of the classes, in the order of their ids.
    pub classes: Box<dyn Fn() -> Vec<String>>,
    /// The task that closes idle connections while the program is drained.
    pub draining: RefCell<Option<Task<()>>>,
}

/// The error sent for a call that is rejected in favour of a newer one.
const TOO_MANY_CALLS: &str = "too many calls";

/// Accepts calls for as long as the program runs.
pub async fn listen(admin: Rc<AdminEndpoint>, listener: Async<TcpListener>) {
    let waiting: Rc<RefCell<VecDeque<async_channel::Sender<()>>>> = Rc::default();
    let open = Rc::new(Cell::new(0));
    loop {
        // No call is rejected before a new one is waiting.
        let _ = listener.readable().await;
        if open.get() >= MAX_CALLS {
            let oldest = waiting.borrow_mut().pop_front();
            oldest.inspect(|oldest| _ = oldest.try_send(()));
            Timer::after(Duration::from_millis(1)).await;
            continue;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log(format_args!("door accept failed: {error}"));
                Timer::after(Duration::from_millis(5)).await;
                continue;
            }
        };
        open.set(open.get() + 1);
        let (reject, rejected) = async_channel::bounded(1);
        waiting.borrow_mut().push_back(reject.clone());
        let (admin, waiting, open) = (admin.clone(), waiting.clone(), open.clone());
        admin.net.clone().spawn(async move {
            let request = read_call(&stream, rejected).await;
            waiting.borrow_mut().retain(|w| !w.same_channel(&reject));
            answer_call(&admin, &stream, request).await;
            open.set(open.get() - 1);
        });
    }
}

/// Reads a request; fails with the text of the answer. Reading stops when the call is rejected in favour of a newer one.
async fn read_call(
    stream: &Async<TcpStream>,
    rejected: async_channel::Receiver<()>,
) -> Result<([u8; MAX_CALL_BYTES], usize), &'static str> {
    let rejection = async {
        let _ = rejected.recv().await;
        Err(TOO_MANY_CALLS)
    };
    read_line(stream).or(rejection).await
}

/// Answers a call. A call that was rejected frees its descriptor at once after the answer.
async fn answer_call(
    admin: &Rc<AdminEndpoint>,
    mut stream: &Async<TcpStream>,
    request: Result<([u8; MAX_CALL_BYTES], usize), &'static str>,
) {
    let text = match &request {
        Ok((bytes, length)) => admin.execute(&bytes[..*length]),
        Err(why) => format!("fail {why}\n"),
    };
    let written = async { stream.write_all(text.as_bytes()).await.is_ok() };
    let stalled = async {
        Timer::after(CALL_TIMEOUT).await;
        false
    };
    if written.or(stalled).await && !matches!(request, Err(TOO_MANY_CALLS)) {
        finish_write(stream).await;
    }
}

/// Reads one line within [`CALL_TIMEOUT`]; returns the buffer and the length of the line.
async fn read_line(
    stream: &Async<TcpStream>,
) -> Result<([u8; MAX_CALL_BYTES], usize), &'static str> {
    let read = async {
        let (mut request, mut length) = ([0; MAX_CALL_BYTES], 0);
        loop {
            match (&mut &*stream).read(&mut request[length..]).await {
                Ok(0) if length == MAX_CALL_BYTES => return Err("a call is one short line"),
                Ok(count @ 1..) => length += count,
                _ => return Err("the call broke off"),
            }
            if let Some(end) = request[..length].iter().position(|b| *b == b'\n') {
                return Ok((request, end));
            }
        }
    };
    let late = async {
        Timer::after(CALL_TIMEOUT).await;
        Err("no whole call in time")
    };
    read.or(late).await
}

/// Shuts down the write side and discards further input: closing a socket with unread input resets the connection, and the
/// caller could lose its answer.
async fn finish_write(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    let rest = async {
        let mut bytes = [0; MAX_CALL_BYTES];
        for _ in 0..MAX_CALLS {
            if !matches!((&mut &*stream).read(&mut bytes).await, Ok(1..)) {
                return;
            }
        }
    };
    rest.or(async { _ = Timer::after(CLOSE_TIMEOUT).await })
        .await;
}

impl AdminEndpoint {
    fn execute(self: &Rc<Self>, request: &[u8]) -> String {
        let called = request.trim_ascii();
        match called {
            b"status" if (self.serves)() => return "ok\n".into(),
            b"status" => return "fail takes no submitters\n".into(),
            b"stats" => return self.metrics_text(),
            b"standby" => self.drain(),
            b"active" => {
                self.lifecycle.drained.set(false);
                self.draining.take();
            }
            _ => return "fail no such call\n".into(),
        }
        log(format_args!(
            "door call={}",
            String::from_utf8_lossy(called)
        ));
        "ok\n".into()
    }

    /// Returns the metrics in statsd format, one per line, followed by a line `eof`.
    fn metrics_text(&self) -> String {
        let (mut text, metrics) = (String::new(), &self.metrics);
        let mut write_metric = |name: &str, value: u64, kind: char| {
            let _ = writeln!(text, "edge_gw.{name}:{value}|{kind}");
        };
        for (class, name) in (self.classes)().iter().enumerate() {
            let ends = metrics.ends_of_class(class as u32);
            for (end, count) in ["ok", "shed", "errors"].iter().zip(ends) {
                write_metric(&format!("{end}.{name}"), count, 'c');
            }
        }
        let WorkerCounts { listed, avoided } = metrics.workers.get();
        let (applied, rejected) = metrics.config_files.get();
        write_metric("tries", metrics.attempts_sent.get(), 'c');
        write_metric("config_applied", applied, 'c');
        write_metric("config_rejected", rejected, 'c');
        write_metric("active", metrics.open.get(), 'g');
        write_metric("pool_size", listed, 'g');
        write_metric("pool_ejected", avoided, 'g');
        text + "eof\n"
    }

    /// Drains the process: from now on it is not ready, and each job's answer closes its connection. Idle connections are
    /// closed too, once the load balancer has had time to see that the process is not ready.
    fn drain(self: &Rc<Self>) {
        if self.lifecycle.drained.replace(true) {
            return;
        }
        let (set, since) = (self.net.set.clone(), Instant::now());
        let closing = self.net.spawn_scoped(async move {
            loop {
                match since.elapsed() {
                    all if all > CLOSE_ALL_IDLE_AFTER => set.evict_idle_clients(Duration::ZERO),
                    some if some > KEEP_IDLE_AFTER_DRAIN => {
                        set.evict_idle_clients(IDLE_BEFORE_CLOSE);
                    }
                    _ => {}
                }
                Timer::after(CHECK_INTERVAL).await;
            }
        });
        self.draining.replace(Some(closing));
    }
}
