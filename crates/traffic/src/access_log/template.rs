//! Fields between literals: what Apache's, nginx's and Envoy's format strings all come down to.

use super::error::FormatError;
use crate::job::Micros;
use crate::raw::{HeaderField, RawRecord};
use crate::tally::Reason;
use crate::timestamp::{Reader, RecordedTime, TimeFormat};
use memchr::{memchr, memmem};
use std::borrow::Cow;

/// The meaning of a field of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Field {
    /// Nothing that is needed.
    Skip,
    /// The address that is connected.
    Peer,
    /// The authenticated user.
    User,
    /// A time.
    Time(TimeFormat),
    /// The part of a second, in this many decimals, that goes with a time elsewhere in the line.
    Fraction(u32),
    /// Method, target and version.
    Request,
    /// The method.
    Method,
    /// Path and query.
    Target,
    /// The query alone.
    Query,
    /// The status.
    Status,
    /// Bytes received.
    Received,
    /// How long the request took, in units of so many microseconds, perhaps with decimals.
    Took(Micros),
    /// A header, or `cookie.NAME`.
    Header(String),
}

/// How a server writes what would break its format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Escapes {
    /// `\"`, `\\`, `\n`, `\t`, `\xHH`.
    Backslash,
    /// None: nothing is undone.
    None,
}

#[derive(Clone, Debug, PartialEq)]
enum Segment {
    Literal(Vec<u8>),
    Field(Field),
}

/// A compiled format.
#[derive(Clone, Debug)]
pub struct Template {
    segments: Vec<Segment>,
    escapes: Escapes,
    /// Stamps are of the request's end.
    end: bool,
}

/// A template in the making.
#[derive(Default)]
pub struct Builder {
    segments: Vec<Segment>,
}

impl Builder {
    /// Adds literal text.
    pub fn literal(&mut self, text: &str) {
        match self.segments.last_mut() {
            Some(Segment::Literal(bytes)) => bytes.extend(text.bytes()),
            _ => self.segments.push(Segment::Literal(text.into())),
        }
    }

    /// Adds a field.
    pub fn field(&mut self, field: Field) {
        self.segments.push(Segment::Field(field));
    }

    /// The template.
    ///
    /// # Errors
    /// Two fields have no text between them; there is no time; there is no request.
    pub fn finish(mut self, escapes: Escapes, end: bool) -> Result<Template, FormatError> {
        self.segments
            .retain(|p| !matches!(p, Segment::Literal(text) if text.is_empty()));
        let fields = |p: &Segment| matches!(p, Segment::Field(_));
        // Some texts are empty more often than not, and stand right behind another: path and query are one.
        let joined = |pair: &[Segment]| {
            matches!(
                pair,
                [Segment::Field(Field::Target), Segment::Field(Field::Query)]
            )
        };
        while let Some(n) = self.segments.windows(2).position(joined) {
            self.segments.remove(n + 1);
        }
        if self.segments.windows(2).any(|pair| pair.iter().all(fields)) {
            return Err(FormatError::AdjacentFields);
        }
        let has = |wanted: &dyn Fn(&Field) -> bool| {
            self.segments
                .iter()
                .any(|p| matches!(p, Segment::Field(f) if wanted(f)))
        };
        if !has(&|f| matches!(f, Field::Time(_))) {
            return Err(FormatError::NoTime);
        }
        if !has(&|f| matches!(f, Field::Request | Field::Target)) {
            return Err(FormatError::NoRequest);
        }
        Ok(Template {
            segments: self.segments,
            escapes,
            end,
        })
    }
}

/// Where a field's value ends: before the next literal. Within quotes, escaped quotes are passed over.
fn value_end(rest: &[u8], next: &[u8], quoted: bool, escapes: Escapes) -> Option<usize> {
    let first = *next.first()?;
    let mut at = 0;
    loop {
        let found = match next.len() {
            // Literals are a few bytes: searching for the first byte alone is faster.
            1..=8 => memchr(first, &rest[at..])?,
            _ => memmem::find(&rest[at..], next)?,
        } + at;
        let slashes = match quoted && escapes == Escapes::Backslash {
            true => rest[..found]
                .iter()
                .rev()
                .take_while(|b| **b == b'\\')
                .count(),
            false => 0,
        };
        if slashes % 2 == 0 && rest[found..].starts_with(next) {
            return Some(found);
        }
        at = found + 1;
    }
}

/// A part of a second that a record holds beside its time.
#[derive(Clone, Copy)]
struct SecondFraction {
    /// What it adds to the time.
    value: Micros,
    /// How exactly it is known.
    resolution: Micros,
}

/// A record while its fields are read one after another.
#[derive(Default)]
struct RecordBuilder<'a> {
    raw: RawRecord<'a>,
    fraction: Option<SecondFraction>,
}

impl<'a> RecordBuilder<'a> {
    fn finish(mut self) -> RawRecord<'a> {
        if let (Some(time), Some(fraction)) = (&mut self.raw.time, self.fraction) {
            time.at += fraction.value;
            time.resolution = fraction.resolution;
        }
        self.raw
    }

    /// Of two times in a record, the one of the finer resolution is kept.
    fn set_time(&mut self, time: RecordedTime) {
        if self
            .raw
            .time
            .is_none_or(|old| time.resolution < old.resolution)
        {
            self.raw.time = Some(time);
        }
    }

    fn set_fraction(&mut self, digits: u32, value: &str) -> Result<(), Reason> {
        let resolution = 10i64.pow(6u32.saturating_sub(digits));
        let decimals = value
            .parse::<Micros>()
            .ok()
            .filter(|decimals| (0..1_000_000 / resolution).contains(decimals))
            .ok_or(Reason::BadTime)?;
        self.fraction = Some(SecondFraction {
            value: decimals * resolution,
            resolution,
        });
        Ok(())
    }

    /// A truncated or hostile request line is logged as the server received it.
    fn set_request(&mut self, text: Cow<'a, str>) -> Result<(), Reason> {
        let request = match text {
            Cow::Borrowed(text) => parse_request_line(text).map(|(m, t)| (m.into(), t.into())),
            Cow::Owned(text) => parse_request_line(&text)
                .map(|(m, t)| (Cow::from(m.to_string()), Cow::from(t.to_string()))),
        };
        let (method, target) = request.ok_or(Reason::BadRequest)?;
        (self.raw.method, self.raw.target) = (Some(method), Some(target));
        Ok(())
    }

    fn set_status(&mut self, value: &str) -> Result<(), Reason> {
        self.raw.status = match value {
            "-" | "0" | "000" => None,
            text => match text.parse::<u16>() {
                Ok(status @ 100..=599) if text.len() == 3 => Some(status),
                _ => return Err(Reason::BadStatus),
            },
        };
        Ok(())
    }

    fn set_received(&mut self, value: &str) {
        self.raw.received = value.parse().ok();
        self.raw.odd_number |= self.raw.received.is_none();
    }

    /// Of two durations in a record, the finer one is kept, whichever comes first.
    fn set_duration(&mut self, value: &str, unit: Micros) {
        let took = duration(value, unit);
        self.raw.odd_number |= took.is_none();
        self.raw.took = match (self.raw.took, took) {
            (Some(a), Some(b)) => Some(if a % 1_000_000 == 0 { b } else { a }),
            (a, b) => a.or(b),
        };
    }
}

impl Template {
    /// Reads one record.
    ///
    /// # Errors
    /// Why it is none of this format.
    pub fn read<'a>(
        &'a self,
        record: &'a str,
        timestamps: &mut Reader,
    ) -> Result<RawRecord<'a>, Reason> {
        let (mut builder, mut at, bytes) = (RecordBuilder::default(), 0, record.as_bytes());
        let mut before: &[u8] = &[];
        for (n, segment) in self.segments.iter().enumerate() {
            match segment {
                Segment::Literal(text) => {
                    if !bytes[at..].starts_with(text) {
                        return Err(Reason::Malformed);
                    }
                    at += text.len();
                    before = text;
                }
                Segment::Field(field) => {
                    let end = self.field_end(n, &bytes[at..], before)?;
                    let value = record.get(at..at + end).ok_or(Reason::Malformed)?;
                    at += end;
                    self.read_field(&mut builder, field, value, timestamps)?;
                }
            }
        }
        if at != bytes.len() {
            return Err(Reason::Malformed);
        }
        Ok(builder.finish())
    }

    /// The length of the value of field `n`, of which `rest` is the record from its first byte on.
    fn field_end(&self, n: usize, rest: &[u8], before: &[u8]) -> Result<usize, Reason> {
        match self.segments.get(n + 1) {
            Some(Segment::Literal(next)) => {
                let quoted = before.last() == Some(&b'"') && next.first() == Some(&b'"');
                value_end(rest, next, quoted, self.escapes).ok_or(Reason::Malformed)
            }
            _ => Ok(rest.len()),
        }
    }

    fn read_field<'a>(
        &self,
        builder: &mut RecordBuilder<'a>,
        field: &'a Field,
        value: &'a str,
        timestamps: &mut Reader,
    ) -> Result<(), Reason> {
        let absent = value == "-" || value.is_empty();
        match field {
            Field::Time(_) if absent => return Err(Reason::NoTime),
            Field::Time(format) => {
                let time = timestamps
                    .read(format, value)
                    .map_err(|_| Reason::BadTime)?;
                builder.set_time(RecordedTime {
                    end: self.end,
                    ..time
                });
            }
            Field::Fraction(digits) => builder.set_fraction(*digits, value)?,
            Field::Request if absent => return Err(Reason::BadRequest),
            Field::Request => builder.set_request(self.unescape(value))?,
            Field::Status => builder.set_status(value)?,
            Field::Skip => {}
            _ if absent => {}
            Field::Method => builder.raw.method = Some(self.unescape(value)),
            Field::Target => builder.raw.target = Some(self.unescape(value)),
            Field::Query => builder.raw.query = Some(self.unescape(value)),
            Field::Peer => builder.raw.peer = Some(value.into()),
            Field::User => builder.raw.user = Some(self.unescape(value)),
            Field::Received => builder.set_received(value),
            Field::Took(unit) => builder.set_duration(value, *unit),
            Field::Header(name) => {
                builder.raw.headers.push(HeaderField {
                    name: Cow::Borrowed(name.as_str()),
                    value: self.unescape(value),
                });
            }
        }
        Ok(())
    }

    /// A value with its escapes undone.
    fn unescape<'a>(&self, value: &'a str) -> Cow<'a, str> {
        if self.escapes == Escapes::None || memchr(b'\\', value.as_bytes()).is_none() {
            return Cow::Borrowed(value);
        }
        let (mut out, mut rest) = (Vec::with_capacity(value.len()), value.bytes());
        while let Some(byte) = rest.next() {
            if byte != b'\\' {
                out.push(byte);
                continue;
            }
            match rest.next() {
                Some(b'x') => {
                    let hex: Vec<u8> = rest.clone().take(2).collect();
                    let code = std::str::from_utf8(&hex).ok().filter(|h| h.len() == 2);
                    match code.and_then(|h| u8::from_str_radix(h, 16).ok()) {
                        Some(code) => {
                            out.push(code);
                            rest.nth(1);
                        }
                        None => out.extend(b"\\x"),
                    }
                }
                Some(b'n') => out.push(b'\n'),
                Some(b't') => out.push(b'\t'),
                Some(b'r') => out.push(b'\r'),
                Some(other) => out.push(other),
                None => out.push(b'\\'),
            }
        }
        Cow::Owned(
            String::from_utf8(out)
                .unwrap_or_else(|e| e.into_bytes().iter().map(|b| *b as char).collect()),
        )
    }
}

/// Method and target of `METHOD TARGET HTTP/1.1`; the version may be missing, as in HTTP/0.9.
fn parse_request_line(text: &str) -> Option<(&str, &str)> {
    let (method, rest) = text.split_once(' ')?;
    let target = rest
        .rsplit_once(" HTTP/")
        .map_or(rest, |(target, _)| target)
        .trim();
    let is_token = !method.is_empty()
        && method.len() <= 32
        && method.bytes().all(|b| b.is_ascii_alphabetic() || b == b'-');
    (is_token && !target.is_empty()).then_some((method, target))
}

/// A duration in units of so many microseconds. nginx lists several, one for each upstream tried: their sum counts.
pub fn duration(text: &str, unit: Micros) -> Option<Micros> {
    let one = |text: &str| {
        let value: f64 = text.trim().parse().ok()?;
        (value.is_finite() && (0.0..1e9).contains(&value))
            .then(|| (value * unit as f64).round() as Micros)
    };
    if let Some(value) = one(text) {
        return Some(value);
    }
    let durations: Vec<Micros> = text
        .split([',', ':'])
        .filter(|p| p.trim() != "-")
        .map(one)
        .collect::<Option<_>>()?;
    (!durations.is_empty()).then(|| durations.iter().sum())
}
