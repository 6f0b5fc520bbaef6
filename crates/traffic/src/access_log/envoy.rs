//! Envoy's access log format strings.

use super::error::FormatError;
use super::template::{Builder, Escapes, Field, Template};
use crate::timestamp::TimeFormat;

/// Compiles a format string. The logged time, `START_TIME`, is the start of the request.
///
/// # Errors
/// The format is invalid, or has no time or no request.
pub fn compile(format: &str) -> Result<Template, FormatError> {
    let mut builder = Builder::default();
    let mut rest = format.trim_end_matches('\n');
    while let Some(percent_index) = rest.find('%') {
        builder.literal(&rest[..percent_index]);
        let following_text = &rest[percent_index + 1..];
        if let Some(tail) = following_text.strip_prefix('%') {
            builder.literal("%");
            rest = tail;
            continue;
        }
        // The syntax is %NAME(ARGUMENT):LENGTH%. The argument of START_TIME may contain '%', so it is parsed first.
        let name_end = following_text
            .find(|c: char| !c.is_ascii_alphanumeric() && c != '_')
            .unwrap_or(following_text.len());
        let (name, tail) = following_text.split_at(name_end);
        let (argument, tail) = match tail.strip_prefix('(') {
            Some(bracketed_text) => {
                let close_index = bracketed_text
                    .find(')')
                    .ok_or(FormatError::Unclosed("a '('"))?;
                (
                    Some(&bracketed_text[..close_index]),
                    &bracketed_text[close_index + 1..],
                )
            }
            None => (None, tail),
        };
        let close_index = tail
            .find('%')
            .ok_or_else(|| FormatError::UnclosedOperator(name.into()))?;
        rest = &tail[close_index + 1..];
        builder.field(field(name, argument)?);
    }
    builder.literal(rest);
    builder.finish(Escapes::None, false)
}

#[allow(clippy::match_same_arms, reason = "a table with one entry per line")]
fn field(name: &str, argument: Option<&str>) -> Result<Field, FormatError> {
    Ok(match (name, argument) {
        ("START_TIME", None) => Field::Time(TimeFormat::Iso),
        ("START_TIME", Some("%s")) => Field::Time(TimeFormat::Seconds),
        ("START_TIME", Some("%s.%3f" | "%s.%6f" | "%s.%9f")) => Field::Time(TimeFormat::Seconds),
        // Envoy writes the fraction of a second as `.%3f`; the time parser expects `%.3f`.
        ("START_TIME", Some(pattern)) => {
            let mut pattern = pattern.to_string();
            for digits in ["3", "6", "9"] {
                pattern = pattern.replace(&format!(".%{digits}f"), &format!("%.{digits}f"));
            }
            Field::Time(TimeFormat::Pattern(pattern))
        }
        ("REQ", Some(header)) => {
            let first_header = header.split('?').next().unwrap_or("");
            match (first_header, header.split('?').nth(1)) {
                (":METHOD" | ":method", _) => Field::Method,
                (":PATH" | ":path", _) | (_, Some(":PATH" | ":path")) => Field::Target,
                (name, _) => Field::Header(name.to_ascii_lowercase()),
            }
        }
        ("RESPONSE_CODE", _) => Field::Status,
        ("BYTES_RECEIVED", _) => Field::Received,
        ("DURATION", _) => Field::Took(1_000),
        ("DOWNSTREAM_REMOTE_ADDRESS" | "DOWNSTREAM_REMOTE_ADDRESS_WITHOUT_PORT", _) => Field::Peer,
        (
            "DOWNSTREAM_DIRECT_REMOTE_ADDRESS" | "DOWNSTREAM_DIRECT_REMOTE_ADDRESS_WITHOUT_PORT",
            _,
        ) => Field::Skip,
        ("REQ", None) => return Err(FormatError::NoHeader),
        ("", _) => return Err(FormatError::LonePercent),
        _ => Field::Skip,
    })
}
