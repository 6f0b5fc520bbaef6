//! Deserializers for fields that may be written in more than one form.

use serde::Deserialize;
use serde::de::{Deserializer, Error, Unexpected, Visitor};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Reads a number: an integer, a fraction, or `true` or `false` for 1 or 0. Negative and infinite numbers are rejected.
pub(crate) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    deserializer.deserialize_any(NumberVisitor)
}

/// Accepts every form in which a number may be written.
struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = f64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number that is not negative, or true or false")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<f64, E> {
        Ok(f64::from(u8::from(value)))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<f64, E> {
        self.visit_f64(value as f64)
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<f64, E> {
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(E::invalid_value(Unexpected::Float(value), &self))
        }
    }
}

/// Reads a number like [`number`], and rounds a fraction to the nearest integer.
pub(crate) fn rounded<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    number(deserializer).map(|value| value.round() as u64)
}

/// Reads an address, `IP:PORT`; an empty string is `None`.
pub(crate) fn address<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    let Some(text) = text(deserializer)? else {
        return Ok(None);
    };
    let address = text.parse();
    address
        .map(Some)
        .map_err(|_| D::Error::invalid_value(Unexpected::Str(&text), &"an address, IP:PORT"))
}

/// Reads a path; an empty string is `None`.
pub(crate) fn path<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<PathBuf>, D::Error> {
    Ok(text(deserializer)?.map(PathBuf::from))
}

/// Reads a string; an empty one is `None`.
pub(crate) fn text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    let text = String::deserialize(deserializer)?;
    Ok(if text.is_empty() { None } else { Some(text) })
}
