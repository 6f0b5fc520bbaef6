//! Test of the warning about a peer that does not read. It is a separate binary because a process has only one logger.

use indigofold_net::framed::{self, QUEUE_BYTES_MAX};
use indigofold_net::runtime;
use indigofold_protocol::internal::Frame;
use log::{LevelFilter, Log, Metadata, Record};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Time limit for a connection on loopback, reached only if the test fails.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Size of a frame's payload, in bytes; several such frames fill the queue.
const PAYLOAD_BYTES: usize = 30 << 20;

/// A logger that records warnings.
struct Warnings(Mutex<Vec<String>>);

static WARNINGS: Warnings = Warnings(Mutex::new(Vec::new()));

impl Log for Warnings {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let mut warnings = self.0.lock().expect("the lock is not poisoned");
            warnings.push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

/// Returns the number that follows `name=` in a log line.
fn value(line: &str, name: &str) -> usize {
    let fields = line.split(' ').filter_map(|field| field.split_once('='));
    let mut values = fields.filter(|(key, _)| *key == name);
    let (_, value) = values.next().expect("the line has the field");
    value.parse().expect("the value is a number")
}

#[test]
fn the_warning_gives_the_queued_bytes_of_a_peer_that_does_not_read() {
    log::set_logger(&WARNINGS).expect("no other logger is set");
    log::set_max_level(LevelFilter::Warn);
    let queued_bytes = runtime::run(async {
        let listener = framed::listen(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("a listener opens on loopback");
        let dialled = framed::connect(listener.local_address(), TIMEOUT).await;
        let connection = dialled.expect("the listener accepts the connection");
        let sender = &connection.sender;
        let frame = Frame::Replication(vec![0; PAYLOAD_BYTES]);
        let mut queued_bytes = 0;
        while sender.send(&frame).is_ok() {
            queued_bytes = sender.queued_bytes();
        }
        queued_bytes
    });
    let queued_bytes = queued_bytes.expect("the runtime starts");
    let warnings = WARNINGS.0.lock().expect("the lock is not poisoned");
    let [line] = &warnings[..] else {
        panic!("one warning is expected, not {warnings:?}");
    };
    assert_eq!(value(line, "queued_bytes"), queued_bytes);
    assert!(value(line, "frame_bytes") > PAYLOAD_BYTES);
    assert!(queued_bytes + value(line, "frame_bytes") > QUEUE_BYTES_MAX);
}
