//! The record of a case: one line for each thing that was sent, answered or run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens the record.
pub fn open(path: &str) -> std::io::Result<()> {
    START.get_or_init(Instant::now);
    let file = File::create(path)?;
    let _ = FILE.set(Mutex::new(file));
    Ok(())
}

/// Milliseconds since the start.
pub fn now_ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1_000.0
}

/// Writes a line.
pub fn line(text: &str) {
    let at = now_ms() / 1_000.0;
    if let Some(file) = FILE.get() {
        let mut file = file
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }
}
