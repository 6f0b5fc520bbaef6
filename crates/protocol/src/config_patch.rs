//! Changes of named items of a configuration (`PATCH /config`).
//!
//! The change is made in the operator's own text: items that it does not name, and fields that are not known here, are
//! kept byte for byte.

use crate::config_check::{CheckedConfig, parse_config};
use crate::config_error::{ConfigError, JsonSnafu};
use crate::json;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::ResultExt;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The field of a configuration that holds its version.
const VERSION: &str = "version";

/// A configuration by its fields; the items of lists are not parsed.
type Fields<'a> = BTreeMap<String, &'a RawValue>;

/// A change as it is written.
#[derive(Deserialize)]
struct Patch<'a> {
    #[serde(borrow)]
    version: &'a RawValue,
    #[serde(borrow, default)]
    upsert: Fields<'a>,
    #[serde(default)]
    remove: BTreeMap<String, Vec<String>>,
}

/// The field that identifies an item.
#[derive(Deserialize)]
struct Named {
    name: String,
}

/// A list of named items, in the order in which they were written.
#[derive(Default)]
struct Items<'a> {
    items: Vec<Option<&'a RawValue>>,
    positions: HashMap<String, usize>,
}

impl<'a> Items<'a> {
    /// Reads a list.
    fn read(array: &'a RawValue) -> Result<Items<'a>, ConfigError> {
        let mut items = Items::default();
        items.upsert(array)?;
        Ok(items)
    }

    /// Removes the items of these names; names that are not there are skipped.
    fn remove(&mut self, names: &[String]) {
        for position in names.iter().filter_map(|name| self.positions.remove(name)) {
            self.items[position] = None;
        }
    }

    /// Adds the items of `array`; each replaces the one of the same name.
    fn upsert(&mut self, array: &'a RawValue) -> Result<(), ConfigError> {
        let mut distinct = HashSet::new();
        for item in read_raw::<Vec<&RawValue>>(array)? {
            let Named { name } = read_raw(item)?;
            if !distinct.insert(name.clone()) {
                return Err(ConfigError::DuplicateName {
                    field: "upsert".to_owned(),
                    name,
                });
            }
            match self.positions.get(&name) {
                Some(position) => self.items[*position] = Some(item),
                None => {
                    self.positions.insert(name, self.items.len());
                    self.items.push(Some(item));
                }
            }
        }
        Ok(())
    }

    /// The list as JSON.
    fn write(&self) -> Result<Box<RawValue>, ConfigError> {
        let remaining: Vec<&RawValue> = self.items.iter().copied().flatten().collect();
        write_raw(&remaining)
    }
}

/// The configuration that `patch` makes of `current`, checked. Whether its version is above the current one is checked
/// separately ([`CheckedConfig::ensure_newer_than`]).
///
/// `remove` goes first, and to remove what is not there changes nothing. Each field of `upsert` that is a list is merged
/// by name; any other one (`limits`) is replaced as a whole.
///
/// # Errors
///
/// [`ConfigError`] if the patch cannot be read, or the configuration that it makes is invalid.
pub fn apply_patch(current: &CheckedConfig, patch: &[u8]) -> Result<CheckedConfig, ConfigError> {
    let patch: Patch = read(patch)?;
    let mut fields: Fields = read(current.json().as_bytes())?;
    let merged = merged_items(&fields, &patch)?;
    fields.extend(patch.upsert);
    fields.extend(
        merged
            .iter()
            .map(|(field, items)| (field.clone(), &**items)),
    );
    fields.insert(VERSION.to_owned(), patch.version);
    parse_config(write_raw(&fields)?.get().as_bytes())
}

/// The lists of items that `patch` changes, as they are afterwards.
fn merged_items(
    fields: &Fields,
    patch: &Patch,
) -> Result<BTreeMap<String, Box<RawValue>>, ConfigError> {
    let upserted = patch
        .upsert
        .iter()
        .filter(|(_, value)| value.get().starts_with('['))
        .map(|(field, _)| field);
    let changed: HashSet<&String> = upserted.chain(patch.remove.keys()).collect();
    let mut merged = BTreeMap::new();
    for field in changed {
        let mut items = fields
            .get(field)
            .map(|array| Items::read(array))
            .transpose()?
            .unwrap_or_default();
        items.remove(patch.remove.get(field).map_or(&[], Vec::as_slice));
        if let Some(array) = patch.upsert.get(field) {
            items.upsert(array)?;
        }
        merged.insert(field.clone(), items.write()?);
    }
    Ok(merged)
}

/// Reads JSON.
fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, ConfigError> {
    json::read(bytes).context(JsonSnafu)
}

/// Reads a raw JSON value.
fn read_raw<'a, T: Deserialize<'a>>(value: &'a RawValue) -> Result<T, ConfigError> {
    read(value.get().as_bytes())
}

/// Writes JSON.
fn write_raw(value: &impl Serialize) -> Result<Box<RawValue>, ConfigError> {
    serde_json::value::to_raw_value(value).map_err(|error| ConfigError::Unreadable {
        problem: error.to_string(),
    })
}
