//! Interning of names that occur many times.

use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Maximum number of names kept, because hostile input may contain any number of them.
const MAX_NAMES: usize = 65_536;

/// Stores one shared copy of each name, up to a maximum number of names.
#[derive(Clone, Debug, Default)]
pub struct NameInterner(FxHashMap<String, Arc<str>>);

impl NameInterner {
    /// Returns the shared copy of a name. Once the maximum is reached, new names get a copy of their own.
    pub fn intern(&mut self, text: &str) -> Arc<str> {
        if let Some(name) = self.0.get(text) {
            return name.clone();
        }
        let name: Arc<str> = text.into();
        if self.0.len() < MAX_NAMES {
            self.0.insert(text.to_string(), name.clone());
        }
        name
    }
}
