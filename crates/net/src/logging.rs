//! Logs: plain lines on standard error through the `log` macros.

use crate::clock::wall_ms;
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use std::io::Write;

/// Bytes reserved for a formatted record.
const RECORD_BYTES: usize = 128;

/// Sends what is logged at `level` and above to standard error, one plain line each. Call once; later calls do nothing.
pub fn start(level: LevelFilter) {
    let logger = logforth::core::builder()
        .dispatch(|to| to.append(Stderr::default().with_layout(PlainLayout)))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
}

/// One line for each record: time in milliseconds since 1970, level, module, message.
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
