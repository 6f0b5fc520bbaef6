//! The configuration of the platform's front, and what a file that replaces it must have.

use super::discovery::MembershipUpdate;
use super::error::{
    ChangedKeySnafu, ClassNameSnafu, NoAttemptsSnafu, NoClassesSnafu, NoDeadlineSnafu,
};
use super::{MEMORY_MB, Parse, Site, decode_document, hash};
use serde::Deserialize;
use simd_json::OwnedValue;
use simd_json::prelude::*;

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    management: String,
    #[serde(default)]
    seed: OwnedValue,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: MembershipUpdate,
    settings: OwnedValue,
}

#[derive(Default, Deserialize)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// The configuration of a scheduler on the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Its name.
    pub name: String,
    /// Where to listen.
    pub listen: String,
    /// Where discovery answers.
    pub discovery: String,
    /// Where discovery answers by the file alone, without the environment.
    pub in_file: String,
    /// Where operators call; empty: nowhere.
    pub management: String,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that it may use.
    pub memory_mb: usize,
    /// The membership as last known, perhaps old.
    pub known: MembershipUpdate,
    /// The settings.
    pub site: Site,
    document: OwnedValue,
}

impl Platform {
    /// Reads the configuration from JSON text; variables of the environment take precedence.
    ///
    /// # Errors
    ///
    /// Names the first entry that is missing or not allowed, and what is allowed.
    pub fn read(mut text: Vec<u8>, env: impl Fn(&str) -> Option<String>) -> Parse<Self> {
        let document: OwnedValue = decode_document(&mut text.clone(), "no configuration")?;
        let raw: Raw = decode_document(&mut text, "no configuration")?;
        let or = |name: &str, value: String| env(name).filter(|v| !v.is_empty()).unwrap_or(value);
        let seed = raw
            .seed
            .as_str()
            .map(|s| u64::from_str_radix(s, 16).unwrap_or_else(|_| hash(s)));
        let mut site = Site::from_value(&raw.settings)?.checked()?;
        // Over this protocol the membership is always polled, also from an agent that it is pushed to.
        site.pushed = std::mem::take(&mut site.settings.membership_pushed);
        let sockets = raw.limits.sockets.unwrap_or(1024);
        // Clients hold at most a third of the descriptors: a quarter of that is kept free for the next ones.
        site.settings.limits.open = Some(sockets / 4);
        Ok(Platform {
            name: or("GW_NAME", raw.name),
            listen: or("GW_LISTEN", raw.listen),
            in_file: raw.discovery.clone(),
            discovery: or("GW_DISCOVERY", raw.discovery),
            management: or("GW_MANAGEMENT", raw.management),
            seed: seed.or(raw.seed.as_u64()).unwrap_or(1),
            sockets,
            memory_mb: raw.limits.memory_mb.unwrap_or(MEMORY_MB),
            known: raw.known,
            site,
            document,
        })
    }

    /// Parses the file that replaces this one: it must have every key that this one has.
    ///
    /// # Errors
    ///
    /// As [`Platform::read`], or an entry is missing that the present configuration has.
    pub fn reread(&self, text: Vec<u8>) -> Parse<Self> {
        // The environment is that of the start: a changed file takes precedence over it.
        let new = Platform::read(text, |_| None)?;
        match missing_key(&self.document, &new.document) {
            None => Ok(new),
            Some(key) => ChangedKeySnafu { key }.fail(),
        }
    }
}

/// A key that an object has and its successor has not, or has with a value of another kind. In a list of objects each
/// must have what all had before; how many there are is free.
fn missing_key(old: &OwnedValue, new: &OwnedValue) -> Option<String> {
    let within = |key: &str, of: Option<String>| of.map(|inner| format!("{key}.{inner}"));
    match (old, new) {
        (OwnedValue::Object(old), OwnedValue::Object(new)) => {
            old.iter().find_map(|(key, value)| {
                let missing = || Some(key.clone());
                new.get(key).map_or_else(missing, |new| match key.as_str() {
                    "known" => None, // as old as the program's start
                    _ if kind(value) != kind(new) => missing(),
                    _ => within(key, missing_key(value, new)),
                })
            })
        }
        (OwnedValue::Array(old), OwnedValue::Array(new)) => {
            let objects: Vec<_> = old.iter().filter_map(|v| v.as_object()).collect();
            let (first, rest) = objects.split_first()?;
            let common = first
                .iter()
                .filter(|(key, _)| rest.iter().all(|o| o.contains_key(*key)));
            common.into_iter().find_map(|(key, value)| {
                let has =
                    |v: &OwnedValue| v.get(key.as_str()).is_some_and(|v| kind(v) == kind(value));
                (!new.iter().all(has)).then(|| key.clone())
            })
        }
        _ => None,
    }
}

/// What kind of value it is. Null is none, and may be taken for any.
fn kind(value: &OwnedValue) -> u8 {
    match value {
        OwnedValue::Object(_) => 0,
        OwnedValue::Array(_) => 1,
        OwnedValue::String(_) => 2,
        _ if value.is_bool() => 3,
        _ => 4,
    }
}

impl Site {
    /// What a scheduler in service needs beyond what the module needs to start.
    fn checked(self) -> Parse<Self> {
        let settings = &self.settings;
        let timeless = settings.classes.iter().position(|c| c.deadline == 0);
        let names: Vec<&str> = self.classes.all().collect();
        let unnamed = |n: &usize| names[*n].is_empty() || names[..*n].contains(&names[*n]);
        match () {
            () if settings.classes.is_empty() => NoClassesSnafu.fail(),
            () if settings.limits.attempts == 0 => NoAttemptsSnafu.fail(),
            () if let Some(n) = timeless => NoDeadlineSnafu { class: names[n] }.fail(),
            () if (0..names.len()).any(|n| unnamed(&n)) => ClassNameSnafu.fail(),
            () => Ok(self),
        }
    }
}
