//! One actor for each accepted connection: clients with their jobs, job workers with their reports, and
//! readiness checks. The submodules read and parse messages.

mod parsing;
mod reading;

use super::connection_state::ConnectionState;
use super::{JobRecord, Platform};
use crate::api::Time;
use crate::net::buffer::Buffer;
use crate::net::http::{self, Frame};
use crate::net::set::Rank;
use crate::net::{Link, MESSAGE_TIMEOUT, Reason, WRITE_TIMEOUT, log, within};
use async_channel::{Receiver, bounded};
use async_io::Async;
use futures_lite::FutureExt;
use indigofold_core::metrics::End;
use indigofold_core::{Answer, CoreInput, JobId, Reply};
use parsing::{NewJob, ParsedRequest, parse};
use reading::{first_byte, receive};
use std::fmt::Display;
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Instant;

/// Accepts connections while the program runs.
pub async fn listen(front: Rc<Platform>, listener: Rc<Async<TcpListener>>) {
    front
        .net
        .serve(&listener, |link| serve(front.clone(), link))
        .await;
}

/// Serves one connection until it ends.
async fn serve(front: Rc<Platform>, link: Link) {
    let state = ConnectionState::default();
    let reason = serve_messages(&front, &link, &state, None).await;
    finish_connection(&front, link, &state, reason).await;
}

/// Closes a connection, or transfers it with its job to the process that takes over.
pub(super) async fn finish_connection(
    front: &Rc<Platform>,
    link: Link,
    state: &ConnectionState,
    reason: Reason,
) {
    let (messages, status) = (state.messages.get(), state.status.get());
    let migrating = state
        .migrating
        .take()
        .filter(|_| reason == Reason::Migrated);
    let Some(migrating) = migrating else {
        if reason.after_answer() {
            front.net.linger(&link).await;
        }
        return link.log_end(
            "submitter",
            reason,
            format_args!("messages={messages} status={status}"),
        );
    };
    let (peer, code) = (link.peer(), reason.code());
    log(format_args!(
        "conn side=submitter peer={peer} reason={code} messages={messages} status={status}"
    ));
    front.transfer(migrating, &state.rest.take(), link).await;
}

/// A job taken over from another process: its id, its record, and the channel on which its answer arrives.
pub(super) type ResumedJob = (JobId, Rc<JobRecord>, Receiver<Answer>);

/// Serves a connection whose job was transferred from another process. If `job` is `None`, the job could not be resumed and
/// is answered as failed. `rest` holds bytes already read beyond the job's message.
pub(super) async fn resume_job(
    front: &Rc<Platform>,
    link: &Link,
    state: &ConnectionState,
    job: Option<ResumedJob>,
    (keep, rest): (bool, &[u8]),
) -> Reason {
    let mut kept = Some(front.net.pool.take()).filter(|_| !rest.is_empty());
    kept.iter_mut()
        .for_each(|buffer| _ = buffer.write_all(rest));
    let message = match job {
        None => Ok((500, String::new(), b"the job's class is gone\n".to_vec())),
        Some((id, record, from)) => {
            wait_for_answer(front, link, &mut kept, (id, &record, from), (keep, state)).await
        }
    };
    let (status, extra_headers, result) = match message {
        Ok(message) => message,
        Err(reason) => return reason,
    };
    state.status.set(status);
    let keep = keep && !front.lifecycle.closes_after_answer() && !link.overrun();
    match answer(front, link, status, &extra_headers, &result, keep).await {
        Err(reason) => reason,
        Ok(()) if keep => {
            serve_messages(
                front,
                link,
                state,
                Some(kept.filter(|b| !b.filled().is_empty())),
            )
            .await
        }
        Ok(()) => Reason::Done,
    }
}

/// Serves messages until the connection ends. `resumed` is `Some` for a client's connection that has been served before,
/// with the bytes already read of its next message, if any.
async fn serve_messages(
    front: &Rc<Platform>,
    link: &Link,
    state: &ConnectionState,
    resumed: Option<Option<Buffer>>,
) -> Reason {
    let connection = Connection { front, link, state };
    match connection.serve(resumed).await {
        Ok(()) => Reason::Done,
        Err(reason) => reason,
    }
}

/// A connection being served, and the front end that serves it.
struct Connection<'a> {
    front: &'a Rc<Platform>,
    link: &'a Link,
    state: &'a ConnectionState,
}

impl Connection<'_> {
    /// Serves one message after another. Ends after an answer that closes the connection.
    async fn serve(&self, resumed: Option<Option<Buffer>>) -> Result<(), Reason> {
        let clock = &self.front.clock;
        let (mut received_at, mut read_by) = (clock.now(), Instant::now() + MESSAGE_TIMEOUT);
        let (accepted, mut client) = (Instant::now(), resumed.is_some());
        let mut kept = resumed.flatten();
        loop {
            let (messages, mut keep_open) = (self.state.messages.get(), true);
            // A connection holds a buffer only while the buffer contains data.
            let mut buffer = match kept.take() {
                Some(buffer) => buffer,
                None => {
                    let from = (messages, client);
                    keep_open = first_byte(self.front, self.link, from, accepted).await?;
                    received_at = clock.now();
                    self.front.net.buffer().await?
                }
            };
            if messages > 0 {
                read_by = Instant::now() + MESSAGE_TIMEOUT;
            }
            let frame = self.read_message(&mut buffer, accepted, read_by).await?;
            self.state.messages.set(messages + 1);
            let request = parse(self.front, &buffer, &frame);
            buffer.consume(frame.total);
            client |= matches!(request, ParsedRequest::Job(_));
            let mut keep = frame.keep && keep_open;
            match request {
                ParsedRequest::Job(job) if !self.link.extra() => {
                    (buffer, keep) = self.serve_job(job, received_at, buffer, keep).await?;
                }
                other => self.answer_request(other, keep).await?,
            }
            if !keep {
                return Ok(());
            }
            kept = Some(buffer).filter(|b| !b.filled().is_empty());
            received_at = clock.now();
        }
    }

    /// Reads a complete message by a deadline. A malformed or late message is answered with an error status, and the
    /// connection ends.
    async fn read_message(
        &self,
        buffer: &mut Buffer,
        accepted: Instant,
        read_by: Instant,
    ) -> Result<Frame, Reason> {
        let left = read_by.saturating_duration_since(Instant::now());
        let frame = within(left, Reason::Slow, receive(self.link, buffer));
        let frame = if self.state.messages.get() == 0 {
            let net = &self.front.net;
            net.first_unless_evicted(accepted, Rank::PartialMessage, frame)
                .await
        } else {
            frame.await
        };
        match frame {
            Ok(Ok(frame)) => Ok(frame),
            Ok(Err(bad)) => {
                let _ = self.answer(bad.status(), "", b"", false).await;
                Err(Reason::Malformed)
            }
            Err(Reason::Slow) => {
                let _ = self.answer(408, "", b"", false).await;
                Err(Reason::Slow)
            }
            Err(reason) => Err(reason),
        }
    }

    /// Answers every request but an accepted job; a job on a connection beyond the limit for clients is rejected.
    async fn answer_request(&self, request: ParsedRequest, keep: bool) -> Result<(), Reason> {
        let front = self.front;
        match request {
            ParsedRequest::Ready if front.lifecycle.drained.get() => {
                self.answer(503, "", b"drained\n", keep).await
            }
            ParsedRequest::Ready if front.ready.get() => {
                self.answer(200, "", b"ready\n", keep).await
            }
            ParsedRequest::Ready => self.answer(503, "", b"no machine list yet\n", keep).await,
            ParsedRequest::JobReport(report, text) => {
                front.handle_report(&text, report, None).await;
                self.answer(204, "", b"", keep).await
            }
            ParsedRequest::Bad(status, why) => self.answer(status, "", why.as_bytes(), keep).await,
            ParsedRequest::Job(job) => {
                // The last descriptors are reserved for reports, which end jobs and so free connections.
                front.metrics.count(job.request.class, End::Refused);
                let (after, why) = ("Retry-After: 0.5\r\n", b"no room for more connections\n");
                self.answer(503, after, why, false).await?;
                Err(Reason::NoCapacity)
            }
        }
    }

    /// Submits a job and answers it. Returns the buffer with the bytes read beyond the job's message, and whether the
    /// connection stays open.
    async fn serve_job(
        &self,
        job: NewJob,
        received_at: Time,
        buffer: Buffer,
        keep: bool,
    ) -> Result<(Buffer, bool), Reason> {
        let front = self.front;
        front.lifecycle.last_job.set(front.clock.now());
        // The client's waiting time starts when its request begins to arrive.
        let until = received_at + job.request.left;
        // A job that can migrate to another process is not limited by the shutdown of this one.
        let until = if front.migrates() {
            until
        } else {
            front.lifecycle.cap_deadline(until)
        };
        let mut rest = Some(buffer).filter(|b| !b.filled().is_empty());
        let connection = (keep, self.state);
        let (status, extra_headers, result) =
            submit_job(front, self.link, &mut rest, (job, until), connection).await?;
        let buffer = rest.take().unwrap_or_else(|| front.net.pool.take());
        // Decided once, after the wait: a connection is closed only if its answer says so.
        let keep = keep && !front.lifecycle.closes_after_answer() && !self.link.overrun();
        self.answer(status, &extra_headers, &result, keep).await?;
        Ok((buffer, keep))
    }

    async fn answer(
        &self,
        status: u16,
        extra_headers: &str,
        body: &[u8],
        keep: bool,
    ) -> Result<(), Reason> {
        self.state.status.set(status);
        answer(self.front, self.link, status, extra_headers, body, keep).await
    }
}

/// Status, extra headers (each with its line end) and body of an answer.
type AnswerParts = (u16, String, Vec<u8>);

/// Submits a job to the core and waits for its answer, for the client to leave, or for the job to migrate.
async fn submit_job(
    front: &Rc<Platform>,
    link: &Link,
    rest: &mut Option<Buffer>,
    (job, until): (NewJob, Time),
    connection: (bool, &ConnectionState),
) -> Result<AnswerParts, Reason> {
    let (mut request, message) = (job.request, (job.text, job.body_bytes));
    let (to, from) = bounded(1);
    let Some((id, record)) = front.register_job(&job.trace, message, to.downgrade()) else {
        front.metrics.count(request.class, End::Failed);
        return Ok((409, String::new(), b"a job of this id is open\n".into()));
    };
    request.id = id;
    let input = CoreInput::Job(request, until, Reply::Channel(to));
    if front.core.send(input).await.is_err() {
        return Ok((500, String::new(), Vec::new()));
    }
    wait_for_answer(front, link, rest, (id, &record, from), connection).await
}

/// Waits for a job's answer, for the client to leave, or for the job to migrate to another process.
async fn wait_for_answer(
    front: &Rc<Platform>,
    link: &Link,
    rest: &mut Option<Buffer>,
    (id, record, from): (JobId, &JobRecord, Receiver<Answer>),
    (keep, state): (bool, &ConnectionState),
) -> Result<AnswerParts, Reason> {
    let answer = async { Ok(from.recv().await.unwrap_or(Answer::Failed)) };
    let left = async { Err(link.wait_until_closed(rest, &front.net.pool).await) };
    let migrating = async {
        front.wait_until_released(id, record, keep, state).await;
        Err(Reason::Migrated)
    };
    match migrating.or(answer).or(left).await {
        Ok(Answer::Served) => Ok((
            200,
            String::new(),
            record.result.borrow_mut().take().unwrap_or_default(),
        )),
        Ok(Answer::Rejected(0)) => Ok((503, String::new(), Vec::new())),
        Ok(Answer::Rejected(after)) => Ok((
            503,
            format!("Retry-After: {:.3}\r\n", after as f64 / 1e6),
            Vec::new(),
        )),
        Ok(Answer::Failed) => Ok((500, String::new(), Vec::new())),
        Err(Reason::Migrated) => {
            let read = rest.take();
            state
                .rest
                .replace(read.map_or_else(Vec::new, |buffer| buffer.filled().to_vec()));
            Err(Reason::Migrated)
        }
        Err(reason) => {
            drop(from); // the job is no longer awaited, so no attempt of it starts to be sent
            let _ = front.core.send(CoreInput::ClientLeft(id)).await;
            Err(reason)
        }
    }
}

/// Sends one answer on the connection.
async fn answer(
    front: &Platform,
    link: &Link,
    status: u16,
    extra_headers: impl Display,
    body: &[u8],
    keep: bool,
) -> Result<(), Reason> {
    let mut buffer = front.net.pool.take();
    let close = if keep { "" } else { "Connection: close\r\n" };
    let length = if status == 204 {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head = write!(
        buffer,
        "HTTP/1.1 {status} {}\r\n{extra_headers}{length}{close}\r\n",
        http::reason(status)
    );
    // A body that doesn't fit into the buffer is sent separately after the head.
    if head.is_ok() && body.len() <= buffer.spare().len() {
        let _ = buffer.write_all(body);
        return link.send(buffer.filled(), WRITE_TIMEOUT).await;
    }
    link.send(buffer.filled(), WRITE_TIMEOUT).await?;
    link.send(body, WRITE_TIMEOUT).await
}
