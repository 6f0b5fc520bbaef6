//! Partial changes of a configuration by item name (`PATCH /config`).
//!
//! A patch is applied to the operator's own text: items that the patch does not name, and fields that this version
//! does not know, are kept byte for byte.

use crate::config_check::{CheckedConfig, parse_config};
use crate::config_error::{ConfigError, JsonSnafu};
use crate::json;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::ResultExt;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The field of a configuration that holds its version.
const VERSION_FIELD: &str = "version";

/// The top-level fields of a configuration by name; their values are not parsed.
type Fields<'a> = BTreeMap<String, &'a RawValue>;

/// A patch as the operator writes it.
#[derive(Deserialize)]
struct Patch<'a> {
    #[serde(borrow)]
    version: &'a RawValue,
    #[serde(borrow, default)]
    upsert: Fields<'a>,
    #[serde(default)]
    remove: BTreeMap<String, Vec<String>>,
}

/// The part of an item that identifies it; all other fields are ignored.
#[derive(Deserialize)]
#[serde(rename = "Named")]
struct ItemName {
    name: String,
}

/// A list of named items in the order of the text. A removed item leaves `None` at its position.
#[derive(Default)]
struct ItemList<'a> {
    items: Vec<Option<&'a RawValue>>,
    positions: HashMap<String, usize>,
}

impl<'a> ItemList<'a> {
    /// Parses a JSON array of items.
    fn read(array: &'a RawValue) -> Result<ItemList<'a>, ConfigError> {
        let mut items = ItemList::default();
        items.upsert(array)?;
        Ok(items)
    }

    /// Removes the items with these names; unknown names are ignored.
    fn remove(&mut self, names: &[String]) {
        for position in names.iter().filter_map(|name| self.positions.remove(name)) {
            self.items[position] = None;
        }
    }

    /// Adds the items of `array`; an item replaces the existing one with the same name at its position.
    fn upsert(&mut self, array: &'a RawValue) -> Result<(), ConfigError> {
        let mut distinct = HashSet::new();
        for item in read_raw::<Vec<&RawValue>>(array)? {
            let ItemName { name } = read_raw(item)?;
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

    /// Encodes the list as a JSON array.
    fn write(&self) -> Result<Box<RawValue>, ConfigError> {
        let remaining: Vec<&RawValue> = self.items.iter().copied().flatten().collect();
        write_raw(&remaining)
    }
}

/// Applies `patch` to `current` and validates the result. [`CheckedConfig::ensure_newer_than`] compares the new version
/// with the current one.
///
/// `remove` is applied before `upsert`; removing an unknown item has no effect. Each field of `upsert` that is a list
/// is merged by item name; any other field (such as `limits`) is replaced as a whole.
///
/// # Errors
///
/// [`ConfigError`] if the patch cannot be parsed or the resulting configuration is invalid.
pub fn apply_patch(current: &CheckedConfig, patch: &[u8]) -> Result<CheckedConfig, ConfigError> {
    let patch: Patch = read(patch)?;
    let mut fields: Fields = read(current.json().as_bytes())?;
    let merged = merge_lists(&fields, &patch)?;
    fields.extend(patch.upsert);
    fields.extend(
        merged
            .iter()
            .map(|(field, items)| (field.clone(), &**items)),
    );
    fields.insert(VERSION_FIELD.to_owned(), patch.version);
    parse_config(write_raw(&fields)?.get().as_bytes())
}

/// Returns the lists that `patch` changes, by field name, with `remove` and `upsert` applied.
fn merge_lists(
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
            .map(|array| ItemList::read(array))
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

/// Parses JSON.
fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, ConfigError> {
    json::read(bytes).context(JsonSnafu)
}

/// Parses a raw JSON value.
fn read_raw<'a, T: Deserialize<'a>>(value: &'a RawValue) -> Result<T, ConfigError> {
    read(value.get().as_bytes())
}

/// Encodes a value as raw JSON.
fn write_raw(value: &impl Serialize) -> Result<Box<RawValue>, ConfigError> {
    serde_json::value::to_raw_value(value).map_err(|error| ConfigError::Unreadable {
        problem: error.to_string(),
    })
}
