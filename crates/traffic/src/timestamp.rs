//! Parses timestamps: Common Log Format, ISO 8601, numbers since 1970, and `strftime` patterns.

use crate::job::Micros;
use jiff::civil::DateTime;
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::{Timestamp, fmt::strtime};
use std::ops::Range;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;
/// Times from 1990 to 2200; others are treated as errors.
const PLAUSIBLE_TIMES: Range<Micros> = 631_152_000 * SECOND..7_258_118_400 * SECOND;
/// An ambiguous local time is read as the later of its two instants if the earlier one precedes the last time read by more
/// than this.
const MAX_STEP_BACK: Micros = 300 * SECOND;

/// A time with its resolution: the true time lies in `[at, at + resolution)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedTime {
    /// Start of the interval, in microseconds since 1970.
    pub at: Micros,
    /// Length of the interval, at least one microsecond.
    pub resolution: Micros,
    /// Whether this is the time at which the request ended, rather than started.
    pub is_end: bool,
}

impl RecordedTime {
    fn new(at: Micros, resolution: Micros) -> Self {
        RecordedTime {
            at,
            resolution,
            is_end: false,
        }
    }
}

/// The text is not a timestamp of the expected format, or not a plausible time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the text is not a timestamp of the expected format")]
pub struct InvalidTimestamp;

/// The format of a timestamp.
#[derive(Clone, Debug, PartialEq)]
pub enum TimeFormat {
    /// Common Log Format: `10/Oct/2000:13:55:36 -0700`.
    Clf,
    /// ISO 8601, with or without an offset.
    Iso,
    /// Seconds since 1970, optionally with a fraction.
    Seconds,
    /// Milliseconds since 1970.
    Millis,
    /// Microseconds since 1970.
    Micros,
    /// A `strftime` pattern.
    Pattern(String),
}

/// Parses the timestamps of one file. It caches the last minute, which most lines share with the preceding one, and keeps
/// the last time read to resolve ambiguous local times.
#[derive(Clone, Debug)]
pub struct Reader {
    /// Time zone of timestamps without an offset.
    zone: TimeZone,
    minute: Option<CachedMinute>,
    /// Last time read.
    last_time: Option<Micros>,
    /// Whether an ambiguous or nonexistent local time was read since the last call of [`Self::was_dst`].
    was_dst: bool,
}

/// The minute and offset of a Common Log Format timestamp as text, and the start of that minute.
#[derive(Clone, Debug)]
struct CachedMinute {
    minute: [u8; 17],
    offset: [u8; 5],
    start: Micros,
}

impl Reader {
    /// Creates a reader; timestamps without an offset are local times of `zone`.
    pub fn new(zone: TimeZone) -> Self {
        Reader {
            zone,
            minute: None,
            last_time: None,
            was_dst: false,
        }
    }

    /// Returns true if an ambiguous or nonexistent local time (at a daylight saving change) was read since the last call.
    pub fn was_dst(&mut self) -> bool {
        std::mem::take(&mut self.was_dst)
    }

    /// Parses a timestamp.
    ///
    /// # Errors
    /// The text is not a timestamp of this format, or not a plausible time.
    pub fn read(
        &mut self,
        format: &TimeFormat,
        text: &str,
    ) -> Result<RecordedTime, InvalidTimestamp> {
        let time = match format {
            TimeFormat::Clf => RecordedTime::new(self.clf(text.as_bytes())?, SECOND),
            TimeFormat::Iso => self.iso(text)?,
            TimeFormat::Seconds => decimal(text, SECOND)?,
            TimeFormat::Millis => decimal(text, 1_000)?,
            TimeFormat::Micros => decimal(text, 1)?,
            TimeFormat::Pattern(pattern) => self.pattern(pattern, text)?,
        };
        if !PLAUSIBLE_TIMES.contains(&time.at) {
            return Err(InvalidTimestamp);
        }
        self.last_time = Some(time.at);
        Ok(time)
    }

    /// Parses `10/Oct/2000:13:55:36 -0700`, using the cached minute if it is the same. A leap second is read as second 59.
    fn clf(&mut self, text: &[u8]) -> Result<Micros, InvalidTimestamp> {
        let (Some(minute), Some(seconds), Some(offset)) =
            (text.get(..17), text.get(17..20), text.get(21..26))
        else {
            return Err(InvalidTimestamp);
        };
        if text.len() != 26 || seconds[0] != b':' || text[20] != b' ' {
            return Err(InvalidTimestamp);
        }
        let start = match &self.minute {
            Some(cached) if cached.minute == minute && cached.offset == offset => cached.start,
            _ => {
                let start = clf_minute(minute, offset).ok_or(InvalidTimestamp)?;
                self.minute = Some(CachedMinute {
                    minute: minute.try_into().map_err(|_| InvalidTimestamp)?,
                    offset: offset.try_into().map_err(|_| InvalidTimestamp)?,
                    start,
                });
                start
            }
        };
        let second = two_digits(&seconds[1..])
            .filter(|s| *s <= 60)
            .ok_or(InvalidTimestamp)?;
        Ok(start + second.min(59) * SECOND)
    }

    fn iso(&mut self, text: &str) -> Result<RecordedTime, InvalidTimestamp> {
        let resolution = resolution(text);
        if let Ok(time) = text.parse::<Timestamp>() {
            return Ok(RecordedTime::new(time.as_microsecond(), resolution));
        }
        let local: DateTime = text.parse().map_err(|_| InvalidTimestamp)?;
        Ok(RecordedTime::new(self.local(local)?, resolution))
    }

    fn pattern(&mut self, pattern: &str, text: &str) -> Result<RecordedTime, InvalidTimestamp> {
        let parsed = strtime::parse(pattern, text).map_err(|_| InvalidTimestamp)?;
        let resolution = match pattern.contains('f') && pattern.contains('%') {
            true => resolution(text),
            false => SECOND,
        };
        if let Ok(time) = parsed.to_timestamp() {
            return Ok(RecordedTime::new(time.as_microsecond(), resolution));
        }
        let local = parsed.to_datetime().map_err(|_| InvalidTimestamp)?;
        Ok(RecordedTime::new(self.local(local)?, resolution))
    }

    /// Converts a local time. An ambiguous time (clocks set back) is read as the first of its two instants, unless the log
    /// is past that already; a nonexistent time (clocks set forward) is read with the offset before the change.
    fn local(&mut self, local: DateTime) -> Result<Micros, InvalidTimestamp> {
        let with_offset = |offset: jiff::tz::Offset| {
            offset
                .to_timestamp(local)
                .map(Timestamp::as_microsecond)
                .map_err(|_| InvalidTimestamp)
        };
        match self.zone.to_ambiguous_timestamp(local).offset() {
            AmbiguousOffset::Unambiguous { offset } => with_offset(offset),
            AmbiguousOffset::Gap { before, .. } => {
                self.was_dst = true;
                with_offset(before)
            }
            AmbiguousOffset::Fold { before, after } => {
                self.was_dst = true;
                let first_instant = with_offset(before)?;
                if self
                    .last_time
                    .is_some_and(|last| first_instant + MAX_STEP_BACK < last)
                {
                    with_offset(after)
                } else {
                    Ok(first_instant)
                }
            }
        }
    }
}

/// Parses a number of exactly two digits.
fn two_digits(text: &[u8]) -> Option<Micros> {
    let [a, b] = text else { return None };
    let digit = |d: &u8| d.is_ascii_digit().then(|| Micros::from(d - b'0'));
    Some(digit(a)? * 10 + digit(b)?)
}

/// Returns the start of a minute written as `10/Oct/2000:13:55` with an offset written as `-0700`.
fn clf_minute(minute: &[u8], offset: &[u8]) -> Option<Micros> {
    const MONTHS: [&[u8]; 12] = [
        b"Jan", b"Feb", b"Mar", b"Apr", b"May", b"Jun", b"Jul", b"Aug", b"Sep", b"Oct", b"Nov",
        b"Dec",
    ];
    let separators = [minute[2], minute[6], minute[11], minute[14]];
    if separators != *b"//::" {
        return None;
    }
    let month = MONTHS.iter().position(|m| *m == &minute[3..6])? as i8 + 1;
    let year = two_digits(&minute[7..9])? * 100 + two_digits(&minute[9..11])?;
    let (day, hour, min) = (
        two_digits(&minute[..2])?,
        two_digits(&minute[12..14])?,
        two_digits(&minute[15..17])?,
    );
    let at = DateTime::new(year as i16, month, day as i8, hour as i8, min as i8, 0, 0).ok()?;
    let utc = jiff::tz::Offset::UTC
        .to_timestamp(at)
        .ok()?
        .as_microsecond();
    let sign = match offset[0] {
        b'+' => 1,
        b'-' => -1,
        _ => return None,
    };
    let (h, m) = (two_digits(&offset[1..3])?, two_digits(&offset[3..5])?);
    (h < 24 && m < 60).then(|| utc - sign * (h * 60 + m) * 60 * SECOND)
}

/// Returns the resolution of a timestamp by the number of digits after its decimal separator; a second if it has none.
fn resolution(text: &str) -> Micros {
    let Some(dot) = text.rfind(['.', ',']) else {
        return SECOND;
    };
    let digits = text[dot + 1..]
        .bytes()
        .take_while(u8::is_ascii_digit)
        .count() as u32;
    10i64.pow(6u32.saturating_sub(digits.min(6)))
}

/// Parses a decimal number of units without rounding; digits below a microsecond are dropped.
fn decimal(text: &str, unit: Micros) -> Result<RecordedTime, InvalidTimestamp> {
    let (integer, decimals) = text.split_once('.').unwrap_or((text, ""));
    let digits = |t: &str| t.bytes().all(|b| b.is_ascii_digit());
    if integer.is_empty() || integer.len() > 18 || !digits(integer) || !digits(decimals) {
        return Err(InvalidTimestamp);
    }
    let mut at = integer
        .parse::<Micros>()
        .ok()
        .and_then(|w| w.checked_mul(unit))
        .ok_or(InvalidTimestamp)?;
    let mut resolution = unit;
    for digit in decimals.bytes() {
        if resolution < 10 {
            break;
        }
        resolution /= 10;
        at = at
            .checked_add(resolution * Micros::from(digit - b'0'))
            .ok_or(InvalidTimestamp)?;
    }
    Ok(RecordedTime::new(at, resolution))
}
