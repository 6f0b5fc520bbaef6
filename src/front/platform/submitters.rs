//! One actor for each accepted connection: submitters with their jobs, job workers with their news, and
//! whoever asks whether the program is ready.

use super::Platform;
use crate::api::{Effect, Request, Time};
use crate::config::News;
use crate::core::{Answer, Told};
use crate::net::buffer::Buffer;
use crate::net::http::{self, Bad, Frame, Head, Kind, Progress};
use crate::net::{Link, Reason, within};
use async_channel::bounded;
use async_io::Async;
use futures_lite::FutureExt;
use std::fmt::Display;
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// A message must be whole this long after its first byte.
const SLOW: Duration = Duration::from_secs(10);
/// An answer must be taken within this time.
const STALLED: Duration = Duration::from_secs(5);
/// The longest time that a submitter can say it waits.
const LEFT_MOST: u64 = 24 * 3600 * 1000;

/// Accepts connections for as long as the program runs.
pub async fn listen(front: Rc<Platform>, listener: Async<TcpListener>) {
    loop {
        let link = front.net.accept(&listener).await;
        front.net.start(serve(front.clone(), link));
    }
}

/// What a request asks for.
enum Wish {
    Ready,
    News(Option<Told>),
    Job { request: Request, trace: String, text: Buffer, body: usize },
    Bad(u16, &'static str),
}

/// Serves one connection to its end.
async fn serve(front: Rc<Platform>, link: Link) {
    let mut served = 0;
    let reason = talk(&front, &link, &mut served).await;
    link.end("submitter", reason, format_args!("messages={served}"));
}

async fn talk(front: &Rc<Platform>, link: &Link, served: &mut u64) -> Reason {
    let (mut kept, mut since) = (None::<Buffer>, front.clock.now());
    loop {
        // A buffer is only held while there is something in it.
        let mut buffer = match kept.take() {
            Some(buffer) => buffer,
            None => {
                let offer = front.net.set.offer();
                let readable = async { link.readable().await.map_err(|_| Reason::Broke) };
                let shed = async {
                    offer.asked().await;
                    Err(if front.life.stopping.get() { Reason::Stopping } else { Reason::Shed })
                };
                if let Err(reason) = readable.or(shed).await {
                    return reason;
                }
                since = front.clock.now();
                front.net.pool.take()
            }
        };
        let frame = match within(SLOW, Reason::Slow, receive(link, &mut buffer)).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(bad)) => {
                let _ = answer(front, link, bad.status(), "", b"", false).await;
                linger(link, &mut buffer).await;
                return Reason::Malformed;
            }
            Err(Reason::Slow) => {
                let _ = answer(front, link, 408, "", b"", false).await;
                return Reason::Slow;
            }
            Err(reason) => return reason,
        };
        *served += 1;
        let wish = read(front, &buffer, &frame);
        buffer.consume(frame.total);
        let submitter = matches!(wish, Wish::Job { .. });
        let done = match wish {
            Wish::Ready if front.ready.get() => answer(front, link, 200, "", b"ready\n", frame.keep).await,
            Wish::Ready => answer(front, link, 503, "", b"no machine list yet\n", frame.keep).await,
            Wish::News(told) => {
                if let Some(told) = told {
                    let _ = front.core.send(told).await;
                }
                answer(front, link, 204, "", b"", frame.keep).await
            }
            Wish::Bad(status, why) => answer(front, link, status, "", why.as_bytes(), frame.keep).await,
            Wish::Job { .. } if link.extra() => {
                // The last descriptors are for news, which ends jobs and so makes room.
                let (after, why) = ("Retry-After: 0.5\r\n", b"no room for more connections\n");
                answer(front, link, 503, after, why, false).await.and(Err(Reason::NoRoom))
            }
            Wish::Job { request, trace, text, body } => {
                front.life.last_job.set(front.clock.now());
                // The submitter's time runs from when it began to send.
                let until = since + request.left;
                kept = Some(buffer).filter(|b| !b.filled().is_empty());
                let done =
                    job(front, link, &mut kept, (request, until), (&trace, text, body), frame.keep).await;
                buffer = kept.take().unwrap_or_else(|| front.net.pool.take());
                done
            }
        };
        if let Err(reason) = done {
            return reason;
        }
        if !frame.keep || (submitter && front.life.stopping.get()) {
            return Reason::Done;
        }
        kept = Some(buffer).filter(|b| !b.filled().is_empty());
        since = front.clock.now();
    }
}

/// Reads until a whole request stands at the front of the buffer.
async fn receive(link: &Link, buffer: &mut Buffer) -> Result<Result<Frame, Bad>, Reason> {
    let mut told_to_go_on = false;
    loop {
        if !buffer.filled().is_empty() {
            match http::look(buffer, Kind::Request) {
                Err(bad) => return Ok(Err(bad)),
                Ok(Progress::Whole(frame)) => return Ok(Ok(frame)),
                Ok(Progress::Part(true)) if !told_to_go_on => {
                    told_to_go_on = true;
                    link.send(b"HTTP/1.1 100 Continue\r\n\r\n", STALLED).await?;
                }
                Ok(Progress::Part(_)) => {}
            }
        }
        let empty = buffer.filled().is_empty();
        if buffer.room().is_empty() {
            return Ok(Err(Bad::BodyTooLarge)); // framing alone has filled it
        }
        match link.read(buffer).await {
            Ok(0) if empty => return Err(Reason::PeerClosed),
            Ok(0) => return Err(Reason::PeerLeft),
            Ok(_) => {}
            Err(_) => return Err(Reason::Broke),
        }
    }
}

/// Reads on for a moment after a refusal: a close with bytes unread would reset the answer away.
async fn linger(link: &Link, buffer: &mut Buffer) {
    let rest = async {
        loop {
            buffer.clear();
            if !matches!(link.read(buffer).await, Ok(1..)) {
                return Err::<(), _>(Reason::PeerLeft);
            }
        }
    };
    link.shut();
    let _ = within(Duration::from_millis(200), Reason::Slow, rest).await;
}

/// What a request asks for.
fn read(front: &Platform, buffer: &Buffer, frame: &Frame) -> Wish {
    let Some((head, body)) = frame.read(buffer, Kind::Request) else {
        return Wish::Bad(400, "a header is no text\n");
    };
    let path = head.target.split('?').next().unwrap_or("");
    match (head.method, path) {
        ("GET", "/-/ready") => Wish::Ready,
        ("POST", "/_jobs/news") => {
            // The reader works on the text in place: on a copy, as more messages may stand behind this one.
            let mut copy = front.net.pool.take();
            match copy.write_all(body).map_err(|e| e.to_string()).and_then(|()| News::read(copy.filled_mut()))
            {
                Ok(news) => Wish::News(front.hear(news)),
                Err(_) => Wish::Bad(400, "no news\n"),
            }
        }
        (_, "/-/ready" | "/_jobs/news") => Wish::Bad(405, ""),
        ("POST", _) => job_of(front, &head, body, path).unwrap_or_else(|why| Wish::Bad(400, why)),
        _ => Wish::Bad(405, "jobs come by POST\n"),
    }
}

fn job_of(front: &Platform, head: &Head<'_>, body: &[u8], path: &str) -> Result<Wish, &'static str> {
    let site = front.site.borrow();
    let name = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let Some(class) = site.classes.find(name) else { return Ok(Wish::Bad(404, "no such class of jobs\n")) };
    let settings = &site.settings.classes[class as usize];
    let trace = head.header("X-Trace-Id").filter(|t| !t.is_empty()).ok_or("X-Trace-Id is missing\n")?;
    // It becomes part of a path when an attempt is given up.
    if trace.len() > 128 || !trace.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:~".contains(&b)) {
        return Err("X-Trace-Id must be one word\n");
    }
    let key = head.header("Idempotency-Key");
    if key.is_none() && matches!(settings.effect, Effect::Keyed { .. }) {
        return Err("Idempotency-Key is missing\n");
    }
    let left = match head.header("X-Expires-In-Ms") {
        None => settings.deadline,
        Some(ms) => {
            ms.parse::<u64>().map_err(|_| "X-Expires-In-Ms must be whole milliseconds\n")?.min(LEFT_MOST)
                * 1000
        }
    };
    let mut request = Request {
        id: 0,
        class,
        tenant: head.header("X-Customer").and_then(|name| site.tenants.find(name)).unwrap_or(u32::MAX),
        left,
        estimate: None,
        slots: 1.0,
        memory: 0.0,
    };
    for (name, value) in head.header("X-Props").unwrap_or("").split(',').filter_map(|p| p.split_once('=')) {
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        match (name.trim(), value) {
            ("needs" | "slots", Some(v)) => request.slots = v,
            ("mem" | "memory", Some(v)) => request.memory = v,
            ("estimate" | "hint", Some(v)) => request.estimate = Some(v as Time),
            _ => {}
        }
    }
    // What passes on unchanged; the time left is added when a claim goes out.
    let mut passed = front.net.pool.take();
    let written = passed
        .write_all(body)
        .and_then(|()| write!(passed, "{} {} HTTP/1.1\r\n", head.method, head.target))
        .and_then(|()| header(&mut passed, "Host", Some("service.internal")))
        .and_then(|()| header(&mut passed, "X-Trace-Id", Some(trace)))
        .and_then(|()| header(&mut passed, "Idempotency-Key", key))
        .and_then(|()| header(&mut passed, "X-Customer", head.header("X-Customer")))
        .and_then(|()| header(&mut passed, "X-Props", head.header("X-Props")))
        .and_then(|()| header(&mut passed, "Content-Type", head.header("Content-Type")))
        .and_then(|()| write!(passed, "Content-Length: {}\r\n", body.len()));
    written.map_err(|_| "the request is too large\n")?;
    Ok(Wish::Job { request, trace: trace.to_string(), text: passed, body: body.len() })
}

fn header(to: &mut Buffer, name: &str, value: Option<&str>) -> std::io::Result<()> {
    value.map_or(Ok(()), |value| write!(to, "{name}: {value}\r\n"))
}

/// Hands a job to the core and waits for its answer, or for the submitter to leave.
async fn job(
    front: &Rc<Platform>, link: &Link, rest: &mut Option<Buffer>, (mut request, until): (Request, Time),
    (trace, text, body): (&str, Buffer, usize), keep: bool,
) -> Result<(), Reason> {
    let Some((id, parcel)) = front.take_in(trace, text, body) else {
        return answer(front, link, 409, "", b"a job of this id is open\n", keep).await;
    };
    request.id = id;
    let (to, from) = bounded(1);
    if front.core.send(Told::Job(request, until, to)).await.is_err() {
        return answer(front, link, 500, "", b"", false).await;
    }
    let answered = async { Ok(from.recv().await.unwrap_or(Answer::Failed)) };
    match answered.or(async { Err(link.left(rest, &front.net.pool).await) }).await {
        Ok(Answer::Served) => {
            let result = parcel.result.borrow_mut().take().unwrap_or_default();
            answer(front, link, 200, "", &result, keep).await
        }
        Ok(Answer::Requeue(0)) => answer(front, link, 503, "", b"", keep).await,
        Ok(Answer::Requeue(after)) => {
            let seconds = after as f64 / 1e6;
            answer(front, link, 503, format_args!("Retry-After: {seconds:.3}\r\n"), b"", keep).await
        }
        Ok(Answer::Failed) => answer(front, link, 500, "", b"", keep).await,
        Err(reason) => {
            let _ = front.core.send(Told::Gone(id)).await;
            Err(reason)
        }
    }
}

/// Writes one answer.
async fn answer(
    front: &Platform, link: &Link, status: u16, more: impl Display, body: &[u8], keep: bool,
) -> Result<(), Reason> {
    let mut buffer = front.net.pool.take();
    let close = if keep && !front.life.stopping.get() { "" } else { "Connection: close\r\n" };
    let length = if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = write!(buffer, "HTTP/1.1 {status} {}\r\n{more}{length}{close}\r\n", http::reason(status));
    // A result that one buffer does not hold goes out after the head.
    if head.is_ok() && body.len() <= buffer.room().len() {
        let _ = buffer.write_all(body);
        return link.send(buffer.filled(), STALLED).await;
    }
    link.send(buffer.filled(), STALLED).await?;
    link.send(body, STALLED).await
}
