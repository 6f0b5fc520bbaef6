//! Sorted runs on disk. Each attempt is preceded by its length as a four-byte little-endian integer.

use super::Attempt;
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Seek, Write};

/// Size of the buffers for writing and reading.
const BUFFER_BYTES: usize = 64 * 1024;

/// Writes a sorted run to an unnamed temporary file.
pub(super) struct RunWriter {
    out: BufWriter<File>,
    bytes: Vec<u8>,
}

impl RunWriter {
    pub(super) fn new() -> io::Result<Self> {
        Ok(RunWriter {
            out: BufWriter::with_capacity(BUFFER_BYTES, tempfile::tempfile()?),
            bytes: Vec::new(),
        })
    }

    pub(super) fn write(&mut self, attempt: &Attempt) -> io::Result<()> {
        self.bytes.clear();
        self.bytes = postcard::to_extend(attempt, std::mem::take(&mut self.bytes))
            .map_err(io::Error::other)?;
        self.out
            .write_all(&(self.bytes.len() as u32).to_le_bytes())?;
        self.out.write_all(&self.bytes)
    }

    /// Ends the run and returns a reader positioned at its beginning.
    pub(super) fn finish(self) -> io::Result<RunReader> {
        let mut file = self
            .out
            .into_inner()
            .map_err(io::IntoInnerError::into_error)?;
        file.rewind()?;
        Ok(RunReader {
            input: BufReader::with_capacity(BUFFER_BYTES, file),
            bytes: Vec::new(),
        })
    }
}

/// Reads a sorted run.
pub(super) struct RunReader {
    input: BufReader<File>,
    bytes: Vec<u8>,
}

impl RunReader {
    /// Reads the next attempt; `None`: the run has ended.
    pub(super) fn next(&mut self) -> io::Result<Option<Box<Attempt>>> {
        let mut length = [0; 4];
        match self.input.read_exact(&mut length) {
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            other => other?,
        }
        self.bytes.resize(u32::from_le_bytes(length) as usize, 0);
        self.input.read_exact(&mut self.bytes)?;
        postcard::from_bytes(&self.bytes)
            .map(|attempt| Some(Box::new(attempt)))
            .map_err(io::Error::other)
    }
}
