//! A relay before a machine: forwards connections, and can hold up what its callers send. Held bytes arrive later and in
//! order, followed by the end of the connection, also if the caller has closed it in the meantime.

use crate::wait::{POLL_INTERVAL, locked};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Size of the buffer for one read, in bytes.
const READ_BYTES: usize = 16 << 10;

/// State that the relay shares with the threads of its connections.
#[derive(Debug, Default)]
struct Shared {
    /// Whether connections that are opened from now on are held.
    holds_next: AtomicBool,
    /// For each connection, whether it is held.
    connections: Mutex<Vec<Arc<AtomicBool>>>,
    /// Number of held connections that the caller has closed.
    closed_while_held: AtomicUsize,
    /// Number of connections on which held bytes were passed on.
    delivered_late: AtomicUsize,
    stopped: AtomicBool,
}

/// A relay that listens on an address of its own until it is dropped.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
}

impl Relay {
    /// Listens on `address` and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared::default());
        let relay = Relay {
            shared: shared.clone(),
        };
        thread::spawn(move || accept(&listener, target, &shared));
        Ok(relay)
    }

    /// Holds the connections that are opened from now on.
    pub fn hold_next(&self) {
        self.shared.holds_next.store(true, Ordering::SeqCst);
    }

    /// Forwards the connections that are opened from now on. Held ones stay held.
    pub fn pass_next(&self) {
        self.shared.holds_next.store(false, Ordering::SeqCst);
    }

    /// Holds the connections that are open.
    pub fn hold_open(&self) {
        self.set_open(true);
    }

    /// Passes on everything that is held, and holds nothing from now on.
    pub fn release(&self) {
        self.pass_next();
        self.set_open(false);
    }

    /// Number of held connections that the caller has closed.
    pub fn closed_while_held(&self) -> usize {
        self.shared.closed_while_held.load(Ordering::SeqCst)
    }

    /// Number of connections on which held bytes were passed on.
    pub fn delivered_late(&self) -> usize {
        self.shared.delivered_late.load(Ordering::SeqCst)
    }

    fn set_open(&self, is_held: bool) {
        for connection in locked(&self.shared.connections).iter() {
            connection.store(is_held, Ordering::SeqCst);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
    }
}

/// Accepts connections until the relay is dropped.
fn accept(listener: &TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    while !shared.stopped.load(Ordering::SeqCst) {
        let Ok((caller, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        let is_held = Arc::new(AtomicBool::new(shared.holds_next.load(Ordering::SeqCst)));
        locked(&shared.connections).push(is_held.clone());
        let shared = shared.clone();
        // An error ends the connection, which both sides notice.
        thread::spawn(move || forward(caller, target, &is_held, &shared));
    }
}

/// Forwards a connection until the caller closes it and all its bytes are passed on.
fn forward(
    mut caller: TcpStream,
    target: SocketAddr,
    is_held: &AtomicBool,
    shared: &Shared,
) -> io::Result<()> {
    let mut target = TcpStream::connect(target)?;
    caller.set_nonblocking(false)?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (from_target, to_caller) = (target.try_clone()?, caller.try_clone()?);
    thread::spawn(move || forward_replies(from_target, to_caller));
    caller.set_read_timeout(Some(POLL_INTERVAL))?;
    let (mut waiting, mut chunk) = (Vec::new(), vec![0; READ_BYTES]);
    let (mut has_ended, mut is_late) = (false, false);
    while !shared.stopped.load(Ordering::SeqCst) {
        let was_held = is_held.load(Ordering::SeqCst);
        if has_ended {
            thread::sleep(POLL_INTERVAL);
        } else {
            has_ended = receive(&mut caller, &mut chunk, &mut waiting)?;
            if has_ended && was_held {
                shared.closed_while_held.fetch_add(1, Ordering::SeqCst);
            }
        }
        if is_held.load(Ordering::SeqCst) {
            is_late |= !waiting.is_empty();
            continue;
        }
        target.write_all(&waiting)?;
        waiting.clear();
        if std::mem::take(&mut is_late) {
            shared.delivered_late.fetch_add(1, Ordering::SeqCst);
        }
        if has_ended {
            return target.shutdown(Shutdown::Write);
        }
    }
    Ok(())
}

/// Appends what the caller has sent to `waiting`. Returns whether the caller has closed the connection.
fn receive(caller: &mut TcpStream, chunk: &mut [u8], waiting: &mut Vec<u8>) -> io::Result<bool> {
    match caller.read(chunk) {
        Ok(count) => {
            waiting.extend_from_slice(&chunk[..count]);
            Ok(count == 0)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(true),
        Err(error) => Err(error),
    }
}

/// Forwards what the target sends.
fn forward_replies(mut target: TcpStream, mut caller: TcpStream) {
    // An error means that one side has closed the connection.
    let _ = io::copy(&mut target, &mut caller);
    let _ = caller.shutdown(Shutdown::Write);
}
