//! What became of every record read: nothing is dropped uncounted.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Examples kept for each reason.
const MAX_EXAMPLES: usize = 3;
/// Characters kept of an example.
const MAX_EXAMPLE_CHARS: usize = 160;

/// Why a record was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The line is empty.
    Blank,
    /// It begins with `#`, as headers of logs do.
    Comment,
    /// It does not have the form that was named.
    Malformed,
    /// The file ends within it.
    Truncated,
    /// It is longer than any record that is meant.
    TooLong,
    /// It holds control bytes: a torn or overwritten part of a file.
    Binary,
    /// It has no time.
    NoTime,
    /// Its time cannot be read, or lies outside what can be meant.
    BadTime,
    /// Its status is no HTTP status.
    BadStatus,
    /// It has no request, or one that cannot be read.
    BadRequest,
    /// The mapping says that it is no job.
    NotAJob,
    /// No rule of the mapping names its class.
    NoClass,
    /// No rule of the mapping names its parish, and the mapping wants one.
    NoParish,
    /// The same record was read before.
    Duplicate,
}

impl Reason {
    /// Could the record not be understood? One that is blank, a comment, read before or no job by the mapping was.
    pub fn is_bad(self) -> bool {
        !matches!(
            self,
            Reason::Blank | Reason::Comment | Reason::NotAJob | Reason::Duplicate
        )
    }
}

/// What was odd about a record that was taken all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Remark {
    /// It was no UTF-8, and was read as Latin-1.
    Latin1,
    /// It began before the one read before it.
    Reordered,
    /// The clock went back by more than records overtake each other.
    ClockBack,
    /// Nothing was recorded for a long time before it.
    Gap,
    /// Its local time came twice that day, or not at all; the reading that goes on from the record before was taken.
    Dst,
    /// It has no response: the client left, or the recording broke off.
    NoAnswer,
    /// How long it took is not known.
    NoDuration,
    /// A forwarded address could not be read.
    BadForwarded,
    /// A deadline or a count in it could not be read, and was left out.
    BadNumber,
    /// The client marked it as a retry, but its first attempt is not in the recording.
    Orphan,
    /// Its time is known to the second only; it was spread inside.
    Spread,
}

/// A record as an example: its position, and its beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Example {
    /// The file.
    pub file: String,
    /// Line (or entry of a HAR), from 1.
    pub line: u64,
    /// The beginning of it.
    pub text: String,
}

/// A count with its first examples.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// How many.
    pub count: u64,
    /// The first of them.
    pub examples: Vec<Example>,
}

/// The position of a record in what was read.
#[derive(Clone, Copy, Debug)]
pub struct Position<'a> {
    /// The file.
    pub file: &'a str,
    /// Line (or entry of a HAR), from 1.
    pub line: u64,
}

/// The counts of an import: `read = taken + folded + rejected`, always.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Records read.
    pub read: u64,
    /// First attempts.
    pub taken: u64,
    /// Retries, each folded into its first attempt.
    pub folded: u64,
    /// Records rejected, by reason.
    pub rejected: BTreeMap<Reason, Count>,
    /// What was odd about records that were taken or folded.
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
    /// A record was rejected.
    pub fn reject(&mut self, reason: Reason, position: Position<'_>, text: &[u8]) {
        self.read += 1;
        self.rejected.entry(reason).or_default().add(position, text);
    }

    /// A record is accepted; it is taken or folded later.
    pub fn pass(&mut self) {
        self.read += 1;
    }

    /// Something was odd about a record.
    pub fn remark(&mut self, remark: Remark, position: Position<'_>, text: &[u8]) {
        self.remarks.entry(remark).or_default().add(position, text);
    }

    /// The same of so many records, whose texts are not known any more.
    pub fn remark_only(&mut self, remark: Remark, count: u64) {
        if count > 0 {
            self.remarks.entry(remark).or_default().count += count;
        }
    }

    /// Records rejected for any reason.
    pub fn rejected(&self) -> u64 {
        self.rejected.values().map(|c| c.count).sum()
    }

    /// Records that could not be understood.
    pub fn bad(&self) -> u64 {
        self.rejected
            .iter()
            .filter(|(r, _)| r.is_bad())
            .map(|(_, c)| c.count)
            .sum()
    }

    /// Is every record read counted once?
    pub fn adds_up(&self) -> bool {
        self.read == self.taken + self.folded + self.rejected()
    }
}
