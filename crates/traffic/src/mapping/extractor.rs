//! Compiled rules that extract a value from a record and optionally rename it.

use super::error::EntryProblem;
use super::file::{From, Rule};
use crate::networks::Networks;
use crate::raw::RawRecord;
use regex::Regex;
use rustc_hash::FxHashMap;
use std::borrow::Cow;

/// The compiled source of a value, see [`From`].
#[derive(Clone, Debug)]
enum Source {
    Segment(i32),
    Path(Regex),
    Query(String),
    Header(String),
    Pair(String, String),
    Cookie(String),
    User,
    Network,
    Address,
    Always(String),
}

/// A compiled rule that extracts a value from a record.
#[derive(Clone, Debug)]
pub(super) struct Extractor {
    source: Source,
    /// Replacements for values; empty: values are not renamed.
    names: FxHashMap<String, String>,
    /// Whether values that are missing in `names` are kept as they are.
    keeps_others: bool,
}

impl Extractor {
    /// Compiles a rule. `no_networks`: the mapping defines no networks.
    ///
    /// # Errors
    /// The reason why the rule is invalid.
    pub(super) fn compile(rule: &Rule, no_networks: bool) -> Result<Self, EntryProblem> {
        Ok(Extractor {
            source: Source::compile(&rule.from, no_networks)?,
            names: rule.names.clone().into_iter().collect(),
            keeps_others: rule.others,
        })
    }
}

impl Source {
    fn compile(from: &From, no_networks: bool) -> Result<Self, EntryProblem> {
        Ok(match from {
            From::Segment(n) => Source::Segment(*n),
            From::Path(pattern) => {
                Source::Path(Regex::new(pattern).map_err(|source| EntryProblem::Pattern {
                    pattern: pattern.clone(),
                    source,
                })?)
            }
            From::Query(name) => Source::Query(name.clone()),
            From::Header(name) => Source::Header(name.to_ascii_lowercase()),
            From::Pair(header, name) => Source::Pair(header.to_ascii_lowercase(), name.clone()),
            From::Cookie(name) => Source::Cookie(name.clone()),
            From::User => Source::User,
            From::Network if no_networks => return Err(EntryProblem::NoNetworks),
            From::Network => Source::Network,
            From::Address => Source::Address,
            From::Always(text) => Source::Always(text.clone()),
        })
    }
}

/// A record with the client that sent it, from which values are extracted.
pub(super) struct RecordContext<'a> {
    pub raw: &'a RawRecord<'a>,
    pub path: &'a str,
    /// Address of the client; `None`: unknown.
    pub client: Option<std::net::IpAddr>,
    pub networks: &'a Networks,
}

impl<'a> RecordContext<'a> {
    /// Returns the value of the first rule that yields one.
    pub(super) fn first_value(&self, extractors: &'a [Extractor]) -> Option<Cow<'a, str>> {
        extractors.iter().find_map(|extractor| {
            let value = self.value(&extractor.source).filter(|v| !v.is_empty())?;
            if extractor.names.is_empty() {
                return Some(value);
            }
            match extractor.names.get(value.as_ref()) {
                Some(name) => Some(Cow::Borrowed(name.as_str())),
                None => extractor.keeps_others.then_some(value),
            }
        })
    }

    fn value(&self, source: &'a Source) -> Option<Cow<'a, str>> {
        let plain = |text: &'a str| Some(Cow::Borrowed(text));
        match source {
            Source::Segment(n) if *n >= 0 => plain(
                self.path
                    .trim_start_matches('/')
                    .split('/')
                    .nth(*n as usize)?,
            ),
            Source::Segment(n) => plain(
                self.path
                    .trim_end_matches('/')
                    .rsplit('/')
                    .nth((-1 - n) as usize)?,
            ),
            Source::Path(regex) => {
                let captures = regex.captures(self.path)?;
                plain(captures.get(1).or(captures.get(0))?.as_str())
            }
            Source::Query(name) => plain(self.raw.parameter(name)?),
            Source::Header(name) => plain(self.raw.header(name)?),
            Source::Pair(header, name) => {
                let pairs = self
                    .raw
                    .header(header)?
                    .split(',')
                    .filter_map(|p| p.split_once('='));
                plain(
                    pairs
                        .map(|(n, v)| (n.trim(), v.trim()))
                        .find(|(n, _)| n == name)?
                        .1,
                )
            }
            Source::Cookie(name) => plain(self.raw.cookie(name)?),
            Source::User => plain(self.raw.user.as_deref()?),
            Source::Network => plain(self.networks.find(self.client?)?),
            Source::Address => Some(Cow::Owned(self.client?.to_string())),
            Source::Always(text) => plain(text),
        }
    }
}
