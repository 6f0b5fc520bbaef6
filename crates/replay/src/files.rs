//! Opens and creates files, and creates progress bars.

use crate::Bad;
use indicatif::{ProgressBar, ProgressStyle};
use indigofold_traffic::recording::Reader;
use indigofold_traffic::source;
use std::fs::File;
use std::io::{BufRead, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Returns a progress bar, hidden if standard error is not a terminal.
pub(crate) fn bar(length: u64, message: &'static str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length);
    let style = ProgressStyle::with_template("{msg} {wide_bar} {percent}% {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.with_message(message)
}

pub(crate) fn open_recording(path: &Path) -> Result<Reader<Box<dyn BufRead>>, Bad> {
    let from =
        source::open(path, Arc::default()).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Reader::new(from).map_err(|e| format!("{}: {e}", path.display()))?)
}

pub(crate) fn read_text(path: &Path) -> Result<String, Bad> {
    Ok(std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?)
}

/// Returns when a recording's first job was sent, in microseconds since 1970.
pub(crate) fn first_time(path: &Path) -> Result<i64, Bad> {
    Ok(open_recording(path)?
        .next()
        .transpose()?
        .ok_or("the recording is empty")?
        .at)
}

/// Creates a file under a temporary name and returns its writer and that name. The caller renames it once it is complete.
/// The writer compresses if `path` ends in `.zst`.
pub(crate) fn create_temporary(path: &Path) -> Result<(Box<dyn Write>, PathBuf), Bad> {
    let unfinished = path.with_extension(format!("part-{}", std::process::id()));
    let file = File::create(&unfinished).map_err(|e| format!("{}: {e}", unfinished.display()))?;
    let out = BufWriter::with_capacity(1 << 18, file);
    let out: Box<dyn Write> = match path.extension().is_some_and(|e| e == "zst") {
        true => Box::new(zstd::Encoder::new(out, 1)?.auto_finish()),
        false => Box::new(out),
    };
    Ok((out, unfinished))
}
