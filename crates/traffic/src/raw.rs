//! A record as a log or HAR holds it, before a mapping says what it means.

use crate::job::Micros;
use crate::timestamp::RecordedTime;
use std::borrow::Cow;

/// One request as it was recorded. Texts are as they stand there, escapes undone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawRecord<'a> {
    /// When it began or ended; which of them, the time says.
    pub time: Option<RecordedTime>,
    /// The connected peer: an address, perhaps with a port.
    pub peer: Option<Cow<'a, str>>,
    /// The authenticated user.
    pub user: Option<Cow<'a, str>>,
    /// The method.
    pub method: Option<Cow<'a, str>>,
    /// Path and query, or a URL.
    pub target: Option<Cow<'a, str>>,
    /// The query, where the format tells it apart from the path.
    pub query: Option<Cow<'a, str>>,
    /// The status; `None`: there was none.
    pub status: Option<u16>,
    /// Bytes of the request's body.
    pub received: Option<u64>,
    /// How long it took.
    pub took: Option<Micros>,
    /// Headers by their names in lower case, cookies as `cookie.NAME`.
    pub headers: Vec<HeaderField<'a>>,
    /// A number in it could not be read.
    pub odd_number: bool,
}

/// A header field, or a cookie as `cookie.NAME`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField<'a> {
    /// Its name, in lower case.
    pub name: Cow<'a, str>,
    /// Its value.
    pub value: Cow<'a, str>,
}

impl RawRecord<'_> {
    /// A header's value, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|field| field.name == name)
            .map(|field| field.value.as_ref())
    }

    /// A cookie's value: of a cookie that was recorded by itself, or else out of the header `Cookie`.
    pub fn cookie(&self, name: &str) -> Option<&str> {
        let own = self
            .headers
            .iter()
            .find(|field| field.name.strip_prefix("cookie.") == Some(name));
        if let Some(field) = own {
            return Some(&field.value);
        }
        let all = self.header("cookie")?;
        all.split(';')
            .filter_map(|p| p.trim().split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    /// The path alone, without scheme, authority and query.
    pub fn path(&self) -> Option<&str> {
        let target = self.target.as_deref()?;
        let target = target.find("://").map_or(target, |at| {
            let rest = &target[at + 3..];
            rest.find('/').map_or("/", |slash| &rest[slash..])
        });
        Some(target.split(['?', '#']).next().unwrap_or(""))
    }

    /// A parameter of the query, not decoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = match &self.query {
            Some(query) => query.trim_start_matches('?'),
            None => self.target.as_deref()?.split_once('?')?.1,
        };
        let query = query.split('#').next().unwrap_or("");
        query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }
}
