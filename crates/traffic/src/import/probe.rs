//! What the beginning of a file says: its kind, and the first time in it.

use super::error::ImportError;
use super::record_reader::MAX_RECORD_BYTES;
use super::{Options, file_error, is_broken_off};
use crate::detect::{Kind, detect};
use crate::job::Micros;
use crate::source;
use crate::timestamp::Reader;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;

/// A file of which the beginning was read.
pub(super) struct ProbedFile<'a> {
    /// Its path.
    pub path: &'a Path,
    /// Its kind: the one named, or else the one detected.
    pub kind: Kind,
    /// The first time that can be read in it: rotated files are read in the order of these.
    pub first: Micros,
}

/// Reads the beginning of a file.
///
/// # Errors
/// The file cannot be read, or its kind is not known.
pub(super) fn probe<'a>(path: &'a Path, options: &Options) -> Result<ProbedFile<'a>, ImportError> {
    let head = match &options.format {
        Some(Kind::Har | Kind::Recording) => Vec::new(), // neither kind nor first time is needed
        _ => read_head(path)?,
    };
    let kind = match &options.format {
        Some(kind) => kind.clone(),
        None => detect(&head, options.mapping.file.json.as_ref())
            .map_err(|e| ImportError::format(&path.display().to_string(), e))?,
    };
    let mut first = Micros::MAX;
    if let Kind::AccessLog(format) = &kind {
        let mut timestamps = Reader::new(options.mapping.zone.clone());
        let text = String::from_utf8_lossy(&head);
        let time = text
            .lines()
            .find_map(|record| format.read(record, &mut timestamps).ok()?.time);
        first = time.map_or(first, |time| time.at);
    }
    Ok(ProbedFile { path, kind, first })
}

/// The beginning of a file, uncompressed.
fn read_head(path: &Path) -> Result<Vec<u8>, ImportError> {
    let error = file_error(path);
    let from = source::open(path, Arc::default()).map_err(&error)?;
    let mut head = Vec::new();
    match from.take(MAX_RECORD_BYTES as u64).read_to_end(&mut head) {
        Err(e) if !is_broken_off(&e) => Err(error(e)),
        _ => Ok(head),
    }
}
