//! Fields between literals: what Apache's, nginx's and Envoy's format strings all come down to.

use crate::job::Micros;
use crate::raw::RawRecord;
use crate::tally::Reason;
use crate::timestamp::{Reader, TimeFormat};
use memchr::{memchr, memmem};
use std::borrow::Cow;

/// What a field says.
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
    /// Adds text that stands there as it is.
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
    /// Two fields with nothing between them, of which none can be told from the other; no time; no request.
    pub fn done(mut self, escapes: Escapes, end: bool) -> Result<Template, String> {
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
            return Err("two fields stand side by side with no text between them".into());
        }
        let has = |wanted: &dyn Fn(&Field) -> bool| {
            self.segments
                .iter()
                .any(|p| matches!(p, Segment::Field(f) if wanted(f)))
        };
        if !has(&|f| matches!(f, Field::Time(_))) {
            return Err("the format has no time".into());
        }
        if !has(&|f| matches!(f, Field::Request | Field::Target)) {
            return Err("the format has no request".into());
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
            1 => memchr(first, &rest[at..])?,
            // Literals are a few bytes: their first byte is found faster than the whole of them.
            2..=8 => memchr(first, &rest[at..])?,
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

impl Template {
    /// Reads one line.
    ///
    /// # Errors
    /// Why it is none of this format.
    pub fn read<'a>(
        &'a self,
        record: &'a str,
        timestamps: &mut Reader,
    ) -> Result<RawRecord<'a>, Reason> {
        let (mut raw, mut at, bytes) = (RawRecord::default(), 0, record.as_bytes());
        let (mut before, mut fraction): (&[u8], Option<(Micros, Micros)>) = (&[], None);
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
                    let rest = &bytes[at..];
                    let end = match self.segments.get(n + 1) {
                        Some(Segment::Literal(next)) => {
                            let quoted =
                                before.last() == Some(&b'"') && next.first() == Some(&b'"');
                            value_end(rest, next, quoted, self.escapes).ok_or(Reason::Malformed)?
                        }
                        _ => rest.len(),
                    };
                    let value = record.get(at..at + end).ok_or(Reason::Malformed)?;
                    at += end;
                    self.take(&mut raw, field, value, timestamps, &mut fraction)?;
                }
            }
        }
        if at != bytes.len() {
            return Err(Reason::Malformed);
        }
        if let (Some(time), Some((decimals, within))) = (&mut raw.time, fraction) {
            (time.at, time.within) = (time.at + decimals, within);
        }
        Ok(raw)
    }

    fn take<'a>(
        &self,
        raw: &mut RawRecord<'a>,
        field: &'a Field,
        value: &'a str,
        timestamps: &mut Reader,
        fraction: &mut Option<(Micros, Micros)>,
    ) -> Result<(), Reason> {
        let absent = value == "-" || value.is_empty();
        match field {
            Field::Skip => {}
            Field::Time(form) => {
                if absent {
                    return Err(Reason::NoTime);
                }
                let mut time = timestamps.read(form, value).map_err(|_| Reason::BadTime)?;
                time.end = self.end;
                // Of two, the one that tells it more exactly counts.
                if raw.time.is_none_or(|s| time.within < s.within) {
                    raw.time = Some(time);
                }
            }
            Field::Fraction(digits) => {
                let unit = 10i64.pow(6u32.saturating_sub(*digits));
                let decimals = value
                    .parse::<Micros>()
                    .ok()
                    .filter(|p| (0..1_000_000 / unit).contains(p));
                *fraction = Some((decimals.ok_or(Reason::BadTime)? * unit, unit));
            }
            Field::Request => {
                if absent {
                    return Err(Reason::BadRequest);
                }
                let text = self.plain(value);
                // A cut or hostile request line is as the server found it.
                let (method, target) = match text {
                    Cow::Borrowed(text) => {
                        parse_request_line(text).map(|(m, t)| (m.into(), t.into()))
                    }
                    Cow::Owned(text) => parse_request_line(&text)
                        .map(|(m, t)| (Cow::from(m.to_string()), Cow::from(t.to_string()))),
                }
                .ok_or(Reason::BadRequest)?;
                (raw.method, raw.target) = (Some(method), Some(target));
            }
            Field::Status => {
                raw.status = match value {
                    "-" | "0" | "000" => None,
                    text => match text.parse::<u16>() {
                        Ok(status @ 100..=599) if text.len() == 3 => Some(status),
                        _ => return Err(Reason::BadStatus),
                    },
                };
            }
            Field::Method if !absent => raw.method = Some(self.plain(value)),
            Field::Target if !absent => raw.target = Some(self.plain(value)),
            Field::Query if !absent => raw.query = Some(self.plain(value)),
            Field::Peer if !absent => raw.peer = Some(value.into()),
            Field::User if !absent => raw.user = Some(self.plain(value)),
            Field::Received if !absent => {
                raw.received = value.parse().ok();
                raw.odd_number |= raw.received.is_none();
            }
            Field::Took(unit) if !absent => {
                let took = duration(value, *unit);
                raw.odd_number |= took.is_none();
                // Of two, the finer one counts; it stands last as often as first.
                raw.took = match (raw.took, took) {
                    (Some(a), Some(b)) => Some(if a % 1_000_000 == 0 { b } else { a }),
                    (a, b) => a.or(b),
                };
            }
            Field::Header(name) if !absent => {
                raw.headers
                    .push((Cow::Borrowed(name.as_str()), self.plain(value)));
            }
            _ => {}
        }
        Ok(())
    }

    /// A value with its escapes undone.
    fn plain<'a>(&self, value: &'a str) -> Cow<'a, str> {
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

/// A duration in units of so many microseconds. nginx lists several, one for each upstream asked: their sum counts.
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
