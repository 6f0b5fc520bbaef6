//! nginx's `log_format` strings.

use super::error::FormatError;
use super::template::{Builder, Escapes, Field, Template};
use crate::timestamp::TimeFormat;

/// Compiles a `log_format` string. nginx takes the logged time when the request ends.
///
/// # Errors
/// The format is invalid, or has no time or no request.
pub fn compile(format: &str) -> Result<Template, FormatError> {
    let mut builder = Builder::default();
    let mut rest = format;
    while let Some(dollar_index) = rest.find('$') {
        builder.literal(&rest[..dollar_index]);
        let following_text = &rest[dollar_index + 1..];
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '_';
        let variable = match following_text.strip_prefix('{') {
            Some(braced_text) => {
                let close_index = braced_text
                    .find('}')
                    .ok_or(FormatError::Unclosed("a '${'"))?;
                rest = &braced_text[close_index + 1..];
                &braced_text[..close_index]
            }
            None => {
                let name_end = following_text
                    .find(|c| !is_name_char(c))
                    .unwrap_or(following_text.len());
                rest = &following_text[name_end..];
                &following_text[..name_end]
            }
        };
        if variable.is_empty() || !variable.chars().all(is_name_char) {
            return Err(FormatError::InvalidVariable(variable.into()));
        }
        builder.field(field(variable));
    }
    builder.literal(rest);
    builder.finish(Escapes::Backslash, true)
}

/// Returns the field of a variable. Unknown variables are skipped, because nginx modules can define their own.
fn field(variable: &str) -> Field {
    match variable {
        "remote_addr" | "realip_remote_addr" => Field::Peer,
        "remote_user" => Field::User,
        "time_local" => Field::Time(TimeFormat::Clf),
        "time_iso8601" => Field::Time(TimeFormat::Iso),
        "msec" => Field::Time(TimeFormat::Seconds),
        "request" => Field::Request,
        "request_method" => Field::Method,
        "request_uri" | "uri" | "document_uri" => Field::Target,
        "args" | "query_string" => Field::Query,
        "status" => Field::Status,
        "content_length" => Field::Received,
        "request_time" => Field::Took(1_000_000),
        "request_id" => Field::Header("x-request-id".into()),
        other => match (other.strip_prefix("http_"), other.strip_prefix("cookie_")) {
            (Some(header), _) => Field::Header(header.replace('_', "-")),
            (_, Some(cookie)) => Field::Header(format!("cookie.{cookie}")),
            _ => Field::Skip,
        },
    }
}
