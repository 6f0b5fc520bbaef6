//! Splits a file into records, one per line, in bounded memory.

use super::is_damaged_data;
use memchr::memchr;
use std::io::{self, BufRead};

/// Maximum length of a record.
pub(super) const MAX_RECORD_BYTES: usize = 64 * 1024;
/// Number of bytes kept of a longer record, as an example.
const KEPT_OF_LONG_RECORD_BYTES: usize = 1024;

/// The next record of a file, without its line break.
pub(super) enum RecordRead<'a> {
    /// A complete record.
    Complete {
        bytes: &'a [u8],
        /// Whether the file ends after it without a line break.
        unterminated: bool,
    },
    /// A record that is too long; holds its beginning.
    TooLong(&'a [u8]),
    /// The compressed file is truncated or damaged within this record; holds the part read so far.
    Damaged(&'a [u8]),
}

/// A record that spans several buffers.
#[derive(Default)]
struct PartialRecord {
    bytes: Vec<u8>,
    too_long: bool,
}

impl PartialRecord {
    fn is_empty(&self) -> bool {
        self.bytes.is_empty() && !self.too_long
    }

    fn extend(&mut self, chunk: &[u8]) {
        if self.bytes.len() + chunk.len() > MAX_RECORD_BYTES {
            self.too_long = true;
            self.bytes.truncate(KEPT_OF_LONG_RECORD_BYTES);
        } else if !self.too_long {
            self.bytes.extend_from_slice(chunk);
        }
    }

    fn clear(&mut self) {
        self.bytes.clear();
        self.too_long = false;
    }
}

/// Reads records. A record that lies completely in the buffer is not copied.
pub(super) struct RecordReader<'a> {
    input: &'a mut dyn BufRead,
    partial: PartialRecord,
    /// Whether the partial record is complete and was returned, so that it is cleared by the next call.
    partial_done: bool,
    /// Number of bytes of the buffer to consume for the record returned last.
    unconsumed: usize,
}

impl<'a> RecordReader<'a> {
    pub(super) fn new(input: &'a mut dyn BufRead) -> Self {
        RecordReader {
            input,
            partial: PartialRecord::default(),
            partial_done: false,
            unconsumed: 0,
        }
    }

    /// Returns the next record; `None`: the file has ended.
    ///
    /// # Errors
    /// The file cannot be read, for a reason other than damaged compressed data.
    pub(super) fn next(&mut self) -> io::Result<Option<RecordRead<'_>>> {
        self.input.consume(std::mem::take(&mut self.unconsumed));
        if std::mem::take(&mut self.partial_done) {
            self.partial.clear();
        }
        loop {
            let buffer = match self.input.fill_buf() {
                Ok(buffer) => buffer,
                Err(e) if is_damaged_data(&e) => {
                    return Ok(Some(RecordRead::Damaged(&self.partial.bytes)));
                }
                Err(e) => return Err(e),
            };
            let has_ended = buffer.is_empty();
            if has_ended && self.partial.is_empty() {
                return Ok(None);
            }
            let newline_index = memchr(b'\n', buffer);
            let length = newline_index.unwrap_or(buffer.len());
            let consumed_length = newline_index.map_or(length, |at| at + 1);
            if newline_index.is_some() && self.partial.is_empty() {
                self.unconsumed = consumed_length;
                let bytes = &self.input.fill_buf()?[..length];
                return Ok(Some(match length > MAX_RECORD_BYTES {
                    true => RecordRead::TooLong(bytes),
                    false => RecordRead::Complete {
                        bytes,
                        unterminated: false,
                    },
                }));
            }
            self.partial.extend(&buffer[..length]);
            self.input.consume(consumed_length);
            if newline_index.is_some() || has_ended {
                self.partial_done = true;
                return Ok(Some(match self.partial.too_long {
                    true => RecordRead::TooLong(&self.partial.bytes),
                    false => RecordRead::Complete {
                        bytes: &self.partial.bytes,
                        unterminated: has_ended,
                    },
                }));
            }
        }
    }
}
