//! Reading a message on an accepted connection: waiting for its first byte, then reading it completely.

use crate::front::platform::Platform;
use crate::net::buffer::Buffer;
use crate::net::http::{self, Frame, MessageError, MessageKind, Progress};
use crate::net::set::Rank;
use crate::net::{Link, MESSAGE_TIMEOUT, Reason, WRITE_TIMEOUT, within};
use std::time::Instant;

/// Waits until the connection is readable. Returns `false` if the next message is the last one to be served. A connection
/// that has never sent a message must do so within `MESSAGE_TIMEOUT`. A connection that is evicted while its next message
/// arrives is served once more, since closing it with unread input would reset it.
pub(super) async fn first_byte(
    front: &Platform,
    link: &Link,
    (messages, client): (u64, bool),
    accepted: Instant,
) -> Result<bool, Reason> {
    let readable = async { link.readable().await.map_err(|_| Reason::IoError) };
    let waited = match messages {
        0 => {
            let wait = front
                .net
                .first_unless_evicted(accepted, Rank::NothingSent, readable);
            within(
                MESSAGE_TIMEOUT.saturating_sub(accepted.elapsed()),
                Reason::NothingSent,
                wait,
            )
            .await
        }
        1 => {
            front
                .net
                .unless_evicted_or_drained(Rank::AnsweredOnce, client, readable)
                .await
        }
        _ => {
            front
                .net
                .unless_evicted_or_drained(Rank::Used, client, readable)
                .await
        }
    };
    let (stopping, drained) = (
        front.lifecycle.stopping.get(),
        front.lifecycle.closes_after_answer(),
    );
    match waited {
        Ok(()) => Ok(true),
        Err(Reason::Evicted) if (messages > 0 || stopping) && link.has_input() => Ok(false),
        Err(Reason::Evicted) if stopping => Err(Reason::Stopping),
        Err(Reason::Evicted) if drained => Err(Reason::Drained),
        Err(other) => Err(other),
    }
}

/// Reads until the buffer starts with a complete request.
pub(super) async fn receive(
    link: &Link,
    buffer: &mut Buffer,
) -> Result<Result<Frame, MessageError>, Reason> {
    let mut continue_sent = false;
    loop {
        if !buffer.filled().is_empty() {
            match http::parse_message(buffer, MessageKind::Request) {
                Err(bad) => return Ok(Err(bad)),
                Ok(Progress::Complete(frame)) => return Ok(Ok(frame)),
                Ok(Progress::Partial(true)) if !continue_sent => {
                    continue_sent = true;
                    link.send(b"HTTP/1.1 100 Continue\r\n\r\n", WRITE_TIMEOUT)
                        .await?;
                }
                Ok(Progress::Partial(_)) => {}
            }
        }
        let empty = buffer.filled().is_empty();
        if buffer.spare().is_empty() {
            return Ok(Err(MessageError::BodyTooLarge)); // the chunk framing alone has filled the buffer
        }
        match link.read(buffer).await {
            Ok(0) if empty => return Err(Reason::PeerClosed),
            Ok(0) => return Err(Reason::PeerLeft),
            Ok(_) => {}
            Err(_) => return Err(Reason::IoError),
        }
    }
}
