//! Decodes an entry of a HAR document into a record.

use crate::job::Micros;
use crate::raw::{HeaderField, RawRecord};
use crate::tally::Reason;
use crate::timestamp::{Reader, RecordedTime, TimeFormat};
use serde::Deserialize;
use std::borrow::Cow;

/// Durations of this many milliseconds or more are treated as unknown.
const MAX_DURATION_MS: f64 = 1e9;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    started_date_time: Option<String>,
    time: Option<f64>,
    request: Option<Request>,
    response: Option<Response>,
    /// Address of the client. HAR 1.2 has no field for it, but some tools write one.
    #[serde(alias = "_clientIPAddress", alias = "clientIPAddress")]
    client: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Request {
    method: Option<String>,
    url: Option<String>,
    #[serde(default)]
    headers: Vec<Pair>,
    #[serde(default)]
    cookies: Vec<Pair>,
    body_size: Option<f64>,
}

#[derive(Deserialize)]
struct Response {
    status: Option<f64>,
}

#[derive(Deserialize)]
struct Pair {
    #[serde(default)]
    name: String,
    #[serde(default)]
    value: String,
}

/// Decodes one entry. An entry of an aborted request has the time -1 and the status 0: the request was sent, but has no
/// response.
///
/// # Errors
/// The reason why it is rejected.
pub fn read(text: &[u8], timestamps: &mut Reader) -> Result<RawRecord<'static>, Reason> {
    let entry: Entry = serde_json::from_slice(text).map_err(|_| Reason::Malformed)?;
    let time = start_time(entry.started_date_time, timestamps)?;
    let request = entry.request.ok_or(Reason::BadRequest)?;
    let url = request
        .url
        .filter(|url| !url.is_empty())
        .ok_or(Reason::BadRequest)?;
    let status = status(entry.response.and_then(|response| response.status))?;
    Ok(RawRecord {
        time: Some(time),
        peer: entry.client.map(Cow::Owned),
        method: request.method.map(Cow::Owned),
        target: Some(Cow::Owned(url)),
        status,
        // Without a response, the recorded time is not a response time.
        took: status.and(duration(entry.time)),
        received: request
            .body_size
            .filter(|bytes| *bytes >= 0.0)
            .map(|bytes| bytes as u64),
        headers: headers(request.headers, request.cookies),
        ..RawRecord::default()
    })
}

fn start_time(start_text: Option<String>, timestamps: &mut Reader) -> Result<RecordedTime, Reason> {
    let start_text = start_text
        .filter(|text| !text.is_empty())
        .ok_or(Reason::NoTime)?;
    timestamps
        .read(&TimeFormat::Iso, &start_text)
        .map_err(|_| Reason::BadTime)
}

fn status(status: Option<f64>) -> Result<Option<u16>, Reason> {
    match status {
        None => Ok(None),
        Some(absent) if absent <= 0.0 => Ok(None),
        Some(status) if (100.0..600.0).contains(&status) => Ok(Some(status as u16)),
        Some(_) => Err(Reason::BadStatus),
    }
}

fn duration(time_ms: Option<f64>) -> Option<Micros> {
    time_ms
        .filter(|ms| ms.is_finite() && *ms >= 0.0 && *ms < MAX_DURATION_MS)
        .map(|ms| (ms * 1000.0).round() as Micros)
}

/// Returns the headers with their names in lower case, then the cookies as `cookie.NAME`.
fn headers(headers: Vec<Pair>, cookies: Vec<Pair>) -> Vec<HeaderField<'static>> {
    let headers = headers
        .into_iter()
        .map(|pair| (pair.name.to_ascii_lowercase(), pair.value));
    let cookies = cookies
        .into_iter()
        .map(|pair| (format!("cookie.{}", pair.name), pair.value));
    headers
        .chain(cookies)
        .map(|(name, value)| HeaderField {
            name: Cow::Owned(name),
            value: Cow::Owned(value),
        })
        .collect()
}
