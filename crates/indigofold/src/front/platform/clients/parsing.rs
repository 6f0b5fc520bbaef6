//! Parsing of requests on accepted connections: jobs, reports on jobs, and readiness checks.

use crate::api::{ClassId, Effect, Request, Time};
use crate::config::{self, JobReport, Site};
use crate::front::platform::Platform;
use crate::net::buffer::Buffer;
use crate::net::http::{Frame, Head, MessageKind};
use indigofold_core::metrics::End;
use std::io::Write;

/// Headers that a job's request may carry at most once.
const SINGLE_HEADERS: [&str; 5] = [
    "X-Trace-Id",
    "Idempotency-Key",
    "X-Expires-In-Ms",
    "X-Customer",
    "X-Props",
];
/// Longest job id in bytes; the id becomes part of a request path.
const MAX_TRACE_BYTES: usize = 128;
/// Upper limit of the waiting time that a client can set.
const MAX_CLIENT_WAIT_MS: u64 = 24 * 3600 * 1000;

/// A parsed request.
pub(super) enum ParsedRequest {
    /// A readiness check.
    Ready,
    /// A report on a job, and its original text.
    JobReport(JobReport, Vec<u8>),
    /// A new job.
    Job(NewJob),
    /// An invalid request: the status of the answer, and the reason in its body.
    Bad(u16, &'static str),
}

/// A job that a client has sent.
pub(super) struct NewJob {
    pub(super) request: Request,
    /// The job id chosen by the client (`X-Trace-Id`).
    pub(super) trace: String,
    /// The message to forward: first the body, then the request line and the forwarded headers.
    pub(super) text: Buffer,
    pub(super) body_bytes: usize,
}

/// Parses a complete request.
pub(super) fn parse(front: &Platform, buffer: &Buffer, frame: &Frame) -> ParsedRequest {
    let Some((head, body)) = frame.read(buffer, MessageKind::Request) else {
        return ParsedRequest::Bad(400, "a header is no text\n");
    };
    let path = head.target.split('?').next().unwrap_or("");
    match (head.method, path) {
        ("GET", "/-/ready") => ParsedRequest::Ready,
        ("POST", "/_jobs/news") => {
            // The JSON parser modifies its input. It gets a copy, as the buffer may hold further messages.
            let mut message = front.net.pool.take();
            let copied = message.write_all(body).is_ok();
            let report = copied.then(|| JobReport::read(message.filled_mut()));
            match report {
                Some(Ok(report)) => ParsedRequest::JobReport(report, body.to_vec()),
                _ => ParsedRequest::Bad(400, "no news\n"),
            }
        }
        (_, "/-/ready" | "/_jobs/news") => ParsedRequest::Bad(405, ""),
        ("POST", _) if !frame.sized => ParsedRequest::Bad(411, "a job's length must be said\n"),
        // With a repeated header it would be ambiguous which value applies.
        ("POST", _) if head.repeats(&SINGLE_HEADERS) => {
            ParsedRequest::Bad(400, "a header stands twice\n")
        }
        ("POST", _) => {
            parse_job(front, &head, body, path).unwrap_or_else(|why| ParsedRequest::Bad(400, why))
        }
        _ => ParsedRequest::Bad(405, "jobs come by POST\n"),
    }
}

/// Parses a job. An invalid job of a known class is counted as failed.
fn parse_job(
    front: &Platform,
    head: &Head<'_>,
    body: &[u8],
    path: &str,
) -> Result<ParsedRequest, &'static str> {
    let site = front.site.borrow();
    let name = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let Some(class) = site.class(name) else {
        // A class that was removed from the settings is still counted.
        site.classes
            .find(name)
            .inspect(|dropped| front.metrics.count(*dropped, End::Failed));
        return Ok(ParsedRequest::Bad(404, "no such class of jobs\n"));
    };
    // The subject is the last part of the path; a path with only one part has none.
    let subject = path
        .trim_start_matches('/')
        .rsplit_once('/')
        .and_then(|(_, last)| config::subject(last));
    let job = parse_job_of_class(front, &site, (class, subject), (head, body));
    job.inspect_err(|_| front.metrics.count(class, End::Failed))
}

/// Parses a job of a known class. The error is the reason for the client.
fn parse_job_of_class(
    front: &Platform,
    site: &Site,
    (class, subject): (ClassId, Option<u64>),
    (head, body): (&Head<'_>, &[u8]),
) -> Result<ParsedRequest, &'static str> {
    let settings = &site.settings.classes[class as usize];
    let trace = parse_trace(head)?;
    let key = head.header("Idempotency-Key");
    if key.is_none() && matches!(settings.effect, Effect::Keyed { .. }) {
        return Err("Idempotency-Key is missing\n");
    }
    let mut request = Request {
        id: 0,
        class,
        tenant: head
            .header("X-Customer")
            .and_then(|name| site.tenants.find(name))
            .unwrap_or(u32::MAX),
        left: parse_time_left(head)?.unwrap_or(settings.deadline),
        estimate: None,
        slots: 1.0,
        memory: 0.0,
        subject,
    };
    parse_properties(head, &mut request);
    let text = forwarded_message(front, head, trace, body);
    Ok(ParsedRequest::Job(NewJob {
        request,
        trace: trace.to_string(),
        text: text.map_err(|_| "the request is too large\n")?,
        body_bytes: body.len(),
    }))
}

/// Parses the client's job id. The id becomes part of the request path when an attempt is cancelled.
fn parse_trace<'a>(head: &Head<'a>) -> Result<&'a str, &'static str> {
    let trace = head
        .header("X-Trace-Id")
        .filter(|t| !t.is_empty())
        .ok_or("X-Trace-Id is missing\n")?;
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:~".contains(&b);
    if trace.len() > MAX_TRACE_BYTES || !trace.bytes().all(allowed) {
        return Err("X-Trace-Id must be one word\n");
    }
    Ok(trace)
}

/// Parses how long the client waits, in microseconds; `None` if the header is absent.
fn parse_time_left(head: &Head<'_>) -> Result<Option<Time>, &'static str> {
    let Some(text) = head.header("X-Expires-In-Ms") else {
        return Ok(None);
    };
    let digits = Some(text).filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()));
    let milliseconds = digits
        .and_then(|ms| ms.parse::<u64>().ok())
        .ok_or("X-Expires-In-Ms must be whole milliseconds\n")?;
    Ok(Some(milliseconds.min(MAX_CLIENT_WAIT_MS) * 1000))
}

/// Parses the job's resource needs. Unknown properties are skipped, as are values that are not finite numbers of at least 0.
fn parse_properties(head: &Head<'_>, request: &mut Request) {
    let properties = head.header("X-Props").unwrap_or("");
    for (name, value) in properties.split(',').filter_map(|p| p.split_once('=')) {
        let value = value.trim().parse::<f64>().ok();
        match (name.trim(), value.filter(|v| v.is_finite() && *v >= 0.0)) {
            ("needs" | "slots", Some(v)) => request.slots = v,
            ("mem" | "memory", Some(v)) => request.memory = v,
            ("estimate" | "hint", Some(v)) => request.estimate = Some(v as Time),
            _ => {}
        }
    }
}

/// Builds the part of the message that all attempts share, the body first. The remaining time is added when an attempt is
/// sent.
fn forwarded_message(
    front: &Platform,
    head: &Head<'_>,
    trace: &str,
    body: &[u8],
) -> std::io::Result<Buffer> {
    let mut message = front.net.pool.take();
    message.write_all(body)?;
    write!(message, "{} {} HTTP/1.1\r\n", head.method, head.target)?;
    write_header(&mut message, "Host", Some("service.internal"))?;
    write_header(&mut message, "X-Trace-Id", Some(trace))?;
    for name in ["Idempotency-Key", "X-Customer", "X-Props", "Content-Type"] {
        write_header(&mut message, name, head.header(name))?;
    }
    write!(message, "Content-Length: {}\r\n", body.len())?;
    Ok(message)
}

fn write_header(to: &mut Buffer, name: &str, value: Option<&str>) -> std::io::Result<()> {
    value.map_or(Ok(()), |value| write!(to, "{name}: {value}\r\n"))
}
