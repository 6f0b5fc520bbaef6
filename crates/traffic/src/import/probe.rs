//! Reads the beginning of a file to determine its kind and the first time in it.

use super::error::ImportError;
use super::record_reader::MAX_RECORD_BYTES;
use super::{Options, file_error, is_damaged_data};
use crate::detect::{Kind, detect};
use crate::job::Micros;
use crate::source;
use crate::timestamp::Reader;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;

/// A file whose kind and first time are known.
pub(super) struct ProbedFile<'a> {
    /// Path of the file.
    pub path: &'a Path,
    /// Kind of the file: as given in the options, or else as detected.
    pub kind: Kind,
    /// First time in an access log, by which rotated files are ordered; [`Micros::MAX`] if there is none, and for other
    /// kinds of files.
    pub first: Micros,
}

/// Determines the kind and the first time of a file.
///
/// # Errors
/// The file cannot be read, or its kind cannot be detected.
pub(super) fn probe<'a>(path: &'a Path, options: &Options) -> Result<ProbedFile<'a>, ImportError> {
    let head = match &options.format {
        Some(Kind::Har | Kind::Recording) => Vec::new(), // The kind is given, and the first time is not used.
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

/// Returns the beginning of a file, decompressed.
fn read_head(path: &Path) -> Result<Vec<u8>, ImportError> {
    let error = file_error(path);
    let input = source::open(path, Arc::default()).map_err(&error)?;
    let mut head = Vec::new();
    match input.take(MAX_RECORD_BYTES as u64).read_to_end(&mut head) {
        Err(e) if !is_damaged_data(&e) => Err(error(e)),
        _ => Ok(head),
    }
}
