//! Logging through the `log` macros, as plain lines on standard error.

use crate::clock::wall_ms;
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use std::io::Write;

/// Initial capacity for a formatted record, in bytes.
const RECORD_BYTES: usize = 128;

/// Writes each record of `level` or a more severe level to standard error, as one plain line. Only the first call has
/// an effect.
pub fn start(level: LevelFilter) {
    let logger = logforth::core::builder()
        .dispatch(|to| to.append(Stderr::default().with_layout(PlainLayout)))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
}

/// Formats a record as one line: time in milliseconds since 1970, level, module and message.
#[derive(Debug)]
struct PlainLayout;

impl Layout for PlainLayout {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let mut text = Vec::with_capacity(RECORD_BYTES);
        write!(
            text,
            "{} {} {}: {}",
            wall_ms(),
            record.level().name(),
            record.target(),
            record.payload()
        )
        .map_err(Error::from_io_error)?;
        Ok(text)
    }
}
