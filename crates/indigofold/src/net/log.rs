//! The log: one line per event on standard error, written by a thread of its own. Where nobody reads, lines are
//! dropped and counted; the thread that serves jobs never waits for a reader.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that may wait to be written.
const WAITING: usize = 2_048;
/// How long the end of the program waits for the last lines.
const AT_THE_END: Duration = Duration::from_millis(200);

enum Line {
    Text(String),
    End(SyncSender<()>),
}

static LINES: OnceLock<Option<SyncSender<Line>>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

fn lines() -> Option<&'static SyncSender<Line>> {
    let start = || {
        let (lines, waiting) = sync_channel(WAITING);
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write(&waiting))
            .ok()
            .map(|_| lines)
    };
    LINES.get_or_init(start).as_ref()
}

/// A log that cannot be written to is no reason to stop.
fn write(waiting: &Receiver<Line>) {
    let mut to = io::stderr();
    while let Ok(line) = waiting.recv() {
        match line {
            Line::Text(text) => {
                let dropped = DROPPED.swap(0, Ordering::Relaxed);
                if dropped > 0 {
                    let _ = writeln!(to, "log: {dropped} lines were dropped, as nobody read them");
                }
                let _ = writeln!(to, "{text}");
            }
            Line::End(done) => _ = done.try_send(()),
        }
    }
}

/// One line to the log.
pub fn log(line: impl Display) {
    let taken = lines().is_some_and(|lines| lines.try_send(Line::Text(line.to_string())).is_ok());
    if !taken {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits for what was logged to be written, a moment at most.
pub fn finish_log() {
    let (done, ended) = sync_channel(1);
    if lines().is_some_and(|lines| lines.try_send(Line::End(done)).is_ok()) {
        let _ = ended.recv_timeout(AT_THE_END);
    }
}
