//! Decodes each line of an access log into a [`RawRecord`], according to a format compiled beforehand.

pub mod apache;
pub mod envoy;
mod error;
pub mod json;
pub mod nginx;
pub mod template;

pub use error::FormatError;

use crate::raw::RawRecord;
use crate::tally::Reason;
use crate::timestamp::Reader;
use template::Template;

/// The Common Log Format.
pub const COMMON: &str = r#"%h %l %u %t "%r" %>s %b"#;
/// The Combined Log Format.
pub const COMBINED: &str = r#"%h %l %u %t "%r" %>s %b "%{Referer}i" "%{User-Agent}i""#;
/// The predefined `combined` format of nginx.
pub const NGINX: &str = concat!(
    r#"$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "#,
    r#""$http_referer" "$http_user_agent""#
);
/// Envoy's default text format.
pub const ENVOY: &str = concat!(
    r#"[%START_TIME%] "%REQ(:METHOD)% %REQ(X-ENVOY-ORIGINAL-PATH?:PATH)% %PROTOCOL%" %RESPONSE_CODE% "#,
    r#"%RESPONSE_FLAGS% %RESPONSE_CODE_DETAILS% %CONNECTION_TERMINATION_DETAILS% "#,
    r#""%UPSTREAM_TRANSPORT_FAILURE_REASON%" %BYTES_RECEIVED% %BYTES_SENT% %DURATION% "#,
    r#"%RESP(X-ENVOY-UPSTREAM-SERVICE-TIME)% "%REQ(X-FORWARDED-FOR)%" "%REQ(USER-AGENT)%" "#,
    r#""%REQ(X-REQUEST-ID)%" "%REQ(:AUTHORITY)%" "%UPSTREAM_HOST%""#
);

/// A compiled format of log lines.
#[derive(Clone, Debug)]
pub enum LogFormat {
    /// Plain text: fields separated by literal text.
    Text(Template),
    /// One JSON object per line.
    Json(Box<json::Fields>),
}

impl LogFormat {
    /// Returns the format of a name: `common`, `combined`, `nginx` or `envoy`, or `apache:`, `nginx:` or `envoy:` followed
    /// by a format string in the syntax of that server's configuration.
    ///
    /// # Errors
    /// The name is unknown, or the format string is invalid.
    pub fn named(text: &str) -> Result<Self, FormatError> {
        let template = match text.split_once(':') {
            Some(("apache", format)) => apache::compile(format)?,
            Some(("nginx", format)) => nginx::compile(format)?,
            Some(("envoy", format)) => envoy::compile(format)?,
            _ => match text {
                "common" => apache::compile(COMMON)?,
                "combined" => apache::compile(COMBINED)?,
                "nginx" => nginx::compile(NGINX)?,
                "envoy" => envoy::compile(ENVOY)?,
                other => {
                    return Err(FormatError::UnknownFormat(other.into()));
                }
            },
        };
        Ok(LogFormat::Text(template))
    }

    /// Decodes one line, given without its line break.
    ///
    /// # Errors
    /// The reason why the line does not match the format.
    pub fn read<'a>(
        &'a self,
        record: &'a str,
        timestamps: &mut Reader,
    ) -> Result<RawRecord<'a>, Reason> {
        match self {
            LogFormat::Text(template) => template.read(record, timestamps),
            LogFormat::Json(fields) => fields.read(record, timestamps),
        }
    }
}
