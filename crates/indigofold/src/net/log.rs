//! The log: one line per event on standard error, written by a separate thread. If standard error is not read, lines are
//! dropped and counted; the thread that serves jobs never waits for the log's reader.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Maximum number of lines that wait to be written.
const QUEUE_CAPACITY: usize = 2_048;
/// How long the program waits at its end for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Text(String),
    End(SyncSender<()>),
}

static QUEUE: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

fn queue() -> Option<&'static SyncSender<Entry>> {
    let start = || {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_entries(&receiver))
            .ok()
            .map(|_| sender)
    };
    QUEUE.get_or_init(start).as_ref()
}

/// Writes the queued lines. Write errors are ignored, as a failing log must not stop the program.
fn write_entries(receiver: &Receiver<Entry>) {
    let mut to = io::stderr();
    while let Ok(entry) = receiver.recv() {
        match entry {
            Entry::Text(text) => {
                let dropped = DROPPED.swap(0, Ordering::Relaxed);
                if dropped > 0 {
                    let _ = writeln!(to, "log: {dropped} lines were dropped, as nobody read them");
                }
                let _ = writeln!(to, "{text}");
            }
            Entry::End(done) => _ = done.try_send(()),
        }
    }
}

/// Queues one line for the log; never blocks.
pub fn log(text: impl Display) {
    let queued = queue().is_some_and(|queue| queue.try_send(Entry::Text(text.to_string())).is_ok());
    if !queued {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits until the queued lines are written, at most 200 ms.
pub fn finish_log() {
    let (done, flushed) = sync_channel(1);
    if queue().is_some_and(|queue| queue.try_send(Entry::End(done)).is_ok()) {
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}
