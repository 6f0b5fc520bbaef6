//! Writes recordings.

use super::job_line::Line;
use super::{End, Header, Last};
use crate::job::{Job, Micros};
use crate::tally::Tally;
use std::io::{self, Write};

/// Writes a recording line by line.
pub struct Writer<W: Write> {
    out: W,
    /// Buffer for the current line.
    bytes: Vec<u8>,
    /// Counts so far, written as the end line.
    end: End,
    /// Time of the last job written.
    last_job_at: Micros,
}

impl<W: Write> Writer<W> {
    /// Writes the header.
    ///
    /// # Errors
    /// Writing to `out` fails.
    pub fn new(mut out: W, header: &Header) -> io::Result<Self> {
        serde_json::to_writer(&mut out, header)?;
        out.write_all(b"\n")?;
        Ok(Writer {
            out,
            bytes: Vec::new(),
            end: End::default(),
            last_job_at: Micros::MIN,
        })
    }

    /// Writes a job.
    ///
    /// # Errors
    /// Writing fails, or the job is earlier than the last one written.
    pub fn write(&mut self, job: &Job) -> io::Result<()> {
        if job.at < self.last_job_at {
            return Err(io::Error::other(
                "a job is earlier than the one written before it; jobs must be written ordered by time",
            ));
        }
        self.last_job_at = job.at;
        self.bytes.clear();
        serde_json::to_writer(&mut self.bytes, &Line::new(job))?;
        self.bytes.push(b'\n');
        (self.end.jobs, self.end.retries) = (
            self.end.jobs + 1,
            self.end.retries + job.retries.len() as u64,
        );
        self.out.write_all(&self.bytes)
    }

    /// Writes the end line and flushes the output. `tally` holds the counts of the import, if there was one.
    ///
    /// # Errors
    /// Writing fails.
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
