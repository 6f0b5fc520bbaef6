//! Writes access logs as the schedulers would have written them in a run. A `live` run keeps no other record of its traffic,
//! so a replay of it starts from what such logs hold.

use crate::scenario::{Effect, Micros, Scenario};
use crate::virtual_time::LoggedRequest;
use jiff::tz::Offset;
use jiff::{Timestamp, fmt::strtime};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::io::{self, Write};

/// The format of a written log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    /// Combined Log Format: seconds, no durations, no headers.
    Combined,
    /// An Apache log with microseconds, durations and headers.
    Apache,
    /// An nginx log with milliseconds, durations and headers.
    Nginx,
    /// Envoy's default text format.
    Envoy,
    /// HAR 1.2.
    Har,
}

/// The `LogFormat` of [`Form::Apache`].
pub const APACHE: &str = concat!(
    r#"%h %l %u %{usec}t "%r" %>s %b %D "%{X-Customer}i" "%{X-Trace-Id}i" "%{Idempotency-Key}i" "#,
    r#""%{X-Second-Try}i" "%{X-Expires-In-Ms}i" "%{X-Props}i""#
);
/// The `log_format` of [`Form::Nginx`].
pub const NGINX: &str = concat!(
    r#"$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent $msec $request_time "#,
    r#""$http_x_customer" "$http_x_trace_id" "$http_idempotency_key" "$http_x_second_try" "#,
    r#""$http_x_expires_in_ms" "$http_x_props""#
);

impl Form {
    /// Returns the importer's name of the format.
    pub fn name(self) -> String {
        match self {
            Form::Combined => "combined".into(),
            Form::Apache => format!("apache:{APACHE}"),
            Form::Nginx => format!("nginx:{NGINX}"),
            Form::Envoy => "envoy".into(),
            Form::Har => "har".into(),
        }
    }

    /// Returns the file name extension.
    pub fn ending(self) -> &'static str {
        match self {
            Form::Har => "har",
            _ => "log",
        }
    }
}

/// Fractions of log lines that are lost and damaged.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogDamage {
    /// Fraction of lines that are missing from the log.
    pub lost: f64,
    /// Fraction of lines that are truncated, partly overwritten or partly repeated.
    pub damaged: f64,
}

/// Writes the log of one scheduler.
pub struct Log<W: Write> {
    form: Form,
    out: W,
    is_first_entry: bool,
    minute: (i64, String),
    damage: LogDamage,
    rng: Pcg64Mcg,
}

/// Returns the IP address of a client of a parish.
pub fn address(parish: u32, client: u32) -> String {
    format!(
        "10.{}.{}.{}",
        network_byte(parish),
        client / 250,
        1 + client % 250
    )
}

/// Returns the second byte of the addresses of a parish's clients.
fn network_byte(parish: u32) -> u32 {
    4 + parish % 200
}

/// Returns the trace ID of one try of a job, which differs between tries.
fn trace_id(number: u64, tried: u32) -> String {
    format!(
        "{:016x}",
        (number << 4 | u64::from(tried)).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5bd1_e995
    )
}

/// The data of a request that the log formats hold.
struct LogEntry {
    from: Micros,
    to: Micros,
    address: String,
    target: String,
    /// `None` if the client left before the response.
    status: Option<u16>,
    /// Size of the response body in bytes.
    bytes: u32,
    trace_id: String,
    /// Values of [`HEADERS`], in their order; `-` if absent.
    headers: [String; 6],
}

/// The request headers that are logged.
const HEADERS: [&str; 6] = [
    "X-Customer",
    "X-Trace-Id",
    "Idempotency-Key",
    "X-Second-Try",
    "X-Expires-In-Ms",
    "X-Props",
];
/// The status that nginx logs if the client left before the response.
const CLIENT_CLOSED_REQUEST: u16 = 499;

impl LogEntry {
    fn new(scenario: &Scenario, t: &LoggedRequest<'_>) -> Self {
        let (a, class) = (t.arrival, &scenario.classes[t.arrival.class as usize]);
        let parish = a.parish.map(|p| scenario.parishes[p as usize].name.clone());
        let key = match class.effect {
            Effect::Keyed(_) => Some(a.number.wrapping_mul(0x2545_f491_4f6c_dd1d)),
            Effect::Safe | Effect::Unsafe => None,
        };
        let marked = scenario.clients.retries_marked && t.retry > 0;
        let trace_id = trace_id(a.number, t.retry);
        let expires_ms = (a.at + a.deadline).saturating_sub(t.from) / 1000;
        let none = || "-".to_string();
        LogEntry {
            from: t.from,
            to: t.to,
            address: address(a.parish.unwrap_or(200), a.client),
            target: format!("/{}/{}", class.name, a.subject),
            status: t.status,
            bytes: if t.status == Some(200) { 64 } else { 0 },
            headers: [
                parish.unwrap_or_else(none),
                trace_id.clone(),
                key.map_or_else(none, |key| format!("k{key:016x}")),
                if marked { "1".to_string() } else { none() },
                expires_ms.to_string(),
                format!("needs={}", a.slots),
            ],
            trace_id,
        }
    }

    fn took(&self) -> Micros {
        self.to - self.from
    }

    /// Returns request line, status and size in the notation of the text formats.
    fn request(&self) -> String {
        let LogEntry { target, bytes, .. } = self;
        let status = self.status.unwrap_or(CLIENT_CLOSED_REQUEST);
        format!("\"POST {target} HTTP/1.1\" {status} {bytes}")
    }

    fn quoted_headers(&self) -> String {
        self.headers
            .each_ref()
            .map(|h| format!("\"{h}\""))
            .join(" ")
    }

    fn combined(&self, time: &str) -> String {
        let (peer, request) = (&self.address, self.request());
        format!("{peer} - - [{time}] {request} \"-\" \"office/1.0\"")
    }

    fn apache(&self) -> String {
        let (peer, from, request) = (&self.address, self.from, self.request());
        let (took, headers) = (self.took(), self.quoted_headers());
        format!("{peer} - - {from} {request} {took} {headers}")
    }

    fn nginx(&self, time: &str) -> String {
        let (peer, request, headers) = (&self.address, self.request(), self.quoted_headers());
        let (ended_s, took_s) = (self.to as f64 / 1e6, self.took() as f64 / 1e6);
        format!("{peer} - - [{time}] {request} {ended_s:.3} {took_s:.3} {headers}")
    }

    fn envoy(&self) -> String {
        let (time, ms) = (iso_time(self.from), self.took() / 1000);
        let (status, flags) = self.status.map_or((0, "DC"), |status| (status, "-"));
        let LogEntry {
            address: peer,
            target,
            bytes,
            trace_id,
            ..
        } = self;
        format!(
            "[{time}] \"POST {target} HTTP/1.1\" {status} {flags} via_upstream - \"-\" 128 {bytes} {ms} - \
             \"{peer}\" \"office/1.0\" \"{trace_id}\" \"jobs.internal\" \"127.0.0.1:8443\""
        )
    }

    fn har(&self) -> String {
        let pairs = HEADERS.iter().zip(&self.headers);
        let headers: Vec<_> = pairs
            .filter(|(_, value)| *value != "-")
            .map(|(name, value)| json!({"name": name, "value": value}))
            .collect();
        let (peer, target, bytes) = (&self.address, &self.target, self.bytes);
        let ms = match self.status {
            Some(_) => self.took() as f64 / 1e3,
            None => -1.0,
        };
        json!({"startedDateTime": iso_time(self.from), "time": ms,
            "request": {"method": "POST", "url": format!("http://jobs.internal{target}"),
                "httpVersion": "HTTP/1.1", "headers": headers, "cookies": [], "queryString": [],
                "headersSize": -1, "bodySize": 128},
            "response": {"status": self.status.unwrap_or(0), "statusText": "", "httpVersion": "HTTP/1.1",
                "headers": [], "cookies": [], "content": {"size": bytes, "mimeType": "text/plain"},
                "redirectURL": "", "headersSize": -1, "bodySize": bytes},
            "cache": {}, "timings": {"send": 0, "wait": ms, "receive": 0}, "_clientIPAddress": peer})
        .to_string()
    }
}

impl<W: Write> Log<W> {
    /// Starts a log. Which lines are lost or damaged is drawn from `seed`.
    ///
    /// # Errors
    /// Writing to the output failed.
    pub fn new(form: Form, mut out: W, damage: LogDamage, seed: u64) -> io::Result<Self> {
        if form == Form::Har {
            out.write_all(
                br#"{"log":{"version":"1.2","creator":{"name":"indigofold-replay","version":"0.2"},"entries":["#,
            )?;
        }
        let minute = (i64::MIN, String::new());
        Ok(Log {
            form,
            out,
            is_first_entry: true,
            minute,
            damage,
            rng: crate::sampling::draw(seed, 0, 0x4a43),
        })
    }

    /// Writes the line or HAR entry of a request.
    ///
    /// # Errors
    /// Writing to the output failed.
    pub fn write(&mut self, scenario: &Scenario, t: &LoggedRequest<'_>) -> io::Result<()> {
        let text = self.render(scenario, t);
        let draw = crate::sampling::unit(&mut self.rng);
        if draw < self.damage.lost {
            return Ok(());
        }
        let mut bytes = text.into_bytes();
        if draw < self.damage.lost + self.damage.damaged {
            // Truncated, overwritten with zeros, or with its beginning repeated: a third each.
            let at = (crate::sampling::unit(&mut self.rng) * bytes.len() as f64) as usize;
            match (draw * 1e6) as u64 % 3 {
                0 => bytes.truncate(at),
                1 => bytes.iter_mut().skip(at).take(24).for_each(|b| *b = 0),
                _ => {
                    let beginning = bytes[..at].to_vec();
                    bytes.splice(at..at, beginning);
                }
            }
            bytes.retain(|b| *b != b'\n');
        }
        if self.form == Form::Har && !self.is_first_entry {
            self.out.write_all(b",")?;
        }
        self.is_first_entry = false;
        self.out.write_all(&bytes)?;
        self.out.write_all(b"\n")
    }

    /// Finishes the log: closes the HAR document and flushes.
    ///
    /// # Errors
    /// Writing to the output failed.
    pub fn finish(mut self) -> io::Result<()> {
        if self.form == Form::Har {
            self.out.write_all(b"]}}\n")?;
        }
        self.out.flush()
    }

    fn render(&mut self, scenario: &Scenario, t: &LoggedRequest<'_>) -> String {
        let entry = LogEntry::new(scenario, t);
        match self.form {
            Form::Combined => entry.combined(&self.clf_time(entry.from)),
            Form::Apache => entry.apache(),
            Form::Nginx => entry.nginx(&self.clf_time(entry.to)),
            Form::Envoy => entry.envoy(),
            Form::Har => entry.har(),
        }
    }

    fn clf_time(&mut self, at: Micros) -> String {
        let second = (at / 1_000_000) as i64;
        let minute = second.div_euclid(60);
        if self.minute.0 != minute {
            let begin =
                Offset::UTC.to_datetime(Timestamp::from_second(minute * 60).unwrap_or_default());
            self.minute = (
                minute,
                strtime::format("%d/%b/%Y:%H:%M", begin).unwrap_or_default(),
            );
        }
        format!("{}:{:02} +0000", self.minute.1, second.rem_euclid(60))
    }
}

fn iso_time(at: Micros) -> String {
    let stamp = Timestamp::from_microsecond(at as i64 / 1000 * 1000).unwrap_or_default();
    format!("{stamp:.3}")
}

/// Returns the mapping file for importing logs of this format.
pub fn mapping(scenario: &Scenario, form: Form) -> serde_json::Value {
    let networks: serde_json::Map<_, _> = scenario
        .parishes
        .iter()
        .enumerate()
        .map(|(n, p)| {
            (
                p.name.clone(),
                json!([format!("10.{}.0.0/16", network_byte(n as u32))]),
            )
        })
        .collect();
    let deadlines: serde_json::Map<_, _> = scenario
        .classes
        .iter()
        .map(|c| (c.name.clone(), c.deadline_ms.into()))
        .collect();
    // Only known classes are mapped, as damaged lines hold other names.
    let classes: serde_json::Map<_, _> = scenario
        .classes
        .iter()
        .map(|c| (c.name.clone(), c.name.clone().into()))
        .collect();
    let header = |name: &str| json!([{"from": {"header": name}}]);
    let mut mapping = json!({"version": 1, "networks": networks, "jobs": {"not-paths": ["/_", "/-/"]},
        "class": [{"from": {"segment": 0}, "names": classes}], "subject": [{"from": {"segment": 1}}], "deadline-of": deadlines,
        "guess": {"within-ms": scenario.clients.max_retry_after_ms + 300, "tries": scenario.clients.retries + 1}});
    let rest = match form {
        Form::Combined => json!({"parish": [{"from": "network"}]}),
        Form::Envoy => json!({"parish": [{"from": "network"}], "id": header("x-request-id")}),
        _ => json!({"parish": [{"from": {"header": "x-customer"}}, {"from": "network"}],
            "key": header("idempotency-key"), "id": header("x-trace-id"), "retry-mark": header("x-second-try"),
            "slots": [{"from": {"pair": ["x-props", "needs"]}}], "deadline-ms": header("x-expires-in-ms")}),
    };
    if let (Some(to), serde_json::Value::Object(rest)) = (mapping.as_object_mut(), rest) {
        to.extend(rest);
    }
    if form == Form::Envoy {
        // Envoy's default format logs the client's address only in X-Forwarded-For, and no peer address.
        mapping["parish"] = json!([{"from": "network"}]);
    }
    mapping
}
