//! Reads files of each kind and passes their records to [`Intake`].

use super::error::ImportError;
use super::intake::{Intake, Origin};
use super::probe::ProbedFile;
use super::record_reader::{RecordRead, RecordReader};
use super::{file_error, is_damaged_data};
use crate::access_log::LogFormat;
use crate::detect::Kind;
use crate::har::{self, Element, Splitter};
use crate::recording;
use crate::source;
use crate::tally::{Position, Reason, Remark};
use crate::timestamp::Reader;
use std::io::{self, BufRead};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

/// Identifies the file that is being read.
#[derive(Clone, Copy)]
struct FileId<'a> {
    name: &'a str,
    /// Index of the file in the order of reading.
    index: u32,
}

impl<'a> FileId<'a> {
    fn position(&self, line: u64) -> Position<'a> {
        Position {
            file: self.name,
            line,
        }
    }

    fn origin(&self, line: u64, text: &'a [u8]) -> Origin<'a> {
        Origin {
            file: self.index,
            position: self.position(line),
            text,
        }
    }
}

impl Intake<'_> {
    /// Reads a file and returns its name. `bytes_read` is increased by the bytes read, before decompression.
    pub(super) fn read_file(
        &mut self,
        file: &ProbedFile<'_>,
        index: u32,
        bytes_read: &Arc<AtomicU64>,
    ) -> Result<String, ImportError> {
        let path = file.path;
        let name = path.file_name().map_or_else(
            || path.display().to_string(),
            |name| name.to_string_lossy().into_owned(),
        );
        let mut input = source::open(path, bytes_read.clone()).map_err(file_error(path))?;
        self.begin_file();
        let id = FileId { name: &name, index };
        match &file.kind {
            Kind::AccessLog(format) => self
                .read_access_log(format, &mut *input, id)
                .map_err(file_error(path))?,
            Kind::Har => self.read_har(&mut *input, id, &file_error(path))?,
            Kind::Recording => self.read_recording(&mut *input, id)?,
        }
        self.take_failure()?;
        Ok(name)
    }

    fn read_access_log(
        &mut self,
        format: &LogFormat,
        input: &mut dyn BufRead,
        file: FileId<'_>,
    ) -> io::Result<()> {
        let mut decoder = RecordDecoder {
            format,
            timestamps: self.timestamps(),
            latin1: String::new(),
        };
        let mut records = RecordReader::new(input);
        let mut line = 0;
        while let Some(record_read) = records.next()? {
            line += 1;
            match record_read {
                RecordRead::Complete {
                    bytes,
                    unterminated,
                } => {
                    let bytes = bytes.strip_suffix(b"\r").unwrap_or(bytes);
                    self.read_record(&mut decoder, file.origin(line, bytes), unterminated)?;
                }
                RecordRead::TooLong(text) => {
                    self.reject(Reason::TooLong, file.position(line), text);
                }
                RecordRead::Damaged(text) => {
                    self.reject(Reason::Truncated, file.position(line), text);
                    return Ok(());
                }
            }
            if self.has_failed() {
                return Ok(());
            }
        }
        Ok(())
    }

    fn read_record(
        &mut self,
        decoder: &mut RecordDecoder<'_>,
        origin: Origin<'_>,
        unterminated: bool,
    ) -> io::Result<()> {
        let bytes = origin.text;
        if let Some(reason) = precheck_record(bytes) {
            self.reject(reason, origin.position, bytes);
            return Ok(());
        }
        let RecordDecoder {
            format,
            timestamps,
            latin1,
        } = decoder;
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text,
            Err(_) => {
                latin1.clear();
                latin1.extend(bytes.iter().map(|b| *b as char));
                latin1.as_str()
            }
        };
        let raw = format.read(text, timestamps).map_err(|reason| {
            match unterminated && reason == Reason::Malformed {
                true => Reason::Truncated,
                false => reason,
            }
        });
        if self.take(raw, origin, timestamps)? && text.len() != bytes.len() {
            self.remark(Remark::Latin1, origin.position, bytes);
        }
        Ok(())
    }

    fn read_har(
        &mut self,
        input: &mut dyn BufRead,
        file: FileId<'_>,
        to_import_error: &dyn Fn(io::Error) -> ImportError,
    ) -> Result<(), ImportError> {
        let mut timestamps = self.timestamps();
        let (mut splitter, mut entry_number, mut intake_error) = (Splitter::default(), 0, None);
        loop {
            let bytes = match input.fill_buf() {
                Ok(bytes) => bytes,
                Err(e) if is_damaged_data(&e) => break,
                Err(e) => return Err(to_import_error(e)),
            };
            let chunk_length = bytes.len();
            if chunk_length == 0 {
                break;
            }
            splitter.push(bytes, |element| {
                entry_number += 1;
                match element {
                    Element::Entry(text) => {
                        let raw = har::read(text, &mut timestamps);
                        let take_result =
                            self.take(raw, file.origin(entry_number, text), &mut timestamps);
                        intake_error = intake_error.take().or(take_result.err());
                    }
                    Element::TooLong(text) => {
                        self.reject(Reason::TooLong, file.position(entry_number), text);
                    }
                }
            });
            input.consume(chunk_length);
            if let Some(e) = intake_error {
                return Err(to_import_error(e));
            }
            if self.has_failed() {
                return Ok(());
            }
        }
        self.end_har(&mut splitter, file, entry_number + 1)
    }

    /// Ends the document, which may be truncated within entry number `next_entry`.
    fn end_har(
        &mut self,
        splitter: &mut Splitter,
        file: FileId<'_>,
        next_entry: u64,
    ) -> Result<(), ImportError> {
        let truncated_entry = splitter
            .finish()
            .map_err(|e| ImportError::format(file.name, e))?;
        if let Some(text) = truncated_entry {
            self.reject(Reason::Truncated, file.position(next_entry), text);
        }
        Ok(())
    }

    fn read_recording(
        &mut self,
        input: &mut dyn BufRead,
        file: FileId<'_>,
    ) -> Result<(), ImportError> {
        let reader =
            recording::Reader::new(input).map_err(|e| ImportError::format(file.name, e))?;
        for job in reader {
            let job = job.map_err(|e| ImportError::format(file.name, e))?;
            self.take_job(job).map_err(|source| ImportError::File {
                file: file.name.into(),
                source,
            })?;
        }
        Ok(())
    }
}

/// Decodes the records of one access log.
struct RecordDecoder<'a> {
    format: &'a LogFormat,
    timestamps: Reader,
    /// Buffer for the text of a record that is not UTF-8.
    latin1: String,
}

/// Returns the reason to reject a record before it is decoded: it is blank, a comment or binary.
fn precheck_record(bytes: &[u8]) -> Option<Reason> {
    if bytes.iter().all(u8::is_ascii_whitespace) {
        Some(Reason::Blank)
    } else if bytes[0] == b'#' {
        Some(Reason::Comment)
    } else if bytes.iter().any(|b| *b < 0x20 && *b != b'\t') {
        Some(Reason::Binary)
    } else {
        None
    }
}
