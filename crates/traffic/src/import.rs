//! The whole way from files to a recording.

use crate::access_log::LogFormat;
use crate::detect::{Kind, detect};
use crate::fold::{Folder, Rules};
use crate::har::{self, Element, Splitter};
use crate::job::{Job, Micros};
use crate::mapping::{Mapping, NameInterner};
use crate::order::{Attempt, Sorter, Spread};
use crate::raw::RawRecord;
use crate::recording::{self, End, Header, Writer};
use crate::source;
use crate::tally::{Position, Reason, Remark, Tally};
use crate::timestamp::Reader;
use memchr::memchr;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::Hasher;
use std::io::{self, BufRead, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

/// The longest line that is a record.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// A clock went back if a record began so long before the latest of its file.
const CLOCK_STEP_BACK: Micros = 60_000_000;
/// Nothing recorded for so long is a gap.
const MIN_GAP: Micros = 900_000_000;
/// Records by which one that was read twice is known.
const MAX_RECENT_RECORDS: usize = 200_000;

/// How to import.
pub struct Options {
    /// The format; `None`: each file's is found out.
    pub format: Option<Kind>,
    /// What records mean.
    pub mapping: Mapping,
    /// The first record that cannot be understood ends the import.
    pub strict: bool,
    /// A larger share of such records fails it.
    pub max_bad: f64,
    /// Random numbers begin here.
    pub seed: u64,
}

/// Why there is no recording.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// A file is not what it should be.
    #[error("{0}: {1}")]
    Format(String, String),
    /// Strictly, one bad record is too many.
    #[error("{file}, line {line}: {reason:?}: {text}")]
    Strict {
        /// The file.
        file: String,
        /// The line.
        line: u64,
        /// What is wrong.
        reason: Reason,
        /// Its beginning.
        text: String,
    },
    /// Too large a share was bad.
    #[error("{0} of {1} records could not be understood, a share of {2:.4}; {3} is allowed")]
    TooMany(u64, u64, f64, f64),
    /// There is not one job.
    #[error("there is not one job in {0} records; the counts say why")]
    Nothing(u64, Box<Tally>),
}

/// Known records, the oldest half forgotten now and then.
#[derive(Default)]
struct RecentRecords([FxHashMap<u64, u32>; 2]);

impl RecentRecords {
    /// The file in which it was seen first, if that is another; `always`: in any.
    fn is_duplicate(&mut self, what: u64, file: u32, always: bool) -> bool {
        if let Some(first) = self.0.iter().find_map(|half| half.get(&what)) {
            return always || *first != file;
        }
        if self.0[0].len() >= MAX_RECENT_RECORDS {
            self.0.swap(0, 1);
            self.0[0].clear();
        }
        self.0[0].insert(what, file);
        false
    }
}

/// Reads records of several files into a sorter.
struct Intake<'a> {
    options: &'a Options,
    tally: Tally,
    names: NameInterner,
    sorter: Sorter,
    recent: RecentRecords,
    files: usize,
    seq: u64,
    /// The latest time of this file, and that of the record before.
    latest: Option<Micros>,
    before: Option<Micros>,
    fatal: Option<ImportError>,
}

impl Intake<'_> {
    fn reject(&mut self, reason: Reason, position: Position<'_>, text: &[u8]) {
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

    /// Takes a record that was read, or was not. `true`: it goes on.
    fn take(
        &mut self,
        raw: Result<RawRecord<'_>, Reason>,
        file: u32,
        position: Position<'_>,
        text: &[u8],
        timestamps: &mut Reader,
    ) -> io::Result<bool> {
        // Asked of each record, so that none answers for one that was rejected before it.
        let dst = timestamps.was_dst();
        let mapped = raw.and_then(|raw| self.options.mapping.map_record(&raw, &mut self.names));
        let mapped = match mapped {
            Ok(mapped) => mapped,
            Err(reason) => {
                self.reject(reason, position, text);
                return Ok(false);
            }
        };
        let mut hash = FxHasher::default();
        hash.write_u64(mapped.id);
        hash.write_i64(mapped.job.at);
        if mapped.id == 0 {
            hash.write(text);
        }
        // Without an id two equal lines may be two requests, unless they stand in two files: then one is a copy.
        let has_id = mapped.id != 0;
        if (has_id || self.files > 1) && self.recent.is_duplicate(hash.finish(), file, has_id) {
            self.reject(Reason::Duplicate, position, text);
            return Ok(false);
        }
        for remark in &mapped.remarks {
            self.tally.remark(*remark, position, text);
        }
        if dst {
            self.tally.remark(Remark::Dst, position, text);
        }
        let at = mapped.job.at;
        match (self.latest, self.before) {
            (Some(latest), _) if at + CLOCK_STEP_BACK < latest => {
                self.tally.remark(Remark::ClockBack, position, text);
                self.latest = Some(at); // from here on the new time counts
            }
            (Some(latest), _) if at > latest + MIN_GAP => {
                self.tally.remark(Remark::Gap, position, text)
            }
            (_, Some(before)) if at < before => self.tally.remark_only(Remark::Reordered, 1),
            _ => {}
        }
        self.latest = Some(self.latest.map_or(at, |l| l.max(at)));
        self.before = Some(at);
        self.tally.pass();
        self.seq += 1;
        let (job, within, marked) = (mapped.job, mapped.within, mapped.marked);
        self.sorter.push(Attempt {
            job,
            within,
            seq: self.seq,
            id: mapped.id,
            marked,
            file,
        })?;
        Ok(true)
    }

    fn read_access_log(
        &mut self,
        format: &LogFormat,
        from: &mut dyn BufRead,
        name: &str,
        file: u32,
    ) -> io::Result<()> {
        let mut timestamps = Reader::new(self.options.mapping.zone.clone());
        let (mut line, mut kept, mut latin, mut too_long) = (0, Vec::new(), String::new(), false);
        loop {
            let bytes = match from.fill_buf() {
                Ok(bytes) => bytes,
                Err(e) if broken_off(&e) => {
                    // What of the last record came before that is in `kept`.
                    self.reject(
                        Reason::Truncated,
                        Position {
                            file: name,
                            line: line + 1,
                        },
                        &kept,
                    );
                    return Ok(());
                }
                Err(e) => return Err(e),
            };
            let last = bytes.is_empty();
            if last && kept.is_empty() && !too_long {
                return Ok(());
            }
            let end = memchr(b'\n', bytes);
            let (complete, used) = match end {
                Some(end) => (true, end + 1),
                None => (last, bytes.len()),
            };
            let chunk = &bytes[..end.unwrap_or(used)];
            if !complete || !kept.is_empty() || too_long {
                // It goes on in the next chunk, or did in the one before.
                if kept.len() + chunk.len() > MAX_LINE_BYTES {
                    too_long = true;
                    kept.truncate(1024);
                } else if !too_long {
                    kept.extend_from_slice(chunk);
                }
                if !complete {
                    from.consume(used);
                    continue;
                }
                line += 1;
                let position = Position { file: name, line };
                let text = std::mem::take(&mut kept);
                match std::mem::take(&mut too_long) {
                    true => self.reject(Reason::TooLong, position, &text),
                    false => self.read_record(
                        format,
                        &text,
                        (file, position, last),
                        &mut timestamps,
                        &mut latin,
                    )?,
                }
                kept = text;
                kept.clear();
            } else if chunk.len() > MAX_LINE_BYTES {
                line += 1;
                self.reject(Reason::TooLong, Position { file: name, line }, chunk);
            } else {
                line += 1;
                self.read_record(
                    format,
                    chunk,
                    (file, Position { file: name, line }, false),
                    &mut timestamps,
                    &mut latin,
                )?;
            }
            from.consume(used);
            if self.fatal.is_some() {
                return Ok(());
            }
        }
    }

    /// One line; the last of a file may lack its end.
    fn read_record(
        &mut self,
        format: &LogFormat,
        bytes: &[u8],
        (file, position, last): (u32, Position<'_>, bool),
        timestamps: &mut Reader,
        latin: &mut String,
    ) -> io::Result<()> {
        let bytes = bytes.strip_suffix(b"\r").unwrap_or(bytes);
        if bytes.iter().all(u8::is_ascii_whitespace) {
            self.reject(Reason::Blank, position, bytes);
            return Ok(());
        }
        if bytes[0] == b'#' {
            self.reject(Reason::Comment, position, bytes);
            return Ok(());
        }
        if bytes.iter().any(|b| *b < 0x20 && *b != b'\t') {
            self.reject(Reason::Binary, position, bytes);
            return Ok(());
        }
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text,
            Err(_) => {
                latin.clear();
                latin.extend(bytes.iter().map(|b| *b as char));
                latin.as_str()
            }
        };
        let raw = format.read(text, timestamps).map_err(|reason| {
            match last && reason == Reason::Malformed {
                true => Reason::Truncated,
                false => reason,
            }
        });
        if self.take(raw, file, position, bytes, timestamps)? && text.len() != bytes.len() {
            self.tally.remark(Remark::Latin1, position, bytes);
        }
        Ok(())
    }

    fn har(
        &mut self,
        from: &mut dyn BufRead,
        name: &str,
        file: u32,
        io: &dyn Fn(io::Error) -> ImportError,
    ) -> Result<(), ImportError> {
        let mut timestamps = Reader::new(self.options.mapping.zone.clone());
        let (mut splitter, mut entry, mut failed) = (Splitter::default(), 0, None);
        loop {
            let bytes = match from.fill_buf() {
                Ok(bytes) => bytes,
                Err(e) if broken_off(&e) => break,
                Err(e) => return Err(io(e)),
            };
            let used = bytes.len();
            if used == 0 {
                break;
            }
            splitter.push(bytes, |element| {
                entry += 1;
                let position = Position {
                    file: name,
                    line: entry,
                };
                match element {
                    Element::Entry(text) => {
                        let raw = har::read(text, &mut timestamps);
                        failed = failed
                            .take()
                            .or(self.take(raw, file, position, text, &mut timestamps).err());
                    }
                    Element::TooLong(text) => self.reject(Reason::TooLong, position, text),
                }
            });
            from.consume(used);
            if let Some(e) = failed {
                return Err(io(e));
            }
            if self.fatal.is_some() {
                return Ok(());
            }
        }
        match splitter.finish() {
            Err(why) => return Err(ImportError::Format(name.into(), why.into())),
            Ok(Some(text)) => {
                let text = text.to_vec();
                self.reject(
                    Reason::Truncated,
                    Position {
                        file: name,
                        line: entry + 1,
                    },
                    &text,
                );
            }
            Ok(None) => {}
        }
        Ok(())
    }

    /// A recording is read again as the tries that it was made of.
    fn recording(&mut self, from: &mut dyn BufRead, name: &str) -> Result<(), ImportError> {
        let reader = recording::Reader::new(from)
            .map_err(|e| ImportError::Format(name.into(), e.to_string()))?;
        for job in reader {
            let job = job.map_err(|e| ImportError::Format(name.into(), e.to_string()))?;
            for t in attempts_of(job) {
                self.tally.pass();
                self.seq += 1;
                let t = Attempt { seq: self.seq, ..t };
                self.sorter
                    .push(t)
                    .map_err(|e| ImportError::File(name.into(), e))?;
            }
        }
        Ok(())
    }
}

/// The tries of a job, the first and its retries, each as if it were a first try.
pub fn attempts_of(mut job: Job) -> impl Iterator<Item = Attempt> {
    let retries = std::mem::take(&mut job.retries);
    let first = job.clone();
    let rest = retries.into_iter().map(move |a| {
        let marked = a.evidence != crate::job::Evidence::Key;
        (
            Job {
                at: a.at,
                status: a.status,
                took: a.took,
                ..job.clone()
            },
            marked,
        )
    });
    std::iter::once((first, false))
        .chain(rest)
        .map(|(job, marked)| {
            let (within, seq, id, file) = (1, 0, 0, 0);
            Attempt {
                job,
                within,
                seq,
                id,
                marked,
                file,
            }
        })
}

/// What came of an import.
#[derive(Clone, Debug)]
pub struct Imported {
    /// The recording's last line.
    pub end: End,
    /// What became of every record.
    pub tally: Tally,
}

/// Imports files into a recording. Rotated files may be named in any order. `read` counts bytes as they are read.
///
/// # Errors
/// Why there is no recording; what had been written is of no use then.
pub fn import(
    paths: &[PathBuf],
    options: &Options,
    out: impl Write,
    read: &Arc<AtomicU64>,
) -> Result<Imported, ImportError> {
    let (names, recent, sorter) = Default::default();
    let mut intake = Intake {
        options,
        tally: Tally::default(),
        names,
        sorter,
        recent,
        files: paths.len(),
        seq: 0,
        latest: None,
        before: None,
        fatal: None,
    };
    let mut files = Vec::new();
    for path in paths {
        files.push(probe(path, options)?);
    }
    files.sort_by(|a, b| (a.first, a.path).cmp(&(b.first, b.path)));
    let mut made_of = Vec::new();
    for (n, ProbedFile { path, kind, .. }) in files.into_iter().enumerate() {
        let name = path.file_name().map_or_else(
            || path.display().to_string(),
            |n| n.to_string_lossy().into_owned(),
        );
        let io = |e| ImportError::File(path.display().to_string(), e);
        let mut from = source::open(path, read.clone()).map_err(io)?;
        (intake.latest, intake.before) = (None, None);
        match kind {
            Kind::AccessLog(format) => intake
                .read_access_log(&format, &mut *from, &name, n as u32)
                .map_err(io)?,
            Kind::Har => intake.har(&mut *from, &name, n as u32, &io)?,
            Kind::Recording => intake.recording(&mut *from, &name)?,
        }
        if let Some(fatal) = intake.fatal.take() {
            return Err(fatal);
        }
        made_of.push(name);
    }
    let (bad, all) = (intake.tally.bad(), intake.tally.read);
    if bad as f64 > options.max_bad * all as f64 {
        return Err(ImportError::TooMany(
            bad,
            all,
            bad as f64 / all as f64,
            options.max_bad,
        ));
    }
    let io = |e| ImportError::File("the recording".into(), e);
    let mut tally = intake.tally;
    let mut attempts = Spread::new(intake.sorter.finish().map_err(io)?, options.seed);
    let guess = &options.mapping.file.guess;
    let guess_within = (guess.within_ms.min(3_600_000) * 1000) as Micros;
    let file = &options.mapping.file;
    let marks = !file.retry_marker.is_empty() && !guess.unmarked_too;
    let mut folder = Folder::new(Rules {
        guess_within,
        max_attempts: guess.max_attempts,
        id_kept: file.id_kept,
        marks,
    });
    let mut writer = Writer::new(out, &Header::new(made_of, options.seed)).map_err(io)?;
    let mut failed = None;
    for t in &mut attempts {
        let t = t.map_err(io)?;
        folder.push(t, &mut tally, |job| {
            failed = failed.take().or(writer.write(&job).err())
        });
        if let Some(e) = failed.take() {
            return Err(io(e));
        }
    }
    folder.finish(|job| failed = failed.take().or(writer.write(&job).err()));
    if let Some(e) = failed {
        return Err(io(e));
    }
    tally.remark_only(Remark::Spread, attempts.spread);
    if tally.taken == 0 {
        return Err(ImportError::Nothing(tally.read, Box::new(tally)));
    }
    let (_, end) = writer.finish(Some(tally.clone())).map_err(io)?;
    Ok(Imported { end, tally })
}

/// A compressed file that ends too soon, or is damaged from here on.
fn broken_off(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, InvalidInput, Other, UnexpectedEof};
    matches!(
        error.kind(),
        UnexpectedEof | InvalidData | InvalidInput | Other
    )
}

/// The beginning of a file, uncompressed.
fn head(path: &Path) -> Result<Vec<u8>, ImportError> {
    let io = |e| ImportError::File(path.display().to_string(), e);
    let mut from = source::open(path, Arc::default()).map_err(io)?;
    let mut head = Vec::new();
    match io::Read::read_to_end(
        &mut io::Read::take(&mut from, MAX_LINE_BYTES as u64),
        &mut head,
    ) {
        Err(e) if !broken_off(&e) => Err(io(e)),
        _ => Ok(head),
    }
}

/// A file of which the beginning was read.
struct ProbedFile<'a> {
    path: &'a Path,
    kind: Kind,
    /// The first time that can be read in it: rotated files are read in the order of these.
    first: Micros,
}

fn probe<'a>(path: &'a Path, options: &Options) -> Result<ProbedFile<'a>, ImportError> {
    let head = match &options.format {
        Some(Kind::Har | Kind::Recording) => Vec::new(), // nothing that is asked here stands there
        _ => head(path)?,
    };
    let kind = match &options.format {
        Some(kind) => kind.clone(),
        None => detect(&head, options.mapping.file.json.as_ref())
            .map_err(|why| ImportError::Format(path.display().to_string(), why))?,
    };
    let mut first = Micros::MAX;
    if let Kind::AccessLog(format) = &kind {
        let mut timestamps = Reader::new(options.mapping.zone.clone());
        let text = String::from_utf8_lossy(&head);
        let time = text
            .lines()
            .find_map(|line| format.read(line, &mut timestamps).ok()?.time);
        first = time.map_or(first, |s| s.at);
    }
    Ok(ProbedFile { path, kind, first })
}
