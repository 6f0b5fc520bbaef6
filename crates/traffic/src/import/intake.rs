//! State of an import while records are read: maps and counts them and passes them to the sorter.

use super::duplicates::RecentRecords;
use super::error::ImportError;
use super::{Options, attempts_of};
use crate::job::{Job, Micros};
use crate::mapping::{MappedRecord, NameInterner};
use crate::order::{Attempt, Sorter};
use crate::raw::RawRecord;
use crate::tally::{Position, Reason, Remark, Tally};
use crate::timestamp::Reader;
use rustc_hash::FxHasher;
use std::hash::Hasher;
use std::io;

/// A record earlier than the latest one of its file by more than this means that the clock was set back.
const CLOCK_STEP_BACK: Micros = 60_000_000;
/// Minimum time without records that counts as a gap.
const MIN_GAP: Micros = 900_000_000;

/// The source of a record.
#[derive(Clone, Copy)]
pub(super) struct Origin<'a> {
    /// Index of the file, in the order of reading.
    pub file: u32,
    /// Position of the record in the file.
    pub position: Position<'a>,
    /// Text of the record as bytes.
    pub text: &'a [u8],
}

/// Processes the records of all files of an import.
pub(super) struct Intake<'a> {
    options: &'a Options,
    tally: Tally,
    names: NameInterner,
    sorter: Sorter,
    recent_records: RecentRecords,
    /// Number of files of the import.
    files: usize,
    /// Sequence number of the last attempt passed to the sorter.
    seq: u64,
    /// Latest time in the current file, or since the clock was last set back.
    latest_time: Option<Micros>,
    /// Time of the preceding record of the current file.
    previous_time: Option<Micros>,
    /// In a strict import, the error of the first record that could not be understood.
    fatal: Option<ImportError>,
}

impl<'a> Intake<'a> {
    pub(super) fn new(options: &'a Options, files: usize) -> Self {
        Intake {
            options,
            tally: Tally::default(),
            names: NameInterner::default(),
            sorter: Sorter::default(),
            recent_records: RecentRecords::default(),
            files,
            seq: 0,
            latest_time: None,
            previous_time: None,
            fatal: None,
        }
    }

    /// Returns a timestamp reader for one file.
    pub(super) fn timestamps(&self) -> Reader {
        Reader::new(self.options.mapping.zone.clone())
    }

    /// Resets the times of the preceding file.
    pub(super) fn begin_file(&mut self) {
        (self.latest_time, self.previous_time) = (None, None);
    }

    /// Returns true if the import has failed, so that nothing more needs to be read.
    pub(super) fn has_failed(&self) -> bool {
        self.fatal.is_some()
    }

    /// Returns the error that ended the import, if any.
    pub(super) fn take_failure(&mut self) -> Result<(), ImportError> {
        self.fatal.take().map_or(Ok(()), Err)
    }

    /// Returns the sorter with all attempts, and the counts so far.
    pub(super) fn finish(self) -> (Sorter, Tally) {
        (self.sorter, self.tally)
    }

    /// Counts a record as rejected.
    pub(super) fn reject(&mut self, reason: Reason, position: Position<'_>, text: &[u8]) {
        self.tally.reject(reason, position, text);
        if self.options.strict && reason.is_bad() && self.fatal.is_none() {
            let example = self.tally.rejected[&reason].examples.last();
            let text = example.map(|e| e.text.clone()).unwrap_or_default();
            self.fatal = Some(ImportError::Strict {
                file: position.file.into(),
                line: position.line,
                reason,
                text,
            });
        }
    }

    /// Counts an anomaly of a record.
    pub(super) fn remark(&mut self, remark: Remark, position: Position<'_>, text: &[u8]) {
        self.tally.remark(remark, position, text);
    }

    /// Processes a decoded record, or the reason why it could not be decoded. Returns true if it is accepted.
    ///
    /// # Errors
    /// A temporary file cannot be written.
    pub(super) fn take(
        &mut self,
        raw: Result<RawRecord<'_>, Reason>,
        origin: Origin<'_>,
        timestamps: &mut Reader,
    ) -> io::Result<bool> {
        // Querying the flag resets it. It is queried for every record, as a rejected record would otherwise set it for the
        // next one.
        let was_dst = timestamps.was_dst();
        let mapped_record =
            raw.and_then(|raw| self.options.mapping.map_record(&raw, &mut self.names));
        let mapped_record = match mapped_record {
            Ok(mapped_record) => mapped_record,
            Err(reason) => {
                self.reject(reason, origin.position, origin.text);
                return Ok(false);
            }
        };
        if self.is_duplicate(&mapped_record, origin) {
            self.reject(Reason::Duplicate, origin.position, origin.text);
            return Ok(false);
        }
        for remark in &mapped_record.remarks {
            self.remark(*remark, origin.position, origin.text);
        }
        if was_dst {
            self.remark(Remark::Dst, origin.position, origin.text);
        }
        self.check_time(mapped_record.job.at, origin);
        self.push(Attempt {
            job: mapped_record.job,
            resolution: mapped_record.resolution,
            seq: 0,
            id: mapped_record.id,
            marked: mapped_record.marked,
            file: origin.file,
        })?;
        Ok(true)
    }

    /// Processes a job of a recording as its single attempts, which are folded again.
    ///
    /// # Errors
    /// A temporary file cannot be written.
    pub(super) fn take_job(&mut self, job: Job) -> io::Result<()> {
        attempts_of(job).try_for_each(|attempt| self.push(attempt))
    }

    fn push(&mut self, attempt: Attempt) -> io::Result<()> {
        self.tally.accept();
        self.seq += 1;
        let seq = self.seq;
        self.sorter.push(Attempt { seq, ..attempt })
    }

    /// Returns true if the record was read before. Without an id, equal records in one file may be different requests, but
    /// equal records in two files are copies made by log rotation.
    fn is_duplicate(&mut self, mapped: &MappedRecord, origin: Origin<'_>) -> bool {
        let has_id = mapped.id != 0;
        let mut hash = FxHasher::default();
        hash.write_u64(mapped.id);
        hash.write_i64(mapped.job.at);
        if !has_id {
            hash.write(origin.text);
        }
        (has_id || self.files > 1)
            && self
                .recent_records
                .is_duplicate(hash.finish(), origin.file, has_id)
    }

    /// Counts a clock step, a gap or reordering relative to the preceding records of the file.
    fn check_time(&mut self, time: Micros, origin: Origin<'_>) {
        match (self.latest_time, self.previous_time) {
            (Some(latest), _) if time + CLOCK_STEP_BACK < latest => {
                self.remark(Remark::ClockBack, origin.position, origin.text);
                self.latest_time = Some(time); // later records are compared with the new time
            }
            (Some(latest), _) if time > latest + MIN_GAP => {
                self.remark(Remark::Gap, origin.position, origin.text);
            }
            (_, Some(prior)) if time < prior => self.tally.remark_count(Remark::Reordered, 1),
            _ => {}
        }
        self.latest_time = Some(self.latest_time.map_or(time, |latest| latest.max(time)));
        self.previous_time = Some(time);
    }
}
