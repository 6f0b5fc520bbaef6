//! The state of an import while records are read: they are mapped, counted and given to the sorter.

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

/// A clock went back if a record began so long before the latest of its file.
const CLOCK_STEP_BACK: Micros = 60_000_000;
/// Nothing recorded for so long is a gap.
const MIN_GAP: Micros = 900_000_000;

/// Where a record comes from.
#[derive(Clone, Copy)]
pub(super) struct Origin<'a> {
    /// Index of the file, in the order of reading.
    pub file: u32,
    /// Its position in the file.
    pub position: Position<'a>,
    /// Its text.
    pub text: &'a [u8],
}

/// Takes the records of several files.
pub(super) struct Intake<'a> {
    options: &'a Options,
    tally: Tally,
    names: NameInterner,
    sorter: Sorter,
    recent: RecentRecords,
    /// Files of the import.
    files: usize,
    /// Number of the last attempt given to the sorter.
    seq: u64,
    /// The latest time in this file; from a step of the clock on, the latest since then.
    latest: Option<Micros>,
    /// The time of the record before, in this file.
    previous: Option<Micros>,
    /// In a strict import, the first record that could not be understood.
    fatal: Option<ImportError>,
}

impl<'a> Intake<'a> {
    pub(super) fn new(options: &'a Options, files: usize) -> Self {
        Intake {
            options,
            tally: Tally::default(),
            names: NameInterner::default(),
            sorter: Sorter::default(),
            recent: RecentRecords::default(),
            files,
            seq: 0,
            latest: None,
            previous: None,
            fatal: None,
        }
    }

    /// A reader of times in one file.
    pub(super) fn timestamps(&self) -> Reader {
        Reader::new(self.options.mapping.zone.clone())
    }

    /// Forgets the times of the file before.
    pub(super) fn begin_file(&mut self) {
        (self.latest, self.previous) = (None, None);
    }

    /// Has the import failed, so that nothing further need be read?
    pub(super) fn has_failed(&self) -> bool {
        self.fatal.is_some()
    }

    /// The error that ended the import, if any.
    pub(super) fn take_failure(&mut self) -> Result<(), ImportError> {
        self.fatal.take().map_or(Ok(()), Err)
    }

    /// All attempts, and the counts so far.
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

    /// Counts something odd about a record.
    pub(super) fn remark(&mut self, remark: Remark, position: Position<'_>, text: &[u8]) {
        self.tally.remark(remark, position, text);
    }

    /// Takes a record that was decoded, or the reason why it was not. `true`: it is accepted.
    ///
    /// # Errors
    /// A temporary file cannot be written.
    pub(super) fn take(
        &mut self,
        raw: Result<RawRecord<'_>, Reason>,
        origin: Origin<'_>,
        timestamps: &mut Reader,
    ) -> io::Result<bool> {
        // Read for every record, so that none answers for one that was rejected before it.
        let dst = timestamps.was_dst();
        let mapped = raw.and_then(|raw| self.options.mapping.map_record(&raw, &mut self.names));
        let mapped = match mapped {
            Ok(mapped) => mapped,
            Err(reason) => {
                self.reject(reason, origin.position, origin.text);
                return Ok(false);
            }
        };
        if self.is_duplicate(&mapped, origin) {
            self.reject(Reason::Duplicate, origin.position, origin.text);
            return Ok(false);
        }
        for remark in &mapped.remarks {
            self.remark(*remark, origin.position, origin.text);
        }
        if dst {
            self.remark(Remark::Dst, origin.position, origin.text);
        }
        self.check_time(mapped.job.at, origin);
        self.push(Attempt {
            job: mapped.job,
            resolution: mapped.resolution,
            seq: 0,
            id: mapped.id,
            marked: mapped.marked,
            file: origin.file,
        })?;
        Ok(true)
    }

    /// Takes a job of a recording, as the attempts that it was made of.
    ///
    /// # Errors
    /// A temporary file cannot be written.
    pub(super) fn take_job(&mut self, job: Job) -> io::Result<()> {
        attempts_of(job).try_for_each(|attempt| self.push(attempt))
    }

    fn push(&mut self, attempt: Attempt) -> io::Result<()> {
        self.tally.pass();
        self.seq += 1;
        let seq = self.seq;
        self.sorter.push(Attempt { seq, ..attempt })
    }

    /// Without an id two equal records may be two requests, unless they stand in two files: then one was copied.
    fn is_duplicate(&mut self, mapped: &MappedRecord, origin: Origin<'_>) -> bool {
        let has_id = mapped.id != 0;
        let mut hash = FxHasher::default();
        hash.write_u64(mapped.id);
        hash.write_i64(mapped.job.at);
        if !has_id {
            hash.write(origin.text);
        }
        (has_id || self.files > 1) && self.recent.is_duplicate(hash.finish(), origin.file, has_id)
    }

    /// Remarks on a time that does not follow from those before it in the file.
    fn check_time(&mut self, at: Micros, origin: Origin<'_>) {
        match (self.latest, self.previous) {
            (Some(latest), _) if at + CLOCK_STEP_BACK < latest => {
                self.remark(Remark::ClockBack, origin.position, origin.text);
                self.latest = Some(at); // from here on the new time counts
            }
            (Some(latest), _) if at > latest + MIN_GAP => {
                self.remark(Remark::Gap, origin.position, origin.text);
            }
            (_, Some(previous)) if at < previous => self.tally.remark_only(Remark::Reordered, 1),
            _ => {}
        }
        self.latest = Some(self.latest.map_or(at, |latest| latest.max(at)));
        self.previous = Some(at);
    }
}
