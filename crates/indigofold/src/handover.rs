//! Replacement of the process: a new process requests the old one's listeners over a Unix socket in `$TMPDIR`, and notifies
//! it once it serves. Until the old process has ended, the two exchange messages on this link and act as one scheduler.
//!
//! A frame on the link is a byte for its type, the length of its payload (four bytes, little-endian), and the payload.

use crate::config::{self, JobReport};
use crate::front::platform::Platform;
use crate::front::platform::peer_process::{HandoverMessage, PeerProcess};
use crate::net::{Reason, log, within};
use async_channel::Receiver;
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use indigofold_core::StatisticsScope;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of listeners passed on: the platform's and the Faktory front's.
const MAX_LISTENERS: usize = 2;
/// Maximum payload of a frame; the longest is a job report, for which this leaves spare space.
const MAX_FRAME_BYTES: usize = 128 * 1024;
/// How long one process waits for the other's first frame. An old process that does not answer in time counts as ended.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Once a new process serves, a client's connection that is idle for this long is closed: a job is unlikely to be on its
/// way on it.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(1_000);
/// From this long after the new process has begun to serve, every idle connection of a client is closed.
const CLOSE_ALL_IDLE_AFTER: Duration = Duration::from_millis(2_500);
/// Number of descriptors that the old process may open beyond those it holds.
const SPARE_DESCRIPTORS: usize = 32;
/// Payload of the first frame of a process that accepts statistics and open jobs. Older versions send an empty payload.
const CAPABILITIES: &[u8] = b"learns moves";
/// Interval between two reports of slots in flight to the other process, where a report is valid for two seconds.
const SLOTS_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two checks for idle connections or for a membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A listener with the name of its front.
pub type NamedListener = (&'static str, Rc<Async<TcpListener>>);

/// The link to the old process, and the resources that it passed on.
pub struct Inherited {
    link: Async<UnixStream>,
    /// Its listeners, by the names of their fronts.
    pub listeners: Vec<(String, TcpListener)>,
    /// Number of descriptors that the new process may hold until the old one has ended.
    pub descriptors: usize,
}

/// The path of the handover socket of the process that listens on the address `listen`; `None` if `$TMPDIR` is not set.
pub fn socket_path(listen: &str) -> Option<PathBuf> {
    let dir = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty())?;
    Some(Path::new(&dir).join(format!("indigofold-{:016x}.sock", config::hash(listen))))
}

/// Requests the old process's listeners. `None` if no process answers in time.
pub async fn request_listeners(path: &Path) -> Option<Inherited> {
    let request = async {
        let link = Async::<UnixStream>::connect(path)
            .await
            .map_err(|_| Reason::Refused)?;
        (&link)
            .write_all(&encode_frame(b'H', CAPABILITIES))
            .await
            .map_err(|_| Reason::IoError)?;
        receive_listeners(link).await.map_err(|_| Reason::IoError)
    };
    within(ANSWER_TIMEOUT, Reason::Unanswered, request)
        .await
        .ok()
}

/// Reads the first frame of the old process, and the listeners attached to it.
async fn receive_listeners(link: Async<UnixStream>) -> io::Result<Inherited> {
    let (mut bytes, mut fds) = ([0; 64], Vec::new());
    let count = link
        .read_with(|link| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let (into, flags) = (&mut [IoSliceMut::new(&mut bytes)], RecvFlags::CMSG_CLOEXEC);
            let count = recvmsg(link, into, &mut control, flags)?.bytes;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(rights) = message {
                    fds.extend(rights);
                }
            }
            Ok(count)
        })
        .await?;
    let bad = || io::Error::from(ErrorKind::InvalidData);
    // The frame is `L`, the number of descriptors and the names of the fronts, padded to the buffer's length so that the
    // read takes no bytes of the next frame.
    if count != bytes.len() || bytes[0] != b'L' {
        return Err(bad());
    }
    let text = std::str::from_utf8(&bytes[1..])
        .map_err(|_| bad())?
        .trim_end_matches('\0');
    let (descriptors, names) = text.split_once(' ').ok_or_else(bad)?;
    let listeners = names
        .split(' ')
        .map(str::to_string)
        .zip(fds.into_iter().map(TcpListener::from));
    let descriptors = descriptors.parse().map_err(|_| bad())?;
    Ok(Inherited {
        listeners: listeners.collect(),
        descriptors,
        link,
    })
}

fn encode_frame(name: u8, text: &[u8]) -> Vec<u8> {
    let mut frame = vec![name];
    frame.extend((text.len() as u32).to_le_bytes());
    frame.extend(text);
    frame
}

/// Sends a frame with a client's connection, whose descriptor is attached to the first byte.
async fn send_with_stream(
    mut link: &Async<UnixStream>,
    frame: &[u8],
    stream: TcpStream,
) -> io::Result<()> {
    let fds = [stream.as_fd()];
    let sent = link.write_with(|link| {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&fds));
        Ok(sendmsg(
            link,
            &[IoSlice::new(frame)],
            &mut control,
            SendFlags::NOSIGNAL,
        )?)
    });
    let sent = sent.await?;
    link.write_all(&frame[sent..]).await
}

/// Reads until the buffer is full; attached connections are appended to `streams` in the order of their frames.
async fn fill(
    link: &Async<UnixStream>,
    buffer: &mut [u8],
    streams: &mut VecDeque<OwnedFd>,
) -> io::Result<()> {
    let mut filled = 0;
    while filled < buffer.len() {
        let count = link.read_with(|link| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let into = &mut [IoSliceMut::new(&mut buffer[filled..])];
            let count = recvmsg(link, into, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(rights) = message {
                    streams.extend(rights);
                }
            }
            Ok(count)
        });
        match count.await? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => filled += count,
        }
    }
    Ok(())
}

async fn read_frame(
    link: &Async<UnixStream>,
    streams: &mut VecDeque<OwnedFd>,
) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    fill(link, &mut head, streams).await?;
    let length = u32::from_le_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut text = vec![0; length];
    fill(link, &mut text, streams).await?;
    Ok((head[0], text))
}

/// The state of this process in a replacement: first as the new process, later as the old one.
pub struct Handover {
    /// The platform's front.
    pub front: Rc<Platform>,
    /// The path of the handover socket; `None` if this process cannot be replaced.
    pub path: Option<PathBuf>,
    /// File descriptors, and memory in MiB, that the process may use when it runs alone.
    pub limits: (usize, usize),
    /// The listeners of all fronts.
    pub listeners: Vec<NamedListener>,
    /// Starts accepting on all listeners; the returned tasks stop when they are dropped.
    pub accept: Box<dyn Fn() -> Vec<Task<()>>>,
    /// The tasks that accept connections; empty while this process does not accept.
    pub accepting: RefCell<Vec<Task<()>>>,
    /// The task that answers a new process on the handover socket.
    pub answering: RefCell<Option<Task<()>>>,
    /// The task that closes idle connections once a new process serves.
    pub closing: RefCell<Option<Task<()>>>,
}

impl Handover {
    /// Starts to accept clients: at once, or, when replacing an old process, as soon as there is a membership.
    pub async fn serve(self: Rc<Self>, inherited: Option<Inherited>) {
        let Some(Inherited { link, .. }) = inherited else {
            self.open();
            return self.answer();
        };
        let (peer, messages) = self.front.add_peer();
        let (this, old) = (self.clone(), peer.clone());
        self.front.net().spawn(async move {
            // Statistics are sent only after the old process has sent some, which shows that it supports them.
            this.exchange_messages(&link, &old, messages, false).await;
            this.front.remove_peer(&old);
            log("handover: the old process has ended");
            this.front.net().set_limits(this.limits.0, this.limits.1);
        });
        while !self.front.has_membership() {
            Timer::after(CHECK_INTERVAL).await;
        }
        self.open();
        self.answer();
        let _ = peer.outbox.send(HandoverMessage::Serving).await;
        log("handover: serves in place of the old process");
    }

    fn open(&self) {
        self.accepting.replace((self.accept)());
        self.front.lifecycle().accepting.set(true);
    }

    /// Starts answering new processes on the handover socket. The socket file of an earlier process is replaced: that
    /// process has been superseded or has ended.
    fn answer(self: &Rc<Self>) {
        let Some(path) = &self.path else { return };
        let mut new = path.clone().into_os_string();
        new.push(format!(".{}", std::process::id()));
        let bound = || {
            let _ = std::fs::remove_file(&new);
            let listener = Async::<UnixListener>::bind(&new)?;
            std::fs::rename(&new, path)?;
            Ok(listener)
        };
        let listener: Async<UnixListener> = match bound() {
            Ok(listener) => listener,
            Err(error) => {
                let error: io::Error = error;
                return log(format_args!(
                    "handover: not possible, {}: {error}",
                    path.display()
                ));
            }
        };
        let this = self.clone();
        let answering = self.front.net().spawn_scoped(async move {
            loop {
                match listener.accept().await {
                    Ok((link, _)) => this.front.net().spawn(this.clone().serve_successor(link)),
                    Err(_) => _ = Timer::after(ANSWER_TIMEOUT).await,
                }
            }
        });
        self.answering.replace(Some(answering));
    }

    /// Handles the link of a new process: passes the listeners on, then exchanges messages until the link ends. If the new
    /// process ends after it has begun to serve, and this one is not shutting down, this one serves again.
    async fn serve_successor(self: Rc<Self>, link: Async<UnixStream>) {
        let hello = async {
            read_frame(&link, &mut VecDeque::new())
                .await
                .map_err(|_| Reason::IoError)
        };
        let hello = within(ANSWER_TIMEOUT, Reason::Unanswered, hello).await;
        let Ok((b'H', capabilities)) = hello else {
            return;
        };
        if self.front.lifecycle().superseded.get() {
            return;
        }
        // Both processes together stay within the limits; this one keeps its descriptors and a few for new connections.
        let (net, lifecycle) = (self.front.net(), self.front.lifecycle());
        let mine = (net.set.descriptors() + SPARE_DESCRIPTORS).min(self.limits.0 * 3 / 4);
        let descriptors = self.limits.0 - mine;
        if self.send_listeners(&link, descriptors).await.is_err() {
            return;
        }
        log("handover: a new process has the listeners");
        net.set_limits(mine, self.limits.1 / 2);
        let (peer, messages) = self.front.add_peer();
        let accepts_statistics = capabilities == CAPABILITIES;
        if accepts_statistics {
            self.front
                .send_statistics(&peer, StatisticsScope::All)
                .await;
        }
        self.exchange_messages(&link, &peer, messages, accepts_statistics)
            .await;
        self.front.remove_peer(&peer);
        self.front.stop_migration();
        net.set_limits(self.limits.0, self.limits.1);
        log("handover: the new process has ended");
        if lifecycle.superseded.replace(false) && !lifecycle.stopping.get() {
            // The new process has ended after it had begun to serve: this process takes over again.
            self.closing.take();
            self.open();
            self.answer();
        }
    }

    /// Sends the listeners, and the number of descriptors that the new process may hold until this one has ended.
    async fn send_listeners(
        &self,
        link: &Async<UnixStream>,
        descriptors: usize,
    ) -> io::Result<usize> {
        let names: Vec<&str> = self.listeners.iter().map(|(name, _)| *name).collect();
        let mut first = [0; 64];
        let text = format!("L{descriptors} {}", names.join(" "));
        first[..text.len()].copy_from_slice(text.as_bytes());
        let fds: Vec<_> = self
            .listeners
            .iter()
            .map(|(_, listener)| listener.as_fd())
            .collect();
        let sent = link.write_with(|link| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            control.push(SendAncillaryMessage::ScmRights(&fds));
            Ok(sendmsg(
                link,
                &[IoSlice::new(&first)],
                &mut control,
                SendFlags::NOSIGNAL,
            )?)
        });
        sent.await
    }

    /// Called when the new process serves: stops accepting connections, and closes the open ones when they are idle.
    fn stop_accepting(&self) {
        let lifecycle = self.front.lifecycle();
        if lifecycle.superseded.replace(true) {
            return;
        }
        lifecycle.accepting.set(false);
        self.accepting.take();
        self.answering.take();
        log("handover: the new process serves");
        let (set, since) = (self.front.net().set.clone(), Instant::now());
        let closing = self.front.net().spawn_scoped(async move {
            loop {
                set.evict_idle_clients(if since.elapsed() > CLOSE_ALL_IDLE_AFTER {
                    Duration::ZERO
                } else {
                    IDLE_BEFORE_CLOSE
                });
                Timer::after(CHECK_INTERVAL).await;
            }
        });
        self.closing.replace(Some(closing));
    }

    /// Exchanges messages in both directions until the link ends. `accepts_statistics`: the other process is known to
    /// support statistics; it also becomes true when the other process sends some.
    async fn exchange_messages(
        &self,
        link: &Async<UnixStream>,
        peer: &Rc<PeerProcess>,
        messages: Receiver<HandoverMessage>,
        accepts_statistics: bool,
    ) {
        let accepts_statistics = Cell::new(accepts_statistics);
        let report_slots = async {
            loop {
                Timer::after(SLOTS_REPORT_INTERVAL).await;
                if accepts_statistics.get() {
                    self.front
                        .send_statistics(peer, StatisticsScope::InFlight)
                        .await;
                }
            }
        };
        let send = send_messages(link, &messages);
        let receive = async {
            let mut streams = VecDeque::new();
            loop {
                let frame = read_frame(link, &mut streams).await?;
                self.handle_frame(peer, frame, &mut streams, &accepts_statistics)
                    .await?;
            }
        };
        let _ = send.or(receive).or(report_slots).await;
        messages.close();
        while let Ok(message) = messages.try_recv() {
            self.front.resume_undelivered(message).await;
        }
    }

    /// Handles one frame of the other process. `streams`: received connections whose frames are not handled yet.
    async fn handle_frame(
        &self,
        peer: &Rc<PeerProcess>,
        (name, mut text): (u8, Vec<u8>),
        streams: &mut VecDeque<OwnedFd>,
        accepts_statistics: &Cell<bool>,
    ) -> io::Result<()> {
        let front = &self.front;
        match name {
            b'N' => {
                let original = text.clone();
                if let Ok(report) = JobReport::read(&mut text) {
                    front.handle_report(&original, report, Some(peer)).await;
                }
            }
            b'S' => {
                self.stop_accepting();
                if accepts_statistics.get() {
                    front
                        .send_statistics(peer, StatisticsScope::ExceptInFlight)
                        .await;
                    front.start_migration(peer);
                }
            }
            b'M' => {
                let stream = streams.pop_front().ok_or(ErrorKind::InvalidData)?;
                front.adopt(&text, TcpStream::from(stream)).await;
            }
            b'K' => {
                accepts_statistics.set(true);
                front.apply_statistics(&text).await;
            }
            b'+' | b'-' => {
                let id = String::from_utf8(text).map_err(|_| ErrorKind::InvalidData)?;
                let mut ids = peer.ids.borrow_mut();
                let _ = if name == b'+' {
                    ids.insert(id)
                } else {
                    ids.remove(&id)
                };
            }
            _ => {} // unknown frame types of newer versions are ignored
        }
        Ok(())
    }
}

/// Sends the messages to the other process until the link breaks or the channel closes.
async fn send_messages(
    link: &Async<UnixStream>,
    messages: &Receiver<HandoverMessage>,
) -> io::Result<()> {
    while let Ok(message) = messages.recv().await {
        let frame = match message {
            HandoverMessage::JobOpened(id) => encode_frame(b'+', id.as_bytes()),
            HandoverMessage::JobClosed(id) => encode_frame(b'-', id.as_bytes()),
            HandoverMessage::JobReport(text) => encode_frame(b'N', &text),
            HandoverMessage::Serving => encode_frame(b'S', &[]),
            HandoverMessage::Statistics(encoded) => encode_frame(b'K', &encoded),
            HandoverMessage::Job(encoded, stream) => {
                send_with_stream(link, &encode_frame(b'M', &encoded), stream).await?;
                continue;
            }
        };
        (&mut &*link).write_all(&frame).await?;
    }
    Ok(())
}
