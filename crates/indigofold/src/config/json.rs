//! Access to the values of a JSON document, with errors that name the key.

use super::Parse;
use super::error::{NegativeRuleSnafu, NotANumberSnafu, OutOfRangeSnafu, UnknownChoiceSnafu};
use crate::ids::Time;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use snafu::{OptionExt, ensure};

/// A value in a JSON document; `None` if it is absent.
#[derive(Clone, Copy)]
pub(super) struct Json<'a>(pub(super) Option<&'a OwnedValue>);

impl<'a> Json<'a> {
    pub(super) fn at(self, key: &str) -> Json<'a> {
        Json(self.0.and_then(|v| v.get(key)))
    }

    pub(super) fn item(self, n: usize) -> Json<'a> {
        Json(self.0.and_then(|v| v.get_idx(n)))
    }

    pub(super) fn items(self) -> impl Iterator<Item = Json<'a>> {
        self.0
            .and_then(|v| v.as_array())
            .into_iter()
            .flatten()
            .map(|v| Json(Some(v)))
    }

    pub(super) fn text(self) -> Option<&'a str> {
        self.0.and_then(|v| v.as_str())
    }

    pub(super) fn number(self) -> Option<f64> {
        self.0
            .and_then(ValueAsScalar::cast_f64)
            .filter(|v| v.is_finite())
    }

    pub(super) fn flag(self) -> bool {
        self.0
            .and_then(ValueAsScalar::as_bool)
            .unwrap_or(self.number() == Some(1.0))
    }

    pub(super) fn required_number(self, key: &str) -> Parse<f64> {
        self.at(key).number().context(NotANumberSnafu { key })
    }

    pub(super) fn time(self, key: &str) -> Parse<Time> {
        self.within(key, 0.0, f64::INFINITY).map(|v| v as Time)
    }

    /// A required number between `least` and `most`, both included.
    pub(super) fn within(self, key: &str, least: f64, most: f64) -> Parse<f64> {
        let found = self.required_number(key)?;
        ensure!(
            (least..=most).contains(&found),
            OutOfRangeSnafu {
                key,
                least,
                most,
                found
            }
        );
        Ok(found)
    }

    /// Formats a value for an error message, cut to 40 characters.
    fn shown(value: &OwnedValue) -> String {
        value.encode().chars().take(40).collect()
    }

    /// The value that `choices` gives for the text at `key`; `None` if the key is absent, an error for any other text.
    pub(super) fn one_of<T: Copy>(self, key: &str, choices: &[(&str, T)]) -> Parse<Option<T>> {
        let Some(value) = self.at(key).0 else {
            return Ok(None);
        };
        let found = choices
            .iter()
            .find(|(choice, _)| value.as_str() == Some(choice))
            .map(|(_, meant)| *meant);
        let quoted = choices.iter().map(|(choice, _)| format!("'{choice}'"));
        let meant = found.with_context(|| UnknownChoiceSnafu {
            key,
            choices: quoted.collect::<Vec<_>>(),
            found: Self::shown(value),
        })?;
        Ok(Some(meant))
    }

    pub(super) fn number_or(self, key: &str, or: f64) -> f64 {
        self.at(key).number().unwrap_or(or)
    }

    /// An optional number in the rules; if present, it must be a number of at least 0.
    pub(super) fn optional_number(self, key: &str) -> Parse<Option<f64>> {
        let Some(value) = self.at(key).0 else {
            return Ok(None);
        };
        let number = Json(Some(value)).number().filter(|v| *v >= 0.0);
        let number = number.with_context(|| NegativeRuleSnafu {
            key,
            found: Self::shown(value),
        })?;
        Ok(Some(number))
    }
}
