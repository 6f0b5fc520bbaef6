//! One line of the protocol, taken apart into its message and its fields.

use crate::ids::Time;
use smallvec::SmallVec;

/// The fields of one line.
pub(super) struct Fields<'a> {
    pub(super) message: &'a str,
    pairs: SmallVec<[(&'a str, &'a str); 12]>,
}

pub(super) type Parse<T> = Result<T, String>;

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
            if end == 0 || rest.as_bytes()[end] != b'=' {
                return Err(format!(
                    "{message}: expected name=value, got '{}'",
                    head(rest)
                ));
            }
            let (name, after) = (&rest[..end], &rest[end + 1..]);
            // A text or object value runs to the end of the line.
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

    pub(super) fn need(&self, name: &str) -> Parse<&'a str> {
        self.text(name)
            .ok_or_else(|| format!("{}: missing field '{name}'", self.message))
    }

    pub(super) fn number(&self, name: &str) -> Parse<Option<f64>> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(v) if v.is_finite() => Ok(Some(v)),
            _ => Err(format!(
                "{}: field '{name}' must be a number, got '{}'",
                self.message,
                head(text)
            )),
        }
    }

    pub(super) fn integer(&self, name: &str) -> Parse<Option<i64>> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        match text.parse::<i64>() {
            Ok(v) => Ok(Some(v)),
            Err(_) => Err(format!(
                "{}: field '{name}' must be an integer, got '{}'",
                self.message,
                head(text)
            )),
        }
    }

    pub(super) fn need_integer(&self, name: &str) -> Parse<i64> {
        self.need(name)?;
        Ok(self.integer(name)?.unwrap_or(0))
    }

    pub(super) fn small(&self, name: &str) -> Parse<u32> {
        u32::try_from(self.need_integer(name)?)
            .map_err(|_| format!("{}: field '{name}' must lie in 0 to 2^32 - 1", self.message))
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

pub(super) fn head(text: &str) -> String {
    text.chars().take(40).collect()
}
