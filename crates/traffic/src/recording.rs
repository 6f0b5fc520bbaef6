//! The file format of recordings, version 1: JSON lines, as they are or compressed by zstd.
//!
//! The first line is the header, `{"format":"indigofold-recording","version":1,...}`; then one line a job, in the order
//! of the first attempts; the last line is `{"end":{"jobs":N,"tries":M}}`, without which a file was cut off. Times are
//! microseconds. A job's entries:
//!
//! | entry | meaning | if missing |
//! | --- | --- | --- |
//! | `t` | when its request was sent, since 1970 | (must be there) |
//! | `c` | class | (must be there) |
//! | `p` | parish | unknown |
//! | `s` | subject | unknown |
//! | `k` | idempotency key | none |
//! | `d` | how long the client waits | unknown |
//! | `b` | bytes of the body | 0 |
//! | `w` | slots | unknown |
//! | `u` | a number for the client | 0: unknown |
//! | `a` | status of the recorded answer | 0: none came |
//! | `l` | how long that took | unknown |
//! | `r` | retries, each `[time after t, status, how long, by what, how sure]` | none |

use crate::job::{Evidence, Job, Micros, Retry};
use crate::tally::Tally;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::io::{self, BufRead, Write};

/// The version that is written.
pub const VERSION: u32 = 1;
/// The name in the header.
pub const FORMAT: &str = "indigofold-recording";
/// The longest line.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// The first line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// [`FORMAT`].
    pub format: String,
    /// [`VERSION`].
    pub version: u32,
    /// What it was made of, for people.
    #[serde(default)]
    pub made_of: Vec<String>,
    /// Random numbers in the making began here.
    #[serde(default)]
    pub seed: u64,
}

impl Header {
    /// A header of the version that is written.
    pub fn new(made_of: Vec<String>, seed: u64) -> Self {
        Header {
            format: FORMAT.into(),
            version: VERSION,
            made_of,
            seed,
        }
    }
}

/// The last line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// First attempts.
    pub jobs: u64,
    /// Retries.
    #[serde(rename = "tries")]
    pub retries: u64,
    /// What became of what was read, where it was imported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tally: Option<Tally>,
}

#[derive(Serialize, Deserialize)]
struct Last {
    end: End,
}

fn none<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

type RetryEntry = (Micros, u16, Option<Micros>, Evidence, f32);

#[derive(Serialize, Deserialize)]
struct JobRecord<'a> {
    t: Micros,
    #[serde(borrow)]
    c: Cow<'a, str>,
    #[serde(borrow, default, skip_serializing_if = "none")]
    p: Cow<'a, str>,
    #[serde(borrow, default, skip_serializing_if = "none")]
    s: Cow<'a, str>,
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    k: Option<Cow<'a, str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    d: Option<Micros>,
    #[serde(default, skip_serializing_if = "none")]
    b: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    w: Option<f32>,
    #[serde(default, skip_serializing_if = "none")]
    u: u64,
    #[serde(default, skip_serializing_if = "none")]
    a: u16,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    l: Option<Micros>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    r: Vec<RetryEntry>,
}

/// Writes a recording.
pub struct Writer<W: Write> {
    out: W,
    bytes: Vec<u8>,
    end: End,
    last: Micros,
}

impl<W: Write> Writer<W> {
    /// Begins with the header.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn new(mut out: W, header: &Header) -> io::Result<Self> {
        serde_json::to_writer(&mut out, header)?;
        out.write_all(b"\n")?;
        Ok(Writer {
            out,
            bytes: Vec::new(),
            end: End::default(),
            last: Micros::MIN,
        })
    }

    /// Writes a job.
    ///
    /// # Errors
    /// It cannot be written, or comes out of order.
    pub fn write(&mut self, job: &Job) -> io::Result<()> {
        if job.at < self.last {
            return Err(io::Error::other(
                "jobs must be written in the order of their times",
            ));
        }
        self.last = job.at;
        let retry = |a: &Retry| (a.at - job.at, a.status, a.took, a.evidence, a.confidence);
        let line = JobRecord {
            t: job.at,
            c: Cow::Borrowed(&job.class),
            p: Cow::Borrowed(&job.parish),
            s: Cow::Borrowed(&job.subject),
            k: job.key.as_deref().map(Cow::Borrowed),
            d: job.deadline,
            b: job.bytes,
            w: job.slots,
            u: job.client,
            a: job.status,
            l: job.took,
            r: job.retries.iter().map(retry).collect(),
        };
        self.bytes.clear();
        serde_json::to_writer(&mut self.bytes, &line)?;
        self.bytes.push(b'\n');
        (self.end.jobs, self.end.retries) = (
            self.end.jobs + 1,
            self.end.retries + job.retries.len() as u64,
        );
        self.out.write_all(&self.bytes)
    }

    /// Writes the last line.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn finish(mut self, tally: Option<Tally>) -> io::Result<(W, End)> {
        self.end.tally = tally;
        serde_json::to_writer(
            &mut self.out,
            &Last {
                end: self.end.clone(),
            },
        )?;
        self.out.write_all(b"\n")?;
        self.out.flush()?;
        Ok((self.out, self.end))
    }
}

/// What is wrong with a recording.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// It cannot be read.
    #[error("the recording cannot be read: {0}")]
    Io(#[from] io::Error),
    /// It does not begin with a header.
    #[error(
        "this is no recording: its first line must be {{\"format\":\"{FORMAT}\",\"version\":{VERSION}}}"
    )]
    NoHeader,
    /// It is of another version.
    #[error("the recording is of version {0}; versions 1 to {VERSION} can be read")]
    Version(u32),
    /// A line cannot be read.
    #[error("line {line} of the recording: {source}")]
    Syntax {
        /// The line, from 1.
        line: u64,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A job began before the one of the line before.
    #[error("line {line} of the recording: jobs must stand in the order of their times")]
    Unordered {
        /// The line, from 1.
        line: u64,
    },
    /// It ends before its last line.
    #[error(
        "the recording was cut off after line {line}: its last line, with the counts, is missing"
    )]
    Truncated {
        /// The last line that there is, from 1.
        line: u64,
    },
    /// The last line counts other jobs than there are.
    #[error("the recording's last line counts {counted} jobs, but there are {found}")]
    Counts {
        /// Jobs by the last line.
        counted: u64,
        /// Jobs that were read.
        found: u64,
    },
}

/// Reads a recording.
pub struct Reader<R> {
    from: R,
    /// Its header.
    pub header: Header,
    /// Its last line, once that was read.
    pub end: Option<End>,
    text: Vec<u8>,
    line: u64,
    jobs: u64,
    last: Micros,
    names: crate::names::NameInterner,
    finished: bool,
}

impl<R: BufRead> Reader<R> {
    /// Reads the header.
    ///
    /// # Errors
    /// It is none, or of a version that is not known.
    pub fn new(mut from: R) -> Result<Self, RecordingError> {
        let mut text = Vec::new();
        read_line(&mut from, &mut text)?;
        let header: Header = serde_json::from_slice(&text).map_err(|_| RecordingError::NoHeader)?;
        if header.format != FORMAT {
            return Err(RecordingError::NoHeader);
        }
        if !(1..=VERSION).contains(&header.version) {
            return Err(RecordingError::Version(header.version));
        }
        let (names, last) = (Default::default(), Micros::MIN);
        Ok(Reader {
            from,
            header,
            end: None,
            text,
            line: 1,
            jobs: 0,
            last,
            names,
            finished: false,
        })
    }

    fn job(&mut self) -> Result<Option<Job>, RecordingError> {
        self.text.clear();
        if !read_line(&mut self.from, &mut self.text)? {
            return Err(RecordingError::Truncated { line: self.line });
        }
        self.line += 1;
        let syntax = |source| RecordingError::Syntax {
            line: self.line,
            source,
        };
        if self.text.starts_with(b"{\"end\"") {
            let last: Last = serde_json::from_slice(&self.text).map_err(syntax)?;
            if last.end.jobs != self.jobs {
                return Err(RecordingError::Counts {
                    counted: last.end.jobs,
                    found: self.jobs,
                });
            }
            self.end = Some(last.end);
            return Ok(None);
        }
        let line: JobRecord<'_> = serde_json::from_slice(&self.text).map_err(syntax)?;
        if line.t < self.last {
            return Err(RecordingError::Unordered { line: self.line });
        }
        (self.jobs, self.last) = (self.jobs + 1, line.t);
        let retry = |(dt, status, took, how, confidence): &RetryEntry| Retry {
            at: line.t + dt,
            status: *status,
            took: *took,
            evidence: *how,
            confidence: *confidence,
        };
        Ok(Some(Job {
            at: line.t,
            class: self.names.name(&line.c),
            parish: self.names.name(&line.p),
            subject: line.s.into_owned(),
            key: line.k.map(Cow::into_owned),
            deadline: line.d,
            bytes: line.b,
            slots: line.w,
            client: line.u,
            status: line.a,
            took: line.l,
            retries: line.r.iter().map(retry).collect(),
        }))
    }
}

/// Reads a line without its end. `false`: there is none.
fn read_line(from: &mut impl BufRead, text: &mut Vec<u8>) -> io::Result<bool> {
    let count = io::Read::take(&mut *from, MAX_RECORD_BYTES as u64).read_until(b'\n', text)?;
    if text.last() == Some(&b'\n') {
        text.pop();
    } else if count == MAX_RECORD_BYTES {
        return Err(io::Error::other(
            "a line is longer than any that is written",
        ));
    }
    Ok(count > 0)
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Result<Job, RecordingError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.finished {
            return None;
        }
        let job = self.job().transpose();
        self.finished = !matches!(job, Some(Ok(_)));
        job
    }
}
