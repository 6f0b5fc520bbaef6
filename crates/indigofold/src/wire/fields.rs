//! A line of the protocol, split into its message name and its fields.

use super::error::{InvalidFieldSnafu, LineError, MissingFieldSnafu, NoPairSnafu, OutOfRangeSnafu};
use crate::ids::Time;
use smallvec::SmallVec;
use snafu::{OptionExt, ensure};

/// The message name and the fields of one line.
pub(super) struct Fields<'a> {
    pub(super) message: &'a str,
    pairs: SmallVec<[(&'a str, &'a str); 12]>,
}

pub(super) type Parse<T> = Result<T, LineError>;

impl<'a> Fields<'a> {
    pub(super) fn new(text: &'a str) -> Parse<Self> {
        let (message, mut rest) = match text.bytes().position(|b| b == b' ') {
            Some(n) => (&text[..n], &text[n + 1..]),
            None => (text, ""),
        };
        let mut pairs = SmallVec::new();
        while !rest.is_empty() {
            // The name ends at '='; a space before that, or no name at all, is malformed.
            let end = rest
                .bytes()
                .position(|b| b == b'=' || b == b' ')
                .unwrap_or(0);
            ensure!(
                end > 0 && rest.as_bytes()[end] == b'=',
                NoPairSnafu { message, got: rest }
            );
            let (name, after) = (&rest[..end], &rest[end + 1..]);
            // The values of `env` and `noteText` extend to the end of the line.
            let runs_on = name == "env" || name == "noteText";
            let stop = if runs_on {
                None
            } else {
                after.bytes().position(|b| b == b' ')
            };
            let (value, next) = stop.map_or((after, ""), |n| (&after[..n], &after[n + 1..]));
            pairs.push((name, value));
            rest = next;
        }
        Ok(Fields { message, pairs })
    }

    pub(super) fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    pub(super) fn required(&self, name: &str) -> Parse<&'a str> {
        self.text(name).context(MissingFieldSnafu {
            message: self.message,
            field: name,
        })
    }

    /// Builds the error for a field whose value is not allowed.
    pub(super) fn invalid(&self, field: &str, allowed: &'static str, got: &str) -> LineError {
        InvalidFieldSnafu {
            message: self.message,
            field,
            allowed,
            got,
        }
        .build()
    }

    pub(super) fn number(&self, name: &str) -> Parse<Option<f64>> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(Some(value)),
            _ => Err(self.invalid(name, "a number", text)),
        }
    }

    pub(super) fn integer(&self, name: &str) -> Parse<Option<i64>> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        match text.parse::<i64>() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(self.invalid(name, "an integer", text)),
        }
    }

    pub(super) fn required_integer(&self, name: &str) -> Parse<i64> {
        self.required(name)?;
        Ok(self.integer(name)?.unwrap_or(0))
    }

    pub(super) fn required_u32(&self, name: &str) -> Parse<u32> {
        let value = u32::try_from(self.required_integer(name)?).ok();
        value.context(OutOfRangeSnafu {
            message: self.message,
            field: name,
            allowed: "0 to 2^32 - 1",
        })
    }

    pub(super) fn time(&self, name: &str) -> Parse<Time> {
        Ok(self.integer(name)?.unwrap_or(0).max(0) as Time)
    }

    pub(super) fn flag(&self, name: &str) -> bool {
        matches!(self.text(name), Some("1" | "true"))
    }

    pub(super) fn skip_unknown(&self, known: &[&str]) -> Option<&'a str> {
        self.pairs
            .iter()
            .map(|(n, _)| *n)
            .find(|n| !known.contains(n))
    }
}

pub(super) fn excerpt(text: &str) -> String {
    text.chars().take(40).collect()
}
