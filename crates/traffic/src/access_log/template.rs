//! Log line templates: fields separated by literal text, the common form of Apache's, nginx's and Envoy's format strings.

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
    /// A field that is not used.
    Skip,
    /// Address of the connected peer.
    Peer,
    /// The authenticated user.
    User,
    /// The start or end time of the request.
    Time(TimeFormat),
    /// The fraction of a second, in this many digits, that belongs to a time elsewhere in the line.
    Fraction(u32),
    /// The request line: method, target and version.
    Request,
    /// The method.
    Method,
    /// Path and query.
    Target,
    /// The query alone.
    Query,
    /// HTTP status.
    Status,
    /// Size of the request body in bytes.
    Received,
    /// Duration of the request as a decimal number, in a unit of this many microseconds.
    Took(Micros),
    /// A request header by its name in lower case, or a cookie as `cookie.NAME`.
    Header(String),
}

/// How a server escapes special characters in a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Escapes {
    /// `\"`, `\\`, `\n`, `\t`, `\xHH`.
    Backslash,
    /// No escapes: values are taken as they are.
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
    /// Whether the logged time is the end of the request.
    time_is_end: bool,
}

/// Builds a [`Template`] segment by segment.
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

    /// Checks the segments and returns the template. `time_is_end`: the logged time is the end of the request.
    ///
    /// # Errors
    /// Two fields have no text between them, or there is no time or no request.
    pub fn finish(mut self, escapes: Escapes, time_is_end: bool) -> Result<Template, FormatError> {
        self.segments
            .retain(|p| !matches!(p, Segment::Literal(text) if text.is_empty()));
        let is_field = |p: &Segment| matches!(p, Segment::Field(_));
        // A query directly after the path is read as part of the target, as both are one URL.
        let is_path_with_query = |pair: &[Segment]| {
            matches!(
                pair,
                [Segment::Field(Field::Target), Segment::Field(Field::Query)]
            )
        };
        while let Some(n) = self.segments.windows(2).position(is_path_with_query) {
            self.segments.remove(n + 1);
        }
        if self
            .segments
            .windows(2)
            .any(|pair| pair.iter().all(is_field))
        {
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
            time_is_end,
        })
    }
}

/// Returns the length of a field's value, which ends before the text `next_literal`. In a quoted value, escaped quotes do
/// not end it.
fn value_end(
    remaining: &[u8],
    next_literal: &[u8],
    is_quoted: bool,
    escapes: Escapes,
) -> Option<usize> {
    let first_byte = *next_literal.first()?;
    let mut search_start = 0;
    loop {
        let literal_start = match next_literal.len() {
            // Most literals are short; searching for the first byte alone is faster then.
            1..=8 => memchr(first_byte, &remaining[search_start..])?,
            _ => memmem::find(&remaining[search_start..], next_literal)?,
        } + search_start;
        let backslash_count = match is_quoted && escapes == Escapes::Backslash {
            true => remaining[..literal_start]
                .iter()
                .rev()
                .take_while(|b| **b == b'\\')
                .count(),
            false => 0,
        };
        if backslash_count % 2 == 0 && remaining[literal_start..].starts_with(next_literal) {
            return Some(literal_start);
        }
        search_start = literal_start + 1;
    }
}

/// The fraction of a second that a record holds separately from its time.
#[derive(Clone, Copy)]
struct SecondFraction {
    /// Duration to add to the time.
    value: Micros,
    /// Unit of the last digit.
    resolution: Micros,
}

/// Collects the fields of a record while they are read one after another.
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

    /// Sets the time. Of two times in a record, the one with the finer resolution is kept.
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

    /// Sets method and target. Servers log the request line as received, so it may be truncated or arbitrary bytes.
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
        self.raw.has_unreadable_number |= self.raw.received.is_none();
    }

    /// Sets the duration. Of two durations in a record, the first is kept unless it is a whole number of seconds, because
    /// the second may be more precise then.
    fn set_duration(&mut self, value: &str, unit: Micros) {
        let took = duration(value, unit);
        self.raw.has_unreadable_number |= took.is_none();
        self.raw.took = match (self.raw.took, took) {
            (Some(a), Some(b)) => Some(if a % 1_000_000 == 0 { b } else { a }),
            (a, b) => a.or(b),
        };
    }
}

impl Template {
    /// Decodes one record.
    ///
    /// # Errors
    /// The reason why it does not match the format.
    pub fn read<'a>(
        &'a self,
        record: &'a str,
        timestamps: &mut Reader,
    ) -> Result<RawRecord<'a>, Reason> {
        let (mut builder, mut position, bytes) = (RecordBuilder::default(), 0, record.as_bytes());
        let mut preceding_literal: &[u8] = &[];
        for (n, segment) in self.segments.iter().enumerate() {
            match segment {
                Segment::Literal(text) => {
                    if !bytes[position..].starts_with(text) {
                        return Err(Reason::Malformed);
                    }
                    position += text.len();
                    preceding_literal = text;
                }
                Segment::Field(field) => {
                    let value_len = self.field_end(n, &bytes[position..], preceding_literal)?;
                    let value = record
                        .get(position..position + value_len)
                        .ok_or(Reason::Malformed)?;
                    position += value_len;
                    self.read_field(&mut builder, field, value, timestamps)?;
                }
            }
        }
        if position != bytes.len() {
            return Err(Reason::Malformed);
        }
        Ok(builder.finish())
    }

    /// Returns the length of the value of segment `n`. `remaining` is the record from the start of the value on,
    /// `preceding_literal` the literal before the value.
    fn field_end(
        &self,
        n: usize,
        remaining: &[u8],
        preceding_literal: &[u8],
    ) -> Result<usize, Reason> {
        match self.segments.get(n + 1) {
            Some(Segment::Literal(next_literal)) => {
                let is_quoted =
                    preceding_literal.last() == Some(&b'"') && next_literal.first() == Some(&b'"');
                value_end(remaining, next_literal, is_quoted, self.escapes).ok_or(Reason::Malformed)
            }
            _ => Ok(remaining.len()),
        }
    }

    fn read_field<'a>(
        &self,
        builder: &mut RecordBuilder<'a>,
        field: &'a Field,
        value: &'a str,
        timestamps: &mut Reader,
    ) -> Result<(), Reason> {
        let is_absent = value == "-" || value.is_empty();
        match field {
            Field::Time(_) if is_absent => return Err(Reason::NoTime),
            Field::Time(format) => {
                let time = timestamps
                    .read(format, value)
                    .map_err(|_| Reason::BadTime)?;
                builder.set_time(RecordedTime {
                    is_end: self.time_is_end,
                    ..time
                });
            }
            Field::Fraction(digits) => builder.set_fraction(*digits, value)?,
            Field::Request if is_absent => return Err(Reason::BadRequest),
            Field::Request => builder.set_request(self.unescape(value))?,
            Field::Status => builder.set_status(value)?,
            Field::Skip => {}
            _ if is_absent => {}
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

    /// Resolves the escape sequences of a value. A result that is not UTF-8 is read as Latin-1.
    fn unescape<'a>(&self, value: &'a str) -> Cow<'a, str> {
        if self.escapes == Escapes::None || memchr(b'\\', value.as_bytes()).is_none() {
            return Cow::Borrowed(value);
        }
        let (mut unescaped_bytes, mut remaining_bytes) =
            (Vec::with_capacity(value.len()), value.bytes());
        while let Some(byte) = remaining_bytes.next() {
            if byte != b'\\' {
                unescaped_bytes.push(byte);
                continue;
            }
            match remaining_bytes.next() {
                Some(b'x') => {
                    let hex: Vec<u8> = remaining_bytes.clone().take(2).collect();
                    let digits = std::str::from_utf8(&hex).ok().filter(|h| h.len() == 2);
                    match digits.and_then(|h| u8::from_str_radix(h, 16).ok()) {
                        Some(decoded_byte) => {
                            unescaped_bytes.push(decoded_byte);
                            remaining_bytes.nth(1);
                        }
                        None => unescaped_bytes.extend(b"\\x"),
                    }
                }
                Some(b'n') => unescaped_bytes.push(b'\n'),
                Some(b't') => unescaped_bytes.push(b'\t'),
                Some(b'r') => unescaped_bytes.push(b'\r'),
                Some(other) => unescaped_bytes.push(other),
                None => unescaped_bytes.push(b'\\'),
            }
        }
        Cow::Owned(
            String::from_utf8(unescaped_bytes)
                .unwrap_or_else(|e| e.into_bytes().iter().map(|b| *b as char).collect()),
        )
    }
}

/// Splits a request line, `METHOD TARGET HTTP/1.1`, into method and target. The version may be missing, as in HTTP/0.9.
fn parse_request_line(text: &str) -> Option<(&str, &str)> {
    let (method, target_and_version) = text.split_once(' ')?;
    let target = target_and_version
        .rsplit_once(" HTTP/")
        .map_or(target_and_version, |(target, _)| target)
        .trim();
    let is_token = !method.is_empty()
        && method.len() <= 32
        && method.bytes().all(|b| b.is_ascii_alphabetic() || b == b'-');
    (is_token && !target.is_empty()).then_some((method, target))
}

/// Parses a duration in a unit of this many microseconds. nginx lists several durations, one for each upstream server
/// tried; their sum is returned.
pub fn duration(text: &str, unit: Micros) -> Option<Micros> {
    let parse_one = |text: &str| {
        let value: f64 = text.trim().parse().ok()?;
        (value.is_finite() && (0.0..1e9).contains(&value))
            .then(|| (value * unit as f64).round() as Micros)
    };
    if let Some(value) = parse_one(text) {
        return Some(value);
    }
    let durations: Vec<Micros> = text
        .split([',', ':'])
        .filter(|p| p.trim() != "-")
        .map(parse_one)
        .collect::<Option<_>>()?;
    (!durations.is_empty()).then(|| durations.iter().sum())
}
