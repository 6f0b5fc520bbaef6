//! Decodes JSON lines according to a field map.

use super::template::duration;
use crate::job::Micros;
use crate::raw::{HeaderField, RawRecord};
use crate::tally::Reason;
use crate::timestamp::{Reader, TimeFormat};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The format of a timestamp.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum TimeForm {
    /// ISO 8601 text, with or without an offset.
    #[default]
    Iso,
    /// Common Log Format: `10/Oct/2000:13:55:36 -0700`.
    Clf,
    /// Seconds since 1970, optionally with a fraction.
    Seconds,
    /// Milliseconds since 1970.
    Millis,
    /// Microseconds since 1970.
    Micros,
    /// Text in the format of a `strftime` pattern.
    Pattern(String),
}

/// The unit of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Seconds.
    #[default]
    S,
    /// Milliseconds.
    Ms,
    /// Microseconds.
    Us,
}

/// The location of each field in a JSON line, as a JSON Pointer (RFC 6901) such as `/request/path`. Only `time` and
/// `target` are required.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fields {
    /// Time of the request.
    pub time: String,
    /// Format of the time.
    #[serde(default)]
    pub time_form: TimeForm,
    /// Whether the time is that of the request's end; otherwise it is that of its start.
    #[serde(default)]
    pub time_is_end: bool,
    /// Path and query, or a complete URL.
    pub target: String,
    /// HTTP method.
    pub method: Option<String>,
    /// HTTP status.
    pub status: Option<String>,
    /// Duration of the request.
    pub took: Option<String>,
    /// Unit of the duration.
    #[serde(default)]
    pub took_unit: Unit,
    /// Address of the connected peer.
    pub peer: Option<String>,
    /// Authenticated user.
    pub user: Option<String>,
    /// Size of the request body in bytes.
    pub received: Option<String>,
    /// Locations of request headers by their names.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
}

impl Fields {
    /// Decodes one record.
    ///
    /// # Errors
    /// The reason why it is rejected.
    pub fn read<'a>(
        &self,
        record: &'a str,
        timestamps: &mut Reader,
    ) -> Result<RawRecord<'a>, Reason> {
        let value: Value = serde_json::from_str(record).map_err(|_| Reason::Malformed)?;
        if !value.is_object() {
            return Err(Reason::Malformed);
        }
        let text = |pointer: &str| text_at(&value, pointer);
        let optional = |pointer: &Option<String>| pointer.as_deref().and_then(text);
        let time = text(&self.time).ok_or(Reason::NoTime)?;
        let mut time = timestamps
            .read(&self.time_form.format(), &time)
            .map_err(|_| Reason::BadTime)?;
        time.is_end = self.time_is_end;
        let mut raw = RawRecord {
            time: Some(time),
            status: status(optional(&self.status).as_deref())?,
            ..RawRecord::default()
        };
        raw.target = Some(Cow::Owned(text(&self.target).ok_or(Reason::BadRequest)?));
        raw.method = optional(&self.method).map(Cow::Owned);
        raw.peer = optional(&self.peer).map(Cow::Owned);
        raw.user = optional(&self.user).map(Cow::Owned);
        if let Some(took) = optional(&self.took) {
            raw.took = duration(&took, self.took_unit.micros());
            raw.has_unreadable_number |= raw.took.is_none();
        }
        if let Some(received) = optional(&self.received) {
            raw.received = received.parse().ok();
            raw.has_unreadable_number |= raw.received.is_none();
        }
        for (name, pointer) in &self.headers {
            if let Some(value) = text(pointer) {
                raw.headers.push(HeaderField {
                    name: Cow::Owned(name.to_ascii_lowercase()),
                    value: Cow::Owned(value),
                });
            }
        }
        Ok(raw)
    }
}

impl TimeForm {
    fn format(&self) -> TimeFormat {
        match self {
            TimeForm::Iso => TimeFormat::Iso,
            TimeForm::Clf => TimeFormat::Clf,
            TimeForm::Seconds => TimeFormat::Seconds,
            TimeForm::Millis => TimeFormat::Millis,
            TimeForm::Micros => TimeFormat::Micros,
            TimeForm::Pattern(pattern) => TimeFormat::Pattern(pattern.clone()),
        }
    }
}

impl Unit {
    /// Returns the length of the unit in microseconds.
    fn micros(self) -> Micros {
        match self {
            Unit::S => 1_000_000,
            Unit::Ms => 1_000,
            Unit::Us => 1,
        }
    }
}

/// Returns the string, number or boolean at a JSON Pointer as text; `None` if it is missing, empty, `-` or another type.
fn text_at(value: &Value, pointer: &str) -> Option<String> {
    match value.pointer(pointer) {
        None | Some(Value::Null | Value::Array(_) | Value::Object(_)) => None,
        Some(Value::String(text)) => Some(text.clone()).filter(|t| !t.is_empty() && t != "-"),
        Some(other) => Some(other.to_string()),
    }
}

fn status(text: Option<&str>) -> Result<Option<u16>, Reason> {
    match text {
        None | Some("0") => Ok(None),
        Some(text) => match text.parse::<u16>() {
            Ok(status @ 100..=599) => Ok(Some(status)),
            _ => Err(Reason::BadStatus),
        },
    }
}
