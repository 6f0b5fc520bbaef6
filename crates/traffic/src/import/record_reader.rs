//! Records of a file of any form, one a line, in bounded memory.

use super::is_broken_off;
use memchr::memchr;
use std::io::{self, BufRead};

/// The longest record.
pub(super) const MAX_RECORD_BYTES: usize = 64 * 1024;
/// What is kept of a longer one, as an example.
const KEPT_OF_LONG_RECORD_BYTES: usize = 1024;

/// What was read next, without the end of the line.
pub(super) enum RecordRead<'a> {
    /// A record.
    Complete {
        bytes: &'a [u8],
        /// The file ends behind it, without the end of the line.
        unterminated: bool,
    },
    /// A record that is too long; its beginning.
    TooLong(&'a [u8]),
    /// The compressed file breaks off within this record.
    BrokenOff(&'a [u8]),
}

/// A record of which the buffer holds only a part.
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

/// Reads records; one that the buffer holds completely is not copied.
pub(super) struct RecordReader<'a> {
    from: &'a mut dyn BufRead,
    partial: PartialRecord,
    /// The partial record has been handed out.
    partial_done: bool,
    /// Bytes of the buffer that the record handed out last takes.
    used: usize,
}

impl<'a> RecordReader<'a> {
    pub(super) fn new(from: &'a mut dyn BufRead) -> Self {
        RecordReader {
            from,
            partial: PartialRecord::default(),
            partial_done: false,
            used: 0,
        }
    }

    /// The next record; `None`: the file has ended.
    ///
    /// # Errors
    /// The file cannot be read, for another reason than its compressed data.
    pub(super) fn next(&mut self) -> io::Result<Option<RecordRead<'_>>> {
        self.from.consume(std::mem::take(&mut self.used));
        if std::mem::take(&mut self.partial_done) {
            self.partial.clear();
        }
        loop {
            let buffer = match self.from.fill_buf() {
                Ok(buffer) => buffer,
                Err(e) if is_broken_off(&e) => {
                    return Ok(Some(RecordRead::BrokenOff(&self.partial.bytes)));
                }
                Err(e) => return Err(e),
            };
            let ended = buffer.is_empty();
            if ended && self.partial.is_empty() {
                return Ok(None);
            }
            let newline = memchr(b'\n', buffer);
            let length = newline.unwrap_or(buffer.len());
            let used = newline.map_or(length, |at| at + 1);
            if newline.is_some() && self.partial.is_empty() {
                self.used = used;
                let bytes = &self.from.fill_buf()?[..length];
                return Ok(Some(match length > MAX_RECORD_BYTES {
                    true => RecordRead::TooLong(bytes),
                    false => RecordRead::Complete {
                        bytes,
                        unterminated: false,
                    },
                }));
            }
            self.partial.extend(&buffer[..length]);
            self.from.consume(used);
            if newline.is_some() || ended {
                self.partial_done = true;
                return Ok(Some(match self.partial.too_long {
                    true => RecordRead::TooLong(&self.partial.bytes),
                    false => RecordRead::Complete {
                        bytes: &self.partial.bytes,
                        unterminated: ended,
                    },
                }));
            }
        }
    }
}
