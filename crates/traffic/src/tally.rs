//! Counts of an import: every record read is counted as a first attempt, a folded retry or rejected.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of examples kept for each reason or remark.
const MAX_EXAMPLES: usize = 3;
/// Maximum number of characters kept of an example.
const MAX_EXAMPLE_CHARS: usize = 160;

/// Why a record was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The line is empty or contains only whitespace.
    Blank,
    /// The line begins with `#`, like the header lines of some logs.
    Comment,
    /// The record does not match the format.
    Malformed,
    /// The file ends within the record.
    Truncated,
    /// The record exceeds the maximum length, or the maximum nesting of a HAR entry.
    TooLong,
    /// The record contains control bytes, as in a partially written or overwritten part of a file.
    Binary,
    /// The record has no time.
    NoTime,
    /// The time cannot be parsed, or lies outside the plausible range.
    BadTime,
    /// The status is not a valid HTTP status.
    BadStatus,
    /// The request is missing or cannot be parsed.
    BadRequest,
    /// By the mapping, the request is not a job submission.
    NotAJob,
    /// No rule of the mapping yields a class.
    NoClass,
    /// No rule of the mapping yields a parish (tenant), but the mapping requires one.
    NoParish,
    /// The same record was read before, for example from a rotated copy of the file.
    Duplicate,
}

impl Reason {
    /// Returns true if the record could not be understood; false for blank lines, comments, duplicates and requests that
    /// are not jobs.
    pub fn is_bad(self) -> bool {
        !matches!(
            self,
            Reason::Blank | Reason::Comment | Reason::NotAJob | Reason::Duplicate
        )
    }
}

/// An anomaly of a record that was accepted nevertheless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Remark {
    /// The record is not UTF-8 and was read as Latin-1.
    Latin1,
    /// The record's time is before that of the preceding record.
    Reordered,
    /// The clock was set back: the time is earlier by more than reordering explains.
    ClockBack,
    /// Nothing was recorded for a long time before the record.
    Gap,
    /// The local time is ambiguous or does not exist, because of a daylight saving change. An ambiguous time is resolved
    /// so that it continues from the preceding record.
    Dst,
    /// The record has no response: the client disconnected, or the log ends before it.
    NoAnswer,
    /// The duration of the request is unknown.
    NoDuration,
    /// An address in `X-Forwarded-For` could not be parsed.
    BadForwarded,
    /// A number (deadline, slots, duration or size) could not be parsed or is out of range, and was ignored.
    BadNumber,
    /// The client marked the request as a retry, but no first attempt was found; it counts as one itself.
    Orphan,
    /// The time is known to the second only, and was spread within that second.
    Spread,
}

/// An example record: its position and its beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Example {
    /// Name of the file.
    pub file: String,
    /// Number of the line, or of the entry in a HAR document, from 1.
    pub line: u64,
    /// Beginning of the record, with control characters replaced.
    pub text: String,
}

/// A number of records with the first few as examples.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Number of records.
    pub count: u64,
    /// The first records counted; fewer if their texts were not available.
    pub examples: Vec<Example>,
}

/// The position of a record in the input.
#[derive(Clone, Copy, Debug)]
pub struct Position<'a> {
    /// Name of the file.
    pub file: &'a str,
    /// Number of the line, or of the entry in a HAR document, from 1.
    pub line: u64,
}

/// The counts of an import. When it has ended, `read = taken + folded + rejected`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of records read.
    pub read: u64,
    /// Number of first attempts.
    pub taken: u64,
    /// Number of retries, each folded into the job of its first attempt.
    pub folded: u64,
    /// Records rejected, by reason.
    pub rejected: BTreeMap<Reason, Count>,
    /// Anomalies of accepted records.
    pub remarks: BTreeMap<Remark, Count>,
}

impl Count {
    fn add(&mut self, position: Position<'_>, text: &[u8]) {
        self.count += 1;
        if self.examples.len() < MAX_EXAMPLES {
            let text = String::from_utf8_lossy(&text[..text.len().min(MAX_EXAMPLE_CHARS * 4)]);
            let text = text
                .chars()
                .map(|c| if c.is_control() { '\u{fffd}' } else { c })
                .take(MAX_EXAMPLE_CHARS)
                .collect();
            self.examples.push(Example {
                file: position.file.to_string(),
                line: position.line,
                text,
            });
        }
    }
}

impl Tally {
    /// Counts a rejected record.
    pub fn reject(&mut self, reason: Reason, position: Position<'_>, text: &[u8]) {
        self.read += 1;
        self.rejected.entry(reason).or_default().add(position, text);
    }

    /// Counts an accepted record as read; folding counts it as a first attempt or a retry later.
    pub fn accept(&mut self) {
        self.read += 1;
    }

    /// Counts an anomaly of a record.
    pub fn remark(&mut self, remark: Remark, position: Position<'_>, text: &[u8]) {
        self.remarks.entry(remark).or_default().add(position, text);
    }

    /// Counts an anomaly of several records whose texts are not available any more.
    pub fn remark_count(&mut self, remark: Remark, count: u64) {
        if count > 0 {
            self.remarks.entry(remark).or_default().count += count;
        }
    }

    /// Returns the number of records rejected for any reason.
    pub fn rejected(&self) -> u64 {
        self.rejected.values().map(|c| c.count).sum()
    }

    /// Returns the number of records that could not be understood, see [`Reason::is_bad`].
    pub fn bad(&self) -> u64 {
        self.rejected
            .iter()
            .filter(|(r, _)| r.is_bad())
            .map(|(_, c)| c.count)
            .sum()
    }

    /// Returns true if every record read is counted exactly once as taken, folded or rejected.
    pub fn adds_up(&self) -> bool {
        self.read == self.taken + self.folded + self.rejected()
    }
}
