//! A client connection to discovery, and its calls for the membership.

use super::schedule::DIAL_TIMEOUT;
use crate::config::MembershipUpdate;
use crate::front::platform::Platform;
use crate::net::http::{self, MessageKind, Progress};
use crate::net::{Link, Reason, within};
use async_io::Timer;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A connection to discovery, and the version of its membership that is known, if any.
pub(super) struct DiscoveryClient {
    front: Rc<Platform>,
    pub(super) discovery: SocketAddr,
    link: Option<Link>,
    pub(super) seq: Option<u64>,
    /// The last answer was older than the known version. The next call requests the complete membership, which is applied
    /// whatever its version.
    pub(super) older: bool,
}

impl Drop for DiscoveryClient {
    fn drop(&mut self) {
        self.drop_link(Reason::Done);
    }
}

impl DiscoveryClient {
    /// A client that is not connected yet and knows no membership.
    pub(super) fn new(front: Rc<Platform>, discovery: SocketAddr) -> Self {
        DiscoveryClient {
            front,
            discovery,
            link: None,
            seq: None,
            older: false,
        }
    }

    /// Closes the connection, if there is one.
    pub(super) fn drop_link(&mut self, reason: Reason) {
        if let Some(link) = self.link.take() {
            link.log_end("list", reason, "");
        }
    }

    /// Makes one call after the delay `delay`, with the timeout `limit`. `wait` is the long-poll wait for changes in
    /// milliseconds; `None` requests the complete membership.
    pub(super) async fn call(
        mut self,
        wait: Option<u64>,
        delay: Duration,
        limit: Duration,
    ) -> (DiscoveryClient, Result<MembershipUpdate, Reason>) {
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let answer = self.exchange(wait, limit).await;
        (self, answer)
    }

    #[allow(
        clippy::too_many_lines,
        reason = "its closures share the connection and the bytes received on it"
    )]
    async fn exchange(
        &mut self,
        wait: Option<u64>,
        limit: Duration,
    ) -> Result<MembershipUpdate, Reason> {
        if self.link.as_ref().is_some_and(Link::stale) {
            self.drop_link(Reason::PeerClosed);
        }
        if self.link.is_none() {
            self.link = Some(self.front.net.dial(self.discovery, DIAL_TIMEOUT).await?);
        }
        let Some(link) = &self.link else {
            return Err(Reason::IoError);
        };
        let buffer = &mut self.front.net.pool.take();
        let host = self.discovery;
        let _ = match wait {
            None => write!(buffer, "GET /api/targets HTTP/1.1\r\nHost: {host}\r\n\r\n"),
            Some(wait) => write!(
                buffer,
                "GET /api/targets?index={}&wait={wait} HTTP/1.1\r\nHost: {host}\r\n\r\n",
                self.seq.unwrap_or(0)
            ),
        };
        let exchange = async {
            link.send(buffer.filled(), DIAL_TIMEOUT).await?;
            buffer.clear();
            loop {
                if let Progress::Complete(frame) = http::parse_message(buffer, MessageKind::Answer)
                    .map_err(|_| Reason::Malformed)?
                {
                    return Ok(frame);
                }
                match link.read(buffer).await {
                    Ok(0) => return Err(Reason::PeerLeft),
                    Ok(_) => {}
                    Err(_) => return Err(Reason::IoError),
                }
            }
        };
        let frame = within(limit, Reason::Unanswered, exchange).await?;
        let (head, body) = frame
            .read(buffer, MessageKind::Answer)
            .ok_or(Reason::Malformed)?;
        if head.status != 200 {
            return Err(Reason::Rejected);
        }
        let update = MembershipUpdate::read(&mut body.to_vec()).map_err(|_| Reason::Malformed)?;
        if !frame.keep {
            self.drop_link(Reason::Done);
        }
        Ok(update)
    }
}
