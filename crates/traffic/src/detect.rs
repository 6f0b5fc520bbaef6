//! Detects the kind of a file from its beginning.

use crate::access_log::{FormatError, LogFormat};
use crate::recording::FORMAT;
use crate::timestamp::Reader;
use jiff::tz::TimeZone;

/// The kind of an input file.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A HAR document.
    Har,
    /// A recording, see [`crate::recording`].
    Recording,
    /// An access log with one record per line.
    AccessLog(LogFormat),
}

/// Why the kind of a file cannot be detected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DetectError {
    /// The file seems to contain JSON lines, and the mapping has no field map for them.
    #[error(
        "the file seems to contain JSON lines: the mapping must say under 'json' where the fields stand"
    )]
    JsonWithoutFields,
    /// No line matches a known format.
    #[error(
        "the format cannot be detected: name it with --format as common, combined, nginx, envoy, json, har, \
         recording, or apache:FORMAT, nginx:FORMAT, envoy:FORMAT"
    )]
    Unknown,
    /// A predefined format cannot be compiled.
    #[error(transparent)]
    Format(#[from] FormatError),
}

/// Maximum number of lines that are decoded to find the matching format.
const MAX_SAMPLES: usize = 50;

/// Detects the kind of a file from its beginning, `head`. JSON lines have no standard fields, so they are recognised only
/// with a field map, `json`. Among text formats, the one that decodes the most lines is chosen.
///
/// # Errors
/// The kind cannot be detected; the message tells the operator what to do.
pub fn detect(
    head: &[u8],
    json: Option<&crate::access_log::json::Fields>,
) -> Result<Kind, DetectError> {
    let text = String::from_utf8_lossy(head);
    let trimmed_text = text.trim_start();
    let first_line = trimmed_text.lines().next().unwrap_or("");
    if first_line.contains(FORMAT) {
        return Ok(Kind::Recording);
    }
    if first_line.starts_with('{') {
        let value = serde_json::from_str::<serde_json::Value>(first_line);
        let is_har = |text: &str| text.contains("\"log\"");
        return match (value, json) {
            (Ok(value), _)
                if value
                    .get("log")
                    .is_some_and(|log| log.get("entries").is_some()) =>
            {
                Ok(Kind::Har)
            }
            (Ok(_), Some(fields)) => Ok(Kind::AccessLog(LogFormat::Json(Box::new(fields.clone())))),
            (Err(_), _) if is_har(&trimmed_text[..trimmed_text.floor_char_boundary(4096)]) => {
                Ok(Kind::Har)
            }
            _ => Err(DetectError::JsonWithoutFields),
        };
    }
    let mut best_match: Option<(usize, LogFormat)> = None;
    for name in ["combined", "common", "nginx", "envoy"] {
        let format = LogFormat::named(name)?;
        let mut timestamps = Reader::new(TimeZone::UTC);
        let matches = text
            .lines()
            .take(MAX_SAMPLES)
            .filter(|line| format.read(line, &mut timestamps).is_ok())
            .count();
        if matches > best_match.as_ref().map_or(0, |b| b.0) {
            best_match = Some((matches, format));
        }
    }
    best_match
        .map(|(_, format)| Kind::AccessLog(format))
        .ok_or(DetectError::Unknown)
}
