//! The machine list: an actor that asks discovery and watches it.

use super::Platform;
use crate::api::Scope;
use crate::config::MachineList;
use crate::core::{Ask, Told};
use crate::net::buffer::Buffer;
use crate::net::http::{self, Kind, Progress};
use crate::net::{Link, Reason, log, within};
use async_channel::{Receiver, RecvError};
use futures_lite::FutureExt;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a call for changes may wait. What discovery has to tell counts as told two seconds after that,
/// also if its connection has gone silent: short enough that little can be missed.
const WAIT_MS: u64 = 4_000;
/// How long a call for changes may take beyond its wait ...
const BEYOND: Duration = Duration::from_millis(1_500);
/// ... and one for the whole list. Discovery itself gives up on a call in less.
const CALL: Duration = Duration::from_millis(4_000);
/// ... and how long a dial may take.
const DIAL: Duration = Duration::from_millis(500);

enum Next {
    Answer(Result<MachineList, Reason>),
    Asked(Result<Ask, RecvError>),
}

/// The actor.
pub struct Machines {
    front: Rc<Platform>,
    discovery: SocketAddr,
    link: Option<Link>,
    buffer: Buffer,
    seq: u64,
    watching: bool,
}

impl Machines {
    /// An actor that has the list of this version.
    pub fn new(front: Rc<Platform>, discovery: SocketAddr, seq: u64) -> Self {
        let buffer = front.net.pool.take();
        Machines { front, discovery, link: None, buffer, seq, watching: false }
    }

    /// Runs for as long as somebody may ask.
    pub async fn run(mut self, inbox: Receiver<Ask>) {
        loop {
            let next = if self.watching {
                let call = async { Next::Answer(self.exchange(Some(WAIT_MS)).await) };
                call.or(async { Next::Asked(inbox.recv().await) }).await
            } else {
                Next::Asked(inbox.recv().await)
            };
            match next {
                Next::Answer(answer) => self.tell(answer).await,
                Next::Asked(Err(_)) => return,
                Next::Asked(Ok(Ask::Watch(false))) => {
                    self.watching = false;
                    self.drop_link(Reason::Done);
                }
                Next::Asked(Ok(asked)) => {
                    if self.watching {
                        self.drop_link(Reason::Done); // the call for changes that was under way on it
                    }
                    self.watching |= asked == Ask::Watch(true);
                    // A watch begins with the whole list, asked for without a wait: the answer comes at
                    // once, and the watch goes on from its version.
                    let answer = self.exchange(None).await;
                    self.tell(answer).await;
                }
            }
        }
    }

    fn drop_link(&mut self, reason: Reason) {
        if let Some(link) = self.link.take() {
            link.end("list", reason, "");
        }
    }

    /// Tells the core how a call went.
    async fn tell(&mut self, answer: Result<MachineList, Reason>) {
        let (scope, entries) = match answer {
            Ok(list) => {
                self.seq = list.seq;
                let scope = if list.whole { Scope::Full } else { Scope::Delta };
                (scope, self.front.learn(list))
            }
            Err(reason) => {
                log(format_args!("list call failed reason={}", reason.code()));
                self.drop_link(reason);
                self.watching = false;
                (Scope::Failed, Vec::new())
            }
        };
        // A watch that waited in vain has nothing to tell.
        if scope != Scope::Delta || !entries.is_empty() {
            let _ = self.front.core.send(Told::List(scope, entries)).await;
        }
        // Where discovery is down at the start, what was known before is all there is to go by.
        let usable = scope != Scope::Failed || self.front.knows_machines();
        if usable && !self.front.ready.replace(true) {
            log("ready: there is a machine list");
        }
    }

    /// One call.
    async fn exchange(&mut self, wait: Option<u64>) -> Result<MachineList, Reason> {
        let limit = wait.map_or(CALL, |wait| BEYOND + Duration::from_millis(wait));
        if self.link.as_ref().is_some_and(Link::stale) {
            self.drop_link(Reason::PeerClosed);
        }
        if self.link.is_none() {
            self.link = Some(self.front.net.dial(self.discovery, DIAL).await?);
        }
        let Some(link) = &self.link else { return Err(Reason::Broke) };
        let buffer = &mut self.buffer;
        buffer.clear();
        let host = self.discovery;
        let _ = match wait {
            None => write!(buffer, "GET /api/targets HTTP/1.1\r\nHost: {host}\r\n\r\n"),
            Some(wait) => write!(
                buffer,
                "GET /api/targets?index={}&wait={wait} HTTP/1.1\r\nHost: {host}\r\n\r\n",
                self.seq
            ),
        };
        let talk = async {
            link.send(buffer.filled(), DIAL).await?;
            buffer.clear();
            loop {
                if let Progress::Whole(frame) =
                    http::look(buffer, Kind::Answer).map_err(|_| Reason::Malformed)?
                {
                    return Ok(frame);
                }
                match link.read(buffer).await {
                    Ok(0) => return Err(Reason::PeerLeft),
                    Ok(_) => {}
                    Err(_) => return Err(Reason::Broke),
                }
            }
        };
        let frame = within(limit, Reason::Unanswered, talk).await?;
        let (head, body) = frame.read(buffer, Kind::Answer).ok_or(Reason::Malformed)?;
        if head.status != 200 {
            return Err(Reason::Rejected);
        }
        let list = MachineList::read(&mut body.to_vec()).map_err(|_| Reason::Malformed)?;
        if !frame.keep {
            self.drop_link(Reason::Done);
        }
        Ok(list)
    }
}
