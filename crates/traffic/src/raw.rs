//! A decoded record of a log or HAR document, before it is mapped to a job.

use crate::job::Micros;
use crate::timestamp::RecordedTime;
use std::borrow::Cow;

/// One request as it was recorded. Texts are unescaped but otherwise unchanged. `None` means that the record has no such
/// value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawRecord<'a> {
    /// Start or end time of the request, see [`RecordedTime::is_end`].
    pub time: Option<RecordedTime>,
    /// Address of the connected peer, perhaps with a port.
    pub peer: Option<Cow<'a, str>>,
    /// The authenticated user.
    pub user: Option<Cow<'a, str>>,
    /// HTTP method.
    pub method: Option<Cow<'a, str>>,
    /// Path and query, or a complete URL.
    pub target: Option<Cow<'a, str>>,
    /// The query, if the format logs it separately from the path.
    pub query: Option<Cow<'a, str>>,
    /// HTTP status; `None`: there was no response.
    pub status: Option<u16>,
    /// Size of the request body in bytes.
    pub received: Option<u64>,
    /// Duration of the request.
    pub took: Option<Micros>,
    /// Request headers with their names in lower case, and separately logged cookies as `cookie.NAME`.
    pub headers: Vec<HeaderField<'a>>,
    /// Whether a number in the record could not be parsed.
    pub has_unreadable_number: bool,
}

/// A request header, or a cookie under the name `cookie.NAME`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField<'a> {
    /// Name, in lower case.
    pub name: Cow<'a, str>,
    /// Value, unescaped.
    pub value: Cow<'a, str>,
}

impl RawRecord<'_> {
    /// Returns the value of the first header of this name, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|field| field.name == name)
            .map(|field| field.value.as_ref())
    }

    /// Returns the value of a cookie: from a separately logged cookie, or else from the `Cookie` header.
    pub fn cookie(&self, name: &str) -> Option<&str> {
        let separate_cookie = self
            .headers
            .iter()
            .find(|field| field.name.strip_prefix("cookie.") == Some(name));
        if let Some(field) = separate_cookie {
            return Some(&field.value);
        }
        let cookies = self.header("cookie")?;
        cookies
            .split(';')
            .filter_map(|p| p.trim().split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    /// Returns the path, without scheme, authority, query and fragment.
    pub fn path(&self) -> Option<&str> {
        let target = self.target.as_deref()?;
        let target = target.find("://").map_or(target, |scheme_end| {
            let authority_and_path = &target[scheme_end + 3..];
            authority_and_path
                .find('/')
                .map_or("/", |path_start| &authority_and_path[path_start..])
        });
        Some(target.split(['?', '#']).next().unwrap_or(""))
    }

    /// Returns the value of a query parameter, without percent-decoding.
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
