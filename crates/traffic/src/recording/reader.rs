//! Reads recordings.

use super::job_line::Line;
use super::{End, FORMAT, Header, Last, RecordingError, VERSION};
use crate::job::{Job, Micros};
use crate::names::NameInterner;
use std::io::{self, BufRead};

/// Maximum length of a line; bounds the memory.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// Reads a recording line by line; iterates over its jobs.
pub struct Reader<R> {
    input: R,
    /// The first line.
    pub header: Header,
    /// The last line; `None` until it was read.
    pub end: Option<End>,
    /// Buffer for the current line.
    text: Vec<u8>,
    /// Number of the last line read, from 1.
    line: u64,
    /// Number of jobs read so far.
    jobs: u64,
    /// Time of the last job read.
    last_job_at: Micros,
    names: NameInterner,
    /// Whether the end line or an error was reached.
    finished: bool,
}

impl<R: BufRead> Reader<R> {
    /// Reads the header.
    ///
    /// # Errors
    /// The header cannot be read, or its version is not supported.
    pub fn new(mut input: R) -> Result<Self, RecordingError> {
        let mut text = Vec::new();
        read_line(&mut input, &mut text)?;
        let header: Header = serde_json::from_slice(&text).map_err(|_| RecordingError::NoHeader)?;
        if header.format != FORMAT {
            return Err(RecordingError::NoHeader);
        }
        if !(1..=VERSION).contains(&header.version) {
            return Err(RecordingError::Version(header.version));
        }
        let (names, last_job_at) = (NameInterner::default(), Micros::MIN);
        Ok(Reader {
            input,
            header,
            end: None,
            text,
            line: 1,
            jobs: 0,
            last_job_at,
            names,
            finished: false,
        })
    }

    /// Reads the next line; `None`: it is the end line, after which nothing is read.
    fn read_job(&mut self) -> Result<Option<Job>, RecordingError> {
        self.text.clear();
        if !read_line(&mut self.input, &mut self.text)? {
            return Err(RecordingError::Truncated { line: self.line });
        }
        self.line += 1;
        let syntax_error = |source| RecordingError::Syntax {
            line: self.line,
            source,
        };
        if self.text.starts_with(b"{\"end\"") {
            let last_line: Last = serde_json::from_slice(&self.text).map_err(syntax_error)?;
            if last_line.end.jobs != self.jobs {
                return Err(RecordingError::Counts {
                    counted: last_line.end.jobs,
                    found: self.jobs,
                });
            }
            self.end = Some(last_line.end);
            return Ok(None);
        }
        let record: Line<'_> = serde_json::from_slice(&self.text).map_err(syntax_error)?;
        if record.at < self.last_job_at {
            return Err(RecordingError::Unordered { line: self.line });
        }
        (self.jobs, self.last_job_at) = (self.jobs + 1, record.at);
        Ok(Some(record.into_job(&mut self.names)))
    }
}

/// Appends the next line to `text`, without its line break. Returns false at the end of the input.
fn read_line(input: &mut impl BufRead, text: &mut Vec<u8>) -> io::Result<bool> {
    let count = io::Read::take(&mut *input, MAX_RECORD_BYTES as u64).read_until(b'\n', text)?;
    if text.last() == Some(&b'\n') {
        text.pop();
    } else if count == MAX_RECORD_BYTES {
        return Err(io::Error::other(format!(
            "a line is longer than {MAX_RECORD_BYTES} bytes"
        )));
    }
    Ok(count > 0)
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Result<Job, RecordingError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.finished {
            return None;
        }
        let job = self.read_job().transpose();
        self.finished = !matches!(job, Some(Ok(_)));
        job
    }
}
