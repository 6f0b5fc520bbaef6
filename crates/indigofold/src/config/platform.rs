//! The configuration of the platform's front, and the check of a reloaded file against the present one.

use super::discovery::MembershipUpdate;
use super::error::{
    ChangedKeySnafu, ClassNameSnafu, NoAttemptsSnafu, NoClassesSnafu, NoDeadlineSnafu,
};
use super::{MEMORY_MB, Parse, Site, decode_document, hash};
use serde::Deserialize;
use simd_json::OwnedValue;
use simd_json::prelude::*;

#[derive(Deserialize)]
struct RawPlatform {
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
    /// The scheduler's name, which the log shows at startup.
    pub name: String,
    /// The address to listen on.
    pub listen: String,
    /// The address of discovery.
    pub discovery: String,
    /// The address of discovery in the file, whatever the environment variable `GW_DISCOVERY` says.
    pub discovery_in_file: String,
    /// The address of the admin endpoint; empty if there is none.
    pub management: String,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The number of file descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// The membership known when the file was written, perhaps outdated.
    pub known: MembershipUpdate,
    /// The settings of the decision module and the names in them.
    pub site: Site,
    document: OwnedValue,
}

impl Platform {
    /// Parses the configuration file; non-empty environment variables take precedence over its entries.
    ///
    /// # Errors
    ///
    /// An entry is missing or not allowed; the error names the first one and the allowed values.
    pub fn read(mut text: Vec<u8>, env: impl Fn(&str) -> Option<String>) -> Parse<Self> {
        let document: OwnedValue = decode_document(&mut text.clone(), "no configuration")?;
        let raw: RawPlatform = decode_document(&mut text, "no configuration")?;
        let or = |name: &str, value: String| env(name).filter(|v| !v.is_empty()).unwrap_or(value);
        let seed = raw
            .seed
            .as_str()
            .map(|s| u64::from_str_radix(s, 16).unwrap_or_else(|_| hash(s)));
        let mut site = Site::from_value(&raw.settings)?.checked()?;
        // In this protocol the membership is always requested by calls, also from an agent that receives it by push.
        site.pushed = std::mem::take(&mut site.settings.membership_pushed);
        let sockets = raw.limits.sockets.unwrap_or(1024);
        // Clients hold at most a third of the descriptors, and a quarter of that third is kept free for new connections.
        site.settings.limits.open = Some(sockets / 4);
        Ok(Platform {
            name: or("GW_NAME", raw.name),
            listen: or("GW_LISTEN", raw.listen),
            discovery_in_file: raw.discovery.clone(),
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

    /// Parses the file that replaces this configuration; it must have every key that this one has.
    ///
    /// # Errors
    ///
    /// As for [`Platform::read`], and if a key of the present configuration is missing or its value has another type.
    pub fn reread(&self, text: Vec<u8>) -> Parse<Self> {
        // The environment dates from the start of the process, so a changed file takes precedence over it.
        let new = Platform::read(text, |_| None)?;
        match missing_key(&self.document, &new.document) {
            None => Ok(new),
            Some(key) => ChangedKeySnafu { key }.fail(),
        }
    }
}

/// Returns a key of `old` that `new` lacks, or whose value has another type in `new`. In a list of objects each new object
/// must have the keys that all old ones had; the length of the list may differ.
fn missing_key(old: &OwnedValue, new: &OwnedValue) -> Option<String> {
    let within = |key: &str, of: Option<String>| of.map(|inner| format!("{key}.{inner}"));
    match (old, new) {
        (OwnedValue::Object(old), OwnedValue::Object(new)) => {
            old.iter().find_map(|(key, value)| {
                let missing = || Some(key.clone());
                new.get(key).map_or_else(missing, |new| match key.as_str() {
                    "known" => None, // used only at startup
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

/// The type of a value, as a number to compare. Null, numbers and all other scalars count as one type.
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
    /// Checks what a scheduler in service needs: classes with distinct names and a deadline, and at least one attempt.
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
